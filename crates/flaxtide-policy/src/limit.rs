//! Rate limits of organisations, divided among instances.

use std::time::Duration;

/// The burst that an organisation may send, as the time in which its rate fills the
/// bucket.
const BURST: Duration = Duration::from_secs(1);

/// A token bucket for one organisation at one instance.
#[derive(Debug, Clone)]
pub(crate) struct OrganisationLimit {
    /// The tokens at `updated_at`; each request takes one.
    tokens: f64,
    /// When `tokens` was last computed.
    updated_at: Duration,
    /// This instance's share of the rate, and when it expires.
    share: Option<(f64, Duration)>,
}

impl OrganisationLimit {
    /// Creates a limit with a full bucket for `rate` requests a second.
    pub(crate) fn new(rate: f64, now: Duration) -> Self {
        Self {
            tokens: (rate * BURST.as_secs_f64()).max(1.0),
            updated_at: now,
            share: None,
        }
    }

    /// Sets this instance's share of the rate, which expires at `until`.
    pub(crate) fn set_share(&mut self, share: f64, until: Duration) {
        self.share = Some((share, until));
    }

    /// Takes a token for a request, or returns how long until there is one.
    ///
    /// `rate` is the limit over all instances. Without a share in force, this instance
    /// may use an equal part for each of `live` instances.
    pub(crate) fn admit(
        &mut self,
        rate: u32,
        live: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        let share = match self.share {
            Some((share, until)) if now < until => share,
            _ => 1.0 / f64::from(live.max(1)),
        };
        let rate = f64::from(rate) * share;
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let burst = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.updated_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / rate.max(1e-3);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }
}
