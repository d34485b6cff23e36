//! This instance's part of the rate that a server takes from all instances.

use std::time::Duration;

use super::bucket::TokenBucket;
use super::statement::RequestRate;

/// For how long a larger part must be due before it is taken: its former owner may still use it, and
/// an instance that was frozen sees nobody alive for a moment.
const GROWTH_DELAY: Duration = Duration::from_secs(2);

/// This instance's part of the rate that a server takes from all instances.
#[derive(Debug, Clone)]
pub(crate) struct RateLimit {
    /// The rate of all.
    pub(crate) rate: RequestRate,
    /// This instance's part, in requests a second.
    part: f64,
    /// A larger part that is due, and since when.
    growth: Option<(f64, Duration)>,
    /// What may be sent.
    bucket: TokenBucket,
}

impl RateLimit {
    /// Starts with nothing to send.
    pub(crate) fn new(rate: RequestRate, part: f64, now: Duration) -> Self {
        Self {
            rate,
            part,
            growth: None,
            bucket: TokenBucket::new(part, now),
        }
    }

    /// Sets the rate of all and this instance's part. A smaller part holds at once, a larger one
    /// after a delay.
    pub(crate) fn set(&mut self, rate: RequestRate, part: f64, now: Duration) {
        let restated = self.rate != rate;
        self.rate = rate;
        if part > self.part && !restated {
            let since = match self.growth {
                Some((due, since)) if due == part => since,
                _ => now,
            };
            self.growth = Some((part, since));
            self.grow(now);
            return;
        }
        self.growth = None;
        self.part = part;
        self.bucket.set_rate(part, now);
    }

    /// Takes a larger part once it has been due for long enough.
    pub(crate) fn grow(&mut self, now: Duration) {
        let Some((part, since)) = self.growth else { return };
        if now >= since + GROWTH_DELAY {
            self.growth = None;
            self.part = part;
            self.bucket.set_rate(part, now);
        }
    }

    /// Returns this instance's part, in requests a second.
    pub(crate) fn part(&self) -> f64 {
        self.part
    }

    /// Returns whether a request may be sent.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.bucket.is_ready(now)
    }

    /// Returns when a request may be sent; nothing if that can't be told.
    pub(crate) fn ready_at(&self, now: Duration) -> Option<Duration> {
        self.bucket.ready_at(now)
    }

    /// Takes what one request needs. Returns whether it may be sent.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        self.bucket.take(now)
    }
}
