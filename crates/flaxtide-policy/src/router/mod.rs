//! The router: chooses the backend server for each request and decides when a request is
//! retried. A call is a request as the router tracks it, from its arrival to its end.
//!
//! A [`RouteCore`] receives requests and their outcomes, each with a timestamp, and
//! returns [`RouteAction`]s. It performs no I/O, so recorded traffic can be replayed.

mod budget;
mod call;
mod choose;
mod eligible;
mod forward;
mod health;
mod homes;
mod lane;
mod liveness;
mod load;
mod options;
mod pace;
mod part_scope;
mod parts;
mod prefill_log;
mod prefill_rate;
mod pushback;
mod reach;
mod refusals;
mod retry;
mod room;
mod server;
mod shed;
mod silence;
mod stall;
mod table;
mod wait;
mod watched;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId};

pub use self::budget::RetryCounts;
pub use self::call::{
    CallProgress, PartKey, PromptPart, PromptShape, RegionKey, RouteCall, RouteFault,
    VersionKey,
};
pub use self::choose::{PartFetch, RouteChoice, RouteReason};
pub use self::eligible::HealthChange;
pub use self::forward::ForwardPeer;
pub use self::health::HealthCause;
pub use self::load::{LevelTokens, PeerKey, PeerLoad, ServerLoad, URGENCY_LEVELS};
pub use self::options::RouteOptions;
pub use self::prefill_log::PrefillRecord;
pub use self::pushback::{PushbackCount, StatementChange};
pub use self::reach::{PoolReach, ReachChange};
pub use self::retry::RetryDecision;
pub use self::server::{EngineShape, RoutedServer};

use self::budget::RetryWindow;
use self::call::{CallPhase, RoutedCall};
use self::homes::DemandTable;
use self::lane::LaneDemand;
pub use self::liveness::DEAD_BOUND;
use self::liveness::WATCH_PERIOD;
use self::pace::PoolPace;
use self::prefill_log::PrefillLog;
use self::reach::ReachProbes;
use self::refusals::PoolRefusals;
use self::server::ServerState;
use self::shed::ShedProbability;
use self::table::ServerTable;
use crate::pushback::{InstanceGroup, UnlistedPushback};
use crate::queue::{PoolQueue, QueueEntry};

/// A request may wait for a server for its target time divided by this number and is then
/// refused. The rest of the target is left for the caller's next attempt.
pub const QUEUE_WAIT_DIVISOR: u32 = 2;

/// An action that the caller of [`RouteCore`] must carry out for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteAction {
    /// Send the request to a server.
    Dispatch {
        /// The request to send.
        request: RequestId,
        /// The chosen server and the reason for the choice.
        choice: RouteChoice,
        /// How long the server may send nothing before the request is retried elsewhere.
        /// `None` if the request can't be retried.
        silence_timeout: Option<Duration>,
    },
    /// Refuse the request, which hasn't run anywhere.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// The reason that is reported to the caller.
        reason: RefusalCause,
        /// The time after which the caller should try again.
        retry_after: Duration,
        /// The expected time to the first token at the best server, if there was one.
        expected: Option<Duration>,
    },
}

/// The reason why the router refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No server of the pool can be used.
    NoServer,
    /// Servers of the pool can be used, but none in the regions of the request.
    NoServerInRegion,
    /// Servers of the pool can be used, but none of the version that began the stream.
    NoServerOfVersion,
    /// The response would come too late for the caller.
    TooLate,
}

