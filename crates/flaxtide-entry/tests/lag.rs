//! How long the rules in force have been outdated.

use std::time::Duration;

use flaxtide_entry::RulesLag;

/// Returns a duration in milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Otherwise an instance would read the rules from the platform although peers push each
/// version in time.
#[test]
fn frequent_rules_that_each_arrive_in_time_cause_no_lasting_lag() {
    let mut lag = RulesLag::default();
    // A newer version is always known, and each one is put in force 700 ms later.
    for millis in (0..20_000).step_by(100) {
        let in_force = millis / 700;
        lag.record(in_force, in_force + 1, ms(millis));
        assert!(lag.get(ms(millis)) < Some(ms(700)), "at {millis} ms");
    }
}

#[test]
fn lag_counts_from_the_first_newer_version() {
    let mut lag = RulesLag::default();
    lag.record(7, 7, ms(0));
    assert_eq!(lag.get(ms(100)), None);
    for (millis, newest) in [(100, 8), (600, 9), (1100, 12)] {
        lag.record(7, newest, ms(millis));
    }
    assert_eq!(lag.get(ms(1200)), Some(ms(1100)));
}
