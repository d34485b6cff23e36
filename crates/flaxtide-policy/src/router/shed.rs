//! How likely it is that servers of a pool turn requests away.

use std::time::Duration;

use super::health::ServerHealth;
use super::options::RouteOptions;

/// How much the newest outcome counts.
const OUTCOME_WEIGHT: f64 = 0.25;

/// After so long without an outcome, half of what was learnt is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// How likely a server of a pool that hasn't answered this instance lately turns a request away.
/// Each instance is turned away by each such server before it knows, so a large fleet would spend
/// its budget of repeats on that.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ShedProbability {
    /// The odds as of the last outcome.
    probability: f64,
    /// When that was.
    at: Duration,
}

impl ShedProbability {
    /// Records that a server has turned a request away.
    pub(crate) fn record_refusal(&mut self, now: Duration) {
        self.record(1.0, 1.0, now);
    }

    /// Records that a server answers.
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

    /// Records an outcome: 1 for a refusal, 0 for an answer. The stranger the server was, the more
    /// it counts.
    fn record(&mut self, outcome: f64, uncertainty: f64, now: Duration) {
        let probability = self.get(now);
        self.probability =
            probability + (outcome - probability) * OUTCOME_WEIGHT * uncertainty;
        self.at = now;
    }

    /// Returns the odds, from 0 to 1.
    pub(crate) fn get(&self, now: Duration) -> f64 {
        if self.probability == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.probability * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
