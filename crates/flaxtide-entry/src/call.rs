//! The path of one request from its head to the start of the response.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::TierRank;
use flaxtide_fleet::fleet_key;
use flaxtide_policy::{QUEUE_WAIT_DIVISOR, RegionKey, RouteCall};
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;

use crate::attempts::run_attempts;
use crate::contract::{RequestClass, RequestHead};
use crate::duty::CallUsage;
use crate::exchange::{CallerRequest, strip_hop_by_hop_headers};
use crate::forward::{CarriedCall, ForwardHead, PeerReply, ServerSends};
use crate::open_call::{MAX_RETRY_AFTER, OpenCall, RETRY_DIVISOR};
use crate::reply::{CallerResponse, LocalReply};
use crate::routes::{CallerIdentity, ClassMatch};
use crate::state::{ShutdownPhase, TrafficState};
use crate::stop::ReceivingGuard;
use crate::uploads::{UploadFault, receive_upload};
use crate::versions::{StreamIdentity, find_version};

/// A request waits for newer rules for its target time divided by this, so that the caller can still
/// be served in time elsewhere.
const RULES_WAIT_DIVISOR: u32 = 4;

/// A body waits for memory for the target time of its class divided by this, so that the caller can
/// still be served in time elsewhere.
const ROOM_WAIT_DIVISOR: u32 = 4;

/// The longest time for which a request waits for newer rules.
const MAX_RULES_WAIT: Duration = Duration::from_millis(250);

/// When callers come back that were turned away because of outdated rules. Other instances have
/// the newer ones.
const RULES_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Stands for the organisation of requests that have none.
const NO_ORGANISATION: u16 = u16::MAX;

/// Who sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// A caller.
    Caller,
    /// A peer that forwards a caller's request.
    Peer,
}

