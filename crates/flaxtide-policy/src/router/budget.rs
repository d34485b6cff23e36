//! The retry budget: in any window, retries are limited to a fraction of the requests
//! that arrived plus a fixed allowance, so that they can't multiply the load on a failing
//! pool.

use std::collections::VecDeque;
use std::time::Duration;

use flaxtide_core::RequestId;

use super::RouteCore;

/// The length of a window. `RouteOptions::retry_slack` is for this span, so a platform
/// whose limit uses another window must scale it.
const WINDOW: Duration = Duration::from_secs(10);

/// The number of steps in a window.
const STEPS: u64 = (WINDOW.as_millis() / STEP.as_millis()) as u64;

/// The length of a step. Counts cover a window and up to one step more.
const STEP: Duration = Duration::from_millis(500);

/// The part of its share of the allowance that a process may spend in its first window. Several
/// starts in a window stay within what [`RouteOptions::budget_part`](super::RouteOptions) keeps
/// back.
const STARTING_FRACTION: f64 = 0.06;

/// What an instance has counted for a pool in the current window.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests that arrived.
    pub arrived: u32,
    /// Retries that were granted.
    pub retries: u32,
}

/// Counts the requests and retries of one instance for one pool in a sliding window.
#[derive(Debug, Default)]
pub(crate) struct RetryWindow {
    /// The counts by step, oldest first.
    steps: VecDeque<StepCount>,
}

/// The counts of one step.
#[derive(Debug, Default, Clone, Copy)]
struct StepCount {
    /// The number of the step since time zero.
    step: u64,
    /// Requests that arrived.
    arrived: u32,
    /// Retries that were granted.
    retries: u32,
}

impl RetryWindow {
    /// Counts a request that arrived.
    pub(crate) fn record_arrival(&mut self, now: Duration) {
        self.current(now).arrived += 1;
    }

    /// Charges the budget for a retry. `ratio` is the number of retries per arrival,
    /// `slack` the number that is allowed in addition. Returns `false` if the budget is
    /// exhausted.
    pub(crate) fn try_spend(&mut self, ratio: f64, slack: f64, now: Duration) -> bool {
        self.current(now);
        let RetryCounts { arrived, retries } = self.counts(now);
        if f64::from(retries + 1) > ratio * f64::from(arrived) + slack {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    /// Returns the counts of the window.
    pub(crate) fn counts(&self, now: Duration) -> RetryCounts {
        let first = step_of(now).saturating_sub(STEPS);
        let steps = self.steps.iter().filter(|step| step.step >= first);
        steps.fold(RetryCounts::default(), |counts, step| RetryCounts {
            arrived: counts.arrived + step.arrived,
            retries: counts.retries + step.retries,
        })
    }

    /// Returns the current step and drops the steps that have left the window.
    fn current(&mut self, now: Duration) -> &mut StepCount {
        let step = step_of(now);
        while self.steps.front().is_some_and(|first| first.step + STEPS < step) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|last| last.step != step) {
            self.steps.push_back(StepCount { step, ..StepCount::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

impl RouteCore {
    /// Records how many instances are alive, for the retry budget. It is divided by the
    /// largest number seen, so that after a network partition the two sides together can't
    /// exceed it. `is_whole` tells whether all data centres have been heard since the start;
    /// one that hasn't may be cut off and draw on the budget.
    pub fn set_instances(&mut self, live: u32, is_whole: bool) {
        self.instances = self.instances.max(live);
        self.knows_fleet |= is_whole;
    }

    /// Returns this instance's share of the fixed allowance. There is little in the first window
    /// after the start, as the process before may have spent it, and none while the fleet isn't
    /// known. What arrivals add needs no such care: a process counts only its own.
    pub(super) fn slack_share(&self, now: Duration) -> f64 {
        if !self.knows_fleet {
            return 0.0;
        }
        let slack = self.options.retry_slack * self.options.budget_part;
        let share = slack / f64::from(self.instances.max(1));
        if now >= WINDOW + STEP {
            return share;
        }
        share * STARTING_FRACTION
    }

    /// Returns what has been counted for the retry budget of a request's pool.
    #[must_use]
    pub fn retry_counts(&self, request: RequestId, now: Duration) -> RetryCounts {
        let pool = self.calls.get(&request).map(|call| call.details.pool);
        let state = pool.and_then(|pool| self.pools.get(&pool));
        state.map(|state| state.budget.counts(now)).unwrap_or_default()
    }
}

/// Returns the number of the step at a time.
fn step_of(now: Duration) -> u64 {
    (now.as_millis() / STEP.as_millis()) as u64
}
