//! A token bucket that enforces a request rate with a small burst.

use std::time::Duration;

/// A token bucket; each request takes one token.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// The size of the bucket, as the time in which its rate fills it. It holds at least
    /// one token.
    burst: Duration,
    /// The tokens at `updated_at`.
    tokens: f64,
    /// When `tokens` was last computed.
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(rate: f64, burst: Duration, now: Duration) -> Self {
        Self { rate, burst, tokens: 0.0, updated_at: now }
    }

    /// Changes the rate from `now` on.
    pub(crate) fn set_rate(&mut self, rate: f64, now: Duration) {
        self.tokens = self.tokens(now);
        self.updated_at = now;
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Returns when the next request may be sent; `None` if the rate is zero or so low
    /// that the time can't be represented.
    pub(crate) fn ready_at(&self, now: Duration) -> Option<Duration> {
        let missing = (1.0 - self.tokens(now)).max(0.0);
        if missing == 0.0 {
            return Some(now);
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).ok()?;
        now.checked_add(wait)
    }

    /// Takes one token. Returns whether there was one.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        let tokens = self.tokens(now);
        let ready = tokens >= 1.0;
        self.tokens = if ready { tokens - 1.0 } else { tokens };
        self.updated_at = self.updated_at.max(now);
        ready
    }

    /// Returns the tokens at `now`.
    fn tokens(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        // Added so that a token that is due isn't slightly below 1.0 after rounding.
        const ROUNDING: f64 = 1e-9;
        (self.tokens + elapsed * self.rate + ROUNDING).min(self.capacity())
    }

    /// Returns the most tokens that the bucket holds.
    fn capacity(&self) -> f64 {
        if self.rate == 0.0 {
            0.0
        } else {
            (self.rate * self.burst.as_secs_f64()).max(1.0)
        }
    }
}
