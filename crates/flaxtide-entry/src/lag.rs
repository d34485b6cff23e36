//! How long newer rules than those in force have been known.

use std::time::Duration;

use flaxtide_core::SettingsVersion;

/// How long the rules in force have been behind the newest that are known. Each version in force
/// counts anew: rules that change all the time, each handed on in time, are no lag.
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
    /// The version in force while newer ones are known, and since when it is so.
    behind: Option<(SettingsVersion, Duration)>,
}

impl RulesLag {
    /// Records which version is in force, and which is the newest that is known.
    pub fn record(
        &mut self,
        in_force: SettingsVersion,
        newest: SettingsVersion,
        now: Duration,
    ) {
        let last = self.behind.filter(|(version, _)| *version == in_force);
        self.behind = (newest > in_force).then(|| last.unwrap_or((in_force, now)));
    }

    /// Returns for how long the rules in force have been behind; nothing if they aren't.
    #[must_use]
    pub fn get(&self, now: Duration) -> Option<Duration> {
        self.behind.map(|(_, since)| now.saturating_sub(since))
    }
}
