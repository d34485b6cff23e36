//! An estimate of how likely the servers of a pool are to shed load.

use std::time::Duration;

use super::health::ServerHealth;
use super::options::RouteOptions;

/// The weight of the newest outcome.
const OUTCOME_WEIGHT: f64 = 0.25;

/// The time without an outcome after which the estimate has fallen by half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The probability that a server which hasn't responded to this instance recently refuses
/// a request. Each instance finds out about each refusing server separately, so without
/// this estimate a large fleet would use up its retry budget on refusals.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ShedProbability {
    /// The probability at the time of the last outcome.
    probability: f64,
    /// When the last outcome was recorded.
    at: Duration,
}

impl ShedProbability {
    /// Records that a server refused a request.
    pub(crate) fn record_refusal(&mut self, now: Duration) {
        self.record(1.0, 1.0, now);
    }

    /// Records that a server started to respond.
    pub(crate) fn record_answer(
        &mut self,
        health: &ServerHealth,
        options: &RouteOptions,
        now: Duration,
    ) {
        if self.probability > 0.0 {
            self.record(0.0, health.uncertainty(now, options), now);
        }
    }

    /// Records an outcome: 1 for a refusal, 0 for a response. Its weight grows with the
    /// uncertainty about the server.
    fn record(&mut self, outcome: f64, uncertainty: f64, now: Duration) {
        let probability = self.get(now);
        self.probability =
            probability + (outcome - probability) * OUTCOME_WEIGHT * uncertainty;
        self.at = now;
    }

    /// Returns the probability, from 0 to 1.
    pub(crate) fn get(&self, now: Duration) -> f64 {
        if self.probability == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.probability * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
