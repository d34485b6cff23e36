//! What a server announces to one instance reaches all: running ones, ones that start later,
//! and ones that come back from a network partition, even if messages are lost.

mod common;

use std::time::Duration;

use common::Fleet;
use flaxtide_policy::{IncarnationKey, RequestRate};

/// The key of the server's incarnation.
const SERVER: IncarnationKey = 7;

/// The time within which all instances must know an announcement.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);

/// Fleet sizes as instances and data centres: a single group, four groups, six groups.
const SIZES: [(usize, usize); 3] = [(9, 4), (81, 4), (295, 6)];

/// Returns a fleet that has run for 15 s, so that its instances know each other.
fn started_fleet(instances: usize, data_centres: usize) -> Fleet {
    let mut fleet = Fleet::new(instances, data_centres);
    fleet.run(Duration::from_secs(15));
    fleet
}

#[test]
fn a_rate_and_its_end_are_known_to_all() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        fleet.announce_rate(3, SERVER, Some(2.0));
        fleet.run(CONVERGENCE_TIME);
        assert_eq!(
            fleet.count_knowing_rate(SERVER, Some(2.0)),
            instances,
            "of {instances}"
        );
        fleet.announce_rate(5, SERVER, None);
        fleet.run(CONVERGENCE_TIME);
        assert_eq!(fleet.count_knowing_rate(SERVER, None), instances, "of {instances}");
    }
}

#[test]
fn a_leaving_server_is_known_to_all_and_stays_leaving() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        fleet.announce_leaving(3, SERVER);
        fleet.run(CONVERGENCE_TIME);
        assert_eq!(fleet.count_knowing_leaving(SERVER), instances, "of {instances}");
        // An answer from before the announcement arrives late at another instance.
        fleet.announce_rate(5, SERVER, None);
        fleet.start(instances, 1);
        fleet.run(CONVERGENCE_TIME * 2);
        assert_eq!(fleet.count_knowing_leaving(SERVER), instances + 1, "of {instances}");
    }
}

#[test]
fn rates_are_known_although_a_third_of_the_messages_are_lost() {
    for seed in 0..3 {
        let mut fleet = started_fleet(81, 4);
        fleet.random = rand::SeedableRng::seed_from_u64(seed);
        fleet.loss = 0.3;
        fleet.announce_rate(3, SERVER, Some(2.0));
        fleet.run(CONVERGENCE_TIME * 3);
        assert_eq!(fleet.count_knowing_rate(SERVER, Some(2.0)), 81, "seed {seed}");
        fleet.announce_rate(5, SERVER, None);
        fleet.run(CONVERGENCE_TIME * 3);
        assert_eq!(fleet.count_knowing_rate(SERVER, None), 81, "seed {seed}");
    }
}

#[test]
fn an_instance_that_starts_later_learns_a_rate_whose_receiver_is_gone() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        fleet.announce_rate(3, SERVER, Some(2.0));
        fleet.run(CONVERGENCE_TIME);
        fleet.kill(3);
        fleet.start(instances, 2);
        fleet.run(CONVERGENCE_TIME * 2);
        assert_eq!(
            fleet.count_knowing_rate(SERVER, Some(2.0)),
            instances,
            "of {instances}"
        );
    }
}

#[test]
fn after_a_partition_the_newest_statement_holds_on_both_sides() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        fleet.isolated.insert("dc1".into());
        fleet.run(Duration::from_secs(20));
        // First a statement on one side of the partition, then a newer one on the other.
        fleet.announce_rate(1, SERVER, Some(1.0));
        fleet.run(Duration::from_secs(5));
        fleet.announce_rate(0, SERVER, Some(4.0));
        fleet.run(Duration::from_secs(5));
        fleet.isolated.clear();
        fleet.run(Duration::from_secs(15));
        assert_eq!(
            fleet.count_knowing_rate(SERVER, Some(4.0)),
            instances,
            "of {instances}"
        );
    }
}

#[test]
fn the_shares_of_all_instances_add_up_to_the_rate() {
    for (instances, data_centres) in SIZES {
        let mut fleet = started_fleet(instances, data_centres);
        for requests in [0.5, 2.0, 20.0, 200.0] {
            let rate = RequestRate::from_per_second(requests).unwrap();
            let now = fleet.now;
            for server in 0..20u64 {
                let data_centre = format!("dc{}", server as usize % data_centres);
                let data_centre = flaxtide_fleet::fleet_key(&data_centre);
                let shares = fleet.nodes.values_mut().filter_map(|node| {
                    let group = node.instance_group(now)?;
                    Some(group.rate_share(server, data_centre, rate))
                });
                let sum: f64 = shares.sum();
                assert!(
                    (sum - requests).abs() < 1e-6,
                    "{sum} of {requests}, {instances}"
                );
            }
        }
    }
}
