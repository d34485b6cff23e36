//! The retry budget: retries are paid for by successes, so that they can't multiply the
//! load of a pool that is failing.

/// A token bucket that successes fill and retries drain.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    /// What has been saved.
    tokens: f64,
    /// What each success adds.
    ratio: f64,
    /// The most that can be saved.
    burst: f64,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub(crate) fn new(ratio: f64, burst: f64) -> Self {
        Self { tokens: burst, ratio, burst }
    }

    /// Records a success.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry out of the budget, if there is one.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
