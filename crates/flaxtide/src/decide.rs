//! The decision thread, which owns the decision core.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use flaxtide_core::{RequestId, ServerId, TierRank};
use flaxtide_policy::{
    DecisionCore, PolicyAction, PolicyEvent, PolicyOptions, ServerChoice,
};
use rand::Rng;

use crate::explain::{StepKind, rule_name};
use crate::messages::{CallDispatch, CallOrder, DecisionMessage, DecisionSummary};
use crate::shared::SharedState;

/// The maximum time between two events for the decision core. Without other events, it is
/// sent a tick.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Runs the decision thread until all senders have been dropped or the instance stops.
pub(crate) fn decide(shared: &Arc<SharedState>, messages: &Receiver<DecisionMessage>) {
    let seed = shared.config.seed.unwrap_or_else(|| rand::rng().random());
    let mut thread = DecisionThread {
        shared: shared.clone(),
        core: DecisionCore::new(PolicyOptions::default(), seed),
        orders: HashMap::new(),
    };
    while !shared.stopped() {
        match messages.recv_timeout(thread.wait_time()) {
            Ok(message) => thread.handle_message(message),
            Err(RecvTimeoutError::Timeout) => thread.handle_event(PolicyEvent::Tick),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// The state of the decision thread.
struct DecisionThread {
    /// The state that all threads of the instance share.
    shared: Arc<SharedState>,
    /// The decision core, which admits requests and chooses their servers.
    core: DecisionCore,
    /// The channels to the threads of the open calls.
    orders: HashMap<RequestId, Sender<CallOrder>>,
}

impl DecisionThread {
    /// Returns how long to wait for a message before the core is sent a tick.
    fn wait_time(&self) -> Duration {
        let Some(expiry) = self.core.next_expiry() else { return TICK_PERIOD };
        expiry.saturating_sub(self.shared.now()).min(TICK_PERIOD)
    }

    /// Handles a message from another thread.
    fn handle_message(&mut self, message: DecisionMessage) {
        match message {
            DecisionMessage::Arrive(arrival, orders) => {
                self.orders.insert(arrival.request, orders);
                self.handle_event(PolicyEvent::Arrive(arrival));
            }
            DecisionMessage::Event(event) => {
                let ended = ended_request(&event);
                self.handle_event(event);
                if let Some(request) = ended {
                    self.orders.remove(&request);
                }
            }
            DecisionMessage::Events(events) => {
                for event in events {
                    self.handle_event(event);
                }
            }
            DecisionMessage::Summarise { take_usage, reply } => {
                let now = self.shared.now();
                let usage = match take_usage {
                    true => self.core.take_arrival_counts(),
                    false => BTreeMap::new(),
                };
                let (pools, slots) = (self.core.summary(), self.core.slots(now));
                let summary = DecisionSummary { pools, slots, usage };
                self.update_queue_metrics(&summary);
                // The requesting thread may have stopped waiting.
                let _ = reply.send(summary);
            }
        }
    }

    /// Passes an event to the core and applies the actions that it returns.
    fn handle_event(&mut self, event: PolicyEvent) {
        let now = self.shared.now();
        for action in self.core.handle(event, now) {
            self.apply_action(action, now);
        }
    }

    /// Applies an action of the core: records it and sends the order to the call.
    fn apply_action(&mut self, action: PolicyAction, now: Duration) {
        let decision_log = &self.shared.log;
        match action {
            PolicyAction::Wait { request, place, predicted } => {
                let predicted_ms = predicted.as_millis() as u64;
                decision_log.add(request, now, StepKind::Queued { place, predicted_ms });
            }
            PolicyAction::Dispatch {
                request,
                choice,
                priority,
                silence_timeout,
                attempt,
            } => {
                let step = self.dispatch_step(&choice, priority, attempt);
                decision_log.add(request, now, step);
                if attempt > 1 {
                    self.shared.metrics.retries.inc();
                }
                let server = choice.server;
                let dispatch = CallDispatch { server, priority, silence_timeout };
                self.send_order(request, CallOrder::Dispatch(dispatch));
            }
            PolicyAction::Refuse { request, reason, retry_after } => {
                self.send_order(request, CallOrder::Refuse(reason, retry_after));
                self.orders.remove(&request);
            }
            PolicyAction::GiveUp { request, retry_after } => {
                self.send_order(request, CallOrder::GiveUp(retry_after));
                self.orders.remove(&request);
            }
        }
    }

    /// Sends an order to the thread of a call; ignored if the call has ended.
    fn send_order(&self, request: RequestId, order: CallOrder) {
        let Some(orders) = self.orders.get(&request) else { return };
        // A call has at most one unread order, so its channel always has capacity.
        if orders.try_send(order).is_err() {
            log::error!(request_id = request; "failed to send an order to the thread of its request");
        }
    }

    /// Builds the step of the decision record that describes a choice of server.
    fn dispatch_step(
        &self,
        choice: &ServerChoice,
        priority: TierRank,
        attempt: u8,
    ) -> StepKind {
        let view = self.shared.view();
        let name = |server: ServerId| view.server_name(server).to_owned();
        StepKind::Dispatched {
            server: name(choice.server),
            rule: rule_name(choice.rule).to_owned(),
            load: choice.load,
            runner_up: choice.runner_up.map(|(server, _)| name(server)),
            runner_up_load: choice.runner_up.map(|(_, load)| load),
            eligible: choice.eligible,
            attempt,
            priority,
        }
    }

    /// Sets the metrics of queue length by tier, summed over all pools.
    fn update_queue_metrics(&self, summary: &DecisionSummary) {
        let mut waiting: BTreeMap<TierRank, usize> = BTreeMap::new();
        for pool in summary.pools.values() {
            for (tier, count) in &pool.waiting {
                *waiting.entry(*tier).or_default() += count;
            }
        }
        for (tier, count) in waiting {
            let gauge = &self.shared.metrics.queue;
            gauge.with_label_values(&[&tier.to_string()]).set(count as i64);
        }
    }
}

/// Requests a summary from the decision thread. The summary is empty if there is no reply
/// in time. With `take_usage`, the counts of arrived requests are moved into it.
pub(crate) fn summarise(shared: &SharedState, take_usage: bool) -> DecisionSummary {
    /// The timeout for the decision thread's reply.
    const SUMMARY_TIMEOUT: Duration = Duration::from_secs(1);
    let (reply, replies) = bounded(1);
    let message = DecisionMessage::Summarise { take_usage, reply };
    if shared.decisions.send(message).is_err() {
        return DecisionSummary::default();
    }
    replies.recv_timeout(SUMMARY_TIMEOUT).unwrap_or_default()
}

/// Returns the request that has ended with this event, whatever actions the core returns.
fn ended_request(event: &PolicyEvent) -> Option<RequestId> {
    match event {
        PolicyEvent::Finish { request, .. }
        | PolicyEvent::Abandon { request }
        | PolicyEvent::CallerGone { request } => Some(*request),
        _ => None,
    }
}
