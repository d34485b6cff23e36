//! The retry budget: in any window, repeats stay under a part of the requests that came
//! and a fixed allowance, so that they can't multiply the load of a failing pool.

use std::collections::VecDeque;
use std::time::Duration;

/// How long a window is. The allowance is for this span, so a platform with another window
/// scales its allowance to it.
const WINDOW: Duration = Duration::from_secs(10);

/// Into how many steps a window is counted.
const STEPS: u64 = 20;

/// Requests and repeats of one instance for one pool.
#[derive(Debug, Default)]
pub(crate) struct RetryWindow {
    /// Counts by step, oldest first.
    steps: VecDeque<StepCount>,
}

/// What was counted in one step.
#[derive(Debug, Default, Clone, Copy)]
struct StepCount {
    /// Which step.
    step: u64,
    /// Requests that came.
    arrived: u32,
    /// Repeats.
    retries: u32,
}

impl RetryWindow {
    /// Counts a request that came.
    pub(crate) fn record_arrival(&mut self, now: Duration) {
        self.current(now).arrived += 1;
    }

    /// Pays for a repeat, if the budget allows it.
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

    /// Returns the present step, and forgets those that are out of the window.
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
