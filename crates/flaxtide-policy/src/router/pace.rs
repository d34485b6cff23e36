//! The pace of the engines of a watched pool: how fast they prefill on average.

use std::time::Duration;

use super::server::ServerState;
use super::table::ServerTable;

/// The time between two updates.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);

/// The pace of the engines of a pool. Nothing is known of it unless any is watched.
#[derive(Debug, Default)]
pub(crate) struct PoolPace {
    /// The mean rate at which the engines prefill now, in tokens per millisecond.
    mean_rate: Option<f64>,
    /// When the pace was last updated.
    updated_at: Option<Duration>,
}

impl PoolPace {
    /// Updates the pace if that is due.
    pub(crate) fn update(&mut self, servers: &ServerTable, now: Duration) {
        if self.updated_at.is_some_and(|at| now < at + UPDATE_PERIOD) {
            return;
        }
        self.updated_at = Some(now);
        let engines: Vec<&ServerState> = servers
            .values()
            .filter(|server| server.listing.in_service())
            .filter(|server| server.listing.engine.is_some())
            .collect();
        if !engines.iter().any(|engine| engine.sightings.is_watched(now)) {
            self.mean_rate = None;
            return;
        }
        let rates = engines.iter().map(|engine| engine.prefill_rate.tokens_per_ms(now));
        self.mean_rate = Some(rates.sum::<f64>() / engines.len() as f64);
    }

    /// Returns the mean rate at which the engines prefill, in tokens per millisecond.
    pub(crate) fn mean_rate(&self) -> Option<f64> {
        self.mean_rate
    }
}
