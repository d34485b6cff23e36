//! A fleet on a manual clock. Messages pass between real nodes; only the network is simulated.

#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_fleet::{
    EngineDigest, FleetNode, FleetTiming, NodeEvent, NodeStatus, OutgoingCrashes,
    OutgoingPushback, OwnLoad, PartUpdate, PeerInfo,
};
use flaxtide_policy::{
    CallProgress, CrashLog, EvacuationLog, EvacuationRecord, PushbackLog, PushbackReport,
    RequestRate,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// How far the clock advances in a step.
pub const STEP: Duration = Duration::from_millis(50);

/// How often an instance publishes its loads.
const STATUS_PERIOD: Duration = Duration::from_millis(100);

/// The largest fleet that is a single group.
const SINGLE_GROUP_LIMIT: u32 = 58;

/// A fleet and the network between its instances.
pub struct Fleet {
    /// The largest fleet that is a single group.
    pub single_group_limit: u32,
    /// The nodes, by address.
    pub nodes: BTreeMap<SocketAddr, FleetNode>,
    /// The data centre of each address, including nodes that have ended.
    pub data_centres: BTreeMap<SocketAddr, String>,
    /// Data centres that no message enters or leaves.
    pub isolated: BTreeSet<String>,
    /// The current time.
    pub now: Duration,
    /// The loads that each node publishes.
    pub loads: BTreeMap<SocketAddr, Vec<OwnLoad>>,
    /// The addresses that each node has called since the last reset.
    pub called: BTreeMap<SocketAddr, BTreeSet<SocketAddr>>,
    /// The number of messages sent since the last reset.
    pub messages: usize,
    /// The last load sums that each node received for each other data centre.
    pub group_loads: BTreeMap<(SocketAddr, String), Vec<OwnLoad>>,
    /// The crash reports that each instance has received.
    pub crashes: BTreeMap<SocketAddr, CrashLog>,
    /// The pushback reports that each instance has received.
    pub pushback: BTreeMap<SocketAddr, PushbackLog>,
    /// The evacuations that each instance knows.
    pub evacuations: BTreeMap<SocketAddr, EvacuationLog>,
    /// What each node's watches have seen of engines.
    pub engines: BTreeMap<SocketAddr, Vec<EngineDigest>>,
    /// The changes of cached parts that each node's watches are still to publish.
    pub parts: BTreeMap<SocketAddr, Vec<PartUpdate>>,
    /// The last digest that each node received of each engine, and when.
    pub seen_engines: BTreeMap<(SocketAddr, u32), (EngineDigest, Duration)>,
    /// Until when each engine counts as watched for each node.
    pub watched_until: BTreeMap<(SocketAddr, u32), Duration>,
    /// Until when the engine's last answer proves to each node that it is alive.
    pub alive_until: BTreeMap<(SocketAddr, u32), Duration>,
    /// The changes of cached parts that each node received.
    pub seen_parts: BTreeMap<SocketAddr, Vec<PartUpdate>>,
    /// The fraction of heartbeats and digests that are lost.
    pub heartbeat_loss: f64,
    /// The fraction of crash and pushback notices that are lost, and of the answers to them.
    pub loss: f64,
    /// Decides which messages are lost.
    pub random: StdRng,
}

impl Fleet {
    /// Starts instances spread over data centres, which know three seeds.
    pub fn new(instances: usize, data_centres: usize) -> Self {
        Self::with_limit(instances, data_centres, SINGLE_GROUP_LIMIT)
    }

    /// Starts such instances with a limit for a single group.
    pub fn with_limit(
        instances: usize,
        data_centres: usize,
        single_group_limit: u32,
    ) -> Self {
        let mut fleet = Self {
            single_group_limit,
            nodes: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            isolated: BTreeSet::new(),
            now: Duration::from_secs(1),
            loads: BTreeMap::new(),
            called: BTreeMap::new(),
            messages: 0,
            group_loads: BTreeMap::new(),
            crashes: BTreeMap::new(),
            pushback: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            engines: BTreeMap::new(),
            parts: BTreeMap::new(),
            seen_engines: BTreeMap::new(),
            watched_until: BTreeMap::new(),
            alive_until: BTreeMap::new(),
            seen_parts: BTreeMap::new(),
            heartbeat_loss: 0.0,
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
        self.data_centres.insert(own.address, own.data_centre.clone());
        let timing = FleetTiming {
            single_group_limit: self.single_group_limit,
            ..FleetTiming::default()
        };
        let mut node = FleetNode::new(own, number as u32, timing);
        node.set_instance_list(None, self.now);
        node.set_seeds((0..3).map(address).collect());
        self.nodes.insert(address(number), node);
    }

    /// Ends an instance without any message to its peers.
    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&address(number));
        self.crashes.remove(&address(number));
        self.pushback.remove(&address(number));
        self.evacuations.remove(&address(number));
    }

    /// Returns whether messages from one address reach another.
    pub fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let (one, other) = (self.data_centres.get(&from), self.data_centres.get(&to));
        one == other
            || [one, other]
                .into_iter()
                .flatten()
                .all(|at| !self.isolated.contains(at))
    }

    /// Advances the clock and runs all nodes.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for from in addresses {
                self.step_node(from);
            }
        }
    }

    /// Has a node send its due messages.
    pub fn step_node(&mut self, from: SocketAddr) {
        let now = self.now;
        let node = self.nodes.get_mut(&from).unwrap();
        if now.as_millis().is_multiple_of(STATUS_PERIOD.as_millis()) {
            let loads = self.loads.get(&from).cloned().unwrap_or_default();
            let engines = self.engines.get(&from).cloned().unwrap_or_default();
            let parts = self.parts.remove(&from).unwrap_or_default();
            let status = NodeStatus { loads, engines, parts, ..NodeStatus::default() };
            node.set_status(status, now);
        }
        let heartbeats = node.due_heartbeats(now);
        let hellos = node.due_hellos(now);
        let crashes = node.due_crashes(now);
        for outgoing in heartbeats {
            let to = outgoing.to.address;
            if self.loses_heartbeat() {
                continue;
            }
            let Some(peer) = self.call_node(from, to) else { continue };
            let (reply, notices) = peer.handle_heartbeat(&outgoing.heartbeat, now);
            self.record_notices(to, notices);
            let node = self.nodes.get_mut(&from).unwrap();
            let notices = node.handle_reply(&outgoing.to.name, &reply, now);
            self.record_notices(from, notices);
        }
        for outgoing in hellos {
            let to = outgoing.to.address;
            if self.loses_heartbeat() {
                continue;
            }
            let Some(peer) = self.call_node(from, to) else { continue };
            let digest = peer.handle_hello(&outgoing.hello, now);
            let node = self.nodes.get_mut(&from).unwrap();
            let notices = node.handle_digest(&digest, now);
            self.record_notices(from, notices);
        }
        for outgoing in crashes {
            self.deliver_crashes(from, &outgoing);
        }
        for outgoing in self.nodes.get_mut(&from).unwrap().due_pushback(now) {
            self.deliver_pushback(from, &outgoing);
        }
    }

    /// Draws whether a heartbeat or a digest is lost.
    fn loses_heartbeat(&mut self) -> bool {
        self.heartbeat_loss > 0.0 && self.random.random_bool(self.heartbeat_loss)
    }

    /// Delivers a pushback notice, or loses it or its answer.
    fn deliver_pushback(&mut self, from: SocketAddr, outgoing: &OutgoingPushback) {
        let (now, to) = (self.now, outgoing.to.address);
        if self.random.random_bool(self.loss) {
            return;
        }
        let Some(peer) = self.call_node(from, to) else { return };
        let notices = peer.handle_pushback(&outgoing.notice, now);
        self.record_notices(to, notices);
        if !self.random.random_bool(self.loss) {
            let node = self.nodes.get_mut(&from).unwrap();
            node.handle_pushback_reply(&outgoing.to.name);
        }
    }

    /// Has a server announce a rate to an instance, or that it has none.
    pub fn announce_rate(&mut self, number: usize, server: u32, requests: Option<f64>) {
        let rate = requests.and_then(RequestRate::from_per_second);
        let report = PushbackReport { server, rate, age_ms: 0, leaving: false };
        self.announce(number, report);
    }

    /// Has a server announce to an instance that it is leaving.
    pub fn announce_leaving(&mut self, number: usize, server: u32) {
        let report = PushbackReport { server, rate: None, age_ms: 0, leaving: true };
        self.announce(number, report);
    }

    /// Gives an instance a pushback report of a server.
    fn announce(&mut self, number: usize, report: PushbackReport) {
        let (at, now) = (address(number), self.now);
        self.pushback.entry(at).or_default().apply(&report, now);
        self.nodes.get_mut(&at).unwrap().record_pushback(&[report], now);
    }

    /// Returns how many running instances know that a server is leaving.
    pub fn count_knowing_leaving(&self, server: u32) -> usize {
        let is_leaving = |at| {
            let report = self.pushback.get(at)?.report_of(server, self.now)?;
            Some(report.leaving)
        };
        self.nodes.keys().filter(|at| is_leaving(at) == Some(true)).count()
    }

    /// Returns how many running instances know this rate of a server, or that it has none.
    pub fn count_knowing_rate(&self, server: u32, requests: Option<f64>) -> usize {
        let rate = requests.and_then(RequestRate::from_per_second);
        let has_rate = |at| {
            let report = self.pushback.get(at)?.report_of(server, self.now)?;
            Some(report.rate == rate)
        };
        self.nodes.keys().filter(|at| has_rate(at) == Some(true)).count()
    }

    /// Has an instance read from the platform whether a data centre is evacuated.
    pub fn read_evacuation(&mut self, number: usize, record: EvacuationRecord) {
        let at = address(number);
        self.evacuations.entry(at).or_default().apply(&record);
        self.nodes.get_mut(&at).unwrap().record_evacuations(&[record]);
    }

    /// Returns how many running instances know a data centre as evacuated.
    pub fn count_evacuated(&self, data_centre: u32) -> usize {
        let logs = self.nodes.keys().filter_map(|at| self.evacuations.get(at));
        logs.filter(|log| log.is_evacuated(data_centre)).count()
    }

    /// Delivers a crash notice, or loses it or its answer.
    fn deliver_crashes(&mut self, from: SocketAddr, outgoing: &OutgoingCrashes) {
        let (now, to) = (self.now, outgoing.to.address);
        if self.random.random_bool(self.loss) {
            return;
        }
        let Some(peer) = self.call_node(from, to) else { return };
        let (reply, notices) = peer.handle_crashes(&outgoing.notice, now);
        self.record_notices(to, notices);
        if self.random.random_bool(self.loss) {
            return;
        }
        let node = self.nodes.get_mut(&from).unwrap();
        let notices = node.handle_crash_reply(&outgoing.to.name, &reply, now);
        self.record_notices(from, notices);
    }

    /// Has an instance observe a server that crashes under a request.
    pub fn observe_crash(&mut self, number: usize, fingerprint: u128, server: u32) {
        let (at, now) = (address(number), self.now);
        let progress = CallProgress { sent: now, begun: false };
        let log = self.crashes.entry(at).or_default();
        let reports: Vec<_> =
            log.record(fingerprint, server, progress, now).into_iter().collect();
        if let Some(node) = self.nodes.get_mut(&at) {
            node.record_crashes(&reports, now);
        }
    }

    /// Returns how many running instances have quarantined a request.
    pub fn count_quarantining(&self, fingerprint: u128) -> usize {
        let logs = self.nodes.keys().filter_map(|at| self.crashes.get(at));
        logs.filter(|log| log.is_quarantined(fingerprint)).count()
    }

    /// Returns the node that is called, unless the message is lost.
    pub fn call_node(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
    ) -> Option<&mut FleetNode> {
        self.messages += 1;
        self.called.entry(from).or_default().insert(to);
        if !self.passes(from, to) {
            return None;
        }
        self.nodes.get_mut(&to)
    }

    /// Records what a node's notices report.
    pub fn record_notices(&mut self, at: SocketAddr, notices: Vec<NodeEvent>) {
        for notice in notices {
            match notice {
                NodeEvent::GroupLoads(data_centre, loads) => {
                    self.group_loads.insert((at, data_centre), loads);
                }
                NodeEvent::Engines(_, engines, counts_for) => {
                    for digest in engines {
                        let seen = (digest, self.now);
                        self.seen_engines.insert((at, digest.server), seen);
                        let key = (at, digest.server);
                        let until = self.now + counts_for;
                        let known = self.watched_until.entry(key).or_default();
                        *known = until.max(*known);
                        let age = Duration::from_millis(u64::from(digest.answered) * 10);
                        let known = self.alive_until.entry(key).or_default();
                        *known = until.saturating_sub(age).max(*known);
                    }
                }
                NodeEvent::PartUpdates(parts) => {
                    self.seen_parts.entry(at).or_default().extend(parts);
                }
                NodeEvent::Pushback(reports) => {
                    let log = self.pushback.entry(at).or_default();
                    for report in reports {
                        log.apply(&report, self.now);
                    }
                }
                NodeEvent::Evacuations(records) => {
                    let log = self.evacuations.entry(at).or_default();
                    for record in records {
                        log.apply(&record);
                    }
                }
                NodeEvent::Crashes(reports) => {
                    let log = self.crashes.entry(at).or_default();
                    for report in reports {
                        log.apply(&report, self.now);
                    }
                }
                _ => {}
            }
        }
    }

    /// Clears the recorded calls.
    pub fn reset(&mut self) {
        self.called.clear();
        self.messages = 0;
    }

    /// Returns the number of running instances in a data centre.
    pub fn count_in(&self, data_centre: &str) -> usize {
        let data_centres = self.nodes.keys().map(|address| &self.data_centres[address]);
        data_centres.filter(|name| *name == data_centre).count()
    }

    /// Returns the nodes that don't know the number of running instances in their data centre
    /// or in the fleet.
    pub fn misinformed(&self) -> Vec<String> {
        let all = self.nodes.len() as u32;
        let wrong = self.nodes.iter().filter_map(|(address, node)| {
            let local = self.count_in(&self.data_centres[address]);
            let (live, fleet) = (node.live().len(), node.fleet_size(self.now));
            (live != local || fleet != all).then(|| {
                format!(
                    "{address}: {live} of {local} in the data centre, {fleet} of {all}"
                )
            })
        });
        wrong.collect()
    }

    /// Runs the fleet until no node is misinformed. Returns how long that took.
    pub fn run_until_informed(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while !self.misinformed().is_empty() {
            assert!(
                self.now < start + limit,
                "after {limit:?}: {:?}",
                self.misinformed()
            );
            self.run(Duration::from_millis(500));
        }
        self.now - start
    }
}

/// Returns the address of an instance.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 7000))
}
