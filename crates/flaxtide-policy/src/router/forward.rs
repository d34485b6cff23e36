//! Forwarding: while the path of this instance to the servers of a pool is in doubt, or it has no
//! share of the slots of servers that can refuse few requests, peers get the requests and pass
//! them on.
//!
//! To the router, such a peer is one more server of the pool: its faults are recorded, its
//! requests are counted, and retries are charged to the same budget. It has no place in the
//! pool's order of servers, and peers aren't told about it.
//!
//! Each retry is charged once, where it is decided: the peer charges those that it makes, and the
//! instance that forwarded the request charges the next attempt if the peer reached a server.

use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId};

use super::call::{CallPhase, RouteCall, RoutedCall};
use super::choose::{RouteChoice, RouteReason};
use super::health::ServerWork;
use super::liveness::EngineLiveness;
use super::reach::PoolReach;
use super::server::{RoutedServer, ServerState};
use super::{RefusalCause, RouteAction, RouteCore, RoutePool};
use crate::rendezvous::rendezvous_weight;

/// A peer that isn't itself in doubt has at least this fraction of the servers in reach.
const SOUND_FRACTION: f64 = 0.5;

/// How many times as large a fraction of the servers a peer that is itself in doubt must reach
/// to be preferred to the own path.
const REACH_FACTOR: f64 = 2.0;

/// The number of this instance's requests at a peer in the own data centre that weigh as much
/// as the way to another data centre.
const FAR_REQUESTS: u32 = 4;

/// A peer that forwards requests to the servers of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardPeer {
    /// The identifier under which the router knows the peer. No server has it.
    pub peer: ServerId,
    /// Whether the peer is in the data centre of this instance.
    pub local: bool,
    /// What the peer reaches of the pool.
    pub reach: PoolReach,
}

/// A peer with the state of a server.
#[derive(Debug)]
pub(super) struct ForwardState {
    /// The faults and the requests of this instance at the peer.
    pub(super) server: ServerState,
    /// What the peer reaches of the pool; `None` if it can't be used at the moment.
    reach: Option<PoolReach>,
}

impl RouteCore {
    /// Replaces the peers that forward requests to the servers of a pool. Peers that have
    /// requests of this instance keep their recorded state.
    pub fn set_forward_peers(
        &mut self,
        pool: PoolId,
        peers: &[ForwardPeer],
        now: Duration,
    ) -> Vec<RouteAction> {
        let guess = self.options.prefill_tokens_per_ms;
        let Some(state) = self.pools.get_mut(&pool) else { return vec![] };
        let known = state.servers.forward_peers_mut();
        known.retain(|_, peer| peer.server.load.own_running() > 0);
        known.values_mut().for_each(|peer| peer.reach = None);
        for peer in peers {
            let listing = RoutedServer {
                server: peer.peer,
                name_hash: u64::from(peer.peer),
                local: peer.local,
                ..RoutedServer::default()
            };
            let entry = known.entry(peer.peer).or_insert_with(|| ForwardState {
                server: ServerState::new(listing, guess, now),
                reach: None,
            });
            entry.reach = Some(peer.reach);
        }
        self.dispatch_queued(pool, now);
        self.take_actions()
    }

    /// Handles a request that a peer has forwarded. It adds nothing to the retry budget, as it
    /// has done so at the peer, and it isn't forwarded again.
    pub fn arrive_forwarded(
        &mut self,
        call: RouteCall,
        now: Duration,
    ) -> Vec<RouteAction> {
        let state = self.pools.get(&call.pool);
        if state.is_some_and(|it| it.needs_peers() && it.offered_reach().reached == 0) {
            // The peer tries another instance.
            return vec![RouteAction::Refuse {
                request: call.request,
                reason: RefusalCause::NoServer,
                retry_after: self.options.no_server_retry,
                expected: None,
            }];
        }
        self.admit(RoutedCall { forwarded: true, ..RoutedCall::new(call) }, now)
    }

    /// Returns how many servers a forwarded request may run on at its peer. One run is kept
    /// back, if there are several, for the loss of the peer.
    #[must_use]
    pub fn forwarded_run_limit(&self, request: RequestId) -> u32 {
        self.calls.get(&request).map_or(1, forwarded_run_limit)
    }

