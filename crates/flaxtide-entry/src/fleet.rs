//! Connects the instance to its peers: shares rules, and reports its requests at servers.
//!
//! All state from peers is soft. Without it, an instance continues with its own requests
//! as its only knowledge of the servers' load.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use flaxtide_core::{InstanceName, MilliClock, ServerId, SettingsVersion};
use flaxtide_fleet::{
    DutyHolder, EngineDigest, FleetCommand, FleetKey, FleetNode, FleetThread,
    FleetTiming, FleetUpdate, LinkBytes, NodeEvent, NodeStatus, OwnLoad, PartRead,
    PartUpdate, PeerInfo, ReachRequest, RowRequest, SettingsCopy, fleet_key,
};
use flaxtide_policy::{
    CrashReport, EngineSighting, PartKey, PeerLoad, PrefillRecord, PushbackReport,
    ServerLoad,
};
use tokio::sync::mpsc;

use crate::answers::max_answer_gap;
use crate::config::EntryConfig;
use crate::contract::{FeedTopic, PlatformFeed};
use crate::error::EntryError;
use crate::feed::FeedEvent;
use crate::forward::offer;
use crate::metrics::EntryMetrics;
use crate::reader::ServerListLog;
use crate::shared_rules::{RulesCopy, SharedRules};
use crate::sightings::{to_digest, to_part_update};
use crate::state::TrafficState;

/// The capacity of the queue to the fleet thread.
const FLEET_QUEUE_LEN: usize = 64;

/// How often the state for peers is updated: with each tick of the traffic thread.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);

/// The number of prompt tokens that one unit of a reported load stands for.
const TOKENS_PER_LOAD_UNIT: u32 = 16;

/// The largest fleet in which all instances exchange full state, whatever their data
/// centres. With more, heartbeats at their longest period would exceed the limit of 17
/// KB/s on control traffic.
const SINGLE_GROUP_LIMIT: u32 = 58;

/// The sending end of the queue to the fleet thread.
#[derive(Debug, Clone)]
pub(crate) struct FleetLink {
    /// The queue of events.
    events: Sender<FleetCommand>,
}

impl FleetLink {
    /// Creates a link and the receiver for the fleet thread.
    pub(crate) fn new() -> (Self, Receiver<FleetCommand>) {
        let (events, queue) = bounded(FLEET_QUEUE_LEN);
        (Self { events }, queue)
    }

    /// Announces a new version of the rules to peers.
    pub(crate) fn announce(&self, version: SettingsVersion) {
        self.update(move |node, _| node.set_version(version));
        self.send(FleetCommand::SendHeartbeats);
    }

    /// Tells the fleet thread that rules from a peer can't be put in force.
    pub(crate) fn reject_rules(&self, version: SettingsVersion) {
        self.update(move |node, _| node.reject_fetched(version));
    }

    /// Announces to peers that this instance is stopping.
    pub(crate) fn leave(&self) {
        self.update(|node, _| node.leave());
        self.send(FleetCommand::SendHeartbeats);
    }

    /// Announces to peers that this instance holds the duties.
    pub(crate) fn announce_duty(&self, holder: DutyHolder) {
        self.update(move |node, _| node.record_duty_holder(Some(holder)));
    }

    /// Asks a peer for the rows that it has read.
    pub(crate) fn ask_rows(&self, request: RowRequest) {
        self.send(FleetCommand::AskRows(request));
    }

    /// Asks peers which servers they reach.
    pub(crate) fn ask_reach(&self, request: ReachRequest) {
        self.send(FleetCommand::AskReach(request));
    }

    /// Reports crashes to peers. The ages in the reports count from `since` on `clock`.
    /// Returns whether the fleet thread will get them.
    pub(crate) fn report_crashes(
        &self,
        reports: Vec<CrashReport>,
        clock: &MilliClock,
        since: Duration,
    ) -> bool {
        let clock = clock.clone();
        self.update(move |node, now| {
            let waited = clock.now().saturating_sub(since);
            node.record_crashes(&reports, now.saturating_sub(waited));
        })
    }

