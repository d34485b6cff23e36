//! Further tries of a request that a server has failed: whether one is right, within the
//! budget and of use.

use std::time::Duration;

use flaxtide_core::{PoolId, RequestId};

use super::call::{CallPlace, RouteFault, RoutedCall};
use super::{QUEUE_WAIT_DIVISOR, RouteAction, RouteCore};

/// What is decided after a request failed at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It waits for another server; an action follows.
    Retry,
    /// It ends here.
    Stop,
}

impl RouteCore {
    /// Tells whether a request whose server is silent may be broken off there: only if
    /// another try is granted, which it pays for. Without one it would be lost, though the
    /// server may still answer. [`RouteCore::fail`] must follow.
    pub fn may_abort_silent(
        &mut self,
        request: RequestId,
        resumable: bool,
        now: Duration,
    ) -> bool {
        if self.answers_others(request, now) {
            return false;
        }
        let Some(mut call) = self.calls.remove(&request) else { return false };
        if let CallPlace::Running { server, .. } = call.place {
            call.excluded.push(server);
        }
        call.runs += 1;
        let granted = self.may_repeat(&call, RouteFault::Silent, resumable, now);
        call.runs -= 1;
        call.excluded.pop();
        call.granted = granted;
        if !granted {
            // The request stays, but others go elsewhere.
            self.blame(&call, RouteFault::Silent, now);
        }
        self.calls.insert(request, call);
        granted
    }

    /// Tells whether the server of a request has said anything to others lately, after it
    /// was sent there: it is busy then, not gone.
    fn answers_others(&self, request: RequestId, now: Duration) -> bool {
        let Some(call) = self.calls.get(&request) else { return false };
        let CallPlace::Running { server, since, .. } = call.place else { return false };
        let pool = self.pools.get(&call.call.pool);
        let server = pool.and_then(|pool| pool.servers.get(&server));
        let Some(heard) = server.map(|server| server.health.heard()) else {
            return false;
        };
        heard > since && now < heard + self.options.shortest_patience
    }

    /// Takes in that a server failed a request, and decides whether it is tried again.
    /// `resumable` tells whether it may go on although it may have run.
    pub fn fail(
        &mut self,
        request: RequestId,
        fault: RouteFault,
        resumable: bool,
        now: Duration,
    ) -> (RetryDecision, Vec<RouteAction>) {
        let Some(mut call) = self.calls.remove(&request) else {
            return (RetryDecision::Stop, vec![]);
        };
        let pool = call.call.pool;
        self.blame(&call, fault, now);
        if let CallPlace::Running { server, .. } = call.place {
            call.excluded.push(server);
        }
        if !fault.not_run() {
            call.runs += 1;
        }
        let granted = std::mem::take(&mut call.granted);
        let again = granted || self.may_repeat(&call, fault, resumable, now);
        self.free(&call, now);
        if !again {
            return (RetryDecision::Stop, self.take_actions());
        }
        call.place = CallPlace::Waiting;
        let patience = now + call.call.target / QUEUE_WAIT_DIVISOR;
        call.call.give_up = call.call.give_up.max(patience).min(call.call.deadline);
        self.calls.insert(request, call);
        if let Some(state) = self.pools.get_mut(&pool) {
            state.retries.push(request);
        }
        self.pump(pool, now);
        (RetryDecision::Retry, self.take_actions())
    }

    /// Records that a server failed a request which isn't tried again, whatever the budget
    /// allows.
    pub fn fail_without_retry(
        &mut self,
        request: RequestId,
        fault: RouteFault,
        now: Duration,
    ) -> Vec<RouteAction> {
        let Some(call) = self.calls.remove(&request) else { return vec![] };
        self.blame(&call, fault, now);
        self.free(&call, now);
        self.take_actions()
    }

    /// Tells whether a further try is within the budget and of use, and pays for it.
    fn may_repeat(
        &mut self,
        call: &RoutedCall,
        fault: RouteFault,
        resumable: bool,
        now: Duration,
    ) -> bool {
        let order = &call.call;
        if !(fault.not_run() || order.repeatable || resumable) {
            return false;
        }
        if call.runs >= order.run_limit.max(1) || call.sends >= self.options.send_limit {
            return false;
        }
        if now + self.options.least_time >= order.deadline {
            return false;
        }
        if !self.has_other(call) || self.opens_after(call, order.deadline, now) {
            return false;
        }
        if !fault.arrived() {
            // The budget is for what servers get; this one got nothing.
            return true;
        }
        let (ratio, slack) = (self.options.retry_ratio, self.options.retry_slack);
        let mut part =
            slack * self.options.budget_part / f64::from(self.instances.max(1));
        if now < self.options.settling {
            part = part.min(self.options.settling_slack);
        }
        let Some(state) = self.pools.get_mut(&order.pool) else { return false };
        state.budget.spend(ratio * self.options.budget_part, part, now)
    }

    /// Tells whether there is a server that hasn't failed the request.
    fn has_other(&self, call: &RoutedCall) -> bool {
        let Some(state) = self.pools.get(&call.call.pool) else { return false };
        state
            .servers
            .iter()
            .any(|(id, server)| server.facts.in_service() && !call.excluded.contains(id))
    }

    /// Holds a fault against the server.
    fn blame(&mut self, call: &RoutedCall, fault: RouteFault, now: Duration) {
        let CallPlace::Running { server, .. } = call.place else { return };
        let Some(state) = self.pools.get_mut(&call.call.pool) else { return };
        let Some(server) = state.servers.get_mut(&server) else { return };
        server.health.fail(fault, now, &self.options);
        if fault == RouteFault::Full {
            state.shed.record_refusal(now);
        }
    }

    /// Gives servers to the requests that are tried again.
    pub(super) fn pump_retries(&mut self, pool: PoolId, now: Duration) {
        let Some(state) = self.pools.get_mut(&pool) else { return };
        for request in std::mem::take(&mut state.retries) {
            if let Some(choice) = self.choose(pool, request, now) {
                self.dispatch(request, choice, now);
            } else if self.opens_too_late(request, now) {
                self.refuse_closed(request, now);
            } else if let Some(state) = self.pools.get_mut(&pool) {
                state.retries.push(request);
            }
        }
    }
}
