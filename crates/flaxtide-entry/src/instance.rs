//! An entry instance: its threads, from start to stop.

use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flaxtide_core::MilliClock;
use flaxtide_fleet::{FleetThread, LinkBytes};
use tokio::runtime::Builder;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::LocalSet;

use crate::budget::{CALL_PAUSE_FRACTION, RULES_POLL_FRACTION};
use crate::call::RequestSource;
use crate::config::EntryConfig;
use crate::contract::{
    DutyPlatform, EngineDialect, FeedTopic, NoteOwner, PlatformFeed, VersionPlatform,
    WireDialect,
};
use crate::duty::{DutyThread, SharedDuties, update_duty_view};
use crate::error::EntryError;
use crate::feed::{FeedEvent, handle_feed_events};
use crate::fleet::{
    FleetLink, RulesDownloadMonitor, export_peer_bytes, open_fleet, publish_to_peers,
};
use crate::follower::{POLL_WAIT_FRACTION, TopicFollower, follow_topic};
use crate::forward::{log_reach, probe_paths};
use crate::jump::handle_tick;
use crate::listen::{accept_requests, bind_listener};
use crate::logging::flush_log;
use crate::metrics::EntryMetrics;
use crate::outdated::log_overdue_rules;
use crate::probe::{ProbeAudience, serve_probes};
use crate::pushback::update_pushback_metrics;
use crate::reader::ServerListLog;
use crate::servers::expire_servers;
use crate::shared_rules::SharedRules;
use crate::source::ServerListSource;
use crate::state::TrafficState;
use crate::stop::{
    SignalEvent, handle_signals, register_signals, reload_config, watch_signals,
};
use crate::versions::VersionTable;
use crate::watch::{EngineWatches, update_watches};

/// The capacity of the queue from the feed threads to the traffic thread.
const FEED_QUEUE_LEN: usize = 64;

/// The capacity of the queue from the signal thread.
const SIGNAL_QUEUE_LEN: usize = 8;

/// The longest time between two checks of waiting requests and other timed state.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval of the less frequent checks in ticks: idle connections, the instance file, duties
/// and some metrics.
const TICKS_PER_SLOW_CHECK: u64 = 5;

/// The stack size of a thread with one small task.
const WORKER_STACK_BYTES: usize = 256 * 1024;

/// An entry instance, which serves callers.
pub struct EntryInstance {
    /// The path of the instance file.
    path: PathBuf,
    /// The content of the instance file.
    config: EntryConfig,
    /// Translates the headers of requests and responses.
    dialect: Arc<dyn WireDialect>,
    /// Reads the rules and the server list from the platform.
    feed: Arc<dyn PlatformFeed>,
    /// Carries out the duties at the platform; `None` if the instance has no duties.
    duties: Option<Arc<dyn DutyPlatform>>,
    /// Translates the calls with which engines are watched; `None` if they aren't.
    engines: Option<Arc<dyn EngineDialect>>,
    /// Keeps the versions of streams; `None` if they are lost with all instances.
    versions: Option<Arc<dyn VersionPlatform>>,
    /// The clock of the traffic thread.
    clock: MilliClock,
    /// Both ends of the queue of signals.
    signals: (Sender<SignalEvent>, Receiver<SignalEvent>),
}

/// Stops an instance that runs on another thread, as SIGTERM would.
#[derive(Debug, Clone)]
pub struct StopHandle {
    /// The sending end of the queue of signals.
    signals: Sender<SignalEvent>,
}

impl StopHandle {
    /// Asks the instance to stop gracefully. It runs until its open requests have ended.
    pub fn stop(&self) {
        // If the queue is full or closed, the instance is already stopping.
        let _ = self.signals.try_send(SignalEvent::Stop);
    }
}

impl EntryInstance {
    /// Creates an instance that hasn't started.
    #[must_use]
    pub fn new(
        path: PathBuf,
        config: EntryConfig,
        dialect: Arc<dyn WireDialect>,
        feed: Arc<dyn PlatformFeed>,
    ) -> Self {
        Self {
            path,
            config,
            dialect,
            feed,
            duties: None,
            engines: None,
            versions: None,
            clock: MilliClock::real(),
            signals: channel(SIGNAL_QUEUE_LEN),
        }
    }

    /// Sets the clock of the traffic thread, such as one that a test moves.
    #[must_use]
    pub fn with_clock(self, clock: MilliClock) -> Self {
        Self { clock, ..self }
    }

    /// Makes the instance a candidate for the duties that one instance carries out for all.
    #[must_use]
    pub fn with_duties(self, duties: Arc<dyn DutyPlatform>) -> Self {
        Self { duties: Some(duties), ..self }
    }

    /// Makes the instance watch engines.
    #[must_use]
    pub fn with_engines(self, engines: Arc<dyn EngineDialect>) -> Self {
        Self { engines: Some(engines), ..self }
    }

    /// Keeps the versions of streams in the platform's table.
    #[must_use]
    pub fn with_versions(self, versions: Arc<dyn VersionPlatform>) -> Self {
        Self { versions: Some(versions), ..self }
    }

