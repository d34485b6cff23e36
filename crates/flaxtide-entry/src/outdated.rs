//! Whether the rules in force are outdated, and whether requests are still handled or denied by
//! them.

use std::time::Duration;

use flaxtide_core::SettingsVersion;

use crate::budget::MAX_RULES_LAG_FRACTION;
use crate::state::TrafficState;

impl TrafficState {
    /// Returns whether newer rules than those in force are known to exist.
    pub(crate) fn has_outdated_rules(&self) -> bool {
        self.newest_rules.get() > self.rules_version()
    }

    /// Returns whether a request may be denied because the rules in force don't allow it: no newer
    /// ones are known, and they were looked up lately.
    pub(crate) fn permits_denial(&self) -> bool {
        let now = self.source.clock().now();
        let is_answering = self.source.answers().is_answering(now);
        let rules_age = self.source.rules_age();
        !self.has_outdated_rules() && rules_age.permits_denial(now, is_answering)
    }

    /// Records the newest version of the rules that live peers have in force, or 0 if none is newer.
    pub(crate) fn record_live_rules(&self, version: SettingsVersion) {
        self.live_rules.set(version);
        self.update_rules_lag();
    }

    /// Has the lag count from now on if a newer version has just become known, and forgets versions
    /// that are in force.
    fn update_rules_lag(&self) {
        let (in_force, live) = (self.rules_version(), self.live_rules.get());
        self.rules_lag.borrow_mut().record(in_force, live, self.now());
    }

    /// Returns for how long live peers have had newer rules in force, or `None` if none has.
    pub(crate) fn rules_lag(&self) -> Option<Duration> {
        self.update_rules_lag();
        self.rules_lag.borrow().get(self.now())
    }

    /// Returns [`Self::rules_lag`] in milliseconds for log lines, or -1 if there is none.
    pub(crate) fn rules_lag_ms(&self) -> i64 {
        self.rules_lag().map_or(-1, |lag| lag.as_millis() as i64)
    }

    /// Returns whether the rules in force have been outdated for so long that no request may be
    /// handled by them. Without a live peer that has newer ones, they serve on.
    pub(crate) fn has_overdue_rules(&self) -> bool {
        let longest = self.config().rules_within.mul_f64(MAX_RULES_LAG_FRACTION);
        self.rules_lag().is_some_and(|lag| lag >= longest)
    }

    /// Waits until the rules aren't overdue any more, for `max_wait` at most. Returns whether
    /// that is so.
    pub(crate) async fn await_rules(&self, max_wait: Duration) -> bool {
        let until = self.now() + max_wait;
        while self.has_overdue_rules() {
            let changed = self.rules_changed.notified();
            if self.wait_until(until, changed).await.is_none() {
                return !self.has_overdue_rules();
            }
        }
        true
    }
}

/// Logs and exports changes in whether the rules in force are overdue.
pub(crate) fn log_overdue_rules(state: &TrafficState) {
    let is_overdue = i64::from(state.has_overdue_rules());
    if is_overdue == state.metrics.rules_overdue.get() {
        return;
    }
    state.metrics.rules_overdue.set(is_overdue);
    let event = match is_overdue {
        0 => "rules no longer overdue",
        _ => "rules overdue, requests are refused",
    };
    log::warn!(
        rules_version = state.rules_version(), live_version = state.live_rules.get(),
        rules_lag_ms = state.rules_lag_ms();
        "{event}"
    );
}
