//! Handles one call, from its arrival to its end, on a thread of its own.

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

use self::keyed::{CallClaim, HeldClaim};
use crate::exchange::{
    AttemptOutcome, ResponseProgress, ServerAttempt, exchange_completion, exchange_plain,
};
use crate::explain::{DecisionRecord, StepKind};
use crate::link::{CallerLink, refusal};
use crate::messages::{CallDispatch, CallOrder, DecisionMessage};
use crate::request::{CallPayload, CallRequest, is_keyed};
use crate::shared::SharedState;

/// The capacity of the channel that carries the decision core's orders to a call. A call
/// has at most one unread order.
const ORDER_CHANNEL_CAPACITY: usize = 4;

/// Reads an HTTP request and handles it to its end.
pub(crate) fn serve_call(shared: &Arc<SharedState>, mut request: Request) {
    let id = shared.next_request();
    shared.metrics.received.inc();
    let close_connection = shared.leaving();
    let keyed = is_keyed(&request);
    if let Some(reason) = early_refusal_reason(shared) {
        let message = match reason {
            FailureReason::Stopping => "this instance is stopping",
            _ => "this instance has no settings yet",
        };
        let link = CallerLink::new(request, id, true);
        refuse_early(shared, link, &refusal(id, reason, message, keyed));
        return;
    }
    let view = shared.view();
    let parsed = CallRequest::read(&mut request, &view);
    let link = CallerLink::new(request, id, close_connection);
    match parsed {
        Ok(request) => CallHandler::new(shared, id, request, link).run(),
        Err(fault) => {
            let body = refusal(id, fault.reason, &fault.message, keyed);
            refuse_early(shared, link, &body);
        }
    }
}

/// Returns why the instance currently refuses all requests, or `None` if it accepts them.
fn early_refusal_reason(shared: &SharedState) -> Option<FailureReason> {
    if shared.closed() {
        return Some(FailureReason::Stopping);
    }
    (shared.view().version == 0).then_some(FailureReason::NotReady)
}

/// Refuses a request for which no [`CallHandler`] exists yet.
pub(crate) fn refuse_early(shared: &SharedState, link: CallerLink, body: &FailureBody) {
    shared.metrics.refusals.with_label_values(&[body.reason.name()]).inc();
    shared.metrics.requests.with_label_values(&["", "refused"]).inc();
    log::info!(
        request_id = body.request_id.as_str(), reason = body.reason.name();
        "refused: {}", body.message
    );
    // If the caller has disconnected, nobody is left to notify.
    let _ = link.fail(body);
}

/// Handles one call.
struct CallHandler<'a> {
    /// The state that all threads of the instance share.
    shared: &'a Arc<SharedState>,
    /// The ID of the request.
    id: RequestId,
    /// The request, as read and checked against the settings.
    request: CallRequest,
    /// What has been received of the response, over all attempts.
    progress: ResponseProgress,
    /// When the request arrived, on the instance's clock.
    arrived: Duration,
    /// The claim that this call holds; always `None` for requests without an idempotency
    /// key.
    held: Option<HeldClaim>,
}

/// A call that hasn't ended, by its state.
enum OpenCall {
    /// The call waits for an order of the decision core and holds no claim.
    Queued(Call<Queued>),
    /// The call holds its claim and waits for an order.
    Claimed(Call<Claimed>),
    /// Bytes of the request may have reached a backend server.
    Dispatched(Call<Dispatched>),
}

