//! Limits of organisations, held across instances.

use std::time::Duration;

/// How much of its rate an organisation may use at once after a pause.
const BURST: Duration = Duration::from_secs(1);

/// A token bucket for one organisation at one instance.
#[derive(Debug, Clone)]
pub(crate) struct OrganisationLimit {
    /// How many requests may start now.
    tokens: f64,
    /// When `saved` was worked out.
    updated_at: Duration,
    /// This instance's share of the rate, and until when it holds.
    share: Option<(f64, Duration)>,
}

impl OrganisationLimit {
    /// Starts a limit with a full bucket for the given rate a second.
    pub(crate) fn new(rate: f64, now: Duration) -> Self {
        Self {
            tokens: (rate * BURST.as_secs_f64()).max(1.0),
            updated_at: now,
            share: None,
        }
    }

    /// Sets this instance's share of the rate.
    pub(crate) fn set_share(&mut self, share: f64, until: Duration) {
        self.share = Some((share, until));
    }

    /// Lets a request through, or says after how long one will be.
    ///
    /// `rate` is for all instances; without an unexpired share, each of `live` instances
    /// takes an equal one.
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
