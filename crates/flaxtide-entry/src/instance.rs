//! An entry instance: its threads, their start and their end.

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

use crate::config::EntryConfig;
use crate::contract::{DutyPlatform, FeedTopic, PlatformFeed, WireDialect};
use crate::directory::FEED_PART;
use crate::duty::{DutyThread, SharedDuties, update_duty_view};
use crate::error::EntryError;
use crate::feed::{FeedEvent, handle_feed_events};
use crate::fleet::{
    FleetLink, RulesDownloadMonitor, export_peer_bytes, open_fleet, publish_to_peers,
};
use crate::follower::{TopicFollower, follow_topic};
use crate::jump::JumpWatch;
use crate::listen::{accept_callers, accept_probes, listen};
use crate::logging::settle_log;
use crate::metrics::EntryMetrics;
use crate::pushback::show_pushback;
use crate::reader::ServerListLog;
use crate::shared_rules::SharedRules;
use crate::source::ServerListSource;
use crate::state::TrafficState;
use crate::stop::{SignalEvent, handle_signals, register_signals, reload, watch_signals};

/// The length of the ring from the feed threads.
const FEED_RING: usize = 64;

/// The length of the ring from the signal thread.
const SIGNAL_RING: usize = 8;

/// How often requests that wait are looked at, whatever happens.
const TICK: Duration = Duration::from_millis(100);

/// How often idle connections and the instance file are looked at, in ticks.
const TICKS_PER_ROUND: u64 = 5;

/// The stack of a thread that does one small duty.
const SMALL_STACK: usize = 256 * 1024;

/// An entry instance of the traffic path.
pub struct EntryInstance {
    /// Where the instance file is.
    path: PathBuf,
    /// What it says.
    config: EntryConfig,
    /// The words of requests and answers.
    dialect: Arc<dyn WireDialect>,
    /// What the platform tells.
    feed: Arc<dyn PlatformFeed>,
    /// Where duties are done that one instance has for all, if there are any.
    duties: Option<Arc<dyn DutyPlatform>>,
    /// The clock of the traffic thread.
    clock: MilliClock,
    /// The ring of signals: where they come in, and where they are obeyed.
    signals: (Sender<SignalEvent>, Receiver<SignalEvent>),
}

/// Stops an instance that runs on another thread, as SIGTERM would.
#[derive(Debug, Clone)]
pub struct StopHandle {
    /// The ring of signals.
    signals: Sender<SignalEvent>,
}

impl StopHandle {
    /// Has the instance stop in order. It goes on until its requests are answered.
    pub fn stop(&self) {
        // An instance whose ring is full or gone is stopping already.
        let _ = self.signals.try_send(SignalEvent::Stop);
    }
}

impl EntryInstance {
    /// Makes an instance that hasn't started.
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
            clock: MilliClock::real(),
            signals: channel(SIGNAL_RING),
        }
    }

    /// Has the traffic thread follow another clock, such as one that a test moves.
    #[must_use]
    pub fn with_clock(self, clock: MilliClock) -> Self {
        Self { clock, ..self }
    }

    /// Has the instance stand for the duties that one instance has for all.
    #[must_use]
    pub fn with_duties(self, duties: Arc<dyn DutyPlatform>) -> Self {
        Self { duties: Some(duties), ..self }
    }

    /// Returns what stops the instance.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle { signals: self.signals.0.clone() }
    }

    /// Serves callers on this thread until a signal has stopped it.
    ///
    /// # Errors
    ///
    /// Returns the fault if it can't listen on its addresses or start its threads.
    pub fn run(self) -> Result<(), EntryError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|cause| EntryError::Spawn { duty: "the runtime", cause })?;
        spawn_signals(self.signals.0.clone())?;
        let served = LocalSet::new().block_on(&runtime, self.serve());
        settle_log();
        served
    }

    /// Serves callers until a signal has stopped it.
    async fn serve(self) -> Result<(), EntryError> {
        let Self {
            path,
            config,
            dialect,
            feed,
            duties,
            clock,
            signals: (_, mut signals),
        } = self;
        let callers = open("callers", config.callers)?;
        let ready = open("the balancer", config.ready)?;
        let metrics_door = open("metrics", config.metrics)?;
        log::info!(
            instance = config.name, data_centre = config.data_centre, region = config.region,
            callers = config.callers.to_string(), version = env!("CARGO_PKG_VERSION");
            "started"
        );
        let metrics = Arc::new(EntryMetrics::new());
        let shared = Arc::new(SharedRules::default());
        let (events, feed_ring) = channel(FEED_RING);
        let (link, fleet_ring) = FleetLink::new();
        let list = Arc::new(ServerListLog::new(config.leave_within));
        let source = Arc::new(ServerListSource::new(
            config.leave_within,
            !config.seeds.is_empty(),
        ));
        for topic in [FeedTopic::Rules, FeedTopic::Servers] {
            let (call_pause, log_and_link) = match topic {
                FeedTopic::Rules => (Duration::ZERO, None),
                FeedTopic::Servers => {
                    let call_pause = config.leave_within.mul_f64(FEED_PART);
                    (call_pause, Some((list.clone(), link.clone())))
                }
            };
            let (feed, events, metrics) = (feed.clone(), events.clone(), metrics.clone());
            let source = source.clone();
            spawn_feed(TopicFollower {
                feed,
                topic,
                call_pause,
                source,
                log_and_link,
                events,
                metrics,
            })?;
        }
        let fleet = open_fleet(&config, &shared, &list, &events, &metrics)?;
        let bytes = fleet.bytes();
        let board = start_duties(&config, duties, &fleet, &link, &metrics)?;
        spawn("the fleet thread", move || fleet.run(&fleet_ring))?;
        let state =
            TrafficState::new(config, clock, dialect, metrics, link, source, board);
        let state = Rc::new(state);
        tokio::task::spawn_local(accept_callers(state.clone(), callers));
        tokio::task::spawn_local(accept_probes(state.clone(), ready));
        tokio::task::spawn_local(accept_probes(state.clone(), metrics_door));
        let monitor = RulesDownloadMonitor::new(feed.clone());
        tokio::task::spawn_local(handle_feed_events(
            state.clone(),
            feed,
            shared,
            feed_ring,
        ));
        let house = keep_house(state.clone(), path.clone(), events, monitor, bytes);
        tokio::task::spawn_local(house);
        handle_signals(&state, &path, &mut signals).await;
        Ok(())
    }
}

