//! The group of an instance: the peers with which it exchanges heartbeats.
//!
//! A small fleet is a single group, whatever its data centres. In a larger fleet each data
//! centre is a group, so that the connections and messages of an instance grow with its data
//! centre and not with the fleet. Groups know each other by a few contacts, and exchange
//! digests through them.

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

/// The number of known contacts in another data centre. If one fails, the next is tried; all of
/// them rarely fail at once unless the whole data centre does.
const CONTACTS_PER_GROUP: usize = 4;

/// How long the last instance count of another data centre stays valid. A data centre that is
/// cut off still uses shared resources, such as the retry budget, so its instances are still
/// counted.
const COUNT_LIFETIME: Duration = Duration::from_secs(60);

/// How long a contact may take to answer before another one is tried.
const CONTACT_ANSWER_WAIT: Duration = Duration::from_secs(1);

/// How long a divided fleet stays divided at least: until digests have reported its size.
const MIN_DIVIDED_TIME: Duration = Duration::from_secs(10);

/// A divided fleet becomes a single group again below this fraction of the limit. The gap keeps
/// a few joins and leaves from switching it back and forth.
const REUNITE_FRACTION: f64 = 0.75;

/// The grouping of the fleet, and what is known of other groups.
#[derive(Debug)]
pub(super) struct GroupState {
    /// Whether all known instances are a single group.
    pub(super) is_single: bool,
    /// When `is_single` last changed.
    since: Duration,
    /// The state of each other data centre, by name.
    pub(super) others: BTreeMap<DataCentreName, OtherGroup>,
    /// The data centres of which an instance has been heard since the start, and the own one.
    heard: BTreeSet<DataCentreName>,
}

/// What is known of another data centre.
#[derive(Debug, Default)]
pub(super) struct OtherGroup {
    /// The last reported number of live instances, and when the report arrived.
    live_count: Option<(u32, Duration)>,
    /// When a contact last answered.
    answered_at: Option<Duration>,
    /// The settings version in the last message to a contact.
    sent_version: SettingsVersion,
    /// The duty holder in the last message to a contact.
    sent_duty: Option<DutyHolder>,
    /// The last call to a contact, until it is answered.
    pending_call: Option<ContactCall>,
}

/// A call to a contact.
#[derive(Debug)]
struct ContactCall {
    /// The instance that was called.
    contact: InstanceName,
    /// When it was called.
    at: Duration,
}

impl OtherGroup {
    /// Records the number of live instances in the data centre.
    pub(super) fn record_count(&mut self, live: u32, now: Duration) {
        self.live_count = Some((live, now));
    }

    /// Records that a contact has answered.
    pub(super) fn record_answer(&mut self, now: Duration) {
        self.answered_at = Some(now);
        self.pending_call = None;
    }

    /// Returns the number of live instances, unless the last report has expired.
    fn count(&self, now: Duration) -> Option<u32> {
        let (live, at) = self.live_count?;
        (now < at + COUNT_LIFETIME).then_some(live)
    }
}

impl GroupState {
    /// Creates the state of a single group, or of divided groups if the limit is zero. `own` is
    /// the data centre of this instance.
    pub(super) fn new(single_group_limit: u32, own: DataCentreName) -> Self {
        Self {
            is_single: single_group_limit > 0,
            since: Duration::ZERO,
            others: BTreeMap::new(),
            heard: [own].into(),
        }
    }
}

impl FleetNode {
    /// Returns whether a peer belongs to this instance's group.
    pub(super) fn in_own_group(&self, peer: &PeerRecord) -> bool {
        self.group.is_single || self.in_own_data_centre(&peer.info)
    }

    /// Returns whether groups exchange digests. They do if the fleet can be a single group;
    /// otherwise each data centre always is a group, and some heartbeats go to other data
    /// centres.
    pub(super) fn uses_digests(&self) -> bool {
        self.timing.single_group_limit > 0
    }

