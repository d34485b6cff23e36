//! Determines whether a server process has exited, or only a connection to it has broken.

use std::io::ErrorKind;
use std::time::Duration;

use flaxtide_core::ServerId;
use futures::future::join_all;

use crate::exchange::CallerRequest;
use crate::open_call::OpenCall;
use crate::state::TrafficState;
use crate::upstream::connect;

/// How long a server whose connection broke may take to accept or refuse another one. A
/// running machine answers within a few milliseconds, and the request waits for the result.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The time within which a path that is cut fails for all servers.
const CUT_SPREAD: Duration = Duration::from_millis(20);

/// The most servers of the same pool that are probed to tell the exit of a server from a cut path.
const MAX_PROBED_NEIGHBOURS: usize = 4;

/// At least this many servers of the same pool speak for the path to it, whether they have failed before
/// or not. A single one may be dead and still listed.
const MIN_NEIGHBOURS: usize = 2;

/// How often idle connections are checked for having closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How long the result that a server has exited is reused: dozens of requests that ran there
/// need it within this time, so that one probe serves most of them.
const EXIT_VALIDITY: Duration = Duration::from_millis(500);

/// Adds to the crash log if a server has exited whose connection broke while it ran a request.
pub(crate) async fn record_broken(
    call: &OpenCall,
    request: &CallerRequest,
    server: ServerId,
) {
    let state = &call.state;
    let progress = state.with_router(|core, _| core.progress(call.request_id));
    let Some(progress) = progress else { return };
    if server_has_exited(state, server, progress.sent).await {
        let proven = call.parts_proven.get();
        state
            .quarantine
            .record_crash(state, request, server, progress, proven);
    }
}

/// Returns whether a server has exited, after a connection broke over which it got a request at
/// `sent`: its address refuses connections, no connection to it is left, and the path to its data
/// centre is open. A server that closes or resets single connections still listens. An unreachable
/// one may seem to refuse connections if the path of this instance is cut, but then all servers do.
/// If a probe connects, its connection is kept for the next request.
async fn server_has_exited(
    state: &TrafficState,
    server: ServerId,
    sent: Duration,
) -> bool {
    let now = state.now();
    if state
        .connections
        .exited_at(server)
        .is_some_and(|at| now < at + EXIT_VALIDITY)
    {
        return true;
    }
    let doubt = match probe(state, server).await {
        Some(ErrorKind::ConnectionRefused) => find_doubt(state, server, sent).await,
        Some(_) => Some("not refused"),
        None => Some("accepts connections"),
    };
    match doubt {
        Some(doubt) => log::info!(
            server = state.server_name(server).unwrap_or_default(), doubt;
            "server not taken to have exited"
        ),
        None => state.connections.record_exit(server, state.now()),
    }
    doubt.is_none()
}

/// Returns what speaks against the exit of a server that refuses connections, if anything does.
async fn find_doubt(
    state: &TrafficState,
    server: ServerId,
    sent: Duration,
) -> Option<&'static str> {
    if !wait_until_closed(state, server).await {
        Some("a connection is open")
    } else if !path_is_open(state, server, sent).await {
        Some("no control is reached")
    } else {
        None
    }
}

/// Opens a connection to a server, and keeps it for requests. Returns the error if it can't be
/// opened in time.
async fn probe(state: &TrafficState, server: ServerId) -> Option<ErrorKind> {
    let Some(address) = state.server_address(server) else {
        return Some(ErrorKind::AddrNotAvailable);
    };
    let connecting = connect(&state.connections, address);
    let error = match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => {
            state.connections.keep(server, connection, None, state.now());
            None
        }
        Ok(Err(error)) => Some(error.kind()),
        Err(_) => Some(ErrorKind::TimedOut),
    };
    if error.is_some() {
        // A connection that has been accepted may still be reset.
        state.with_router(|core, now| core.record_probe(server, false, now));
    }
    error
}

/// Returns whether another server is reached by which the exit of `server` is told from the failure
/// of the path to it, or there is none.
async fn path_is_open(state: &TrafficState, server: ServerId, sent: Duration) -> bool {
    let controls = find_controls(state, server, sent);
    if controls.is_empty() {
        // All that there are may have failed while kept connections lived on.
        let any = Duration::ZERO;
        let all = state.with_router(|core, now| core.control_servers(server, any, now));
        return all.is_empty();
    }
    tokio::time::sleep(CUT_SPREAD).await;
    if reaches_any(state, &controls).await {
        return true;
    }
    // If the controls have exited themselves, they say nothing of the path.
    if !controls.iter().all(|control| has_exited(state, *control)) {
        return false;
    }
    let others = state.with_router(|core, now| core.neighbour_servers(server, sent, now));
    reaches_any(state, &others).await
}

/// Returns a few servers by which the exit of `server` is told from the failure of the path to it: those
/// of its pool in its data centre that aren't known to have exited, also if they have failed. If the
/// paths to all of them are cut, those to other pools may be open.
fn find_controls(
    state: &TrafficState,
    server: ServerId,
    sent: Duration,
) -> Vec<ServerId> {
    let neighbours = state.with_router(|core, now| core.pool_neighbours(server, now));
    let alive = neighbours.into_iter().filter(|other| !has_exited(state, *other));
    let alive: Vec<ServerId> = alive.take(MAX_PROBED_NEIGHBOURS).collect();
    if alive.len() >= MIN_NEIGHBOURS {
        return alive;
    }
    state.with_router(|core, now| core.control_servers(server, sent, now))
}

/// Returns whether a server is known to have exited, here or at a peer.
fn has_exited(state: &TrafficState, server: ServerId) -> bool {
    state.connections.exited_at(server).is_some()
        || state.quarantine.has_crashed(state, server)
}

/// Returns whether any of some servers is reached.
async fn reaches_any(state: &TrafficState, servers: &[ServerId]) -> bool {
    let probes = servers.iter().map(|server| probe(state, *server));
    join_all(probes).await.iter().any(Option::is_none)
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