    /// Reports to peers what a server stated at `heard_at` on `clock`. Returns whether
    /// the fleet thread will get it.
    pub(crate) fn report_pushback(
        &self,
        report: PushbackReport,
        clock: &MilliClock,
        heard_at: Duration,
    ) -> bool {
        let clock = clock.clone();
        self.update(move |node, now| {
            let age = clock.now().saturating_sub(heard_at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            node.record_pushback(&[PushbackReport { age_ms, ..report }], now);
        })
    }

    /// Schedules a change of the node on the fleet thread. Returns whether there was room
    /// in the queue.
    fn update(
        &self,
        change: impl FnOnce(&mut FleetNode, Duration) + Send + 'static,
    ) -> bool {
        self.send(FleetCommand::Update(FleetUpdate::new(change)))
    }

    /// Sends an event to the fleet thread. If the queue is full because the thread is
    /// slow, the event is dropped: the node's state is published again soon, and a
    /// request without an answer counts as a peer that doesn't respond. Returns whether
    /// there was room.
    fn send(&self, event: FleetCommand) -> bool {
        let sent = self.events.try_send(event).is_ok();
        if !sent {
            log::warn!("queue to the fleet thread is full, event dropped");
        }
        sent
    }
}

/// Starts listening to peers, with callbacks for their messages.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub(crate) fn open_fleet(
    config: &EntryConfig,
    shared: &Arc<SharedRules>,
    list: &Arc<ServerListLog>,
    events: &mpsc::Sender<FeedEvent>,
    metrics: &Arc<EntryMetrics>,
) -> Result<FleetThread, EntryError> {
    let own = PeerInfo {
        name: config.name.clone(),
        data_centre: config.data_centre.clone(),
        address: config.fleet,
    };
    let (notice_events, rules_events) = (events.clone(), events.clone());
    let shared_rules = shared.clone();
    let received = metrics.rules_copies.with_label_values(&["received"]);
    let given = metrics.rules_copies.with_label_values(&["given"]);
    let (seeds, row_renewal) = (config.seeds.clone(), config.row_renewal);
    let opened = FleetThread::listen(
        config.fleet,
        MilliClock::real(),
        move |notices| forward_notices(&notice_events, notices),
        move |copy| {
            received.inc();
            let copy = RulesCopy { version: copy.version, text: copy.tree };
            forward_reliably(rules_events.clone(), FeedEvent::PeerRules(copy));
        },
        move |version| {
            let copy = shared_rules.newer_than(version)?;
            given.inc();
            Some(SettingsCopy { version: copy.version, tree: copy.text })
        },
        |_| {
            let timing = FleetTiming {
                single_group_limit: SINGLE_GROUP_LIMIT,
                max_answer_gap: max_answer_gap(row_renewal),
                ..FleetTiming::default()
            };
            let mut node = FleetNode::new(own, rand::random(), timing);
            node.set_instance_list(None, Duration::ZERO);
            node.set_seeds(seeds);
            node
        },
    );
    let fleet = opened.map_err(|cause| EntryError::Listen {
        purpose: "peers",
        address: config.fleet,
        cause,
    })?;
    fleet.set_row_source(list.clone());
    Ok(fleet)
}

/// Forwards notices from peers to the traffic thread.
fn forward_notices(events: &mpsc::Sender<FeedEvent>, notices: Vec<NodeEvent>) {
    for notice in notices {
        match notice {
            NodeEvent::PeerLoads(peer, loads) => {
                forward(events, FeedEvent::PeerLoads(peer, loads));
            }
            NodeEvent::GroupLoads(data_centre, loads) => {
                // The loads of another data centre count as those of one peer under its
                // name.
                forward(events, FeedEvent::PeerLoads(data_centre, loads));
            }
            NodeEvent::PeerUnresponsive(servers) => {
                forward(events, FeedEvent::PeerUnresponsive(servers));
            }
            NodeEvent::PeerReads(reads) => forward(events, FeedEvent::Prefills(reads)),
            NodeEvent::Crashes(reports) => {
                forward_reliably(events.clone(), FeedEvent::Crashes(reports));
            }
            NodeEvent::Pushback(reports) => {
                forward_reliably(events.clone(), FeedEvent::Pushback(reports));
            }
            NodeEvent::Evacuations(records) => {
                forward_reliably(events.clone(), FeedEvent::Evacuations(records));
            }
            NodeEvent::Engines(watcher, engines, counts_for) => {
                forward(events, FeedEvent::Engines(watcher, engines, counts_for));
            }
            NodeEvent::PartUpdates(parts) => {
                forward(events, FeedEvent::PartUpdates(parts));
            }
            // Slots and rates aren't shared out among instances here, as every instance
            // may use every server. The fleet thread fetches newer rules by itself.
            NodeEvent::Load(_)
            | NodeEvent::Share(..)
            | NodeEvent::Rate(..)
            | NodeEvent::Version(..) => {}
        }
    }
}

