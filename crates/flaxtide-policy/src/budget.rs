//! The retry budget, which ties the number of retries to the number of successes, so that
//! retries can't multiply the load of a failing pool.

/// A token bucket that successes fill and retries drain.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    /// The retries that are available now.
    tokens: f64,
    /// The tokens that each success adds.
    ratio: f64,
    /// The most tokens that the bucket holds.
    burst: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new(ratio: f64, burst: f64) -> Self {
        Self { tokens: burst, ratio, burst }
    }

    /// Records a success.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes a token for one retry. Returns whether there was one.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
