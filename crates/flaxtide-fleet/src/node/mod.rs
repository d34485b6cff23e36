//! The pure part of an instance's place in the fleet: messages and the time go in,
//! messages and updates come out.

mod crashes;
mod digest;
mod divide;
mod duty;
mod group;
mod lists;
mod pushback;
mod roster;
mod settings;
mod talk;
mod timing;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::{DataCentreName, InstanceName, SettingsVersion};
use flaxtide_policy::{
    CrashReport, PushbackReport, bounded_owners, rendezvous_order, rendezvous_owner,
};

use self::crashes::CrashState;
pub use self::crashes::OutgoingCrashes;
use self::digest::GroupReads;
pub use self::digest::OutgoingHello;
use self::group::GroupState;
pub use self::pushback::OutgoingPushback;
use self::pushback::PushbackState;
use self::roster::RosterCopy;
pub use self::settings::SettingsSource;
use self::settings::SettingsState;
pub use self::timing::FleetTiming;
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::rows::READER_KEY;
use crate::wire::{
    DutyHolder, FleetHeartbeat, OwnLoad, PartRead, PoolDemand, RatePart, ServerDigest,
    ServerShare, UsageCount,
};

/// The part that the newest count of use has in its rate.
const NEWEST_USE: f64 = 0.2;

/// An instance watches at most this part more than its even part of the servers, as it
/// tells every peer of each.
const WATCH_SLACK: f64 = 0.05;

/// A use below this rate is forgotten, in requests a second.
const LEAST_USE: f64 = 1e-3;

/// An unlisted peer that is silent for so many times the silence after which it isn't
/// alive is forgotten.
const FORGOTTEN_TIMEOUTS: u32 = 12;

/// Counts of a shorter time than this say little.
const SHORTEST_COUNT: Duration = Duration::from_millis(50);

/// A backend server of the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetServer {
    /// How many requests it works on at once.
    pub slots: u32,
    /// The pools that it serves.
    pub pools: Vec<FleetKey>,
}

/// What this instance has to say of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeStatus {
    /// Its requests for each pool.
    pub demands: Vec<PoolDemand>,
    /// The last reports of the servers that it watches.
    pub servers: Vec<ServerDigest>,
    /// Its own requests at backend servers.
    pub loads: Vec<OwnLoad>,
    /// The shared parts of prompts that servers have read for it lately.
    pub reads: Vec<PartRead>,
    /// The servers that it has found silent lately.
    pub unresponsive: Vec<FleetKey>,
    /// How many requests of each limited organisation came since the last time.
    pub usage: Vec<UsageCount>,
}

/// A heartbeat on its way to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingHeartbeat {
    /// The peer.
    pub to: PeerInfo,
    /// The heartbeat.
    pub heartbeat: FleetHeartbeat,
}

/// What has been heard that concerns this instance.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetNotice {
    /// A server's load, and how old the report is.
    Load(ServerDigest),
    /// This instance's share of a server's slots, and until when it holds.
    Share(ServerShare, Duration),
    /// This instance's part of an organisation's rate, and until when it holds.
    Rate(RatePart, Duration),
    /// What a peer has at backend servers; all of it.
    PeerLoads(InstanceName, Vec<OwnLoad>),
    /// What the instances of another data centre have at backend servers, in sum.
    GroupLoads(DataCentreName, Vec<OwnLoad>),
    /// What servers have read for a peer.
    PeerReads(Vec<PartRead>),
    /// Servers that a peer has found silent.
    PeerUnresponsive(Vec<FleetKey>),
    /// Servers ended under requests; only what is news.
    Crashes(Vec<CrashReport>),
    /// What backend servers have said of themselves; only what is news.
    Pushback(Vec<PushbackReport>),
    /// A newer settings version exists; this peer has it.
    Version(SettingsVersion, PeerInfo),
}

