//! The instance's part in the fleet: what it tells its peers, and what it hears from them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{ServerId, SettingsTree, SettingsVersion};
use flaxtide_fleet::{
    FleetNode, FleetServer, FleetThread, FleetTiming, NodeEvent, NodeStatus, PeerInfo,
    PoolDemand, ReachReply, ServerDigest, SettingsCopy, UsageCount,
};
use flaxtide_policy::{LoadReport, PolicyEvent};

use crate::decide::summarise;
use crate::error::InstanceError;
use crate::messages::DecisionSummary;
use crate::shared::SharedState;
use crate::view::SettingsView;
use crate::watch::take_told;

/// How often the fleet's node is brought up to date.
const FEED_PERIOD: Duration = Duration::from_millis(200);

/// How many tiers peers are told of.
const TOLD_TIERS: usize = 3;

/// A digest counts steps in units of so many microseconds.
const STEP_UNIT_US: u64 = 10;

/// A digest counts ages in units of so many milliseconds.
const AGE_UNIT_MS: u64 = 10;

/// Opens the instance's links.
pub(crate) fn open_fleet(
    shared: &Arc<SharedState>,
) -> Result<FleetThread, InstanceError> {
    let config = &shared.config;
    let (heard, adopted, given) = (shared.clone(), shared.clone(), shared.clone());
    let opened = FleetThread::listen(
        config.fleet,
        shared.clock.clone(),
        move |news| hear(&heard, &news),
        move |copy| adopt(&adopted, &copy),
        move |newer_than| give_settings(&given, newer_than),
        |address| {
            let own = PeerInfo {
                name: config.name.clone(),
                data_centre: config.data_centre.clone(),
                address,
            };
            let longest_period = config.beat_period;
            let timing = FleetTiming { longest_period, ..FleetTiming::default() };
            let mut node = FleetNode::new(own, shared.epoch, timing);
            node.set_seeds(config.peers.clone());
            node
        },
    );
    let thread = opened.map_err(|cause| InstanceError::Listen {
        field: "fleet",
        address: config.fleet,
        cause,
    })?;
    if let Ok(mut bytes) = shared.link_bytes.write() {
        *bytes = thread.bytes();
    }
    Ok(thread)
}

/// Runs the feed thread until the instance stops.
pub(crate) fn feed_fleet(shared: &Arc<SharedState>) {
    let mut fed_version = None;
    let mut last = NodeState::default();
    while !shared.stopped() {
        let view = shared.view();
        if fed_version != Some(view.version) {
            fed_version = Some(view.version);
            let servers = fleet_servers(&view);
            shared.update_fleet(move |node, _| node.set_servers(servers));
        }
        let summary = summarise(shared, true);
        let status = node_status(shared, &view, &summary);
        let (owned, state) = (shared.clone(), std::mem::take(&mut last));
        let (reply, replies) = crossbeam::channel::bounded(1);
        shared.update_fleet(move |node, now| {
            node.set_status(status, now);
            // The feed thread may have ended.
            let _ = reply.try_send(read_node(&owned, node, &state, now));
        });
        last = replies.recv_timeout(Duration::from_secs(1)).unwrap_or_default();
        std::thread::sleep(FEED_PERIOD);
    }
}

/// Of what the node was last read, so that only changes are told.
#[derive(Debug, Default, PartialEq)]
struct NodeState {
    /// The node's generation.
    generation: u64,
    /// The settings version, whose servers the node's keys were looked up in.
    version: SettingsVersion,
}

/// Reads what has changed in the node: whom it sees alive, and so what to watch and which
/// shares hold without news.
fn read_node(
    shared: &SharedState,
    node: &FleetNode,
    last: &NodeState,
    now: Duration,
) -> NodeState {
    hear(shared, &node.own_share_events(now));
    let view = shared.view();
    let state = NodeState {
        generation: node.generation(),
        version: view.version,
    };
    if state == *last {
        return state;
    }
    let watched = node.watched().iter();
    let watched = watched.filter_map(|key| view.server_with_key(*key)).collect();
    shared.watched.set_own(watched);
    let shares = node.fallback_shares(now).into_iter();
    let fallbacks = shares.filter_map(|share| {
        Some((view.server_with_key(share.server)?, u32::from(share.slots)))
    });
    let fallbacks = fallbacks.collect();
    let live = node.live().len() as u32;
    shared.metrics.live_peers.set(i64::from(live) - 1);
    shared.tell(PolicyEvent::Peers { live, fallbacks });
    state
}

/// Returns the servers of the data centre as the node needs them.
fn fleet_servers(view: &SettingsView) -> BTreeMap<u32, FleetServer> {
    let servers = view.servers.values().map(|entry| {
        let pools = entry.pools.iter().map(|pool| view.pool_key(*pool)).collect();
        (entry.key, FleetServer { slots: entry.slots, pools })
    });
    servers.collect()
}

