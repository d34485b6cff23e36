//! A fleet of hundreds of instances on a manual clock: which peers an instance calls, and what
//! it knows of the others, through starts, losses, joins and network partitions. Messages pass
//! between real nodes; only the network is simulated.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, address};
use flaxtide_fleet::{FleetNode, OwnLoad, fleet_key};

/// Returns a load of short prompts at one server.
fn load(server: &str, short: u8) -> OwnLoad {
    OwnLoad {
        server: fleet_key(server),
        short,
        long: 0,
        unread: [0, 10, 0],
    }
}

#[test]
fn calls_grow_with_the_data_centre_and_not_with_the_fleet() {
    for instances in [300, 600] {
        let mut fleet = Fleet::new(instances, instances / 50);
        fleet.run_until_informed(Duration::from_secs(12));
        fleet.run(Duration::from_secs(10));
        fleet.reset();
        fleet.run(Duration::from_secs(10));
        let others = instances / 50 - 1;
        for (from, called) in &fleet.called {
            assert!(called.len() <= 49 + others, "{from} called {}", called.len());
        }
        let messages_per_second = fleet.messages as f64 / instances as f64 / 10.0;
        println!(
            "{instances} instances: {messages_per_second:.1} messages a second each"
        );
        assert!(messages_per_second < 36.0, "{messages_per_second}");
    }
}

/// Where each data centre is always a group of its own, instances without a list learn of all
/// others, because rates are divided by the number of instances.
#[test]
fn without_a_single_group_replies_list_all_instances() {
    let mut fleet = Fleet::with_limit(30, 2, 0);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.nodes.values().all(|node| node.live().len() == 15));
    let sizes: Vec<u32> =
        fleet.nodes.values().map(|node| node.fleet_size(fleet.now)).collect();
    assert!(sizes.iter().all(|size| *size == 30), "{sizes:?}");
}

#[test]
fn a_small_fleet_is_one_group_whatever_its_data_centres() {
    let mut fleet = Fleet::new(9, 4);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.nodes.values().all(|node| node.live().len() == 9));
    assert!(fleet.nodes.values().all(|node| node.fleet_size(fleet.now) == 9));
    assert!(fleet.group_loads.is_empty(), "loads arrive in heartbeats");
}

#[test]
fn a_growing_fleet_is_divided_and_a_shrinking_one_is_reunited() {
    let mut fleet = Fleet::new(40, 4);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.nodes.values().all(|node| node.live().len() == 40));
    for number in 40..100 {
        fleet.start(number, number % 4);
    }
    fleet.run_until_informed(Duration::from_secs(15));
    assert!(fleet.nodes.values().all(|node| node.live().len() == 25));
    for number in 30..100 {
        fleet.kill(number);
    }
    fleet.run(Duration::from_secs(40));
    assert!(fleet.nodes.values().all(|node| node.live().len() == 30));
}

#[test]
fn losses_and_joins_of_many_are_known_everywhere_within_seconds() {
    let mut fleet = Fleet::new(300, 6);
    fleet.run_until_informed(Duration::from_secs(12));
    // Three of five instances are lost at once, including one of the three seeds.
    for number in (0..300).filter(|number| number % 5 > 1) {
        fleet.kill(number);
    }
    let lost = fleet.run_until_informed(Duration::from_secs(20));
    // As many instances as a fifth of the initial fleet join.
    for number in 300..360 {
        fleet.start(number, number % 6);
    }
    let joined = fleet.run_until_informed(Duration::from_secs(20));
    println!("losses known after {lost:?}, joins after {joined:?}");
}

#[test]
fn a_partitioned_data_centre_is_still_counted_and_rejoins() {
    let mut fleet = Fleet::new(300, 6);
    fleet.run_until_informed(Duration::from_secs(12));
    fleet.isolated.insert("dc2".into());
    fleet.run(Duration::from_secs(20));
    // The data centre still uses shared resources, so its instances are counted.
    assert!(fleet.misinformed().is_empty(), "{:?}", fleet.misinformed());
    fleet.isolated.clear();
    // Meanwhile nine of ten instances of another data centre end, so its contacts are replaced.
    for number in (0..300).filter(|number| number % 6 == 4 && number % 60 != 4) {
        fleet.kill(number);
    }
    fleet.run_until_informed(Duration::from_secs(25));
}

#[test]
fn newer_settings_of_one_data_centre_are_known_in_all() {
    let mut fleet = Fleet::new(300, 6);
    fleet.run_until_informed(Duration::from_secs(12));
    let addresses: Vec<SocketAddr> = fleet
        .nodes
        .keys()
        .copied()
        .filter(|at| fleet.data_centres[at] == "dc1")
        .collect();
    for address in addresses {
        fleet.nodes.get_mut(&address).unwrap().set_version(7);
    }
    fleet.run(Duration::from_secs(4));
    for node in fleet.nodes.values_mut() {
        node.update_newer_since(fleet.now);
    }
    let knows = |node: &&FleetNode| {
        node.version() == 7 || node.newest_known_version(fleet.now) == 7
    };
    assert_eq!(fleet.nodes.values().filter(knows).count(), 300);
}

#[test]
fn load_sums_reach_every_other_data_centre() {
    let mut fleet = Fleet::new(120, 3);
    fleet.run_until_informed(Duration::from_secs(12));
    for number in (0..120).filter(|number| number % 3 == 0) {
        fleet
            .loads
            .insert(address(number), vec![load("engine-1", 2), load("engine-2", 1)]);
    }
    fleet.run(Duration::from_secs(8));
    for at in fleet.nodes.keys().filter(|at| fleet.data_centres[at] != "dc0") {
        let sums = &fleet.group_loads[&(*at, "dc0".to_owned())];
        let of = |server: &str| {
            sums.iter().find(|sum| sum.server == fleet_key(server)).unwrap()
        };
        assert_eq!((of("engine-1").short, of("engine-1").unread[1]), (80, 400), "{at}");
        assert_eq!(of("engine-2").short, 40, "{at}");
    }
}

#[test]
fn an_instance_that_knows_only_part_of_a_divided_fleet_joins_its_group() {
    // One instance knows as many peers as a single group may have when the others divide.
    for instances in [60, 69, 79, 87] {
        let mut fleet = Fleet::new(instances, 3);
        let took = fleet.run_until_informed(Duration::from_secs(30));
        println!("{instances} instances informed after {took:?}");
    }
}

/// Guards against an instance that takes those it hears for the whole fleet, although the path to
/// another data centre has been cut since before its start.
#[test]
fn a_data_centre_counts_as_heard_once_an_instance_of_it_has_answered() {
    for (instances, data_centres) in [(9, 3), (300, 6)] {
        let mut fleet = Fleet::new(instances, data_centres);
        fleet.run(Duration::from_secs(12));
        let heard =
            |fleet: &Fleet, number| fleet.nodes[&address(number)].heard_data_centres();
        assert_eq!(heard(&fleet, 0), data_centres, "of {instances}");
        fleet.isolated.insert("dc1".into());
        fleet.start(instances, 1);
        fleet.run(Duration::from_secs(10));
        assert_eq!(heard(&fleet, instances), 1, "of {instances}");
        fleet.isolated.clear();
        fleet.run(Duration::from_secs(20));
        assert_eq!(heard(&fleet, instances), data_centres, "of {instances}");
    }
}
