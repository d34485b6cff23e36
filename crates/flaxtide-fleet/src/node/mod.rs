//! The state of one instance in the fleet, without I/O: its inputs are messages and the time,
//! its outputs are messages and events.

mod answers;
mod crashes;
mod digest;
mod divide;
mod duty;
mod engines;
mod evacuation;
mod group;
mod heartbeats;
mod instance_group;
mod lists;
mod part_changes;
mod pushback;
mod reach;
mod settings;
mod timing;
mod versions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::{DataCentreName, InstanceName, SettingsVersion};
use flaxtide_policy::{
    CrashReport, EvacuationLog, EvacuationRecord, PushbackReport, bounded_owners,
    rendezvous_order, rendezvous_owner,
};

use self::crashes::CrashState;
pub use self::crashes::OutgoingCrashes;
use self::digest::GroupPrefills;
pub use self::digest::OutgoingHello;
use self::engines::EngineNews;
use self::group::GroupState;
use self::instance_group::CachedInstanceGroup;
pub use self::pushback::OutgoingPushback;
use self::pushback::PushbackState;
pub use self::settings::SettingsSource;
use self::settings::SettingsState;
pub use self::timing::FleetTiming;
use crate::answers::AnswerSpan;
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::rows::READER_KEY;
use crate::wire::{
    DutyHolder, EngineDigest, FleetHeartbeat, OwnLoad, PartRead, PartUpdate, PoolDemand,
    RatePart, ReachReply, ServerDigest, ServerShare, UsageCount,
};

/// The weight of the newest count in the moving average of an organisation's request rate at
/// this instance.
const OWN_USAGE_SMOOTHING: f64 = 0.2;

/// An instance watches at most this fraction more than an even share of the servers, because it
/// reports each watched server to every peer.
const WATCH_SLACK: f64 = 0.05;

/// A usage rate below this is dropped from the moving averages, in requests per second.
const MIN_USAGE_PER_SECOND: f64 = 1e-3;

/// An unlisted peer is forgotten after this many liveness time-outs without a message.
const FORGET_AFTER_TIMEOUTS: u32 = 12;

/// The shortest interval that requests are divided by: counts over less give noisy rates.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// A backend server of the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetServer {
    /// How many requests the server runs at once.
    pub slots: u32,
    /// The pools that the server belongs to.
    pub pools: Vec<FleetKey>,
}

/// What this instance publishes about itself in heartbeats.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeStatus {
    /// The instance's running and waiting requests, by pool.
    pub demands: Vec<PoolDemand>,
    /// The last load reports of the servers that the instance watches.
    pub servers: Vec<ServerDigest>,
    /// The instance's own requests, by backend server.
    pub loads: Vec<OwnLoad>,
    /// The shared prompt parts that servers have recently prefilled for the instance.
    pub reads: Vec<PartRead>,
    /// The servers that recently failed to respond to the instance.
    pub unresponsive: Vec<FleetKey>,
    /// What the instance has seen of the engines that it watches.
    pub engines: Vec<EngineDigest>,
    /// The changes of their cached prompt parts since the last status.
    pub parts: Vec<PartUpdate>,
    /// The requests of each rate-limited organisation since the last status.
    pub usage: Vec<UsageCount>,
    /// Which servers the instance reaches, and where it takes forwarded requests.
    pub reach: ReachReply,
    /// For how long the platform has been answering the instance, itself or through its reader, on
    /// the clock of the node.
    pub answers: Option<AnswerSpan>,
}

/// A heartbeat to be sent to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingHeartbeat {
    /// The peer that receives it.
    pub to: PeerInfo,
    /// The message.
    pub heartbeat: FleetHeartbeat,
}

