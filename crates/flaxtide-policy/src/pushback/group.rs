//! How instances share the rate that a backend server states for all of them together.
//!
//! The rate may be lower than one request a second for each instance. Equal shares would
//! then be too small to use, and the tokens saved by all instances would be spent as one
//! burst. So a few instances, the owners, share the whole rate, and the others send
//! nothing. Each instance computes the owners from the instances it sees alive, by
//! rendezvous hashing: no call is needed before a request is sent, and losing an instance
//! moves only its own shares.

use std::cmp::Reverse;

use super::statement::RequestRate;
use crate::rendezvous::rendezvous_weight;

/// A key computed from the name of an entry instance.
pub type InstanceKey = u32;

/// A key computed from the name of a data centre.
pub type DataCentreKey = u32;

/// The number of owners of a rate below one request a second. With two, requests still
/// get through if one owner has no demand or stops. Each full request a second adds an
/// owner.
const MIN_OWNERS: usize = 2;

/// The number of instances that watch an engine.
const WATCHERS: usize = 2;

/// How many owners the rate of a cold server has for each request a second, besides
/// [`MIN_OWNERS`].
const COLD_OWNERS_PER_REQUEST: f64 = 0.4;

/// The lowest rate at which requests are sent to a server that states a rate of zero or
/// below this, in requests a second, to learn when it accepts requests again.
const MIN_RATE: f64 = 0.05;

/// An instance that is known by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupMember {
    /// The key of the instance.
    pub instance: InstanceKey,
    /// The data centre of the instance.
    pub data_centre: DataCentreKey,
}

/// The live instances as seen by one of them.
///
/// ```
/// use flaxtide_policy::{GroupMember, InstanceGroup, RequestRate};
/// let member = |instance| GroupMember { instance, data_centre: 1 };
/// let group = |own| InstanceGroup {
///     own: member(own),
///     members: (0..9).map(member).collect(),
///     other_data_centres: vec![],
/// };
/// let rate = RequestRate::from_per_second(2.2).unwrap();
/// let shares = (0..9).map(|own| group(own).rate_share(7, 1, rate));
/// assert!((shares.sum::<f64>() - 2.2).abs() < 1e-6);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceGroup {
    /// This instance.
    pub own: GroupMember,
    /// The live instances that are known by name, this one included.
    pub members: Vec<GroupMember>,
    /// The other data centres that have live instances, not all of which are known by
    /// name.
    pub other_data_centres: Vec<DataCentreKey>,
}

impl InstanceGroup {
    /// Returns this instance's share of the rate of a server, in requests a second.
    /// `name_hash` identifies the server and is the same on every instance.
    #[must_use]
    pub fn rate_share(
        &self,
        name_hash: u64,
        data_centre: DataCentreKey,
        rate: RequestRate,
    ) -> f64 {
        let owners = (rate.per_second() as usize).saturating_add(MIN_OWNERS);
        self.share_among(owners, name_hash, data_centre, rate)
    }

    /// Returns this instance's share of the rate of a server that is cold. Fewer instances
    /// share it than a stated rate: a server that is cold fails beyond its rate, and the
    /// requests that reach it in one second exceed the rate by up to one for each owner.
    ///
    /// ```
    /// use flaxtide_policy::{GroupMember, InstanceGroup, RequestRate};
    /// let member = |instance| GroupMember { instance, data_centre: 1 };
    /// let group = |own| InstanceGroup {
    ///     own: member(own),
    ///     members: (0..63).map(member).collect(),
    ///     other_data_centres: vec![],
    /// };
    /// let rate = RequestRate::from_per_second(19.0).unwrap();
    /// let shares: Vec<f64> = (0..63).map(|own| group(own).cold_share(7, 1, rate)).collect();
    /// assert!((shares.iter().sum::<f64>() - 19.0).abs() < 1e-6);
    /// assert_eq!(shares.iter().filter(|share| **share > 0.0).count(), 9);
    /// ```
    #[must_use]
    pub fn cold_share(
        &self,
        name_hash: u64,
        data_centre: DataCentreKey,
        rate: RequestRate,
    ) -> f64 {
        let owners = (rate.per_second() * COLD_OWNERS_PER_REQUEST) as usize;
        let owners = owners.saturating_add(MIN_OWNERS);
        self.share_among(owners, name_hash, data_centre, rate)
    }

