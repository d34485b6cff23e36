//! One request, from its head to the start of its answer.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxtide_core::TierRank;
use flaxtide_policy::{
    QUEUE_WAIT_DIVISOR, RefusalCause, RetryDecision, RouteAction, RouteCall,
};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;

use crate::contract::RequestHead;
use crate::duty::CallUsage;
use crate::exchange::{CallerRequest, strip_hop_headers};
use crate::open_call::{AttemptOutcome, LATEST_RETRY, OpenCall, RETRY_PART};
use crate::reply::{CallerResponse, LocalReply};
use crate::response::{Received, begin_stream, receive};
use crate::routes::{CallerIdentity, ClassMatch};
use crate::state::{LifePhase, TrafficState};

/// An organisation's number for requests without one.
const NO_ORGANISATION: u16 = u16::MAX;

/// Answers one request of a caller.
pub(crate) async fn serve(
    state: Rc<TrafficState>,
    request: Request<Incoming>,
) -> CallerResponse {
    // The HTTP library drops a length beside chunks. What follows such a request may be a
    // part of its body to whoever sent it, so it is never read as another request.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut answer = match answer(&state, request).await {
        Ok(answer) => answer,
        Err((reply, attempt)) => {
            let reply = reply.under_rules(state.behind());
            state.metrics.ends.with_label_values(&[reply.name()]).inc();
            let version = state.table().map(|table| table.version);
            log::info!(
                request = attempt, outcome = reply.name(), rules_version = version.unwrap_or_default();
                "turned away"
            );
            let retry_after = match reply {
                LocalReply::NoRules | LocalReply::OldRules => Some(LATEST_RETRY),
                LocalReply::Stopping => Some(Duration::ZERO),
                _ => None,
            };
            reply.answer(retry_after)
        }
    };
    if chunked || state.phase() >= LifePhase::Closing {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// A request that is turned away before it is a call: why, and what identifies it.
type TurnedAway = (LocalReply, String);

/// What the rules say of a request.
struct MatchedRules {
    /// Its class.
    class: ClassMatch,
    /// Who sends it.
    caller: CallerIdentity,
    /// Its tier.
    tier: TierRank,
    /// How urgent its class is.
    level: u8,
    /// The service that gets it, and whether its servers are engines; nothing if its class
    /// has none.
    service: Option<(String, bool)>,
    /// The most bytes of its body.
    body_bytes: usize,
}

/// Reads a request, and has it served.
async fn answer(
    state: &Rc<TrafficState>,
    request: Request<Incoming>,
) -> Result<CallerResponse, TurnedAway> {
    let received = state.now();
    let (parts, body) = request.into_parts();
    let head = state.dialect.read_request(&parts.headers);
    let attempt = head.attempt_id.clone().unwrap_or_default();
    let turn_away = |reply| (reply, attempt.clone());
    let found = look_up(state, &parts, &head).map_err(turn_away)?;
    let MatchedRules { class, caller, tier, level, body_bytes, .. } = found;
    let wait = head.deadline.unwrap_or(class.class().timeout);
    let body = state.wait_until(received + wait, read_body(body, body_bytes)).await;
    let body = body.unwrap_or(Err(LocalReply::BodyTooSlow)).map_err(turn_away)?;
    let mut headers = parts.headers;
    strip_hop_headers(&mut headers);
    let (service, is_engine) =
        found.service.ok_or_else(|| turn_away(LocalReply::UnknownTarget))?;
    let request = CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        attempt: head.attempt_id.clone(),
        organisation: caller.name.clone(),
        tier: is_engine.then_some(tier),
        tokens: head.prompt.tokens,
        streams: class.class().kind.streams(),
        fingerprint: OnceCell::new(),
    };
    let usage = state
        .duties
        .as_ref()
        .map(|board| CallUsage::new(board, &service, caller.name.as_deref()));
    let call = OpenCall::new(state, class, attempt, &head, received, usage);
    let order = RouteCall {
        request: call.request,
        pool: state.pool(&service),
        class: call.class.id,
        organisation: caller.organisation.unwrap_or(NO_ORGANISATION),
        tier,
        level,
        target: call.class.class().latency_target,
        give_up: call
            .deadline
            .min(received + call.class.class().latency_target / QUEUE_WAIT_DIVISOR),
        deadline: call.deadline,
        repeatable: call.class.class().kind.repeatable(),
        run_limit: call.class.class().attempt_limit,
        prompt: head.prompt,
    };
    Ok(lead(call, request, order).await)
}

