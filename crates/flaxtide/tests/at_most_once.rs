//! A request that may not be repeated runs at most once, and its answer isn't lost.

mod common;

use std::thread;
use std::time::Duration;

use common::{FleetShape, TestFleet, together, wait_for};
use flaxtide_core::{FailureReason, RanState};
use flaxtide_standin::{PlatformFaults, ServiceFaults};

/// Two data centres with an instance in each.
fn two_data_centres() -> TestFleet {
    TestFleet::start(&FleetShape {
        data_centres: 2,
        instances: 1,
        engines: 1,
        ..FleetShape::default()
    })
}

#[test]
fn a_repeat_gets_the_recorded_answer_and_another_body_is_an_error() {
    let fleet = two_data_centres();
    let first = fleet.instances[0].file("k1", "transfer");
    assert_eq!(first.status, 200, "{first:?}");
    for instance in &fleet.instances {
        let repeat = instance.file("k1", "transfer");
        assert_eq!((repeat.status, &repeat.text), (200, &first.text));
        let other = instance.file("k1", "another transfer");
        assert_eq!(other.failure.unwrap().reason, FailureReason::KeyReused);
    }
    assert_eq!(fleet.runs_of("k1"), 1);
}

#[test]
fn callers_that_race_through_both_data_centres_run_it_once() {
    let fleet = two_data_centres();
    for round in 0..5 {
        let key = format!("race-{round}");
        let answers =
            together(8, |index| fleet.instances[index % 2].file(&key, "transfer"));
        assert_eq!(fleet.runs_of(&key), 1);
        assert!(answers.iter().any(|answer| answer.status == 200));
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(answer.failure.as_ref().unwrap().ran, RanState::Unknown);
        }
    }
}

#[test]
fn platform_faults_neither_double_a_request_nor_hold_it_for_ever() {
    let cases = [
        ("one lost answer", PlatformFaults { lose_answers: 1, ..Default::default() }),
        ("three lost answers", PlatformFaults { lose_answers: 3, ..Default::default() }),
        ("eight lost answers", PlatformFaults { lose_answers: 8, ..Default::default() }),
        (
            "writes that take effect late",
            PlatformFaults { late_writes: 2, late_ms: 700, ..Default::default() },
        ),
        ("slow", PlatformFaults { delay_ms: 300, ..Default::default() }),
        ("too slow", PlatformFaults { delay_ms: 900, ..Default::default() }),
        ("down", PlatformFaults { down: true, ..Default::default() }),
        (
            "slow with lost answers",
            PlatformFaults {
                delay_ms: 200,
                lose_answers: 2,
                ..Default::default()
            },
        ),
    ];
    let fleet = two_data_centres();
    for (name, faults) in cases {
        let key = name.replace(' ', "-");
        fleet.platform.set_faults(faults);
        let answers =
            together(4, |index| fleet.instances[index % 2].file(&key, "transfer"));
        assert!(fleet.runs_of(&key) <= 1, "{name}: {answers:?}");
        for answer in &answers {
            assert!(
                answer.status == 200 || answer.failure.is_some(),
                "{name}: {answer:?}"
            );
        }
        fleet.platform.set_faults(PlatformFaults::default());
        // Once the platform is well, a repeat comes to an answer: a request that didn't
        // run isn't held by what was left of its attempts.
        wait_for(name, || {
            let answer = fleet.instances[0].file(&key, "transfer");
            assert!(fleet.runs_of(&key) <= 1, "{name}: {answer:?}");
            answer.status == 200
        });
        assert_eq!(fleet.runs_of(&key), 1, "{name}");
    }
}

#[test]
fn an_instance_killed_in_the_middle_leaves_no_second_run() {
    let mut fleet = two_data_centres();
    for service in &fleet.services {
        service.set_faults(ServiceFaults { delay_ms: 400, ..ServiceFaults::default() });
    }
    thread::scope(|scope| {
        let victim = &fleet.instances[1];
        scope.spawn(move || victim.file("killed", "transfer"));
        wait_for("it runs", || fleet.runs_of("killed") == 1);
        victim.signal("KILL");
    });
    fleet.instances[1].kill();
    for _ in 0..5 {
        let repeat = fleet.instances[0].file("killed", "transfer");
        let failure = repeat.failure.expect("its outcome isn't known");
        assert_eq!(failure.ran, RanState::Unknown);
        assert!(failure.retry_after_ms.is_some());
    }
    assert_eq!(fleet.runs_of("killed"), 1);
}

#[test]
fn an_instance_frozen_between_claim_and_send_runs_it_at_most_once() {
    let fleet = two_data_centres();
    // The instance is frozen while its claim is under way, at different moments of it.
    for (round, freeze_ms) in [20, 80, 140, 200, 260].into_iter().enumerate() {
        let key = format!("frozen-{round}");
        fleet
            .platform
            .set_faults(PlatformFaults { delay_ms: 150, ..Default::default() });
        thread::scope(|scope| {
            let (frozen, other) = (&fleet.instances[1], &fleet.instances[0]);
            let caller = scope.spawn(|| frozen.file(&key, "transfer"));
            thread::sleep(Duration::from_millis(freeze_ms));
            frozen.signal("STOP");
            let repeats: Vec<_> = (0..3).map(|_| other.file(&key, "transfer")).collect();
            frozen.signal("CONT");
            let thawed = caller.join().unwrap();
            assert!(fleet.runs_of(&key) <= 1, "{freeze_ms} ms: {thawed:?} {repeats:?}");
        });
        fleet.platform.set_faults(PlatformFaults::default());
        wait_for("a repeat comes to an answer", || {
            fleet.instances[0].file(&key, "transfer").status == 200
        });
        assert_eq!(fleet.runs_of(&key), 1);
    }
}

#[test]
fn an_answer_lost_on_the_way_to_the_caller_is_recovered_by_a_repeat() {
    let fleet = two_data_centres();
    let body = "x".repeat(40_000);
    let first = fleet.instances[1].file("large", &body);
    // The caller lost it; the record is too large for a row.
    let repeat = fleet.instances[0].file("large", &body);
    assert_eq!(first.status, 200);
    assert_eq!(repeat.text, first.text);
    assert_eq!(fleet.runs_of("large"), 1);
}
