//! Which instances share what servers state to all of them together.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_policy::{GroupMember, InstanceGroup};

use super::FleetNode;
use crate::info::PeerInfo;
use crate::key::{FleetKey, fleet_key};

/// For how long after its start an instance may not have heard who else is there: two of the
/// longest periods between heartbeats.
const SETTLING: Duration = Duration::from_secs(5);

/// Whom this instance saw alive when it last looked.
#[derive(Debug)]
pub(super) struct RosterCopy {
    /// The generation of the node.
    generation: u64,
    /// The other data centres with live instances that aren't all known.
    others: Vec<FleetKey>,
    /// What follows.
    group: Arc<InstanceGroup>,
}

impl FleetNode {
    /// Returns the instances that this one sees alive; nothing before it may know them.
    pub fn instance_group(&mut self, now: Duration) -> Option<Arc<InstanceGroup>> {
        let started = self.started?;
        if now < started + SETTLING && !self.seeds.is_empty() {
            return None;
        }
        let others = self.other_data_centres(now);
        let known = self
            .roster
            .as_ref()
            .filter(|copy| copy.generation == self.generation && copy.others == others);
        if let Some(copy) = known {
            return Some(copy.group.clone());
        }
        let own = member(&self.own);
        let live = self.live.iter().filter_map(|name| self.peers.get(name));
        let members = live.map(|peer| member(&peer.info)).chain([own]).collect();
        let group = InstanceGroup { own, members, other_data_centres: others.clone() };
        let group = Arc::new(group);
        let generation = self.generation;
        self.roster = Some(RosterCopy { generation, others, group: group.clone() });
        Some(group)
    }

    /// Returns the data centres, but for this one's own, of which only some instances are known.
    fn other_data_centres(&self, now: Duration) -> Vec<FleetKey> {
        let timeout = self.far_liveness_timeout();
        let far = self
            .peers
            .values()
            .filter(|peer| !self.is_near(peer) && peer.heard_within(now, timeout));
        let mut others: Vec<FleetKey> =
            far.map(|peer| fleet_key(&peer.info.data_centre)).collect();
        others.sort_unstable();
        others.dedup();
        others
    }
}

/// Returns what stands for an instance.
fn member(info: &PeerInfo) -> GroupMember {
    GroupMember {
        instance: fleet_key(&info.name),
        data_centre: fleet_key(&info.data_centre),
    }
}