/// A change learned from peers that the rest of the instance has to act on.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// A server's load, with the age of the report.
    Load(ServerDigest),
    /// This instance's share of a server's slots, and when the share expires.
    Share(ServerShare, Duration),
    /// This instance's share of an organisation's rate, and when the share expires.
    Rate(RatePart, Duration),
    /// All requests of a peer, by backend server.
    PeerLoads(InstanceName, Vec<OwnLoad>),
    /// The summed requests of another data centre's instances, by backend server.
    GroupLoads(DataCentreName, Vec<OwnLoad>),
    /// The shared prompt parts that servers have prefilled for a peer.
    PeerReads(Vec<PartRead>),
    /// The servers that failed to respond to a peer.
    PeerUnresponsive(Vec<FleetKey>),
    /// What a watcher has seen of engines, as of now. The key is that of the watching instance,
    /// or of a data centre if they are what its watchers know together. The time span is for how
    /// long they count.
    Engines(FleetKey, Vec<EngineDigest>, Duration),
    /// Changes of prompt parts that engines have cached.
    PartUpdates(Vec<PartUpdate>),
    /// New reports of servers that crashed while they handled a request.
    Crashes(Vec<CrashReport>),
    /// New reports of the limits and departures that backend servers have announced.
    Pushback(Vec<PushbackReport>),
    /// Data centres that are now evacuated, or no longer are.
    Evacuations(Vec<EvacuationRecord>),
    /// A newer settings version exists, and this peer has it.
    Version(SettingsVersion, PeerInfo),
}

/// The membership, shares and pending messages of one instance in the fleet.
#[derive(Debug)]
pub struct FleetNode {
    /// The instance itself.
    own: PeerInfo,
    /// The instance's epoch, drawn at random when it starts.
    epoch: u32,
    /// The periods and time-outs of all messages.
    timing: FleetTiming,
    /// Whether the instance is stopping.
    leaving: bool,
    /// The settings version in force, and what is known of newer ones.
    settings: SettingsState,
    /// The group of the instance, and what is known of other groups.
    group: GroupState,
    /// The prompt parts recently prefilled for peers of the group.
    reads: GroupPrefills,
    /// What the watchers of the group have seen of engines.
    engines: EngineNews,
    /// The known server crashes, and which peers have them.
    crashes: CrashState,
    /// The known limits and departures of servers, and which peers have them.
    pushback: PushbackState,
    /// The data centres that are or were evacuated.
    evacuations: EvacuationLog,
    /// The known holder of the fleet-wide duties.
    duty: Option<DutyHolder>,
    /// For how long the platform has been answering peers of this data centre.
    peer_answers: Option<AnswerSpan>,
    /// The number of loads in the last digest from another data centre.
    digest_load_count: usize,
    /// All known peers, by name.
    peers: BTreeMap<InstanceName, PeerRecord>,
    /// The addresses to contact while no peer is known.
    seeds: Vec<SocketAddr>,
    /// The backend servers of the data centre.
    servers: BTreeMap<FleetKey, FleetServer>,
    /// The slots of each pool, summed over its servers.
    pool_slots: BTreeMap<FleetKey, u32>,
    /// What the instance last published about itself.
    status: NodeStatus,
    /// Request counts by organisation that haven't been sent to the owner of the rate yet.
    unsent_usage: BTreeMap<FleetKey, u32>,
    /// The instance's own requests per second, by organisation.
    usage: BTreeMap<FleetKey, f64>,
    /// When the requests of organisations were last counted.
    usage_counted_at: Option<Duration>,
    /// When the last round of heartbeats was sent.
    last_round_at: Option<Duration>,
    /// The earliest time at which the traffic budget allows an early round of heartbeats.
    early_round_allowed_at: Duration,
    /// Whether peers should learn of a change before the period is over: a higher load, an
    /// unresponsive server, or a new duty holder.
    has_urgent_changes: bool,
    /// The number of rounds of heartbeats sent.
    rounds: u64,
    /// Whether the platform's list of instances couldn't be read last time.
    list_failed: bool,
    /// The live instances of the group, including this one, sorted by name.
    live: Vec<InstanceName>,
    /// The largest number of live instances of the group that was seen.
    largest_group: usize,
    /// Indices into `live`, in the order in which instances are chosen as list readers.
    reader_order: Vec<usize>,
    /// The servers that this instance watches.
    watched: Vec<FleetKey>,
    /// When the status was first set.
    status_first_set_at: Option<Duration>,
    /// The last result of `instance_group`.
    cached_group: Option<CachedInstanceGroup>,
    /// Increases whenever the watched servers or the fallback shares may have changed.
    generation: u64,
}

