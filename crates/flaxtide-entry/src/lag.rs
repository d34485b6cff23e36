//! Measures for how long the rules in force have been outdated.

use std::collections::VecDeque;
use std::time::Duration;

use flaxtide_core::SettingsVersion;

/// The most versions whose times are kept. Further ones count from the time of the last.
const MAX_PENDING: usize = 64;

/// Measures for how long the rules in force have been older than a known version. The time
/// counts from when the oldest version that isn't in force became known, so frequent changes that
/// each arrive in time cause no lag.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::RulesLag;
/// let mut lag = RulesLag::default();
/// lag.record(7, 8, Duration::from_secs(1));
/// assert_eq!(lag.get(Duration::from_secs(3)), Some(Duration::from_secs(2)));
/// lag.record(7, 9, Duration::from_secs(3));
/// lag.record(8, 9, Duration::from_secs(4));
/// assert_eq!(lag.get(Duration::from_secs(4)), Some(Duration::from_secs(1)));
/// lag.record(9, 9, Duration::from_secs(5));
/// assert_eq!(lag.get(Duration::from_secs(5)), None);
/// ```
#[derive(Debug, Default)]
pub struct RulesLag {
    /// The known versions that are newer than the one in force, and since when each has been
    /// known; oldest first.
    pending: VecDeque<(SettingsVersion, Duration)>,
}

impl RulesLag {
    /// Records the version in force and the newest known version.
    pub fn record(
        &mut self,
        in_force: SettingsVersion,
        newest: SettingsVersion,
        now: Duration,
    ) {
        // An announcement that isn't believed any more counts for nothing.
        self.pending
            .retain(|(version, _)| *version > in_force && *version <= newest);
        let last = self.pending.back().map_or(in_force, |(version, _)| *version);
        if newest <= last {
            return;
        }
        let is_full = self.pending.len() == MAX_PENDING;
        match self.pending.back_mut() {
            Some(last) if is_full => last.0 = newest,
            _ => self.pending.push_back((newest, now)),
        }
    }

    /// Returns for how long the version in force has been outdated, or `None` if it is
    /// the newest.
    #[must_use]
    pub fn get(&self, now: Duration) -> Option<Duration> {
        self.pending.front().map(|(_, since)| now.saturating_sub(*since))
    }
}
