//! Which peers keep the versions of this instance's streams, and which are asked for those of
//! others.

use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{AskedPeers, rendezvous_order};
use xxhash_rust::xxh3::xxh3_64;

use super::FleetNode;
use crate::info::PeerInfo;
use crate::peer::PeerRecord;

/// The number of replicas of an instance in a fleet that is a single group. In a larger one,
/// each replica costs more than it helps.
const SMALL_FLEET_REPLICAS: usize = 3;

/// The number of replicas of an instance in a larger fleet.
const LARGE_FLEET_REPLICAS: usize = 2;

/// The most peers of which half have to agree if nothing is certain. Instances of other data
/// centres of a large fleet aren't asked.
const MAX_COUNTED_PEERS: usize = 8;

impl FleetNode {
    /// Returns the peers that keep the versions of this instance's streams, with their epochs.
    /// One of them is in another data centre, if there are several: a whole data centre may be
    /// lost or cut off.
    #[must_use]
    pub fn version_replicas(&self, now: Duration) -> Vec<(PeerInfo, Option<u32>)> {
        let peers = self.peers.values();
        let alive: Vec<&PeerRecord> =
            peers.filter(|peer| self.is_peer_alive(peer, now)).collect();
        let names: Vec<&InstanceName> =
            alive.iter().map(|peer| &peer.info.name).collect();
        let key = xxh3_64(self.own.name.as_bytes());
        let order = rendezvous_order(key, &names);
        let is_near = |index: &&usize| self.in_own_data_centre(&alive[**index].info);
        let near = order.iter().find(is_near);
        let far = order.iter().find(|index| !is_near(index));
        let count = match self.group.is_single {
            true => SMALL_FLEET_REPLICAS,
            false => LARGE_FLEET_REPLICAS,
        };
        let mut replicas: Vec<usize> = near.into_iter().chain(far).copied().collect();
        for index in order {
            if replicas.len() < count && !replicas.contains(&index) {
                replicas.push(index);
            }
        }
        let replica = |index: usize| (alive[index].info.clone(), alive[index].epoch);
        replicas.into_iter().map(replica).collect()
    }

    /// Returns the peers to ask for the version of a stream, and whether they are in the own data
    /// centre: all that were heard lately. One that is stopping knows its own streams.
    #[must_use]
    pub fn version_peers(&self, now: Duration) -> Vec<(PeerInfo, bool)> {
        let peers = self.peers.values();
        let heard = peers.filter(|peer| self.is_peer_heard(peer, now));
        let with_place = heard.map(|peer| {
            let info = peer.info.clone();
            let near = self.in_own_data_centre(&info);
            (info, near)
        });
        with_place.collect()
    }

    /// Returns the peers that were heard within `window`, but not lately.
    #[must_use]
    pub fn absent_version_peers(&self, window: Duration, now: Duration) -> Vec<PeerInfo> {
        let peers = self.peers.values();
        let absent = peers.filter(|peer| {
            peer.heard_within(now, window) && !self.is_peer_heard(peer, now)
        });
        absent.map(|peer| peer.info.clone()).collect()
    }

    /// Returns how many peers would answer if all could be reached that were heard within
    /// `window`. An instance that has just started knows none yet, but has addresses of some.
    #[must_use]
    pub fn asked_peers(&self, window: Duration, now: Duration) -> AskedPeers {
        let peers = self.peers.values();
        let heard = peers.filter(|peer| peer.heard_within(now, window));
        let (near, far): (Vec<_>, Vec<_>) =
            heard.partition(|peer| self.in_own_data_centre(&peer.info));
        let seen = self.largest_group.saturating_sub(1).min(MAX_COUNTED_PEERS);
        let is_other = |seed: &SocketAddr| *seed != self.own.address;
        let expected = usize::from(self.seeds.iter().any(is_other));
        AskedPeers {
            all: (near.len() + far.len()).max(seen).max(expected),
            near: near.len(),
        }
    }
}
