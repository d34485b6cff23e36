//! The instances among which a limit that a server announces is divided. Unlike the group in
//! which an instance exchanges heartbeats, an `InstanceGroup` also names the other data
//! centres.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_policy::{GroupMember, InstanceGroup};

use super::FleetNode;
use crate::info::PeerInfo;
use crate::key::{FleetKey, fleet_key};

/// How long after its start an instance may not know its peers yet: two of the longest
/// heartbeat periods.
const PEER_DISCOVERY_DELAY: Duration = Duration::from_secs(5);

/// An instance group, with the state that it was built from.
#[derive(Debug)]
pub(super) struct CachedInstanceGroup {
    /// The node's generation when the group was built.
    generation: u64,
    /// The other data centres with live instances, of which only a few instances are known.
    others: Vec<FleetKey>,
    /// The group.
    group: Arc<InstanceGroup>,
}

impl FleetNode {
    /// Returns the live instances that this one knows; `None` shortly after its start, while
    /// peers may be missing.
    pub fn instance_group(&mut self, now: Duration) -> Option<Arc<InstanceGroup>> {
        let started = self.status_first_set_at?;
        if now < started + PEER_DISCOVERY_DELAY && !self.seeds.is_empty() {
            return None;
        }
        let others = self.other_data_centres(now);
        let reusable = self.cached_group.as_ref().filter(|cached| {
            cached.generation == self.generation && cached.others == others
        });
        if let Some(cached) = reusable {
            return Some(cached.group.clone());
        }
        let own = member(&self.own);
        let live = self.live.iter().filter_map(|name| self.peers.get(name));
        let members = live.map(|peer| member(&peer.info)).chain([own]).collect();
        let group = InstanceGroup { own, members, other_data_centres: others.clone() };
        let group = Arc::new(group);
        let generation = self.generation;
        self.cached_group =
            Some(CachedInstanceGroup { generation, others, group: group.clone() });
        Some(group)
    }

    /// Returns the other data centres with live instances, of which only a few are known.
    fn other_data_centres(&self, now: Duration) -> Vec<FleetKey> {
        let timeout = self.contact_liveness_timeout();
        let remote = self
            .peers
            .values()
            .filter(|peer| !self.in_own_group(peer) && peer.heard_within(now, timeout));
        let mut others: Vec<FleetKey> =
            remote.map(|peer| fleet_key(&peer.info.data_centre)).collect();
        others.sort_unstable();
        others.dedup();
        others
    }
}

/// Returns the keys of an instance and its data centre.
fn member(info: &PeerInfo) -> GroupMember {
    GroupMember {
        instance: fleet_key(&info.name),
        data_centre: fleet_key(&info.data_centre),
    }
}
