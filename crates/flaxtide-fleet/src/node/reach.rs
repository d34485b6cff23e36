//! Which peers to ask when the own path to the backend servers is in doubt.

use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::rendezvous_order;

use super::FleetNode;
use crate::info::PeerInfo;
use crate::peer::PeerRecord;
use crate::wire::ReachReply;

/// The number of peers that are asked at a time: half of them in the own data centre, half in
/// others, as a whole data centre may have lost the path.
const ASKED_PEERS: usize = 8;

impl FleetNode {
    /// Returns what this instance offers to peers whose path is in doubt; nothing once it is
    /// stopping.
    #[must_use]
    pub fn reach_reply(&self) -> ReachReply {
        match self.leaving {
            true => ReachReply::default(),
            false => self.status.reach.clone(),
        }
    }

    /// Returns the live peers to ask which servers they reach. Instances ask different peers,
    /// so that a few of them don't get the requests of all, and each `round` asks others.
    #[must_use]
    pub fn reach_candidates(&self, round: u64, now: Duration) -> Vec<PeerInfo> {
        let (near, far): (Vec<&PeerRecord>, Vec<&PeerRecord>) = self
            .peers
            .values()
            .filter(|peer| self.is_peer_alive(peer, now))
            .partition(|peer| self.in_own_data_centre(&peer.info));
        let half = ASKED_PEERS / 2;
        let near_count = near.len().min(ASKED_PEERS - far.len().min(half));
        let far_count = far.len().min(ASKED_PEERS - near_count);
        let key = round ^ u64::from(self.epoch);
        let mut asked = draw(&near, near_count, key);
        asked.extend(draw(&far, far_count, key));
        asked
    }

    /// Returns whether a peer was heard lately and isn't stopping.
    pub(super) fn is_peer_alive(&self, peer: &PeerRecord, now: Duration) -> bool {
        !peer.leaving && self.is_peer_heard(peer, now)
    }

    /// Returns whether a peer was heard lately.
    pub(super) fn is_peer_heard(&self, peer: &PeerRecord, now: Duration) -> bool {
        let timeout = match self.in_own_group(peer) {
            true => self.liveness_timeout(),
            false => self.contact_liveness_timeout(),
        };
        peer.heard_within(now, timeout)
    }
}

/// Draws some peers.
fn draw(peers: &[&PeerRecord], count: usize, key: u64) -> Vec<PeerInfo> {
    let names: Vec<&InstanceName> = peers.iter().map(|peer| &peer.info.name).collect();
    let order = rendezvous_order(key, &names);
    let drawn = order.into_iter().take(count);
    drawn.map(|index| peers[index].info.clone()).collect()
}
