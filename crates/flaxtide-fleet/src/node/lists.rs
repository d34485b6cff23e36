//! Chooses the instances of a group that read lists from the platform for the others.

use std::net::SocketAddr;

use super::FleetNode;
use crate::key::fleet_key;
use crate::rows::{INSTANCES_PER_READER, ListPlan, ListReader, STANDBYS};

impl FleetNode {
    /// Returns which instance reads lists from the platform for this one. Groups of fewer than
    /// `alone_below` instances have no readers. Instances that see different peers may
    /// disagree; a peer that is asked but isn't a reader answers that it doesn't know the
    /// changes.
    #[must_use]
    pub fn list_reader(&self, alone_below: usize) -> ListReader {
        if self.live.len() < alone_below.max(2) {
            return ListReader::Alone;
        }
        let count = self.reader_count();
        if self.includes_self(&self.reader_order[..count]) {
            return ListReader::ForPeers;
        }
        let reader_index = fleet_key(&self.own.name) as usize % count;
        self.address_at(self.reader_order[reader_index])
            .map_or(ListReader::Alone, ListReader::Peer)
    }

    /// Returns the reader, and the instances to ask if the reader doesn't answer. A reader has
    /// them too, in case the platform doesn't answer it.
    #[must_use]
    pub fn list_plan(&self, alone_below: usize) -> ListPlan {
        let reader = self.list_reader(alone_below);
        let asked_first = match reader {
            ListReader::Alone => return ListPlan { reader, ..ListPlan::default() },
            ListReader::ForPeers => None,
            ListReader::Peer(address) => Some(address),
        };
        let count = self.reader_count();
        let end = (count + STANDBYS).min(self.reader_order.len());
        let indices = &self.reader_order[..end];
        let others = indices.iter().filter_map(|index| self.address_at(*index));
        let others = others.filter(|address| Some(*address) != asked_first);
        let peers = indices.iter().filter_map(|index| self.peers.get(&self.live[*index]));
        ListPlan {
            reader,
            others: others.collect(),
            epochs: peers.filter_map(|peer| peer.epoch).collect(),
            standby: self.includes_self(&self.reader_order[count..end]),
        }
    }

    /// Returns how many instances of the group read lists for the others.
    fn reader_count(&self) -> usize {
        self.live.len().div_ceil(INSTANCES_PER_READER)
    }

    /// Returns whether this instance is at one of these indices of `live`.
    fn includes_self(&self, indices: &[usize]) -> bool {
        indices.iter().any(|index| self.live[*index] == self.own.name)
    }

    /// Returns the address of the peer at an index of `live`; `None` for this instance itself.
    fn address_at(&self, index: usize) -> Option<SocketAddr> {
        self.peers.get(&self.live[index]).map(|peer| peer.info.address)
    }
}
