//! How instances share the rate that a backend server states for all of them together.
//!
//! The rate may be lower than the number of instances. Equal shares would then be too
//! small to use, and the tokens saved by all instances would be spent as one burst. So a
//! few instances, the owners, share the whole rate, and the others send nothing. Each
//! instance computes the owners from the instances it sees alive, by rendezvous hashing:
//! no call is needed before a request is sent, and losing an instance moves only its own
//! shares.

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

/// The rate at which requests are still sent to a server that states a rate of zero, in
/// requests a second, to learn when it accepts requests again.
const MIN_RATE: f64 = 0.05;

/// An instance that is known by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupMember {
    /// The key of the instance.
    pub instance: InstanceKey,
    /// The data centre of the instance.
    pub data_centre: DataCentreKey,
}

/// The instances that are seen alive.
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
/// let parts = (0..9).map(|own| group(own).rate_share(7, 1, rate));
/// assert!((parts.sum::<f64>() - 2.2).abs() < 1e-6);
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
        if !self.shares_servers_of(name_hash, data_centre) {
            return 0.0;
        }
        let rate = rate.per_second().max(MIN_RATE);
        let owners = (rate as usize).saturating_add(MIN_OWNERS);
        let count = owners.min(self.members.len());
        let order = |member: &GroupMember| {
            // Instances in the server's data centre go first, as a network partition is
            // least likely to separate them from it.
            let far = member.data_centre != data_centre;
            (far, Reverse(rendezvous_weight(name_hash, u64::from(member.instance))))
        };
        let own = order(&self.own);
        let preceding = self.members.iter().filter(|member| order(member) < own).count();
        if preceding < count { rate / count as f64 } else { 0.0 }
    }

    /// Returns whether the members share the rates of the servers in a data centre.
    /// Members of a single data centre share the rates of its own servers, and of a data
    /// centre without live instances if their data centre comes first in rendezvous
    /// order.
    fn shares_servers_of(&self, name_hash: u64, data_centre: DataCentreKey) -> bool {
        let has_members =
            self.members.iter().any(|member| member.data_centre == data_centre);
        if has_members || self.other_data_centres.is_empty() {
            return true;
        }
        if self.other_data_centres.contains(&data_centre) {
            return false;
        }
        let weight =
            |candidate: DataCentreKey| {
            (rendezvous_weight(name_hash, candidate.into()), candidate)
        };
        let own = weight(self.own.data_centre);
        self.other_data_centres.iter().all(|other| weight(*other) < own)
    }
}
