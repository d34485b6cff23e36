//! Whether an engine that has watchers is alive. Silence doesn't tell a busy engine from a
//! dead one; the answers that watchers get do.

use std::time::Duration;

use super::call::RoutedCall;
use super::server::ServerState;
use crate::engine::SIGHTING_BOUND;

/// The period in which watchers call an engine.
pub(crate) const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// How long all watchers in touch must have failed to reach an engine until it counts as
/// dead: the time-out of one call beyond the time at which its answer was due, and the time
/// in which another one must be answered.
pub const DEAD_BOUND: Duration = Duration::from_millis(1200);

/// How long a running response may pause at least before the path to its engine is suspect.
/// Callers abandon streams after gaps of two seconds at the earliest.
const MIN_STREAM_GAP: Duration = Duration::from_secs(2);

/// By how much longer than its target a running response may pause.
const STREAM_GAP_FACTOR: u32 = 4;

/// The minimum age that a request must have had at the time of an engine's report to be
/// contained in it. Reports are some hundred milliseconds old when they are received.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// By how much reading a prompt again elsewhere must be faster than waiting for the engine
/// that has it, as a fraction. The repeated prefill also delays requests on the other engine.
const RESEND_MARGIN: f64 = 0.25;

/// The time to a first token that expected times leave out, and that another send costs
/// again, in milliseconds: the network round trip and the first decoding step.
const RESEND_OVERHEAD_MS: f64 = 25.0;

/// What is known of the life of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineLiveness {
    /// No watcher was heard recently: this instance's own requests and the reports of peers
    /// have to tell.
    Unwatched,
    /// Somebody in touch has recently had an answer. Silence means that it is busy.
    Alive,
    /// Watchers fail to reach it, though not for long enough, or its last answer is old, or
    /// this instance couldn't reach it and hasn't heard it since. Judged as if it had no
    /// watchers.
    Doubtful,
    /// All watchers in touch have failed to reach it, and this instance hasn't heard it.
    Dead,
}

/// The evidence of the life of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LifeEvidence {
    /// Whether any watcher was heard recently.
    pub(crate) watched: bool,
    /// When this instance last received an answer.
    pub(crate) own_answer: Option<Duration>,
    /// Whether this instance has heard nothing since it found the path interrupted.
    pub(crate) path_suspect: bool,
    /// Until when the answers that watchers received prove that the engine is alive.
    pub(crate) watch_until: Option<Duration>,
    /// Since when all watchers in touch have received no answer; `None` if one has.
    pub(crate) failing_since: Option<Duration>,
}

impl LifeEvidence {
    /// Judges the evidence.
    pub(crate) fn judge(&self, now: Duration) -> EngineLiveness {
        if !self.watched {
            return EngineLiveness::Unwatched;
        }
        if let Some(failing_since) = self.failing_since {
            let since = failing_since.max(self.own_answer.unwrap_or_default());
            return match now >= since.saturating_add(DEAD_BOUND) {
                true => EngineLiveness::Dead,
                false => EngineLiveness::Doubtful,
            };
        }
        let own_until = self.own_answer.map(|at| at.saturating_add(SIGHTING_BOUND));
        match own_until.max(self.watch_until) {
            Some(until) if !self.path_suspect && now < until => EngineLiveness::Alive,
            _ => EngineLiveness::Doubtful,
        }
    }
}

impl ServerState {
    /// Returns what is known of the life of the server.
    pub(crate) fn liveness(&self, now: Duration) -> EngineLiveness {
        let evidence = LifeEvidence {
            watched: self.is_watched(now),
            own_answer: self.health.answered_at(),
            path_suspect: self.health.is_path_suspect(),
            watch_until: self.sightings.alive_until(),
            failing_since: self.sightings.failing_since(now),
        };
        evidence.judge(now)
    }

    /// Returns whether watchers in touch recently had an answer of the server, whatever this
    /// instance has seen.
    pub(crate) fn is_reached_by_watchers(&self, now: Duration) -> bool {
        let answered_at = self.sightings.answered_at();
        self.sightings.failing_since(now).is_none()
            && answered_at.is_some_and(|at| now < at.saturating_add(SIGHTING_BOUND))
    }

    /// Returns whether watchers of the server were heard recently.
    pub(crate) fn is_watched(&self, now: Duration) -> bool {
        self.sightings.is_watched(now)
    }

    /// Returns whether the engine lacks a request that was sent at `sent` and hasn't been
    /// responded to: a later report contains no request at all. Then the request or its
    /// response is lost on the way. While the engine runs any, it may be this one, even if
    /// its prompt has been read: responses that aren't streamed show nothing until they end.
    pub(crate) fn lacks_request(&self, sent: Duration) -> bool {
        self.sightings.report().is_some_and(|(report, at)| {
            report.waiting == 0 && report.running == 0 && at >= sent + REPORT_LAG
        })
    }
}

/// Returns how long the response to a call may pause before the path to its engine is
/// suspect: its caller waits for as long.
pub(crate) fn stream_gap(call: &RoutedCall) -> Duration {
    call.details
        .target
        .saturating_mul(STREAM_GAP_FACTOR)
        .max(MIN_STREAM_GAP)
}

/// Returns whether a prompt is read sooner if it is sent to another engine, where that takes
/// `again_ms`, than by the engine that has it and needs `left_ms`. Both in milliseconds.
pub(crate) fn is_sooner_elsewhere(left_ms: f64, again_ms: f64) -> bool {
    again_ms * (1.0 + RESEND_MARGIN) + RESEND_OVERHEAD_MS < left_ms
}
