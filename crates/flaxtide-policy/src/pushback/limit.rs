//! This instance's share of the rate that a server states for all instances.

use std::time::Duration;

use super::bucket::TokenBucket;
use super::statement::RequestRate;

/// How long a larger share stays pending before it is used. Its former owner may still be
/// using it, and an instance that was frozen briefly sees no live peers and computes too
/// large a share.
const INCREASE_DELAY: Duration = Duration::from_secs(2);

/// This instance's share of the rate that a server states for all instances.
#[derive(Debug, Clone)]
pub(crate) struct RateLimit {
    /// The rate for all instances together.
    pub(crate) rate: RequestRate,
    /// The share that is used now, in requests a second.
    share: f64,
    /// A larger share that isn't used yet, and since when it has been pending.
    pending_increase: Option<(f64, Duration)>,
    /// The bucket that enforces the share.
    bucket: TokenBucket,
}

impl RateLimit {
    /// Creates a limit with an empty bucket, which is filled within `burst`.
    pub(crate) fn new(
        rate: RequestRate,
        share: f64,
        burst: Duration,
        now: Duration,
    ) -> Self {
        Self {
            rate,
            share,
            pending_increase: None,
            bucket: TokenBucket::new(share, burst, now),
        }
    }

    /// Sets the rate and this instance's share of it. A smaller share, or any share of
    /// another rate, is used at once; a larger share of the same rate only after
    /// [`INCREASE_DELAY`].
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

    /// Starts to use a larger share once it has been pending for [`INCREASE_DELAY`].
    pub(crate) fn apply_increase(&mut self, now: Duration) {
        let Some((share, since)) = self.pending_increase else { return };
        if now >= since + INCREASE_DELAY {
            self.pending_increase = None;
            self.share = share;
            self.bucket.set_rate(share, now);
        }
    }

    /// Returns the share that is used now, in requests a second.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.bucket.is_ready(now)
    }

    /// Returns when the next request may be sent; `None` if the share is zero or so low
    /// that the time can't be represented.
    pub(crate) fn ready_at(&self, now: Duration) -> Option<Duration> {
        self.bucket.ready_at(now)
    }

    /// Takes one token. Returns whether a request may be sent.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        self.bucket.take(now)
    }
}