impl<'a> CallHandler<'a> {
    /// Creates the handler of a request that has been read.
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
        let progress = ResponseProgress::new(link, stream, request.key.is_some());
        let arrived = shared.now();
        Self { shared, id, request, progress, arrived, held: None }
    }

    /// Follows the decision core's orders until the call has ended.
    fn run(mut self) {
        self.open_record();
        let orders = self.submit();
        let mut call = Some(OpenCall::Queued(Call::receive(self.id).queue()));
        while let Some(open) = call.take() {
            let Ok(order) = orders.recv() else {
                self.abort(open);
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

    /// Opens the decision record that `flaxctl explain` shows.
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

    /// Submits the request to the decision core and returns the channel with its orders.
    fn submit(&self) -> Receiver<CallOrder> {
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
        let (orders, receiver) = bounded(ORDER_CHANNEL_CAPACITY);
        // The decision thread outlives all calls. If it has ended nevertheless, the order
        // channel is closed, which ends the call.
        let _ = self.shared.decisions.send(DecisionMessage::Arrive(arrival, orders));
        receiver
    }

    /// Sends the request to a server, once its claim is held if it needs one. Returns the
    /// call if it hasn't ended.
    fn dispatch(&mut self, open: OpenCall, dispatch: &CallDispatch) -> Option<OpenCall> {
        let call = match open {
            OpenCall::Queued(call) if self.request.key.is_some() => {
                match self.claim(call) {
                    CallClaim::Held(call) => call.dispatch(),
                    CallClaim::Ended => return None,
                }
            }
            OpenCall::Queued(call) => call.dispatch(),
            OpenCall::Claimed(call) => call.dispatch(),
            OpenCall::Dispatched(call) => call,
        };
        let Some(outcome) = self.run_attempt(dispatch) else {
            // The server is no longer in the settings, so nothing has been sent.
            return self.handle_fault(call, ServerFault::NotRun);
        };
        match outcome {
            AttemptOutcome::Complete(response) => {
                self.end_answered(call, Some(&response));
                None
            }
            AttemptOutcome::Streamed => {
                self.end_answered(call, None);
                None
            }
            AttemptOutcome::Fault(fault) => self.handle_fault(call, fault),
            AttemptOutcome::CallerGone => {
                self.end_caller_gone(call);
                None
            }
        }
    }

    /// Sends the request to a server and passes on its response. Returns `None` if the
    /// server is no longer in the settings.
    fn run_attempt(&mut self, dispatch: &CallDispatch) -> Option<AttemptOutcome> {
        let view = self.shared.view();
        let attempt = ServerAttempt {
            shared: self.shared,
            request_id: self.id,
            address: view.servers.get(&dispatch.server)?.address,
            priority: dispatch.priority,
            silence_timeout: dispatch.silence_timeout,
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

    /// Reports a failed attempt to the decision core, which orders a retry or ends the
    /// call. Returns the call as dispatched if the server may have run the request or
    /// tokens have been received, and otherwise in its state before the dispatch.
    fn handle_fault(
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
        let not_run = matches!(fault, ServerFault::NotRun | ServerFault::Leaving);
        if !not_run || self.progress.tokens > 0 {
            return Some(OpenCall::Dispatched(call));
        }
        let call = call.requeue();
        Some(match &self.held {
            Some(held) => OpenCall::Claimed(call.claim(held.row.attempt)),
            None => OpenCall::Queued(call),
        })
    }

    /// Refuses the request, as ordered by the decision core.
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
                self.release_claim();
                self.end_refused(&failed.body);
            }
            // An earlier attempt may have run. `Call::refuse` would tell the caller that the
            // request hasn't run, which may be wrong.
            OpenCall::Dispatched(call) => {
                let failed = call.fail(reason, &message, retry_after);
                self.end_failed(&failed.body);
            }
        }
    }

    /// Ends a call whose attempts have failed, as ordered by the decision core.
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
                self.release_claim();
                self.end_refused(&failed.body);
            }
        }
    }

    /// Ends a call whose order channel has closed because the decision thread has ended.
    fn abort(&mut self, open: OpenCall) {
        log::error!(request_id = format_request_id(self.id); "the decision thread has ended");
        self.refuse(open, FailureReason::Stopping, Duration::from_secs(1));
    }
}

/// Returns the name of a fault in metrics and decision records.
fn fault_name(fault: ServerFault) -> &'static str {
    match fault {
        ServerFault::NotRun => "not_run",
        ServerFault::Leaving => "leaving",
        ServerFault::Broken => "broken",
        ServerFault::Stalled => "stalled",
    }
}

/// Returns the message to the caller that explains a refusal.
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
