//! Membership, shares and rates of several instances through network partitions and losses, on
//! a manual clock. Messages pass between real nodes; only the network is simulated.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_fleet::{
    FleetKey, FleetNode, FleetServer, FleetTiming, ListReader, NodeEvent, NodeStatus,
    PeerInfo, PoolDemand, UsageCount, fleet_key,
};

/// How far the clock advances in a step.
const STEP: Duration = Duration::from_millis(50);

/// The slots of each server.
const SLOTS: u32 = 8;

/// Several nodes and the network between them.
struct Net {
    /// The nodes, by name.
    nodes: BTreeMap<String, FleetNode>,
    /// Pairs of data centres or instances between which messages are lost.
    partitions: BTreeSet<(String, String)>,
    /// The current time.
    now: Duration,
    /// The status of each node.
    statuses: BTreeMap<String, NodeStatus>,
    /// The last shares and their expiry, by node and server.
    shares: BTreeMap<(String, FleetKey), (u16, Duration)>,
    /// The last shares of the rate and their expiry, by node.
    rates: BTreeMap<String, (f64, Duration)>,
}

impl Net {
    /// Starts nodes named `dcD-N` that know each other from the list.
    fn new(data_centres: usize, instances: usize, servers: usize) -> Self {
        let infos: Vec<PeerInfo> = (0..data_centres)
            .flat_map(|data_centre| {
                (0..instances).map(move |number| info(data_centre, number))
            })
            .collect();
        let mut net = Self {
            nodes: BTreeMap::new(),
            partitions: BTreeSet::new(),
            now: Duration::ZERO,
            statuses: BTreeMap::new(),
            shares: BTreeMap::new(),
            rates: BTreeMap::new(),
        };
        for (index, own) in infos.iter().enumerate() {
            net.start(own.clone(), index as u32, &infos, servers);
        }
        net
    }

    /// Starts a node that knows the list.
    fn start(&mut self, own: PeerInfo, epoch: u32, list: &[PeerInfo], servers: usize) {
        let name = own.name.clone();
        let mut node = FleetNode::new(own, epoch, FleetTiming::default());
        node.set_instance_list(Some(list.to_vec()), self.now);
        let pools = vec![fleet_key("model/m")];
        let server = FleetServer { slots: SLOTS, pools };
        let keys = (0..servers).map(|number| fleet_key(&format!("e{number}")));
        node.set_servers(keys.map(|key| (key, server.clone())).collect());
        self.statuses.insert(name.clone(), NodeStatus::default());
        self.nodes.insert(name, node);
    }

    /// Separates two data centres or two instances from each other.
    fn partition(&mut self, one: &str, other: &str) {
        self.partitions.insert((one.into(), other.into()));
        self.partitions.insert((other.into(), one.into()));
    }

    /// Returns whether messages from one instance reach another.
    fn passes(&self, from: &str, to: &str) -> bool {
        let data_centre =
            |name: &str| name.split('-').next().unwrap_or_default().to_owned();
        let pairs =
            [(from.to_owned(), to.to_owned()), (data_centre(from), data_centre(to))];
        !pairs.iter().any(|pair| self.partitions.contains(pair))
    }

    /// Advances the clock and runs all nodes.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let names: Vec<String> = self.nodes.keys().cloned().collect();
            for name in &names {
                self.step_node(name);
            }
        }
    }

    /// Has a node send its due heartbeats.
    fn step_node(&mut self, name: &str) {
        let now = self.now;
        let status = self.statuses[name].clone();
        let node = self.nodes.get_mut(name).unwrap();
        node.set_status(status, now);
        let own = node.own_share_events(now);
        let heartbeats = node.due_heartbeats(now);
        self.apply_notices(name, own);
        for outgoing in heartbeats {
            let to = outgoing.to.name;
            if !self.passes(name, &to) {
                continue;
            }
            let Some(peer) = self.nodes.get_mut(&to) else { continue };
            let (reply, notices) = peer.handle_heartbeat(&outgoing.heartbeat, now);
            self.apply_notices(&to, notices);
            let node = self.nodes.get_mut(name).unwrap();
            let notices = node.handle_reply(&to, &reply, now);
            self.apply_notices(name, notices);
        }
    }

    /// Records a node's notices.
    fn apply_notices(&mut self, name: &str, notices: Vec<NodeEvent>) {
        for notice in notices {
            match notice {
                NodeEvent::PeerLoads(..)
                | NodeEvent::GroupLoads(..)
                | NodeEvent::PeerReads(_)
                | NodeEvent::PeerUnresponsive(_)
                | NodeEvent::Engines(..)
                | NodeEvent::PartUpdates(_)
                | NodeEvent::Crashes(_)
                | NodeEvent::Pushback(_)
                | NodeEvent::Evacuations(_) => {}
                NodeEvent::Share(share, until) => {
                    self.shares.insert((name.into(), share.server), (share.slots, until));
                }
                NodeEvent::Rate(rate, until) => {
                    let share = f64::from(rate.part) / f64::from(u16::MAX);
                    self.rates.insert(name.into(), (share, until));
                }
                NodeEvent::Version(version, _) => {
                    self.nodes.get_mut(name).unwrap().set_version(version);
                }
                NodeEvent::Load(_) => {}
            }
        }
    }

    /// Returns a node's slots at all servers, by its unexpired shares.
    fn slots(&self, name: &str) -> u32 {
        let own = self.shares.iter().filter(|((owner, _), _)| owner == name);
        own.filter(|(_, (_, until))| *until > self.now)
            .map(|(_, (slots, _))| u32::from(*slots))
            .sum()
    }

    /// Returns the number of live instances that a node knows.
    fn live(&self, name: &str) -> usize {
        self.nodes[name].live().len()
    }

    /// Sets a node's waiting requests by tier.
    fn set_requests(&mut self, name: &str, tiers: [u16; 3]) {
        let pool = fleet_key("model/m");
        let demands = vec![PoolDemand { pool, tiers: tiers.to_vec() }];
        self.statuses.get_mut(name).unwrap().demands = demands;
    }
}

