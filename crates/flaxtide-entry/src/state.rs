//! What the traffic thread knows, and the router that it owns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{
    MilliClock, PoolId, RequestId, ServerId, ServerName, SettingsVersion,
};
use flaxtide_fleet::{FleetKey, fleet_key};
use flaxtide_policy::{EngineShape, RouteAction, RouteCore, RouteOptions, RoutedServer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::config::EntryConfig;
use crate::contract::{CallerLimits, EntryRules, ServerEntry, WireDialect};
use crate::directory::ServerDirectory;
use crate::duty::SharedDuties;
use crate::fleet::FleetLink;
use crate::metrics::{EntryMetrics, GaugeGuard};
use crate::names::NameTable;
use crate::pushback::PushbackExchange;
use crate::quarantine::CallQuarantine;
use crate::routes::RouteTable;
use crate::source::ServerListSource;
use crate::stop::LAST_CALLS;
use crate::upstream::ServerLinks;

/// How many requests a plain server works on at once if nobody says.
const SLOTS_OF_PLAIN_SERVICE: u32 = 6;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifePhase {
    /// It takes requests.
    Serving,
    /// It isn't ready, but the balancer may not have noticed.
    Leaving,
    /// It closes connections once their requests are answered.
    Closing,
}

/// What the traffic thread knows.
pub(crate) struct TrafficState {
    /// The instance file.
    pub(crate) config: RefCell<Rc<EntryConfig>>,
    /// The clock.
    pub(crate) clock: MilliClock,
    /// The words of requests and answers.
    pub(crate) dialect: Arc<dyn WireDialect>,
    /// The metrics.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// The open connections to servers.
    pub(crate) links: ServerLinks,
    /// The ring to the fleet thread.
    pub(crate) fleet: FleetLink,
    /// From whom this instance gets what few read from the platform.
    pub(crate) source: Arc<ServerListSource>,
    /// The requests that crash servers.
    pub(crate) quarantine: CallQuarantine,
    /// What servers say of themselves.
    pub(crate) pushback: PushbackExchange,
    /// What is shared for the duties that one instance has for all, if there are any.
    pub(crate) duties: Option<Arc<SharedDuties>>,
    /// The rules in force.
    table: RefCell<Option<Rc<RouteTable>>>,
    /// The servers that may be used.
    pub(crate) directory: RefCell<ServerDirectory>,
    /// The newest version of the rules that peers have told of.
    pub(crate) newest_rules: Cell<SettingsVersion>,
    /// Whether the platform's list of servers has been read.
    pub(crate) servers_listed: Cell<bool>,
    /// The router.
    router: RefCell<RouteCore>,
    /// Who waits for the router's decision.
    waiters: RefCell<HashMap<RequestId, oneshot::Sender<RouteAction>>>,
    /// Numbers for names.
    names: RefCell<NameTable>,
    /// The number of the next request.
    next_request: Cell<RequestId>,
    /// The source of randomness for weights.
    pub(crate) random: RefCell<SmallRng>,
    /// How far a stop has come.
    phase: Cell<LifePhase>,
    /// Until when it isn't ready after a jump of time.
    pub(crate) rejoined_at: Cell<Duration>,
    /// Wakes those that wait when time has jumped.
    pub(crate) jumped: Notify,
    /// Wakes connections when the phase changes.
    pub(crate) phase_changed: Notify,
    /// How many requests are being answered.
    pub(crate) open: Cell<usize>,
    /// When the process ends at the latest, once that is near.
    pub(crate) end_by: Cell<Option<Duration>>,
}

impl TrafficState {
    /// Starts with nothing known.
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
        let leave_within = config.leave_within;
        let quarantine = CallQuarantine::new(!config.seeds.is_empty());
        let mut core = RouteCore::new(options);
        core.set_seed(seed);
        Self {
            config: RefCell::new(Rc::new(config)),
            clock,
            dialect,
            metrics,
            links: ServerLinks::default(),
            fleet,
            source,
            quarantine,
            pushback: PushbackExchange::default(),
            duties,
            table: RefCell::new(None),
            directory: RefCell::new(ServerDirectory::new(leave_within)),
            newest_rules: Cell::new(0),
            servers_listed: Cell::new(false),
            router: RefCell::new(core),
            waiters: RefCell::default(),
            names: RefCell::default(),
            next_request: Cell::new(1),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            phase: Cell::new(LifePhase::Serving),
            rejoined_at: Cell::new(Duration::ZERO),
            jumped: Notify::new(),
            phase_changed: Notify::new(),
            open: Cell::new(0),
            end_by: Cell::new(None),
        }
    }

    /// Returns the time.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the instance file.
    pub(crate) fn config(&self) -> Rc<EntryConfig> {
        self.config.borrow().clone()
    }

    /// Returns the rules in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns what callers may send.
    pub(crate) fn limits(&self) -> CallerLimits {
        let table = self.table.borrow();
        table
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.limits)
    }

    /// Returns how far a stop has come.
    pub(crate) fn phase(&self) -> LifePhase {
        self.phase.get()
    }

    /// Goes on with a stop.
    pub(crate) fn enter(&self, phase: LifePhase) {
        self.phase.set(phase);
        self.phase_changed.notify_waiters();
    }

    /// Tells whether the balancer may send callers.
    pub(crate) fn ready(&self) -> bool {
        self.phase.get() == LifePhase::Serving
            && self.table.borrow().is_some()
            && self.servers_listed.get()
            && self.now() >= self.rejoined_at.get()
            && self.quarantine.is_synced(self.now())
    }

    /// Tells whether a request that comes now may not end before the process must.
    pub(crate) fn ends_too_soon(&self, streams: bool) -> bool {
        let Some(end) = self.end_by.get() else { return false };
        streams || self.now() + LAST_CALLS > end
    }

    /// Returns the number of a new request.
    pub(crate) fn number(&self) -> RequestId {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        request
    }

    /// Returns the number of a service.
    pub(crate) fn pool(&self, service: &str) -> PoolId {
        self.names.borrow_mut().pool(service)
    }

    /// Returns the number of a server.
    pub(crate) fn server_number(&self, entry: &ServerEntry) -> ServerId {
        self.names.borrow_mut().server(entry)
    }

    /// Returns the name of a server.
    pub(crate) fn server_name(&self, server: ServerId) -> Option<ServerName> {
        self.names.borrow().start(server).map(|start| start.name.clone())
    }

    /// Returns what stands for a server between instances.
    pub(crate) fn server_key(&self, server: ServerId) -> Option<FleetKey> {
        self.names.borrow().start(server).map(|start| start.key)
    }

    /// Returns where a server is reached.
    pub(crate) fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        let name = self.server_name(server)?;
        let directory = self.directory.borrow();
        directory.get(&name).map(|listed| listed.entry.address)
    }

    /// Records that a start of a server has said that it is leaving. Returns whether that is news.
    pub(crate) fn mark_leaving(&self, server: ServerId) -> bool {
        let Some(name) = self.listed_name(server) else { return false };
        let news = self.directory.borrow_mut().mark_leaving(&name);
        if news {
            self.update_router_servers();
        }
        news
    }

    /// Returns whether a start of a server is known to be leaving.
    pub(crate) fn is_leaving(&self, server: ServerId) -> bool {
        let Some(name) = self.listed_name(server) else { return false };
        self.directory
            .borrow()
            .get(&name)
            .is_some_and(|listed| listed.entry.leaving)
    }

    /// Returns the name of a start of a server if it is the one that is listed.
    fn listed_name(&self, server: ServerId) -> Option<ServerName> {
        let name = self.server_name(server)?;
        let directory = self.directory.borrow();
        let listed = directory.get(&name)?;
        (self.server_number(&listed.entry) == server).then_some(name)
    }

    /// Returns the server that a key stands for.
    pub(crate) fn server_with_key(&self, key: FleetKey) -> Option<ServerId> {
        self.names.borrow().with_key(key)
    }

    /// Returns the version of the rules in force; 0 without any.
    pub(crate) fn rules_version(&self) -> SettingsVersion {
        self.table.borrow().as_ref().map_or(0, |table| table.version)
    }

    /// Tells whether newer rules than those in force are known to exist.
    pub(crate) fn behind(&self) -> bool {
        self.newest_rules.get() > self.rules_version()
    }

    /// Tells whether rules of a version would be newer than those in force.
    pub(crate) fn needs_rules(&self, version: SettingsVersion) -> bool {
        self.table.borrow().is_none() || version > self.rules_version()
    }

    /// Puts rules in force, unless newer ones are. Returns whether it did.
    pub(crate) fn install_rules(&self, rules: EntryRules) -> bool {
        if !self.needs_rules(rules.version) {
            return false;
        }
        self.metrics.rules_version.set(rules.version as i64);
        let kept = GaugeGuard::new(&self.metrics.rules_kept);
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(rules, kept)));
        self.update_router_servers();
        true
    }

    /// Tells the router which servers each service has.
    pub(crate) fn update_router_servers(&self) {
        let Some(table) = self.table() else { return };
        let home = self.config().data_centre.clone();
        for service in &table.services {
            let engine = service.engine;
            let directory = self.directory.borrow();
            let servers = directory.of_service(&service.name).map(|listed| {
                let entry = &listed.entry;
                let slots = engine.map_or(entry.slots, |engine| engine.slots);
                RoutedServer {
                    server: self.server_number(entry),
                    name_hash: xxh3_64(entry.name.as_bytes()),
                    slots: if slots == 0 { SLOTS_OF_PLAIN_SERVICE } else { slots },
                    engine: engine.map(|engine| EngineShape {
                        memory_tokens: engine.memory_tokens,
                        fetch_tokens_per_ms: engine.fetch_tokens_per_ms,
                    }),
                    data_centre: fleet_key(&entry.data_centre),
                    local: entry.data_centre == home,
                    leaving: entry.leaving,
                    lapsed: listed.lapsed(),
                }
            });
            let servers: Vec<RoutedServer> = servers.collect();
            drop(directory);
            let pool = self.pool(&service.name);
            self.run_router(|core, now| core.set_servers(pool, &servers, now));
        }
        self.metrics.servers.set(self.directory.borrow().len() as i64);
        self.pushback.place(self);
    }

    /// Has the router decide, and tells those who wait what it has decided.
    pub(crate) fn run_router(
        &self,
        ask: impl FnOnce(&mut RouteCore, Duration) -> Vec<RouteAction>,
    ) {
        let now = self.now();
        let actions = ask(&mut self.router.borrow_mut(), now);
        for action in actions {
            let request = match &action {
                RouteAction::Dispatch { request, .. }
                | RouteAction::Refuse { request, .. } => *request,
            };
            let waiter = self.waiters.borrow_mut().remove(&request);
            // A caller who left meanwhile has told the router, so nobody is missed.
            if let Some(waiter) = waiter {
                let _ = waiter.send(action);
            }
        }
    }

    /// Asks the router something that decides nothing.
    pub(crate) fn with_router<Answer>(
        &self,
        ask: impl FnOnce(&mut RouteCore, Duration) -> Answer,
    ) -> Answer {
        let now = self.now();
        ask(&mut self.router.borrow_mut(), now)
    }

    /// Waits for the router's next decision about a request.
    pub(crate) fn await_decision(
        &self,
        request: RequestId,
    ) -> oneshot::Receiver<RouteAction> {
        let (waiter, decision) = oneshot::channel();
        self.waiters.borrow_mut().insert(request, waiter);
        decision
    }

    /// Forgets a request that waits for a decision.
    pub(crate) fn forget(&self, request: RequestId) {
        self.waiters.borrow_mut().remove(&request);
    }
}
