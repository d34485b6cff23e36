//! Crash reports reach all instances: running ones, ones that start later, and ones that come
//! back from a network partition, even if messages are lost.

mod common;

use std::time::Duration;

use common::Fleet;
use flaxtide_fleet::FleetNode;

/// The fingerprint of the request.
const REQUEST: u128 = 7;

/// The time after the third crash within which all instances must know of it. Until then,
/// further attempts at servers are acceptable.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);

/// Fleet sizes as instances and data centres: a single group, four groups, six groups.
const SIZES: [(usize, usize); 3] = [(9, 4), (61, 4), (300, 6)];

/// Returns a fleet that has run for 15 s, so that its instances know each other.
fn started_fleet(instances: usize, data_centres: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, data_centres);
    fleet.run(Duration::from_secs(15));
    fleet
}

/// Has three instances, each in another data centre, observe a server that crashes under the
/// request.
fn crash_three_servers(fleet: &mut Fleet, numbers: [usize; 3]) {
    for (index, number) in numbers.into_iter().enumerate() {
        fleet.observe_crash(number, REQUEST, 100 + index as u32);
        fleet.run(Duration::from_millis(100));
    }
}

#[test]
fn three_crashes_seen_by_three_instances_are_known_to_all_at_once() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        crash_three_servers(&mut fleet, [0, 1, 2]);
        fleet.run(Duration::from_millis(200));
        assert_eq!(fleet.count_quarantining(REQUEST), instances, "of {instances}");
    }
}

#[test]
fn crashes_are_known_in_time_although_half_of_the_exchanges_are_lost() {
    for seed in 0..3 {
        let mut fleet = started_fleet(61, 4);
        fleet.random = rand::SeedableRng::seed_from_u64(seed);
        // Notices and answers are lost independently: 0.7 * 0.7 of the exchanges succeed.
        fleet.loss = 0.3;
        crash_three_servers(&mut fleet, [0, 1, 2]);
        fleet.run(CONVERGENCE_TIME * 2);
        assert_eq!(fleet.count_quarantining(REQUEST), 61, "seed {seed}");
    }
}

#[test]
fn an_instance_that_starts_later_learns_of_crashes_before_it_is_ready() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        crash_three_servers(&mut fleet, [4, 5, 6]);
        fleet.run(Duration::from_secs(5));
        // The observers end before the others are asked.
        for number in [4, 5, 6] {
            fleet.kill(number);
        }
        fleet.run(Duration::from_secs(1));
        fleet.start(instances, 3);
        let added = common::address(instances);
        let informed = |fleet: &Fleet| fleet.nodes[&added].has_synced_crashes();
        let start = fleet.now;
        while !informed(&fleet) {
            assert!(fleet.now < start + CONVERGENCE_TIME, "not informed, of {instances}");
            fleet.run(common::STEP);
        }
        assert_eq!(fleet.count_quarantining(REQUEST), instances - 2, "of {instances}");
    }
}

#[test]
fn the_sides_of_a_partition_add_up_their_crashes() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        fleet.isolated.insert("dc1".into());
        fleet.observe_crash(0, REQUEST, 100);
        fleet.observe_crash(1, REQUEST, 101);
        fleet.run(Duration::from_secs(20));
        // A crash that a second instance observes too counts once.
        fleet.observe_crash(2, REQUEST, 100);
        fleet.run(Duration::from_secs(1));
        fleet.observe_crash(1, REQUEST, 102);
        fleet.run(Duration::from_secs(20));
        assert_eq!(fleet.count_quarantining(REQUEST), 0);
        fleet.isolated.clear();
        let start = fleet.now;
        while fleet.count_quarantining(REQUEST) < instances {
            assert!(fleet.now < start + CONVERGENCE_TIME, "of {instances}");
            fleet.run(Duration::from_millis(500));
        }
        println!(
            "{instances} instances: known {:?} after the partition",
            fleet.now - start
        );
    }
}

#[test]
fn a_request_that_was_answered_is_cleared_everywhere() {
    let mut fleet = started_fleet(61, 4);
    crash_three_servers(&mut fleet, [0, 1, 2]);
    fleet.run(Duration::from_secs(1));
    let at = common::address(5);
    let now = fleet.now;
    let reports = fleet.crashes.get_mut(&at).unwrap().clear(REQUEST, now);
    fleet.nodes.get_mut(&at).unwrap().record_crashes(&reports, now);
    fleet.run(Duration::from_millis(200));
    assert_eq!(fleet.count_quarantining(REQUEST), 0);
}

/// Guards against a notice that is only resent after the answer time-out of 1.2 s if its link
/// couldn't be opened. This occurs when a peer has just started: if its port was still closed
/// when a heartbeat tried it 0.2 s before, no new attempt is made yet.
#[test]
fn a_notice_without_a_link_is_sent_again_soon() {
    let mut fleet = started_fleet(9, 4);
    fleet.observe_crash(0, REQUEST, 100);
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&common::address(0)).unwrap();
    let due = node.due_crashes(now);
    assert_eq!(due.len(), 8);
    for outgoing in &due {
        node.handle_crash_no_link(&outgoing.to.name, now);
    }
    assert_eq!(node.due_crashes(now + Duration::from_millis(250)).len(), 8);
}

#[test]
fn nothing_is_sent_while_no_server_crashes() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        let due = |node: &mut FleetNode| node.due_crashes(fleet.now).len();
        let sent: usize = fleet.nodes.values_mut().map(due).sum();
        assert_eq!(sent, 0, "of {instances}");
    }
}