/// The state of one pool of servers.
#[derive(Debug, Default)]
struct RoutePool {
    /// The servers.
    servers: ServerTable,
    /// New requests that wait for a server.
    queue: PoolQueue,
    /// Requests that wait to be retried on another server.
    retries: Vec<RequestId>,
    /// The arrivals and retries in the sliding window; they determine how many more
    /// retries are allowed.
    budget: RetryWindow,
    /// The probability that a server which hasn't responded to this instance recently
    /// refuses a request.
    shed: ShedProbability,
    /// How many requests the servers can refuse before they fail; `None` if none states a
    /// number.
    refusals: Option<PoolRefusals>,
    /// The recent demand for long and short prompts.
    lane_demand: LaneDemand,
    /// The demand for shared prompt parts.
    part_demand: DemandTable,
    /// The pace of the engines.
    pace: PoolPace,
    /// Whether this instance reaches the servers, as of the last update.
    reach: PoolReach,
    /// Whether other instances have all slots of the servers, as of the last update.
    lacks_share: bool,
    /// The probes of the servers while the path is in doubt.
    probes: ReachProbes,
    /// The mean time from dispatch to the end of the response, in seconds.
    service_time: crate::estimate::DecayedMean,
}

/// Routes the requests of one entry instance.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{RouteCore, RouteOptions};
/// let mut core = RouteCore::new(RouteOptions::default());
/// assert!(core.tick(Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct RouteCore {
    /// The tunable parameters.
    options: RouteOptions,
    /// Seeds the pseudo-random draws of this instance; differs between instances.
    seed: u64,
    /// The pools by identifier.
    pools: BTreeMap<PoolId, RoutePool>,
    /// All requests that are waiting or running.
    calls: HashMap<RequestId, RoutedCall>,
    /// How many instances share the retry budget: the largest number that was seen alive
    /// at once.
    instances: u32,
    /// Whether all data centres have been heard since the start, so that `instances` counts
    /// the whole fleet.
    knows_fleet: bool,
    /// The instances that are alive, or `None` until membership is known.
    group: Option<Arc<InstanceGroup>>,
    /// The servers that each peer named in its last report of its load.
    peer_servers: HashMap<PeerKey, Vec<ServerId>>,
    /// The pushback state of servers that [`RouteCore::set_servers`] has removed.
    unlisted: UnlistedPushback,
    /// The shared prompt parts that servers recently prefilled for this instance.
    prefills: PrefillLog,
    /// The actions decided while the current event is handled.
    actions: Vec<RouteAction>,
}

impl RouteCore {
    /// Creates a core that knows no servers.
    #[must_use]
    pub fn new(options: RouteOptions) -> Self {
        Self {
            options,
            seed: 0,
            pools: BTreeMap::new(),
            calls: HashMap::new(),
            instances: 0,
            knows_fleet: false,
            group: None,
            peer_servers: HashMap::new(),
            unlisted: UnlistedPushback::default(),
            prefills: PrefillLog::default(),
            actions: vec![],
        }
    }

    /// Sets the seed of this instance's pseudo-random draws. Instances with the same seed
    /// would prefer the same servers.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Replaces the servers of a pool. Servers that remain keep their recorded state.
    pub fn set_servers(
        &mut self,
        pool: PoolId,
        servers: &[RoutedServer],
        now: Duration,
    ) -> Vec<RouteAction> {
        let listed: HashSet<ServerId> =
            servers.iter().map(|server| server.server).collect();
        let state = self.pools.entry(pool).or_default();
        let unlisted = state.servers.ids().filter(|id| !listed.contains(id));
        let unlisted: Vec<ServerId> = unlisted.collect();
        self.update_servers(pool, servers, &unlisted, now)
    }

    /// Adds or updates some servers of a pool, and removes others.
    pub fn update_servers(
        &mut self,
        pool: PoolId,
        listed: &[RoutedServer],
        unlisted: &[ServerId],
        now: Duration,
    ) -> Vec<RouteAction> {
        let guess = self.options.prefill_tokens_per_ms;
        let state = self.pools.entry(pool).or_default();
        let removed = unlisted.iter().filter_map(|id| state.servers.remove(*id));
        self.unlisted
            .keep(removed.map(|server| (server.listing.server, server.pushback)));
        let group = self.group.as_deref();
        for listing in listed {
            let server = state.servers.put(listing, || {
                let mut server = ServerState::new(listing.clone(), guess, now);
                server.pushback = self.unlisted.take(listing.server);
                server.update_shares(group, now);
                server
            });
            if let Some(start) = listing.cold {
                server.limit_while_cold(start.until, group, self.seed, now);
            }
            state.inherit_refusals(listing.server, group);
        }
        self.dispatch_queued(pool, now);
        self.take_actions()
    }

