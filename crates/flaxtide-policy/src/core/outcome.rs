//! Outcomes: what servers did with requests, and what follows.

use std::time::Duration;

use flaxtide_core::{FailureReason, PoolId, RequestId};

use super::DecisionCore;
use super::record::{CallRecord, CallState, RunningCall};
use crate::action::PolicyAction;
use crate::event::ServerFault;

/// A server that stalls counts as this many times slower than its pool.
const STALL_SLOWDOWN: f64 = 5.0;

impl DecisionCore {
    /// Takes in the first token of an answer.
    pub(super) fn first_token(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let CallState::Running(running) = &mut call.state else { return };
        running.first_token = Some(now);
        let (dispatched_at, server) = (running.dispatched_at, running.server);
        let pool = call.arrival.pool;
        if let Some(state) = self.pools.get_mut(&pool) {
            state.first_token.add(now.saturating_sub(dispatched_at).as_secs_f64());
        }
        if let Some(server) = self.servers.get_mut(server) {
            server.resume();
        }
    }

    /// Takes in the pace of an answer that goes on.
    pub(super) fn progress(&mut self, request: RequestId, tokens: u32, span: Duration) {
        let Some(call) = self.calls.get(&request) else { return };
        let Some(running) = call.running() else { return };
        // Preemption by a higher tier slows an answer without any fault of the server.
        if running.tier > 0 || tokens == 0 {
            return;
        }
        if let Some(server) = self.servers.get_mut(running.server) {
            server.add_token_seconds(span.as_secs_f64() / f64::from(tokens));
        }
    }

    /// Takes in the end of an answer.
    pub(super) fn finish(&mut self, request: RequestId, tokens: u32, now: Duration) {
        let running = self.calls.get(&request).and_then(CallRecord::running);
        let Some(running) = running else { return };
        let Some(call) = self.calls.remove(&request) else { return };
        let span = now.saturating_sub(running.dispatched_at);
        let arrival = &call.arrival;
        self.estimates.add(arrival.class, arrival.organisation, tokens, span);
        self.retry_budget.deposit();
        self.free_slot(&call, running, now);
    }

    /// Takes in a failure, and tries the request elsewhere if that is right.
    pub(super) fn fail(
        &mut self,
        request: RequestId,
        fault: ServerFault,
        passed_on: u32,
        now: Duration,
    ) {
        let Some(mut call) = self.calls.remove(&request) else { return };
        let Some(running) = call.running() else {
            self.calls.insert(request, call);
            return;
        };
        self.record_fault(running, fault, now);
        let ran = matches!(fault, ServerFault::Broken | ServerFault::Stalled);
        call.may_have_run |= ran;
        self.exclude(&mut call, running);
        let freed = (call.clone(), running);
        // Its time may be over by now; then its final answer isn't left to the next event.
        let in_time = passed_on > 0 || now < call.expiry;
        if in_time && self.may_retry(&call, ran) {
            self.requeue(call, passed_on, now);
        } else {
            self.end_failed(&call);
        }
        self.free_slot(&freed.0, freed.1, now);
    }

    /// Forgets a request whose caller has gone, or whose dispatch was dropped unsent.
    pub(super) fn drop_call(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.get(&request) else { return };
        let Some(running) = call.running() else {
            self.remove_waiting(request);
            return;
        };
        let Some(call) = self.calls.remove(&request) else { return };
        self.free_slot(&call, running, now);
    }

    /// Lets a server that failed rest, or lowers its standing.
    fn record_fault(&mut self, running: RunningCall, fault: ServerFault, now: Duration) {
        let pause = self.options.failure_pause;
        let Some(server) = self.servers.get_mut(running.server) else { return };
        match fault {
            ServerFault::NotRun | ServerFault::Broken => server.pause(now + pause),
            ServerFault::Leaving => server.leaving = true,
            // Lower tiers stall when they are preempted; that isn't the server's fault.
            ServerFault::Stalled if running.tier > 0 => {}
            ServerFault::Stalled => {
                let seconds = server.token_seconds().unwrap_or(1.0);
                server.add_token_seconds(seconds * STALL_SLOWDOWN);
            }
        }
    }

    /// Keeps a request from the server that failed it, unless every server of the pool
    /// has: then another try at the first is better than none.
    fn exclude(&self, call: &mut CallRecord, running: RunningCall) {
        call.excluded.push(running.server);
        let mut non_leaving_servers = self.non_leaving_servers(call.arrival.pool);
        if non_leaving_servers.all(|server| call.excluded.contains(&server.server)) {
            call.excluded.clear();
        }
    }

    /// Tells whether a failed request may be tried again.
    fn may_retry(&mut self, call: &CallRecord, ran: bool) -> bool {
        if call.attempts >= self.options.attempt_limit {
            return false;
        }
        if !ran {
            // Nothing has been spent on it, so nothing is taken from the budget.
            return true;
        }
        call.arrival.repeatable && self.retry_budget.withdraw()
    }

    /// Puts a failed request back to be tried at another server.
    fn requeue(&mut self, mut call: CallRecord, passed_on: u32, now: Duration) {
        let request = call.arrival.request;
        if passed_on > 0 {
            // The first token has been on time; what counts now is the rest.
            let span = call.expiry.saturating_sub(call.arrived);
            call.expiry = now + span;
        }
        call.state = CallState::Retrying;
        self.expiries.insert((call.expiry, request));
        if let Some(state) = self.pools.get_mut(&call.arrival.pool) {
            state.retries.push(request);
        }
        self.calls.insert(request, call);
    }

    /// Ends a request that isn't tried again.
    fn end_failed(&mut self, call: &CallRecord) {
        let request = call.arrival.request;
        let retry_after = self.backlog_retry_after(call.arrival.pool);
        if call.may_have_run {
            self.actions.push(PolicyAction::GiveUp { request, retry_after });
        } else {
            self.refuse(request, FailureReason::NoServer, retry_after);
        }
    }

    /// Frees the slot of a request and gives it to the next.
    fn free_slot(&mut self, call: &CallRecord, running: RunningCall, now: Duration) {
        if let Some(server) = self.servers.get_mut(running.server) {
            server.record_end(running.tier);
        }
        let pool = call.arrival.pool;
        if let Some(state) = self.pools.get_mut(&pool)
            && let Some(count) = state.running.get_mut(&running.tier)
        {
            *count = count.saturating_sub(1);
        }
        self.dispatch_freed(pool, running, now);
    }

    /// Dispatches from every pool that the freed server serves.
    fn dispatch_freed(&mut self, pool: PoolId, running: RunningCall, now: Duration) {
        let server = self.servers.get(running.server);
        let pools = server.map_or_else(|| vec![pool], |server| server.pools.clone());
        for pool in pools {
            self.dispatch_pool(pool, now);
        }
    }

    /// Returns when a caller may come back to a pool, from the backlog of its queue.
    pub(super) fn backlog_retry_after(&mut self, pool: PoolId) -> Duration {
        let backlog = self.drain_seconds(pool);
        self.retry_after(backlog)
    }
}
