//! Evidence of requests that crash servers reaches all instances: those that are there, those
//! that start later, and those that come back from a cut, also where messages get lost.

mod common;

use std::time::Duration;

use common::Fleet;
use flaxtide_fleet::FleetNode;

/// A request.
const REQUEST: u128 = 7;

/// Sooner than this after the third server has ended, further tries are allowed to servers.
const STABLE: Duration = Duration::from_secs(3);

/// Sizes of fleets, and in how many data centres they stand: one group, several, many.
const SIZES: [(usize, usize); 3] = [(9, 4), (61, 4), (300, 6)];

/// Returns a fleet whose instances see each other.
fn settled(instances: usize, data_centres: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, data_centres);
    fleet.run(Duration::from_secs(15));
    fleet
}

/// Has three instances see a server end under the request, each in another data centre.
fn crash_three(fleet: &mut Fleet, numbers: [usize; 3]) {
    for (place, number) in numbers.into_iter().enumerate() {
        fleet.see_crash(number, REQUEST, 100 + place as u32);
        fleet.run(Duration::from_millis(100));
    }
}

#[test]
fn three_crashes_seen_by_three_instances_are_known_to_all_at_once() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        crash_three(&mut fleet, [0, 1, 2]);
        fleet.run(Duration::from_millis(200));
        assert_eq!(fleet.quarantining(REQUEST), instances, "of {instances}");
    }
}

#[test]
fn they_are_known_in_time_though_half_of_the_exchanges_get_lost() {
    for seed in 0..3 {
        let mut fleet = settled(61, 4);
        fleet.random = rand::SeedableRng::seed_from_u64(seed);
        fleet.loss = 0.3;
        crash_three(&mut fleet, [0, 1, 2]);
        fleet.run(STABLE * 2);
        assert_eq!(fleet.quarantining(REQUEST), 61, "seed {seed}");
    }
}

#[test]
fn an_instance_that_starts_later_learns_it_before_it_is_ready() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        crash_three(&mut fleet, [4, 5, 6]);
        fleet.run(Duration::from_secs(5));
        // Those who saw it are gone when the others are asked.
        for number in [4, 5, 6] {
            fleet.kill(number);
        }
        fleet.run(Duration::from_secs(1));
        fleet.start(instances, 3);
        let added = common::address(instances);
        let informed = |fleet: &Fleet| fleet.nodes[&added].has_synced_crashes();
        let start = fleet.now;
        while !informed(&fleet) {
            assert!(fleet.now < start + STABLE, "not informed, of {instances}");
            fleet.run(common::STEP);
        }
        assert_eq!(fleet.quarantining(REQUEST), instances - 2, "of {instances}");
    }
}

#[test]
fn two_sides_of_a_cut_add_up_what_each_has_seen() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        fleet.cut.insert("dc1".into());
        fleet.see_crash(0, REQUEST, 100);
        fleet.see_crash(1, REQUEST, 101);
        fleet.run(Duration::from_secs(20));
        // The same end, seen by a second instance, counts once.
        fleet.see_crash(2, REQUEST, 100);
        fleet.run(Duration::from_secs(1));
        fleet.see_crash(1, REQUEST, 102);
        fleet.run(Duration::from_secs(20));
        assert_eq!(fleet.quarantining(REQUEST), 0);
        fleet.cut.clear();
        let start = fleet.now;
        while fleet.quarantining(REQUEST) < instances {
            assert!(fleet.now < start + STABLE, "of {instances}");
            fleet.run(Duration::from_millis(500));
        }
        println!("{instances} instances: known {:?} after the cut", fleet.now - start);
    }
}

#[test]
fn a_request_that_was_answered_is_cleared_everywhere() {
    let mut fleet = settled(61, 4);
    crash_three(&mut fleet, [0, 1, 2]);
    fleet.run(Duration::from_secs(1));
    let at = common::address(5);
    let now = fleet.now;
    let reports = fleet.crashes.get_mut(&at).unwrap().clear(REQUEST, now);
    fleet.nodes.get_mut(&at).unwrap().record_crashes(&reports, now);
    fleet.run(Duration::from_millis(200));
    assert_eq!(fleet.quarantining(REQUEST), 0);
}

/// Seen on processes that had just started: news waited for 1.2 s where a link couldn't be
/// opened, as a peer's port was closed when heartbeats tried it 0.2 s before.
#[test]
fn a_notice_without_a_link_is_sent_again_soon() {
    let mut fleet = settled(9, 4);
    fleet.see_crash(0, REQUEST, 100);
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&common::address(0)).unwrap();
    let due = node.due_crashes(now);
    assert_eq!(due.len(), 8);
    for outgoing in &due {
        node.handle_crash_miss(&outgoing.to.name, now);
    }
    assert_eq!(node.due_crashes(now + Duration::from_millis(250)).len(), 8);
}

#[test]
fn nothing_is_said_while_no_server_ends() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        let due = |node: &mut FleetNode| node.due_crashes(fleet.now).len();
        let said: usize = fleet.nodes.values_mut().map(due).sum();
        assert_eq!(said, 0, "of {instances}");
    }
}
