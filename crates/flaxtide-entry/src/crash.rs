//! Determines whether a server process has exited, or only a connection to it has broken.

use std::io::ErrorKind;
use std::time::Duration;

use flaxtide_core::ServerId;

use crate::state::TrafficState;
use crate::upstream::connect;

/// How long a server whose connection broke may take to accept or refuse another one. A
/// running machine answers within a few milliseconds, and the request waits for the result.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// How often idle connections are checked for having closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How long the result that a server has exited is reused: dozens of requests that ran there
/// need it within this time, so that one probe serves most of them.
const EXIT_VALIDITY: Duration = Duration::from_millis(500);

/// Returns whether a server has exited, after a connection to it broke: its address refuses
/// connections and no connection to it is left. A server that closes or resets single
/// connections still listens, and an unreachable one doesn't refuse. If the probe connects,
/// its connection is kept for the next request.
pub(crate) async fn server_has_exited(state: &TrafficState, server: ServerId) -> bool {
    let now = state.now();
    if state
        .connections
        .exited_at(server)
        .is_some_and(|at| now < at + EXIT_VALIDITY)
    {
        return true;
    }
    let Some(address) = state.server_address(server) else { return false };
    let probe = connect(&state.connections, address);
    match tokio::time::timeout(PROBE_TIMEOUT, probe).await {
        Ok(Ok(connection)) => {
            state.connections.keep(server, connection, None, state.now());
            false
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            let exited = wait_until_closed(state, server).await;
            if exited {
                state.connections.record_exit(server, state.now());
            }
            exited
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Waits until all idle connections to a server are closed; returns whether they are. A closed
/// connection is only noticed when its task runs, which may be after the probe was refused.
async fn wait_until_closed(state: &TrafficState, server: ServerId) -> bool {
    let until = state.now() + PROBE_TIMEOUT;
    while state.connections.has_open_idle(server) {
        if state.now() >= until {
            return false;
        }
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
    true
}
