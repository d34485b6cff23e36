//! This instance's part of the rate that a server takes from all instances.

use std::time::Duration;

use super::bucket::TokenBucket;
use super::statement::RequestRate;

/// For how long a larger part must be due before it is taken: its former owner may still use it, and
/// an instance that was frozen sees nobody alive for a moment.
const INCREASE_DELAY: Duration = Duration::from_secs(2);

/// This instance's part of the rate that a server takes from all instances.
#[derive(Debug, Clone)]
pub(crate) struct ServerRateLimit {
    /// The rate of all.
    pub(crate) rate: RequestRate,
    /// This instance's part, in requests a second.
    share: f64,
    /// A larger part that is due, and since when.
    pending_increase: Option<(f64, Duration)>,
    /// What may be sent.
    bucket: TokenBucket,
}

impl ServerRateLimit {
    /// Starts with nothing to send.
    pub(crate) fn new(rate: RequestRate, share: f64, now: Duration) -> Self {
        Self {
            rate,
            share,
            pending_increase: None,
            bucket: TokenBucket::new(share, now),
        }
    }

    /// Sets the rate of all and this instance's part. A smaller part holds at once, a larger one
    /// after a delay.
    pub(crate) fn set(&mut self, rate: RequestRate, share: f64, now: Duration) {
        let rate_changed = self.rate != rate;
        self.rate = rate;
        if share > self.share && !rate_changed {
            let since = match self.pending_increase {
                Some((due, since)) if due == share => since,
                _ => now,
            };
            self.pending_increase = Some((share, since));
            self.apply_increase(now);
            return;
        }
        self.pending_increase = None;
        self.share = share;
        self.bucket.set_rate(share, now);
    }

    /// Takes a larger part once it has been due for long enough.
    pub(crate) fn apply_increase(&mut self, now: Duration) {
        let Some((share, since)) = self.pending_increase else { return };
        if now >= since + INCREASE_DELAY {
            self.pending_increase = None;
            self.share = share;
            self.bucket.set_rate(share, now);
        }
    }

    /// Returns this instance's part, in requests a second.
    pub(crate) fn share(&self) -> f64 {
        self.share
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