    /// Records how many servers a peer has sent a forwarded request to before it declined it. They
    /// count as sends of the request, and if there are any, the next send is a retry. Must be
    /// called before [`RouteCore::fail`].
    pub fn record_peer_sends(&mut self, request: RequestId, server_sends: u32) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.peer_sends = server_sends;
        // The forwarding itself has been counted as one.
        call.sends = call.sends.saturating_add(server_sends.saturating_sub(1));
    }

    /// Records what a server's fault means for the runs of a request.
    pub(super) fn count_runs(&self, call: &RoutedCall) -> u32 {
        let CallPhase::Running { server, .. } = call.phase else { return 1 };
        let state = self.pools.get(&call.details.pool);
        match state.is_some_and(|state| state.servers.is_forward_peer(server)) {
            true => forwarded_run_limit(call),
            false => 1,
        }
    }

    /// Chooses a peer for a request, or returns `None` if the request should be sent to a
    /// server: peers aren't needed, or none reaches more. While some servers are reached, they get
    /// as large a fraction of the requests.
    pub(super) fn choose_forward_peer(
        &self,
        state: &RoutePool,
        call: &RoutedCall,
        now: Duration,
    ) -> Option<RouteChoice> {
        if !state.needs_peers() {
            return None;
        }
        let draw = rendezvous_weight(call.details.request, self.seed) as f64;
        if draw / (u64::MAX as f64) < state.offered_reach().fraction() {
            return None;
        }
        let usable: Vec<&ServerState> = self.forward_peers(state, call, now).collect();
        let load = |peer: &ServerState| {
            let far = if peer.listing.local { 0 } else { FAR_REQUESTS };
            let tie = rendezvous_weight(call.details.request, peer.listing.name_hash);
            (peer.load.own_running() + far, tie)
        };
        let best = usable.iter().copied().min_by_key(|peer| load(peer))?;
        Some(RouteChoice {
            server: best.listing.server,
            reason: RouteReason::Forwarded,
            cost_ms: 0.0,
            // The peer refuses requests that it expects to be late.
            expected: call.details.target / 2,
            uncached: 0,
            fetch: None,
            running: best.load.own_running(),
            eligible: usable.len(),
            tokens_ahead: 0.0,
        })
    }

    /// Returns whether a peer can forward a request.
    pub(super) fn has_forward_peer(&self, call: &RoutedCall, now: Duration) -> bool {
        let state = self.pools.get(&call.details.pool);
        let state = state.filter(|state| state.needs_peers());
        state.is_some_and(|state| self.forward_peers(state, call, now).next().is_some())
    }

    /// Returns the peers that can forward a request. A request that a peer has forwarded isn't
    /// forwarded again.
    fn forward_peers<'a>(
        &'a self,
        state: &'a RoutePool,
        call: &'a RoutedCall,
        now: Duration,
    ) -> impl Iterator<Item = &'a ServerState> {
        let own = state.offered_reach().fraction();
        let reaches_more = move |reach: PoolReach| {
            let fraction = reach.fraction();
            fraction > own
                && (fraction >= SOUND_FRACTION || fraction > own * REACH_FACTOR)
        };
        let peers = state.servers.forward_peers().filter(move |_| !call.forwarded);
        let peers = peers.filter(move |peer| peer.reach.is_some_and(reaches_more));
        let peers = peers.map(|peer| &peer.server);
        peers.filter(move |peer| {
            !call.excluded.contains(&peer.listing.server)
                && self.is_usable_peer(peer, now)
        })
    }

    /// Returns whether a peer is neither paused nor silent.
    fn is_usable_peer(&self, peer: &ServerState, now: Duration) -> bool {
        let work = ServerWork {
            stream_gap: None,
            waiting_since: None,
            expected: Duration::ZERO,
        };
        let liveness = EngineLiveness::Unwatched;
        peer.health.obstacle(work, liveness, now, &self.options).is_none()
    }
}

/// Returns how many servers a request may run on at a peer that it is forwarded to.
fn forwarded_run_limit(call: &RoutedCall) -> u32 {
    let left = call.details.run_limit.saturating_sub(call.runs);
    left.saturating_sub(1).max(1)
}
