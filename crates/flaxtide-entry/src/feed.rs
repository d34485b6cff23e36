//! Applies what the platform and the peers report, on the traffic thread.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{InstanceName, ServerId, ServerName, SettingsVersion, store_era};
use flaxtide_fleet::{
    EngineDigest, FleetKey, OwnLoad, PartRead, PartUpdate, PeerInfo, ReachReply,
    fleet_key,
};
use flaxtide_policy::{CrashReport, EvacuationRecord, InstanceGroup, PushbackReport};
use tokio::sync::mpsc::Receiver;

use crate::contract::{FeedBatch, FeedRow, FeedTopic, PlatformFeed, RulesRow};
use crate::fleet::{apply_peer_loads, apply_peer_prefills, apply_peer_unresponsive};
use crate::shared_rules::{RulesCopy, SharedRules};
use crate::sightings::{record_part_updates, to_sightings};
use crate::state::TrafficState;

/// How long after the start a data centre that hasn't been heard keeps the size of the fleet
/// unknown. It may be cut off and draw on the retry budget; later it is taken to have no
/// instances.
const MAX_FLEET_WAIT: Duration = Duration::from_secs(60);

/// An event for the traffic thread from a thread that follows the platform or talks to
/// peers.
#[derive(Debug)]
pub(crate) enum FeedEvent {
    /// Rows of a topic have been read.
    Batch {
        /// The topic of the rows.
        topic: FeedTopic,
        /// The rows and the version they reach.
        batch: FeedBatch,
        /// Whether these are all rows of the topic instead of changes.
        is_snapshot: bool,
        /// For how long changes of the topic were unknown before this batch.
        unseen: Duration,
    },
    /// All changes of a topic up to this time on the source's clock have been sent.
    Covered(FeedTopic, Duration),
    /// The platform doesn't answer any more.
    Lost,
    /// The platform answers again.
    Regained,
    /// A peer has sent newer rules.
    PeerRules(RulesCopy),
    /// A peer has reported its requests at servers.
    PeerLoads(InstanceName, Vec<OwnLoad>),
    /// Peers have reported prompt parts that servers prefilled for them.
    Prefills(Vec<PartRead>),
    /// A peer has found servers unresponsive.
    PeerUnresponsive(Vec<FleetKey>),
    /// A peer has told which servers it reaches.
    PeerReach(PeerInfo, ReachReply),
    /// A watcher has reported what it has seen of engines.
    Engines(FleetKey, Vec<EngineDigest>, Duration),
    /// Watchers have reported changes of prompt parts that engines have cached.
    PartUpdates(Vec<PartUpdate>),
    /// Peers have reported servers that crashed while running requests.
    Crashes(Vec<CrashReport>),
    /// Peers have reported statements that servers made about themselves.
    Pushback(Vec<PushbackReport>),
    /// Peers have reported data centres that are now evacuated, or no longer are.
    Evacuations(Vec<EvacuationRecord>),
    /// The state of the fleet, as its membership shows it.
    Fleet {
        /// The number of live instances.
        live: u32,
        /// The data centres of which an instance has been heard since the start.
        data_centres: usize,
        /// The newest version of the rules that peers have announced.
        newest_rules: SettingsVersion,
        /// The newest version of the rules that live peers have in force; 0 if none is newer
        /// than the own one.
        live_rules: SettingsVersion,
        /// Whether this instance has got the known crashes from a peer.
        has_synced_crashes: bool,
        /// The live instances, or `None` until they are known.
        group: Option<Arc<InstanceGroup>>,
    },
}

