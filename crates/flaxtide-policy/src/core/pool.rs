//! The state of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId, TierRank};

use super::{DecisionCore, PoolSummary};
use crate::choice::ServerPool;
use crate::estimate::DecayedMean;
use crate::options::PolicyOptions;
use crate::queue::PoolQueue;
use crate::server::{BackendServer, ServerTable};

/// How often what is typical of a pool is worked out.
const REFRESH_PERIOD: Duration = Duration::from_millis(100);

/// The tier by whose slots the capacity is told.
const TOP_TIER: TierRank = 0;

/// A pool of servers with its queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolState {
    /// The servers.
    pub(crate) servers: ServerPool,
    /// The waiting requests.
    pub(crate) queue: PoolQueue,
    /// The requests that wait to be tried at another server.
    pub(crate) retries: Vec<RequestId>,
    /// Seconds from dispatch to the first token.
    pub(crate) first_token: DecayedMean,
    /// This instance's share of the slots of the servers in service.
    pub(crate) capacity: u32,
    /// This instance's requests at servers, by tier.
    pub(crate) running: BTreeMap<TierRank, u32>,
    /// How many turns there have been since a starved class had one.
    pub(crate) turns_since_starved: u32,
    /// When what is typical was last worked out.
    refreshed_at: Option<Duration>,
}

impl PoolState {
    /// Returns how the pool stands.
    pub(crate) fn summary(&self) -> PoolSummary {
        PoolSummary {
            waiting: self.queue.count_by_tier(),
            running: self.running.clone(),
            capacity: self.capacity,
        }
    }

    /// Returns this instance's requests of the tier and above at servers.
    pub(crate) fn running_up_to(&self, tier: TierRank) -> u32 {
        self.running.range(..=tier).map(|(_, count)| count).sum()
    }

    /// Works out what is typical of the pool's servers, and which are on probation.
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
            if !server.in_service(now) {
                continue;
            }
            token_times
                .extend(server.token_seconds().map(|seconds| (seconds, server.server)));
            loads.extend(server.reported_load());
            if !server.on_probation {
                // Shares follow demand within a few periods, so a small one that is left
                // from quieter times says little of what can be served soon.
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

    /// Puts the slowest servers on probation, but not too many.
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
    /// Works out what is typical of a pool, unless that was done a moment ago.
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

    /// Works out at once what is typical of every pool.
    pub(super) fn refresh_all(&mut self, now: Duration) {
        for state in self.pools.values_mut() {
            state.refresh(&mut self.servers, &self.options, now);
        }
    }

    /// Returns the servers' typical time to a first token in a pool, in seconds.
    pub(super) fn mean_first_token(&self, pool: PoolId) -> f64 {
        self.pools
            .get(&pool)
            .and_then(|state| state.first_token.get())
            .unwrap_or(0.0)
    }
}