/// Returns the status that this instance reports to its peers.
fn node_status(
    shared: &SharedState,
    view: &SettingsView,
    summary: &DecisionSummary,
) -> NodeStatus {
    let demands = summary.pools.iter().map(|(pool, summary)| {
        let mut tiers = vec![0u16; TOLD_TIERS];
        let waiting = summary.waiting.iter().map(|(tier, count)| (*tier, *count as u32));
        let running = summary.running.iter().map(|(tier, count)| (*tier, *count));
        for (tier, count) in waiting.chain(running) {
            let tier = usize::from(tier).min(TOLD_TIERS - 1);
            tiers[tier] = tiers[tier].saturating_add(count as u16);
        }
        PoolDemand { pool: view.pool_key(*pool), tiers }
    });
    let usage = summary.usage.iter().map(|(organisation, count)| UsageCount {
        organisation: view.organisation_key(*organisation),
        count: u16::try_from(*count).unwrap_or(u16::MAX),
    });
    NodeStatus {
        demands: demands.collect(),
        servers: server_digests(shared, view),
        reads: vec![],
        unresponsive: vec![],
        loads: vec![],
        engines: vec![],
        parts: vec![],
        usage: usage.collect(),
        // Instances of this interface don't forward requests, and have their servers from settings.
        reach: ReachReply::default(),
        answers: None,
    }
}

/// Returns the last reports of the servers that this instance watches.
fn server_digests(shared: &SharedState, view: &SettingsView) -> Vec<ServerDigest> {
    let now = shared.now();
    let digests = shared.watched.reports().into_iter().filter_map(|(server, last)| {
        let age = now.saturating_sub(last.at).as_millis() as u64;
        Some(ServerDigest {
            server: view.servers.get(&server)?.key,
            running: last.running as u16,
            waiting: last.waiting as u16,
            step: u16::try_from(last.step.as_micros() as u64 / STEP_UNIT_US)
                .unwrap_or(u16::MAX),
            age: u16::try_from(age / AGE_UNIT_MS).unwrap_or(u16::MAX),
            leaving: shared.watched.leaving(server),
        })
    });
    digests.collect()
}

/// Takes in what has been heard in one message, and tells the decision core at once.
fn hear(shared: &SharedState, news: &[NodeEvent]) {
    let view = shared.view();
    let mut leaving = vec![];
    let mut events = vec![];
    for news in news {
        match *news {
            NodeEvent::Load(digest) => {
                let Some(server) = view.server_with_key(digest.server) else { continue };
                events.push(PolicyEvent::Report(report_of(
                    server,
                    &digest,
                    shared.now(),
                )));
                leaving.push((server, digest.leaving));
            }
            NodeEvent::Share(share, until) => {
                let Some(server) = view.server_with_key(share.server) else { continue };
                let slots = u32::from(share.slots);
                events.push(PolicyEvent::Share { server, slots, until });
            }
            NodeEvent::Rate(rate, until) => {
                let organisation = view.limited_with_key(rate.organisation);
                let Some(organisation) = organisation else { continue };
                let part = f64::from(rate.part) / f64::from(u16::MAX);
                events.push(PolicyEvent::RateShare { organisation, share: part, until });
            }
            // The shares of slots already count what peers have at servers.
            NodeEvent::PeerLoads(..)
            | NodeEvent::GroupLoads(..)
            | NodeEvent::PeerReads(_)
            | NodeEvent::PeerUnresponsive(_)
            | NodeEvent::Engines(..)
            | NodeEvent::PartUpdates(_)
            // Its own interface keeps no requests in quarantine yet.
            | NodeEvent::Crashes(_)
            | NodeEvent::Pushback(_)
            | NodeEvent::Evacuations(_) => {}
            NodeEvent::Version(version, ref _peer) => {
                // A full ring wakes the thread as well.
                let _ = shared.settings_news.try_send(version);
            }
        }
    }
    shared.tell_all(events);
    for (server, leaving) in leaving {
        take_told(shared, server, leaving);
    }
}

/// Returns the load report that a digest stands for.
fn report_of(server: ServerId, digest: &ServerDigest, now: Duration) -> LoadReport {
    let age = Duration::from_millis(u64::from(digest.age) * AGE_UNIT_MS);
    LoadReport {
        server,
        running: u32::from(digest.running),
        waiting: u32::from(digest.waiting),
        // Only needed where no watcher is heard, and then the server is polled.
        urgent: None,
        step: Duration::from_micros(u64::from(digest.step) * STEP_UNIT_US),
        at: now.saturating_sub(age),
    }
}

/// Puts settings in force that a peer sent.
fn adopt(shared: &SharedState, copy: &SettingsCopy) {
    let tree: Option<SettingsTree> = serde_json::from_str(&copy.tree).ok();
    let Some(tree) = tree else {
        log::warn!("a peer sent settings that can't be read");
        let version = copy.version;
        shared.update_fleet(move |node, _| node.reject_fetched(version));
        return;
    };
    if shared.adopt(copy.version, tree) {
        log::info!(version = copy.version; "settings taken from a peer");
    }
}

/// Gives the settings in force to a peer whose version is older.
fn give_settings(shared: &SharedState, newer_than: u64) -> Option<SettingsCopy> {
    let view = shared.view();
    if view.version <= newer_than {
        return None;
    }
    let tree = serde_json::to_string(&view.tree).ok()?;
    Some(SettingsCopy { version: view.version, tree: tree.into() })
}