    /// Returns whether an instance is in this one's data centre.
    pub(super) fn in_own_data_centre(&self, info: &PeerInfo) -> bool {
        info.data_centre == self.own.data_centre
    }

    /// Returns the known size of the fleet: the live instances of the group, the last instance
    /// counts of other data centres, and the known instances of data centres without a valid
    /// count.
    #[must_use]
    pub fn fleet_size(&self, now: Duration) -> u32 {
        let in_group = self.live.len() as u32;
        if self.group.is_single {
            return in_group;
        }
        let others = &self.group.others;
        let count = |name: &DataCentreName| others.get(name).and_then(|it| it.count(now));
        let counted: u32 = others.keys().filter_map(&count).sum();
        let remote = self.peers.values().filter(|peer| !self.in_own_group(peer));
        let uncounted = remote.filter(|peer| count(&peer.info.data_centre).is_none());
        in_group + counted + uncounted.count() as u32
    }

    /// Returns the number of data centres of which an instance has been heard since the start,
    /// the own one included.
    #[must_use]
    pub fn heard_data_centres(&self) -> usize {
        self.group.heard.len()
    }

    /// Records that an instance of a data centre has been heard.
    pub(super) fn record_heard(&mut self, data_centre: &DataCentreName) {
        if !self.group.heard.contains(data_centre) {
            self.group.heard.insert(data_centre.clone());
        }
    }

    /// Divides a fleet that has grown over the limit into groups, and merges a divided fleet
    /// that has shrunk.
    pub(super) fn regroup(&mut self, now: Duration) {
        let limit = self.timing.single_group_limit;
        if self.group.is_single {
            if self.peers.len() as u32 + 1 > limit {
                self.set_single(false, now);
                self.forget_surplus_contacts();
            }
            return;
        }
        let kept_divided = now < self.group.since + MIN_DIVIDED_TIME;
        if kept_divided || !self.uses_digests() {
            return;
        }
        if f64::from(self.fleet_size(now)) < f64::from(limit) * REUNITE_FRACTION {
            self.set_single(true, now);
        }
    }

    /// Makes all known instances a single group, or each data centre a group.
    fn set_single(&mut self, is_single: bool, now: Duration) {
        self.group.is_single = is_single;
        self.group.since = now;
    }

    /// Keeps a few contacts of each other data centre, preferably ones that have been heard
    /// from.
    fn forget_surplus_contacts(&mut self) {
        let mut counts: BTreeMap<DataCentreName, usize> = BTreeMap::new();
        let mut remote: Vec<&PeerRecord> = self
            .peers
            .values()
            .filter(|peer| !self.in_own_data_centre(&peer.info))
            .collect();
        let own_key = self.own_key();
        remote.sort_by_key(|peer| {
            (peer.heard_at.is_none(), fleet_key(&peer.info.name) ^ own_key)
        });
        let surplus = remote.into_iter().filter(|peer| {
            let count = counts.entry(peer.info.data_centre.clone()).or_default();
            *count += 1;
            *count > CONTACTS_PER_GROUP
        });
        let surplus: Vec<_> = surplus.map(|peer| peer.info.name.clone()).collect();
        for name in surplus {
            self.peers.remove(&name);
        }
    }

    /// Returns whether another peer may be added: any instance of the group, and a few of each
    /// other data centre.
    pub(super) fn accepts_peer(&self, info: &PeerInfo) -> bool {
        if self.group.is_single || !self.uses_digests() || self.in_own_data_centre(info) {
            return true;
        }
        self.peers_in(&info.data_centre).count() < CONTACTS_PER_GROUP
    }

    /// Returns the contacts to be called now, at most one in each other data centre.
    pub(super) fn due_contacts(&mut self, now: Duration) -> Vec<PeerInfo> {
        let remote = self.peers.values().filter(|peer| !self.in_own_group(peer));
        let known: BTreeSet<DataCentreName> =
            remote.map(|peer| peer.info.data_centre.clone()).collect();
        known
            .iter()
            .filter_map(|other| self.due_contact(other, now))
            .collect()
    }

