//! The state of the traffic thread, including the router.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{
    MilliClock, PoolId, RequestId, ServerId, ServerName, SettingsVersion,
};
use flaxtide_fleet::FleetKey;
use flaxtide_policy::{RouteAction, RouteCore, RouteOptions};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::AdmissionLimit;
use crate::budget::LATENESS_FRACTION;
use crate::config::EntryConfig;
use crate::contract::{CallerLimits, EntryRules, ServerEntry, WireDialect};
use crate::directory::ServerDirectory;
use crate::duty::SharedDuties;
use crate::end_check::EndChecks;
use crate::evacuation::DataCentreEvacuations;
use crate::fleet::FleetLink;
use crate::forward::{CarriedCalls, ForwardPeers};
use crate::jump::TickLateness;
use crate::lag::RulesLag;
use crate::memory::BodyBudget;
use crate::metrics::{EntryMetrics, GaugeGuard};
use crate::names::IdTable;
use crate::pushback::PushbackExchange;
use crate::quarantine::CallQuarantine;
use crate::routes::RouteTable;
use crate::servers::RoutedPlaces;
use crate::source::ServerListSource;
use crate::stop::StopSchedule;
use crate::unwritten::UnwrittenAnswers;
use crate::uploads::UploadBudget;
use crate::upstream::ServerConnections;
use crate::version_counts::VersionCounts;
use crate::versions::{SettlingVersions, StreamVersions};
use crate::watch::OwnSightings;

/// The phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// The instance takes requests.
    Serving,
    /// The instance reports that it isn't ready, but the load balancer may still send requests.
    Leaving,
    /// The instance closes each connection after its current request.
    Closing,
    /// The instance answers what is still open, as the process ends.
    Ending,
}

/// The state shared by all tasks of the traffic thread.
pub(crate) struct TrafficState {
    /// The instance file in force.
    pub(crate) config: RefCell<Rc<EntryConfig>>,
    /// The clock of the traffic thread, which tests may move.
    pub(crate) clock: MilliClock,
    /// Translates the headers of requests and responses.
    pub(crate) dialect: Arc<dyn WireDialect>,
    /// The metrics of the instance.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// The memory for bodies of requests.
    pub(crate) request_memory: UploadBudget,
    /// The memory for bodies of responses.
    pub(crate) response_memory: BodyBudget,
    /// The idle connections to servers.
    pub(crate) connections: ServerConnections,
    /// The ends of connections whose servers are being checked.
    pub(crate) end_checks: EndChecks,
    /// The services whose event ids leave out others, as two servers have confirmed.
    pub(crate) gapped_services: RefCell<HashSet<String>>,
    /// The queue to the fleet thread.
    pub(crate) fleet: FleetLink,
    /// Chooses the peer or the platform from which the server list is read.
    pub(crate) source: Arc<ServerListSource>,
    /// The requests that crash servers.
    pub(crate) quarantine: CallQuarantine,
    /// What servers state about their limits, and its exchange with peers.
    pub(crate) pushback: PushbackExchange,
    /// The state shared with the duties thread; `None` if the instance has no duties.
    pub(crate) duties: Option<Arc<SharedDuties>>,
    /// The rules in force, indexed for look-up; `None` until the first have arrived.
    table: RefCell<Option<Rc<RouteTable>>>,
    /// The servers that may be used.
    pub(crate) directory: RefCell<ServerDirectory>,
    /// The data centres whose servers get no requests.
    pub(crate) evacuations: DataCentreEvacuations,
    /// The newest version of the rules that peers have announced.
    pub(crate) newest_rules: Cell<SettingsVersion>,
    /// The newest version of the rules that live peers have in force; 0 if none is newer.
    pub(crate) live_rules: Cell<SettingsVersion>,
    /// For how long live peers have had newer rules in force.
    pub(crate) rules_lag: RefCell<RulesLag>,
    /// Wakes requests that wait for newer rules.
    pub(crate) rules_changed: Notify,
    /// The number of live instances, as last seen.
    pub(crate) live_instances: Cell<u32>,
    /// The peers that take forwarded requests.
    pub(crate) forward_peers: ForwardPeers,
    /// The forwarded requests that this instance has taken.
    pub(crate) carried: CarriedCalls,
    /// What this instance has seen of the engines that it watches.
    pub(crate) own_sightings: OwnSightings,
    /// The versions of the servers in the directory.
    pub(crate) version_counts: RefCell<VersionCounts>,
    /// The versions at which no streams begin yet.
    pub(crate) settling: RefCell<SettlingVersions>,
    /// The versions of streams.
    pub(crate) versions: Arc<StreamVersions>,
    /// Whether the server list has been read at least once.
    pub(crate) servers_listed: Cell<bool>,
    /// The router, which decides where and when requests are sent.
    router: RefCell<RouteCore>,
    /// The requests that wait for a decision of the router.
    waiters: RefCell<HashMap<RequestId, oneshot::Sender<RouteAction>>>,
    /// The pool and the ID of each server that the router knows, by the hash of its name.
    pub(crate) routed: RefCell<RoutedPlaces>,
    /// The numeric IDs of services and servers.
    ids: RefCell<IdTable>,
    /// The ID of the next request.
    next_request: Cell<RequestId>,
    /// Draws the service of a request by weight.
    pub(crate) rng: RefCell<SmallRng>,
    /// The phase of a planned stop; `Serving` before one.
    phase: Cell<ShutdownPhase>,
    /// After a clock jump, the time before which the instance isn't ready.
    pub(crate) not_ready_until: Cell<Duration>,
    /// Wakes timers when the clock has jumped.
    pub(crate) clock_jumped: Notify,
    /// Whether the traffic thread is late.
    pub(crate) lateness: TickLateness,
    /// Wakes connections when the phase changes.
    pub(crate) phase_changed: Notify,
    /// The number of requests whose rules or body are awaited.
    pub(crate) receiving_calls: Cell<usize>,
    /// The number of requests in progress.
    pub(crate) open_calls: Cell<usize>,
    /// The answers that are being written.
    pub(crate) unwritten_answers: UnwrittenAnswers,
    /// The number of connections that have brought no request yet.
    pub(crate) unread_connections: Cell<usize>,
    /// Limits new connections while the processor is late.
    pub(crate) admission: AdmissionLimit,
    /// When the steps of a stop are due; `None` before one.
    pub(crate) stop_schedule: Cell<Option<StopSchedule>>,
}

