//! The division of slots and rates among the instances that a node hears.

use std::time::Duration;

use flaxtide_policy::{SlotDemand, divide_slots, equal_share};

use super::{FleetNode, FleetNotice, FleetServer};
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::rate::rate_part;
use crate::wire::{RatePart, ServerShare};

impl FleetNode {
    /// Returns this instance's share of each server's slots while nothing is heard of
    /// demands: an equal one. Listed peers count even if they aren't heard, as an instance
    /// that is cut off from its peers isn't alone at the engines.
    #[must_use]
    pub fn fallback_shares(&self, now: Duration) -> Vec<ServerShare> {
        let timeout = self.liveness_timeout();
        let counts = |peer: &&PeerRecord| {
            self.is_near(peer)
                && !peer.leaving
                && (peer.listed || peer.alive(now, timeout))
        };
        let peers = self.peers.values().filter(counts);
        let mut live: Vec<&str> = peers.map(|peer| peer.info.name.as_str()).collect();
        live.push(&self.own.name);
        live.sort_unstable();
        let Some(index) = live.iter().position(|name| *name == self.own.name) else {
            return vec![];
        };
        let share = |(server, entry): (&FleetKey, &FleetServer)| {
            let slots = equal_share(entry.slots, u64::from(*server), &live, index);
            ServerShare { server: *server, slots: slots as u16 }
        };
        self.servers.iter().map(share).collect()
    }

    /// Returns this instance's own shares and parts of what it watches and keeps itself.
    #[must_use]
    pub fn own_notices(&self, now: Duration) -> Vec<FleetNotice> {
        let until = now + self.liveness_timeout();
        let shares = self.shares_of(&self.own.name).into_iter();
        let shares = shares.map(|share| FleetNotice::Share(share, until));
        let own: Vec<FleetKey> = self.usage.keys().copied().collect();
        let parts = self.parts_of(&self.own.name, &own).into_iter();
        shares
            .chain(parts.map(|part| FleetNotice::Rate(part, until)))
            .collect()
    }

    /// Returns a live instance's shares of the servers that this instance watches.
    pub(super) fn shares_of(&self, name: &str) -> Vec<ServerShare> {
        let Some(index) = self.live.iter().position(|other| other == name) else {
            return vec![];
        };
        let share = |server: &FleetKey| {
            let entry = self.servers.get(server)?;
            let demands: Vec<_> =
                self.live.iter().map(|name| self.demand_for(name, entry)).collect();
            let key = u64::from(*server);
            let slots = divide_slots(entry.slots, key, &self.live, &demands)[index];
            Some(ServerShare { server: *server, slots: slots as u16 })
        };
        self.watched.iter().filter_map(share).collect()
    }

    /// Returns the part of an instance's requests that counts for one server: that of the
    /// server's slots in its pool.
    pub(super) fn demand_for(&self, name: &str, server: &FleetServer) -> SlotDemand {
        let demands = if name == self.own.name {
            &self.status.demands
        } else {
            let Some(peer) = self.peers.get(name) else { return SlotDemand::default() };
            &peer.demands
        };
        let mut tiers: Vec<f64> = vec![];
        for demand in demands.iter().filter(|demand| server.pools.contains(&demand.pool))
        {
            let total = self.pool_slots.get(&demand.pool).copied().unwrap_or_default();
            let part = f64::from(server.slots) / f64::from(total.max(1));
            tiers.resize(tiers.len().max(demand.tiers.len()), 0.0);
            for (sum, count) in tiers.iter_mut().zip(&demand.tiers) {
                *sum += f64::from(*count) * part;
            }
        }
        SlotDemand { tiers }
    }

    /// Returns an instance's parts of the rates of some organisations, of those that this
    /// instance keeps.
    pub(super) fn parts_of(
        &self,
        name: &str,
        organisations: &[FleetKey],
    ) -> Vec<RatePart> {
        let Some(index) = self.live.iter().position(|other| other == name) else {
            return vec![];
        };
        let kept = organisations.iter().copied();
        let kept = kept.filter(|organisation| self.owns(*organisation, &self.own.name));
        let data_centres = self.data_centre_part();
        let part = |organisation: FleetKey| {
            let usage: Vec<f64> = self
                .live
                .iter()
                .map(|name| self.usage_at(name, organisation))
                .collect();
            let part = rate_part(&usage, index) * data_centres;
            RatePart {
                organisation,
                part: (part * f64::from(u16::MAX)).round() as u16,
            }
        };
        kept.map(part).collect()
    }

    /// Returns an organisation's use at one instance, in requests a second.
    pub(super) fn usage_at(&self, name: &str, organisation: FleetKey) -> f64 {
        let usage = if name == self.own.name {
            Some(&self.usage)
        } else {
            self.peers.get(name).map(|peer| &peer.usage)
        };
        usage
            .and_then(|usage| usage.get(&organisation))
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns this data centre's part of a rate: by how many of the known instances
    /// stand in it.
    pub(super) fn data_centre_part(&self) -> f64 {
        let near = self.peers.values().filter(|peer| self.is_near(peer)).count() + 1;
        near as f64 / (self.peers.len() + 1) as f64
    }
}
