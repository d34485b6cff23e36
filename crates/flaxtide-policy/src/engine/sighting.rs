//! What watchers have seen of an engine, and how old that is.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::report::EngineReport;
use crate::pushback::InstanceKey;

/// How long the sighting of an instance proves that an engine is alive. A watcher's call
/// returns after half a second at the latest, and peers hear of it with the next heartbeat,
/// at most 1.2 s later in a data centre of 28 instances; the rest allows for one lost
/// heartbeat.
pub const SIGHTING_BOUND: Duration = Duration::from_secs(3);

/// How long the last sighting of a watcher is kept.
const RETENTION: Duration = Duration::from_secs(10);

/// What one watcher has last seen of an engine. All times are ages, so that a sighting can
/// be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSighting {
    /// The engine.
    pub server: ServerId,
    /// The instance that called the engine.
    pub watcher: InstanceKey,
    /// How long ago the engine last answered; `None` if it never has.
    pub answered_ago: Option<Duration>,
    /// For how long calls have failed or stayed unanswered beyond their time-out; `None`
    /// if the last call was answered or is still within its time.
    pub failing_for: Option<Duration>,
    /// The last report of the engine and its age.
    pub report: Option<(EngineReport, Duration)>,
}

/// A sighting with times of the own clock.
#[derive(Debug, Clone, Copy)]
struct DatedSighting {
    /// When the engine last answered.
    answered_at: Option<Duration>,
    /// Since when calls have failed.
    failing_since: Option<Duration>,
    /// The last report, and as of when.
    report: Option<(EngineReport, Duration)>,
    /// When the sighting was recorded.
    recorded_at: Duration,
    /// How long it counts, and how long an answer proves that the engine is alive.
    counts_for: Duration,
}

impl DatedSighting {
    /// Returns whether the sighting still counts.
    fn counts(&self, now: Duration) -> bool {
        now < self.recorded_at.saturating_add(self.counts_for)
    }
}

/// The last sightings of an engine by each of its watchers.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{EngineSighting, EngineSightings};
/// let mut sightings = EngineSightings::default();
/// let sighting = EngineSighting {
///     server: 1,
///     watcher: 7,
///     answered_ago: Some(Duration::from_millis(200)),
///     failing_for: None,
///     report: None,
/// };
/// sightings.record(&sighting, Duration::from_secs(5));
/// assert_eq!(sightings.answered_at(), Some(Duration::from_millis(4800)));
/// ```
#[derive(Debug, Default)]
pub struct EngineSightings {
    /// By watcher.
    by_watcher: BTreeMap<InstanceKey, DatedSighting>,
}

impl EngineSightings {
    /// Records a sighting that counts for [`SIGHTING_BOUND`].
    pub fn record(&mut self, sighting: &EngineSighting, now: Duration) {
        self.record_for(sighting, SIGHTING_BOUND, now);
    }

    /// Records a sighting that counts for a time span. An older one of the same watcher is
    /// replaced, but a later proof of life or a later report isn't.
    pub fn record_for(
        &mut self,
        sighting: &EngineSighting,
        counts_for: Duration,
        now: Duration,
    ) {
        self.by_watcher
            .retain(|_, dated| now < dated.recorded_at.saturating_add(RETENTION));
        let at = |ago: Duration| now.saturating_sub(ago);
        let before = self.by_watcher.get(&sighting.watcher);
        let answered_at = sighting.answered_ago.map(at);
        let report = sighting.report.map(|(report, age)| (report, at(age)));
        let known_report = before.and_then(|before| before.report);
        let newer_report = match (report, known_report) {
            (Some(new), Some(known)) if known.1 > new.1 => Some(known),
            (new, known) => new.or(known),
        };
        let dated = DatedSighting {
            answered_at: answered_at.max(before.and_then(|before| before.answered_at)),
            failing_since: sighting.failing_for.map(at),
            report: newer_report,
            recorded_at: now,
            counts_for,
        };
        self.by_watcher.insert(sighting.watcher, dated);
    }

    /// Excludes a stall of this instance from the time for which watchers have failed: what
    /// they have seen since hasn't been heard yet.
    pub(crate) fn discount_stall(&mut self, span: Duration, now: Duration) {
        for dated in self.by_watcher.values_mut() {
            let failing_since = dated.failing_since;
            dated.failing_since = failing_since.map(|since| (since + span).min(now));
        }
    }

    /// Returns when the engine last answered any watcher.
    #[must_use]
    pub fn answered_at(&self) -> Option<Duration> {
        self.by_watcher.values().filter_map(|dated| dated.answered_at).max()
    }

    /// Returns until when the last answers prove that the engine is alive.
    #[must_use]
    pub fn alive_until(&self) -> Option<Duration> {
        let until = |dated: &DatedSighting| {
            Some(dated.answered_at?.saturating_add(dated.counts_for))
        };
        self.by_watcher.values().filter_map(until).max()
    }

    /// Returns since when the engine has answered none of the watchers whose sightings count;
    /// `None` if it has answered one of them, or if none was heard. A watcher that has only
    /// begun, and has had neither an answer nor a failure, doesn't count.
    #[must_use]
    pub fn failing_since(&self, now: Duration) -> Option<Duration> {
        let mut latest = None;
        for dated in self.by_watcher.values() {
            let has_outcome =
                dated.answered_at.is_some() || dated.failing_since.is_some();
            if has_outcome && dated.counts(now) {
                latest = latest.max(Some(dated.failing_since?));
            }
        }
        latest
    }

    /// Returns whether the sighting of any watcher counts.
    #[must_use]
    pub fn is_watched(&self, now: Duration) -> bool {
        self.by_watcher.values().any(|dated| dated.counts(now))
    }

    /// Returns the newest report and the time at which it was made.
    #[must_use]
    pub fn report(&self) -> Option<(EngineReport, Duration)> {
        let reports = self.by_watcher.values().filter_map(|dated| dated.report);
        reports.max_by_key(|(_, at)| *at)
    }

    /// Returns the time of the newest report of a watcher other than `own`.
    #[must_use]
    pub fn peer_reported_at(&self, own: InstanceKey) -> Option<Duration> {
        let peers = self.by_watcher.iter().filter(|(watcher, _)| **watcher != own);
        peers.filter_map(|(_, dated)| Some(dated.report?.1)).max()
    }
}
