//! A fleet of hundreds of instances on a manual clock: whom an instance talks to, and what
//! it knows of the others, through starts, losses, joins and cuts. Messages pass between
//! real nodes; only the network is played.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_fleet::{
    FleetNode, FleetNotice, FleetTiming, NodeDemand, OwnLoad, PeerInfo, fleet_key,
};

/// How much the clock moves in a step.
const STEP: Duration = Duration::from_millis(50);

/// How often an instance says what it has at servers.
const DEMAND_PERIOD: Duration = Duration::from_millis(100);

/// Up to how many instances are one group.
const JOINT_LIMIT: u32 = 58;

/// A fleet and the network between its instances.
struct Fleet {
    /// Up to how many instances are one group.
    joint_limit: u32,
    /// The nodes, by address.
    nodes: BTreeMap<SocketAddr, FleetNode>,
    /// The data centre of each address, also of nodes that are gone.
    places: BTreeMap<SocketAddr, String>,
    /// Data centres that nothing reaches or leaves.
    cut: BTreeSet<String>,
    /// The time.
    now: Duration,
    /// What each node has at servers.
    loads: BTreeMap<SocketAddr, Vec<OwnLoad>>,
    /// Whom each node has called since the last reset.
    called: BTreeMap<SocketAddr, BTreeSet<SocketAddr>>,
    /// How many messages were sent since the last reset.
    messages: usize,
    /// The last sums that each node has heard of each other data centre.
    sums: BTreeMap<(SocketAddr, String), Vec<OwnLoad>>,
}

impl Fleet {
    /// Starts so many instances in so many data centres, that know three seeds.
    fn new(instances: usize, data_centres: usize) -> Self {
        Self::with_limit(instances, data_centres, JOINT_LIMIT)
    }

    /// Starts instances of which up to so many are one group.
    fn with_limit(instances: usize, data_centres: usize, joint_limit: u32) -> Self {
        let mut fleet = Self {
            joint_limit,
            nodes: BTreeMap::new(),
            places: BTreeMap::new(),
            cut: BTreeSet::new(),
            now: Duration::from_secs(1),
            loads: BTreeMap::new(),
            called: BTreeMap::new(),
            messages: 0,
            sums: BTreeMap::new(),
        };
        for number in 0..instances {
            fleet.start(number, number % data_centres);
        }
        fleet
    }

    /// Starts an instance that knows three seeds.
    fn start(&mut self, number: usize, data_centre: usize) {
        let own = PeerInfo {
            name: format!("entry-{number}"),
            data_centre: format!("dc{data_centre}"),
            address: address(number),
        };
        self.places.insert(own.address, own.data_centre.clone());
        let timing = FleetTiming {
            joint_limit: self.joint_limit,
            ..FleetTiming::default()
        };
        let mut node = FleetNode::new(own, number as u32, timing);
        node.set_list(None, self.now);
        node.set_seeds((0..3).map(address).collect());
        self.nodes.insert(address(number), node);
    }

    /// Ends an instance without a word.
    fn kill(&mut self, number: usize) {
        self.nodes.remove(&address(number));
    }

    /// Returns whether a message passes.
    fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let (one, other) = (self.places.get(&from), self.places.get(&to));
        one == other
            || [one, other].into_iter().flatten().all(|at| !self.cut.contains(at))
    }

    /// Lets time pass.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for from in addresses {
                self.turn(from);
            }
        }
    }

    /// Gives a node its turn.
    fn turn(&mut self, from: SocketAddr) {
        let now = self.now;
        let node = self.nodes.get_mut(&from).unwrap();
        if now.as_millis().is_multiple_of(DEMAND_PERIOD.as_millis()) {
            let loads = self.loads.get(&from).cloned().unwrap_or_default();
            node.set_demand(NodeDemand { loads, ..NodeDemand::default() }, now);
        }
        let heartbeats = node.due_heartbeats(now);
        let hellos = node.due_hellos(now);
        for outgoing in heartbeats {
            let to = outgoing.to.address;
            let Some(peer) = self.reach(from, to) else { continue };
            let (reply, notices) = peer.handle_heartbeat(&outgoing.heartbeat, now);
            self.note(to, notices);
            let node = self.nodes.get_mut(&from).unwrap();
            let notices = node.handle_reply(&outgoing.to.name, &reply, now);
            self.note(from, notices);
        }
        for outgoing in hellos {
            let to = outgoing.to.address;
            let Some(peer) = self.reach(from, to) else { continue };
            let digest = peer.handle_hello(&outgoing.hello, now);
            let node = self.nodes.get_mut(&from).unwrap();
            let notices = node.handle_digest(&digest, now);
            self.note(from, notices);
        }
    }

    /// Calls a node.
    fn reach(&mut self, from: SocketAddr, to: SocketAddr) -> Option<&mut FleetNode> {
        self.messages += 1;
        self.called.entry(from).or_default().insert(to);
        if !self.passes(from, to) {
            return None;
        }
        self.nodes.get_mut(&to)
    }

    /// Notes the sums that a node has heard.
    fn note(&mut self, at: SocketAddr, notices: Vec<FleetNotice>) {
        for notices in notices {
            if let FleetNotice::GroupLoads(data_centre, loads) = notices {
                self.sums.insert((at, data_centre), loads);
            }
        }
    }

    /// Forgets who has called whom.
    fn reset(&mut self) {
        self.called.clear();
        self.messages = 0;
    }

    /// Returns how many live instances a data centre has.
    fn count_in(&self, data_centre: &str) -> usize {
        let places = self.nodes.keys().map(|address| &self.places[address]);
        places.filter(|place| *place == data_centre).count()
    }

    /// Returns the nodes that don't know how many instances are alive in their data centre,
    /// or in the fleet.
    fn mistaken(&self) -> Vec<String> {
        let all = self.nodes.len() as u32;
        let wrong = self.nodes.iter().filter_map(|(address, node)| {
            let near = self.count_in(&self.places[address]);
            let (live, fleet) = (node.live().len(), node.fleet_size(self.now));
            (live != near || fleet != all)
                .then(|| format!("{address}: {live} of {near} near, {fleet} of {all}"))
        });
        wrong.collect()
    }

    /// Lets time pass until no node is mistaken. Returns how long that took.
    fn settle(&mut self, most: Duration) -> Duration {
        let start = self.now;
        while !self.mistaken().is_empty() {
            assert!(self.now < start + most, "after {most:?}: {:?}", self.mistaken());
            self.run(Duration::from_millis(500));
        }
        self.now - start
    }
}

/// Returns the address of an instance.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 7000))
}

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
    let knows =
        |node: &&FleetNode| node.version() == 7 || node.newest_known(fleet.now) == 7;
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
