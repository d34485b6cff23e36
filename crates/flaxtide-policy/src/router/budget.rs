//! The retry budget: in any window, retries are limited to a fraction of the requests
//! that arrived plus a fixed allowance, so that they can't multiply the load on a failing
//! pool.

use std::collections::VecDeque;
use std::time::Duration;

/// The length of a window. The allowance is for this span, so a platform that uses
/// another window must scale its allowance.
const WINDOW: Duration = Duration::from_secs(10);

/// The number of steps that a window is divided into for counting.
const STEPS: u64 = 20;

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

    /// Charges the budget for a retry. Returns `false` if the budget is exhausted.
    pub(crate) fn try_spend(&mut self, ratio: f64, slack: f64, now: Duration) -> bool {
        self.current(now);
        let arrived: u32 = self.steps.iter().map(|step| step.arrived).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        if f64::from(retries + 1) > ratio * f64::from(arrived) + slack {
            return false;
        }
        self.current(now).retries += 1;
        true
    }

    /// Returns the current step and drops the steps that have left the window.
    fn current(&mut self, now: Duration) -> &mut StepCount {
        let step = (now.as_millis() / (WINDOW.as_millis() / u128::from(STEPS))) as u64;
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