    /// Returns the contact in another data centre if it is to be called now. A contact that
    /// hasn't answered within the answer wait is replaced if another is known, and otherwise
    /// called again after the digest period.
    fn due_contact(&mut self, other: &DataCentreName, now: Duration) -> Option<PeerInfo> {
        let (version, duty) = (self.version(), self.duty);
        let replaceable = self.peers_in(other).count() > 1;
        let period = self.digest_period();
        let wait = if replaceable { CONTACT_ANSWER_WAIT } else { period };
        let group = self.group.others.entry(other.clone()).or_default();
        if group.pending_call.as_ref().is_some_and(|call| now < call.at + wait) {
            return None;
        }
        let period_over = group.answered_at.is_none_or(|at| now >= at + period);
        let newer = version > group.sent_version || duty > group.sent_duty;
        match group.pending_call.take() {
            Some(call) if replaceable => {
                self.peers.remove(&call.contact);
            }
            None if !period_over && !newer => return None,
            _ => {}
        }
        let contact = self.contact(other)?.info.clone();
        let call = ContactCall { contact: contact.name.clone(), at: now };
        let group = self.group.others.entry(other.clone()).or_default();
        group.pending_call = Some(call);
        group.sent_version = version;
        group.sent_duty = duty;
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

    /// Returns the contact in another data centre. Each instance orders the candidates
    /// differently, so that they don't all call the same one.
    fn contact<'a>(&'a self, other: &'a DataCentreName) -> Option<&'a PeerRecord> {
        let non_leaving = self.peers_in(other).filter(|peer| !peer.leaving);
        let mut candidates: Vec<&PeerRecord> = non_leaving.collect();
        if candidates.is_empty() {
            candidates = self.peers_in(other).collect();
        }
        let names: Vec<&str> =
            candidates.iter().map(|peer| peer.info.name.as_str()).collect();
        let order = rendezvous_order(u64::from(self.own_key()), &names);
        order.first().map(|first| candidates[*first])
    }

    /// Returns how long a contact in another data centre may be silent before it counts as
    /// dead. It is heard from by digests or, without them, by heartbeats.
    pub(super) fn contact_liveness_timeout(&self) -> Duration {
        let digests = self.digest_period() * self.timing.missed_heartbeats;
        if self.uses_digests() { digests } else { self.liveness_timeout() }
    }

    /// Returns the addresses of all known peers and of the duty holder.
    pub(crate) fn addresses(&self) -> BTreeSet<SocketAddr> {
        let holder = self.duty.map(|duty| duty.address);
        self.peers
            .values()
            .map(|peer| peer.info.address)
            .chain(holder)
            .collect()
    }

    /// Returns the instances that are listed to a peer: all of the group if the peer belongs to
    /// it, and a few of each other data centre. A peer that still takes the fleet for a single
    /// group gets all of this group, which shows it that there are more than it knows.
    pub(super) fn peers_for(
        &self,
        data_centre: &DataCentreName,
        is_undivided: bool,
        now: Duration,
    ) -> Vec<PeerInfo> {
        let (group_timeout, contact_timeout) =
            (self.liveness_timeout(), self.contact_liveness_timeout());
        // Without digests, the size of other data centres is only known from these lists.
        let all = self.group.is_single || !self.uses_digests();
        let in_group = is_undivided || *data_centre == self.own.data_centre;
        let mut counts: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        let known = self.peers.values();
        let known = known.filter(|peer| {
            let timeout =
                if self.in_own_group(peer) { group_timeout } else { contact_timeout };
            peer.listed || peer.is_alive(now, timeout)
        });
        let known = known.filter(|peer| {
            let count = counts.entry(&peer.info.data_centre).or_default();
            *count += 1;
            all || (in_group && self.in_own_group(peer)) || *count <= CONTACTS_PER_GROUP
        });
        let infos = known.map(|peer| peer.info.clone());
        infos.chain([self.own.clone()]).collect()
    }
}
