//! One attempt at one server: sends the request and checks the head of the response.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::{RequestId, ServerId, TierRank, is_final_status};
use flaxtide_policy::{
    Fingerprint, RouteChoice, RouteFault, StatedRate, VersionKey, request_fingerprint,
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response;
use hyper::{Method, Request, Response, StatusCode, Uri};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::body::{UpstreamBody, drain_refusal};
use crate::contract::{ResponseHead, UpstreamHead};
use crate::forward::{PeerReply, check_forwarded_head, forwarded_headers};
use crate::state::TrafficState;
use crate::upstream::{ServerConnection, connect};

/// Headers that aren't forwarded: hop-by-hop ones, in addition to those that `Connection` names,
/// and `Content-Length` and `Expect`, which the instance handles itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// How many connections are tried for a request, as long as each turns out to be closed before
/// any byte was written.
const MAX_STALE_CONNECTIONS: usize = 3;

/// A caller's request with its whole body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers, without hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    /// The whole body.
    pub(crate) body: Bytes,
    /// The caller's ID of this attempt, which the server's response must repeat.
    pub(crate) attempt_id: Option<String>,
    /// The caller's organisation, as passed to servers.
    pub(crate) organisation: Option<String>,
    /// The tier, as passed to engines; `None` for plain servers.
    pub(crate) tier: Option<TierRank>,
    /// The number of tokens of the prompt.
    pub(crate) tokens: u32,
    /// Whether the response is a stream of events.
    pub(crate) streams: bool,
    /// The keys of the parts of its prompt that other requests may have too.
    pub(crate) shared_parts: Vec<u64>,
    /// Identifies repeats of the request. Computed on first use.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
}

impl CallerRequest {
    /// Returns the fingerprint that identifies repeats of the request. It hashes the body, so
    /// it isn't computed before a server has crashed.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let caller = self.organisation.as_deref();
        *self
            .fingerprint
            .get_or_init(|| request_fingerprint(path, caller, &self.body))
    }

    /// Returns a hash that repeats of the request have too. Unlike a fingerprint, it is cheap
    /// enough for each request, and means nothing to other instances.
    pub(crate) fn digest(&self) -> u64 {
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let caller = self.organisation.as_deref().unwrap_or_default();
        let seed = xxh3_64_with_seed(caller.as_bytes(), xxh3_64(path.as_bytes()));
        xxh3_64_with_seed(&self.body, seed)
    }
}

/// The head of an accepted response, and its body still to be read.
pub(crate) struct ResponseStart {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The headers, without hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    /// The body, still to be read.
    pub(crate) body: UpstreamBody,
    /// The version of the server, if the request was forwarded and the peer states it.
    pub(crate) peer_version: Option<VersionKey>,
}

/// The parameters of one attempt of a request at a server.
pub(crate) struct ServerAttempt<'a> {
    /// The ID under which the router knows the request.
    pub(crate) request_id: RequestId,
    /// The server that the router chose.
    pub(crate) choice: &'a RouteChoice,
    /// How long the server may take.
    pub(crate) time_left: Duration,
    /// The last event that the caller has of a stream, after which the server is to resume.
    pub(crate) last_event: Option<u64>,
    /// Whether to open a new connection, which proves that the server is reachable.
    pub(crate) new_connection: bool,
}

/// Why an attempt has brought no response of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum SendFault {
    /// The attempt failed.
    Fault(RouteFault),
    /// The peer that the request was forwarded to responds itself.
    Refused(PeerReply),
}

impl From<RouteFault> for SendFault {
    fn from(fault: RouteFault) -> Self {
        Self::Fault(fault)
    }
}