impl TrafficState {
    /// Creates the state of an instance that knows neither rules nor servers.
    pub(crate) fn new(
        config: EntryConfig,
        clock: MilliClock,
        dialect: Arc<dyn WireDialect>,
        metrics: Arc<EntryMetrics>,
        fleet: FleetLink,
        source: Arc<ServerListSource>,
        duties: Option<Arc<SharedDuties>>,
    ) -> Self {
        let options = RouteOptions {
            retry_ratio: config.retry_ratio,
            retry_slack: config.retry_slack,
            ..config.router.clone()
        };
        let seed = xxh3_64(config.name.as_bytes());
        let (leave_within, renewal_period) = (config.leave_within, config.row_renewal);
        let body_bytes = |kind| metrics.body_bytes.with_label_values(&[kind]);
        let request_memory =
            UploadBudget::new(config.memory_mb, &body_bytes("request"), clock.clone());
        let response_memory = BodyBudget::new(config.memory_mb, body_bytes("response"));
        let carried = CarriedCalls::new(metrics.carried_calls.clone());
        let quarantine = CallQuarantine::new(!config.seeds.is_empty());
        let versions = StreamVersions::new(
            source.clock().clone(),
            leave_within,
            metrics.unwritten_version_notes.clone(),
        );
        let lateness =
            TickLateness::new(clock.now(), leave_within.mul_f64(LATENESS_FRACTION));
        let mut core = RouteCore::new(options);
        core.set_seed(seed);
        if config.seeds.is_empty() {
            core.set_instances(1, true);
        }
        Self {
            config: RefCell::new(Rc::new(config)),
            clock,
            dialect,
            metrics,
            request_memory,
            response_memory,
            connections: ServerConnections::default(),
            end_checks: EndChecks::default(),
            gapped_services: RefCell::default(),
            fleet,
            source,
            quarantine,
            pushback: PushbackExchange::default(),
            duties,
            table: RefCell::new(None),
            directory: RefCell::new(ServerDirectory::new(leave_within, renewal_period)),
            evacuations: DataCentreEvacuations::default(),
            newest_rules: Cell::new(0),
            live_rules: Cell::new(0),
            rules_lag: RefCell::default(),
            rules_changed: Notify::new(),
            live_instances: Cell::new(0),
            forward_peers: ForwardPeers::default(),
            carried,
            own_sightings: OwnSightings::default(),
            version_counts: RefCell::default(),
            settling: RefCell::default(),
            versions: Arc::new(versions),
            servers_listed: Cell::new(false),
            router: RefCell::new(core),
            waiters: RefCell::default(),
            routed: RefCell::default(),
            ids: RefCell::default(),
            next_request: Cell::new(1),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            phase: Cell::new(ShutdownPhase::Serving),
            not_ready_until: Cell::new(Duration::ZERO),
            clock_jumped: Notify::new(),
            lateness,
            phase_changed: Notify::new(),
            receiving_calls: Cell::new(0),
            open_calls: Cell::new(0),
            unwritten_answers: UnwrittenAnswers::default(),
            unread_connections: Cell::new(0),
            admission: AdmissionLimit::default(),
            stop_schedule: Cell::new(None),
        }
    }

    /// Returns the time on the clock of the traffic thread.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the instance file in force.
    pub(crate) fn config(&self) -> Rc<EntryConfig> {
        self.config.borrow().clone()
    }

