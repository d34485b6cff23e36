//! A server's answer, from its head to the whole of it, or to the start of a stream.

use bytes::{Bytes, BytesMut};
use flaxtide_policy::{RetryDecision, RouteFault};
use hyper::{Response, StatusCode};

use crate::contract::CallKind;
use crate::exchange::{CallerRequest, ResponseStart};
use crate::open_call::{AttemptOutcome, OpenCall};
use crate::relay::{StreamRelay, relay_body};
use crate::reply::{CallerResponse, whole};

/// An answer that has come, or has started to.
pub(crate) enum Received {
    /// It is whole.
    Whole(CallerResponse),
    /// It is a stream, whose first bytes these are.
    Stream(ResponseStart, Bytes),
    /// It is a server's error, and the router tries the request elsewhere.
    Again,
}

/// Receives an answer: all of it, or the first bytes of a stream.
pub(crate) async fn receive(
    call: &OpenCall,
    request: &CallerRequest,
    mut start: ResponseStart,
) -> Result<Received, AttemptOutcome> {
    let state = &call.state;
    if start.status.is_server_error() && call.class.class().kind == CallKind::Idempotent {
        // Another server may answer it. If none may, this answer is lost, so it is kept.
        return receive_failure(call, request, start).await;
    }
    let streams = request.streams && start.status.is_success();
    let mut collected = BytesMut::new();
    loop {
        let next = state.wait_until(call.deadline, start.body.next(state)).await;
        let Some(next) = next else {
            call.may_have_run.set(true);
            return Err(AttemptOutcome::TimedOut);
        };
        match next.map_err(AttemptOutcome::Fault)? {
            Some(bytes) if streams => {
                state.run_router(|core, now| {
                    core.record_response_data(call.request, now);
                    vec![]
                });
                return Ok(Received::Stream(start, bytes));
            }
            Some(bytes) => collected.extend_from_slice(&bytes),
            None => break,
        }
    }
    state.run_router(|core, now| core.finish(call.request, now));
    if start.status.is_success() {
        state.quarantine.clear(state, request);
    }
    Ok(Received::Whole(deliver(call, start.status, start.headers, collected.freeze())))
}

/// Receives a server's own error for a request that may be tried elsewhere. One that breaks off
/// is no answer of the server's.
async fn receive_failure(
    call: &OpenCall,
    request: &CallerRequest,
    mut start: ResponseStart,
) -> Result<Received, AttemptOutcome> {
    let mut collected = BytesMut::new();
    loop {
        let next = call
            .state
            .wait_until(call.deadline, start.body.next(&call.state))
            .await;
        match next {
            Some(Ok(Some(bytes))) => collected.extend_from_slice(&bytes),
            Some(Ok(None)) => break,
            Some(Err(fault)) => return Err(AttemptOutcome::Fault(fault)),
            None => {
                call.may_have_run.set(true);
                return Err(AttemptOutcome::TimedOut);
            }
        }
    }
    if call.handle_fault(request, RouteFault::Failed, false).await == RetryDecision::Retry
    {
        return Ok(Received::Again);
    }
    let (status, headers) = (start.status, start.headers);
    Ok(Received::Whole(deliver(call, status, headers, collected.freeze())))
}

/// Makes an answer out of a server's whole one.
fn deliver(
    call: &OpenCall,
    status: StatusCode,
    headers: hyper::HeaderMap,
    body: Bytes,
) -> CallerResponse {
    call.note_first();
    call.record_missed_target();
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    call.may_have_run.set(true);
    call.record_end("answered", status.as_u16());
    answer
}

/// Starts to pass a stream on.
pub(crate) fn begin_stream(
    call: OpenCall,
    request: CallerRequest,
    start: ResponseStart,
    first: Bytes,
) -> CallerResponse {
    call.note_first();
    call.may_have_run.set(true);
    let (status, headers) = (start.status, start.headers);
    let relay = StreamRelay::new(call, request, start.body, first);
    let mut answer = Response::new(relay_body(relay));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