    /// Returns how many of a server's slots are this instance's alone. The members divide
    /// all slots, whole ones; if there are more members than slots, some have none.
    ///
    /// ```
    /// use flaxtide_policy::{GroupMember, InstanceGroup};
    /// let member = |instance| GroupMember { instance, data_centre: 1 };
    /// let group = |own| InstanceGroup {
    ///     own: member(own),
    ///     members: (0..9).map(member).collect(),
    ///     other_data_centres: vec![],
    /// };
    /// let mut shares: Vec<u32> = (0..9).map(|own| group(own).slot_share(7, 1, 16)).collect();
    /// shares.sort_unstable();
    /// assert_eq!(shares, [1, 1, 2, 2, 2, 2, 2, 2, 2]);
    /// ```
    #[must_use]
    pub fn slot_share(
        &self,
        name_hash: u64,
        data_centre: DataCentreKey,
        slots: u32,
    ) -> u32 {
        if !self.shares_servers_of(name_hash, data_centre) {
            return 0;
        }
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX).max(1);
        let preceding = self.rank(name_hash, data_centre) as u64;
        slots / count + u32::from(preceding < u64::from(slots % count))
    }

    /// Returns whether this instance, of all that are alive, is the one to which a key belongs.
    ///
    /// ```
    /// use flaxtide_policy::{GroupMember, InstanceGroup};
    /// let member = |instance| GroupMember { instance, data_centre: 1 };
    /// let group = |own| InstanceGroup {
    ///     own: member(own),
    ///     members: (0..9).map(member).collect(),
    ///     other_data_centres: vec![],
    /// };
    /// assert_eq!((0..9).filter(|own| group(*own).owns(7)).count(), 1);
    /// ```
    #[must_use]
    pub fn owns(&self, key: u64) -> bool {
        let weight = |member: &GroupMember| {
            (rendezvous_weight(key, u64::from(member.instance)), member.instance)
        };
        let own = weight(&self.own);
        self.is_first_data_centre(key)
            && self.members.iter().all(|member| weight(member) <= own)
    }

    /// Returns this instance's rank among the watchers of an engine: 0 for the first, 1 for
    /// the second, `None` if it isn't one of them. Two instances watch an engine, as one
    /// may be gone; those in the engine's data centre come first.
    ///
    /// ```
    /// use flaxtide_policy::{GroupMember, InstanceGroup};
    /// let member = |instance| GroupMember { instance, data_centre: 1 };
    /// let group = |own| InstanceGroup {
    ///     own: member(own),
    ///     members: (0..9).map(member).collect(),
    ///     other_data_centres: vec![],
    /// };
    /// let ranks = (0..9).filter_map(|own| group(own).watch_rank(7, 1));
    /// let mut ranks: Vec<usize> = ranks.collect();
    /// ranks.sort_unstable();
    /// assert_eq!(ranks, [0, 1]);
    /// ```
    #[must_use]
    pub fn watch_rank(
        &self,
        name_hash: u64,
        data_centre: DataCentreKey,
    ) -> Option<usize> {
        if !self.shares_servers_of(name_hash, data_centre) {
            return None;
        }
        let rank = self.rank(name_hash, data_centre);
        (rank < WATCHERS).then_some(rank)
    }

    /// Returns this instance's share of a rate that `owners` instances divide equally.
    fn share_among(
        &self,
        owners: usize,
        name_hash: u64,
        data_centre: DataCentreKey,
        rate: RequestRate,
    ) -> f64 {
        if !self.shares_servers_of(name_hash, data_centre) {
            return 0.0;
        }
        let rate = rate.per_second().max(MIN_RATE);
        let count = owners.min(self.members.len());
        let preceding = self.rank(name_hash, data_centre);
        if preceding < count { rate / count as f64 } else { 0.0 }
    }

    /// Returns how many members come before this instance in a server's order.
    fn rank(&self, name_hash: u64, data_centre: DataCentreKey) -> usize {
        let order = |member: &GroupMember| {
            // Instances in the server's data centre go first, as a network partition is
            // least likely to separate them from it.
            let remote = member.data_centre != data_centre;
            (remote, Reverse(rendezvous_weight(name_hash, u64::from(member.instance))))
        };
        let own = order(&self.own);
        self.members.iter().filter(|member| order(member) < own).count()
    }

    /// Returns whether the members share the rate of a server in `data_centre`. If all
    /// live instances are members, they share the rates of all servers. If they are the
    /// instances of one data centre, they share the rates of its own servers. They also
    /// share the rate of a server in a data centre without live instances, if their own
    /// data centre comes first in rendezvous order.
    fn shares_servers_of(&self, name_hash: u64, data_centre: DataCentreKey) -> bool {
        let has_members =
            self.members.iter().any(|member| member.data_centre == data_centre);
        if has_members || self.other_data_centres.is_empty() {
            return true;
        }
        !self.other_data_centres.contains(&data_centre)
            && self.is_first_data_centre(name_hash)
    }

    /// Returns whether rendezvous hashing ranks the own data centre before the others that have
    /// instances which aren't members.
    fn is_first_data_centre(&self, key: u64) -> bool {
        let weight = |candidate: DataCentreKey| {
            (rendezvous_weight(key, candidate.into()), candidate)
        };
        let own = weight(self.own.data_centre);
        self.other_data_centres.iter().all(|other| weight(*other) < own)
    }
}