/// Responds to one request of a caller, or to one that a peer forwards.
pub(crate) async fn serve_request(
    state: Rc<TrafficState>,
    request: Request<Incoming>,
    source: RequestSource,
) -> CallerResponse {
    // hyper ignores Content-Length beside chunked encoding. The sender may regard the bytes
    // after such a request as part of its body, so they must not be read as another request
    // (request smuggling): the connection is closed.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let received_at = state.now();
    let stated_bytes = request.body().size_hint().exact();
    let mut response = match handle_request(&state, request, source).await {
        Ok(response) => response,
        Err(Rejection { reply, attempt_id, retry_after }) => {
            let reply = reply.defer_to_newer_rules(!state.permits_denial());
            state.metrics.ends.with_label_values(&[reply.name()]).inc();
            let version = state.route_table().map(|table| table.version);
            let spent = state.now().saturating_sub(received_at);
            log::info!(
                request = attempt_id, outcome = reply.name(),
                spent_ms = spent.as_millis() as u64, stated_bytes:?, rules_version = version.unwrap_or_default(),
                rules_lag_ms = state.rules_lag_ms();
                "turned away"
            );
            let retry_after = retry_after.or(match reply {
                LocalReply::NoRules | LocalReply::VersionUnknown => Some(MAX_RETRY_AFTER),
                LocalReply::OutdatedRules => Some(RULES_RETRY_AFTER),
                LocalReply::Stopping => Some(Duration::ZERO),
                _ => None,
            });
            reply.into_response(retry_after)
        }
    };
    let own_reply = response.extensions().get::<LocalReply>().copied();
    if let (RequestSource::Peer, Some(reply)) = (source, own_reply) {
        let sends = response.extensions().get::<ServerSends>().copied();
        PeerReply::mark(reply, sends.unwrap_or_default(), response.headers_mut());
    }
    if chunked || state.phase() >= ShutdownPhase::Closing {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Why a request is rejected before it is passed to the router.
struct Rejection {
    /// The reply.
    reply: LocalReply,
    /// The caller's attempt ID.
    attempt_id: String,
    /// When the caller should come back, if that doesn't follow from the reply.
    retry_after: Option<Duration>,
}

/// What the rules in force say about a request.
struct MatchedRules {
    /// The request class.
    class: ClassMatch,
    /// The caller, as its key identifies it.
    caller: CallerIdentity,
    /// The tier of the request, from its class and its organisation.
    tier: TierRank,
    /// The urgency of the class among all classes; 0 is the most urgent.
    urgency_level: u8,
    /// The service that gets the request, and whether its servers are engines; `None` if the
    /// class has no service.
    service: Option<(String, bool)>,
    /// The largest body that is accepted.
    max_body_bytes: usize,
    /// The regions whose servers may get the request, or `None` for all.
    regions: Option<Arc<[RegionKey]>>,
}

/// Reads a request, matches it against the rules and runs it.
async fn handle_request(
    state: &Rc<TrafficState>,
    request: Request<Incoming>,
    source: RequestSource,
) -> Result<CallerResponse, Rejection> {
    let received_at = state.now();
    let receiving = ReceivingGuard::new(state);
    let (mut parts, body) = request.into_parts();
    let head = state.dialect.read_request(&parts.headers);
    let attempt_id = head.attempt_id.clone().unwrap_or_default();
    let reject = |reply| Rejection {
        reply,
        attempt_id: attempt_id.clone(),
        retry_after: None,
    };
    let carried = take_carried(state, source, &mut parts.headers).map_err(reject)?;
    let matched = match_current_rules(state, &parts, &head).await.map_err(reject)?;
    let timeout = matched.class.class().timeout;
    let caller_waits = head.deadline.unwrap_or(timeout);
    let deadline = received_at + caller_waits.min(timeout);
    let body = receive_body(state, body, &matched, deadline).await;
    let body = body.map_err(|(reply, free_after)| {
        let longest = (received_at + caller_waits).saturating_sub(state.now());
        let longest = MAX_RETRY_AFTER.min(longest / RETRY_DIVISOR);
        let retry_after = free_after.map(|span| span.min(longest));
        Rejection { retry_after, ..reject(reply) }
    })?;
    let MatchedRules { class, caller, tier, urgency_level, .. } = matched;
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    let (service, is_engine) =
        matched.service.ok_or_else(|| reject(LocalReply::UnknownTarget))?;
    let stream = StreamIdentity::new(class.class(), &service, &head);
    let bound_version = match &carried {
        Some((forward, _)) => forward.bound_version,
        None => find_version(state, stream, &head).await.map_err(reject)?,
    };
    let request = CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        attempt_id: head.attempt_id.clone(),
        organisation: caller.name.clone(),
        tier: is_engine.then_some(tier),
        tokens: head.prompt.tokens,
        streams: class.class().kind.streams(),
        shared_parts: head.prompt.shared_parts().map(|part| part.key).collect(),
        fingerprint: OnceCell::new(),
    };
    // The peer that forwards a request counts it.
    let duties = state.duties.as_ref().filter(|_| carried.is_none());
    let usage =
        duties.map(|duties| CallUsage::new(duties, &service, caller.name.as_deref()));
    let (forward, carried) = carried.unzip();
    let mut call =
        OpenCall::new(state, class, attempt_id, &head, received_at, usage, carried);
    drop(receiving);
    call.service = service;
    call.stream = stream.filter(|_| !call.is_carried());
    let run_limit = call.class.class().attempt_limit;
    let route_call = RouteCall {
        request: call.request_id,
        pool: state.pool_id(&call.service),
        class: call.class.id,
        organisation: caller.organisation.unwrap_or(NO_ORGANISATION),
        tier,
        level: urgency_level,
        target: call.class.class().latency_target,
        give_up: call
            .deadline
            .min(received_at + call.class.class().latency_target / QUEUE_WAIT_DIVISOR),
        deadline: call.deadline,
        repeatable: call.class.class().kind.repeatable(),
        run_limit: forward.map_or(run_limit, |head| head.run_limit.min(run_limit)),
        regions: matched.regions,
        version: bound_version,
        begins_stream: stream.is_some() && bound_version.is_none(),
        prompt: head.prompt,
    };
    Ok(run_attempts(call, request, route_call).await)
}

/// Receives the body of a request that is answered by `deadline` at the latest.
///
/// # Errors
///
/// Returns an error if the body can't be received in time, or if the instance is stopping and the request
/// might not end before the process does.
async fn receive_body(
    state: &TrafficState,
    body: Incoming,
    matched: &MatchedRules,
    deadline: Duration,
) -> Result<Bytes, UploadFault> {
    let class = matched.class.class();
    let streams = class.kind.streams();
    if state.is_too_late_to_start(deadline, streams) {
        return Err((LocalReply::Stopping, None));
    }
    let patience = class.latency_target / ROOM_WAIT_DIVISOR;
    let receive = async {
        tokio::select! {
            biased;
            body = receive_upload(state, body, matched.max_body_bytes, patience) => body,
            () = state.wait_until_ending() => Err((LocalReply::Stopping, None)),
        }
    };
    let body = state.wait_until(deadline, receive).await;
    let body = body.unwrap_or(Err((LocalReply::BodyTooSlow, None)))?;
    // The body may have come slowly.
    if state.is_too_late_to_start(deadline, streams) {
        return Err((LocalReply::Stopping, None));
    }
    Ok(body)
}

/// Counts a forwarded request and removes the header with which it came. Returns `None` for a
/// request of a caller.
fn take_carried(
    state: &TrafficState,
    source: RequestSource,
    headers: &mut HeaderMap,
) -> Result<Option<(ForwardHead, CarriedCall)>, LocalReply> {
    if source == RequestSource::Caller {
        return Ok(None);
    }
    let head = ForwardHead::take(headers).ok_or(LocalReply::Malformed)?;
    if head.rules_version > state.rules_version() {
        return Err(LocalReply::OutdatedRules);
    }
    let carried = state.carried.take().ok_or(LocalReply::TooManyForwarded)?;
    Ok(Some((head, carried)))
}

/// Matches a request against the rules in force. If they are overdue, it waits for a moment: the
/// newer ones are on their way, and a peer has them if they don't come.
async fn match_current_rules(
    state: &TrafficState,
    parts: &Parts,
    head: &RequestHead,
) -> Result<MatchedRules, LocalReply> {
    let matched = match_rules(state, parts, head);
    if !state.has_overdue_rules() {
        return matched;
    }
    let target = matched.map(|matched| matched.class.class().latency_target);
    let wait = target.map_or(MAX_RULES_WAIT, |target| target / RULES_WAIT_DIVISOR);
    if !state.await_rules(wait.min(MAX_RULES_WAIT)).await {
        return Err(LocalReply::OutdatedRules);
    }
    match_rules(state, parts, head)
}

/// Matches a request against the rules in force. The result keeps no reference to the route
/// table, which would otherwise stay in memory until the request ends, although newer rules
/// may have replaced it.
fn match_rules(
    state: &TrafficState,
    parts: &Parts,
    head: &RequestHead,
) -> Result<MatchedRules, LocalReply> {
    let table = state.route_table().ok_or(LocalReply::NoRules)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(LocalReply::Malformed)?;
    let class = table
        .find_class(host, parts.uri.path())
        .ok_or(LocalReply::UnknownTarget)?;
    let caller = table.authenticate(class.class(), head.key.as_deref());
    let caller = caller.ok_or(LocalReply::UnknownKey)?;
    let service = class.draw_service(&mut *state.rng.borrow_mut()).map(str::to_owned);
    Ok(MatchedRules {
        tier: table.request_tier(&caller, class.class()),
        urgency_level: table.urgency_level(class.class()),
        service: service.map(|service| {
            let is_engine = table.is_engine(&service);
            (service, is_engine)
        }),
        max_body_bytes: table.limits.body_bytes,
        regions: allowed_regions(class.class(), &caller),
        class,
        caller,
    })
}

/// Returns the regions that both the class and the organisation of a caller allow, or
/// `None` if neither limits them.
fn allowed_regions(
    class: &RequestClass,
    caller: &CallerIdentity,
) -> Option<Arc<[RegionKey]>> {
    let limits = [class.regions.as_ref(), caller.regions.as_ref()];
    let mut limits = limits.into_iter().flatten();
    let first = limits.next()?;
    let second = limits.next();
    let allowed = first
        .iter()
        .filter(|region| second.is_none_or(|regions| regions.contains(region)));
    Some(allowed.map(|region| fleet_key(region)).collect())
}
