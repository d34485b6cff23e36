//! Whether a server has ended, or only a connection to it.

use std::io::ErrorKind;
use std::time::Duration;

use flaxtide_core::ServerId;

use crate::state::TrafficState;
use crate::upstream::connect;

/// How long a server whose connection broke may take to accept or refuse another. A machine
/// that is there answers within a few milliseconds; the request waits for it meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// How often it is looked whether idle connections have closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How long it is known that a server has ended: the dozens of requests that ran there find it
/// out within this time, with one probe for most of them.
const EXIT_VALIDITY: Duration = Duration::from_millis(500);

/// Returns whether a server has ended, after a connection to it broke: nobody listens at its
/// address any more, and no connection to it is left. A server that closes or resets single
/// connections still listens, and one that is out of reach refuses nothing. A connection that
/// opens is kept for the next request.
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
        Ok(Ok(link)) => {
            state.connections.keep(server, link, None, state.now());
            false
        }
        Ok(Err(fault)) if fault.kind() == ErrorKind::ConnectionRefused => {
            let ended = wait_until_closed(state, server).await;
            if ended {
                state.connections.record_exit(server, state.now());
            }
            ended
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Returns whether all idle connections to a server are closed, or are in a moment: that one has
/// closed is seen when its task runs, which may be after the probe has been refused.
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
