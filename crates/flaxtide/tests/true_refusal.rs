//! A refusal that says "not run" is true: no backend server has seen the request.

mod common;

use common::{
    CLASSES, FleetShape, ORGANISATION_KEYS, TestAnswer, TestFleet, together, wait_for,
};
use flaxtide_core::{FailureReason, RanState};
use flaxtide_standin::{EngineFaults, EngineOptions, PlatformFaults, ServiceFaults};

/// Checks every refusal that says "not run", and that there is at least one.
fn check_refusals(fleet: &TestFleet, answers: &[TestAnswer], case: &str) {
    let refused: Vec<_> = answers.iter().filter(|answer| answer.refused()).collect();
    assert!(!refused.is_empty(), "{case}: nothing was refused: {:?}", answers.first());
    for answer in refused {
        assert!(
            !fleet.has_seen(&answer.request_id),
            "{case}: an untrue refusal: {answer:?}"
        );
    }
}

#[test]
fn requests_refused_under_overload_have_left_no_trace() {
    let engine = EngineOptions { slots: 2, ..EngineOptions::default() };
    let classes = Box::leak(CLASSES.replace("3s", "300ms").into_boxed_str());
    let fleet =
        TestFleet::start(&FleetShape { engine, classes, ..FleetShape::default() });
    let answers = together(150, |index| {
        fleet.instances[index % 2].ask(
            ORGANISATION_KEYS[0],
            "clerk",
            &format!("c{index}"),
        )
    });
    check_refusals(&fleet, &answers, "overload");
    for answer in answers.iter().filter(|answer| answer.refused()) {
        let failure = answer.failure.as_ref().unwrap();
        assert!(
            failure.retry_after_ms.is_some(),
            "no word when to come back: {failure:?}"
        );
    }
}

#[test]
fn requests_refused_with_engines_out_have_left_no_trace() {
    let mut fleet = TestFleet::start(&FleetShape::default());
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    }
    let ask = |fleet: &TestFleet| {
        together(10, |index| {
            let prompt = format!("c{index}");
            fleet.instances[index % 2].ask(ORGANISATION_KEYS[0], "clerk", &prompt)
        })
    };
    check_refusals(&fleet, &ask(&fleet), "leaving engines");
    let engines = std::mem::take(&mut fleet.engines);
    drop(engines);
    check_refusals(&fleet, &ask(&fleet), "engines gone");
}

#[test]
fn requests_with_a_key_are_refused_as_not_run_only_if_no_attempt_has() {
    let fleet = TestFleet::start(&FleetShape::default());
    let service = &fleet.services[0];
    // Nothing has run under the key, and the table says so.
    service.set_faults(ServiceFaults { leaving: true, ..ServiceFaults::default() });
    let answer = fleet.instances[0].file("k1", "a");
    assert!(answer.refused(), "{answer:?}");
    assert_eq!(fleet.runs_of("k1"), 0);
    // The same while the table doesn't answer: nobody can have looked.
    fleet
        .platform
        .set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let answer = fleet.instances[0].file("k5", "a");
    assert_eq!(answer.failure.expect("a final word").ran, RanState::Unknown);
    fleet.platform.set_faults(PlatformFaults::default());
    // The platform is out, so nobody can know of earlier attempts.
    service.set_faults(ServiceFaults::default());
    wait_for("the server is back", || fleet.instances[0].file("k0", "a").status == 200);
    fleet
        .platform
        .set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let answer = fleet.instances[0].file("k2", "a");
    let failure = answer.failure.expect("a final word");
    assert_eq!(failure.ran, RanState::Unknown);
    assert_eq!(failure.reason, FailureReason::ClaimUnavailable);
    assert_eq!(fleet.runs_of("k2"), 0);
}

#[test]
fn a_request_that_a_crash_may_have_run_is_never_called_not_run() {
    let fleet = TestFleet::start(&FleetShape::default());
    fleet.services[0]
        .set_faults(ServiceFaults { lose_answers: 1, ..ServiceFaults::default() });
    let answer = fleet.instances[0].file("k3", "a");
    assert_eq!(fleet.runs_of("k3"), 1);
    assert_eq!(answer.failure.expect("a final word").ran, RanState::Unknown);
    // A repeat through the other instance isn't told "not run" either, nor run again.
    let repeat = fleet.instances[1].file("k3", "a");
    assert_eq!(repeat.failure.expect("a final word").ran, RanState::Unknown);
    assert_eq!(fleet.runs_of("k3"), 1);
}

#[test]
fn an_instance_that_takes_nothing_says_nothing_of_requests_with_a_key() {
    let mut fleet = TestFleet::start(&FleetShape::default());
    assert_eq!(fleet.instances[0].file("k4", "a").status, 200);
    fleet.services[0]
        .set_faults(ServiceFaults { delay_ms: 3000, ..ServiceFaults::default() });
    std::thread::scope(|scope| {
        let stopping = &fleet.instances[1];
        // A long filing keeps the instance while it is stopping.
        scope.spawn(move || stopping.file("long", "a"));
        wait_for("the long one runs", || fleet.runs_of("long") == 1);
        stopping.signal("TERM");
        let mut refused = None;
        wait_for("it turns requests away", || {
            let answer = stopping.file("k4", "a");
            refused =
                answer.failure.filter(|body| body.reason == FailureReason::Stopping);
            refused.is_some() || answer.status == 0
        });
        assert_eq!(refused.expect("a final word").ran, RanState::Unknown);
    });
    assert!(fleet.instances[1].wait_exit().success());
    assert_eq!(fleet.runs_of("k4"), 1);
}
