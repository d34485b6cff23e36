//! Proves that a server process has outlived the end of a connection. A process that is killed closes
//! its connections as one does that has finished its response, and another process may accept
//! connections at its address at once. So only an answer of the same incarnation proves it.

use std::cell::RefCell;
use std::collections::HashMap;
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
use crate::upstream::connect;

/// How long a server may take to answer a check. An end that is seen during one waits for the next.
/// Callers wait for at least two seconds for the end of what they have, so this leaves time for another
/// server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

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

/// Sends a check, and returns whether the same incarnation answers it.
async fn is_answered(state: &Rc<TrafficState>, target: &CheckTarget) -> bool {
    let Some(name) = state.server_name(target.server) else { return false };
    for tried in 0..=MAX_KEPT_CONNECTIONS {
        let kept = match tried {
            MAX_KEPT_CONNECTIONS => None,
            _ => state.connections.take(target.server, state.now()),
        };
        let is_kept = kept.is_some();
        let connected = match kept {
            Some(connection) => Ok(connection),
            None => connect(&state.connections, target.address).await,
        };
        let Ok(mut connection) = connected else { return false };
        let Some(request) = build_check(state, target, &name) else { return false };
        connection.used = true;
        connection.limit.record_progress();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                let status = parts.status.as_u16();
                let head = state.dialect.read_response(status, &parts.headers);
                let body = UpstreamBody::new(
                    &parts.headers,
                    body,
                    connection,
                    target.server,
                    head.keep_alive,
                );
                drain_refusal(state, body);
                return is_from(&head, &name);
            }
            Err(_) if is_kept => {}
            Err(_) => return false,
        }
    }
    false
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
    state.dialect.write_check(request.headers_mut(), name);
    Some(request)
}

/// Returns whether a response to a check is one of the server with a name: it says so, or it refuses
/// what is meant for that server only. A response with the id of a request answers an earlier one.
fn is_from(head: &ResponseHead, name: &str) -> bool {
    let is_named = head.server.as_deref().map_or(head.not_run, |server| server == name);
    is_named && !head.replaced && head.attempt_id.is_none()
}
