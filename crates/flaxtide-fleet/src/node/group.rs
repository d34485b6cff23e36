//! The group of an instance: the peers with which it exchanges heartbeats.
//!
//! A small fleet is one group, whatever its data centres. In a larger one each data centre is
//! a group, so that the links and messages of an instance follow the size of its data centre
//! and not that of the fleet. Groups know each other by a few contacts and by digests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::{DataCentreName, InstanceName, SettingsVersion};
use flaxtide_policy::rendezvous_order;

use super::FleetNode;
use crate::info::PeerInfo;
use crate::key::fleet_key;
use crate::peer::PeerRecord;
use crate::wire::DutyHolder;

/// How many instances of another data centre are known. If one is lost, the next is tried;
/// all of them at once are seldom lost but with their data centre.
const CONTACTS_PER_GROUP: usize = 4;

/// For how long the last count of another data centre's instances holds. A data centre that
/// is cut off goes on drawing on what all share, such as the retry budget.
const COUNT_LIFE: Duration = Duration::from_secs(60);

/// How long a contact may take to answer before another is called.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// For how long a fleet that was divided into groups stays so: until digests have told how
/// large it is.
const DIVIDED_AT_LEAST: Duration = Duration::from_secs(10);

/// A divided fleet becomes one group again below this part of the size at which it is
/// divided, so that a few joins and leaves don't change it to and fro.
const REUNITED_PART: f64 = 0.75;

/// How an instance is grouped with others, and what it knows of other groups.
#[derive(Debug)]
pub(super) struct GroupState {
    /// Whether all known instances are one group.
    pub(super) joint: bool,
    /// Since when it has been so.
    since: Duration,
    /// What is known of each other data centre.
    pub(super) others: BTreeMap<DataCentreName, OtherGroup>,
}

/// What is known of another data centre.
#[derive(Debug, Default)]
pub(super) struct OtherGroup {
    /// How many of its instances were last alive, and when that was heard.
    live: Option<(u32, Duration)>,
    /// When a contact last answered.
    answered: Option<Duration>,
    /// The settings version of the last digest to a contact.
    told_version: SettingsVersion,
    /// Who held the duties by the last digest to a contact.
    told_duty: Option<DutyHolder>,
    /// The last call to a contact, while it has no answer.
    called: Option<ContactCall>,
}

/// A call to a contact.
#[derive(Debug)]
struct ContactCall {
    /// The contact.
    contact: InstanceName,
    /// When it was called.
    at: Duration,
}

impl OtherGroup {
    /// Records that so many of its instances are alive.
    pub(super) fn record_count(&mut self, live: u32, now: Duration) {
        self.live = Some((live, now));
    }

    /// Records that a contact has answered.
    pub(super) fn record_answer(&mut self, now: Duration) {
        self.answered = Some(now);
        self.called = None;
    }

    /// Returns how many instances it has, as long as that may be believed.
    fn count(&self, now: Duration) -> Option<u32> {
        let (live, at) = self.live?;
        (now < at + COUNT_LIFE).then_some(live)
    }
}

impl GroupState {
    /// Starts as one group if the fleet may ever be one.
    pub(super) fn new(single_group_limit: u32) -> Self {
        Self {
            joint: single_group_limit > 0,
            since: Duration::ZERO,
            others: BTreeMap::new(),
        }
    }
}

impl FleetNode {
    /// Returns whether a peer belongs to this instance's group.
    pub(super) fn is_near(&self, peer: &PeerRecord) -> bool {
        self.group.joint || self.is_home(&peer.info)
    }

    /// Returns whether data centres may be groups that know each other by digests. Otherwise
    /// each always is a group, and some heartbeats go to others.
    pub(super) fn uses_digests(&self) -> bool {
        self.timing.single_group_limit > 0
    }

    /// Returns whether an instance stands in this one's data centre.
    pub(super) fn is_home(&self, info: &PeerInfo) -> bool {
        info.data_centre == self.own.data_centre
    }

    /// Returns how many instances the fleet has, as far as is known: those of the group that
    /// are alive, and those that other data centres have last counted.
    #[must_use]
    pub fn fleet_size(&self, now: Duration) -> u32 {
        let near = self.live.len() as u32;
        if self.group.joint {
            return near;
        }
        let others = &self.group.others;
        let count = |name: &DataCentreName| others.get(name).and_then(|it| it.count(now));
        let counted: u32 = others.keys().filter_map(&count).sum();
        let far = self.peers.values().filter(|peer| !self.is_near(peer));
        let uncounted = far.filter(|peer| count(&peer.info.data_centre).is_none());
        near + counted + uncounted.count() as u32
    }

    /// Divides a fleet that has grown over the limit into groups, and unites one that has
    /// shrunk.
    pub(super) fn regroup(&mut self, now: Duration) {
        let limit = self.timing.single_group_limit;
        if self.group.joint {
            if self.peers.len() as u32 + 1 > limit {
                self.set_joint(false, now);
                self.forget_surplus();
            }
            return;
        }
        let kept_divided = now < self.group.since + DIVIDED_AT_LEAST;
        if kept_divided || !self.uses_digests() {
            return;
        }
        if f64::from(self.fleet_size(now)) < f64::from(limit) * REUNITED_PART {
            self.set_joint(true, now);
        }
    }

    /// Makes all known instances one group, or each data centre one.
    fn set_joint(&mut self, joint: bool, now: Duration) {
        self.group.joint = joint;
        self.group.since = now;
    }

