//! The instance's part in the fleet: it hands on rules, and tells what it has at servers.
//!
//! What peers tell is soft state. Without it an instance goes on, with its own requests as
//! all that it knows of the servers' load.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use flaxtide_core::{InstanceName, MilliClock, ServerId, SettingsVersion};
use flaxtide_fleet::{
    DutyHolder, FleetCommand, FleetKey, FleetNode, FleetThread, FleetTiming, FleetUpdate,
    LinkBytes, NodeEvent, NodeStatus, OwnLoad, PartRead, PeerInfo, RowRequest,
    SettingsCopy, fleet_key,
};
use flaxtide_policy::{
    CrashReport, PartKey, PeerLoad, PrefillRecord, PushbackReport, ServerLoad,
};
use tokio::sync::mpsc;

use crate::config::EntryConfig;
use crate::contract::{FeedTopic, PlatformFeed};
use crate::error::EntryError;
use crate::feed::FeedEvent;
use crate::metrics::EntryMetrics;
use crate::reader::ServerListLog;
use crate::shared_rules::{RulesCopy, SharedRules};
use crate::state::TrafficState;

/// The length of the ring to the fleet thread.
const FLEET_RING: usize = 64;

/// How often peers' news are prepared: with each look of the traffic thread.
const TELL_PERIOD: Duration = Duration::from_millis(100);

/// How many prompt tokens one unit of a load stands for.
const TOKENS_PER_UNIT: u32 = 16;

/// Up to how many instances tell each other everything, whatever their data centres: so many
/// heartbeats fit the 17 KB/s of control at their longest period.
const SINGLE_GROUP_LIMIT: u32 = 58;

/// The ring to the fleet thread.
#[derive(Debug, Clone)]
pub(crate) struct FleetLink {
    /// The ring.
    events: Sender<FleetCommand>,
}

impl FleetLink {
    /// Makes a ring. The receiver is the fleet thread's.
    pub(crate) fn new() -> (Self, Receiver<FleetCommand>) {
        let (events, ring) = bounded(FLEET_RING);
        (Self { events }, ring)
    }

    /// Tells peers of a new version of the rules.
    pub(crate) fn announce(&self, version: SettingsVersion) {
        self.update(move |node, _| node.set_version(version));
        self.send(FleetCommand::SendHeartbeats);
    }

    /// Tells the fleet thread that rules which a peer sent can't be put in force.
    pub(crate) fn reject_rules(&self, version: SettingsVersion) {
        self.update(move |node, _| node.reject_fetched(version));
    }

    /// Tells peers that this instance is stopping.
    pub(crate) fn leave(&self) {
        self.update(|node, _| node.leave());
        self.send(FleetCommand::SendHeartbeats);
    }

    /// Tells peers that this instance holds the duties.
    pub(crate) fn announce_duty(&self, holder: DutyHolder) {
        self.update(move |node, _| node.record_duty_holder(Some(holder)));
    }

    /// Asks a peer for the rows that it has read.
    pub(crate) fn ask_rows(&self, question: RowRequest) {
        self.send(FleetCommand::AskRows(question));
    }

    /// Tells peers of crashes. `clock` is the one on which the reports' ages count from `since`.
    /// Returns whether the fleet thread will hear of them.
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

    /// Tells peers what a server said at `heard` on a clock. Returns whether the fleet thread
    /// will hear of it.
    pub(crate) fn report_pushback(
        &self,
        report: PushbackReport,
        clock: &MilliClock,
        heard: Duration,
    ) -> bool {
        let clock = clock.clone();
        self.update(move |node, now| {
            let age = clock.now().saturating_sub(heard).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            node.record_pushback(&[PushbackReport { age_ms, ..report }], now);
        })
    }

    /// Changes the node on its thread. Returns whether it will be.
    fn update(
        &self,
        change: impl FnOnce(&mut FleetNode, Duration) + Send + 'static,
    ) -> bool {
        self.send(FleetCommand::Update(FleetUpdate::new(change)))
    }

