//! The pure part of an instance's place in the fleet: messages and the time go in,
//! messages and news come out.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{InstanceName, SettingsVersion};
use flaxtide_policy::{
    SlotDemand, bounded_owners, divide_slots, equal_share, rendezvous_order,
    rendezvous_owner,
};

use crate::key::FleetKey;
use crate::peer::{PeerInfo, PeerRecord};
use crate::rate::rate_part;
use crate::wire::{
    BeatReply, FleetBeat, PoolDemand, RatePart, ServerDigest, ServerShare, UsageCount,
};

/// The part that the newest count of use has in its rate.
const NEWEST_USE: f64 = 0.2;

/// An instance watches at most this part more than its even part of the servers, as it
/// tells every peer of each.
const WATCH_SLACK: f64 = 0.05;

/// A use below this rate is forgotten, in requests a second.
const LEAST_USE: f64 = 1e-3;

/// Counts of a shorter time than this say little.
const SHORTEST_COUNT: Duration = Duration::from_millis(50);

/// How often things happen between instances.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetTiming {
    /// The longest time between two beats to one peer.
    pub longest_period: Duration,
    /// The shortest.
    pub shortest_period: Duration,
    /// The time between two beats, for each live instance of the data centre, so that the
    /// traffic of one instance stays the same however many there are.
    pub period_per_instance: Duration,
    /// A peer that isn't heard for so many periods isn't alive.
    pub silent_periods: u32,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            longest_period: Duration::from_millis(2500),
            shortest_period: Duration::from_millis(200),
            period_per_instance: Duration::from_millis(43),
            silent_periods: 3,
        }
    }
}

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
pub struct NodeDemand {
    /// Its requests for each pool.
    pub demands: Vec<PoolDemand>,
    /// The last reports of the servers that it watches.
    pub servers: Vec<ServerDigest>,
    /// How many requests of each limited organisation came since the last time.
    pub usage: Vec<UsageCount>,
}

/// A beat on its way to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingBeat {
    /// The peer.
    pub to: PeerInfo,
    /// The beat.
    pub beat: FleetBeat,
}

/// What has been heard that concerns this instance.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetNews {
    /// A server's load, and how old the report is.
    Load(ServerDigest),
    /// This instance's share of a server's slots, and until when it holds.
    Share(ServerShare, Duration),
    /// This instance's part of an organisation's rate, and until when it holds.
    Rate(RatePart, Duration),
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
    /// Its settings version.
    version: SettingsVersion,
    /// The peers that it knows of, by name.
    peers: BTreeMap<InstanceName, PeerRecord>,
    /// The backend servers of its data centre.
    servers: BTreeMap<FleetKey, FleetServer>,
    /// The slots of each pool, over all its servers.
    pool_slots: BTreeMap<FleetKey, u32>,
    /// Its own requests and use.
    demand: NodeDemand,
    /// Its use of organisations that keepers haven't been told of.
    untold: BTreeMap<FleetKey, u32>,
    /// Its own use of organisations, in requests a second.
    usage: BTreeMap<FleetKey, f64>,
    /// When its use was last counted.
    counted: Option<Duration>,
    /// When it last sent beats, and how often it has.
    beat_at: Option<Duration>,
    /// How many rounds of beats it has sent.
    rounds: u64,
    /// Whether the list couldn't be read lately.
    list_failed: bool,
    /// The live instances of the data centre, this one included, in order.
    live: Vec<InstanceName>,
    /// The servers that this instance watches.
    watched: Vec<FleetKey>,
}

impl FleetNode {
    /// Starts an instance's place, with no peers.
    #[must_use]
    pub fn new(own: PeerInfo, epoch: u32, timing: FleetTiming) -> Self {
        Self {
            own,
            epoch,
            timing,
            leaving: false,
            version: 0,
            peers: BTreeMap::new(),
            servers: BTreeMap::new(),
            pool_slots: BTreeMap::new(),
            demand: NodeDemand::default(),
            untold: BTreeMap::new(),
            usage: BTreeMap::new(),
            counted: None,
            beat_at: None,
            rounds: 0,
            list_failed: true,
            live: vec![],
            watched: vec![],
        }
    }

    /// Takes in the platform's list of entry instances; nothing if it can't be read. The
    /// list lags: a peer that it lacks is kept while it is heard.
    pub fn set_list(&mut self, list: Option<Vec<PeerInfo>>, now: Duration) {
        self.list_failed = list.is_none();
        let Some(list) = list else { return };
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for info in list {
            self.meet(info, true);
        }
        let silence = self.silence();
        self.peers.retain(|_, peer| peer.listed || peer.alive(now, silence));
    }

