//! Dispatch: which waiting request goes to which server.

use std::time::Duration;

use flaxtide_core::{ClassId, FailureReason, PoolId, RequestId, TierRank};

use super::DecisionCore;
use super::record::{CallState, RunningCall};
use crate::action::{PolicyAction, ServerChoice};
use crate::choice::{ChoiceQuery, choose_server};
use crate::queue::QueueHead;

/// The tier whose slots and priority a request of a starved class is dispatched with.
const TOP_TIER: TierRank = 0;

impl DecisionCore {
    /// Dispatches waiting requests of every pool while there are free slots.
    pub(super) fn dispatch_all(&mut self, now: Duration) {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for pool in pools {
            self.dispatch_pool(pool, now);
        }
    }

    /// Dispatches waiting requests of a pool while there are free slots.
    pub(super) fn dispatch_pool(&mut self, pool: PoolId, now: Duration) {
        self.refresh(pool, now);
        self.dispatch_retries(pool, now);
        while self.dispatch_starved(pool, now) || self.dispatch_next(pool, now) {}
    }

    /// Dispatches requests that failed at one server to another one.
    fn dispatch_retries(&mut self, pool: PoolId, now: Duration) {
        let Some(state) = self.pools.get_mut(&pool) else { return };
        if state.retries.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut state.retries);
        let mut remaining = vec![];
        for request in waiting {
            let Some(call) = self.calls.get(&request) else { continue };
            let tier = call.tier;
            match self.choose(pool, request, tier, now) {
                Some(choice) => self.dispatch(request, choice, tier, now),
                None => remaining.push(request),
            }
        }
        if let Some(state) = self.pools.get_mut(&pool) {
            state.retries = remaining;
        }
    }

    /// Dispatches the head of a class that has exceeded its starvation bound, as if it
    /// were of the top tier. Happens at most once in `starvation_turns` dispatches, so
    /// that it takes only a small part of the capacity.
    fn dispatch_starved(&mut self, pool: PoolId, now: Duration) -> bool {
        let Some(state) = self.pools.get(&pool) else { return false };
        if state.turns_since_starved < self.options.starvation_turns {
            return false;
        }
        let bound = |class| {
            let rule = self.rules.classes.get(&class);
            rule.map_or(Duration::MAX, |rule| rule.starvation_bound)
        };
        let Some(head) = state.queue.starved(now, bound) else { return false };
        if !self.dispatch_head(pool, &head, TOP_TIER, now) {
            return false;
        }
        if let Some(state) = self.pools.get_mut(&pool) {
            state.turns_since_starved = 0;
        }
        true
    }

    /// Dispatches the next request in queue order, or refuses it if it would miss its
    /// deadline.
    fn dispatch_next(&mut self, pool: PoolId, now: Duration) -> bool {
        let Some(state) = self.pools.get(&pool) else { return false };
        let Some(head) = state.queue.next() else { return false };
        if self.would_miss_deadline(pool, &head, now) {
            self.remove_waiting(head.entry.request);
            self.refuse_expired(head.entry.request, pool);
            return true;
        }
        self.dispatch_head(pool, &head, head.tier, now)
    }

    /// Dispatches the head of a class's queue if a server has a slot for it.
    fn dispatch_head(
        &mut self,
        pool: PoolId,
        head: &QueueHead,
        tier: TierRank,
        now: Duration,
    ) -> bool {
        let request = head.entry.request;
        let Some(choice) = self.choose(pool, request, tier, now) else { return false };
        let organisation = self.rules.organisations.get(&head.organisation);
        let weight = organisation.map_or(1, |rule| rule.priority);
        if let Some(state) = self.pools.get_mut(&pool) {
            state.queue.pop(head, weight, now);
            state.turns_since_starved = state.turns_since_starved.saturating_add(1);
        }
        self.dispatch(request, choice, tier, now);
        true
    }

    /// Returns whether a request that has waited would get its first token only after its
    /// expiry.
    fn would_miss_deadline(&self, pool: PoolId, head: &QueueHead, now: Duration) -> bool {
        if now == head.entry.arrived {
            return false;
        }
        let Some(call) = self.calls.get(&head.entry.request) else { return false };
        let first_token = Duration::from_secs_f64(self.mean_first_token(pool));
        now + first_token > call.expiry
    }

    /// Chooses a server for a request; `None` if no server has a free slot.
    fn choose(
        &mut self,
        pool: PoolId,
        request: RequestId,
        tier: TierRank,
        now: Duration,
    ) -> Option<ServerChoice> {
        let call = self.calls.get(&request)?;
        let state = self.pools.get(&pool)?;
        let query = ChoiceQuery {
            tier,
            excluded: &call.excluded,
            prefix: call.arrival.prefix,
            now,
        };
        let (servers, options) = (&self.servers, &self.options);
        choose_server(&query, &state.servers, servers, options, &mut self.random)
    }

    /// Assigns a request to a server and starts an attempt.
    fn dispatch(
        &mut self,
        request: RequestId,
        choice: ServerChoice,
        tier: TierRank,
        now: Duration,
    ) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        self.expiries.remove(&(call.expiry, request));
        let dispatched_at = now;
        let server = choice.server;
        call.state = CallState::Running(RunningCall {
            server,
            tier,
            dispatched_at,
            first_token: None,
        });
        call.attempts += 1;
        let attempt = call.attempts;
        let may_fail_over =
            call.arrival.repeatable && attempt < self.options.attempt_limit;
        let (pool, class) = (call.arrival.pool, call.arrival.class);
        if let Some(server) = self.servers.get_mut(server) {
            server.record_dispatch(tier, now);
        }
        if let Some(state) = self.pools.get_mut(&pool) {
            *state.running.entry(tier).or_default() += 1;
        }
        let silence_timeout = may_fail_over
            .then(|| self.silence_timeout(pool, class, tier))
            .flatten();
        let priority = tier;
        self.actions.push(PolicyAction::Dispatch {
            request,
            choice,
            priority,
            silence_timeout,
            attempt,
        });
    }

    /// Returns how long a server may be silent before the request fails over to another
    /// one. `None` until a mean time to first token is known.
    fn silence_timeout(
        &self,
        pool: PoolId,
        class: ClassId,
        tier: TierRank,
    ) -> Option<Duration> {
        let mean = self.pools.get(&pool)?.first_token.get()?;
        let timeout = Duration::from_secs_f64(mean * self.options.patience_factor);
        let timeout = timeout.max(self.options.patience_floor);
        if tier == TOP_TIER {
            return Some(timeout);
        }
        // A request of a lower tier may be silent because higher tiers preempt it.
        let bound = self.class_rule(class)?.starvation_bound;
        Some(timeout.max(bound.min(self.options.preempted_patience)))
    }

    /// Gives up every waiting request that has expired.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((expiry, request)) = self.expiries.first().copied() {
            if expiry > now {
                return;
            }
            let Some(call) = self.calls.get(&request) else {
                self.expiries.remove(&(expiry, request));
                continue;
            };
            let (pool, may_have_run) = (call.arrival.pool, call.may_have_run);
            self.remove_waiting(request);
            if may_have_run {
                let retry_after = self.backlog_retry_after(pool);
                self.actions.push(PolicyAction::GiveUp { request, retry_after });
            } else {
                self.refuse_expired(request, pool);
            }
        }
    }

    /// Refuses a request that has waited too long.
    fn refuse_expired(&mut self, request: RequestId, pool: PoolId) {
        let retry_after = self.backlog_retry_after(pool);
        self.refuse(request, FailureReason::DeadlinePassed, retry_after);
    }

    /// Removes a waiting request from its queue and from the open requests.
    pub(super) fn remove_waiting(&mut self, request: RequestId) {
        let Some(call) = self.calls.remove(&request) else { return };
        self.expiries.remove(&(call.expiry, request));
        let Some(state) = self.pools.get_mut(&call.arrival.pool) else { return };
        match call.state {
            CallState::Queued => {
                let (class, organisation) =
                    (call.arrival.class, call.arrival.organisation);
                state.queue.remove(call.tier, class, organisation, request);
            }
            CallState::Retrying => state.retries.retain(|other| *other != request),
            CallState::Running(_) => {}
        }
    }
}