    /// Puts an event into the ring. A full ring loses it: the thread is behind. What the
    /// node knows is told again soon; a question without an answer counts as a silent peer.
    /// Returns whether there was a place.
    fn send(&self, event: FleetCommand) -> bool {
        let sent = self.events.try_send(event).is_ok();
        if !sent {
            log::warn!("fleet thread is behind, an event is lost");
        }
        sent
    }
}

/// Opens the instance's links to its peers.
///
/// # Errors
///
/// Returns the fault if it can't listen.
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
    let (heard, adopted) = (events.clone(), events.clone());
    let given = shared.clone();
    let received = metrics.rules_copies.with_label_values(&["received"]);
    let gave = metrics.rules_copies.with_label_values(&["given"]);
    let seeds = config.seeds.clone();
    let opened = FleetThread::listen(
        config.fleet,
        MilliClock::real(),
        move |news| hear(&heard, news),
        move |copy| {
            received.inc();
            let copy = RulesCopy { version: copy.version, text: copy.tree };
            hand_over(adopted.clone(), FeedEvent::PeerRules(copy));
        },
        move |version| {
            let copy = given.newer_than(version)?;
            gave.inc();
            Some(SettingsCopy { version: copy.version, tree: copy.text })
        },
        |_| {
            let timing = FleetTiming {
                single_group_limit: SINGLE_GROUP_LIMIT,
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

/// Passes on what peers have told.
fn hear(events: &mpsc::Sender<FeedEvent>, news: Vec<NodeEvent>) {
    for news in news {
        match news {
            NodeEvent::PeerLoads(peer, loads) => {
                tell(events, FeedEvent::PeerLoads(peer, loads));
            }
            NodeEvent::GroupLoads(data_centre, loads) => {
                tell(events, FeedEvent::PeerLoads(data_centre, loads));
            }
            NodeEvent::PeerUnresponsive(servers) => {
                tell(events, FeedEvent::PeerUnresponsive(servers));
            }
            NodeEvent::PeerReads(reads) => tell(events, FeedEvent::PeerReads(reads)),
            NodeEvent::Crashes(reports) => {
                hand_over(events.clone(), FeedEvent::Crashes(reports));
            }
            NodeEvent::Pushback(reports) => {
                hand_over(events.clone(), FeedEvent::Pushback(reports));
            }
            // Slots and rates aren't shared out here: every instance may use every server.
            // The fleet thread fetches newer rules by itself.
            NodeEvent::Load(_)
            | NodeEvent::Share(..)
            | NodeEvent::Rate(..)
            | NodeEvent::Version(..) => {}
        }
    }
}

/// Hands the traffic thread what peers say only once, such as rules or crashes. It waits for a
/// place in the ring.
fn hand_over(events: mpsc::Sender<FeedEvent>, event: FeedEvent) {
    tokio::spawn(async move {
        // The traffic thread ends only with the process.
        let _ = events.send(event).await;
    });
}

/// Puts an event into the ring to the traffic thread. A full ring loses it; peers say the
/// same again within a period.
fn tell(events: &mpsc::Sender<FeedEvent>, event: FeedEvent) {
    if events.try_send(event).is_err() {
        log::warn!("traffic thread is behind, a peer's word is lost");
    }
}

/// Shows how many bytes went over the links to peers.
pub(crate) fn export_peer_bytes(metrics: &EntryMetrics, bytes: &LinkBytes) {
    let (received, sent) = bytes.get();
    for (direction, count) in [("received", received), ("sent", sent)] {
        metrics.peer_bytes.with_label_values(&[direction]).set(count as i64);
    }
}

/// Notices when the platform brings bytes of rules.
pub(crate) struct RulesDownloadMonitor {
    /// What the platform tells.
    feed: Arc<dyn PlatformFeed>,
    /// How many bytes had come when it last looked.
    received: u64,
}

impl RulesDownloadMonitor {
    /// Looks at a feed.
    pub(crate) fn new(feed: Arc<dyn PlatformFeed>) -> Self {
        Self { feed, received: 0 }
    }

    /// Tells the fleet thread if bytes of rules have come since the last look: as long as
    /// they do, peers aren't asked for the same.
    pub(crate) fn poll(&mut self, link: &FleetLink) {
        let received = self.feed.received_bytes(FeedTopic::Rules);
        if received != self.received {
            self.received = received;
            link.update(FleetNode::record_source_progress);
        }
    }
}

/// Tells peers what this instance has at servers, and hears how many instances are alive.
pub(crate) fn publish_to_peers(
    state: &Rc<TrafficState>,
    link: &FleetLink,
    events: &mpsc::Sender<FeedEvent>,
) {
    let loads = state.with_router(|core, now| core.own_loads(now));
    let loads = loads.iter().filter_map(|load| own_load(state, load)).collect();
    let notes = state.with_router(|core, now| core.recent_prefills(now));
    let reads: Vec<(Duration, PartRead)> =
        notes.iter().filter_map(|note| part_read(state, note)).collect();
    let silent = state.with_router(|core, now| core.silent_servers(now));
    let silent: Vec<FleetKey> =
        silent.iter().filter_map(|server| state.server_key(*server)).collect();
    let events = events.clone();
    let source = state.source.clone();
    let version = state.rules_version();
    source.note_rules(version, state.newest_rules.get());
    let duties = state.duties.clone();
    let alone_below = state.config().read_alone_below;
    link.update(move |node, now| {
        // Told again each time, as the ring may have been full when the rules came.
        node.set_version(version);
        // Each beat tells what has been read since the one before it.
        let recent = node.period() + TELL_PERIOD * 2;
        let reads = reads.iter().filter(|(age, _)| *age < recent).map(|(_, read)| *read);
        let reads = reads.collect();
        node.set_status(
            NodeStatus {
                loads,
                reads,
                unresponsive: silent,
                ..NodeStatus::default()
            },
            now,
        );
        let plan = node.list_plan(alone_below);
        let (reader, standby) = (plan.reader, plan.standby);
        if source.set_plan(plan) {
            log::info!(reader:? = reader, standby; "list reader");
        }
        node.set_follows_peers(source.told_lately());
        if let Some(board) = duties {
            board.set_stands(node.is_duty_candidate(now));
        }
        let live = node.fleet_size(now);
        let newest_rules = node.newest_known_version(now);
        let knows_crashes = node.has_synced_crashes();
        let group = node.instance_group(now);
        // Told again with the next update.
        let _ = events.try_send(FeedEvent::Fleet {
            live,
            newest_rules,
            knows_crashes,
            group,
        });
    });
}

/// Spells what a server has read as peers are told, with its age.
fn part_read(state: &TrafficState, note: &PrefillRecord) -> Option<(Duration, PartRead)> {
    let server = state.server_key(note.server)?;
    Some((note.age, PartRead { server, part: note.part }))
}

/// Handles that a peer has found servers unresponsive.
pub(crate) fn take_peer_unresponsive(state: &TrafficState, servers: &[FleetKey]) {
    let known: Vec<ServerId> =
        servers.iter().filter_map(|key| state.server_with_key(*key)).collect();
    state.with_router(|core, now| core.record_silence_reports(&known, now));
}

/// Takes in what servers have read for a peer.
pub(crate) fn take_peer_reads(state: &TrafficState, reads: &[PartRead]) {
    let known = reads.iter().filter_map(|read| {
        let server = state.server_with_key(read.server)?;
        Some((server, read.part))
    });
    let known: Vec<(ServerId, PartKey)> = known.collect();
    state.with_router(|core, now| core.record_peer_prefills(&known, now));
}

/// Spells a load as peers are told.
fn own_load(state: &TrafficState, load: &ServerLoad) -> Option<OwnLoad> {
    Some(OwnLoad {
        server: state.server_key(load.server)?,
        short: u8::try_from(load.short).unwrap_or(u8::MAX),
        long: u8::try_from(load.long).unwrap_or(u8::MAX),
        unread: load
            .pending_prefill
            .map(|tokens| u16::try_from(tokens / TOKENS_PER_UNIT).unwrap_or(u16::MAX)),
    })
}

/// Takes in what a peer has at servers.
pub(crate) fn take_peer_loads(
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
            pending_prefill: load.unread.map(|units| u32::from(units) * TOKENS_PER_UNIT),
        })
    });
    let known: Vec<PeerLoad> = known.collect();
    state.with_router(|core, now| core.set_peer_loads(peer, &known, now));
}
