//! An accepted configuration is in force everywhere within seconds and never reverts.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::{
    FleetShape, QUICK, StopGuard, TestFleet, TestInstance, dead_address, together,
    wait_for,
};
use flaxtide_standin::{PlatformFaults, RelayFault};
use serde_json::{Value, json};

/// The place that these proofs change.
const PLACE: &str = "models.m.max_tokens";

/// Two data centres with two instances in each.
fn fleet() -> TestFleet {
    TestFleet::start(&FleetShape {
        data_centres: 2,
        engines: 1,
        ..FleetShape::default()
    })
}

/// Returns the settings version in force at an instance.
fn version(instance: &TestInstance) -> u64 {
    instance.status().map_or(0, |status| status.settings_version)
}

/// Waits until a version, or a later one, is in force everywhere.
fn wait_in_force(fleet: &TestFleet, wanted: u64) {
    wait_for("the version is in force everywhere", || {
        fleet.instances.iter().all(|instance| version(instance) >= wanted)
    });
}

#[test]
fn of_racing_operators_one_wins_and_the_others_learn_what_changed() {
    let fleet = fleet();
    for base in 1..6 {
        let answers = together(4, |index| {
            fleet.instances[index].set(base, PLACE, json!(index + 1))
        });
        let won: Vec<_> = answers.iter().filter(|(status, _)| *status == 200).collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        for (status, answer) in answers.iter().filter(|(status, _)| *status != 200) {
            assert_eq!(*status, 412, "{answer}");
            assert_eq!(answer["current"], base + 1);
            assert_eq!(answer["between"][0]["edits"][0]["path"], PLACE);
        }
        wait_in_force(&fleet, base + 1);
        let trees: Vec<Value> = fleet
            .instances
            .iter()
            .map(|instance| instance.look("/settings").unwrap())
            .collect();
        assert!(trees.windows(2).all(|pair| pair[0] == pair[1]), "{trees:?}");
    }
}

#[test]
fn a_change_whose_answer_was_lost_is_accepted_once() {
    let fleet = fleet();
    for (base, lost) in [(1, 1), (2, 2)] {
        fleet
            .platform
            .set_faults(PlatformFaults { lose_answers: lost, ..Default::default() });
        let (status, answer) = fleet.instances[0].set(base, PLACE, json!(base));
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer["version"], base + 1);
        wait_in_force(&fleet, base + 1);
    }
    let history: Value = fleet.instances[3].look("/settings/history").unwrap();
    assert_eq!(history["records"].as_array().unwrap().len(), 3);
}

#[test]
fn a_change_that_the_platform_cannot_take_changes_nothing() {
    let fleet = fleet();
    fleet
        .platform
        .set_faults(PlatformFaults { down: true, ..Default::default() });
    let (status, answer) = fleet.instances[0].set(1, PLACE, json!(7));
    assert_eq!((status, &answer["changed"]), (503, &json!("no")), "{answer}");
    fleet.platform.set_faults(PlatformFaults::default());
    assert!(fleet.instances.iter().all(|instance| version(instance) == 1));
}

#[test]
fn no_instance_goes_back_through_restarts_freezes_and_cuts() {
    let mut fleet = fleet();
    let stop = AtomicBool::new(false);
    let mut base = 1;
    thread::scope(|scope| {
        let _guard = StopGuard(&stop);
        let watched = &fleet.instances[..2];
        let stop = &stop;
        let watchers: Vec<_> = watched
            .iter()
            .map(|instance| scope.spawn(move || watch_versions(instance, stop)))
            .collect();
        for round in 0..6 {
            match round % 3 {
                0 => fleet.instances[3].signal("STOP"),
                1 => fleet.instances[3].signal("CONT"),
                _ => fleet.platform_relay.set_fault(RelayFault::Delay(30)),
            }
            let (status, answer) = fleet.instances[0].set(base, PLACE, json!(round + 1));
            assert_eq!(status, 200, "{answer}");
            base += 1;
        }
        stop.store(true, Ordering::SeqCst);
        for watcher in watchers {
            watcher.join().unwrap();
        }
    });
    fleet.platform_relay.set_fault(RelayFault::None);
    wait_in_force(&fleet, base);
    // A restarted instance starts with the version in force.
    fleet.instances[2].kill();
    let index = fleet.add_instance("dc1-0", 1, "");
    wait_for("the restarted instance is ready", || version(&fleet.instances[index]) > 0);
    assert!(version(&fleet.instances[index]) >= base);
}

/// Watches the version of an instance until told to stop: it never falls.
fn watch_versions(instance: &TestInstance, stop: &AtomicBool) {
    let mut last = 0;
    while !stop.load(Ordering::SeqCst) {
        let seen = version(instance);
        assert!(seen >= last, "from version {last} back to {seen}");
        last = seen;
    }
}

#[test]
fn a_fresh_instance_in_a_cut_off_data_centre_takes_the_settings_from_a_peer() {
    let fleet = fleet();
    let (status, answer) = fleet.instances[0].set(1, PLACE, json!(5));
    assert_eq!(status, 200, "{answer}");
    wait_in_force(&fleet, 2);
    // From here on nobody reaches the platform; the old hands go on serving.
    fleet.platform_relay.set_fault(RelayFault::Cut);
    let nowhere = format!("http://{}", dead_address());
    let seed = fleet.instances[2].addresses.fleet;
    let seeds = format!("{QUICK}peers: ['{seed}']\n");
    let fresh = TestInstance::start("dc1-9", 1, &nowhere, &seeds);
    wait_for("the fresh instance is ready", || {
        fresh.status().is_some_and(|status| status.ready)
    });
    assert_eq!(version(&fresh), 2);
    let answer = fresh.ask(common::ORGANISATION_KEYS[0], "clerk", "from the fresh one");
    assert!(answer.whole(), "{answer:?}");
    // One with neither a platform nor peers isn't ready, and says so.
    let lost = TestInstance::start("dc1-8", 1, &nowhere, QUICK);
    let answer = lost.ask(common::ORGANISATION_KEYS[0], "clerk", "too early");
    assert_eq!(answer.failure.unwrap().reason, flaxtide_core::FailureReason::NotReady);
}
