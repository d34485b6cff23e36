//! Retries: whether a request that failed on one server may and should be sent to
//! another.

use std::time::Duration;

use flaxtide_core::{PoolId, RequestId};

use super::call::{CallPhase, RouteFault, RoutedCall, VersionKey};
use super::choose::RouteReason;
use super::liveness::{EngineLiveness, WATCH_PERIOD, is_sooner_elsewhere, stream_gap};
use super::server::ServerState;
use super::{QUEUE_WAIT_DIVISOR, RouteAction, RouteCore};

/// The decision after a request failed on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request waits for another server; a [`RouteAction`] follows.
    Retry,
    /// The request has failed for good.
    Stop,
}

/// What the silence of a server means for one of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SilenceVerdict {
    /// The server may still respond in time: the request stays.
    Patience,
    /// The server works, but another one would respond sooner.
    Busy,
    /// The server or the path to it has failed.
    Fault,
}

impl RouteCore {
    /// Returns whether a request on a silent server may be aborted there. This is so only
    /// if a retry is granted, which is charged to the budget: without one the request
    /// would be lost, although the server may still respond. On an engine that its watchers
    /// report to be alive, a request is aborted only if it is sooner served elsewhere or
    /// lost on the way. `resumable` is as in [`RouteCore::fail`], which must be called next
    /// if this returns `true`.
    pub fn may_abort_silent(
        &mut self,
        request: RequestId,
        resumable: bool,
        now: Duration,
    ) -> bool {
        let verdict = self.judge_silence(request, now);
        if verdict == SilenceVerdict::Patience {
            return false;
        }
        let Some(mut call) = self.calls.remove(&request) else { return false };
        if let CallPhase::Running { server, .. } = call.phase {
            call.excluded.push(server);
        }
        let runs = self.count_runs(&call);
        call.runs += runs;
        let granted = self.grant_retry(&call, RouteFault::Silent, resumable, now);
        call.runs -= runs;
        call.excluded.pop();
        call.retry_granted = granted;
        if !granted {
            if call.progress().is_some_and(|at| call.patient_until > at.sent) {
                call.patient_until = now + call.patience;
            }
            // The request stays on the server, but new requests avoid it.
            self.record_fault(&call, RouteFault::Silent, now);
        }
        self.calls.insert(request, call);
        granted
    }

    /// Returns after which silence of a stream [`Self::may_abort_silent`] is asked: `usual`,
    /// or sooner if watchers may report the death of the server before.
    #[must_use]
    pub fn stream_patience(
        &self,
        request: RequestId,
        usual: Duration,
        now: Duration,
    ) -> Duration {
        let server = self.call_and_server(request).map(|(_, server)| server);
        match server.is_some_and(|server| server.is_watched(now)) {
            true => usual.min(WATCH_PERIOD),
            false => usual,
        }
    }

    /// Judges the silence of the server of a request.
    fn judge_silence(&mut self, request: RequestId, now: Duration) -> SilenceVerdict {
        let Some((call, server)) = self.call_and_server(request) else {
            return SilenceVerdict::Fault;
        };
        let liveness = server.liveness(now);
        if liveness == EngineLiveness::Dead {
            return SilenceVerdict::Fault;
        }
        if (now < call.patient_until && !call.has_data())
            || self.answered_others(request, now)
        {
            return SilenceVerdict::Patience;
        }
        if liveness != EngineLiveness::Alive || is_lost(call, server, now) {
            return SilenceVerdict::Fault;
        }
        if call.has_data() || now < call.compares_at {
            return SilenceVerdict::Patience;
        }
        if self.is_sooner_served_elsewhere(request, now) {
            return SilenceVerdict::Busy;
        }
        // Comparing all engines is costly, and little changes between two questions.
        if let Some(call) = self.calls.get_mut(&request) {
            call.compares_at = now + call.patience;
        }
        SilenceVerdict::Patience
    }

