//! Each caller gets the whole answer to its own request, or an explicit error.

mod common;

use common::{FleetShape, ORGANISATION_KEYS, TestFleet, together};
use flaxtide_core::RanState;
use flaxtide_standin::{EngineFaults, ServiceFaults};

#[test]
fn faults_in_an_answer_are_mended_before_the_caller_sees_them() {
    let fleet = TestFleet::start(&FleetShape::default());
    let faults = EngineFaults { break_after: 3, ..EngineFaults::default() };
    let cases = [
        ("crossed", EngineFaults { crossings: 1, ..faults.clone() }),
        ("repeated token", EngineFaults { repeats: 1, ..faults.clone() }),
        ("cut off", EngineFaults { breaks: 1, ..faults.clone() }),
        (
            "cut off before the first token",
            EngineFaults { breaks: 1, break_after: 0, ..faults.clone() },
        ),
        ("ends as if complete", EngineFaults { truncations: 1, ..faults.clone() }),
        ("falls silent", EngineFaults { stalls: 1, ..faults.clone() }),
    ];
    // What is usual must be known before a silent engine can be told from a slow one.
    let warm = fleet.instances[0].ask(ORGANISATION_KEYS[0], "clerk", "warm");
    assert!(warm.whole(), "{warm:?}");
    for (name, faults) in cases {
        for stream in [true, false] {
            for engine in &fleet.engines {
                engine.set_faults(faults.clone());
            }
            let prompt = format!("{name} {stream}");
            let answer = fleet.instances[0].ask_for(
                ORGANISATION_KEYS[0],
                "clerk",
                &prompt,
                30,
                stream,
            );
            assert!(answer.whole(), "{name}, stream {stream}: {answer:?}");
            for engine in &fleet.engines {
                engine.set_faults(EngineFaults::default());
            }
        }
    }
}

#[test]
fn an_answer_that_cannot_be_mended_ends_with_an_explicit_error() {
    let fleet = TestFleet::start(&FleetShape::default());
    for faults in [
        EngineFaults {
            breaks: 1000,
            break_after: 2,
            ..EngineFaults::default()
        },
        EngineFaults {
            truncations: 1000,
            break_after: 0,
            ..EngineFaults::default()
        },
        EngineFaults { crossings: 1000, ..EngineFaults::default() },
    ] {
        for engine in &fleet.engines {
            engine.set_faults(faults.clone());
        }
        for stream in [true, false] {
            let answer = fleet.instances[0].ask_for(
                ORGANISATION_KEYS[0],
                "clerk",
                &format!("{faults:?}"),
                30,
                stream,
            );
            assert!(!answer.done, "{answer:?}");
            assert!(answer.failure.is_some(), "{answer:?}");
        }
    }
}

#[test]
fn many_callers_at_once_get_their_own_answers() {
    let fleet = TestFleet::start(&FleetShape::default());
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            crossings: 5,
            repeats: 5,
            breaks: 5,
            break_after: 4,
            ..EngineFaults::default()
        });
    }
    let answers = together(60, |index| {
        let instance = &fleet.instances[index % 2];
        instance.ask(ORGANISATION_KEYS[index % 2], "question", &format!("caller {index}"))
    });
    for answer in &answers {
        assert!(answer.whole() || answer.failure.is_some(), "{answer:?}");
        assert!(!answer.done || answer.own, "{answer:?}");
    }
    let whole = answers.iter().filter(|answer| answer.whole()).count();
    assert!(whole >= 50, "{whole} of 60 whole");
}

// Guards against a body that broke off before its stated length looking complete.
#[test]
fn a_plain_answer_that_breaks_off_is_a_failure() {
    let fleet = TestFleet::start(&FleetShape::default());
    let faults = ServiceFaults { cut_answers: 1000, ..ServiceFaults::default() };
    for service in &fleet.services {
        service.set_faults(faults.clone());
    }
    let answer = fleet.instances[0].file("cut", "a");
    assert_eq!(fleet.runs_of("cut"), 1);
    let failure = answer.failure.expect("an explicit error");
    assert_eq!(failure.ran, RanState::Unknown);
}

// Guards against an untrue "not run": a refusal that named another request was taken for that of
// the request at hand.
#[test]
fn a_refusal_that_names_another_request_refuses_none() {
    let fleet = TestFleet::start(&FleetShape::default());
    let faults = ServiceFaults { cross_refusals: 1000, ..ServiceFaults::default() };
    for service in &fleet.services {
        service.set_faults(faults.clone());
    }
    let answer = fleet.instances[0].file("crossed", "a");
    assert_eq!(fleet.runs_of("crossed"), 1);
    let failure = answer.failure.expect("an explicit error");
    assert_eq!(failure.ran, RanState::Unknown);
}

// Guards against a response whose status is that of no final response being taken for an answer.
#[test]
fn a_plain_answer_with_an_odd_status_is_a_failure() {
    let fleet = TestFleet::start(&FleetShape::default());
    for odd_status in [1, 99, 101, 199, 600, 700, 999] {
        for service in &fleet.services {
            service.set_faults(ServiceFaults { odd_status, ..ServiceFaults::default() });
        }
        let key = format!("odd-{odd_status}");
        let answer = fleet.instances[0].file(&key, "a");
        assert_eq!(fleet.runs_of(&key), 1, "{odd_status}");
        let failure = answer.failure.unwrap_or_else(|| panic!("{odd_status}: an error"));
        assert_eq!(failure.ran, RanState::Unknown, "{odd_status}");
    }
}