    /// Returns a handle that stops the instance.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle { signals: self.signals.0.clone() }
    }

    /// Serves callers on the current thread until a signal has stopped the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't listen on its addresses or start its threads.
    pub fn run(self) -> Result<(), EntryError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|cause| EntryError::Spawn { component: "the runtime", cause })?;
        let metrics = Arc::new(EntryMetrics::new());
        spawn_signals(self.signals.0.clone(), &metrics)?;
        let served = LocalSet::new().block_on(&runtime, self.serve(metrics));
        flush_log();
        served
    }

    /// Starts the threads and serves callers until a signal has stopped the instance.
    async fn serve(self, metrics: Arc<EntryMetrics>) -> Result<(), EntryError> {
        let Self {
            path,
            config,
            dialect,
            feed,
            duties,
            engines,
            versions,
            clock,
            signals: (_, mut signals),
        } = self;
        let callers = open_listener("callers", config.callers)?;
        let ready = open_listener("the balancer", config.ready)?;
        let forward = config
            .forward
            .map(|address| open_listener("forwarded requests", address));
        let forward = forward.transpose()?;
        let metrics_listener = open_listener("metrics", config.metrics)?;
        log::info!(
            instance = config.name, data_centre = config.data_centre, region = config.region,
            callers = config.callers.to_string(), version = env!("CARGO_PKG_VERSION");
            "started"
        );
        let shared_rules = Arc::new(SharedRules::default());
        let (events, feed_events) = channel(FEED_QUEUE_LEN);
        let (link, fleet_requests) = FleetLink::new();
        let list = Arc::new(ServerListLog::new(config.leave_within));
        let source = Arc::new(ServerListSource::new(
            config.leave_within,
            config.rules_within,
            config.row_renewal,
            !config.seeds.is_empty(),
        ));
        for topic in [FeedTopic::Rules, FeedTopic::Servers] {
            let (poll_wait, call_pause, log_and_link) = match topic {
                FeedTopic::Rules => {
                    let poll_wait = config.rules_within.mul_f64(RULES_POLL_FRACTION);
                    (poll_wait, Duration::ZERO, None)
                }
                FeedTopic::Servers => {
                    let poll_wait = config.leave_within.mul_f64(POLL_WAIT_FRACTION);
                    let call_pause = config.leave_within.mul_f64(CALL_PAUSE_FRACTION);
                    (poll_wait, call_pause, Some((list.clone(), link.clone())))
                }
            };
            let (feed, events, metrics) = (feed.clone(), events.clone(), metrics.clone());
            let source = source.clone();
            spawn_feed(TopicFollower {
                feed,
                topic,
                call_pause,
                poll_wait,
                source,
                log_and_link,
                events,
                metrics,
            })?;
        }
        let fleet = open_fleet(&config, &shared_rules, &list, &events, &metrics)?;
        let peer_bytes = fleet.bytes();
        let owner = NoteOwner {
            data_centre: config.data_centre.clone(),
            instance: config.name.clone(),
        };
        let shared_duties = start_duties(&config, duties, &fleet, &link, &metrics)?;
        let state = TrafficState::new(
            config,
            clock,
            dialect,
            metrics,
            link,
            source,
            shared_duties,
        );
        fleet.set_version_exchange(state.versions.clone());
        let metrics = state.metrics.clone();
        if let Some(platform) = versions {
            let table = VersionTable::new(
                owner,
                platform,
                state.versions.clone(),
                metrics.clone(),
            );
            spawn("the versions thread", &metrics, move || table.run())?;
        }
        spawn("the fleet thread", &metrics, move || fleet.run(&fleet_requests))?;
        let state = Rc::new(state);
        let open_connections = Rc::new(Cell::new(0));
        let listeners =
            [(Some(callers), RequestSource::Caller), (forward, RequestSource::Peer)];
        for (listener, source) in listeners {
            let Some(listener) = listener else { continue };
            let open_connections = open_connections.clone();
            let accepting =
                accept_requests(state.clone(), listener, source, open_connections);
            spawn_task("accept", &metrics, accepting);
        }
        let probes = [
            (ready, ProbeAudience::Balancer),
            (metrics_listener, ProbeAudience::Operators),
        ];
        for (listener, audience) in probes {
            tokio::task::spawn_local(serve_probes(state.clone(), listener, audience));
        }
        let monitor = RulesDownloadMonitor::new(feed.clone());
        let feeding = handle_feed_events(state.clone(), feed, shared_rules, feed_events);
        spawn_task("feed", &metrics, feeding);
        let watches = engines.map(EngineWatches::new);
        let maintenance = run_maintenance(
            state.clone(),
            path.clone(),
            events,
            monitor,
            peer_bytes,
            watches,
        );
        spawn_task("maintenance", &metrics, maintenance);
        handle_signals(&state, &path, &mut signals).await;
        Ok(())
    }
}

/// Opens a listener; `purpose` names it in the error.
fn open_listener(
    purpose: &'static str,
    address: std::net::SocketAddr,
) -> Result<tokio::net::TcpListener, EntryError> {
    bind_listener(address).map_err(|cause| EntryError::Listen { purpose, address, cause })
}