/// Returns the identity of an instance.
fn info(data_centre: usize, number: usize) -> PeerInfo {
    let port = 1000 + 100 * data_centre as u16 + number as u16;
    PeerInfo {
        name: format!("dc{data_centre}-{number}"),
        data_centre: format!("dc{data_centre}"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

#[test]
fn every_server_has_one_watcher_and_a_lost_one_is_replaced() {
    let mut net = Net::new(1, 8, 60);
    net.run(Duration::from_secs(2));
    let watchers = |net: &Net| {
        let mut counts: BTreeMap<FleetKey, usize> = BTreeMap::new();
        for node in net.nodes.values() {
            for server in node.watched() {
                *counts.entry(*server).or_default() += 1;
            }
        }
        counts
    };
    assert_eq!(watchers(&net).len(), 60);
    assert!(watchers(&net).values().all(|count| *count == 1));
    // Three instances are lost with their rack. The others notice within the liveness time-out.
    for name in ["dc0-1", "dc0-4", "dc0-6"] {
        net.nodes.remove(name);
    }
    net.run(Duration::from_secs(2));
    assert!(net.nodes.values().all(|node| node.live().len() == 5));
    assert_eq!(watchers(&net).len(), 60);
    assert!(watchers(&net).values().all(|count| *count == 1));
}

#[test]
fn slots_follow_the_demand_of_the_higher_tier() {
    let mut net = Net::new(1, 4, 12);
    for name in ["dc0-0", "dc0-1", "dc0-2"] {
        net.set_requests(name, [0, 0, 500]);
    }
    net.set_requests("dc0-3", [40, 0, 0]);
    net.run(Duration::from_secs(2));
    let total: u32 = net.nodes.keys().map(|name| net.slots(name)).sum();
    assert_eq!(total, 12 * SLOTS, "shares add up");
    assert!(net.slots("dc0-3") >= 36, "{}", net.slots("dc0-3"));
    // The demand moves, and the slots follow.
    net.set_requests("dc0-3", [0, 0, 0]);
    net.set_requests("dc0-0", [60, 0, 500]);
    net.run(Duration::from_secs(2));
    assert!(net.slots("dc0-0") >= 54, "{}", net.slots("dc0-0"));
}

#[test]
fn an_isolated_instance_falls_back_on_an_equal_share() {
    let mut net = Net::new(1, 4, 12);
    net.run(Duration::from_secs(2));
    for other in ["dc0-1", "dc0-2", "dc0-3"] {
        net.partition("dc0-0", other);
    }
    net.run(Duration::from_secs(3));
    assert_eq!(net.live("dc0-0"), 1);
    assert_eq!(net.live("dc0-1"), 3);
    // It knows from the list that other instances use the servers too.
    let fallback = net.nodes["dc0-0"].fallback_shares(net.now);
    let slots: u32 = fallback.iter().map(|share| u32::from(share.slots)).sum();
    assert!((18..=30).contains(&slots), "{slots} of {}", 12 * SLOTS);
    net.partitions.clear();
    net.run(Duration::from_secs(3));
    assert!(
        net.nodes.values().all(|node| node.live().len() == 4),
        "rejoined without help"
    );
}

#[test]
fn a_restart_clears_the_demand_of_the_previous_run() {
    let mut net = Net::new(1, 3, 6);
    net.set_requests("dc0-0", [100, 0, 0]);
    net.run(Duration::from_secs(2));
    assert!(net.slots("dc0-0") > 40);
    let list: Vec<PeerInfo> = (0..3).map(|number| info(0, number)).collect();
    net.start(info(0, 0), 77, &list, 6);
    net.run(Duration::from_secs(1));
    assert!(net.nodes.values().all(|node| node.live().len() == 3));
    // The demand of its previous run is forgotten.
    let shares: Vec<u32> = net.nodes.keys().map(|name| net.slots(name)).collect();
    assert!(shares.iter().all(|slots| (14..=18).contains(slots)), "{shares:?}");
}

#[test]
fn a_partitioned_data_centre_rejoins_without_reverting_settings() {
    let mut net = Net::new(2, 3, 6);
    net.run(Duration::from_secs(2));
    net.partition("dc0", "dc1");
    net.nodes.get_mut("dc0-0").unwrap().set_version(5);
    net.run(Duration::from_secs(5));
    let versions = |net: &Net, centre: &str| -> Vec<u64> {
        let nodes = net.nodes.iter().filter(|(name, _)| name.starts_with(centre));
        nodes.map(|(_, node)| node.version()).collect()
    };
    assert_eq!(versions(&net, "dc0"), [5, 5, 5]);
    assert_eq!(versions(&net, "dc1"), [0, 0, 0]);
    assert!(
        net.nodes.values().all(|node| node.live().len() == 3),
        "both sides keep running"
    );
    net.partitions.clear();
    net.run(Duration::from_secs(3));
    assert_eq!(versions(&net, "dc1"), [5, 5, 5]);
    assert_eq!(versions(&net, "dc0"), [5, 5, 5]);
}

#[test]
fn instances_stay_alive_if_links_fail_in_one_direction() {
    let mut net = Net::new(1, 3, 6);
    net.run(Duration::from_secs(2));
    // Links that dc0-0 opens to dc0-1 fail; links in the other direction work.
    net.partitions.insert(("dc0-0".into(), "dc0-1".into()));
    net.run(Duration::from_secs(3));
    // A heartbeat and its reply use one link, so one direction is enough to be heard.
    assert!(net.nodes.values().all(|node| node.live().len() == 3));
}

#[test]
fn shares_of_a_rate_add_up_to_one_over_both_data_centres() {
    let mut net = Net::new(2, 4, 0);
    let organisation = fleet_key("arica");
    for (name, count) in [("dc0-0", 10), ("dc0-1", 5), ("dc1-0", 5)] {
        let usage = vec![UsageCount { organisation, count }];
        net.statuses.get_mut(name).unwrap().usage = usage;
    }
    net.run(Duration::from_secs(3));
    let shares: f64 = net.rates.values().map(|(share, _)| share).sum();
    // Instances that the organisation doesn't use keep an equal share of a fifth of the rate, of
    // which they aren't notified. The notified shares add up to less than the rate, never to
    // more.
    assert!((0.8..=1.001).contains(&shares), "{shares}: {:?}", net.rates);
    assert!(net.rates["dc0-0"].0 > 1.5 * net.rates["dc0-1"].0, "{:?}", net.rates);
}

/// Returns the instances that consider themselves list readers.
fn readers(net: &Net) -> Vec<String> {
    let nodes = net.nodes.iter();
    let reading = nodes.filter(|(_, node)| node.list_reader(17) == ListReader::ForPeers);
    reading.map(|(name, _)| name.clone()).collect()
}

#[test]
fn a_few_instances_read_lists_for_a_large_fleet() {
    let mut net = Net::new(1, 40, 1);
    net.run(Duration::from_secs(8));
    let first = readers(&net);
    assert_eq!(first.len(), 2);
    let addresses: Vec<SocketAddr> = (0..40)
        .map(|number| info(0, number))
        .filter(|info| first.contains(&info.name))
        .map(|info| info.address)
        .collect();
    for (name, node) in &net.nodes {
        match node.list_reader(17) {
            ListReader::Peer(address) => assert!(addresses.contains(&address), "{name}"),
            reader => assert!(first.contains(name), "{name}: {reader:?}"),
        }
    }
    // A lost reader is replaced once its peers have noticed the loss.
    net.nodes.remove(&first[0]);
    net.run(Duration::from_secs(12));
    let second = readers(&net);
    assert_eq!(second.len(), 2);
    assert!(!second.contains(&first[0]));
}

#[test]
fn instances_of_a_small_fleet_read_lists_themselves() {
    let mut net = Net::new(1, 16, 1);
    net.run(Duration::from_secs(5));
    let alone = |node: &FleetNode| node.list_reader(17) == ListReader::Alone;
    assert!(net.nodes.values().all(alone));
}