    /// Replaces everything that is known of a peer's load on the servers.
    pub fn set_peer_loads(&mut self, peer: PeerKey, loads: &[PeerLoad], now: Duration) {
        let before = self.peer_servers.remove(&peer).unwrap_or_default();
        for server in before {
            if let Some(server) = find_for_peers(&mut self.pools, server) {
                server.load.set_peer(peer, None, now);
            }
        }
        for load in loads {
            if let Some(server) = find_for_peers(&mut self.pools, load.server) {
                server.load.set_peer(peer, Some(*load), now);
            }
        }
        if !loads.is_empty() {
            let named = loads.iter().map(|load| load.server).collect();
            self.peer_servers.insert(peer, named);
        }
    }

    /// Records which shared prompt parts servers prefilled for a peer.
    pub fn record_peer_prefills(
        &mut self,
        prefills: &[(ServerId, PartKey)],
        now: Duration,
    ) {
        for pool in self.pools.values_mut() {
            pool.pace.update(&pool.servers, now);
        }
        for (server, part) in prefills {
            let mut pools = self.pools.values_mut();
            let Some(pool) = pools.find(|pool| pool.servers.get(*server).is_some())
            else {
                continue;
            };
            if let Some(server) = pool.servers.get_for_peers(*server) {
                server.record_peer_prefill(*part, now);
            }
            if let Some(rate) = pool.pace.mean_rate() {
                pool.part_demand.record_peer_prefill(*part, rate, now);
            }
        }
    }

    /// Returns the shared prompt parts that servers recently prefilled for this instance.
    pub fn recent_prefills(&mut self, now: Duration) -> Vec<PrefillRecord> {
        self.prefills.recent(&self.options, now)
    }

    /// Returns the load of this instance on each server where it has requests.
    #[must_use]
    pub fn own_loads(&self, now: Duration) -> Vec<ServerLoad> {
        let servers = self.pools.values().flat_map(|pool| pool.servers.active());
        let busy = servers.filter(|server| server.load.own_running() > 0);
        let loads = busy.map(|server| {
            let rate = server.prefill_rate.tokens_per_ms(now);
            server.load.own_summary(server.listing.server, &self.calls, rate, now)
        });
        loads.collect()
    }

    /// Handles a new request: dispatches it, queues it or refuses it.
    pub fn arrive(&mut self, call: RouteCall, now: Duration) -> Vec<RouteAction> {
        let state = self.pools.entry(call.pool).or_default();
        state.budget.record_arrival(now);
        self.admit(RoutedCall::new(call), now)
    }

    /// Dispatches, queues or refuses a request.
    fn admit(&mut self, routed: RoutedCall, now: Duration) -> Vec<RouteAction> {
        let call = &routed.details;
        let pool = call.pool;
        let request = call.request;
        let state = self.pools.entry(pool).or_default();
        state.lane_demand.record_arrival(call, &self.options, now);
        state.pace.update(&state.servers, now);
        let accepts = |server: &ServerState| server.listing.accepts(call);
        if !state.servers.of_version(call.version).any(accepts) {
            let retry_after = self.options.no_server_retry;
            let reason = if state.servers.count_in_service() == 0 {
                RefusalCause::NoServer
            } else if state.servers.of_version(call.version).next().is_none() {
                RefusalCause::NoServerOfVersion
            } else {
                RefusalCause::NoServerInRegion
            };
            return vec![RouteAction::Refuse {
                request,
                reason,
                retry_after,
                expected: None,
            }];
        }
        if call.version.is_some() {
            // It may wait for few servers, and must not hold up the queue meanwhile.
            state.retries.push(request);
            self.calls.insert(request, routed);
            self.dispatch_queued(pool, now);
            return self.take_actions();
        }
        let entry = QueueEntry {
            request,
            arrived: now,
            due_at: now + call.target,
            work: call.prompt.work(),
        };
        state.queue.push(call.tier, call.class, call.organisation, entry, now);
        self.calls.insert(request, routed);
        self.dispatch_queued(pool, now);
        self.take_actions()
    }