impl FleetNode {
    /// Creates a node without peers.
    #[must_use]
    pub fn new(own: PeerInfo, epoch: u32, timing: FleetTiming) -> Self {
        Self {
            group: GroupState::new(timing.single_group_limit, own.data_centre.clone()),
            own,
            epoch,
            reads: GroupPrefills::default(),
            engines: EngineNews::default(),
            crashes: CrashState::default(),
            pushback: PushbackState::default(),
            evacuations: EvacuationLog::default(),
            duty: None,
            peer_answers: None,
            digest_load_count: 0,
            timing,
            leaving: false,
            settings: SettingsState::default(),
            peers: BTreeMap::new(),
            seeds: vec![],
            servers: BTreeMap::new(),
            pool_slots: BTreeMap::new(),
            status: NodeStatus::default(),
            unsent_usage: BTreeMap::new(),
            usage: BTreeMap::new(),
            usage_counted_at: None,
            last_round_at: None,
            early_round_allowed_at: Duration::ZERO,
            has_urgent_changes: false,
            rounds: 0,
            list_failed: true,
            live: vec![],
            largest_group: 0,
            reader_order: vec![],
            watched: vec![],
            status_first_set_at: None,
            cached_group: None,
            generation: 0,
        }
    }

    /// Sets the platform's list of entry instances; `None` if it couldn't be read. The list may
    /// be out of date, so a peer that is missing from it is kept while it is alive.
    pub fn set_instance_list(&mut self, list: Option<Vec<PeerInfo>>, now: Duration) {
        self.list_failed = list.is_none();
        let Some(list) = list else { return };
        let before = self.listed_group_peers();
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for info in list {
            self.add_peer(info, true);
        }
        let timeout = self.liveness_timeout();
        self.peers
            .retain(|_, peer| peer.listed || peer.is_alive(now, timeout));
        if self.listed_group_peers() != before {
            self.generation += 1;
        }
    }

