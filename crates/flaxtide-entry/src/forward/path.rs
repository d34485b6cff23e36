//! The path of this instance to servers: logs when it fails, and probes whether it is back.

use std::rc::Rc;
use std::time::Duration;

use flaxtide_core::ServerId;

use crate::state::TrafficState;
use crate::upstream::connect;

/// How long a path may take to reset a connection that it has accepted.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Logs changes in whether this instance reaches the servers of a service, and has a share of
/// their slots.
pub(crate) fn log_reach(state: &TrafficState) {
    for change in state.with_router(|core, now| core.update_reach(now)) {
        let is_doubtful = change.reach.is_doubtful();
        let event = match (is_doubtful, change.lacks_share) {
            (true, _) => "path to servers in doubt",
            (false, true) => "no share of the slots of servers",
            (false, false) => "path to servers restored",
        };
        let service = state.pool_name(change.pool).unwrap_or_default();
        let metrics = &state.metrics;
        metrics
            .doubtful_paths
            .with_label_values(&[&service])
            .set(i64::from(is_doubtful));
        metrics
            .lacking_shares
            .with_label_values(&[&service])
            .set(i64::from(change.lacks_share));
        log::info!(
            service, reached = change.reach.reached, failed = change.reach.failed;
            "{event}"
        );
    }
}

/// Starts the probes that are due: connections to servers that couldn't be reached lately.
pub(crate) fn probe_paths(state: &Rc<TrafficState>) {
    for server in state.with_router(|core, now| core.due_probes(now)) {
        tokio::task::spawn_local(probe(state.clone(), server));
    }
}

/// Opens a connection to a server, and keeps it for requests unless it is reset.
async fn probe(state: Rc<TrafficState>, server: ServerId) {
    let Some(address) = state.server_address(server) else { return };
    let connection = connect(&state.connections, address).await.ok();
    tokio::time::sleep(RESET_TIME).await;
    let connection = connection.filter(|connection| !connection.sender.is_closed());
    let is_reached = connection.is_some();
    if let Some(connection) = connection {
        state.connections.keep(server, connection, None, state.now());
    }
    state.with_router(|core, now| core.record_probe(server, is_reached, now));
}