/// Looks up what the rules in force say of a request. They aren't held any longer than
/// that: newer ones may come while the request is open.
fn look_up(
    state: &TrafficState,
    parts: &Parts,
    head: &RequestHead,
) -> Result<MatchedRules, LocalReply> {
    let table = state.table().ok_or(LocalReply::NoRules)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(LocalReply::Malformed)?;
    let class = table.find(host, parts.uri.path()).ok_or(LocalReply::UnknownTarget)?;
    let caller = table.admit(class.class(), head.key.as_deref());
    let caller = caller.ok_or(LocalReply::UnknownKey)?;
    if state.ends_too_soon(class.class().kind.streams()) {
        return Err(LocalReply::Stopping);
    }
    let drawn = class.draw_service(&mut *state.random.borrow_mut()).map(str::to_owned);
    Ok(MatchedRules {
        tier: table.tier(&caller, class.class()),
        level: table.level(class.class()),
        service: drawn.map(|service| {
            let is_engine = table.is_engine(&service);
            (service, is_engine)
        }),
        body_bytes: table.limits.body_bytes,
        class,
        caller,
    })
}

/// Reads a body whole.
async fn read_body(body: Incoming, most: usize) -> Result<Bytes, LocalReply> {
    let read = Limited::new(body, most).collect().await;
    let collected =
        read.map_err(|fault| match fault.is::<http_body_util::LengthLimitError>() {
            true => LocalReply::BodyTooLarge,
            false => LocalReply::Malformed,
        })?;
    Ok(collected.to_bytes())
}

/// Leads a call through its tries to the start of its answer.
async fn lead(
    call: OpenCall,
    request: CallerRequest,
    order: RouteCall,
) -> CallerResponse {
    let state = call.state.clone();
    if state.quarantine.holds(&request) {
        return call.quarantine(&request);
    }
    let mut decision = state.await_decision(call.request);
    state.run_router(|core, now| core.arrive(order, now));
    loop {
        let decided = state.wait_until(call.deadline, decision).await;
        let (choice, silence_timeout) = match decided {
            Some(Ok(RouteAction::Dispatch { choice, silence_timeout, .. })) => {
                (choice, silence_timeout)
            }
            Some(Ok(RouteAction::Refuse { reason, retry_after, expected, .. })) => {
                return refuse(&call, reason, retry_after, expected);
            }
            // The router forgets nobody, but an answer is owed all the same.
            Some(Err(_)) | None => return call.time_over(),
        };
        // Whoever is told to try again waits for the next decision.
        decision = state.await_decision(call.request);
        let fault = match call.try_server(&request, &choice, silence_timeout, None).await
        {
            AttemptOutcome::Started(start) => match receive(&call, &request, start).await
            {
                Ok(Received::Whole(answer)) => return answer,
                Ok(Received::Stream(start, first)) => {
                    return begin_stream(call, request, start, first);
                }
                Ok(Received::Again) => continue,
                Err(AttemptOutcome::Fault(fault)) => fault,
                Err(_) => return call.time_over(),
            },
            AttemptOutcome::Fault(fault) => fault,
            AttemptOutcome::TimedOut => return call.time_over(),
            AttemptOutcome::Quarantined => return call.quarantine(&request),
        };
        if call.handle_fault(&request, fault, false).await == RetryDecision::Stop {
            return call.give_up(fault);
        }
    }
}

/// Answers a request that the router refuses.
fn refuse(
    call: &OpenCall,
    cause: RefusalCause,
    retry_after: Duration,
    expected: Option<Duration>,
) -> CallerResponse {
    let class = call.class.class();
    log::info!(
        request = call.attempt, class = class.name, cause:? = cause,
        expected_ms = expected.map_or(-1, |span| span.as_millis() as i64),
        target_ms = class.latency_target.as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64;
        "refusal"
    );
    if call.may_have_run.get() {
        return call.reply(LocalReply::ServerFailed, None);
    }
    let reply = match cause {
        RefusalCause::NoServer => LocalReply::NoServer,
        RefusalCause::TooLate => LocalReply::TooLate,
    };
    call.reply(reply, Some(retry_after.min(call.time_left() / RETRY_PART)))
}