/// Sends a request to a server, or to the peer that forwards it, and checks the head of the
/// response.
///
/// # Errors
///
/// Returns the fault; [`RouteFault::not_run`] tells whether it guarantees that the request
/// hasn't run.
pub(crate) async fn send_attempt(
    state: &Rc<TrafficState>,
    request: &CallerRequest,
    attempt: ServerAttempt<'_>,
) -> Result<ResponseStart, SendFault> {
    let ServerAttempt {
        request_id,
        choice,
        time_left,
        last_event,
        new_connection,
    } = attempt;
    let server = choice.server;
    let peer = state.forward_peers.find(server);
    let (address, headers) = match &peer {
        Some((address, _)) => {
            (*address, forwarded_headers(state, request, request_id, time_left))
        }
        None => {
            let address = state.server_address(server).ok_or(RouteFault::Unreachable)?;
            (address, server_headers(state, request, choice, time_left)?)
        }
    };
    let mut outgoing = build_request(state, request, headers, last_event);
    let max_wait = time_left.min(state.config().leave_within);
    for _ in 0..MAX_STALE_CONNECTIONS {
        // Without an id, a late answer to an earlier request can't be told apart.
        let is_nameless = peer.is_none() && request.attempt_id.is_none();
        let idle = if new_connection || is_nameless {
            None
        } else {
            state.connections.take(server, state.now())
        };
        let mut conn = match idle {
            Some(conn) => conn,
            None => connect(&state.connections, address)
                .await
                .map_err(|_| RouteFault::Unreachable)?,
        };
        if peer.is_none() {
            // The server may have pushed back while the connection was being opened.
            let list_age = state.source.list_age();
            if !list_age.wait_until(|| state.permits_write(), max_wait).await
                || !state.permits_request(request_id)
            {
                state.connections.keep(server, conn, None, state.now());
                return Err(RouteFault::Withheld.into());
            }
            let state = state.clone();
            conn.gate
                .arm(move || state.permits_write() && state.permits_request(request_id));
        }
        let sent = state.now();
        let is_kept = conn.used;
        let kind = if is_kept { "kept" } else { "new" };
        conn.used = true;
        conn.limit.record_progress();
        state.metrics.connections.with_label_values(&[kind]).inc();
        match conn.sender.try_send_request(outgoing).await {
            Ok(resp) if peer.is_some() => {
                return check_forwarded_head(
                    state, request, request_id, server, conn, resp,
                );
            }
            Ok(resp) => {
                let sent = SentRequest { request, server, sent_at: sent, is_kept };
                let checked = check_head(state, sent, conn, resp);
                return checked.map_err(SendFault::Fault);
            }
            Err(_) if conn.gate.has_rejected() => return Err(RouteFault::Withheld.into()),
            Err(mut error) => match error.take_message() {
                // No byte of it was written, so it can be sent again.
                Some(unsent) => outgoing = unsent,
                None => return Err(RouteFault::Broken.into()),
            },
        }
    }
    Err(RouteFault::Unreachable.into())
}

impl TrafficState {
    /// Returns whether the server list is new enough to write a request by it.
    fn permits_write(&self) -> bool {
        let now = self.source.clock().now();
        let is_late = self.lateness.is_late(self.now());
        self.source.list_age().permits_write(now, is_late)
    }

    /// Returns whether the server that was chosen for a request still takes it.
    fn permits_request(&self, request: RequestId) -> bool {
        self.with_router(|core, now| core.permit_send(request, now))
    }
}

/// Builds the headers of a request as the server gets it.
fn server_headers(
    state: &TrafficState,
    request: &CallerRequest,
    choice: &RouteChoice,
    time_left: Duration,
) -> Result<HeaderMap, RouteFault> {
    let name = state.server_name(choice.server).ok_or(RouteFault::Unreachable)?;
    let fetch_from = choice.fetch.and_then(|fetch| state.server_address(fetch.from));
    let head = UpstreamHead {
        time_left,
        server: &name,
        organisation: request.organisation.as_deref(),
        tier: request.tier,
        fetch_from,
    };
    let mut headers = request.headers.clone();
    state.dialect.write_request(&mut headers, &head);
    Ok(headers)
}