    /// Records that response data for a request arrived from its server.
    pub fn record_response_data(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let CallPhase::Running { server, since, .. } = call.phase else { return };
        let first = call.record_data(now);
        let Some(state) = self.pools.get_mut(&call.details.pool) else { return };
        let id = server;
        let Some(server) = state.servers.get_mut(id) else { return };
        server.health.record_activity(now);
        if first {
            state.shed.record_response(&server.health, &self.options, now);
            server.health.record_admission(since, now);
            server.load.start_next_prefill(now);
            let elapsed = now.saturating_sub(since + call.stalled_for);
            let elapsed = elapsed.as_secs_f64() * 1000.0;
            server
                .prefill_rate
                .record_first_token(call.tokens_ahead, elapsed, now);
            let prompt = &call.details.prompt;
            server.record_cached_parts(prompt, now);
            if let Some(part) = prompt.last_shared_part()
                && let Some(rate) = state.pace.mean_rate()
            {
                let own = prompt.tokens.saturating_sub(prompt.shared_tokens());
                state.part_demand.record_prefill(part.short_key(), own, rate, now);
            }
            self.prefills.add(&call.details, id, &self.options, now);
        }
    }

    /// Binds a request whose stream has begun to the version of its server: it is sent to no
    /// server of another version from now on. `stated` is the version of the server to which a
    /// peer has forwarded the request. Returns the version to which the request is bound, or
    /// `None` if it isn't known; then the stream can't be continued elsewhere.
    pub fn bind_version(
        &mut self,
        request: RequestId,
        stated: Option<VersionKey>,
    ) -> Option<VersionKey> {
        let call = self.calls.get_mut(&request)?;
        let details = &mut call.details;
        details.version = details.version.or(call.server_version).or(stated);
        details.version
    }

    /// Returns the version to which a request is bound.
    #[must_use]
    pub fn bound_version(&self, request: RequestId) -> Option<VersionKey> {
        self.calls.get(&request)?.details.version
    }

    /// Returns the progress of a request at its server, or `None` if it isn't running.
    #[must_use]
    pub fn progress(&self, request: RequestId) -> Option<CallProgress> {
        self.calls.get(&request)?.progress()
    }

    /// Records that the complete response to a request was received.
    pub fn finish(&mut self, request: RequestId, now: Duration) -> Vec<RouteAction> {
        let Some(call) = self.calls.remove(&request) else { return vec![] };
        let pool = call.details.pool;
        if let CallPhase::Running { server, since, .. } = call.phase
            && let Some(state) = self.pools.get_mut(&pool)
        {
            let span = now.saturating_sub(since + call.stalled_for);
            state.service_time.add(span.as_secs_f64());
            if let Some(server) = state.servers.get_mut(server) {
                server.load.end(request, call.details.prompt.is_long(&self.options));
                if !call.has_data() {
                    state.shed.record_response(&server.health, &self.options, now);
                    server.health.record_admission(since, now);
                }
                server.health.record_success(now);
            }
        }
        self.dispatch_queued(pool, now);
        self.take_actions()
    }

    /// Removes a request that ended without an outcome to record for its server: the
    /// caller left or the deadline passed.
    pub fn cancel(&mut self, request: RequestId, now: Duration) -> Vec<RouteAction> {
        let Some(call) = self.calls.remove(&request) else { return vec![] };
        self.release(&call, now);
        self.take_actions()
    }

