//! A planned stop cuts no request, also under load and while the platform is out.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::{FleetShape, ORGANISATION_KEYS, StopGuard, TestAnswer, TestFleet, wait_for};
use flaxtide_standin::{PlatformFaults, ServiceFaults};

/// Asks one instance until told to stop or refused, as callers behind a balancer do that
/// hasn't noticed yet.
fn keep_asking(fleet: &TestFleet, caller: usize, stop: &AtomicBool) -> Vec<TestAnswer> {
    let mut answers = vec![];
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let prompt = format!("caller {caller} round {round}");
        let answer = fleet.instances[1].ask(ORGANISATION_KEYS[0], "question", &prompt);
        let last = !answer.whole();
        answers.push(answer);
        if last {
            break;
        }
    }
    answers
}

/// Stops an instance under load and checks that nothing is cut.
fn stop_under_load(faults: PlatformFaults) {
    let mut fleet = TestFleet::start(&FleetShape::default());
    let stop = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        let _guard = StopGuard(&stop);
        let callers: Vec<_> = (0..12)
            .map(|caller| {
                let (fleet, stop) = (&fleet, &stop);
                scope.spawn(move || keep_asking(fleet, caller, stop))
            })
            .collect();
        wait_for("the load runs", || {
            fleet.instances[1]
                .status()
                .is_some_and(|status| status.open_calls >= 8)
        });
        fleet.platform.set_faults(faults);
        fleet.instances[1].signal("TERM");
        let answers = callers.into_iter().flat_map(|caller| caller.join().unwrap());
        answers.collect::<Vec<_>>()
    });
    // The process is gone, or says at the door that it is stopping.
    let turned_away = |answer: &TestAnswer| answer.status == 0 || answer.refused();
    let cut = answers
        .iter()
        .filter(|answer| !answer.whole() && !turned_away(answer));
    let cut: Vec<_> = cut.collect();
    assert!(cut.is_empty(), "{cut:?}");
    assert!(answers.iter().filter(|answer| answer.whole()).count() >= 8);
    for answer in answers.iter().filter(|answer| answer.refused()) {
        assert!(!fleet.has_seen(&answer.request_id), "{answer:?}");
    }
    assert!(fleet.instances[1].wait_exit().success());
}

#[test]
fn a_stop_under_load_cuts_no_request() {
    stop_under_load(PlatformFaults::default());
}

#[test]
fn a_stop_while_the_platform_is_out_cuts_no_request() {
    stop_under_load(PlatformFaults { down: true, ..PlatformFaults::default() });
}

#[test]
fn a_stop_finishes_filings_and_records_their_outcome() {
    let mut fleet = TestFleet::start(&FleetShape::default());
    fleet.services[0]
        .set_faults(ServiceFaults { delay_ms: 800, ..ServiceFaults::default() });
    let first = thread::scope(|scope| {
        let instance = &fleet.instances[1];
        let filing = scope.spawn(move || instance.file("k", "transfer"));
        wait_for("it runs", || fleet.runs_of("k") == 1);
        instance.signal("TERM");
        filing.join().unwrap()
    });
    assert_eq!(first.status, 200, "{first:?}");
    assert!(fleet.instances[1].wait_exit().success());
    let repeat = fleet.instances[0].file("k", "transfer");
    assert_eq!((repeat.status, repeat.text), (200, first.text));
    assert_eq!(fleet.runs_of("k"), 1);
}