    /// Sets the addresses to contact while no peer is known. A seed goes by its address until
    /// its first message tells its name.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.add_seeds();
    }

    /// Adds a peer for each seed whose address isn't known.
    fn add_seeds(&mut self) {
        for address in self.seeds.clone() {
            let known = self.peers.values().any(|peer| peer.info.address == address);
            if known || address == self.own.address {
                continue;
            }
            let name = address.to_string();
            let data_centre = self.own.data_centre.clone();
            self.add_peer(PeerInfo { name, data_centre, address }, false);
        }
    }

    /// Forgets unlisted peers that have been silent for long, and contacts the seeds again if
    /// none of the remaining peers has been heard from. A single group always contacts
    /// forgotten seeds again: they may be on the other side of a network partition, and no
    /// other peer would report its end.
    fn forget_expired_peers(&mut self, now: Duration) {
        let timeout = self.liveness_timeout() * FORGET_AFTER_TIMEOUTS;
        let is_expired = |peer: &PeerRecord| {
            !peer.listed && peer.heard_at.is_some_and(|heard| now >= heard + timeout)
        };
        self.peers.retain(|_, peer| !is_expired(peer));
        if self.group.is_single
            || !self.peers.values().any(|peer| peer.heard_at.is_some())
        {
            self.add_seeds();
        }
    }

    /// Returns the listed peers of the group.
    fn listed_group_peers(&self) -> Vec<InstanceName> {
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.listed && self.in_own_group(peer));
        peers.map(|peer| peer.info.name.clone()).collect()
    }

    /// Adds a possible peer. `listed` tells whether it comes from the platform's list.
    pub fn add_peer(&mut self, info: PeerInfo, listed: bool) {
        let known = self.peers.contains_key(&info.name);
        if info.name == self.own.name || !(known || listed || self.accepts_peer(&info)) {
            return;
        }
        let peer = self
            .peers
            .entry(info.name.clone())
            .or_insert_with(|| PeerRecord::new(info.clone(), listed));
        peer.listed |= listed;
        if listed || peer.heard_at.is_none() {
            peer.info = info;
        }
    }

    /// Forgets the placeholder of a seed whose name is now known.
    fn forget_seed(&mut self, info: &PeerInfo) {
        self.peers.remove(&info.address.to_string());
    }

    /// Sets the backend servers of the data centre.
    pub fn set_servers(&mut self, servers: BTreeMap<FleetKey, FleetServer>) {
        self.pool_slots.clear();
        for server in servers.values() {
            for pool in &server.pools {
                *self.pool_slots.entry(*pool).or_default() += server.slots;
            }
        }
        self.servers = servers;
        self.assign_watched();
    }

    /// Marks this instance as stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sets what this instance publishes about itself.
    pub fn set_status(&mut self, status: NodeStatus, now: Duration) {
        self.status_first_set_at.get_or_insert(now);
        let since = self
            .usage_counted_at
            .map_or(Duration::from_secs(1), |at| now.saturating_sub(at));
        let seconds = since.max(MIN_STATUS_INTERVAL).as_secs_f64();
        self.usage_counted_at = Some(now);
        for rate in self.usage.values_mut() {
            *rate *= 1.0 - OWN_USAGE_SMOOTHING;
        }
        for usage in &status.usage {
            let rate = f64::from(usage.count) / seconds;
            *self.usage.entry(usage.organisation).or_default() +=
                OWN_USAGE_SMOOTHING * rate;
            *self.unsent_usage.entry(usage.organisation).or_default() +=
                u32::from(usage.count);
        }
        self.usage.retain(|_, rate| *rate > MIN_USAGE_PER_SECOND);
        let newly_unresponsive = |key| !self.status.unresponsive.contains(key);
        self.has_urgent_changes |=
            has_load_increase(
                &self.status.loads,
                &status.loads,
                self.timing.early_round_load_units,
            ) || status.unresponsive.iter().any(newly_unresponsive);
        self.engines.record_own_changes(&status.parts, now);
        self.status = status;
        self.update_live(now);
    }

    /// Returns the number of known instances of the group, including this one. All of them are
    /// sent heartbeats, alive or not.
    pub(super) fn known_group_size(&self) -> u32 {
        self.peers.values().filter(|peer| self.in_own_group(peer)).count() as u32 + 1
    }

    /// Returns the time between two rounds of heartbeats.
    #[must_use]
    pub fn period(&self) -> Duration {
        let timing = &self.timing;
        let period = timing.period_per_instance * self.known_group_size();
        period.clamp(
            timing.shortest_period.min(timing.longest_period),
            timing.longest_period,
        )
    }

    /// Updates the live instances and the watched servers. There is no vote: each instance
    /// decides by the messages that reach it.
    fn update_live(&mut self, now: Duration) {
        self.regroup(now);
        let timeout = self.liveness_timeout();
        let peers = self.peers.values();
        let peers =
            peers.filter(|peer| self.in_own_group(peer) && peer.is_alive(now, timeout));
        let mut live: Vec<&InstanceName> = peers.map(|peer| &peer.info.name).collect();
        live.push(&self.own.name);
        live.sort_unstable();
        if live.iter().copied().eq(&self.live) {
            return;
        }
        self.live = live.into_iter().cloned().collect();
        self.largest_group = self.largest_group.max(self.live.len());
        self.reader_order = rendezvous_order(READER_KEY, &self.live);
        self.assign_watched();
    }

    /// Updates which servers this instance watches.
    fn assign_watched(&mut self) {
        let keys: Vec<u64> =
            self.servers.keys().map(|server| u64::from(*server)).collect();
        let owners = bounded_owners(&keys, &self.live, WATCH_SLACK);
        let own = self.live.iter().position(|name| *name == self.own.name);
        let servers = self.servers.keys().copied().zip(owners);
        let watched = servers.filter(|(_, owner)| Some(*owner) == own);
        self.watched = watched.map(|(server, _)| server).collect();
        self.generation += 1;
    }

    /// Returns whether a live instance owns a key by rendezvous hashing.
    fn owns(&self, key: FleetKey, name: &str) -> bool {
        let owner = rendezvous_owner(u64::from(key), &self.live);
        owner.is_some_and(|owner| self.live[owner] == name)
    }

    /// Returns the sorted names of the group's live instances, including this one, as of the
    /// last message or status.
    #[must_use]
    pub fn live(&self) -> &[InstanceName] {
        &self.live
    }

    /// Returns a number that increases whenever the watched servers or the fallback shares may
    /// have changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the servers that this instance watches, as of the last message or status.
    #[must_use]
    pub fn watched(&self) -> &[FleetKey] {
        &self.watched
    }

    /// Returns how long a peer may be silent before it counts as dead and its shares expire.
    fn liveness_timeout(&self) -> Duration {
        self.period() * self.timing.missed_heartbeats
    }
}

/// Returns whether the prompt tokens to be prefilled have grown by at least `units` at any
/// server.
fn has_load_increase(before: &[OwnLoad], now: &[OwnLoad], units: u16) -> bool {
    let sum = |load: &OwnLoad| {
        load.unread.iter().fold(0u16, |sum, units| sum.saturating_add(*units))
    };
    now.iter().any(|load| {
        let old = before.iter().find(|old| old.server == load.server).map_or(0, sum);
        sum(load) >= old.saturating_add(units)
    })
}