/// Sends an event that peers don't repeat, such as rules or crashes, to the traffic
/// thread. Waits for room in the queue.
fn forward_reliably(events: mpsc::Sender<FeedEvent>, event: FeedEvent) {
    tokio::spawn(async move {
        // The traffic thread ends only with the process.
        let _ = events.send(event).await;
    });
}

/// Sends an event that peers repeat within a heartbeat period to the traffic thread.
/// Drops it if the queue is full.
fn forward(events: &mpsc::Sender<FeedEvent>, event: FeedEvent) {
    if events.try_send(event).is_err() {
        log::warn!("queue to the traffic thread is full, event dropped");
    }
}

/// Exports the number of bytes sent to and received from peers.
pub(crate) fn export_peer_bytes(metrics: &EntryMetrics, bytes: &LinkBytes) {
    let (received, sent) = bytes.get();
    for (direction, count) in [("received", received), ("sent", sent)] {
        metrics.peer_bytes.with_label_values(&[direction]).set(count as i64);
    }
}

/// Notices when bytes of rules arrive from the platform.
pub(crate) struct RulesDownloadMonitor {
    /// The feed that counts the received bytes.
    feed: Arc<dyn PlatformFeed>,
    /// The byte count at the last poll.
    received: u64,
}

impl RulesDownloadMonitor {
    /// Creates a monitor of a feed.
    pub(crate) fn new(feed: Arc<dyn PlatformFeed>) -> Self {
        Self { feed, received: 0 }
    }

    /// Tells the fleet thread if bytes of rules have arrived since the last poll. While
    /// they arrive, peers aren't asked for the same rules.
    pub(crate) fn poll(&mut self, link: &FleetLink) {
        let received = self.feed.received_bytes(FeedTopic::Rules);
        if received != self.received {
            self.received = received;
            link.update(FleetNode::record_source_progress);
        }
    }
}

/// Publishes this instance's state to peers, and sends the state of the fleet to the
/// traffic thread.
pub(crate) fn publish_to_peers(
    state: &Rc<TrafficState>,
    link: &FleetLink,
    events: &mpsc::Sender<FeedEvent>,
) {
    let loads = state.with_router(|core, now| core.own_loads(now));
    let loads = loads.iter().filter_map(|load| to_own_load(state, load)).collect();
    let prefills = state.with_router(|core, now| core.recent_prefills(now));
    let reads: Vec<(Duration, PartRead)> = prefills
        .iter()
        .filter_map(|prefill| to_part_read(state, prefill))
        .collect();
    let unresponsive = state.with_router(|core, now| core.silent_servers(now));
    let unresponsive: Vec<FleetKey> = unresponsive
        .iter()
        .filter_map(|server| state.server_key(*server))
        .collect();
    let sightings = state.own_sightings.sightings(state.now());
    // A failure says nothing of an engine while the own path is in doubt.
    let is_telling = |seen: &&EngineSighting| {
        seen.failing_for.is_none()
            || !state.with_router(|core, _| core.is_path_doubtful(seen.server))
    };
    let engines: Vec<EngineDigest> = sightings
        .iter()
        .filter(is_telling)
        .filter_map(|seen| Some(to_digest(seen, state.server_key(seen.server)?)))
        .collect();
    let reach = offer(state);
    let changes = state.own_sightings.take_changes();
    let parts: Vec<PartUpdate> = changes
        .iter()
        .filter_map(|change| {
            Some(to_part_update(change, state.server_key(change.server)?))
        })
        .collect();
    let events = events.clone();
    let source = state.source.clone();
    let version = state.rules_version();
    let evacuations = state.evacuations.records();
    source.record_rules(version, state.newest_rules.get());
    let duties = state.duties.clone();
    let read_alone_below = state.config().read_alone_below;
    let has_room = link.update(move |node, now| {
        // Repeated each time, as the queue may have been full when they changed.
        node.set_version(version);
        node.record_evacuations(&evacuations);
        // Each heartbeat reports the prefills since the previous one, with a margin of
        // two updates.
        let recent = node.period() + PUBLISH_PERIOD * 2;
        let reads = reads.iter().filter(|(age, _)| *age < recent).map(|(_, read)| *read);
        let reads = reads.collect();
        // The clocks of the node and of the source began at different times.
        let source_now = source.clock().now();
        if let Some(span) = node.peer_answers() {
            source.answers().record_peers(span.shifted(now, source_now));
        }
        let answers = source.answers().own();
        let answers = answers.map(|span| span.shifted(source_now, now));
        node.set_status(
            NodeStatus {
                loads,
                reads,
                unresponsive,
                engines,
                parts,
                reach,
                answers,
                ..NodeStatus::default()
            },
            now,
        );
        let plan = node.list_plan(read_alone_below);
        let (reader, standby) = (plan.reader, plan.standby);
        if source.set_plan(plan) {
            log::info!(reader:? = reader, standby; "server list reader changed");
        }
        node.set_follows_peers(source.reader_answered_lately());
        if let Some(duties) = duties {
            duties.set_candidate(node.is_duty_candidate(now));
        }
        let live = node.fleet_size(now);
        let data_centres = node.heard_data_centres();
        let newest_rules = node.newest_known_version(now);
        let live_rules = node.newest_live_version(now);
        let has_synced_crashes = node.has_synced_crashes();
        let group = node.instance_group(now);
        // A dropped event is repeated with the next update.
        let _ = events.try_send(FeedEvent::Fleet {
            live,
            data_centres,
            newest_rules,
            live_rules,
            has_synced_crashes,
            group,
        });
    });
    if !has_room {
        state.own_sightings.put_back(changes);
    }
}