/// Starts the thread that `component` names, such as "the log thread".
fn spawn(
    component: &'static str,
    metrics: &Arc<EntryMetrics>,
    run: impl FnOnce() + Send + 'static,
) -> Result<(), EntryError> {
    let name = component.trim_start_matches("the ").trim_end_matches(" thread");
    let thread = thread::Builder::new()
        .name(name.into())
        .stack_size(WORKER_STACK_BYTES);
    let metrics = metrics.clone();
    let spawned = thread.spawn(move || metrics.threads.run(name, run));
    spawned
        .map(drop)
        .map_err(|cause| EntryError::Spawn { component, cause })
}

/// Starts a task on the traffic thread.
fn spawn_task(
    name: &'static str,
    metrics: &Arc<EntryMetrics>,
    task: impl Future<Output = ()> + 'static,
) {
    let metrics = metrics.clone();
    tokio::task::spawn_local(async move { metrics.threads.run_task(name, task).await });
}

/// Starts the duties thread, if the instance has duties.
fn start_duties(
    config: &EntryConfig,
    platform: Option<Arc<dyn DutyPlatform>>,
    fleet: &FleetThread,
    link: &FleetLink,
    metrics: &Arc<EntryMetrics>,
) -> Result<Option<Arc<SharedDuties>>, EntryError> {
    let (Some(duties), Some(platform)) = (config.duties.clone(), platform) else {
        return Ok(None);
    };
    let shared_duties = Arc::new(SharedDuties::new(duties.usage_window));
    fleet.set_usage_exchange(shared_duties.clone());
    let thread = DutyThread::new(
        config,
        duties,
        platform,
        shared_duties.clone(),
        link.clone(),
        metrics.clone(),
    );
    spawn("the duties thread", metrics, move || thread.run())?;
    Ok(Some(shared_duties))
}

/// Starts the thread that waits for signals.
fn spawn_signals(
    events: Sender<SignalEvent>,
    metrics: &Arc<EntryMetrics>,
) -> Result<(), EntryError> {
    let component = "the signal thread";
    let signals =
        register_signals().map_err(|cause| EntryError::Spawn { component, cause })?;
    spawn(component, metrics, move || watch_signals(signals, &events))
}

/// Starts the thread that follows a topic.
fn spawn_feed(follower: TopicFollower) -> Result<(), EntryError> {
    let component = match follower.topic {
        FeedTopic::Rules => "the rules thread",
        FeedTopic::Servers => "the servers thread",
    };
    let metrics = follower.metrics.clone();
    spawn(component, &metrics, move || follow_topic(&follower))
}

/// Runs the periodic tasks: timed decisions, expiry, retries and metrics.
async fn run_maintenance(
    state: Rc<TrafficState>,
    path: PathBuf,
    events: Sender<FeedEvent>,
    mut monitor: RulesDownloadMonitor,
    peer_bytes: LinkBytes,
    mut watches: Option<EngineWatches>,
) {
    let mut ticks = 0u64;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        handle_tick(&state);
        ticks += 1;
        if state.with_router(|core, _| core.has_waiting_requests()) {
            state.run_router(|core, now| core.tick(now));
        }
        expire_servers(&state);
        state.update_settling();
        log_server_health(&state);
        log_overdue_rules(&state);
        log_reach(&state);
        state.forward_peers.maintain(&state, &events);
        probe_paths(&state);
        monitor.poll(&state.fleet);
        state.quarantine.maintain(&state);
        state.pushback.maintain(&state);
        publish_to_peers(&state, &state.fleet, &events);
        if ticks.is_multiple_of(TICKS_PER_SLOW_CHECK) {
            expire_and_reload(&state, &path);
            if let Some(shared_duties) = &state.duties {
                shared_duties.sample_wall_time();
                update_duty_view(&state, shared_duties);
            }
            export_peer_bytes(&state.metrics, &peer_bytes);
            state.metrics.version_notes.set(state.versions.expire() as i64);
            update_pushback_metrics(&state);
            if let Some(watches) = &mut watches {
                update_watches(&state, watches);
            }
        }
    }
}

/// Logs changes in the router's view of the health of servers.
fn log_server_health(state: &TrafficState) {
    for change in state.with_router(|core, now| core.health_changes(now)) {
        let event = if change.healthy {
            "server eligible again"
        } else {
            "server not eligible: unhealthy"
        };
        let cause = change.cause.map(|cause| format!("{cause:?}")).unwrap_or_default();
        log::info!(
            server = state.server_name(change.server).unwrap_or_default(),
            cause = cause,
            failures_percent = (change.failure_rate * 100.0) as u64,
            heard_ago_ms = change.heard_ago.as_millis() as u64;
            "{event}"
        );
    }
}

/// Closes expired idle connections and reloads the instance file if it has changed.
fn expire_and_reload(state: &TrafficState, path: &Path) {
    let now = state.now();
    state.connections.expire(now);
    reload_config(state, path, "changed file");
}
