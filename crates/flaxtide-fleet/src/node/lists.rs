//! Who reads lists from the platform for the instances of a group.

use std::net::SocketAddr;

use super::FleetNode;
use crate::key::fleet_key;
use crate::rows::{ListPlan, ListReader, PEERS_PER_READER, STANDBYS};

impl FleetNode {
    /// Returns who reads lists from the platform for this instance. Fleets below a size
    /// have no readers. Instances that don't see the same peers may disagree: one that
    /// is asked and can't tell says so.
    #[must_use]
    pub fn list_reader(&self, alone_below: usize) -> ListReader {
        if self.live.len() < alone_below.max(2) {
            return ListReader::Alone;
        }
        let count = self.reader_count();
        if self.includes_self(&self.reader_order[..count]) {
            return ListReader::ForPeers;
        }
        let turn = fleet_key(&self.own.name) as usize % count;
        self.address_at(self.reader_order[turn])
            .map_or(ListReader::Alone, ListReader::Peer)
    }

    /// Returns from whom this instance gets lists that few read from the platform.
    #[must_use]
    pub fn list_plan(&self, alone_below: usize) -> ListPlan {
        let reader = self.list_reader(alone_below);
        let ListReader::Peer(asked_first) = reader else {
            return ListPlan { reader, ..ListPlan::default() };
        };
        let count = self.reader_count();
        let end = (count + STANDBYS).min(self.reader_order.len());
        let places = &self.reader_order[..end];
        let others = places.iter().filter_map(|place| self.address_at(*place));
        let peers = places.iter().filter_map(|place| self.peers.get(&self.live[*place]));
        ListPlan {
            reader,
            others: others.filter(|address| *address != asked_first).collect(),
            epochs: peers.filter_map(|peer| peer.epoch).collect(),
            standby: self.includes_self(&self.reader_order[count..end]),
        }
    }

    /// Returns how many instances of the group read lists for all.
    fn reader_count(&self) -> usize {
        self.live.len().div_ceil(PEERS_PER_READER)
    }

    /// Returns whether this instance stands at one of these places.
    fn includes_self(&self, places: &[usize]) -> bool {
        places.iter().any(|place| self.live[*place] == self.own.name)
    }

    /// Returns where the peer at a place is reached; nothing for this instance itself.
    fn address_at(&self, place: usize) -> Option<SocketAddr> {
        self.peers.get(&self.live[place]).map(|peer| peer.info.address)
    }
}
