//! What the calls of a watcher have shown of an engine.

use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{DEAD_BOUND, EngineReport, EngineSighting, InstanceKey};

/// How long an engine holds a call for cache changes if there are none.
pub(super) const CACHE_WAIT: Duration = Duration::from_millis(500);

/// How long an engine may take to answer, beyond the time for which it holds the call.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

// An engine is dead only once the answer to a second call is overdue too.
const _: () = assert!(
    ANSWER_TIMEOUT.as_millis() + CACHE_WAIT.as_millis() <= DEAD_BOUND.as_millis()
);

/// What the calls of a watcher have shown of an engine.
#[derive(Debug)]
pub struct EngineRecord {
    /// The engine.
    server: ServerId,
    /// The watching instance.
    watcher: InstanceKey,
    /// When the engine last answered.
    answered_at: Option<Duration>,
    /// When the first of the answers was due that haven't come since the last one.
    failing_since: Option<Duration>,
    /// The last report, and when it was received.
    report: Option<(EngineReport, Duration)>,
}

impl EngineRecord {
    /// Creates the record of an engine that hasn't been called yet.
    #[must_use]
    pub fn new(server: ServerId, watcher: InstanceKey) -> Self {
        Self {
            server,
            watcher,
            answered_at: None,
            failing_since: None,
            report: None,
        }
    }

    /// Records an answer, whatever it says. Returns for how long calls had failed before, if
    /// they had.
    pub fn record_answer(&mut self, now: Duration) -> Option<Duration> {
        self.answered_at = Some(now);
        let since = self.failing_since.take()?;
        Some(now.saturating_sub(since))
    }

    /// Records a report that was just received.
    pub fn record_report(&mut self, report: EngineReport, now: Duration) {
        self.report = Some((report, now));
    }

    /// Records that a call has failed whose answer was due at `due_at`, or would have been.
    /// Returns whether it is the first one since an answer. If this instance itself stood
    /// still meanwhile, the engine isn't blamed for that time.
    pub fn record_failure(&mut self, due_at: Duration, now: Duration) -> bool {
        let is_first = self.failing_since.is_none();
        let since = due_at.clamp(now.saturating_sub(ANSWER_TIMEOUT), now);
        self.failing_since.get_or_insert(since);
        is_first
    }

    /// Records that a connection could be opened, but broke. An engine with too many of them
    /// does that, so this is no sign of death; nor is it one of life.
    pub fn record_reset(&mut self) {
        self.failing_since = None;
    }

    /// Returns what has been seen so far, with ages as of `now`.
    #[must_use]
    pub fn sighting(&self, now: Duration) -> EngineSighting {
        let age = |at: Duration| now.saturating_sub(at);
        EngineSighting {
            server: self.server,
            watcher: self.watcher,
            answered_ago: self.answered_at.map(age),
            failing_for: self.failing_since.map(age),
            report: self.report.map(|(report, at)| (report, age(at))),
        }
    }
}