/// Opens a listener.
fn open(
    purpose: &'static str,
    address: std::net::SocketAddr,
) -> Result<tokio::net::TcpListener, EntryError> {
    listen(address).map_err(|cause| EntryError::Listen { purpose, address, cause })
}

/// Starts the thread of a duty.
fn spawn(
    duty: &'static str,
    run: impl FnOnce() + Send + 'static,
) -> Result<(), EntryError> {
    let name = duty.trim_start_matches("the ").trim_end_matches(" thread");
    let thread = thread::Builder::new().name(name.into()).stack_size(SMALL_STACK);
    let spawned = thread.spawn(run);
    spawned.map(drop).map_err(|cause| EntryError::Spawn { duty, cause })
}

/// Starts the thread of the duties that one instance has for all, if there are any.
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
    let board = Arc::new(SharedDuties::new(duties.usage_window));
    fleet.set_usage_exchange(board.clone());
    let (link, metrics) = (link.clone(), metrics.clone());
    let thread = DutyThread::new(config, duties, platform, board.clone(), link, metrics);
    spawn("the duties thread", move || thread.run())?;
    Ok(Some(board))
}

/// Starts the thread that waits for signals.
fn spawn_signals(events: Sender<SignalEvent>) -> Result<(), EntryError> {
    let duty = "the signal thread";
    let signals =
        register_signals().map_err(|cause| EntryError::Spawn { duty, cause })?;
    spawn(duty, move || watch_signals(signals, &events))
}

/// Starts the thread that follows a topic.
fn spawn_feed(follower: TopicFollower) -> Result<(), EntryError> {
    let duty = match follower.topic {
        FeedTopic::Rules => "the rules thread",
        FeedTopic::Servers => "the servers thread",
    };
    spawn(duty, move || follow_topic(&follower))
}

/// Looks, now and then, at what time alone changes.
async fn keep_house(
    state: Rc<TrafficState>,
    path: PathBuf,
    events: Sender<FeedEvent>,
    mut monitor: RulesDownloadMonitor,
    bytes: LinkBytes,
) {
    let mut ticks = 0u64;
    let mut jumps = JumpWatch::new(state.now());
    loop {
        tokio::time::sleep(TICK).await;
        jumps.tick(&state);
        ticks += 1;
        if state.with_router(|core, _| core.has_waiting_requests()) {
            state.run_router(|core, now| core.tick(now));
        }
        expire_servers(&state);
        note_servers(&state);
        monitor.poll(&state.fleet);
        state.quarantine.maintain(&state);
        state.pushback.maintain(&state);
        publish_to_peers(&state, &state.fleet, &events);
        if ticks.is_multiple_of(TICKS_PER_ROUND) {
            go_round(&state, &path);
            if let Some(board) = &state.duties {
                board.sample_wall_time();
                update_duty_view(&state, board);
            }
            export_peer_bytes(&state.metrics, &bytes);
            show_pushback(&state);
        }
    }
}

/// Forgets servers that the platform hasn't listed for too long.
fn expire_servers(state: &TrafficState) {
    if state.directory.borrow_mut().release_held(state.now()) {
        state.update_router_servers();
    }
    if !state.directory.borrow().misses_any() {
        return;
    }
    let gone = state.directory.borrow_mut().expire(state.now());
    for server in &gone {
        log::info!(server; "server gone");
    }
    if !gone.is_empty() {
        state.update_router_servers();
    }
}

/// Logs what the router has come to believe of servers.
fn note_servers(state: &TrafficState) {
    for note in state.with_router(|core, now| core.health_changes(now)) {
        let event = if note.healthy { "server gets work" } else { "server gets no work" };
        log::info!(
            server = state.server_name(note.server).unwrap_or_default(),
            failures_percent = (note.failure_rate * 100.0) as u64,
            heard_ago_ms = note.heard_ago.as_millis() as u64;
            "{event}"
        );
    }
}

/// Looks at idle connections and the instance file.
fn go_round(state: &TrafficState, path: &Path) {
    let now = state.now();
    state.links.expire(now);
    reload(state, path, "changed file");
}
