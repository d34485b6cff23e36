//! What a server says of itself to one instance reaches all: those that are there, those that
//! start later, and those that come back from a cut, also where messages get lost.

mod common;

use std::time::Duration;

use common::Fleet;
use flaxtide_policy::{IncarnationKey, RequestRate};

/// A server.
const SERVER: IncarnationKey = 7;

/// Within this time what a server says must be known to all.
const STABLE: Duration = Duration::from_secs(3);

/// Sizes of fleets, and in how many data centres they stand: one group, several, many.
const SIZES: [(usize, usize); 3] = [(9, 4), (81, 4), (295, 6)];

/// Returns a fleet whose instances see each other.
fn settled(instances: usize, data_centres: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, data_centres);
    fleet.run(Duration::from_secs(15));
    fleet
}

#[test]
fn a_rate_and_its_end_are_known_to_all() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        fleet.hear_rate(3, SERVER, Some(2.0));
        fleet.run(STABLE);
        assert_eq!(fleet.believing(SERVER, Some(2.0)), instances, "of {instances}");
        fleet.hear_rate(5, SERVER, None);
        fleet.run(STABLE);
        assert_eq!(fleet.believing(SERVER, None), instances, "of {instances}");
    }
}

#[test]
fn a_server_that_leaves_is_known_to_all_and_takes_nothing_back() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        fleet.hear_leaving(3, SERVER);
        fleet.run(STABLE);
        assert_eq!(fleet.leaving(SERVER), instances, "of {instances}");
        // An answer that was made before comes late to another instance.
        fleet.hear_rate(5, SERVER, None);
        fleet.start(instances, 1);
        fleet.run(STABLE * 2);
        assert_eq!(fleet.leaving(SERVER), instances + 1, "of {instances}");
    }
}

#[test]
fn they_are_known_though_a_third_of_the_messages_get_lost() {
    for seed in 0..3 {
        let mut fleet = settled(81, 4);
        fleet.random = rand::SeedableRng::seed_from_u64(seed);
        fleet.loss = 0.3;
        fleet.hear_rate(3, SERVER, Some(2.0));
        fleet.run(STABLE * 3);
        assert_eq!(fleet.believing(SERVER, Some(2.0)), 81, "seed {seed}");
        fleet.hear_rate(5, SERVER, None);
        fleet.run(STABLE * 3);
        assert_eq!(fleet.believing(SERVER, None), 81, "seed {seed}");
    }
}

#[test]
fn an_instance_that_starts_later_learns_it_though_who_heard_it_is_gone() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        fleet.hear_rate(3, SERVER, Some(2.0));
        fleet.run(STABLE);
        fleet.kill(3);
        fleet.start(instances, 2);
        fleet.run(STABLE * 2);
        assert_eq!(fleet.believing(SERVER, Some(2.0)), instances, "of {instances}");
    }
}

#[test]
fn after_a_cut_the_newest_statement_holds_on_both_sides() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        fleet.cut.insert("dc1".into());
        fleet.run(Duration::from_secs(20));
        // One that stands behind the cut, then one before it.
        fleet.hear_rate(1, SERVER, Some(1.0));
        fleet.run(Duration::from_secs(5));
        fleet.hear_rate(0, SERVER, Some(4.0));
        fleet.run(Duration::from_secs(5));
        fleet.cut.clear();
        fleet.run(Duration::from_secs(15));
        assert_eq!(fleet.believing(SERVER, Some(4.0)), instances, "of {instances}");
    }
}

#[test]
fn the_parts_of_all_instances_add_up_to_the_rate() {
    for (instances, data_centres) in SIZES {
        let mut fleet = settled(instances, data_centres);
        for requests in [0.5, 2.0, 20.0, 200.0] {
            let rate = RequestRate::from_per_second(requests).unwrap();
            let now = fleet.now;
            for server in 0..20u64 {
                let place = format!("dc{}", server as usize % data_centres);
                let place = flaxtide_fleet::fleet_key(&place);
                let parts = fleet.nodes.values_mut().filter_map(|node| {
                    let group = node.instance_group(now)?;
                    Some(group.rate_share(server, place, rate))
                });
                let sum: f64 = parts.sum();
                assert!(
                    (sum - requests).abs() < 1e-6,
                    "{sum} of {requests}, {instances}"
                );
            }
        }
    }
}
