//! What a watcher needs of its instance, and how the traffic thread provides it.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flaxtide_core::{ServerId, ServerName};
use flaxtide_fleet::fleet_key;
use flaxtide_policy::{EngineSighting, InstanceKey, PartChange, PartKey};

use super::engines::EngineWatches;
use super::pace::WatchCall;
use crate::contract::BackendService;
use crate::state::TrafficState;
use crate::upstream::{ServerConnection, connect};

/// A report of another watcher that is younger than this needn't be read again.
const PEER_REPORT_VALIDITY: Duration = Duration::from_secs(3);

/// What a watcher needs of its instance.
pub(crate) trait WatchHost {
    /// Returns the time.
    fn now(&self) -> Duration;

    /// Waits for a future until a time; returns `None` if it isn't done by then.
    async fn wait_until<Output>(
        &self,
        until: Duration,
        future: impl Future<Output = Output>,
    ) -> Option<Output>;

    /// Opens a connection to a server.
    async fn connect(
        &self,
        server: ServerId,
    ) -> io::Result<(ServerConnection, SocketAddr)>;

    /// Returns the key of the instance in sightings.
    fn key(&self) -> InstanceKey;

    /// Returns the name of a server, for log lines.
    fn name_of(&self, server: ServerId) -> ServerName;

    /// Returns whether another watcher has a recent report of an engine.
    fn has_peer_report(&self, server: ServerId) -> bool;

    /// Returns whether the router takes a prompt part to be cached on an engine.
    fn has_cached(&self, server: ServerId, part: PartKey) -> bool;

    /// Records what has been seen of an engine, for the own router and for peers.
    fn record_sighting(&self, sighting: EngineSighting);

    /// Records changes of cached prompt parts, for the own router and for peers.
    fn record_changes(&self, changes: &[PartChange]);

    /// Removes what peers are told of an engine that is no longer watched.
    fn remove_sighting(&self, server: ServerId);

    /// Counts a call.
    fn count_call(&self, call: WatchCall, outcome: &str);
}

impl WatchHost for TrafficState {
    fn now(&self) -> Duration {
        self.now()
    }

    async fn wait_until<Output>(
        &self,
        until: Duration,
        future: impl Future<Output = Output>,
    ) -> Option<Output> {
        self.wait_until(until, future).await
    }

    async fn connect(
        &self,
        server: ServerId,
    ) -> io::Result<(ServerConnection, SocketAddr)> {
        let address =
            self.server_address(server).ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok((connect(&self.connections, address).await?, address))
    }

    fn key(&self) -> InstanceKey {
        fleet_key(&self.config().name)
    }

    fn name_of(&self, server: ServerId) -> ServerName {
        self.server_name(server).unwrap_or_default()
    }

    fn has_peer_report(&self, server: ServerId) -> bool {
        let own = self.key();
        self.with_router(|core, now| {
            core.has_peer_report(server, own, PEER_REPORT_VALIDITY, now)
        })
    }

    fn has_cached(&self, server: ServerId, part: PartKey) -> bool {
        self.with_router(|core, now| core.has_cached(server, part, now))
    }

    fn record_sighting(&self, sighting: EngineSighting) {
        self.own_sightings.record(sighting, self.now());
        self.with_router(|core, now| core.record_sightings(&[sighting], now));
    }

    fn record_changes(&self, changes: &[PartChange]) {
        self.own_sightings.add_changes(changes);
        self.with_router(|core, now| core.record_part_changes(changes, now));
    }

    fn remove_sighting(&self, server: ServerId) {
        self.own_sightings.remove(server);
    }

    fn count_call(&self, call: WatchCall, outcome: &str) {
        let labels = [&call.to_string(), outcome];
        self.metrics.watch_calls.with_label_values(&labels).inc();
    }
}

/// Starts and ends watches after a change of the instances, the rules or the server list, and
/// updates the metrics of watches. Called periodically.
pub(crate) fn update_watches(state: &Rc<TrafficState>, watches: &mut EngineWatches) {
    watches.update(state, engines_to_watch(state));
    let failing = state.own_sightings.failing_count();
    let counts =
        [("answering", watches.len().saturating_sub(failing)), ("failing", failing)];
    for (kind, count) in counts {
        state
            .metrics
            .watched_engines
            .with_label_values(&[kind])
            .set(count as i64);
    }
}

/// Returns the engines that this instance is to watch, with its rank among the watchers of
/// each.
fn engines_to_watch(state: &TrafficState) -> Vec<(ServerId, usize)> {
    let Some(table) = state.route_table() else { return vec![] };
    if (state.live_instances.get() as usize) < state.config().watch_engines_from {
        return vec![];
    }
    let may_watch = |service: &&BackendService| {
        service.engine.is_some_and(|engine| engine.watch_calls > 0)
    };
    let services = table.services.iter().filter(may_watch);
    let engines = services.flat_map(|service| {
        let pool = state.pool_id(&service.name);
        state.with_router(|core, _| core.watched_engines(pool))
    });
    engines.collect()
}
