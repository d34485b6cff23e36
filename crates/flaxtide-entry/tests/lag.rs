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

// Guards against an instance never being overdue that is always some versions behind: the time
// within which rules must be in force runs from each version.
#[test]
fn lag_counts_from_the_oldest_version_that_is_not_in_force() {
    let mut lag = RulesLag::default();
    // There is a version each second, and each is put in force four seconds later.
    for seconds in 4..40 {
        let now = Duration::from_secs(seconds);
        lag.record(seconds - 4, seconds, now);
        assert!(lag.get(now) >= Some(Duration::from_secs(seconds.min(7) - 4)), "{now:?}");
    }
    assert_eq!(lag.get(Duration::from_secs(39)), Some(Duration::from_secs(3)));
}
