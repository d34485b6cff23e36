//! Digests: the summed state of a data centre's instances, which an instance of another data
//! centre requests from its contact.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxtide_policy::SIGHTING_BOUND;

use super::{FleetNode, NodeEvent};
use crate::info::PeerInfo;
use crate::key::{FleetKey, fleet_key};
use crate::peer::PeerRecord;
use crate::wire::{GroupDigest, GroupHello, OwnLoad, PartRead};

/// The number of further contacts in a digest, as replacements for a contact that fails.
const MAX_DIGEST_CONTACTS: usize = 2;

/// The most prompt parts in a digest: what a data centre of fifty instances prefills in a
/// second under load.
const MAX_DIGEST_PREFILLS: usize = 96;

/// The approximate size of a load or a prompt part in a digest.
const ENTRY_BYTES: f64 = 11.0;

/// The bytes of digests that an instance requests per second, over all other data centres.
/// Together with its heartbeats this stays within the control traffic budget of 17 KB/s.
const DIGEST_BYTES_PER_SECOND: f64 = 6_000.0;

/// A digest request to be sent to a contact.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingHello {
    /// The contact that receives it.
    pub to: PeerInfo,
    /// The message.
    pub hello: GroupHello,
}

/// The prompt parts recently prefilled for the instances of a data centre, newest last.
#[derive(Debug, Default)]
pub(super) struct GroupPrefills {
    /// The parts, each with the time at which its message arrived.
    entries: VecDeque<(Duration, PartRead)>,
}

impl GroupPrefills {
    /// Adds prompt parts and drops the oldest over the limit.
    pub(super) fn record(&mut self, reads: &[PartRead], now: Duration) {
        self.entries.extend(reads.iter().map(|read| (now, *read)));
        let surplus = self.entries.len().saturating_sub(MAX_DIGEST_PREFILLS);
        self.entries.drain(..surplus);
    }

    /// Returns the parts that arrived within a time span, newest first.
    fn within(&self, span: Duration, now: Duration) -> Vec<PartRead> {
        let newest = self.entries.iter().rev();
        let recent = newest.take_while(|(at, _)| now < *at + span);
        recent.map(|(_, read)| *read).collect()
    }
}

impl FleetNode {
    /// Returns the digest requests that are due, at most one for each other data centre.
    pub fn due_hellos(&mut self, now: Duration) -> Vec<OutgoingHello> {
        if self.group.is_single || !self.uses_digests() {
            return vec![];
        }
        let contacts = self.due_contacts(now);
        if contacts.is_empty() {
            return vec![];
        }
        let hello = self.hello(now);
        let outgoing = |to| OutgoingHello { to, hello: hello.clone() };
        contacts.into_iter().map(outgoing).collect()
    }

    /// Handles a digest request from another data centre and returns this one's digest.
    pub fn handle_hello(&mut self, hello: &GroupHello, now: Duration) -> GroupDigest {
        self.record_hello(hello, now);
        let live: Vec<&PeerRecord> = self.live_data_centre_peers(now).collect();
        GroupDigest {
            hello: self.hello(now),
            contacts: self.rotating_contacts(&live),
            loads: sum_loads(live.iter().map(|peer| &peer.loads), &self.status.loads),
            reads: self.recent_prefills(now),
            engines: self.digest_engines(now),
            parts: self.digest_parts(now),
        }
    }

    /// Applies the digest of another data centre and returns the resulting events.
    pub fn handle_digest(
        &mut self,
        digest: &GroupDigest,
        now: Duration,
    ) -> Vec<NodeEvent> {
        for info in &digest.contacts {
            self.add_peer(info.clone(), false);
        }
        let data_centre = digest.hello.from.data_centre.clone();
        self.record_hello(&digest.hello, now);
        if let Some(group) = self.group.others.get_mut(&data_centre) {
            group.record_answer(now);
        }
        self.digest_load_count = digest.loads.len();
        self.engines.digest_engines = digest.engines.len();
        if self.group.is_single {
            // In a single group, the heartbeats already carry the loads of each instance.
            return vec![];
        }
        let mut events = vec![NodeEvent::GroupLoads(data_centre, digest.loads.clone())];
        if !digest.reads.is_empty() {
            events.push(NodeEvent::PeerReads(digest.reads.clone()));
        }
        if !digest.engines.is_empty() {
            let watcher = fleet_key(&digest.hello.from.data_centre);
            // The next digest comes after a period, which may be longer than the bound.
            let counts_for = SIGHTING_BOUND + self.digest_period();
            let engines = digest.engines.clone();
            events.push(NodeEvent::Engines(watcher, engines, counts_for));
        }
        if !digest.parts.is_empty() {
            // They are told newest first and take effect in the order in which they were made.
            let oldest_first = digest.parts.iter().rev().copied().collect();
            events.push(NodeEvent::PartUpdates(oldest_first));
        }
        events
    }

