//! Measures for how long the rules in force have been outdated.

use std::time::Duration;

use flaxtide_core::SettingsVersion;

/// Measures for how long the rules in force have been older than the newest known
/// version. It starts anew with each version that is put in force, so frequent changes
/// that each arrive in time cause no lag.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::RulesLag;
/// let mut lag = RulesLag::default();
/// lag.record(7, 8, Duration::from_secs(1));
/// assert_eq!(lag.get(Duration::from_secs(3)), Some(Duration::from_secs(2)));
/// lag.record(8, 8, Duration::from_secs(3));
/// assert_eq!(lag.get(Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Default)]
pub struct RulesLag {
    /// The version in force and since when a newer one has been known, or `None` if it is
    /// the newest.
    behind: Option<(SettingsVersion, Duration)>,
}

impl RulesLag {
    /// Records the version in force and the newest known version.
    pub fn record(
        &mut self,
        in_force: SettingsVersion,
        newest: SettingsVersion,
        now: Duration,
    ) {
        let last = self.behind.filter(|(version, _)| *version == in_force);
        self.behind = (newest > in_force).then(|| last.unwrap_or((in_force, now)));
    }

    /// Returns for how long the version in force has been outdated, or `None` if it is
    /// the newest.
    #[must_use]
    pub fn get(&self, now: Duration) -> Option<Duration> {
        self.behind.map(|(_, since)| now.saturating_sub(since))
    }
}
