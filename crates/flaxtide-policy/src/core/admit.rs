//! Admission control: whether an arriving request may enter its pool's queue.

use std::time::Duration;

use flaxtide_core::{
    ClassId, FailureReason, OrganisationId, PoolId, RequestId, TierRank,
};
use rand::Rng;

use super::DecisionCore;
use super::record::{CallRecord, CallState};
use crate::action::PolicyAction;
use crate::event::CallArrival;
use crate::limit::OrganisationLimit;
use crate::queue::QueueEntry;

/// The shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Up to this fraction is added at random to each `retry_after`, so that callers that
/// were refused together don't return together.
const RETRY_JITTER: f64 = 0.25;

/// The service time assumed for a class before any of its requests has finished, in
/// seconds.
const DEFAULT_SERVICE_SECONDS: f64 = 1.0;

/// How many prompt tokens count as much work as one generated token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 16.0;

impl DecisionCore {
    /// Admits an arriving request and dispatches or queues it, or refuses it.
    pub(super) fn arrive(&mut self, arrival: CallArrival, now: Duration) {
        let request = arrival.request;
        match self.admit(&arrival, now) {
            Ok(()) => {}
            Err((reason, retry_after)) => {
                self.refuse(request, reason, retry_after);
                return;
            }
        }
        let pool = arrival.pool;
        let (tier, class) = (self.tier_of(&arrival), arrival.class);
        let organisation = arrival.organisation;
        self.enqueue(arrival, now);
        self.dispatch_pool(pool, now);
        if self.calls.get(&request).is_some_and(|call| call.running().is_none()) {
            let state = &self.pools[&pool];
            let ahead = state.queue.ahead(tier, class, organisation);
            let place = ahead.map(|(_, count)| count).sum::<usize>().saturating_sub(1);
            let wait = self.predicted_wait(pool, tier, class, organisation);
            let predicted = Duration::from_secs_f64(wait);
            self.actions.push(PolicyAction::Wait { request, place, predicted });
        }
    }

    /// Checks whether a request may be queued. A refusal carries its reason and when the
    /// caller may retry.
    fn admit(
        &mut self,
        arrival: &CallArrival,
        now: Duration,
    ) -> Result<(), (FailureReason, Duration)> {
        let Some(rule) = self.class_rule(arrival.class) else {
            return Err((FailureReason::UnknownTarget, MIN_RETRY_AFTER));
        };
        let tier = rule.tier;
        let give_up = arrival.give_up.unwrap_or(rule.give_up);
        self.refresh(arrival.pool, now);
        self.check_servers(arrival.pool, give_up, now)?;
        self.check_overload(arrival, tier, give_up)?;
        self.check_rate_limit(arrival, now)?;
        self.check_queue_space(arrival.pool, tier)
    }

    /// Checks that a server of the pool is in service, or will be before the request
    /// would be given up.
    fn check_servers(
        &self,
        pool: PoolId,
        give_up: Duration,
        now: Duration,
    ) -> Result<(), (FailureReason, Duration)> {
        let give_up_at = now + give_up;
        if self
            .non_leaving_servers(pool)
            .any(|server| server.accepts_requests(give_up_at))
        {
            return Ok(());
        }
        // Without a server there is no wait to predict, so the delay is fixed.
        Err((FailureReason::NoServer, Duration::from_secs(1)))
    }

    /// Checks that the predicted wait leaves enough time for the first token.
    fn check_overload(
        &mut self,
        arrival: &CallArrival,
        tier: TierRank,
        give_up: Duration,
    ) -> Result<(), (FailureReason, Duration)> {
        let (pool, class) = (arrival.pool, arrival.class);
        if self.estimates.service_seconds(class).is_none() {
            // No request of the class has finished yet, so its service time is unknown,
            // and a default is too weak a reason to refuse.
            return Ok(());
        }
        let wait = self.predicted_wait(pool, tier, class, arrival.organisation);
        let wait = wait * self.options.admission_trust;
        let first_token = self.mean_first_token(pool);
        let slack = give_up.as_secs_f64() - first_token;
        if wait <= 0.0 || wait <= slack {
            return Ok(());
        }
        Err((FailureReason::Overloaded, self.retry_after(wait - slack.max(0.0))))
    }

    /// Checks the organisation's rate limit, and counts the request towards the demand
    /// that is reported to peers.
    fn check_rate_limit(
        &mut self,
        arrival: &CallArrival,
        now: Duration,
    ) -> Result<(), (FailureReason, Duration)> {
        let organisation = arrival.organisation;
        let rule = self.rules.organisations.get(&organisation);
        let Some(rate) = rule.and_then(|rule| rule.requests_per_second) else {
            return Ok(());
        };
        *self.arrival_counts.entry(organisation).or_default() += 1;
        let live = self.live_instances;
        let limit = self.rate_limits.entry(organisation).or_insert_with(|| {
            OrganisationLimit::new(f64::from(rate) / f64::from(live), now)
        });
        limit.admit(rate, live, now).map_err(|wait| {
            let retry_after = self.retry_after(wait.as_secs_f64());
            (FailureReason::LimitReached, retry_after)
        })
    }

