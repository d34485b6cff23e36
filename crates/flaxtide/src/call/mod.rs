//! The life of one call, led by a thread of its own.

mod keyed;
mod outcome;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};
use flaxtide_core::{
    Call, Claimed, Dispatched, FailureBody, FailureReason, Queued, RequestId,
    format_request_id,
};
use flaxtide_policy::{CallArrival, PolicyEvent, ServerFault};
use tiny_http::Request;

use self::keyed::{HeldClaim, KeyedEnd};
use crate::exchange::{
    AnswerProgress, AttemptEnd, ServerAttempt, exchange_completion, exchange_plain,
};
use crate::explain::{DecisionRecord, StepKind};
use crate::link::{CallerLink, refusal};
use crate::messages::{CallDispatch, CallOrder, DecisionMessage};
use crate::request::{CallPayload, CallRequest, is_keyed};
use crate::shared::SharedState;

/// The most orders that a call may not have taken yet.
const ORDER_RING: usize = 4;

/// Leads a request from its arrival to its end.
pub(crate) fn serve_call(shared: &Arc<SharedState>, mut request: Request) {
    let id = shared.next_request();
    shared.metrics.received.inc();
    let closing = shared.leaving();
    let keyed = is_keyed(&request);
    if let Some(reason) = closed_reason(shared) {
        let message = match reason {
            FailureReason::Stopping => "this instance is stopping",
            _ => "this instance has no settings yet",
        };
        let link = CallerLink::new(request, id, true);
        refuse_early(shared, link, &refusal(id, reason, message, keyed));
        return;
    }
    let view = shared.view();
    let read = CallRequest::read(&mut request, &view);
    let link = CallerLink::new(request, id, closing);
    match read {
        Ok(read) => CallDuty::new(shared, id, read, link).lead(),
        Err(fault) => {
            let body = refusal(id, fault.reason, &fault.message, keyed);
            refuse_early(shared, link, &body);
        }
    }
}

/// Returns why no request is taken now, if none is.
fn closed_reason(shared: &SharedState) -> Option<FailureReason> {
    if shared.closed() {
        return Some(FailureReason::Stopping);
    }
    (shared.view().version == 0).then_some(FailureReason::NotReady)
}

/// Refuses a request before it has a life.
pub(crate) fn refuse_early(shared: &SharedState, link: CallerLink, body: &FailureBody) {
    shared.metrics.refusals.with_label_values(&[body.reason.name()]).inc();
    shared.metrics.requests.with_label_values(&["", "refused"]).inc();
    log::info!(
        request_id = body.request_id.as_str(), reason = body.reason.name();
        "refused: {}", body.message
    );
    // A caller that has gone needs no answer.
    let _ = link.fail(body);
}

/// The duty of leading one call.
struct CallDuty<'a> {
    /// What all threads share.
    shared: &'a Arc<SharedState>,
    /// The request's id.
    id: RequestId,
    /// What the caller asks for.
    request: CallRequest,
    /// What has come of the answer.
    progress: AnswerProgress,
    /// When the request came.
    arrived: Duration,
    /// The claim that this call holds, where the request may not be repeated.
    held: Option<HeldClaim>,
}

/// A call that is still open, in one of its states.
enum OpenCall {
    /// It waits.
    Queued(Call<Queued>),
    /// Its claim is held.
    Claimed(Call<Claimed>),
    /// Bytes may have gone out.
    Dispatched(Call<Dispatched>),
}

impl<'a> CallDuty<'a> {
    /// Makes the duty of a request that has been read.
    fn new(
        shared: &'a Arc<SharedState>,
        id: RequestId,
        request: CallRequest,
        link: CallerLink,
    ) -> Self {
        let stream = match &request.payload {
            CallPayload::Completion(payload) => payload.stream,
            CallPayload::Plain(_) => false,
        };
        let progress = AnswerProgress::new(link, stream, request.key.is_some());
        let arrived = shared.now();
        Self { shared, id, request, progress, arrived, held: None }
    }

