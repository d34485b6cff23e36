//! The pace of the engines of a watched pool: how fast they prefill on average, and which
//! of them are slow.

use std::collections::HashSet;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::server::ServerState;
use super::table::ServerTable;

/// An engine becomes slow below this fraction of the pool's median rate.
const SLOW_BELOW: f64 = 0.75;

/// A slow engine is no longer slow above this fraction of the pool's median rate. The gap
/// to [`SLOW_BELOW`] keeps an engine that is close to it from moving its parts to and fro.
const SLOW_UNTIL: f64 = 0.9;

/// The time between two updates.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);

/// The pace of the engines of a pool. Nothing is known of it unless any is watched.
#[derive(Debug, Default)]
pub(crate) struct PoolPace {
    /// The mean rate at which the engines prefill now, in tokens per millisecond.
    mean_rate: Option<f64>,
    /// The slow engines.
    slow: HashSet<ServerId>,
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
            self.slow.clear();
            return;
        }
        let rates = engines.iter().map(|engine| engine.prefill_rate.tokens_per_ms(now));
        self.mean_rate = Some(rates.sum::<f64>() / engines.len() as f64);
        self.update_slow(&engines);
    }

    /// Returns the mean rate at which the engines prefill, in tokens per millisecond.
    pub(crate) fn mean_rate(&self) -> Option<f64> {
        self.mean_rate
    }

    /// Returns whether an engine is slow.
    pub(crate) fn is_slow(&self, server: ServerId) -> bool {
        self.slow.contains(&server)
    }

    /// Updates which engines are slow.
    fn update_slow(&mut self, engines: &[&ServerState]) {
        let rate = |engine: &ServerState| engine.prefill_rate.learnt_tokens_per_ms();
        let mut rates: Vec<f64> = engines.iter().map(|engine| rate(engine)).collect();
        rates.sort_unstable_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        let slow = engines.iter().filter(|engine| {
            let was_slow = self.slow.contains(&engine.listing.server);
            rate(engine) < median * if was_slow { SLOW_UNTIL } else { SLOW_BELOW }
        });
        self.slow = slow.map(|engine| engine.listing.server).collect();
    }
}
