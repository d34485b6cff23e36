//! A fleet on a manual clock. Messages pass between real nodes; only the network is played.

#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_fleet::{
    FleetNode, FleetNotice, FleetTiming, NodeStatus, OutgoingCrashes, OutgoingPushback,
    OwnLoad, PeerInfo,
};
use flaxtide_policy::{CallProgress, CrashLog, PushbackLog, PushbackReport, RequestRate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// How much the clock moves in a step.
pub const STEP: Duration = Duration::from_millis(50);

/// How often an instance says what it has at servers.
const DEMAND_PERIOD: Duration = Duration::from_millis(100);

/// Up to how many instances are one group.
const SINGLE_GROUP_LIMIT: u32 = 58;

/// A fleet and the network between its instances.
pub struct Fleet {
    /// Up to how many instances are one group.
    pub single_group_limit: u32,
    /// The nodes, by address.
    pub nodes: BTreeMap<SocketAddr, FleetNode>,
    /// The data centre of each address, also of nodes that are gone.
    pub places: BTreeMap<SocketAddr, String>,
    /// Data centres that nothing reaches or leaves.
    pub cut: BTreeSet<String>,
    /// The time.
    pub now: Duration,
    /// What each node has at servers.
    pub loads: BTreeMap<SocketAddr, Vec<OwnLoad>>,
    /// Whom each node has called since the last reset.
    pub called: BTreeMap<SocketAddr, BTreeSet<SocketAddr>>,
    /// How many messages were sent since the last reset.
    pub messages: usize,
    /// The last sums that each node has heard of each other data centre.
    pub sums: BTreeMap<(SocketAddr, String), Vec<OwnLoad>>,
    /// What each instance has been told of crashes.
    pub crashes: BTreeMap<SocketAddr, CrashLog>,
    /// What each instance has been told that servers say.
    pub pushback: BTreeMap<SocketAddr, PushbackLog>,
    /// The part of messages about crashes that get lost, and of answers to them.
    pub loss: f64,
    /// Draws what gets lost.
    pub random: StdRng,
}

impl Fleet {
    /// Starts so many instances in so many data centres, that know three seeds.
    pub fn new(instances: usize, data_centres: usize) -> Self {
        Self::with_limit(instances, data_centres, SINGLE_GROUP_LIMIT)
    }

    /// Starts instances of which up to so many are one group.
    pub fn with_limit(
        instances: usize,
        data_centres: usize,
        single_group_limit: u32,
    ) -> Self {
        let mut fleet = Self {
            single_group_limit,
            nodes: BTreeMap::new(),
            places: BTreeMap::new(),
            cut: BTreeSet::new(),
            now: Duration::from_secs(1),
            loads: BTreeMap::new(),
            called: BTreeMap::new(),
            messages: 0,
            sums: BTreeMap::new(),
            crashes: BTreeMap::new(),
            pushback: BTreeMap::new(),
            loss: 0.0,
            random: StdRng::seed_from_u64(1),
        };
        for number in 0..instances {
            fleet.start(number, number % data_centres);
        }
        fleet
    }

    /// Starts an instance that knows three seeds.
    pub fn start(&mut self, number: usize, data_centre: usize) {
        let own = PeerInfo {
            name: format!("entry-{number}"),
            data_centre: format!("dc{data_centre}"),
            address: address(number),
        };
        self.places.insert(own.address, own.data_centre.clone());
        let timing = FleetTiming {
            single_group_limit: self.single_group_limit,
            ..FleetTiming::default()
        };
        let mut node = FleetNode::new(own, number as u32, timing);
        node.set_instance_list(None, self.now);
        node.set_seeds((0..3).map(address).collect());
        self.nodes.insert(address(number), node);
    }

    /// Ends an instance without a word.
    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&address(number));
        self.crashes.remove(&address(number));
        self.pushback.remove(&address(number));
    }

    /// Returns whether a message passes.
    pub fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let (one, other) = (self.places.get(&from), self.places.get(&to));
        one == other
            || [one, other].into_iter().flatten().all(|at| !self.cut.contains(at))
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
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
    pub fn turn(&mut self, from: SocketAddr) {
        let now = self.now;
        let node = self.nodes.get_mut(&from).unwrap();
        if now.as_millis().is_multiple_of(DEMAND_PERIOD.as_millis()) {
            let loads = self.loads.get(&from).cloned().unwrap_or_default();
            node.set_status(NodeStatus { loads, ..NodeStatus::default() }, now);
        }
        let heartbeats = node.due_heartbeats(now);
        let hellos = node.due_hellos(now);
        let crashes = node.due_crashes(now);
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
        for outgoing in crashes {
            self.tell_crashes(from, &outgoing);
        }
        for outgoing in self.nodes.get_mut(&from).unwrap().due_pushback(now) {
            self.tell_pushback(from, &outgoing);
        }
    }

    /// Carries a notice of what servers say, or loses it or its answer.
    fn tell_pushback(&mut self, from: SocketAddr, outgoing: &OutgoingPushback) {
        let (now, to) = (self.now, outgoing.to.address);
        if self.random.random_bool(self.loss) {
            return;
        }
        let Some(peer) = self.reach(from, to) else { return };
        let notices = peer.handle_pushback(&outgoing.notice, now);
        self.note(to, notices);
        if !self.random.random_bool(self.loss) {
            let node = self.nodes.get_mut(&from).unwrap();
            node.handle_pushback_reply(&outgoing.to.name);
        }
    }

    /// Has an instance hear a server state a rate, or none.
    pub fn hear_rate(&mut self, number: usize, server: u32, requests: Option<f64>) {
        let rate = requests.and_then(RequestRate::from_per_second);
        let report = PushbackReport { server, rate, age_ms: 0, leaving: false };
        self.hear(number, report);
    }

    /// Has an instance hear a server say that it leaves.
    pub fn hear_leaving(&mut self, number: usize, server: u32) {
        let report = PushbackReport { server, rate: None, age_ms: 0, leaving: true };
        self.hear(number, report);
    }

    /// Has an instance hear a server say something.
    fn hear(&mut self, number: usize, report: PushbackReport) {
        let (at, now) = (address(number), self.now);
        self.pushback.entry(at).or_default().apply(&report, now);
        self.nodes.get_mut(&at).unwrap().record_pushback(&[report], now);
    }

    /// Returns how many live instances know that a server leaves.
    pub fn leaving(&self, server: u32) -> usize {
        let leaves = |at| {
            let report = self.pushback.get(at)?.report_of(server, self.now)?;
            Some(report.leaving)
        };
        self.nodes.keys().filter(|at| leaves(at) == Some(true)).count()
    }

    /// Returns how many live instances believe that a server states a rate, or none.
    pub fn believing(&self, server: u32, requests: Option<f64>) -> usize {
        let rate = requests.and_then(RequestRate::from_per_second);
        let believed = |at| {
            let report = self.pushback.get(at)?.report_of(server, self.now)?;
            Some(report.rate == rate)
        };
        self.nodes.keys().filter(|at| believed(at) == Some(true)).count()
    }

    /// Carries a notice of crashes, or loses it or its answer.
    fn tell_crashes(&mut self, from: SocketAddr, outgoing: &OutgoingCrashes) {
        let (now, to) = (self.now, outgoing.to.address);
        if self.random.random_bool(self.loss) {
            return;
        }
        let Some(peer) = self.reach(from, to) else { return };
        let (reply, notices) = peer.handle_crashes(&outgoing.notice, now);
        self.note(to, notices);
        if self.random.random_bool(self.loss) {
            return;
        }
        let node = self.nodes.get_mut(&from).unwrap();
        let notices = node.handle_crash_reply(&outgoing.to.name, &reply, now);
        self.note(from, notices);
    }

    /// Has an instance see a server end under a request.
    pub fn see_crash(&mut self, number: usize, fingerprint: u128, server: u32) {
        let (at, now) = (address(number), self.now);
        let progress = CallProgress { sent: now, begun: false };
        let log = self.crashes.entry(at).or_default();
        let reports: Vec<_> =
            log.record(fingerprint, server, progress, now).into_iter().collect();
        if let Some(node) = self.nodes.get_mut(&at) {
            node.record_crashes(&reports, now);
        }
    }

    /// Returns how many live instances keep a request in quarantine.
    pub fn quarantining(&self, fingerprint: u128) -> usize {
        let logs = self.nodes.keys().filter_map(|at| self.crashes.get(at));
        logs.filter(|log| log.is_quarantined(fingerprint)).count()
    }

    /// Calls a node.
    pub fn reach(&mut self, from: SocketAddr, to: SocketAddr) -> Option<&mut FleetNode> {
        self.messages += 1;
        self.called.entry(from).or_default().insert(to);
        if !self.passes(from, to) {
            return None;
        }
        self.nodes.get_mut(&to)
    }

    /// Notes the sums that a node has heard.
    pub fn note(&mut self, at: SocketAddr, notices: Vec<FleetNotice>) {
        for notice in notices {
            match notice {
                FleetNotice::GroupLoads(data_centre, loads) => {
                    self.sums.insert((at, data_centre), loads);
                }
                FleetNotice::Pushback(reports) => {
                    let log = self.pushback.entry(at).or_default();
                    for report in reports {
                        log.apply(&report, self.now);
                    }
                }
                FleetNotice::Crashes(reports) => {
                    let log = self.crashes.entry(at).or_default();
                    for report in reports {
                        log.apply(&report, self.now);
                    }
                }
                _ => {}
            }
        }
    }

    /// Forgets who has called whom.
    pub fn reset(&mut self) {
        self.called.clear();
        self.messages = 0;
    }

    /// Returns how many live instances a data centre has.
    pub fn count_in(&self, data_centre: &str) -> usize {
        let places = self.nodes.keys().map(|address| &self.places[address]);
        places.filter(|place| *place == data_centre).count()
    }

    /// Returns the nodes that don't know how many instances are alive in their data centre,
    /// or in the fleet.
    pub fn mistaken(&self) -> Vec<String> {
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
    pub fn settle(&mut self, most: Duration) -> Duration {
        let start = self.now;
        while !self.mistaken().is_empty() {
            assert!(self.now < start + most, "after {most:?}: {:?}", self.mistaken());
            self.run(Duration::from_millis(500));
        }
        self.now - start
    }
}

/// Returns the address of an instance.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 7000))
}
