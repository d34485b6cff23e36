//! The servers of a pool, indexed so that the cost of a decision or of a periodic check
//! doesn't grow with the pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::VersionKey;
use super::forward::ForwardState;
use super::server::{RoutedServer, ServerState};
use crate::rendezvous::rendezvous_weight;

/// The largest pool of which every server is considered for each request.
const MAX_WHOLE_POOL: usize = 192;

/// The number of servers of a larger pool that are considered for a request, from the
/// whole pool.
const ARC_SERVERS: usize = 64;

/// The number of servers of the own data centre that are considered besides. Their
/// answers don't cross data centres.
const LOCAL_ARC_SERVERS: usize = 32;

/// How many sets of servers of a larger pool are tried, if no server of the first has
/// room.
const MAX_ARCS: u64 = 4;

/// The hash key of the order of servers on the ring.
const RING_SEED: u64 = 0x7269_6e67;

/// A server's failure rate below this doesn't keep it among the active servers.
const MIN_FAILURE_RATE: f64 = 0.01;

/// The servers of a pool.
///
/// Servers are also placed on two rings in the order of a hash of their names (consistent
/// hashing; Karger et al., 1997), which is the same on all instances: one of all servers
/// in service, and one of those in the own data centre. Requests with the same shared
/// prompt parts consider the same arcs of the rings, so that few servers prefill a part.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    /// All servers by identifier.
    servers: BTreeMap<ServerId, ServerState>,
    /// The servers in service.
    ring: BTreeSet<RingPlace>,
    /// The servers in service that are in the own data centre.
    local_ring: BTreeSet<RingPlace>,
    /// The servers in service by version, to find the few of a rare version.
    version_rings: BTreeMap<VersionKey, BTreeSet<RingPlace>>,
    /// The servers whose state may change with time alone, or that have requests of this
    /// instance; and some others, until the next [`ServerTable::retain_active`].
    active: BTreeSet<ServerId>,
    /// The slots of the servers in service.
    slots: u64,
    /// The peers that forward requests to the servers. They aren't among the servers.
    forward_peers: BTreeMap<ServerId, ForwardState>,
}

/// The place of a server on a ring.
type RingPlace = (u64, ServerId);

impl ServerTable {
    /// Returns a server, or a peer that forwards requests.
    pub(crate) fn get(&self, id: ServerId) -> Option<&ServerState> {
        let peer = self.forward_peers.get(&id).map(|peer| &peer.server);
        peer.or_else(|| self.servers.get(&id))
    }

    /// Returns a server, or a peer that forwards requests, to change what this instance itself
    /// has recorded of it.
    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut ServerState> {
        if let Some(peer) = self.forward_peers.get_mut(&id) {
            return Some(&mut peer.server);
        }
        let server = self.servers.get_mut(&id)?;
        self.active.insert(id);
        Some(server)
    }

    /// Returns the peers that forward requests.
    pub(super) fn forward_peers(&self) -> impl Iterator<Item = &ForwardState> {
        self.forward_peers.values()
    }

    /// Returns the peers that forward requests, to replace them.
    pub(super) fn forward_peers_mut(&mut self) -> &mut BTreeMap<ServerId, ForwardState> {
        &mut self.forward_peers
    }

    /// Returns whether an identifier is that of a peer that forwards requests.
    pub(super) fn is_forward_peer(&self, id: ServerId) -> bool {
        self.forward_peers.contains_key(&id)
    }

    /// Returns a server to record what peers have reported of it. That changes nothing
    /// that is checked periodically.
    pub(crate) fn get_for_peers(&mut self, id: ServerId) -> Option<&mut ServerState> {
        self.servers.get_mut(&id)
    }

    /// Returns all servers.
    pub(crate) fn values(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Returns all servers, mutably.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut ServerState> {
        self.servers.values_mut()
    }

    /// Returns the identifiers of all servers.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ServerId> {
        self.servers.keys().copied()
    }

    /// Returns the active servers.
    pub(crate) fn active(&self) -> impl Iterator<Item = &ServerState> {
        self.active.iter().filter_map(|id| self.servers.get(id))
    }

    /// Calls a function for each active server.
    pub(crate) fn update_active(&mut self, mut update: impl FnMut(&mut ServerState)) {
        for id in &self.active {
            if let Some(server) = self.servers.get_mut(id) {
                update(server);
            }
        }
    }

    /// Drops servers from the active ones that are idle, healthy and unlimited.
    pub(crate) fn retain_active(&mut self, now: Duration) {
        let servers = &self.servers;
        self.active.retain(|id| {
            servers.get(id).is_some_and(|server| {
                server.load.own_running() > 0
                    || !server.reported_healthy
                    || server.health.failure_rate() >= MIN_FAILURE_RATE
                    || server.health.is_suspect(now)
                    || server.pushback.is_restricted(now)
            })
        });
    }

