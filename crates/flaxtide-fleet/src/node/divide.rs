//! Division of server slots and organisations' rates among the live instances.

use std::time::Duration;

use flaxtide_policy::{SlotDemand, divide_slots, equal_share};

use super::{FleetNode, FleetServer, NodeEvent};
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::rate::rate_share;
use crate::wire::{RatePart, ServerShare};

impl FleetNode {
    /// Returns this instance's share of each server's slots while the demand of its peers is
    /// unknown: an equal share. Listed peers count even if they are silent, because an instance
    /// that is cut off from its peers still shares the servers with them.
    #[must_use]
    pub fn fallback_shares(&self, now: Duration) -> Vec<ServerShare> {
        let timeout = self.liveness_timeout();
        let counts = |peer: &&PeerRecord| {
            self.in_own_group(peer)
                && !peer.leaving
                && (peer.listed || peer.is_alive(now, timeout))
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

    /// Returns this instance's own shares of the servers that it watches, and its own shares of
    /// the rates that it owns.
    #[must_use]
    pub fn own_share_events(&self, now: Duration) -> Vec<NodeEvent> {
        let until = now + self.liveness_timeout();
        let shares = self.shares_of(&self.own.name).into_iter();
        let shares = shares.map(|share| NodeEvent::Share(share, until));
        let own: Vec<FleetKey> = self.usage.keys().copied().collect();
        let rate_shares = self.rate_shares_of(&self.own.name, &own).into_iter();
        shares
            .chain(rate_shares.map(|share| NodeEvent::Rate(share, until)))
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

    /// Returns an instance's demand for one server: its requests for each of the server's
    /// pools, times the server's fraction of the pool's slots.
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
            let fraction = f64::from(server.slots) / f64::from(total.max(1));
            tiers.resize(tiers.len().max(demand.tiers.len()), 0.0);
            for (sum, count) in tiers.iter_mut().zip(&demand.tiers) {
                *sum += f64::from(*count) * fraction;
            }
        }
        SlotDemand { tiers }
    }

    /// Returns an instance's shares of the given organisations' rates, for those rates that this
    /// instance owns.
    pub(super) fn rate_shares_of(
        &self,
        name: &str,
        organisations: &[FleetKey],
    ) -> Vec<RatePart> {
        let Some(index) = self.live.iter().position(|other| other == name) else {
            return vec![];
        };
        let owned = organisations.iter().copied();
        let owned = owned.filter(|organisation| self.owns(*organisation, &self.own.name));
        let group_share = self.group_share();
        let share = |organisation: FleetKey| {
            let usage: Vec<f64> = self
                .live
                .iter()
                .map(|name| self.usage_at(name, organisation))
                .collect();
            let share = rate_share(&usage, index) * group_share;
            RatePart {
                organisation,
                part: (share * f64::from(u16::MAX)).round() as u16,
            }
        };
        owned.map(share).collect()
    }

    /// Returns an organisation's requests per second at one instance.
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

    /// Returns this group's share of a rate: the fraction of known instances that are in
    /// it.
    pub(super) fn group_share(&self) -> f64 {
        let in_group =
            self.peers.values().filter(|peer| self.in_own_group(peer)).count() + 1;
        in_group as f64 / (self.peers.len() + 1) as f64
    }
}
