//! Digests: what the instances of a data centre have in sum, exchanged with the contacts in
//! other data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{FleetNews, FleetNode};
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::wire::{GroupDigest, OwnLoad};

/// How many further contacts a digest names: enough to replace one that is lost.
const CONTACTS_TOLD: usize = 2;

/// A digest on its way to a contact.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDigest {
    /// The contact.
    pub to: PeerInfo,
    /// The digest.
    pub digest: GroupDigest,
}

impl FleetNode {
    /// Returns the digests that are due: one to a contact in each other data centre.
    pub fn due_digests(&mut self, now: Duration) -> Vec<OutgoingDigest> {
        if self.group.joint || self.timing.joint_limit == 0 {
            return vec![];
        }
        let contacts = self.due_contacts(now);
        if contacts.is_empty() {
            return vec![];
        }
        let digest = self.digest(now);
        let outgoing = |to| OutgoingDigest { to, digest: digest.clone() };
        contacts.into_iter().map(outgoing).collect()
    }

    /// Handles the digest of another data centre. Returns this one's, and what was told.
    pub fn hear_digest(
        &mut self,
        digest: &GroupDigest,
        now: Duration,
    ) -> (GroupDigest, Vec<FleetNews>) {
        let news = self.apply_digest(digest, now);
        (self.digest(now), news)
    }

    /// Applies the digest of another data centre. Returns what was told.
    pub fn apply_digest(
        &mut self,
        digest: &GroupDigest,
        now: Duration,
    ) -> Vec<FleetNews> {
        if self.is_home(&digest.from) {
            return vec![];
        }
        for info in digest.contacts.iter().chain([&digest.from]) {
            self.forget_seed(info);
            self.meet(info.clone(), false);
        }
        if let Some(peer) = self.peers.get_mut(&digest.from.name) {
            peer.hear(digest.epoch, digest.leaving, digest.version, now);
        }
        let data_centre = digest.from.data_centre.clone();
        let group = self.group.others.entry(data_centre.clone()).or_default();
        group.record(u32::from(digest.live), now);
        if self.group.joint {
            // Its instances tell of themselves.
            return vec![];
        }
        vec![FleetNews::GroupLoads(data_centre, digest.loads.clone())]
    }

    /// Returns the digest of this instance's data centre.
    fn digest(&self, now: Duration) -> GroupDigest {
        let home: Vec<&PeerRecord> = self.home_peers(now).collect();
        GroupDigest {
            from: self.own.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            live: home.len() as u16 + 1,
            loads: sum_loads(home.iter().map(|peer| &peer.loads), &self.demand.loads),
            contacts: self.some_of(&home),
        }
    }

    /// Returns a few of the peers of this data centre, others each time.
    fn some_of(&self, home: &[&PeerRecord]) -> Vec<PeerInfo> {
        let start = self.rounds as usize * CONTACTS_TOLD % home.len().max(1);
        let turn = home.iter().cycle().skip(start).take(CONTACTS_TOLD.min(home.len()));
        turn.map(|peer| peer.info.clone()).collect()
    }

    /// Returns the live peers of this instance's data centre.
    fn home_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        let silence = self.silence();
        self.peers
            .values()
            .filter(move |peer| self.is_home(&peer.info) && peer.alive(now, silence))
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