/// One instance's place in the fleet.
#[derive(Debug)]
pub struct FleetNode {
    /// Who it is.
    own: PeerInfo,
    /// Its epoch.
    epoch: u32,
    /// How often things happen.
    timing: FleetTiming,
    /// Whether it is stopping.
    leaving: bool,
    /// Its settings, and what it knows of newer ones.
    settings: SettingsState,
    /// With whom it is grouped.
    group: GroupState,
    /// What servers have read lately for the data centre.
    reads: GroupReads,
    /// What it knows of servers that ended under requests.
    crashes: CrashState,
    /// What it knows of what backend servers have said of themselves.
    pushback: PushbackState,
    /// Who holds the duties that one instance has for all.
    duty: Option<DutyHolder>,
    /// How many servers the loads of the last digest of another data centre named.
    servers_told: usize,
    /// The peers that it knows of, by name.
    peers: BTreeMap<InstanceName, PeerRecord>,
    /// Where peers may be heard if nobody is known.
    seeds: Vec<SocketAddr>,
    /// The backend servers of its data centre.
    servers: BTreeMap<FleetKey, FleetServer>,
    /// The slots of each pool, over all its servers.
    pool_slots: BTreeMap<FleetKey, u32>,
    /// Its own requests and use.
    status: NodeStatus,
    /// Its use of organisations that keepers haven't been told of.
    untold: BTreeMap<FleetKey, u32>,
    /// Its own use of organisations, in requests a second.
    usage: BTreeMap<FleetKey, f64>,
    /// When its use was last counted.
    counted: Option<Duration>,
    /// When it last sent heartbeats, and how often it has.
    heartbeat_at: Option<Duration>,
    /// Until when the heartbeats that were sent are paid for.
    paid_until: Duration,
    /// Whether this instance has more at a server than it has told, by more than a little.
    has_updates: bool,
    /// How many rounds of heartbeats it has sent.
    rounds: u64,
    /// Whether the list couldn't be read lately.
    list_failed: bool,
    /// The live instances of the data centre, this one included, in order.
    live: Vec<InstanceName>,
    /// The places in `live` of the instances in the order in which they read lists.
    list_order: Vec<usize>,
    /// The servers that this instance watches.
    watched: Vec<FleetKey>,
    /// When it first had something to say of itself.
    started: Option<Duration>,
    /// Whom it saw alive when it last looked.
    roster: Option<RosterCopy>,
    /// Grows whenever what this instance watches or falls back on may have changed.
    generation: u64,
}

impl FleetNode {
    /// Starts an instance's place, with no peers.
    #[must_use]
    pub fn new(own: PeerInfo, epoch: u32, timing: FleetTiming) -> Self {
        Self {
            own,
            epoch,
            group: GroupState::new(timing.single_group_limit),
            reads: GroupReads::default(),
            crashes: CrashState::default(),
            pushback: PushbackState::default(),
            duty: None,
            servers_told: 0,
            timing,
            leaving: false,
            settings: SettingsState::default(),
            peers: BTreeMap::new(),
            seeds: vec![],
            servers: BTreeMap::new(),
            pool_slots: BTreeMap::new(),
            status: NodeStatus::default(),
            untold: BTreeMap::new(),
            usage: BTreeMap::new(),
            counted: None,
            heartbeat_at: None,
            paid_until: Duration::ZERO,
            has_updates: false,
            rounds: 0,
            list_failed: true,
            live: vec![],
            list_order: vec![],
            watched: vec![],
            started: None,
            roster: None,
            generation: 0,
        }
    }

    /// Records the platform's list of entry instances; nothing if it can't be read. The
    /// list lags: a peer that it lacks is kept while it is heard.
    pub fn set_instance_list(&mut self, list: Option<Vec<PeerInfo>>, now: Duration) {
        self.list_failed = list.is_none();
        let Some(list) = list else { return };
        let before = self.listed_near();
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for info in list {
            self.add_peer(info, true);
        }
        let timeout = self.liveness_timeout();
        self.peers.retain(|_, peer| peer.listed || peer.alive(now, timeout));
        if self.listed_near() != before {
            self.generation += 1;
        }
    }