    /// Leads the call to its end.
    fn lead(mut self) {
        self.open_record();
        let orders = self.arrive();
        let mut call = Some(OpenCall::Queued(Call::receive(self.id).queue()));
        while let Some(open) = call.take() {
            let Ok(order) = orders.recv() else {
                self.lose(open);
                return;
            };
            call = match order {
                CallOrder::Dispatch(dispatch) => self.dispatch(open, &dispatch),
                CallOrder::Refuse(reason, retry_after) => {
                    self.refuse(open, reason, retry_after);
                    None
                }
                CallOrder::GiveUp(retry_after) => {
                    self.give_up(open, retry_after);
                    None
                }
            };
        }
    }

    /// Starts the record for `flaxctl explain`.
    fn open_record(&self) {
        let request = &self.request;
        let view = self.shared.view();
        let record = DecisionRecord::new(
            self.id,
            &request.organisation_name,
            &request.profile.name,
            request.profile.rank,
            view.pool_name(request.pool),
            self.arrived,
        );
        self.shared.log.open(self.id, record);
    }

    /// Tells the decision core of the request and returns the ring of its orders.
    fn arrive(&self) -> Receiver<CallOrder> {
        let request = &self.request;
        let (prompt_tokens, prefix) = match &request.payload {
            CallPayload::Completion(payload) => (payload.prompt_tokens, payload.prefix),
            CallPayload::Plain(_) => (0, None),
        };
        let give_up = request.profile.give_up;
        let give_up = request.deadline.map_or(give_up, |deadline| deadline.min(give_up));
        let arrival = CallArrival {
            request: self.id,
            pool: request.pool,
            class: request.class,
            organisation: request.organisation,
            prompt_tokens,
            prefix,
            give_up: Some(give_up),
            first_token: Some(request.profile.first_token),
            repeatable: request.repeatable,
        };
        let (orders, ring) = bounded(ORDER_RING);
        // The decision thread outlives all calls; without it the ring is closed, which
        // ends the call.
        let _ = self.shared.decisions.send(DecisionMessage::Arrive(arrival, orders));
        ring
    }

    /// Sends the request to a server. Returns the call if it is still open.
    fn dispatch(&mut self, open: OpenCall, dispatch: &CallDispatch) -> Option<OpenCall> {
        let call = match open {
            OpenCall::Queued(call) if self.request.key.is_some() => {
                match self.claim(call) {
                    KeyedEnd::Held(call) => call.dispatch(),
                    KeyedEnd::Over => return None,
                }
            }
            OpenCall::Queued(call) => call.dispatch(),
            OpenCall::Claimed(call) => call.dispatch(),
            OpenCall::Dispatched(call) => call,
        };
        let Some(end) = self.exchange(dispatch) else {
            // The settings no longer hold the server.
            return self.server_failed(call, ServerFault::NotRun);
        };
        match end {
            AttemptEnd::Whole(answer) => {
                self.answered(call, Some(&answer));
                None
            }
            AttemptEnd::Streamed => {
                self.answered(call, None);
                None
            }
            AttemptEnd::Fault(fault) => self.server_failed(call, fault),
            AttemptEnd::CallerGone => {
                self.caller_gone(call);
                None
            }
        }
    }

    /// Makes one attempt at a server.
    fn exchange(&mut self, dispatch: &CallDispatch) -> Option<AttemptEnd> {
        let view = self.shared.view();
        let attempt = ServerAttempt {
            shared: self.shared,
            request: self.id,
            address: view.servers.get(&dispatch.server)?.address,
            priority: dispatch.priority,
            patience: dispatch.patience,
        };
        Some(match &self.request.payload {
            CallPayload::Completion(payload) => {
                exchange_completion(&attempt, payload, &mut self.progress)
            }
            CallPayload::Plain(payload) => {
                exchange_plain(&attempt, payload, self.request.key.as_deref())
            }
        })
    }

