//! The state of one pool of servers.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId, TierRank};

use super::{DecisionCore, PoolSummary};
use crate::choice::ServerPool;
use crate::estimate::DecayedMean;
use crate::options::PolicyOptions;
use crate::queue::PoolQueue;
use crate::server::{BackendServer, ServerTable};

/// How often the statistics of a pool are updated.
const REFRESH_PERIOD: Duration = Duration::from_millis(100);

/// The rank of the highest tier. Its usable slots count as the capacity of a pool.
const TOP_TIER: TierRank = 0;

/// A pool of servers with its queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolState {
    /// The servers of the pool and their statistics.
    pub(crate) servers: ServerPool,
    /// The requests that wait for their first attempt.
    pub(crate) queue: PoolQueue,
    /// The requests that wait to be retried at another server.
    pub(crate) retries: Vec<RequestId>,
    /// The mean time from dispatch to the first token, in seconds.
    pub(crate) first_token: DecayedMean,
    /// The slots that this instance can use now, at the servers that are in service and
    /// not on probation.
    pub(crate) capacity: u32,
    /// This instance's requests at servers, by tier.
    pub(crate) running: BTreeMap<TierRank, u32>,
    /// The dispatches since one was last given to a starved class.
    pub(crate) dispatches_since_starved: u32,
    /// When the statistics were last updated; `None` before the first time.
    refreshed_at: Option<Duration>,
}

impl PoolState {
    /// Returns the current load of the pool.
    pub(crate) fn summary(&self) -> PoolSummary {
        PoolSummary {
            waiting: self.queue.count_by_tier(),
            running: self.running.clone(),
            capacity: self.capacity,
        }
    }

    /// Returns how many of this instance's requests of `tier` and higher tiers are at
    /// servers.
    pub(crate) fn running_up_to(&self, tier: TierRank) -> u32 {
        self.running.range(..=tier).map(|(_, count)| count).sum()
    }

    /// Updates the capacity and statistics of the pool, and which of its servers are on
    /// probation.
    fn refresh(
        &mut self,
        servers: &mut ServerTable,
        options: &PolicyOptions,
        now: Duration,
    ) {
        self.refreshed_at = Some(now);
        let mut token_times = vec![];
        let mut loads = vec![];
        self.capacity = 0;
        for server in servers.at(&self.servers.indices) {
            if !server.accepts_requests(now) {
                continue;
            }
            token_times
                .extend(server.token_seconds().map(|seconds| (seconds, server.server)));
            loads.extend(server.reported_load());
            if !server.on_probation {
                // Granted shares follow demand within a few heartbeat periods. A small
                // share left from a time of low demand doesn't limit what can be served
                // soon.
                let usable = server.usable_slots(TOP_TIER, now, options.idle_part);
                self.capacity += usable.max(server.fallback_share);
            }
        }
        self.servers.mean_load = match loads.len() {
            0 => 0.0,
            count => loads.iter().sum::<f64>() / count as f64,
        };
        token_times.sort_by(|one, other| one.0.total_cmp(&other.0));
        self.servers.median_token_seconds = token_times
            .get(token_times.len() / 2)
            .map_or(0.0, |seconds| seconds.0);
        self.set_probation(servers, options, &token_times);
    }

    /// Decides which servers are on probation: those with a high time per token, slowest
    /// first, up to the allowed fraction of the pool.
    fn set_probation(
        &self,
        servers: &mut ServerTable,
        options: &PolicyOptions,
        token_times: &[(f64, ServerId)],
    ) {
        let limit = self.servers.median_token_seconds * options.probation_factor;
        let max_count =
            (self.servers.members.len() as f64 * options.probation_part) as usize;
        for (rank, (seconds, id)) in token_times.iter().rev().enumerate() {
            if let Some(server) = servers.get_mut(*id) {
                server.on_probation = rank < max_count && *seconds > limit;
            }
        }
    }
}

impl DecisionCore {
    /// Updates the statistics of a pool, at most once in [`REFRESH_PERIOD`].
    pub(super) fn refresh(&mut self, pool: PoolId, now: Duration) {
        let Some(state) = self.pools.get_mut(&pool) else { return };
        if state.refreshed_at.is_some_and(|at| now < at + REFRESH_PERIOD) {
            return;
        }
        state.refresh(&mut self.servers, &self.options, now);
    }

    /// Returns the servers of a pool that aren't leaving.
    pub(super) fn non_leaving_servers(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = &BackendServer> {
        let indices = self.pools.get(&pool).map(|state| state.servers.indices.as_slice());
        let servers = self.servers.at(indices.unwrap_or_default());
        servers.filter(|server| !server.leaving)
    }

    /// Updates the statistics of every pool at once.
    pub(super) fn refresh_all(&mut self, now: Duration) {
        for state in self.pools.values_mut() {
            state.refresh(&mut self.servers, &self.options, now);
        }
    }

    /// Returns the mean time to first token in a pool, in seconds; zero before any.
    pub(super) fn mean_first_token(&self, pool: PoolId) -> f64 {
        self.pools
            .get(&pool)
            .and_then(|state| state.first_token.get())
            .unwrap_or(0.0)
    }
}