    /// Keeps a few contacts of each other data centre, those that were heard before others.
    fn forget_surplus(&mut self) {
        let mut kept: BTreeMap<DataCentreName, usize> = BTreeMap::new();
        let mut far: Vec<&PeerRecord> =
            self.peers.values().filter(|peer| !self.is_home(&peer.info)).collect();
        let own_key = self.key();
        far.sort_by_key(|peer| {
            (peer.heard.is_none(), fleet_key(&peer.info.name) ^ own_key)
        });
        let surplus = far.into_iter().filter(|peer| {
            let count = kept.entry(peer.info.data_centre.clone()).or_default();
            *count += 1;
            *count > CONTACTS_PER_GROUP
        });
        let surplus: Vec<_> = surplus.map(|peer| peer.info.name.clone()).collect();
        for name in surplus {
            self.peers.remove(&name);
        }
    }

    /// Returns whether one more instance is to be known: any of the group, and a few of each
    /// other data centre.
    pub(super) fn has_place_for(&self, info: &PeerInfo) -> bool {
        if self.group.joint || !self.uses_digests() || self.is_home(info) {
            return true;
        }
        self.peers_in(&info.data_centre).count() < CONTACTS_PER_GROUP
    }

    /// Returns the contacts that are to get a digest now, one in each other data centre.
    pub(super) fn due_contacts(&mut self, now: Duration) -> Vec<PeerInfo> {
        let far = self.peers.values().filter(|peer| !self.is_near(peer));
        let known: BTreeSet<DataCentreName> =
            far.map(|peer| peer.info.data_centre.clone()).collect();
        known
            .iter()
            .filter_map(|other| self.due_contact(other, now))
            .collect()
    }

    /// Returns the contact in another data centre if it is to get a digest now. One that
    /// hasn't answered is replaced at once if another is known, and else called again.
    fn due_contact(&mut self, other: &DataCentreName, now: Duration) -> Option<PeerInfo> {
        let (version, duty) = (self.version(), self.duty);
        let replaceable = self.peers_in(other).count() > 1;
        let period = self.digest_period();
        let wait = if replaceable { ANSWER_WAIT } else { period };
        let group = self.group.others.entry(other.clone()).or_default();
        if group.called.as_ref().is_some_and(|call| now < call.at + wait) {
            return None;
        }
        let rested = group.answered.is_none_or(|at| now >= at + period);
        let newer = version > group.told_version || duty > group.told_duty;
        match group.called.take() {
            Some(lost) if replaceable => {
                self.peers.remove(&lost.contact);
            }
            None if !rested && !newer => return None,
            _ => {}
        }
        let contact = self.contact(other)?.info.clone();
        let call = ContactCall { contact: contact.name.clone(), at: now };
        let group = self.group.others.entry(other.clone()).or_default();
        group.called = Some(call);
        group.told_version = version;
        group.told_duty = duty;
        Some(contact)
    }

    /// Returns the known instances of another data centre.
    fn peers_in<'a>(
        &'a self,
        other: &'a DataCentreName,
    ) -> impl Iterator<Item = &'a PeerRecord> {
        self.peers
            .values()
            .filter(move |peer| peer.info.data_centre == *other)
    }

    /// Returns the contact in another data centre. Each instance has an order of its own, so
    /// that not all turn to the same one.
    fn contact<'a>(&'a self, other: &'a DataCentreName) -> Option<&'a PeerRecord> {
        let staying = self.peers_in(other).filter(|peer| !peer.leaving);
        let mut candidates: Vec<&PeerRecord> = staying.collect();
        if candidates.is_empty() {
            candidates = self.peers_in(other).collect();
        }
        let names: Vec<&str> =
            candidates.iter().map(|peer| peer.info.name.as_str()).collect();
        let order = rendezvous_order(u64::from(self.key()), &names);
        order.first().map(|first| candidates[*first])
    }

    /// Returns after which silence a contact in another data centre isn't alive: it is heard
    /// with its digests or, without any, with heartbeats.
    pub(super) fn far_liveness_timeout(&self) -> Duration {
        let digests = self.digest_period() * self.timing.missed_heartbeats;
        if self.uses_digests() { digests } else { self.liveness_timeout() }
    }

    /// Returns the addresses of all known peers.
    pub(crate) fn addresses(&self) -> BTreeSet<SocketAddr> {
        let holder = self.duty.map(|duty| duty.address);
        self.peers
            .values()
            .map(|peer| peer.info.address)
            .chain(holder)
            .collect()
    }

    /// Returns whom this instance tells a peer of: all of the group to one of the group, and
    /// a few of each other data centre.
    pub(super) fn peers_for(
        &self,
        data_centre: &DataCentreName,
        now: Duration,
    ) -> Vec<PeerInfo> {
        let (near_timeout, far_timeout) =
            (self.liveness_timeout(), self.far_liveness_timeout());
        // Without digests, this is the only way to know how many there are elsewhere.
        let all = self.group.joint || !self.uses_digests();
        let of_group = *data_centre == self.own.data_centre;
        let mut told: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        let known = self.peers.values();
        let known = known.filter(|peer| {
            let timeout = if self.is_near(peer) { near_timeout } else { far_timeout };
            peer.listed || peer.alive(now, timeout)
        });
        let known = known.filter(|peer| {
            let count = told.entry(&peer.info.data_centre).or_default();
            *count += 1;
            all || (of_group && self.is_near(peer)) || *count <= CONTACTS_PER_GROUP
        });
        let infos = known.map(|peer| peer.info.clone());
        infos.chain([self.own.clone()]).collect()
    }
}