    /// Returns the recently prefilled prompt parts of the data centre, newest first. They cover
    /// two digest periods, because a digest may be lost.
    fn recent_prefills(&self, now: Duration) -> Vec<PartRead> {
        let peers = self.reads.within(self.digest_period() * 2, now);
        let mut reads = self.status.reads.clone();
        reads.extend(peers);
        reads.truncate(MAX_DIGEST_PREFILLS);
        reads
    }

    /// Returns the time between two digests of another data centre. It grows with the size of a
    /// digest and the number of data centres.
    pub(super) fn digest_period(&self) -> Duration {
        let groups = self.group.others.len() as f64;
        let entries = self.digest_load_count as f64
            + MAX_DIGEST_PREFILLS as f64
            + self.digest_engine_entries();
        let period = Duration::from_secs_f64(
            groups * entries * ENTRY_BYTES / DIGEST_BYTES_PER_SECOND,
        );
        let timing = &self.timing;
        period.clamp(timing.shortest_digest_period, timing.longest_digest_period)
    }

    /// Returns this instance's state and the number of live instances in its data centre.
    fn hello(&self, now: Duration) -> GroupHello {
        GroupHello {
            from: self.own.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            live: self.live_data_centre_peers(now).count() as u16 + 1,
            duty: self.duty,
        }
    }

    /// Records the state of an instance of another data centre.
    fn record_hello(&mut self, hello: &GroupHello, now: Duration) {
        if self.in_own_data_centre(&hello.from) {
            return;
        }
        self.record_duty_holder(hello.duty);
        self.forget_seed(&hello.from);
        self.record_heard(&hello.from.data_centre);
        self.add_peer(hello.from.clone(), false);
        let timeout = self.contact_liveness_timeout();
        if let Some(peer) = self.peers.get_mut(&hello.from.name) {
            peer.crash_notices.needs_comparison |= !peer.heard_within(now, timeout);
            peer.record_alive(hello.epoch, hello.leaving, hello.version, now);
        }
        let group = self.group.others.entry(hello.from.data_centre.clone()).or_default();
        group.record_count(u32::from(hello.live), now);
    }

    /// Returns a few peers of this data centre, different ones in each round.
    fn rotating_contacts(&self, live: &[&PeerRecord]) -> Vec<PeerInfo> {
        let start = self.rounds as usize * MAX_DIGEST_CONTACTS % live.len().max(1);
        let contacts = live
            .iter()
            .cycle()
            .skip(start)
            .take(MAX_DIGEST_CONTACTS.min(live.len()));
        contacts.map(|peer| peer.info.clone()).collect()
    }

    /// Returns the live peers of this instance's data centre.
    fn live_data_centre_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let timeout = self.liveness_timeout();
        self.peers.values().filter(move |peer| {
            self.in_own_data_centre(&peer.info) && peer.is_alive(now, timeout)
        })
    }
}

/// Sums loads by server.
fn sum_loads<'a>(
    peers: impl Iterator<Item = &'a Vec<OwnLoad>>,
    own: &'a [OwnLoad],
) -> Vec<OwnLoad> {
    let mut sums: BTreeMap<FleetKey, OwnLoad> = BTreeMap::new();
    for load in peers.flatten().chain(own) {
        let sum = sums.entry(load.server).or_insert(OwnLoad {
            server: load.server,
            short: 0,
            long: 0,
            unread: [0; 3],
        });
        sum.short = sum.short.saturating_add(load.short);
        sum.long = sum.long.saturating_add(load.long);
        for (sum, units) in sum.unread.iter_mut().zip(load.unread) {
            *sum = sum.saturating_add(units);
        }
    }
    sums.into_values().collect()
}