/// Handles events from the platform and the peers until their senders have ended.
pub(crate) async fn handle_feed_events(
    state: Rc<TrafficState>,
    feed: Arc<dyn PlatformFeed>,
    shared: Arc<SharedRules>,
    mut events: Receiver<FeedEvent>,
) {
    while let Some(event) = events.recv().await {
        let now = state.now();
        match event {
            FeedEvent::Batch { topic: FeedTopic::Rules, batch, is_snapshot, .. } => {
                apply_rules_rows(&state, &*feed, &shared, batch, is_snapshot);
            }
            FeedEvent::Batch {
                topic: FeedTopic::Servers,
                batch,
                is_snapshot,
                unseen,
            } => {
                apply_servers(&state, &*feed, batch, is_snapshot, unseen);
            }
            FeedEvent::Covered(FeedTopic::Rules, until) => {
                state.source.rules_age().record_covered(until);
            }
            FeedEvent::Covered(FeedTopic::Servers, until) => {
                state.source.list_age().record_covered(until);
                state.versions.record_covered(until);
            }
            // An outage lasts until the platform answers again, so both events extend it.
            FeedEvent::Lost | FeedEvent::Regained => {
                state.directory.borrow_mut().record_outage(now);
            }
            // Rules that are in force already need no decoding.
            FeedEvent::PeerRules(copy) if !state.would_install(copy.version) => {}
            FeedEvent::PeerRules(copy) => {
                apply_peer_rules(&state, &*feed, &shared, copy);
            }
            FeedEvent::PeerLoads(peer, loads) => apply_peer_loads(&state, &peer, &loads),
            FeedEvent::PeerUnresponsive(servers) => {
                apply_peer_unresponsive(&state, &servers);
            }
            FeedEvent::PeerReach(peer, reply) => {
                state.forward_peers.record(peer, reply, now);
                for pool in state.with_router(|core, _| core.forwarding_pools()) {
                    state.forward_peers.update_router(&state, pool);
                }
            }
            FeedEvent::Prefills(reads) => apply_peer_prefills(&state, &reads),
            FeedEvent::Engines(watcher, engines, counts_for) => {
                let server_with_key = |key| state.server_with_key(key);
                state.with_router(|core, now| {
                    let sightings = to_sightings(&engines, watcher, server_with_key);
                    core.record_sightings_for(&sightings, counts_for, now);
                });
            }
            FeedEvent::PartUpdates(parts) => state.with_router(|core, now| {
                record_part_updates(core, &parts, |key| state.server_with_key(key), now);
            }),
            FeedEvent::Crashes(reports) => {
                state.quarantine.apply_reports(&state, &reports);
            }
            FeedEvent::Pushback(reports) => {
                state.pushback.apply_reports(&state, &reports);
            }
            FeedEvent::Evacuations(records) => {
                state.evacuations.apply_peer_records(&state, &records);
            }
            FeedEvent::Fleet {
                live,
                data_centres,
                newest_rules,
                live_rules,
                has_synced_crashes,
                group,
            } => {
                state.quarantine.set_synced(has_synced_crashes);
                state.newest_rules.set(newest_rules);
                state.record_live_rules(live_rules);
                state.live_instances.set(live);
                state.versions.set_instances(live);
                state.metrics.instances.set(i64::from(live));
                let is_whole =
                    data_centres >= state.config().regions.len() || now >= MAX_FLEET_WAIT;
                state.with_router(|core, now| {
                    core.set_instances(live, is_whole);
                    if let Some(group) = group {
                        core.set_group(group, now);
                    }
                });
            }
        }
    }
}

/// Applies rows of the rules topic: evacuations first, as new rules may be in force for
/// the first time.
fn apply_rules_rows(
    state: &TrafficState,
    feed: &dyn PlatformFeed,
    shared: &SharedRules,
    batch: FeedBatch,
    is_snapshot: bool,
) {
    let mut evacuations = vec![];
    let mut texts = vec![];
    for row in batch.rows {
        match feed.rules_row(&row.name) {
            RulesRow::Rules => texts.extend(row.text),
            RulesRow::Evacuation(data_centre) => evacuations.push(EvacuationRecord {
                data_centre: fleet_key(&data_centre),
                version: row.version.unwrap_or(batch.version),
                evacuated: row.text.is_some(),
            }),
            RulesRow::Other => {}
        }
    }
    let snapshot = is_snapshot.then_some(batch.version);
    state.evacuations.apply_rows(state, &evacuations, snapshot);
    // A store that lost its history causes the same rules to be read again.
    for text in texts.into_iter().filter(|text| !shared.holds(text)) {
        apply_rules(state, feed, shared, text.into(), "platform");
    }
}

/// Puts rules from a peer in force, and has the peer's version rejected if the rules are
/// invalid or of another version.
fn apply_peer_rules(
    state: &TrafficState,
    feed: &dyn PlatformFeed,
    shared: &SharedRules,
    copy: RulesCopy,
) {
    // The version that the peer announced. The log line has it under this name.
    let told = copy.version;
    let version = apply_rules(state, feed, shared, copy.text, "peer");
    if version != Some(told) {
        log::error!(told, version:?; "rules from a peer are invalid or of another version");
        state.fleet.reject_rules(told);
    }
}