    /// Sets where peers may be heard. A seed's name is learnt from its heartbeats; until then
    /// its address stands in for it.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.meet_seeds();
    }

    /// Meets the seeds.
    fn meet_seeds(&mut self) {
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

    /// Forgets peers that no list has and that have been silent for long, and turns to the
    /// seeds if nobody is left. A group of all instances always turns to those it has
    /// forgotten: they may stand behind a cut, and nobody else would tell that it has ended.
    fn forget_lost(&mut self, now: Duration) {
        let timeout = self.liveness_timeout() * FORGOTTEN_TIMEOUTS;
        let gone = |peer: &PeerRecord| {
            !peer.listed && peer.heard.is_some_and(|heard| now >= heard + timeout)
        };
        self.peers.retain(|_, peer| !gone(peer));
        if self.group.joint || !self.peers.values().any(|peer| peer.heard.is_some()) {
            self.meet_seeds();
        }
    }

    /// Returns the listed peers of the data centre.
    fn listed_near(&self) -> Vec<InstanceName> {
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.listed && self.is_near(peer));
        peers.map(|peer| peer.info.name.clone()).collect()
    }

    /// Records that an instance may be there.
    pub fn add_peer(&mut self, info: PeerInfo, listed: bool) {
        let known = self.peers.contains_key(&info.name);
        if info.name == self.own.name || !(known || listed || self.has_place_for(&info)) {
            return;
        }
        let peer = self
            .peers
            .entry(info.name.clone())
            .or_insert_with(|| PeerRecord::new(info.clone(), listed));
        peer.listed |= listed;
        if listed || peer.heard.is_none() {
            peer.info = info;
        }
    }

    /// Forgets a peer that was known by its address only, now that its name is.
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
        self.assign();
    }

    /// Says that this instance is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records what this instance has to say of itself.
    pub fn set_status(&mut self, status: NodeStatus, now: Duration) {
        self.started.get_or_insert(now);
        let since = self
            .counted
            .map_or(Duration::from_secs(1), |at| now.saturating_sub(at));
        let seconds = since.max(SHORTEST_COUNT).as_secs_f64();
        self.counted = Some(now);
        for rate in self.usage.values_mut() {
            *rate *= 1.0 - NEWEST_USE;
        }
        for usage in &status.usage {
            let rate = f64::from(usage.count) / seconds;
            *self.usage.entry(usage.organisation).or_default() += NEWEST_USE * rate;
            *self.untold.entry(usage.organisation).or_default() += u32::from(usage.count);
        }
        self.usage.retain(|_, rate| *rate > LEAST_USE);
        let newly_silent = |key| !self.status.unresponsive.contains(key);
        self.has_updates |=
            adds_load(&self.status.loads, &status.loads, self.timing.update_units)
                || status.unresponsive.iter().any(newly_silent);
        self.status = status;
        self.refresh(now);
    }

    /// Returns how many instances of the group are known, this one included: each
    /// gets a heartbeat, whether it is heard or not.
    pub(super) fn known_near(&self) -> u32 {
        self.peers.values().filter(|peer| self.is_near(peer)).count() as u32 + 1
    }

    /// Returns the time between two rounds of heartbeats.
    #[must_use]
    pub fn period(&self) -> Duration {
        let timing = &self.timing;
        let period = timing.period_per_instance * self.known_near();
        period.clamp(
            timing.shortest_period.min(timing.longest_period),
            timing.longest_period,
        )
    }

    /// Works out whom this instance sees alive, and so what it watches. No vote is taken:
    /// each instance works it out from whom it hears.
    fn refresh(&mut self, now: Duration) {
        self.regroup(now);
        let timeout = self.liveness_timeout();
        let peers = self.peers.values();
        let peers = peers.filter(|peer| self.is_near(peer) && peer.alive(now, timeout));
        let mut live: Vec<&InstanceName> = peers.map(|peer| &peer.info.name).collect();
        live.push(&self.own.name);
        live.sort_unstable();
        if live.iter().copied().eq(&self.live) {
            return;
        }
        self.live = live.into_iter().cloned().collect();
        self.list_order = rendezvous_order(READER_KEY, &self.live);
        self.assign();
    }

    /// Works out which servers this instance watches.
    fn assign(&mut self) {
        let keys: Vec<u64> =
            self.servers.keys().map(|server| u64::from(*server)).collect();
        let owners = bounded_owners(&keys, &self.live, WATCH_SLACK);
        let own = self.live.iter().position(|name| *name == self.own.name);
        let servers = self.servers.keys().copied().zip(owners);
        let watched = servers.filter(|(_, owner)| Some(*owner) == own);
        self.watched = watched.map(|(server, _)| server).collect();
        self.generation += 1;
    }

    /// Returns whether a live instance is the one that a key belongs to.
    fn owns(&self, key: FleetKey, name: &str) -> bool {
        let owner = rendezvous_owner(u64::from(key), &self.live);
        owner.is_some_and(|owner| self.live[owner] == name)
    }

    /// Returns the names of the live instances of the data centre, this one included, in
    /// order, as of the last event.
    #[must_use]
    pub fn live(&self) -> &[InstanceName] {
        &self.live
    }

    /// Returns a number that grows whenever what this instance watches or falls back on may
    /// have changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the servers that this instance watches, as of the last event.
    #[must_use]
    pub fn watched(&self) -> &[FleetKey] {
        &self.watched
    }

    /// Returns after which silence a peer isn't alive, and a share doesn't hold.
    fn liveness_timeout(&self) -> Duration {
        self.period() * self.timing.missed_heartbeats
    }
}

/// Returns whether any server has more to read by so many units than it had.
fn adds_load(before: &[OwnLoad], now: &[OwnLoad], units: u16) -> bool {
    let sum = |load: &OwnLoad| {
        load.unread.iter().fold(0u16, |sum, part| sum.saturating_add(*part))
    };
    now.iter().any(|load| {
        let old = before.iter().find(|old| old.server == load.server).map_or(0, sum);
        sum(load) >= old.saturating_add(units)
    })
}