    /// Takes in that an instance may be there.
    pub fn meet(&mut self, info: PeerInfo, listed: bool) {
        if info.name == self.own.name {
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

    /// Sets the settings version in force.
    pub fn set_version(&mut self, version: SettingsVersion) {
        self.version = self.version.max(version);
    }

    /// Returns the settings version in force.
    #[must_use]
    pub fn version(&self) -> SettingsVersion {
        self.version
    }

    /// Says that this instance is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in what this instance has to say of itself.
    pub fn set_demand(&mut self, demand: NodeDemand, now: Duration) {
        let since = self
            .counted
            .map_or(Duration::from_secs(1), |at| now.saturating_sub(at));
        let seconds = since.max(SHORTEST_COUNT).as_secs_f64();
        self.counted = Some(now);
        for rate in self.usage.values_mut() {
            *rate *= 1.0 - NEWEST_USE;
        }
        for usage in &demand.usage {
            let rate = f64::from(usage.count) / seconds;
            *self.usage.entry(usage.organisation).or_default() += NEWEST_USE * rate;
            *self.untold.entry(usage.organisation).or_default() += u32::from(usage.count);
        }
        self.usage.retain(|_, rate| *rate > LEAST_USE);
        self.demand = demand;
        self.refresh(now);
    }

    /// Returns the time between two rounds of beats.
    #[must_use]
    pub fn period(&self) -> Duration {
        let known =
            self.peers.values().filter(|peer| self.is_near(peer)).count() as u32 + 1;
        let timing = &self.timing;
        let period = timing.period_per_instance * known;
        period.clamp(
            timing.shortest_period.min(timing.longest_period),
            timing.longest_period,
        )
    }

    /// Works out whom this instance sees alive, and so what it watches. No vote is taken:
    /// each instance works it out from whom it hears.
    fn refresh(&mut self, now: Duration) {
        let silence = self.silence();
        let peers = self.peers.values();
        let peers = peers.filter(|peer| self.is_near(peer) && peer.alive(now, silence));
        let mut live: Vec<&InstanceName> = peers.map(|peer| &peer.info.name).collect();
        live.push(&self.own.name);
        live.sort_unstable();
        if live.iter().copied().eq(&self.live) {
            return;
        }
        self.live = live.into_iter().cloned().collect();
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
    }

    /// Tells whether a live instance is the one that a key belongs to.
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

    /// Returns the servers that this instance watches, as of the last event.
    #[must_use]
    pub fn watched(&self) -> &[FleetKey] {
        &self.watched
    }

    /// Returns this instance's share of each server's slots while nothing is heard of
    /// demands: an equal one. Listed peers count even if they aren't heard, as an instance
    /// that is cut off from its peers isn't alone at the engines.
    #[must_use]
    pub fn fallback_shares(&self, now: Duration) -> Vec<ServerShare> {
        let silence = self.silence();
        let counts = |peer: &&PeerRecord| {
            self.is_near(peer)
                && !peer.leaving
                && (peer.listed || peer.alive(now, silence))
        };
        let peers = self.peers.values().filter(counts);
        let mut live: Vec<&str> = peers.map(|peer| peer.info.name.as_str()).collect();
        live.push(&self.own.name);
        live.sort_unstable();
        let Some(index) = live.iter().position(|name| *name == self.own.name) else {
            return vec![];
        };
        let share = |(server, entry): (&FleetKey, &FleetServer)| {
            let slots = equal_share(entry.slots, u64::from(*server), &live, index);
            ServerShare { server: *server, slots: slots as u16 }
        };
        self.servers.iter().map(share).collect()
    }

    /// Returns this instance's own shares and parts of what it watches and keeps itself.
    #[must_use]
    pub fn own_news(&self, now: Duration) -> Vec<FleetNews> {
        let until = now + self.silence();
        let shares = self.shares_of(&self.own.name).into_iter();
        let shares = shares.map(|share| FleetNews::Share(share, until));
        let own: Vec<FleetKey> = self.usage.keys().copied().collect();
        let parts = self.parts_of(&self.own.name, &own).into_iter();
        shares.chain(parts.map(|part| FleetNews::Rate(part, until))).collect()
    }

    /// Returns the beats that are due.
    pub fn due_beats(&mut self, now: Duration) -> Vec<OutgoingBeat> {
        if self.beat_at.is_some_and(|at| now < at + self.period()) {
            return vec![];
        }
        self.beat_at = Some(now);
        self.rounds += 1;
        self.refresh(now);
        self.beats()
    }

    /// Returns beats to everyone who should hear at once, such as of a server that is
    /// leaving or a new settings version.
    pub fn beats(&mut self) -> Vec<OutgoingBeat> {
        let beats = self.build_beats();
        self.untold.clear();
        beats
    }

    /// Builds the beats to all peers of the data centre, and to one of each other.
    fn build_beats(&self) -> Vec<OutgoingBeat> {
        let mut usage: BTreeMap<usize, Vec<UsageCount>> = BTreeMap::new();
        for (organisation, count) in &self.untold {
            let keeper = rendezvous_owner(u64::from(*organisation), &self.live);
            let count = u16::try_from(*count).unwrap_or(u16::MAX);
            let told = UsageCount { organisation: *organisation, count };
            usage.entry(keeper.unwrap_or_default()).or_default().push(told);
        }
        let near = self.peers.values().filter(|peer| self.is_near(peer));
        let far = self.far_peers();
        let beats = near.chain(far).map(|peer| OutgoingBeat {
            to: peer.info.clone(),
            beat: self.beat_to(peer, &usage),
        });
        beats.collect()
    }

    /// Takes in a peer's beat. Returns the reply, and what it has told.
    pub fn hear_beat(
        &mut self,
        beat: &FleetBeat,
        now: Duration,
    ) -> (BeatReply, Vec<FleetNews>) {
        let info = PeerInfo {
            name: beat.from.clone(),
            data_centre: beat.data_centre.clone(),
            address: beat.address,
        };
        self.forget_seed(&info);
        self.meet(info.clone(), false);
        if let Some(peer) = self.peers.get_mut(&beat.from) {
            if !peer.listed {
                // The platform knows best where a listed peer is reached from here.
                peer.info = info.clone();
            }
            peer.take_beat(beat, now);
        }
        self.refresh(now);
        let mut news = vec![];
        if beat.data_centre == self.own.data_centre {
            news.extend(beat.servers.iter().copied().map(FleetNews::Load));
        }
        if beat.version > self.version {
            news.push(FleetNews::Version(beat.version, info));
        }
        (self.reply_to(beat), news)
    }

    /// Takes in a peer's reply. Returns what it has told.
    pub fn hear_reply(
        &mut self,
        from: &InstanceName,
        reply: &BeatReply,
        now: Duration,
    ) -> Vec<FleetNews> {
        for info in &reply.peers {
            self.forget_seed(info);
            self.meet(info.clone(), false);
        }
        let until = now + self.silence();
        let Some(peer) = self.peers.get_mut(from) else { return vec![] };
        peer.hear(reply.epoch, reply.leaving, reply.version, now);
        let info = peer.info.clone();
        let shares = reply.shares.iter().map(|share| FleetNews::Share(*share, until));
        let parts = reply.parts.iter().map(|part| FleetNews::Rate(*part, until));
        let mut news: Vec<_> = shares.chain(parts).collect();
        if reply.version > self.version {
            news.push(FleetNews::Version(reply.version, info));
        }
        self.refresh(now);
        news
    }

    /// Returns the peers that are known to have a version newer than this instance's.
    #[must_use]
    pub fn newer_peers(&self) -> Vec<PeerInfo> {
        let peers = self.peers.values().filter(|peer| peer.version > self.version);
        peers.map(|peer| peer.info.clone()).collect()
    }

    /// Builds the beat to a peer.
    fn beat_to(
        &self,
        peer: &PeerRecord,
        usage: &BTreeMap<usize, Vec<UsageCount>>,
    ) -> FleetBeat {
        let near = self.is_near(peer);
        let place = self.live.binary_search(&peer.info.name).ok();
        let kept = place.and_then(|place| usage.get(&place));
        FleetBeat {
            from: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            address: self.own.address,
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version,
            demands: if near { self.demand.demands.clone() } else { vec![] },
            servers: if near { self.demand.servers.clone() } else { vec![] },
            usage: kept.cloned().unwrap_or_default(),
            wants_peers: self.list_failed,
        }
    }

    /// Builds the reply to a beat.
    fn reply_to(&self, beat: &FleetBeat) -> BeatReply {
        let near = beat.data_centre == self.own.data_centre;
        let used: Vec<FleetKey> =
            beat.usage.iter().map(|usage| usage.organisation).collect();
        let peers = self.peers.values().map(|peer| peer.info.clone());
        let peers = peers.chain([self.own.clone()]);
        let from = &beat.from;
        BeatReply {
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version,
            shares: if near { self.shares_of(from) } else { vec![] },
            parts: if near { self.parts_of(from, &used) } else { vec![] },
            peers: if beat.wants_peers { peers.collect() } else { vec![] },
        }
    }

    /// Returns a live instance's shares of the servers that this instance watches.
    fn shares_of(&self, name: &str) -> Vec<ServerShare> {
        let Some(index) = self.live.iter().position(|other| other == name) else {
            return vec![];
        };
        let share = |server: &FleetKey| {
            let entry = self.servers.get(server)?;
            let demands: Vec<_> =
                self.live.iter().map(|name| self.demand_for(name, entry)).collect();
            let key = u64::from(*server);
            let slots = divide_slots(entry.slots, key, &self.live, &demands)[index];
            Some(ServerShare { server: *server, slots: slots as u16 })
        };
        self.watched.iter().filter_map(share).collect()
    }

    /// Returns the part of an instance's requests that counts for one server: that of the
    /// server's slots in its pool.
    fn demand_for(&self, name: &str, server: &FleetServer) -> SlotDemand {
        let demands = if name == self.own.name {
            &self.demand.demands
        } else {
            let Some(peer) = self.peers.get(name) else { return SlotDemand::default() };
            &peer.demands
        };
        let mut tiers: Vec<f64> = vec![];
        for demand in demands.iter().filter(|demand| server.pools.contains(&demand.pool))
        {
            let total = self.pool_slots.get(&demand.pool).copied().unwrap_or_default();
            let part = f64::from(server.slots) / f64::from(total.max(1));
            tiers.resize(tiers.len().max(demand.tiers.len()), 0.0);
            for (sum, count) in tiers.iter_mut().zip(&demand.tiers) {
                *sum += f64::from(*count) * part;
            }
        }
        SlotDemand { tiers }
    }

    /// Returns an instance's parts of the rates of some organisations, of those that this
    /// instance keeps.
    fn parts_of(&self, name: &str, organisations: &[FleetKey]) -> Vec<RatePart> {
        let Some(index) = self.live.iter().position(|other| other == name) else {
            return vec![];
        };
        let kept = organisations.iter().copied();
        let kept = kept.filter(|organisation| self.owns(*organisation, &self.own.name));
        let data_centres = self.data_centre_part();
        let part = |organisation: FleetKey| {
            let usage: Vec<f64> = self
                .live
                .iter()
                .map(|name| self.usage_at(name, organisation))
                .collect();
            let part = rate_part(&usage, index) * data_centres;
            RatePart {
                organisation,
                part: (part * f64::from(u16::MAX)).round() as u16,
            }
        };
        kept.map(part).collect()
    }

    /// Returns an organisation's use at one instance, in requests a second.
    fn usage_at(&self, name: &str, organisation: FleetKey) -> f64 {
        let usage = if name == self.own.name {
            Some(&self.usage)
        } else {
            self.peers.get(name).map(|peer| &peer.usage)
        };
        usage
            .and_then(|usage| usage.get(&organisation))
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns this data centre's part of a rate: by how many of the known instances
    /// stand in it.
    fn data_centre_part(&self) -> f64 {
        let near = self.peers.values().filter(|peer| self.is_near(peer)).count() + 1;
        near as f64 / (self.peers.len() + 1) as f64
    }

    /// Returns one peer of each other data centre, another one each round.
    fn far_peers(&self) -> impl Iterator<Item = &PeerRecord> {
        let mut by_data_centre: BTreeMap<&str, Vec<&PeerRecord>> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| !self.is_near(peer)) {
            by_data_centre.entry(&peer.info.data_centre).or_default().push(peer);
        }
        let key = self.rounds ^ u64::from(self.epoch);
        by_data_centre.into_values().filter_map(move |peers| {
            let names: Vec<&str> =
                peers.iter().map(|peer| peer.info.name.as_str()).collect();
            rendezvous_order(key, &names).first().map(|index| peers[*index])
        })
    }

    /// Tells whether a peer stands in this data centre.
    fn is_near(&self, peer: &PeerRecord) -> bool {
        peer.info.data_centre == self.own.data_centre
    }

    /// Returns after which silence a peer isn't alive, and a share doesn't hold.
    fn silence(&self) -> Duration {
        self.period() * self.timing.silent_periods
    }
}