    /// Checks that the queue has space. A full queue evicts a request of a lower tier, if
    /// it holds one.
    fn check_queue_space(
        &mut self,
        pool: PoolId,
        tier: TierRank,
    ) -> Result<(), (FailureReason, Duration)> {
        let Some(state) = self.pools.get(&pool) else { return Ok(()) };
        if state.queue.len() < self.options.queue_limit {
            return Ok(());
        }
        let drain = self.drain_seconds(pool);
        let Some(evicted) = state.queue.eviction_candidate(tier) else {
            return Err((FailureReason::QueueFull, self.retry_after(drain)));
        };
        let retry_after = self.retry_after(drain);
        self.remove_waiting(evicted);
        self.refuse(evicted, FailureReason::Evicted, retry_after);
        Ok(())
    }

    /// Adds an admitted request to its pool's queue.
    fn enqueue(&mut self, arrival: CallArrival, now: Duration) {
        let tier = self.tier_of(&arrival);
        let Some(rule) = self.rules.classes.get(&arrival.class) else { return };
        let first_token = arrival.first_token.unwrap_or(rule.first_token);
        let give_up = arrival.give_up.unwrap_or(rule.give_up);
        let work = self.estimates.output_tokens(arrival.class, arrival.organisation)
            + f64::from(arrival.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        let entry = QueueEntry {
            request: arrival.request,
            arrived: now,
            due_at: now + first_token / rule.priority.max(1),
            work,
        };
        let expiry = now + give_up;
        self.expiries.insert((expiry, arrival.request));
        let state = self.pools.entry(arrival.pool).or_default();
        state
            .queue
            .push(tier, arrival.class, arrival.organisation, entry, now);
        let call = CallRecord {
            arrival,
            tier,
            arrived: now,
            expiry,
            state: CallState::Queued,
            attempts: 0,
            excluded: vec![],
            may_have_run: false,
        };
        self.calls.insert(call.arrival.request, call);
    }

    /// Predicts how long a request that arrives now would wait, in seconds. Work of lower
    /// tiers is left out, as it doesn't delay the request.
    pub(super) fn predicted_wait(
        &self,
        pool: PoolId,
        tier: TierRank,
        class: ClassId,
        organisation: OrganisationId,
    ) -> f64 {
        let Some(state) = self.pools.get(&pool) else { return 0.0 };
        let capacity = f64::from(state.capacity.max(1));
        let free = capacity - f64::from(state.running_up_to(tier));
        let mut ahead = 0.0;
        let mut work = 0.0;
        for (other, count) in state.queue.ahead(tier, class, organisation) {
            ahead += count as f64;
            work += count as f64 * self.service_seconds(other);
        }
        let seconds =
            if ahead > 0.0 { work / ahead } else { self.service_seconds(class) };
        (ahead + 1.0 - free).max(0.0) * seconds / capacity
    }

    /// Returns the expected time from dispatch to the end of the response for a class, in
    /// seconds.
    fn service_seconds(&self, class: ClassId) -> f64 {
        self.estimates
            .service_seconds(class)
            .unwrap_or(DEFAULT_SERVICE_SECONDS)
    }

    /// Returns how long the whole queue of a pool takes to drain, in seconds.
    pub(super) fn drain_seconds(&self, pool: PoolId) -> f64 {
        let Some(state) = self.pools.get(&pool) else { return 1.0 };
        let all = state.queue.ahead(TierRank::MAX, u16::MAX, u16::MAX);
        let work: f64 = all
            .map(|(class, count)| count as f64 * self.service_seconds(class))
            .sum();
        work / f64::from(state.capacity.max(1))
    }

    /// Converts the expected wait into the `retry_after` of a refusal, with jitter and
    /// bounds.
    pub(super) fn retry_after(&mut self, seconds: f64) -> Duration {
        let jitter = 1.0 + RETRY_JITTER * self.random.random::<f64>();
        // `from_secs_f64` panics on a negative or very large value.
        let delay = Duration::from_secs_f64((seconds * jitter).clamp(0.0, 3600.0));
        let delay = delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Duration::from_millis(delay.as_millis() as u64)
    }

    /// Refuses a request that hasn't run on any server.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        reason: FailureReason,
        retry_after: Duration,
    ) {
        self.actions
            .push(PolicyAction::Refuse { request, reason, retry_after });
    }

    /// Returns the tier of a request's class; the lowest if the class has no rule.
    fn tier_of(&self, arrival: &CallArrival) -> TierRank {
        self.class_rule(arrival.class).map_or(TierRank::MAX, |rule| rule.tier)
    }
}
