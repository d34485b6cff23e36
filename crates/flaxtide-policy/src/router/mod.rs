//! The router: which backend server gets a request, and when one is tried again.
//!
//! A [`RouteCore`] is told what comes in and what becomes of it, each with the time, and
//! returns [`RouteAction`]s. It does no input or output, so a day can be replayed.

mod budget;
mod call;
mod choose;
mod health;
mod lane;
mod load;
mod options;
mod pace;
mod pushback;
mod read;
mod retry;
mod server;
mod shed;
mod standstill;
mod wait;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId};

pub use self::call::{
    CallProgress, PartKey, PromptPart, PromptShape, RouteCall, RouteFault,
};
pub use self::choose::{PartFetch, RouteChoice, RouteReason};
pub use self::load::{LevelTokens, PeerKey, PeerLoad, ServerLoad, URGENCY_LEVELS};
pub use self::options::RouteOptions;
pub use self::pushback::{PushbackCount, StatementChange};
pub use self::read::PrefillRecord;
pub use self::retry::RetryDecision;
pub use self::server::{EngineShape, RoutedServer};

use self::budget::RetryWindow;
use self::call::{CallPlace, RoutedCall};
use self::lane::LaneSplit;
use self::pushback::own_part;
use self::read::ReadLog;
use self::server::ServerState;
use self::shed::ShedOdds;
use crate::pushback::{InstanceGroup, UnlistedPushback};
use crate::queue::{PoolQueue, QueueEntry};

/// A request that waits for a server is refused after this part of its target: the rest is
/// left for its caller's next try.
pub const QUEUE_WAIT_DIVISOR: u32 = 2;

/// Something to be done about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteAction {
    /// Send it to a server.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Which server, and why.
        choice: RouteChoice,
        /// How long the server may be silent before the request goes elsewhere; without
        /// it, the request stays.
        silence_timeout: Option<Duration>,
    },
    /// Refuse it: it hasn't run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalCause,
        /// When to come back.
        retry_after: Duration,
        /// When its first token was expected from the best server, if there was one.
        expected: Option<Duration>,
    },
}

/// What the router has come to believe of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthChange {
    /// The server.
    pub server: ServerId,
    /// Whether it gets work.
    pub healthy: bool,
    /// The decayed part of its requests that failed.
    pub failure_rate: f64,
    /// How long ago anything came from it.
    pub heard_ago: Duration,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No server of the pool can be used.
    NoServer,
    /// It would be too late for its caller.
    TooLate,
}

/// A pool of servers.
#[derive(Debug, Default)]
struct RoutePool {
    /// The servers, by their identifiers.
    servers: BTreeMap<ServerId, ServerState>,
    /// The requests that wait for a server.
    queue: PoolQueue,
    /// The requests that wait for another try.
    retries: Vec<RequestId>,
    /// What may be spent on further tries.
    budget: RetryWindow,
    /// How likely servers that haven't answered lately turn requests away.
    shed: ShedOdds,
    /// How the servers are shared between long and short prompts.
    split: LaneSplit,
    /// The mean time from dispatch to the end of an answer, in seconds.
    span: crate::estimate::DecayedMean,
}

/// Decides about the requests of one entry instance.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{RouteCore, RouteOptions};
/// let mut core = RouteCore::new(RouteOptions::default());
/// assert!(core.tick(Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct RouteCore {
    /// The tunable constants.
    options: RouteOptions,
    /// Tells this instance's draws from those of others.
    seed: u64,
    /// The pools.
    pools: BTreeMap<PoolId, RoutePool>,
    /// The requests that wait or run.
    calls: HashMap<RequestId, RoutedCall>,
    /// How many instances share the retry budget; the most that were seen alive.
    instances: u32,
    /// The instances that are seen alive, once that is known.
    group: Option<Arc<InstanceGroup>>,
    /// What servers have said that aren't listed now.
    unlisted: UnlistedPushback,
    /// The shared parts that servers have read lately for this instance.
    reads: ReadLog,
    /// What has been decided in the current event.
    actions: Vec<RouteAction>,
}

impl RouteCore {
    /// Starts a core that knows no server.
    #[must_use]
    pub fn new(options: RouteOptions) -> Self {
        let instances = options.assumed_instances;
        Self {
            options,
            seed: 0,
            pools: BTreeMap::new(),
            calls: HashMap::new(),
            instances,
            group: None,
            unlisted: UnlistedPushback::default(),
            reads: ReadLog::default(),
            actions: vec![],
        }
    }

