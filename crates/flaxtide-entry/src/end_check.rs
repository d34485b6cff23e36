//! Proves that a server process has outlived the end of a connection. A process that is killed closes
//! its connections as one does that has finished its response, and another process may accept
//! connections at its address at once. So only an answer of the same incarnation proves it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::ServerId;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use tokio::sync::oneshot;

use crate::body::{UpstreamBody, drain_refusal};
use crate::contract::ResponseHead;
use crate::state::TrafficState;
use crate::upstream::{ServerConnection, connect};

/// How long a server may take to answer a check. An end that is seen during one waits for the next.
/// Callers wait for at least two seconds for the end of what they have, so this leaves time for another
/// server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// The time after which a server stops to queue a check. It is shorter than the time-out, so that a
/// server without a free slot still answers in time.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long to wait before another connection is opened after one was reset.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How many kept connections are tried that turn out to be closed, before one is opened.
const MAX_KEPT_CONNECTIONS: usize = 2;

/// A server, as a check addresses it.
#[derive(Debug, Clone)]
pub(crate) struct CheckTarget {
    /// The incarnation that must answer.
    pub(crate) server: ServerId,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The path and query of the health check of its service.
    pub(crate) path: String,
}

/// What a check has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckOutcome {
    /// The incarnation lives.
    Answered,
    /// Another one answers at its address, or none.
    Gone,
    /// The connection has brought no answer to the check.
    Unknown,
}

/// The ends of connections that wait for a check, by server. A server without an entry isn't being
/// checked.
#[derive(Default)]
pub(crate) struct EndChecks(RefCell<HashMap<ServerId, Vec<oneshot::Sender<bool>>>>);

impl EndChecks {
    /// Adds an end that waits for the next check. Returns whether the server isn't being checked.
    fn add(&self, server: ServerId, waiter: oneshot::Sender<bool>) -> bool {
        let mut checks = self.0.borrow_mut();
        let is_new = !checks.contains_key(&server);
        checks.entry(server).or_default().push(waiter);
        is_new
    }

    /// Takes the ends that wait for the next check, or `None` after the last one.
    fn take(&self, server: ServerId) -> Option<Vec<oneshot::Sender<bool>>> {
        let mut checks = self.0.borrow_mut();
        let waiting = std::mem::take(checks.get_mut(&server)?);
        if waiting.is_empty() {
            checks.remove(&server);
            return None;
        }
        Some(waiting)
    }
}

/// Returns whether a server answers a check that is sent from now on. One check serves all ends that
/// were seen before it was sent.
pub(crate) async fn has_outlived_end(
    state: &Rc<TrafficState>,
    target: CheckTarget,
) -> bool {
    let (waiter, answered) = oneshot::channel();
    if state.end_checks.add(target.server, waiter) {
        tokio::task::spawn_local(run_checks(state.clone(), target));
    }
    answered.await.unwrap_or(false)
}

/// Checks a server until no end waits for it any more.
async fn run_checks(state: Rc<TrafficState>, target: CheckTarget) {
    while let Some(waiting) = state.end_checks.take(target.server) {
        let checked = tokio::time::timeout(CHECK_TIMEOUT, is_answered(&state, &target));
        let answered = checked.await.unwrap_or(false);
        for waiter in waiting {
            // Its caller may have left.
            let _ = waiter.send(answered);
        }
    }
}

/// Checks a server until it is told whether the same incarnation answers.
async fn is_answered(state: &Rc<TrafficState>, target: &CheckTarget) -> bool {
    let Some(name) = state.server_name(target.server) else { return false };
    let mut kept_left = MAX_KEPT_CONNECTIONS;
    loop {
        let kept = match kept_left {
            0 => None,
            _ => state.connections.take(target.server, state.now()),
        };
        kept_left = if kept.is_some() { kept_left - 1 } else { 0 };
        let is_kept = kept.is_some();
        match send_check(state, target, &name, kept).await {
            CheckOutcome::Answered => return true,
            CheckOutcome::Gone => return false,
            CheckOutcome::Unknown if is_kept => {}
            // A server resets connections beyond its limit.
            CheckOutcome::Unknown => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}

/// Sends a check over a kept connection, or a new one.
async fn send_check(
    state: &Rc<TrafficState>,
    target: &CheckTarget,
    name: &str,
    kept: Option<ServerConnection>,
) -> CheckOutcome {
    let connected = match kept {
        Some(connection) => Ok(connection),
        None => connect(&state.connections, target.address).await,
    };
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return CheckOutcome::Gone;
        }
        Err(_) => return CheckOutcome::Unknown,
    };
    let Some(request) = build_check(state, target, name) else {
        return CheckOutcome::Gone;
    };
    connection.used = true;
    connection.limit.record_progress();
    let Ok(response) = connection.sender.try_send_request(request).await else {
        return CheckOutcome::Unknown;
    };
    let (parts, body) = response.into_parts();
    let head = state.dialect.read_response(parts.status.as_u16(), &parts.headers);
    // Its requests and responses no longer correspond, so it is closed.
    if head.attempt_id.is_some() {
        return CheckOutcome::Unknown;
    }
    let body = UpstreamBody::new(
        &parts.headers,
        body,
        connection,
        target.server,
        head.keep_alive,
    );
    drain_refusal(state, body);
    match is_from(&head, name) {
        true => CheckOutcome::Answered,
        false => CheckOutcome::Gone,
    }
}

/// Builds a check. Returns `None` if the path of the service's health check isn't one.
fn build_check(
    state: &TrafficState,
    target: &CheckTarget,
    name: &str,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = target.path.parse().ok()?;
    let host = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    state.dialect.write_check(request.headers_mut(), name, QUEUE_TIMEOUT);
    Some(request)
}

/// Returns whether a response to a check is one of the server with a name: it says so, or it refuses
/// what is meant for that server only.
fn is_from(head: &ResponseHead, name: &str) -> bool {
    let is_named = head.server.as_deref().map_or(head.not_run, |server| server == name);
    is_named && !head.replaced
}
