//! For how long newer rules have been known that aren't in force.

use std::time::Duration;

use flaxtide_entry::RulesLag;

/// Makes a span of milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn rules_that_change_all_the_time_are_no_lag_as_long_as_each_comes() {
    let mut lag = RulesLag::default();
    // A newer version is known at every look, and each is in force 700 ms later.
    for millis in (0..20_000).step_by(100) {
        let in_force = millis / 700;
        lag.record(in_force, in_force + 1, ms(millis));
        assert!(lag.get(ms(millis)) < Some(ms(700)), "at {millis} ms");
    }
}

#[test]
fn rules_that_stay_behind_lag_from_the_first_newer_version_on() {
    let mut lag = RulesLag::default();
    lag.record(7, 7, ms(0));
    assert_eq!(lag.get(ms(100)), None);
    for (millis, newest) in [(100, 8), (600, 9), (1100, 12)] {
        lag.record(7, newest, ms(millis));
    }
    assert_eq!(lag.get(ms(1200)), Some(ms(1100)));
}
