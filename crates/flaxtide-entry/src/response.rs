//! Receives a server's response: all of it, or the start of a stream.

use bytes::Bytes;
use flaxtide_policy::{RetryDecision, RouteFault};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};

use crate::body::{UpstreamBody, piece_cost};
use crate::contract::CallKind;
use crate::exchange::{CallerRequest, ResponseStart};
use crate::forward::write_server_version;
use crate::memory::ChargedBody;
use crate::open_call::{AttemptOutcome, OpenCall, RetryMode};
use crate::relay::{StreamRelay, relay_body};
use crate::reply::{CallerResponse, full_body};

/// What has been received of a response.
pub(crate) enum ReceivedResponse {
    /// The whole response, ready for the caller.
    Whole(CallerResponse),
    /// The head and the first bytes of a stream.
    Stream(ResponseStart, Bytes),
    /// A server error, after which the router retries the request.
    Retry,
}

/// Receives a whole response, or the first bytes of a stream.
pub(crate) async fn receive_response(
    call: &OpenCall,
    request: &CallerRequest,
    mut start: ResponseStart,
) -> Result<ReceivedResponse, AttemptOutcome> {
    let state = &call.state;
    if start.status.is_server_error() && call.class.class().kind == CallKind::Idempotent {
        // The request may be retried elsewhere. The error is kept, to be passed on if not.
        return receive_server_error(call, request, start).await;
    }
    if request.streams && start.status.is_success() && may_be_event_stream(&start.headers)
    {
        let next = state.wait_until(call.deadline, start.body.next(state)).await;
        match next.ok_or_else(|| time_out(call))?.map_err(AttemptOutcome::Fault)? {
            Some(bytes) => {
                state.run_router(|core, now| {
                    core.record_response_data(call.request_id, now);
                    vec![]
                });
                return Ok(ReceivedResponse::Stream(start, bytes));
            }
            // The stream ended without an event, so it isn't whole unless its framing says so.
            None => {
                start
                    .body
                    .check_end(false, call)
                    .await
                    .map_err(AttemptOutcome::Fault)?;
                return Ok(ReceivedResponse::Whole(finish(
                    call,
                    request,
                    start,
                    Bytes::new(),
                )));
            }
        }
    }
    let body = receive_body(call, &mut start.body).await?;
    Ok(ReceivedResponse::Whole(finish(call, request, start, body)))
}

/// Returns whether a response may be a stream of events: its type is that of one, or isn't stated.
pub(crate) fn may_be_event_stream(headers: &HeaderMap) -> bool {
    let stated = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    stated.is_none_or(|text| {
        let kind = text.split(';').next().unwrap_or_default();
        kind.trim().eq_ignore_ascii_case("text/event-stream")
    })
}

/// Receives a whole body, charged to the memory for responses. One that is longer than that allows
/// is none that a sound server sends.
async fn receive_body(
    call: &OpenCall,
    body: &mut UpstreamBody,
) -> Result<Bytes, AttemptOutcome> {
    let state = &call.state;
    let budget = &state.response_memory;
    let stated = body.stated_length();
    let max_bytes = stated.map_or(budget.max_unstated(), |_| budget.max_stated());
    let receive = async {
        let mut collected = ChargedBody::default();
        if stated > Some(max_bytes) {
            return Err(reject_long(call, max_bytes));
        }
        // Reserved before any byte is read, so that bodies that are partly received don't
        // wait for each other.
        collected.reserve(stated.unwrap_or_default(), budget).await;
        let mut cost = 0;
        while let Some(bytes) = body.next(state).await? {
            cost += if stated.is_some() { bytes.len() } else { piece_cost(&bytes) };
            if cost > max_bytes {
                return Err(reject_long(call, max_bytes));
            }
            collected.push(&bytes, budget).await;
        }
        body.check_end(true, call).await?;
        Ok(collected.into_bytes())
    };
    let received = state.wait_until(call.deadline, receive).await;
    received.ok_or_else(|| time_out(call))?.map_err(AttemptOutcome::Fault)
}

/// Records that a response is longer than any that is passed on.
fn reject_long(call: &OpenCall, max_bytes: usize) -> RouteFault {
    let request = call.attempt_id.as_str();
    log::warn!(request, max_bytes; "response too long, connection closed");
    call.state.metrics.long_responses.inc();
    RouteFault::Broken
}

/// Records that the deadline has passed while a server may be running the request.
fn time_out(call: &OpenCall) -> AttemptOutcome {
    call.may_have_run.set(true);
    AttemptOutcome::TimedOut
}

/// Records a complete response and builds the caller's from it.
fn finish(
    call: &OpenCall,
    request: &CallerRequest,
    start: ResponseStart,
    body: Bytes,
) -> CallerResponse {
    let state = &call.state;
    state.run_router(|core, now| core.finish(call.request_id, now));
    if start.status.is_success() {
        state.quarantine.clear(state, request, call.sent_at());
    }
    build_response(call, start.status, start.headers, body)
}

/// Receives the error response of a server to a request that may be retried elsewhere. An
/// error response that breaks off counts as a broken connection.
async fn receive_server_error(
    call: &OpenCall,
    request: &CallerRequest,
    mut start: ResponseStart,
) -> Result<ReceivedResponse, AttemptOutcome> {
    let body = receive_body(call, &mut start.body).await?;
    let fault = RouteFault::Failed;
    let retry = call.handle_fault(request, fault, RetryMode::Repeat).await;
    if retry == RetryDecision::Retry {
        return Ok(ReceivedResponse::Retry);
    }
    let response = build_response(call, start.status, start.headers, body);
    Ok(ReceivedResponse::Whole(response))
}

/// Builds the caller's response from a server's complete one and records the end of the call.
fn build_response(
    call: &OpenCall,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> CallerResponse {
    call.record_first_event();
    call.record_missed_target();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    call.may_have_run.set(true);
    call.record_end("answered", status.as_u16());
    response
}

/// Starts to pass a stream on to the caller.
pub(crate) async fn start_stream(
    call: OpenCall,
    request: CallerRequest,
    start: ResponseStart,
    first: Bytes,
) -> CallerResponse {
    call.may_have_run.set(true);
    let version = call.bind_version(start.peer_version).await;
    call.record_first_event();
    let (status, mut headers) = (start.status, start.headers);
    if let Some(version) = version.filter(|_| call.is_carried()) {
        write_server_version(&mut headers, version);
    }
    let relay = StreamRelay::new(call, request, start.body, first, version.is_some());
    let mut response = Response::new(relay_body(relay));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
