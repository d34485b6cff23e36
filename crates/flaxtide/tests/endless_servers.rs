//! Servers of the own interface that send bytes without end, until the instance closes the connection.

mod common;

use std::time::{Duration, Instant};

use common::{FleetShape, ORGANISATION_KEYS, TestFleet, together};
use flaxtide_standin::{EndlessKind, EngineFaults, ServiceFaults};

/// The requests that meet bytes without end at once.
const CALLERS: usize = 4;

/// By how much the memory of all instances may grow, in bytes: each call may hold a body of 16 MiB in a
/// buffer that doubles as it grows.
const MAX_GROWTH: f64 = (CALLERS * 2 * (16 << 20)) as f64;

/// How long such a request may take: the deadline of its class, and what a busy machine needs.
const ENDED_WITHIN: Duration = Duration::from_secs(40);

/// Returns the memory of all instances, in bytes. Each asks some servers for their load.
fn memory(fleet: &TestFleet) -> f64 {
    fleet.instances.iter().map(|instance| instance.usage().memory).sum()
}

/// Checks that requests end and that the memory of the instances stays bounded meanwhile.
fn check(name: &str, fleet: &TestFleet, ask: impl Fn(usize) -> bool + Sync) {
    let before = memory(fleet);
    let start = Instant::now();
    let most = std::thread::scope(|scope| {
        let callers = scope.spawn(|| together(CALLERS, &ask));
        let mut most = 0.0_f64;
        while !callers.is_finished() {
            most = most.max(memory(fleet) - before);
            assert!(most < MAX_GROWTH, "{name}: the memory grew by {most} bytes");
            assert!(start.elapsed() < ENDED_WITHIN, "{name}: no answer");
            std::thread::sleep(Duration::from_millis(20));
        }
        assert!(callers.join().unwrap().iter().all(|failed| *failed), "{name}");
        most
    });
    println!("{name}: {most} bytes, {:?}", start.elapsed());
}

// Guards against an instance that keeps all that a faulty service sends.
#[test]
fn plain_answers_without_end_are_failures() {
    for kind in [
        EndlessKind::HeadLine,
        EndlessKind::Headers,
        EndlessKind::Body,
        EndlessKind::Chunks,
    ] {
        let fleet = TestFleet::start(&FleetShape::default());
        let faults = ServiceFaults { endless: Some(kind), ..ServiceFaults::default() };
        fleet
            .services
            .iter()
            .for_each(|service| service.set_faults(faults.clone()));
        let ask = |number| {
            let answer = fleet.instances[0].file(&format!("key-{number}"), "a");
            answer.failure.is_some()
        };
        check(&format!("{kind:?}"), &fleet, ask);
    }
}

// Guards against the same in the answers of engines.
#[test]
fn completions_without_end_are_failures() {
    for kind in [
        EndlessKind::HeadLine,
        EndlessKind::Headers,
        EndlessKind::EventLine,
        EndlessKind::Event,
        EndlessKind::Comments,
    ] {
        let fleet = TestFleet::start(&FleetShape::default());
        let faults = EngineFaults { endless: Some(kind), ..EngineFaults::default() };
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.set_faults(faults.clone()));
        let ask = |number| {
            let prompt = format!("prompt {number}");
            let answer = fleet.instances[0].ask_for(
                ORGANISATION_KEYS[0],
                "clerk",
                &prompt,
                30,
                true,
            );
            answer.failure.is_some()
        };
        check(&format!("{kind:?}"), &fleet, ask);
    }
}

// Guards against the same in what servers report of their load: others are asked on.
#[test]
fn reports_without_end_cost_neither_memory_nor_requests() {
    for kind in [EndlessKind::HeadLine, EndlessKind::Text, EndlessKind::Blanks] {
        let fleet = TestFleet::start(&FleetShape::default());
        let faults = ServiceFaults {
            endless_load: Some(kind),
            ..ServiceFaults::default()
        };
        fleet
            .services
            .iter()
            .for_each(|service| service.set_faults(faults.clone()));
        let until = Instant::now() + Duration::from_secs(3);
        let ask = |number| {
            while Instant::now() < until {
                let prompt = format!("prompt {number}");
                let answer =
                    fleet.instances[0].ask(ORGANISATION_KEYS[0], "clerk", &prompt);
                if !answer.whole() {
                    return false;
                }
            }
            true
        };
        check(&format!("{kind:?}"), &fleet, ask);
    }
}

// Guards against a thread that reads a report for as long as bytes of it come: it asks other servers too,
// and a stop waits for it.
#[test]
fn a_report_that_comes_slowly_without_end_stops_nothing() {
    let mut fleet = TestFleet::start(&FleetShape::default());
    let faults = ServiceFaults {
        endless_load: Some(EndlessKind::Slow),
        ..ServiceFaults::default()
    };
    fleet
        .services
        .iter()
        .for_each(|service| service.set_faults(faults.clone()));
    std::thread::sleep(Duration::from_secs(3));
    for instance in &mut fleet.instances {
        instance.signal("TERM");
    }
    for instance in &mut fleet.instances {
        assert!(instance.wait_exit().success());
    }
}

// Guards against the body of a response that has none being read for as long as it comes.
#[test]
fn answers_to_head_without_end_cost_no_memory() {
    let fleet = TestFleet::start(&FleetShape::default());
    let faults = ServiceFaults {
        endless: Some(EndlessKind::Body),
        ..ServiceFaults::default()
    };
    fleet
        .services
        .iter()
        .for_each(|service| service.set_faults(faults.clone()));
    check("HEAD", &fleet, |number| {
        fleet.instances[0].look_up(&format!("key-{number}")) == 200
    });
}
