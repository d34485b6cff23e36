//! A fleet of hundreds of instances on a manual clock: whom an instance talks to, and what
//! it knows of the others, through starts, losses, joins and cuts. Messages pass between
//! real nodes; only the network is played.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, address};
use flaxtide_fleet::{FleetNode, OwnLoad, fleet_key};

/// Returns a load of so many short prompts at one server.
fn load(server: &str, short: u8) -> OwnLoad {
    OwnLoad {
        server: fleet_key(server),
        short,
        long: 0,
        unread: [0, 10, 0],
    }
}

#[test]
fn calls_follow_the_data_centre_and_not_the_fleet() {
    for instances in [300, 600] {
        let mut fleet = Fleet::new(instances, instances / 50);
        fleet.settle(Duration::from_secs(12));
        fleet.run(Duration::from_secs(10));
        fleet.reset();
        fleet.run(Duration::from_secs(10));
        let others = instances / 50 - 1;
        for (from, called) in &fleet.called {
            assert!(called.len() <= 49 + others, "{from} called {}", called.len());
        }
        let a_second = fleet.messages as f64 / instances as f64 / 10.0;
        println!("{instances} instances: {a_second:.1} messages a second each");
        assert!(a_second < 36.0, "{a_second}");
    }
}

/// Where data centres are always groups of their own, instances without a list are told of all
/// others, as rates are divided by how many there are.
#[test]
fn without_a_common_group_all_instances_are_told_of() {
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
    assert!(fleet.sums.is_empty(), "each hears each itself");
}

#[test]
fn a_fleet_that_grows_is_divided_and_one_that_shrinks_is_united() {
    let mut fleet = Fleet::new(40, 4);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.nodes.values().all(|node| node.live().len() == 40));
    for number in 40..100 {
        fleet.start(number, number % 4);
    }
    fleet.settle(Duration::from_secs(15));
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
    fleet.settle(Duration::from_secs(12));
    // Six in ten are lost at once, one of three seeds with them.
    for number in (0..300).filter(|number| number % 5 > 1) {
        fleet.kill(number);
    }
    let lost = fleet.settle(Duration::from_secs(20));
    // A fifth of the first size joins.
    for number in 300..360 {
        fleet.start(number, number % 6);
    }
    let joined = fleet.settle(Duration::from_secs(20));
    println!("losses known after {lost:?}, joins after {joined:?}");
}

#[test]
fn a_data_centre_that_is_cut_off_goes_on_counts_still_and_joins_again() {
    let mut fleet = Fleet::new(300, 6);
    fleet.settle(Duration::from_secs(12));
    fleet.cut.insert("dc2".into());
    fleet.run(Duration::from_secs(20));
    // It goes on drawing on what all share, so it is counted.
    assert!(fleet.mistaken().is_empty(), "{:?}", fleet.mistaken());
    fleet.cut.clear();
    // All instances of a data centre but one in ten go meanwhile: contacts are replaced.
    for number in (0..300).filter(|number| number % 6 == 4 && number % 60 != 4) {
        fleet.kill(number);
    }
    fleet.settle(Duration::from_secs(25));
}

#[test]
fn newer_settings_of_one_data_centre_are_known_in_all() {
    let mut fleet = Fleet::new(300, 6);
    fleet.settle(Duration::from_secs(12));
    let home: Vec<SocketAddr> = fleet
        .nodes
        .keys()
        .copied()
        .filter(|at| fleet.places[at] == "dc1")
        .collect();
    for address in home {
        fleet.nodes.get_mut(&address).unwrap().set_version(7);
    }
    fleet.run(Duration::from_secs(4));
    for node in fleet.nodes.values_mut() {
        node.record_newer(fleet.now);
    }
    let knows = |node: &&FleetNode| {
        node.version() == 7 || node.newest_known_version(fleet.now) == 7
    };
    assert_eq!(fleet.nodes.values().filter(knows).count(), 300);
}

#[test]
fn sums_of_loads_are_told_to_every_other_data_centre() {
    let mut fleet = Fleet::new(120, 3);
    fleet.settle(Duration::from_secs(12));
    for number in (0..120).filter(|number| number % 3 == 0) {
        fleet
            .loads
            .insert(address(number), vec![load("engine-1", 2), load("engine-2", 1)]);
    }
    fleet.run(Duration::from_secs(8));
    for at in fleet.nodes.keys().filter(|at| fleet.places[at] != "dc0") {
        let sums = &fleet.sums[&(*at, "dc0".to_owned())];
        let of = |server: &str| {
            sums.iter().find(|sum| sum.server == fleet_key(server)).unwrap()
        };
        assert_eq!((of("engine-1").short, of("engine-1").unread[1]), (80, 400), "{at}");
        assert_eq!(of("engine-2").short, 40, "{at}");
    }
}