    /// Advances time: waiting requests are dispatched where a server has become
    /// available, or refused if they have waited too long.
    pub fn tick(&mut self, now: Duration) -> Vec<RouteAction> {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for pool in pools {
            self.refuse_expired(pool, now);
            self.dispatch_queued(pool, now);
        }
        self.take_actions()
    }

    /// Returns whether any request is waiting for a server.
    #[must_use]
    pub fn has_waiting_requests(&self) -> bool {
        self.pools
            .values()
            .any(|pool| pool.queue.len() > 0 || !pool.retries.is_empty())
    }

    /// Returns the number of requests that are waiting or running.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Releases the slot or the queue entry of a request, and dispatches waiting requests
    /// to the freed slot.
    fn release(&mut self, call: &RoutedCall, now: Duration) {
        let details = &call.details;
        let Some(state) = self.pools.get_mut(&details.pool) else { return };
        match call.phase {
            CallPhase::Running { server, .. } => {
                if let Some(server) = state.servers.get_mut(server) {
                    server
                        .load
                        .end(details.request, details.prompt.is_long(&self.options));
                }
            }
            CallPhase::Waiting => {
                state.queue.remove(
                    details.tier,
                    details.class,
                    details.organisation,
                    details.request,
                );
                state.retries.retain(|request| *request != details.request);
            }
        }
        self.dispatch_queued(details.pool, now);
    }

    /// Sends a request to a server.
    fn dispatch(&mut self, request: RequestId, choice: RouteChoice, now: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let server = choice.server;
        call.phase = CallPhase::Running { server, since: now, first_data_at: None };
        call.sends += 1;
        call.peer_sends = 0;
        call.stalled_for = Duration::ZERO;
        call.last_data_at = None;
        call.rate_counted = false;
        call.uncached = choice.uncached;
        call.tokens_ahead = choice.tokens_ahead;
        let retryable = call.details.repeatable && call.runs + 1 < call.details.run_limit;
        let expected = choice.expected;
        let patience = expected.mul_f64(self.options.patience_factor);
        let patience = patience.max(self.options.shortest_patience);
        call.patience = patience;
        call.patient_until = now;
        call.compares_at = now;
        let mut timeout = patience;
        call.server_version = None;
        if let Some(state) = self.pools.get_mut(&call.details.pool)
            && let forwards = state.servers.is_forward_peer(server)
            && let Some(server) = state.servers.get_mut(server)
        {
            call.server_version = (!forwards).then_some(server.listing.version);
            let limited = server.pushback.is_limited(now);
            call.rate_counted = limited && server.pushback.take(now);
            if server.is_watched(now) {
                // The watchers may report the death of the engine sooner.
                timeout = timeout.min(WATCH_PERIOD);
                call.patient_until = now + patience;
            }
            let long = call.details.prompt.is_long(&self.options);
            server.load.start(request, long, &self.calls, now);
        }
        let silence_timeout = retryable.then_some(timeout);
        self.actions
            .push(RouteAction::Dispatch { request, choice, silence_timeout });
    }

    /// Returns and clears the decided actions.
    fn take_actions(&mut self) -> Vec<RouteAction> {
        std::mem::take(&mut self.actions)
    }
}

/// Returns the state of a server, whichever pool it is in.
fn find_server(
    pools: &mut BTreeMap<PoolId, RoutePool>,
    server: ServerId,
) -> Option<&mut ServerState> {
    pools.values_mut().find_map(|pool| pool.servers.get_mut(server))
}

/// Returns the state of a server, to record what peers have reported of it.
fn find_for_peers(
    pools: &mut BTreeMap<PoolId, RoutePool>,
    server: ServerId,
) -> Option<&mut ServerState> {
    pools.values_mut().find_map(|pool| pool.servers.get_for_peers(server))
}