    /// Sets what tells this instance's draws from those of others. Instances that draw alike
    /// send their calls to the same servers.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Sets the servers of a pool. Servers that stay keep what is known of them.
    pub fn set_servers(
        &mut self,
        pool: PoolId,
        servers: &[RoutedServer],
        now: Duration,
    ) -> Vec<RouteAction> {
        let guess = self.options.prefill_tokens_per_ms;
        let state = self.pools.entry(pool).or_default();
        let listed = |id: &ServerId| servers.iter().any(|server| server.server == *id);
        let unlisted = state.servers.extract_if(.., |id, _| !listed(id));
        self.unlisted.keep(unlisted.map(|(id, server)| (id, server.pushback)));
        for server in servers {
            match state.servers.get_mut(&server.server) {
                Some(known) => known.facts = server.clone(),
                None => {
                    let mut fresh = ServerState::new(server.clone(), guess, now);
                    fresh.pushback = self.unlisted.take(server.server);
                    let part = |rate| own_part(self.group.as_deref(), server, rate);
                    fresh.pushback.update_share(part, now);
                    state.servers.insert(server.server, fresh);
                }
            }
        }
        self.pump(pool, now);
        self.take_actions()
    }

    /// Takes in how many instances are alive. The retry budget is divided by the most
    /// that were seen, so that a cut never lets both sides spend all of it.
    pub fn set_instances(&mut self, live: u32) {
        self.instances = self.instances.max(live);
    }

    /// Takes in what a peer has at servers: all of it.
    pub fn set_peer_loads(&mut self, peer: PeerKey, loads: &[PeerLoad], now: Duration) {
        for pool in self.pools.values_mut() {
            for (id, server) in &mut pool.servers {
                let load = loads.iter().find(|load| load.server == *id);
                server.load.hear_peer(peer, load.copied(), now);
            }
        }
    }

    /// Takes in what a peer saw servers read.
    pub fn record_peer_prefills(&mut self, reads: &[(ServerId, PartKey)], now: Duration) {
        for (server, part) in reads {
            if let Some(server) = find_server(&mut self.pools, *server) {
                server.hear_read(*part, now);
            }
        }
    }

    /// Returns the shared parts that servers have read lately for this instance.
    pub fn recent_prefills(&mut self, now: Duration) -> Vec<PrefillRecord> {
        self.reads.recent(&self.options, now)
    }

    /// Takes in that a peer has found servers silent.
    pub fn record_silence_reports(&mut self, servers: &[ServerId], now: Duration) {
        for pool in self.pools.values_mut() {
            for server in servers {
                if let Some(server) = pool.servers.get_mut(server) {
                    server.health.hear_rumour(now, &self.options);
                }
            }
        }
    }

    /// Returns which servers this instance has found silent lately.
    #[must_use]
    pub fn silent_servers(&self, now: Duration) -> Vec<ServerId> {
        let servers = self.pools.values().flat_map(|pool| &pool.servers);
        let silent = servers.filter(|(_, server)| {
            let streams = server.load.streams(&self.calls);
            server.health.is_doubted(streams, now, &self.options)
        });
        silent.map(|(id, _)| *id).collect()
    }

    /// Returns what this instance has at servers.
    #[must_use]
    pub fn own_loads(&self, now: Duration) -> Vec<ServerLoad> {
        let servers = self.pools.values().flat_map(|pool| &pool.servers);
        let loads = servers.map(|(id, server)| {
            server.load.own_summary(*id, &self.calls, server.pace.get(now), now)
        });
        loads.filter(|load| load.running() > 0).collect()
    }

    /// Decides about a request that came.
    pub fn arrive(&mut self, call: RouteCall, now: Duration) -> Vec<RouteAction> {
        let pool = call.pool;
        let request = call.request;
        let state = self.pools.entry(pool).or_default();
        state.budget.arrive(now);
        state.split.arrive(&call, &self.options, now);
        if !state.servers.values().any(|server| server.facts.in_service()) {
            let retry_after = self.options.no_server_retry;
            let reason = RefusalCause::NoServer;
            return vec![RouteAction::Refuse {
                request,
                reason,
                retry_after,
                expected: None,
            }];
        }
        let entry = QueueEntry {
            request,
            arrived: now,
            urgency: now + call.target,
            work: call.prompt.work(),
        };
        state.queue.push(call.tier, call.class, call.organisation, entry, now);
        self.calls.insert(request, RoutedCall::new(call));
        self.pump(pool, now);
        self.take_actions()
    }

    /// Takes in that anything came from the server of a request.
    pub fn record_response_data(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let CallPlace::Running { server, since, .. } = call.place else { return };
        let first = call.hear(now);
        let Some(state) = self.pools.get_mut(&call.call.pool) else { return };
        let id = server;
        let Some(server) = state.servers.get_mut(&id) else { return };
        server.health.hear(now);
        if first {
            state.shed.record_answer(&server.health, &self.options, now);
            server.health.admit(since, now);
            server.load.read(now);
            let seen = now.saturating_sub(since + call.stood_still);
            let seen = seen.as_secs_f64() * 1000.0;
            server.pace.learn(call.ahead, seen, now);
            server.remember(&call.call.prompt, now);
            self.reads.add(&call.call, id, &self.options, now);
        }
    }