    /// Returns whether another engine would read the prompt of a request sooner, although it
    /// has to begin with it.
    fn is_sooner_served_elsewhere(&mut self, request: RequestId, now: Duration) -> bool {
        let Some((call, server)) = self.call_and_server(request) else { return false };
        let rate = server.prefill_rate.tokens_per_ms(now);
        let pending = self.pending_prefill_ms(server, call.details.level, now);
        let left_ms = pending.min(call.tokens_ahead / rate);
        let (pool, current) = (call.details.pool, server.listing.server);
        let Some(call) = self.calls.get_mut(&request) else { return false };
        call.excluded.push(current);
        let choice = self.choose(pool, request, now);
        if let Some(call) = self.calls.get_mut(&request) {
            call.excluded.pop();
        }
        choice.is_some_and(|choice| {
            let again_ms = choice.expected.as_secs_f64() * 1000.0;
            choice.reason != RouteReason::LastResort
                && is_sooner_elsewhere(left_ms, again_ms)
        })
    }

    /// Returns a running request and its server.
    fn call_and_server(&self, request: RequestId) -> Option<(&RoutedCall, &ServerState)> {
        let call = self.calls.get(&request)?;
        let CallPhase::Running { server, .. } = call.phase else { return None };
        let pool = self.pools.get(&call.details.pool)?;
        Some((call, pool.servers.get(server)?))
    }

    /// Returns whether the server of a request has recently sent something for other
    /// requests, and after this one was sent. Then it is busy and not unreachable.
    fn answered_others(&self, request: RequestId, now: Duration) -> bool {
        let Some((call, server)) = self.call_and_server(request) else { return false };
        let Some(progress) = call.progress() else { return false };
        let last_heard = server.health.last_heard();
        last_heard > progress.sent && now < last_heard + self.options.shortest_patience
    }

