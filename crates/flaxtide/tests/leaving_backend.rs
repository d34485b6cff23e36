//! A leaving backend server gets no new work 3 s after the first sign, on any instance.

mod common;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use common::{FleetShape, ORGANISATION_KEYS, TestFleet, together};
use flaxtide_standin::{EngineFaults, RunRecord};

/// After the first sign of leaving, a server may get work for so long.
const NOTICE: Duration = Duration::from_secs(3);

/// Asks through every instance, often enough to reach every engine that gets work.
fn ask_everywhere(fleet: &TestFleet, round: &str) {
    let answers = together(40, |index| {
        let instance = &fleet.instances[index % fleet.instances.len()];
        instance.ask(ORGANISATION_KEYS[0], "question", &format!("{round} {index}"))
    });
    for answer in answers {
        assert!(answer.whole(), "{round}: {answer:?}");
    }
}

/// Returns the requests that an engine has seen.
fn seen(fleet: &TestFleet, engine: usize) -> BTreeSet<String> {
    fleet.engines[engine].records().into_keys().collect()
}

#[test]
fn a_server_that_reports_leaving_gets_no_new_work() {
    let fleet = TestFleet::start(&FleetShape { instances: 3, ..FleetShape::default() });
    ask_everywhere(&fleet, "before");
    assert!(!seen(&fleet, 0).is_empty());
    fleet.engines[0]
        .set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    thread::sleep(NOTICE);
    // From here on it would take work again, so that each dispatch to it shows.
    let before = seen(&fleet, 0);
    ask_everywhere(&fleet, "after");
    assert_eq!(seen(&fleet, 0), before);
}

#[test]
fn a_server_that_the_list_calls_leaving_gets_no_new_work() {
    let mut fleet =
        TestFleet::start(&FleetShape { instances: 3, ..FleetShape::default() });
    ask_everywhere(&fleet, "before");
    // The engine itself knows nothing of it and would take work.
    fleet.list_leaving("e0");
    thread::sleep(NOTICE);
    let before: Vec<RunRecord> = fleet.engines[0].records().into_values().collect();
    ask_everywhere(&fleet, "after");
    let after: Vec<RunRecord> = fleet.engines[0].records().into_values().collect();
    assert_eq!(before, after);
}

#[test]
fn requests_refused_by_a_leaving_server_are_served_elsewhere() {
    let fleet = TestFleet::start(&FleetShape { instances: 2, ..FleetShape::default() });
    fleet.engines[1]
        .set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    // At once, while some instances don't know yet.
    ask_everywhere(&fleet, "at once");
    assert!(seen(&fleet, 1).is_empty());
}
