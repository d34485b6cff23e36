//! Digests: what the instances of a data centre have in sum, asked for by an instance of
//! another from its contact.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{FleetNode, FleetNotice};
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::wire::{GroupDigest, GroupHello, OwnLoad, PartRead};

/// How many further contacts a digest names: enough to replace one that is lost.
const CONTACTS_TOLD: usize = 2;

/// How many parts of prompts a digest tells at most: those that a data centre of fifty
/// instances reads in a second under load.
const READS_TOLD: usize = 96;

/// The bytes of a load or a read in a digest, about.
const ENTRY_BYTES: f64 = 11.0;

/// How many bytes of digests an instance asks for in a second, from all other data centres
/// together: with its heartbeats within the 17 KB/s of control.
const DIGEST_RATE: f64 = 6_000.0;

/// A question for a digest on its way to a contact.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingHello {
    /// The contact.
    pub to: PeerInfo,
    /// What the contact hears.
    pub hello: GroupHello,
}

/// What servers have read lately for the instances of a data centre, the newest last.
#[derive(Debug, Default)]
pub(super) struct GroupReads {
    /// The reads, and when they were heard.
    heard: VecDeque<(Duration, PartRead)>,
}

impl GroupReads {
    /// Records reads.
    pub(super) fn record(&mut self, reads: &[PartRead], now: Duration) {
        self.heard.extend(reads.iter().map(|read| (now, *read)));
        let surplus = self.heard.len().saturating_sub(READS_TOLD);
        self.heard.drain(..surplus);
    }

    /// Returns the reads that were heard within a span, the newest first.
    fn within(&self, span: Duration, now: Duration) -> Vec<PartRead> {
        let newest = self.heard.iter().rev();
        let recent = newest.take_while(|(at, _)| now < *at + span);
        recent.map(|(_, read)| *read).collect()
    }
}

impl FleetNode {
    /// Returns the questions for digests that are due, one to a contact in each other data
    /// centre.
    pub fn due_hellos(&mut self, now: Duration) -> Vec<OutgoingHello> {
        if self.group.joint || !self.uses_digests() {
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

    /// Handles a question from another data centre. Returns this one's digest.
    pub fn handle_hello(&mut self, hello: &GroupHello, now: Duration) -> GroupDigest {
        self.record_hello(hello, now);
        let home: Vec<&PeerRecord> = self.home_peers(now).collect();
        GroupDigest {
            hello: self.hello(now),
            contacts: self.some_of(&home),
            loads: sum_loads(home.iter().map(|peer| &peer.loads), &self.status.loads),
            reads: self.recent_reads(now),
        }
    }

    /// Applies the digest of another data centre. Returns what it has told.
    pub fn handle_digest(
        &mut self,
        digest: &GroupDigest,
        now: Duration,
    ) -> Vec<FleetNotice> {
        for info in &digest.contacts {
            self.add_peer(info.clone(), false);
        }
        let data_centre = digest.hello.from.data_centre.clone();
        self.record_hello(&digest.hello, now);
        if let Some(group) = self.group.others.get_mut(&data_centre) {
            group.record_answer(now);
        }
        self.servers_told = digest.loads.len();
        if self.group.joint {
            // Its instances tell of themselves.
            return vec![];
        }
        let mut notices =
            vec![FleetNotice::GroupLoads(data_centre, digest.loads.clone())];
        if !digest.reads.is_empty() {
            notices.push(FleetNotice::PeerReads(digest.reads.clone()));
        }
        notices
    }

    /// Returns what servers have read lately for the data centre, the newest first. Those of
    /// two periods, as a digest may be lost.
    fn recent_reads(&self, now: Duration) -> Vec<PartRead> {
        let peers = self.reads.within(self.digest_period() * 2, now);
        let mut reads = self.status.reads.clone();
        reads.extend(peers);
        reads.truncate(READS_TOLD);
        reads
    }

    /// Returns the time between two digests of one other data centre: longer the more
    /// there is to tell, and the more others there are.
    pub(super) fn digest_period(&self) -> Duration {
        let groups = self.group.others.len() as f64;
        let entries = self.servers_told as f64 + READS_TOLD as f64;
        let period =
            Duration::from_secs_f64(groups * entries * ENTRY_BYTES / DIGEST_RATE);
        let timing = &self.timing;
        period.clamp(timing.shortest_digest_period, timing.longest_digest_period)
    }

    /// Returns what this instance says of itself and its data centre.
    fn hello(&self, now: Duration) -> GroupHello {
        GroupHello {
            from: self.own.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            live: self.home_peers(now).count() as u16 + 1,
            duty: self.duty,
        }
    }

    /// Records how an instance of another data centre is.
    fn record_hello(&mut self, hello: &GroupHello, now: Duration) {
        if self.is_home(&hello.from) {
            return;
        }
        self.record_duty_holder(hello.duty);
        self.forget_seed(&hello.from);
        self.add_peer(hello.from.clone(), false);
        let timeout = self.far_liveness_timeout();
        if let Some(peer) = self.peers.get_mut(&hello.from.name) {
            peer.crashes.compare |= !peer.heard_within(now, timeout);
            peer.hear(hello.epoch, hello.leaving, hello.version, now);
        }
        let group = self.group.others.entry(hello.from.data_centre.clone()).or_default();
        group.record_count(u32::from(hello.live), now);
    }

    /// Returns a few of the peers of this data centre, others each time.
    fn some_of(&self, home: &[&PeerRecord]) -> Vec<PeerInfo> {
        let start = self.rounds as usize * CONTACTS_TOLD % home.len().max(1);
        let turn = home.iter().cycle().skip(start).take(CONTACTS_TOLD.min(home.len()));
        turn.map(|peer| peer.info.clone()).collect()
    }

    /// Returns the live peers of this instance's data centre.
    fn home_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let timeout = self.liveness_timeout();
        self.peers
            .values()
            .filter(move |peer| self.is_home(&peer.info) && peer.alive(now, timeout))
    }
}

/// Returns the sums of loads by server.
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