    /// Returns the number of servers in service.
    pub(crate) fn count_in_service(&self) -> usize {
        self.ring.len()
    }

    /// Returns the slots of the servers in service.
    pub(crate) fn slots(&self) -> u64 {
        self.slots
    }

    /// Updates the listing of a server, or adds the server that `create` returns.
    pub(crate) fn put(
        &mut self,
        listing: &RoutedServer,
        create: impl FnOnce() -> ServerState,
    ) -> &mut ServerState {
        self.unplace(listing.server);
        let server = self.servers.entry(listing.server).or_insert_with(create);
        if server.listing != *listing {
            server.listing.clone_from(listing);
        }
        if listing.in_service() {
            let place = ring_place(listing);
            self.ring.insert(place);
            self.version_rings.entry(listing.version).or_default().insert(place);
            if listing.local {
                self.local_ring.insert(place);
            }
            self.slots += u64::from(listing.slots);
        }
        self.active.insert(listing.server);
        server
    }

    /// Removes and returns a server.
    pub(crate) fn remove(&mut self, id: ServerId) -> Option<ServerState> {
        self.unplace(id);
        self.active.remove(&id);
        self.servers.remove(&id)
    }

    /// Removes a server from the rings.
    fn unplace(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let place = ring_place(&server.listing);
        if self.ring.remove(&place) {
            let version = server.listing.version;
            if let Some(ring) = self.version_rings.get_mut(&version) {
                ring.remove(&place);
                if ring.is_empty() {
                    self.version_rings.remove(&version);
                }
            }
            self.slots -= u64::from(server.listing.slots);
        }
        self.local_ring.remove(&place);
    }

    /// Returns how many sets of candidates there are for a request.
    pub(crate) fn arc_count(&self) -> u64 {
        if self.ring.len() <= MAX_WHOLE_POOL { 1 } else { MAX_ARCS }
    }

    /// Returns the servers in service of a version, or of all versions for `None`, in an order
    /// that is the same on all instances.
    pub(crate) fn of_version(
        &self,
        version: Option<VersionKey>,
    ) -> impl Iterator<Item = &ServerState> {
        let ring = self.ring_of(version).into_iter().flatten();
        ring.filter_map(|(_, id)| self.servers.get(id))
    }

    /// Returns the ring of the servers of a version, or that of all servers for `None`.
    fn ring_of(&self, version: Option<VersionKey>) -> Option<&BTreeSet<RingPlace>> {
        match version {
            Some(version) => self.version_rings.get(&version),
            None => Some(&self.ring),
        }
    }

    /// Returns the servers in service that are considered for a request, in an order that
    /// is the same on all instances: all of a small pool, else some that `accepts` accepts.
    /// Requests with the same `key` get the same ones; `arc` numbers further sets. A request
    /// that is bound to a version gets servers of this version.
    pub(crate) fn candidates(
        &self,
        key: u64,
        arc: u64,
        version: Option<VersionKey>,
        accepts: impl Fn(&ServerState) -> bool,
    ) -> Vec<&ServerState> {
        let Some(ring) = self.ring_of(version) else { return vec![] };
        let mut ids: Vec<ServerId> = if ring.len() <= MAX_WHOLE_POOL {
            ring.iter().map(|(_, id)| *id).collect()
        } else {
            let start = rendezvous_weight(RING_SEED.wrapping_add(arc), key);
            let accepts = |id: &ServerId| self.get(*id).is_some_and(&accepts);
            let from_all = ids_from(ring, start).filter(accepts);
            let local = ids_from(&self.local_ring, start).filter(accepts);
            from_all
                .take(ARC_SERVERS)
                .chain(local.take(LOCAL_ARC_SERVERS))
                .collect()
        };
        ids.sort_unstable();
        ids.dedup();
        let mut servers: Vec<&ServerState> =
            ids.into_iter().filter_map(|id| self.get(id)).collect();
        servers.sort_by_key(|server| server.lane_rank);
        servers
    }
}

/// Returns the place of a server on the rings.
fn ring_place(listing: &RoutedServer) -> RingPlace {
    (rendezvous_weight(RING_SEED, listing.name_hash), listing.server)
}

/// Returns the servers of a ring, beginning at a hash.
fn ids_from(
    ring: &BTreeSet<RingPlace>,
    start: u64,
) -> impl Iterator<Item = ServerId> + '_ {
    let start = (start, 0);
    ring.range(start..).chain(ring.range(..start)).map(|(_, id)| *id)
}