/// Converts a prefill of a server to the form for peers, with its age.
fn to_part_read(
    state: &TrafficState,
    prefill: &PrefillRecord,
) -> Option<(Duration, PartRead)> {
    let server = state.server_key(prefill.server)?;
    Some((prefill.age, PartRead { server, part: prefill.part }))
}

/// Applies a peer's report of unresponsive servers.
pub(crate) fn apply_peer_unresponsive(state: &TrafficState, servers: &[FleetKey]) {
    let known: Vec<ServerId> =
        servers.iter().filter_map(|key| state.server_with_key(*key)).collect();
    state.with_router(|core, now| core.record_silence_reports(&known, now));
}

/// Applies peers' reports of prompt parts that servers have prefilled.
pub(crate) fn apply_peer_prefills(state: &TrafficState, reads: &[PartRead]) {
    let known = reads.iter().filter_map(|read| {
        let server = state.server_with_key(read.server)?;
        Some((server, read.part))
    });
    let known: Vec<(ServerId, PartKey)> = known.collect();
    state.with_router(|core, now| core.record_peer_prefills(&known, now));
}

/// Converts the load at a server to the form for peers.
fn to_own_load(state: &TrafficState, load: &ServerLoad) -> Option<OwnLoad> {
    Some(OwnLoad {
        server: state.server_key(load.server)?,
        short: u8::try_from(load.short).unwrap_or(u8::MAX),
        long: u8::try_from(load.long).unwrap_or(u8::MAX),
        unread: load.pending_prefill.map(|tokens| {
            u16::try_from(tokens / TOKENS_PER_LOAD_UNIT).unwrap_or(u16::MAX)
        }),
    })
}

/// Applies a peer's report of its load at servers.
pub(crate) fn apply_peer_loads(
    state: &TrafficState,
    peer: &InstanceName,
    loads: &[OwnLoad],
) {
    let peer = fleet_key(peer);
    let known = loads.iter().filter_map(|load| {
        let server = state.server_with_key(load.server)?;
        Some(PeerLoad {
            server,
            short: u32::from(load.short),
            long: u32::from(load.long),
            pending_prefill: load
                .unread
                .map(|units| u32::from(units) * TOKENS_PER_LOAD_UNIT),
        })
    });
    let known: Vec<PeerLoad> = known.collect();
    state.with_router(|core, now| core.set_peer_loads(peer, &known, now));
}