    /// Records that a server failed a request, and decides whether the request is
    /// retried. `resumable` tells whether the request may continue on another server
    /// although it may have run.
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
        let pool = call.details.pool;
        self.record_fault(&call, fault, now);
        if let CallPhase::Running { server, .. } = call.phase {
            call.excluded.push(server);
        }
        if !fault.not_run() {
            call.runs += self.count_runs(&call);
        }
        let granted = std::mem::take(&mut call.retry_granted);
        let retry = granted || self.grant_retry(&call, fault, resumable, now);
        self.release(&call, now);
        if !retry {
            return (RetryDecision::Stop, self.take_actions());
        }
        call.phase = CallPhase::Waiting;
        let wait_until = now + call.details.target / QUEUE_WAIT_DIVISOR;
        call.details.give_up =
            call.details.give_up.max(wait_until).min(call.details.deadline);
        self.calls.insert(request, call);
        if let Some(state) = self.pools.get_mut(&pool) {
            state.retries.push(request);
        }
        self.dispatch_queued(pool, now);
        (RetryDecision::Retry, self.take_actions())
    }

    /// Records that a server failed a request, and doesn't retry it even if the budget
    /// would allow it.
    pub fn fail_without_retry(
        &mut self,
        request: RequestId,
        fault: RouteFault,
        now: Duration,
    ) -> Vec<RouteAction> {
        let Some(call) = self.calls.remove(&request) else { return vec![] };
        self.record_fault(&call, fault, now);
        self.release(&call, now);
        self.take_actions()
    }

    /// Returns whether a retry is allowed and can succeed, and charges it to the budget
    /// if so.
    fn grant_retry(
        &mut self,
        call: &RoutedCall,
        fault: RouteFault,
        resumable: bool,
        now: Duration,
    ) -> bool {
        let details = &call.details;
        if !(fault.not_run() || details.repeatable || resumable) {
            return false;
        }
        let has_forward_peer = self.has_forward_peer(call, now);
        // The sends that showed the path to be in doubt reached no server.
        let sends = if has_forward_peer { 2 } else { 1 } * self.options.send_limit;
        if call.runs >= details.run_limit.max(1) || call.sends >= sends {
            return false;
        }
        if now + self.options.least_time >= details.deadline {
            return false;
        }
        if !has_forward_peer
            && (!self.has_alternative(call)
                || self.no_server_before(call, details.deadline, now))
        {
            return false;
        }
        if !fault.reached_server() && call.peer_sends == 0 {
            // The budget limits the load on servers, and this request reached none.
            return true;
        }
        let (ratio, slack_share) = (self.options.retry_ratio, self.slack_share(now));
        let Some(state) = self.pools.get_mut(&details.pool) else { return false };
        state
            .budget
            .try_spend(ratio * self.options.budget_part, slack_share, now)
    }

    /// Returns whether there is a server that hasn't failed the request.
    fn has_alternative(&self, call: &RoutedCall) -> bool {
        let Some(state) = self.pools.get(&call.details.pool) else { return false };
        state.servers.of_version(call.details.version).any(|server| {
            server.listing.accepts(&call.details)
                && !call.excluded.contains(&server.listing.server)
        })
    }

    /// Records a fault in the state of the server and its pool. The silence of an engine
    /// that is alive is none, unless the path to it is suspect. Neither is that of a peer
    /// which reached servers that refused the request.
    fn record_fault(&mut self, call: &RoutedCall, fault: RouteFault, now: Duration) {
        let CallPhase::Running { server, .. } = call.phase else { return };
        let known = self.pools.get(&call.details.pool);
        let known = known.and_then(|pool| pool.servers.get(server));
        let refusal_pause = known.and_then(|server| self.refusal_pause(server));
        let Some(state) = self.pools.get_mut(&call.details.pool) else { return };
        let Some(server) = state.servers.get_mut(server) else { return };
        if fault == RouteFault::Silent
            && server.liveness(now) == EngineLiveness::Alive
            && !is_lost(call, server, now)
        {
            return;
        }
        if fault == RouteFault::Declined && call.peer_sends > 0 {
            return;
        }
        server.health.record_fault(fault, now, &self.options);
        if fault == RouteFault::Broken && !call.has_data() {
            server.health.record_path_failure(now);
        }
        if fault == RouteFault::Unreachable {
            server.suspect_restart(self.group.as_deref(), self.seed, now);
        }
        if fault == RouteFault::Full {
            if let Some(pause) = refusal_pause {
                let own = server.load.own_running();
                server.pushback.refusals.record_refusal(own, pause, now);
            }
            state.shed.record_refusal(now);
        }
    }

    /// Dispatches the requests that wait beside the queue, and refuses those that no server
    /// accepts in time. Of those that wait for the same version, none is tried after one for
    /// which there is no room.
    pub(super) fn dispatch_retries(&mut self, pool: PoolId, now: Duration) {
        let Some(state) = self.pools.get_mut(&pool) else { return };
        let mut full: Vec<VersionKey> = vec![];
        for request in std::mem::take(&mut state.retries) {
            let unsent = self.calls.get(&request).filter(|call| {
                call.excluded.is_empty() && call.details.regions.is_none()
            });
            let version = unsent.and_then(|call| call.details.version);
            let is_full = version.is_some_and(|version| full.contains(&version));
            if !is_full && let Some(choice) = self.choose(pool, request, now) {
                self.dispatch(request, choice, now);
            } else if !is_full && self.no_server_in_time(request, now) {
                self.refuse_unavailable(request, now);
            } else if let Some(state) = self.pools.get_mut(&pool) {
                full.extend(version.filter(|_| !is_full));
                state.retries.push(request);
            }
        }
    }
}

/// Returns whether a request on an engine that is alive, or its response, is lost on the way:
/// its stream has paused for longer than callers accept, or the engine doesn't have it.
fn is_lost(call: &RoutedCall, server: &ServerState, now: Duration) -> bool {
    match (call.last_data_at, call.progress()) {
        (Some(at), _) => now >= at + stream_gap(call),
        (None, Some(progress)) => server.lacks_request(progress.sent),
        (None, None) => false,
    }
}
