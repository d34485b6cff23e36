//! When requests are denied by the rules in force.

use std::time::Duration;

use flaxtide_entry::RulesAge;

/// Returns a duration in milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns an age of rules that must be in force within two seconds and were looked up at 1 s.
fn looked_up() -> RulesAge {
    let age = RulesAge::new(ms(2000));
    age.record_covered(ms(1000));
    age
}

#[test]
fn requests_are_denied_by_rules_that_were_looked_up_lately() {
    let age = looked_up();
    for (now, permitted) in [(1000, true), (2500, true), (2600, true), (2700, false)] {
        assert_eq!(age.permits_denial(ms(now), false), permitted, "at {now} ms");
    }
    age.record_covered(ms(4000));
    // An answer that comes late doesn't take it back.
    age.record_covered(ms(500));
    assert!(age.permits_denial(ms(5000), false));
}

#[test]
fn rules_that_were_never_looked_up_deny_nothing_while_the_platform_answers() {
    let age = RulesAge::new(ms(2000));
    assert!(!age.permits_denial(ms(100), false));
    age.record_call(true);
    assert!(!age.permits_denial(ms(200), false));
    age.record_call(true);
    assert!(age.permits_denial(ms(300), false), "the platform is out");
}

// Guards against the first failed call, which may only show that its connection was silent, being
// taken for an outage of the platform.
#[test]
fn a_single_failed_call_is_no_outage() {
    let age = looked_up();
    age.record_call(true);
    assert!(!age.permits_denial(ms(3000), false));
    age.record_call(false);
    age.record_call(true);
    assert!(!age.permits_denial(ms(3000), false));
}

/// Guards against an instance that the platform alone turns away taking its failed calls for an outage
/// and denying requests by rules that it can't look up.
#[test]
fn failed_calls_are_no_outage_while_the_platform_answers_others() {
    let age = looked_up();
    (0..9).for_each(|_| age.record_call(true));
    assert!(!age.permits_denial(ms(3000), true));
    assert!(age.permits_denial(ms(3000), false));
}