/// Puts rules in force unless newer ones are. Returns their version if they are valid.
fn apply_rules(
    state: &TrafficState,
    feed: &dyn PlatformFeed,
    shared: &SharedRules,
    text: Arc<str>,
    source: &'static str,
) -> Option<SettingsVersion> {
    let rules = match feed.parse_rules(&text) {
        Ok(rules) => rules,
        Err(fault) => {
            log::error!(source, fault = fault.to_string(); "rules rejected");
            return None;
        }
    };
    let version = rules.version;
    let counts = (rules.classes.len() as u64, rules.keys.len() as u64);
    if state.install_rules(rules) {
        shared.put(RulesCopy { version, text });
        state.fleet.announce(version);
        log::info!(source, version, classes = counts.0, keys = counts.1; "rules in force");
    }
    Some(version)
}

/// Applies rows of the server list.
fn apply_servers(
    state: &TrafficState,
    feed: &dyn PlatformFeed,
    batch: FeedBatch,
    is_snapshot: bool,
    unseen: Duration,
) {
    let now = state.now();
    let mut changed = vec![];
    state.directory.borrow_mut().enter_era(store_era(batch.version));
    state.versions.enter_era(store_era(batch.version));
    let listed: Option<HashSet<ServerName>> =
        is_snapshot.then(|| batch.rows.iter().map(|row| row.name.clone()).collect());
    let mut departing = vec![];
    for row in batch.rows {
        let name = row.name.clone();
        let was_in_use = is_in_use(state, &name);
        if apply_server(state, feed, row, unseen, now) {
            changed.push(name.clone());
        }
        if was_in_use && !is_in_use(state, &name) {
            departing.extend(leaving_server(state, &name));
        }
    }
    if let Some(listed) = listed {
        let missing = state.directory.borrow_mut().retain_listed(&listed, unseen, now);
        changed.extend(missing);
    }
    let first = !state.servers_listed.replace(true);
    if first {
        state.update_router_servers();
    } else if !changed.is_empty() {
        state.update_router_servers_named(&changed);
    }
    // Peers whose own readers can't read the platform at the moment may only find the row
    // missing later, and would take a server that has left for one that couldn't renew it.
    if !state.source.reads_from_peers() {
        for server in departing {
            state.pushback.publish(state, server);
        }
    }
}

/// Returns whether a server is listed and not leaving.
fn is_in_use(state: &TrafficState, name: &str) -> bool {
    let directory = state.directory.borrow();
    directory.get(name).is_some_and(|listed| !listed.entry.leaving)
}

/// Returns a listed server that is leaving.
fn leaving_server(state: &TrafficState, name: &str) -> Option<ServerId> {
    let directory = state.directory.borrow();
    let listed = directory.get(name).filter(|listed| listed.entry.leaving)?;
    Some(state.server_id(&listed.entry))
}

/// Applies the row of one server. Returns whether it changes the directory.
fn apply_server(
    state: &TrafficState,
    feed: &dyn PlatformFeed,
    row: FeedRow,
    unseen: Duration,
    now: Duration,
) -> bool {
    let mut directory = state.directory.borrow_mut();
    let Some(text) = row.text else {
        let changed = directory.mark_missing_within(&row.name, unseen, now);
        if changed {
            let unseen_ms = unseen.as_millis() as u64;
            log::info!(server = row.name, unseen_ms; "server no longer listed");
        }
        return changed;
    };
    let entry = match feed.parse_server(&row.name, &text) {
        Ok(entry) => entry,
        Err(fault) => {
            state.metrics.rows_ignored.inc();
            let (name, fault) = (shorten(&row.name), shorten(&fault.to_string()));
            log::warn!(server = name, fault; "server's row ignored");
            return directory.discard(&row.name);
        }
    };
    let (service, leaving) = (entry.service.clone(), entry.leaving);
    let version = entry.version.clone();
    if directory.is_restart(&entry) {
        state.metrics.servers_started_again.inc();
        log::info!(server = row.name, service; "server restarted");
    }
    let changed = directory.put(entry, now);
    if changed {
        log::info!(server = row.name, service, version = shorten(&version), leaving; "server listed");
    }
    changed
}

/// Shortens a text from an untrusted writer for the log.
fn shorten(text: &str) -> String {
    /// Enough characters to identify the row.
    const MAX_CHARS: usize = 200;
    text.chars().take(MAX_CHARS).collect()
}
