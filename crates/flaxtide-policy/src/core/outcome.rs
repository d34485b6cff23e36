//! Outcomes of attempts at servers: progress, success, failure and retry.

use std::time::Duration;

use flaxtide_core::{FailureReason, PoolId, RequestId};

use super::DecisionCore;
use super::record::{CallRecord, CallState, RunningCall};
use crate::action::PolicyAction;
use crate::event::ServerFault;

/// A stall counts as a token time of this many times the server's average.
const STALL_SLOWDOWN: f64 = 5.0;

impl DecisionCore {
    /// Records the first token of a response.
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

    /// Records the time per token of a response in progress.
    pub(super) fn progress(&mut self, request: RequestId, tokens: u32, span: Duration) {
        let Some(call) = self.calls.get(&request) else { return };
        let Some(running) = call.running() else { return };
        // Preemption by a higher tier slows a response without any fault of the server.
        if running.tier > 0 || tokens == 0 {
            return;
        }
        if let Some(server) = self.servers.get_mut(running.server) {
            server.add_token_seconds(span.as_secs_f64() / f64::from(tokens));
        }
    }

    /// Records the end of a response and frees its slot.
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

    /// Records a failed attempt, and retries the request if that is allowed.
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
        // A request that has expired by now is ended here instead of at the next event.
        let in_time = passed_on > 0 || now < call.expiry;
        if in_time && self.may_retry(&call, ran) {
            self.requeue(call, passed_on, now);
        } else {
            self.end_failed(&call);
        }
        self.free_slot(&freed.0, freed.1, now);
    }

    /// Removes a request whose caller has disconnected, or whose dispatch was dropped
    /// before it was sent.
    pub(super) fn drop_call(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.get(&request) else { return };
        let Some(running) = call.running() else {
            self.remove_waiting(request);
            return;
        };
        let Some(call) = self.calls.remove(&request) else { return };
        self.free_slot(&call, running, now);
    }

    /// Pauses a server that failed, marks it as leaving, or raises its time per token.
    fn record_fault(&mut self, running: RunningCall, fault: ServerFault, now: Duration) {
        let pause = self.options.failure_pause;
        let Some(server) = self.servers.get_mut(running.server) else { return };
        match fault {
            ServerFault::NotRun | ServerFault::Broken => server.pause(now + pause),
            ServerFault::Leaving => server.leaving = true,
            // A request of a lower tier stalls when it is preempted, which isn't the
            // server's fault.
            ServerFault::Stalled if running.tier > 0 => {}
            ServerFault::Stalled => {
                let seconds = server.token_seconds().unwrap_or(1.0);
                server.add_token_seconds(seconds * STALL_SLOWDOWN);
            }
        }
    }

    /// Excludes the server that failed a request from its retries. Once all servers of
    /// the pool are excluded, all are allowed again: a retry at a server that has failed
    /// is better than none.
    fn exclude(&self, call: &mut CallRecord, running: RunningCall) {
        call.excluded.push(running.server);
        let mut non_leaving_servers = self.non_leaving_servers(call.arrival.pool);
        if non_leaving_servers.all(|server| call.excluded.contains(&server.server)) {
            call.excluded.clear();
        }
    }

    /// Returns whether a failed request may be retried.
    fn may_retry(&mut self, call: &CallRecord, ran: bool) -> bool {
        if call.attempts >= self.options.attempt_limit {
            return false;
        }
        if !ran {
            // The request hasn't run, so the retry adds no load and isn't charged to the
            // retry budget.
            return true;
        }
        call.arrival.repeatable && self.retry_budget.withdraw()
    }

    /// Puts a failed request among its pool's retries.
    fn requeue(&mut self, mut call: CallRecord, passed_on: u32, now: Duration) {
        let request = call.arrival.request;
        if passed_on > 0 {
            // The first token was on time, so the retry gets the whole waiting time
            // again.
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

    /// Ends a request that isn't retried.
    fn end_failed(&mut self, call: &CallRecord) {
        let request = call.arrival.request;
        let retry_after = self.backlog_retry_after(call.arrival.pool);
        if call.may_have_run {
            self.actions.push(PolicyAction::GiveUp { request, retry_after });
        } else {
            self.refuse(request, FailureReason::NoServer, retry_after);
        }
    }

    /// Frees the slot of a request and dispatches waiting requests to it.
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

    /// Dispatches from every pool that the freed server belongs to.
    fn dispatch_freed(&mut self, pool: PoolId, running: RunningCall, now: Duration) {
        let server = self.servers.get(running.server);
        let pools = server.map_or_else(|| vec![pool], |server| server.pools.clone());
        for pool in pools {
            self.dispatch_pool(pool, now);
        }
    }

    /// Returns the `retry_after` for a refused caller, from the time that the pool's
    /// queue takes to drain.
    pub(super) fn backlog_retry_after(&mut self, pool: PoolId) -> Duration {
        let backlog = self.drain_seconds(pool);
        self.retry_after(backlog)
    }
}
