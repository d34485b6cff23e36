//! A data centre that is cut off from the platform and from its peers goes on with what it
//! can, the others too, and they come together again without an operator.

mod common;

use common::{
    FleetShape, ORGANISATION_KEYS, TestAnswer, TestFleet, TestInstance, together,
    wait_for,
};
use flaxtide_core::{FailureReason, RanState};
use flaxtide_standin::EngineFaults;
use serde_json::json;

/// The place in the settings that is changed meanwhile.
const PLACE: &str = "models.m.max_tokens";

/// Asks through every instance of a data centre.
fn ask_all(fleet: &TestFleet, data_centre: usize, round: &str) -> Vec<TestAnswer> {
    together(12, |index| {
        let instance = &fleet.instances[2 * data_centre + index % 2];
        let prompt = format!("{round} {data_centre} {index}");
        instance.ask(ORGANISATION_KEYS[index % 2], "question", &prompt)
    })
}

/// Returns the settings version in force at an instance.
fn version(instance: &TestInstance) -> u64 {
    instance.status().map_or(0, |status| status.settings_version)
}

#[test]
fn both_sides_of_a_cut_go_on_and_no_promise_is_broken_when_they_join() {
    let fleet = TestFleet::start(&FleetShape {
        data_centres: 2,
        apart: true,
        ..FleetShape::default()
    });
    let before = fleet.instances[2].file("before", "transfer");
    assert_eq!(before.status, 200, "{before:?}");
    fleet.cut(true);

    // Requests that may be repeated are served on both sides.
    for data_centre in 0..2 {
        for answer in ask_all(&fleet, data_centre, "cut") {
            assert!(answer.whole(), "{answer:?}");
        }
    }
    // Inside the cut one, peers still hear each other: a leaving engine gets no work.
    fleet.engines[3]
        .set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    for answer in ask_all(&fleet, 1, "one engine less") {
        assert!(answer.whole(), "{answer:?}");
    }
    let peers = fleet.instances[2].status().unwrap().live_peers;
    assert_eq!(peers, 1, "the two of the cut data centre see each other");

    // A filing runs where the table is reached; elsewhere it isn't sent.
    assert_eq!(fleet.instances[0].file("during", "transfer").status, 200);
    let refused = fleet.instances[2].file("cut-off", "transfer");
    let refused = refused.failure.unwrap_or_else(|| panic!("no final word"));
    assert_eq!(refused.reason, FailureReason::ClaimUnavailable);
    assert_eq!(refused.ran, RanState::Unknown);
    assert!(refused.retry_after_ms.is_some());
    assert_eq!(fleet.runs_of("cut-off"), 0);
    // A key that the other side uses meanwhile isn't run twice.
    let same = fleet.instances[3].file("during", "transfer");
    assert_ne!(same.status, 200);
    assert_eq!(fleet.runs_of("during"), 1);

    // Settings change where the platform is reached, and nowhere else.
    let (status, answer) = fleet.instances[0].set(1, PLACE, 7);
    assert_eq!(status, 200, "{answer}");
    wait_for("the change is in force on its side", || version(&fleet.instances[1]) == 2);
    let (status, answer) = fleet.instances[2].set(1, PLACE, 8);
    assert_eq!((status, &answer["changed"]), (503, &json!("no")), "{answer}");
    assert_eq!(version(&fleet.instances[2]), 1);

    // Joined again: the change arrives, nothing goes back, and the filings have one run.
    fleet.cut(false);
    wait_for("the change is in force everywhere", || {
        fleet.instances.iter().all(|instance| version(instance) == 2)
    });
    for key in ["before", "during", "cut-off"] {
        wait_for("a repeat through the joined side comes to its answer", || {
            fleet.instances[3].file(key, "transfer").status == 200
        });
        assert_eq!(fleet.runs_of(key), 1, "{key}");
    }
    let (status, answer) = fleet.instances[2].set(2, PLACE, 9);
    assert_eq!(status, 200, "{answer}");
}