    /// Takes in that a server failed the request, and leaves it to the decision core what
    /// follows.
    fn server_failed(
        &mut self,
        call: Call<Dispatched>,
        fault: ServerFault,
    ) -> Option<OpenCall> {
        let name = fault_name(fault);
        let passed_on = self.progress.passed_on();
        self.shared.metrics.server_faults.with_label_values(&[name]).inc();
        let step = StepKind::ServerFailed { fault: name.into(), passed_on };
        self.shared.log.add(self.id, self.shared.now(), step);
        let request = self.id;
        self.shared.tell(PolicyEvent::Fail { request, fault, passed_on });
        let unsent = matches!(fault, ServerFault::NotRun | ServerFault::Leaving);
        if !unsent || self.progress.tokens > 0 {
            return Some(OpenCall::Dispatched(call));
        }
        let call = call.requeue();
        Some(match &self.held {
            Some(held) => OpenCall::Claimed(call.claim(held.row.attempt)),
            None => OpenCall::Queued(call),
        })
    }

    /// Refuses the request as the decision core says.
    fn refuse(&mut self, open: OpenCall, reason: FailureReason, retry_after: Duration) {
        let message = refusal_message(reason, &self.request);
        let retry_after = Some(retry_after);
        match open {
            OpenCall::Queued(call) if self.request.key.is_some() => {
                self.refuse_keyed(call, reason, &message, retry_after);
            }
            OpenCall::Queued(call) => {
                let failed = call.refuse(reason, &message, retry_after);
                self.end_refused(&failed.body);
            }
            OpenCall::Claimed(call) => {
                let failed = call.refuse(reason, &message, retry_after);
                self.release();
                self.end_refused(&failed.body);
            }
            // An earlier attempt may have run: the core's word would be untrue.
            OpenCall::Dispatched(call) => {
                let failed = call.fail(reason, &message, retry_after);
                self.end_failed(&failed.body);
            }
        }
    }

    /// Gives the request up as the decision core says.
    fn give_up(&mut self, open: OpenCall, retry_after: Duration) {
        let reason = FailureReason::ServerFailed;
        let message =
            "a backend server failed, and there is no time or budget to try another";
        match open {
            OpenCall::Dispatched(call) => {
                let failed = call.fail(reason, message, Some(retry_after));
                self.end_failed(&failed.body);
            }
            OpenCall::Queued(call) => {
                let failed = call.refuse(reason, message, Some(retry_after));
                self.end_refused(&failed.body);
            }
            OpenCall::Claimed(call) => {
                let failed = call.refuse(reason, message, Some(retry_after));
                self.release();
                self.end_refused(&failed.body);
            }
        }
    }

    /// Ends a call whose orders have stopped, as the decision thread has ended.
    fn lose(&mut self, open: OpenCall) {
        log::error!(request_id = format_request_id(self.id); "the decision thread is gone");
        self.refuse(open, FailureReason::Stopping, Duration::from_secs(1));
    }
}

/// Returns a fault's name for metrics and records.
fn fault_name(fault: ServerFault) -> &'static str {
    match fault {
        ServerFault::NotRun => "not_run",
        ServerFault::Leaving => "leaving",
        ServerFault::Broken => "broken",
        ServerFault::Stalled => "stalled",
    }
}

/// Says why a request is refused.
fn refusal_message(reason: FailureReason, request: &CallRequest) -> String {
    let class = &request.profile.name;
    let tier = &request.profile.tier;
    match reason {
        FailureReason::Overloaded => format!(
            "the queue ahead of class `{class}` in tier `{tier}` is longer than its target allows"
        ),
        FailureReason::QueueFull => {
            format!("the queue is full of requests of tier `{tier}` and above")
        }
        FailureReason::Evicted => {
            "a request of a higher tier took its place in the full queue".into()
        }
        FailureReason::DeadlinePassed => "it could not be started in time".into(),
        FailureReason::LimitReached => {
            format!("organisation `{}` is over its limit", request.organisation_name)
        }
        FailureReason::NoServer => "no backend server could take it".into(),
        _ => reason.name().replace('_', " "),
    }
}
