//! One try at one server: the request goes out, the head of the answer comes in and is
//! checked.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::{RequestId, ServerId, TierRank};
use flaxtide_policy::{
    Fingerprint, RouteChoice, RouteFault, StatedRate, request_fingerprint,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, StatusCode, Uri};

use crate::contract::UpstreamHead;
use crate::state::TrafficState;
use crate::upstream::{ServerLink, connect};

/// Headers that concern one connection only, besides those that `Connection` names.
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// How often a request is written anew because a kept connection turned out to be closed
/// before any byte of it was written.
const STALE_LINKS: usize = 3;

/// How long the rest of a refusal may take.
const REFUSAL_REST: Duration = Duration::from_millis(500);

/// A caller's request, read whole.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers, without those that concern one connection only.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
    /// What identifies it.
    pub(crate) attempt: Option<String>,
    /// The caller's organisation, as servers are told.
    pub(crate) organisation: Option<String>,
    /// The tier, as engines are told.
    pub(crate) tier: Option<TierRank>,
    /// Tokens of its prompt.
    pub(crate) tokens: u32,
    /// Whether the answer is a stream of events.
    pub(crate) streams: bool,
    /// What tells it when it comes again, once that has been asked for.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
}

impl CallerRequest {
    /// Returns what tells it when it comes again. Hashing its body is put off until then: a
    /// request whose servers go on needs none.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let caller = self.organisation.as_deref();
        *self
            .fingerprint
            .get_or_init(|| request_fingerprint(path, caller, &self.body))
    }
}

/// The start of an answer that passes for right.
pub(crate) struct ResponseStart {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers, without those that concern one connection only.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: UpstreamBody,
}

/// The body of an answer, as it comes over its connection.
pub(crate) struct UpstreamBody {
    /// The body.
    body: Incoming,
    /// Its connection.
    link: Option<ServerLink>,
    /// The server.
    server: ServerId,
    /// For how long the server keeps the connection.
    keep_alive: Option<Duration>,
}

impl UpstreamBody {
    /// Returns the next bytes of the body; nothing at its end.
    ///
    /// # Errors
    ///
    /// [`RouteFault::Broken`] if the connection broke before the end.
    pub(crate) async fn next(
        &mut self,
        state: &TrafficState,
    ) -> Result<Option<Bytes>, RouteFault> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => {
                    self.link = None;
                    return Err(RouteFault::Broken);
                }
                None => {
                    if let Some(link) = self.link.take() {
                        state.links.keep(self.server, link, self.keep_alive, state.now());
                    }
                    return Ok(None);
                }
            }
        }
    }
}

/// One try of a request at a server.
pub(crate) struct ServerTry<'a> {
    /// The number of the request.
    pub(crate) number: RequestId,
    /// Which server, and why.
    pub(crate) choice: &'a RouteChoice,
    /// How long the server may take.
    pub(crate) left: Duration,
    /// The last event of a stream with which the server is to go on.
    pub(crate) last_event: Option<u64>,
    /// Whether it goes over a new connection, which shows that the server is in reach.
    pub(crate) fresh: bool,
}