    /// Returns how far a request has come at the server where it is.
    #[must_use]
    pub fn progress(&self, request: RequestId) -> Option<CallProgress> {
        self.calls.get(&request)?.progress()
    }

    /// Takes in the end of a whole answer.
    pub fn finish(&mut self, request: RequestId, now: Duration) -> Vec<RouteAction> {
        let Some(call) = self.calls.remove(&request) else { return vec![] };
        let pool = call.call.pool;
        if let CallPlace::Running { server, since, .. } = call.place
            && let Some(state) = self.pools.get_mut(&pool)
        {
            let span = now.saturating_sub(since + call.stood_still);
            state.span.add(span.as_secs_f64());
            if let Some(server) = state.servers.get_mut(&server) {
                server.load.end(request, call.call.prompt.is_long(&self.options));
                if !call.begun() {
                    state.shed.record_answer(&server.health, &self.options, now);
                    server.health.admit(since, now);
                }
                server.health.succeed(now);
            }
        }
        self.pump(pool, now);
        self.take_actions()
    }

    /// Takes in that a request ended without an answer of use to the router: its caller
    /// has gone, or its time is over.
    pub fn cancel(&mut self, request: RequestId, now: Duration) -> Vec<RouteAction> {
        let Some(call) = self.calls.remove(&request) else { return vec![] };
        self.free(&call, now);
        self.take_actions()
    }

    /// Lets time pass: requests that wait may have a server by now, or be too late.
    pub fn tick(&mut self, now: Duration) -> Vec<RouteAction> {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for pool in pools {
            self.expire(pool, now);
            self.pump(pool, now);
        }
        self.take_actions()
    }

    /// Returns of which servers it believes something else than at the last review.
    pub fn health_changes(&mut self, now: Duration) -> Vec<HealthChange> {
        let mut notes = vec![];
        for pool in self.pools.keys().copied().collect::<Vec<PoolId>>() {
            let staying = self.staying(pool);
            let well = self.well(&staying, now);
            let well: Vec<ServerId> =
                well.iter().map(|server| server.facts.server).collect();
            let Some(state) = self.pools.get_mut(&pool) else { continue };
            for (id, server) in &mut state.servers {
                let is_well = well.contains(id);
                if !server.facts.in_service() || server.believed_well == is_well {
                    continue;
                }
                server.believed_well = is_well;
                notes.push(HealthChange {
                    server: *id,
                    healthy: is_well,
                    failure_rate: server.health.failures(),
                    heard_ago: now.saturating_sub(server.health.heard()),
                });
            }
        }
        notes
    }

    /// Tells whether any request waits for a server.
    #[must_use]
    pub fn has_waiting_requests(&self) -> bool {
        self.pools
            .values()
            .any(|pool| pool.queue.len() > 0 || !pool.retries.is_empty())
    }

    /// Returns how many requests wait or run.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Frees what a request has taken.
    fn free(&mut self, call: &RoutedCall, now: Duration) {
        let order = &call.call;
        let Some(state) = self.pools.get_mut(&order.pool) else { return };
        match call.place {
            CallPlace::Running { server, .. } => {
                if let Some(server) = state.servers.get_mut(&server) {
                    server.load.end(order.request, order.prompt.is_long(&self.options));
                }
            }
            CallPlace::Waiting => {
                state.queue.remove(
                    order.tier,
                    order.class,
                    order.organisation,
                    order.request,
                );
                state.retries.retain(|request| *request != order.request);
            }
        }
        self.pump(order.pool, now);
    }

    /// Sends a request to a server.
    fn dispatch(&mut self, request: RequestId, choice: RouteChoice, now: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let server = choice.server;
        call.place = CallPlace::Running { server, since: now, heard: None };
        call.sends += 1;
        call.stood_still = Duration::ZERO;
        call.counted = false;
        call.uncached = choice.uncached;
        call.ahead = choice.ahead;
        let movable = call.call.repeatable && call.runs + 1 < call.call.run_limit;
        let expected = choice.expected;
        let silence_timeout = movable.then(|| {
            let usual = expected.mul_f64(self.options.patience_factor);
            usual.max(self.options.shortest_patience)
        });
        if let Some(state) = self.pools.get_mut(&call.call.pool)
            && let Some(server) = state.servers.get_mut(&server)
        {
            let limited = server.pushback.rate().is_some();
            call.counted = limited && server.pushback.take(now);
            let long = call.call.prompt.is_long(&self.options);
            server.load.start(request, long, &self.calls, now);
        }
        self.actions
            .push(RouteAction::Dispatch { request, choice, silence_timeout });
    }

    /// Returns what has been decided.
    fn take_actions(&mut self) -> Vec<RouteAction> {
        std::mem::take(&mut self.actions)
    }
}

/// Returns what is known of a server.
fn find_server(
    pools: &mut BTreeMap<PoolId, RoutePool>,
    server: ServerId,
) -> Option<&mut ServerState> {
    pools.values_mut().find_map(|pool| pool.servers.get_mut(&server))
}