    /// Returns the rules in force.
    pub(crate) fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the limits on callers' connections and requests; defaults without rules.
    pub(crate) fn limits(&self) -> CallerLimits {
        let table = self.table.borrow();
        table
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.limits)
    }

    /// Returns the phase of a planned stop.
    pub(crate) fn phase(&self) -> ShutdownPhase {
        self.phase.get()
    }

    /// Enters the next phase of a stop.
    pub(crate) fn set_phase(&self, phase: ShutdownPhase) {
        self.phase.set(phase);
        self.phase_changed.notify_waiters();
    }

    /// Returns whether the load balancer may send requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == ShutdownPhase::Serving
            && self.table.borrow().is_some()
            && self.servers_listed.get()
            && !self.has_overdue_rules()
            && !self.metrics.threads.has_any()
            && self.now() >= self.not_ready_until.get()
            && self.quarantine.is_synced(self.now())
            && self.versions.is_table_tried()
    }

    /// Returns the ID for a new request.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        request
    }

    /// Returns the ID of a service's pool, as the router calls the servers of a service.
    pub(crate) fn pool_id(&self, service: &str) -> PoolId {
        self.ids.borrow_mut().pool_id(service)
    }

    /// Returns the service whose servers are in a pool.
    pub(crate) fn pool_name(&self, pool: PoolId) -> Option<String> {
        self.ids.borrow().pool_name(pool).map(str::to_owned)
    }

    /// Returns the ID of the incarnation of a server that an entry describes.
    pub(crate) fn server_id(&self, entry: &ServerEntry) -> ServerId {
        self.ids.borrow_mut().server_id(entry)
    }

    /// Returns the name of a server.
    pub(crate) fn server_name(&self, server: ServerId) -> Option<ServerName> {
        self.ids
            .borrow()
            .incarnation(server)
            .map(|incarnation| incarnation.name.clone())
    }

    /// Returns the name of a server, or of a peer that forwards requests, for log lines.
    pub(crate) fn target_name(&self, target: ServerId) -> ServerName {
        let peer = || self.forward_peers.find(target).map(|(_, name)| name);
        self.server_name(target).or_else(peer).unwrap_or_default()
    }

    /// Returns the key of a server's incarnation in messages between instances.
    pub(crate) fn server_key(&self, server: ServerId) -> Option<FleetKey> {
        self.ids
            .borrow()
            .incarnation(server)
            .map(|incarnation| incarnation.key)
    }

    /// Returns the address of a server, if it is listed.
    pub(crate) fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        let name = self.server_name(server)?;
        let directory = self.directory.borrow();
        directory.get(&name).map(|listed| listed.entry.address)
    }

    /// Returns the server that a key from a peer denotes.
    pub(crate) fn server_with_key(&self, key: FleetKey) -> Option<ServerId> {
        self.ids.borrow().server_with_key(key)
    }

    /// Returns for how long changes of the server list may be unknown, in milliseconds, or -1 if
    /// it hasn't been read.
    pub(crate) fn list_age_ms(&self) -> i64 {
        let age = self.source.list_age().get(self.source.clock().now());
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Returns the version of the rules in force, or 0 if there are none.
    pub(crate) fn rules_version(&self) -> SettingsVersion {
        self.table.borrow().as_ref().map_or(0, |table| table.version)
    }

    /// Returns whether rules of a version would be put in force: they are newer than those that
    /// are, or there are none.
    pub(crate) fn would_install(&self, version: SettingsVersion) -> bool {
        self.table.borrow().is_none() || version > self.rules_version()
    }

    /// Puts rules in force unless newer ones are. Returns whether it did.
    pub(crate) fn install_rules(&self, rules: EntryRules) -> bool {
        if !self.would_install(rules.version) {
            return false;
        }
        self.metrics.rules_version.set(rules.version as i64);
        let gauge_guard = GaugeGuard::new(&self.metrics.rules_kept);
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(rules, gauge_guard)));
        self.update_router_servers();
        self.rules_changed.notify_waiters();
        true
    }

    /// Runs the router on an event and delivers its decisions to the requests that wait for
    /// them.
    pub(crate) fn run_router(
        &self,
        event: impl FnOnce(&mut RouteCore, Duration) -> Vec<RouteAction>,
    ) {
        let now = self.now();
        let actions = event(&mut self.router.borrow_mut(), now);
        for action in actions {
            let request = match &action {
                RouteAction::Dispatch { request, .. }
                | RouteAction::Refuse { request, .. } => *request,
            };
            let waiter = self.waiters.borrow_mut().remove(&request);
            // A caller who has disconnected has already been reported to the router.
            if let Some(waiter) = waiter {
                let _ = waiter.send(action);
            }
        }
    }

    /// Queries or updates the router where no decision can follow.
    pub(crate) fn with_router<Output>(
        &self,
        query: impl FnOnce(&mut RouteCore, Duration) -> Output,
    ) -> Output {
        let now = self.now();
        query(&mut self.router.borrow_mut(), now)
    }

    /// Returns a receiver for the router's next decision about a request.
    pub(crate) fn await_decision(
        &self,
        request: RequestId,
    ) -> oneshot::Receiver<RouteAction> {
        let (waiter, decision) = oneshot::channel();
        self.waiters.borrow_mut().insert(request, waiter);
        decision
    }

    /// Removes the registration of a request that waits for a decision.
    pub(crate) fn remove_waiter(&self, request: RequestId) {
        self.waiters.borrow_mut().remove(&request);
    }
}