/// Sends a request to a server and checks the head of the answer.
///
/// # Errors
///
/// Returns what went wrong; [`RouteFault::not_run`] tells whether it promises that the
/// request hasn't run.
pub(crate) async fn exchange(
    state: &Rc<TrafficState>,
    request: &CallerRequest,
    attempt: ServerTry<'_>,
) -> Result<ResponseStart, RouteFault> {
    let ServerTry { number, choice, left, last_event, fresh } = attempt;
    let server = choice.server;
    let name = state.server_name(server).ok_or(RouteFault::Unreachable)?;
    let address = state.server_address(server).ok_or(RouteFault::Unreachable)?;
    let fetch_from = choice.fetch.and_then(|fetch| state.server_address(fetch.from));
    let head = UpstreamHead {
        time_left: left,
        server: &name,
        organisation: request.organisation.as_deref(),
        tier: request.tier,
        fetch_from,
    };
    let mut outgoing = build(state, request, &head, last_event);
    for _ in 0..STALE_LINKS {
        let kept = if fresh { None } else { state.links.take(server, state.now()) };
        let mut link = match kept {
            Some(link) => link,
            None => connect(&state.links, address)
                .await
                .map_err(|_| RouteFault::Unreachable)?,
        };
        // The server may have asked for less while this one waited for its connection.
        if !state.with_router(|core, now| core.permit_send(number, now)) {
            state.links.keep(server, link, None, state.now());
            return Err(RouteFault::Withheld);
        }
        let sent = state.now();
        let kind = if link.used { "kept" } else { "new" };
        link.used = true;
        state.metrics.connections.with_label_values(&[kind]).inc();
        match link.sender.try_send_request(outgoing).await {
            Ok(answer) => return check(state, request, server, sent, link, answer),
            Err(mut fault) => match fault.take_message() {
                // Nothing of it was written.
                Some(unsent) => outgoing = unsent,
                None => return Err(RouteFault::Broken),
            },
        }
    }
    Err(RouteFault::Unreachable)
}

/// Builds the request for a server.
fn build(
    state: &TrafficState,
    request: &CallerRequest,
    head: &UpstreamHead<'_>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    state.dialect.write_request(&mut headers, head);
    if let Some(event) = last_event {
        state.dialect.write_resume(&mut headers, event);
    }
    if !request.body.is_empty() || request.method == Method::POST {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Checks the head of an answer.
fn check(
    state: &Rc<TrafficState>,
    request: &CallerRequest,
    server: ServerId,
    sent: Duration,
    link: ServerLink,
    answer: Response<Incoming>,
) -> Result<ResponseStart, RouteFault> {
    let (parts, body) = answer.into_parts();
    let head = state.dialect.read_response(parts.status.as_u16(), &parts.headers);
    if head.replaced {
        return Err(RouteFault::Replaced);
    }
    // Another request's answer is that of a connection which can't be trusted any more.
    let ours = head.attempt_id == request.attempt;
    if ours || (head.not_run && head.attempt_id.is_none()) {
        let mut statement = head.statement;
        let vouches = parts.status.is_success() && head.sealed;
        if statement.rate == StatedRate::Unlimited && !vouches {
            statement.rate = StatedRate::Unstated;
        }
        state.pushback.apply_statement(state, server, statement, sent);
    }
    if head.not_run && (ours || head.attempt_id.is_none()) {
        let link = Some(link);
        let keep_alive = head.keep_alive;
        keep_refusing(state, UpstreamBody { body, link, server, keep_alive });
        return Err(RouteFault::Full);
    }
    if !ours || (parts.status.is_success() && !head.sealed) {
        return Err(RouteFault::Broken);
    }
    let promises = [429, 503, 408, 421].contains(&parts.status.as_u16());
    if promises || parts.status.is_redirection() {
        // A server's own word for it that doesn't say that it hasn't run.
        return Err(RouteFault::Failed);
    }
    let mut headers = parts.headers;
    strip_hop_headers(&mut headers);
    let keep_alive = head.keep_alive;
    let body = UpstreamBody { body, link: Some(link), server, keep_alive };
    Ok(ResponseStart { status: parts.status, headers, body })
}

/// Reads the rest of a refusal beside, so that its connection can be kept.
fn keep_refusing(state: &Rc<TrafficState>, mut rest: UpstreamBody) {
    let state = state.clone();
    tokio::task::spawn_local(async move {
        let read = async { while let Ok(Some(_)) = rest.next(&state).await {} };
        // A refusal that doesn't end in time ends with its connection.
        let _ = tokio::time::timeout(REFUSAL_REST, read).await;
    });
}

/// Takes away the headers that concern one connection only.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
