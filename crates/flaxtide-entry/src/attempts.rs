//! The attempts of a call at backend servers, until a response starts.

use std::time::Duration;

use bytes::Bytes;
use flaxtide_policy::{RefusalCause, RetryDecision, RouteAction, RouteCall};

use crate::exchange::{CallerRequest, ResponseStart};
use crate::open_call::{AttemptOutcome, OpenCall, RETRY_DIVISOR, RetryMode};
use crate::reply::{CallerResponse, LocalReply};
use crate::response::{ReceivedResponse, receive_response, start_stream};

/// Runs the attempts of a call until a response starts, the request is given up, or the process
/// ends.
pub(crate) async fn run_attempts(
    call: OpenCall,
    request: CallerRequest,
    route_call: RouteCall,
) -> CallerResponse {
    let state = call.state.clone();
    let received = tokio::select! {
        biased;
        received = await_answer(&call, &request, route_call) => received,
        () = state.wait_until_ending() => CallAnswer::Whole(call.reply_cut_off()),
    };
    match received {
        CallAnswer::Whole(response) => response,
        CallAnswer::Stream(start, first) => {
            start_stream(call, request, *start, first).await
        }
    }
}

/// The answer to a call.
enum CallAnswer {
    /// The whole response, ready for the caller.
    Whole(CallerResponse),
    /// The head and the first bytes of a stream.
    Stream(Box<ResponseStart>, Bytes),
}

/// Runs the attempts of a call until a response starts or the request is given up.
async fn await_answer(
    call: &OpenCall,
    request: &CallerRequest,
    route_call: RouteCall,
) -> CallAnswer {
    let whole = CallAnswer::Whole;
    let state = call.state.clone();
    if call.is_held(request) {
        return whole(call.reply_quarantined(request));
    }
    let mut decision = state.await_decision(call.request_id);
    state.run_router(|core, now| match call.is_carried() {
        true => core.arrive_forwarded(route_call, now),
        false => core.arrive(route_call, now),
    });
    loop {
        let decided = state.wait_until(call.deadline, decision).await;
        let (choice, silence_timeout) = match decided {
            Some(Ok(RouteAction::Dispatch { choice, silence_timeout, .. })) => {
                (choice, silence_timeout)
            }
            Some(Ok(RouteAction::Refuse { reason, retry_after, expected, .. })) => {
                return whole(reply_refused(call, reason, retry_after, expected));
            }
            // The deadline has passed without a decision. The router never drops the sender first;
            // if it did, the caller would still get a response.
            Some(Err(_)) | None => return whole(call.reply_timed_out()),
        };
        // It may have waited for long. A stream that is cut off can be resumed elsewhere.
        if !call.is_resumable() && state.is_too_late_to_start(call.deadline, false) {
            return whole(call.reply_stopping());
        }
        // Registered before the attempt, so that a decision to retry can't be missed.
        decision = state.await_decision(call.request_id);
        let fault = match call.try_server(request, &choice, silence_timeout, None).await {
            AttemptOutcome::Started(start) => {
                match receive_response(call, request, *start).await {
                    Ok(ReceivedResponse::Whole(response)) => return whole(response),
                    Ok(ReceivedResponse::Stream(start, first)) => {
                        return CallAnswer::Stream(Box::new(start), first);
                    }
                    Ok(ReceivedResponse::Retry) => continue,
                    Err(AttemptOutcome::Fault(fault)) => fault,
                    Err(_) => return whole(call.reply_timed_out()),
                }
            }
            AttemptOutcome::Fault(fault) => fault,
            AttemptOutcome::TimedOut => return whole(call.reply_timed_out()),
            AttemptOutcome::Refused(refusal) => {
                return whole(call.reply_as_peer(refusal));
            }
            AttemptOutcome::Quarantined => return whole(call.reply_quarantined(request)),
        };
        let retry = call.handle_fault(request, fault, RetryMode::Repeat).await;
        if retry == RetryDecision::Stop {
            return whole(call.reply_failed(fault));
        }
    }
}

/// Responds to a request that the router refuses.
fn reply_refused(
    call: &OpenCall,
    cause: RefusalCause,
    retry_after: Duration,
    expected: Option<Duration>,
) -> CallerResponse {
    let class = call.class.class();
    log::info!(
        request = call.attempt_id, class = class.name, cause:? = cause,
        expected_ms = expected.map_or(-1, |span| span.as_millis() as i64),
        target_ms = class.latency_target.as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64;
        "refusal"
    );
    if call.may_have_run.get() {
        return call.reply_locally(LocalReply::ServerFailed, None);
    }
    let reply = match cause {
        RefusalCause::NoServer
        | RefusalCause::NoServerInRegion
        | RefusalCause::NoServerOfVersion => LocalReply::NoServer,
        RefusalCause::TooLate => LocalReply::TooLate,
    };
    call.reply_locally(reply, Some(retry_after.min(call.time_left() / RETRY_DIVISOR)))
}
