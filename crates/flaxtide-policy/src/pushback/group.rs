//! How instances share the rate that a backend server takes from all of them together.
//!
//! A rate may be lower than the number of instances, so equal parts would be of no use, and what
//! all have saved up would come at once. Instead a few instances have the whole rate and the
//! others send nothing. Each works out who these are from whom it sees alive: nothing is asked
//! on the way of a request, and losing an instance moves only its own parts.

use std::cmp::Reverse;

use super::statement::RequestRate;
use crate::rendezvous::rendezvous_weight;

/// Stands for the name of an instance.
pub type InstanceKey = u32;

/// Stands for the name of a data centre.
pub type DataCentreKey = u32;

/// So many instances have a part of a rate of less than one request a second: if one of them
/// has no demand or ends, others have. Each further request a second adds one.
const LEAST_OWNERS: usize = 2;

/// A server that takes nothing is asked so seldom whether it does again, in requests a second.
const LEAST_RATE: f64 = 0.05;

/// An instance that is known by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupMember {
    /// The instance.
    pub instance: InstanceKey,
    /// Where it stands.
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
    /// All that are known by their names, this one included.
    pub members: Vec<GroupMember>,
    /// The other data centres with live instances that aren't all known by their names.
    pub other_data_centres: Vec<DataCentreKey>,
}

impl InstanceGroup {
    /// Returns this instance's part of the rate of a server, in requests a second. `rank` is the
    /// server's number that is the same on every instance.
    #[must_use]
    pub fn rate_share(
        &self,
        rank: u64,
        data_centre: DataCentreKey,
        rate: RequestRate,
    ) -> f64 {
        if !self.shares_servers_of(rank, data_centre) {
            return 0.0;
        }
        let rate = rate.per_second().max(LEAST_RATE);
        let wanted = (rate as usize).saturating_add(LEAST_OWNERS);
        let count = wanted.min(self.members.len());
        let order = |member: &GroupMember| {
            // Those beside the server go first: a cut parts them from it last.
            let far = member.data_centre != data_centre;
            (far, Reverse(rendezvous_weight(rank, u64::from(member.instance))))
        };
        let own = order(&self.own);
        let before = self.members.iter().filter(|member| order(member) < own).count();
        if before < count { rate / count as f64 } else { 0.0 }
    }

    /// Returns whether the members share the rates of the servers of a data centre. Where they are
    /// those of one data centre only, they do so for their own, and for a data centre without
    /// live instances if they are next in order.
    fn shares_servers_of(&self, rank: u64, data_centre: DataCentreKey) -> bool {
        let has_members =
            self.members.iter().any(|member| member.data_centre == data_centre);
        if has_members || self.other_data_centres.is_empty() {
            return true;
        }
        if self.other_data_centres.contains(&data_centre) {
            return false;
        }
        let weight =
            |place: DataCentreKey| (rendezvous_weight(rank, place.into()), place);
        let own = weight(self.own.data_centre);
        self.other_data_centres.iter().all(|other| weight(*other) < own)
    }
}