/// Builds a request with its final headers.
fn build_request(
    state: &TrafficState,
    request: &CallerRequest,
    mut headers: HeaderMap,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    if let Some(event) = last_event {
        state.dialect.write_resume(&mut headers, event);
    }
    if !request.body.is_empty() || request.method == Method::POST {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    *outgoing.headers_mut() = headers;
    outgoing
}

/// A request that has been sent to a server.
#[derive(Clone, Copy)]
struct SentRequest<'a> {
    /// The caller's request.
    request: &'a CallerRequest,
    /// The server.
    server: ServerId,
    /// When it was sent.
    sent_at: Duration,
    /// Whether the connection had brought an earlier request.
    is_kept: bool,
}

impl SentRequest<'_> {
    /// Returns whether a response is the one to this request: it repeats the id, or it refuses a
    /// request without naming one on a connection that has brought no other. On a kept connection,
    /// a response without an id may be a second one to an earlier request.
    fn is_answered_by(&self, head: &ResponseHead) -> bool {
        let is_refusal = head.replaced || head.not_run;
        head.attempt_id == self.request.attempt_id
            || (head.attempt_id.is_none() && is_refusal && !self.is_kept)
    }
}

/// Checks the head of a response.
fn check_head(
    state: &Rc<TrafficState>,
    sent: SentRequest<'_>,
    connection: ServerConnection,
    response: Response<Incoming>,
) -> Result<ResponseStart, RouteFault> {
    let server = sent.server;
    let (parts, body) = response.into_parts();
    if !is_final_status(parts.status.as_u16()) {
        return Err(RouteFault::Broken);
    }
    let head = state.dialect.read_response(parts.status.as_u16(), &parts.headers);
    // A response to another request decides nothing about this one, which may be running, and
    // shows that the connection's requests and responses no longer correspond, so the connection
    // isn't reused.
    if !sent.is_answered_by(&head) {
        return Err(RouteFault::Broken);
    }
    // Another server has taken over the address.
    if head.replaced {
        return Err(RouteFault::Replaced);
    }
    apply_statement(state, sent, &parts, &head);
    if head.not_run {
        let body =
            UpstreamBody::new(&parts.headers, body, connection, server, head.keep_alive);
        drain_refusal(state, body);
        return Err(RouteFault::Full);
    }
    if parts.status.is_success() && !head.sealed {
        return Err(RouteFault::Broken);
    }
    if claims_not_run(parts.status) || parts.status.is_redirection() {
        // These statuses usually mean that a request hasn't run, but the response lacks the
        // header that guarantees it.
        return Err(RouteFault::Failed);
    }
    let body =
        UpstreamBody::new(&parts.headers, body, connection, server, head.keep_alive);
    Ok(start_response(parts, body))
}

/// Applies what the response to a request states about its server.
fn apply_statement(
    state: &TrafficState,
    sent: SentRequest<'_>,
    parts: &response::Parts,
    head: &ResponseHead,
) {
    let mut statement = head.statement;
    // A response without a rate limit lifts an earlier limit only if it is a success whose seal
    // header shows that the server vouches for it.
    let is_sealed_success = parts.status.is_success() && head.sealed;
    if statement.rate == StatedRate::Unlimited && !is_sealed_success {
        statement.rate = StatedRate::Unstated;
    }
    state
        .pushback
        .apply_statement(state, sent.server, statement, sent.sent_at);
}

/// Returns whether a status usually means that a request hasn't run.
pub(crate) fn claims_not_run(status: StatusCode) -> bool {
    [429, 503, 408, 421].contains(&status.as_u16())
}

/// Builds the start of an accepted response.
pub(crate) fn start_response(
    parts: response::Parts,
    body: UpstreamBody,
) -> ResponseStart {
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    ResponseStart {
        status: parts.status,
        headers,
        body,
        peer_version: None,
    }
}

/// Removes the hop-by-hop headers.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
