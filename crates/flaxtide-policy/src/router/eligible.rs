//! Which servers may get requests, judged by their health, and changes of it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use flaxtide_core::{PoolId, ServerId};

use super::RouteCore;
use super::health::{HealthCause, OUTLIER_MARGIN, ServerWork};
use super::liveness::EngineLiveness;
use super::server::ServerState;

/// A change in whether a server is considered healthy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthChange {
    /// The server whose health changed.
    pub server: ServerId,
    /// Whether the server gets requests from now on.
    pub healthy: bool,
    /// Why it gets none; `None` if it does.
    pub cause: Option<HealthCause>,
    /// The decayed fraction of its requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// The time since anything was last received from the server.
    pub heard_ago: Duration,
}

impl RouteCore {
    /// Returns the servers whose health changed since the last call. Only the active ones
    /// are checked: the others are idle and haven't failed any request lately.
    pub fn health_changes(&mut self, now: Duration) -> Vec<HealthChange> {
        let mut changes = vec![];
        for pool in self.pools.keys().copied().collect::<Vec<PoolId>>() {
            let unhealthy = self.unhealthy_active(pool, now);
            let Some(state) = self.pools.get_mut(&pool) else { continue };
            state.servers.update_active(|server| {
                let cause = unhealthy.get(&server.listing.server).copied();
                let is_healthy = cause.is_none();
                if !server.listing.in_service() || server.reported_healthy == is_healthy {
                    return;
                }
                server.reported_healthy = is_healthy;
                changes.push(HealthChange {
                    server: server.listing.server,
                    healthy: is_healthy,
                    cause,
                    failure_rate: server.health.failure_rate(),
                    heard_ago: now.saturating_sub(server.health.last_heard()),
                });
            });
            state.servers.retain_active(now);
        }
        changes
    }

    /// Returns the servers that are neither paused nor silent and whose failure rate
    /// isn't an outlier in their pool. Outliers are kept if too few servers would remain
    /// without them.
    pub(super) fn healthy_servers<'a>(
        &self,
        usable: &[&'a ServerState],
        now: Duration,
    ) -> Vec<&'a ServerState> {
        self.available_inliers(usable.to_vec(), 0, now)
    }

    /// Returns the active servers of a pool that are unhealthy by the criteria of
    /// [`Self::healthy_servers`], with the causes. All other servers in service count as
    /// healthy, without failures.
    fn unhealthy_active(
        &self,
        pool: PoolId,
        now: Duration,
    ) -> HashMap<ServerId, HealthCause> {
        let Some(state) = self.pools.get(&pool) else { return HashMap::new() };
        let in_service = state.servers.active();
        let in_service: Vec<&ServerState> =
            in_service.filter(|server| server.listing.in_service()).collect();
        let idle = state.servers.count_in_service() - in_service.len();
        let healthy = self.available_inliers(in_service.clone(), idle, now);
        let healthy: HashSet<ServerId> =
            healthy.iter().map(|server| server.listing.server).collect();
        let unhealthy = in_service
            .into_iter()
            .filter(|server| !healthy.contains(&server.listing.server));
        let causes = unhealthy.map(|server| {
            let cause = self.obstacle(server, now).unwrap_or(HealthCause::Failures);
            (server.listing.server, cause)
        });
        causes.collect()
    }

    /// Returns the servers that are available and whose failure rate isn't an outlier among
    /// them and `idle` others, which have no failures.
    fn available_inliers<'a>(
        &self,
        servers: Vec<&'a ServerState>,
        idle: usize,
        now: Duration,
    ) -> Vec<&'a ServerState> {
        let least = (servers.len() + idle) as f64 * (1.0 - self.options.ejected_part);
        let mut available = servers;
        available.retain(|server| self.obstacle(server, now).is_none());
        let mut failures: Vec<f64> =
            available.iter().map(|server| server.health.failure_rate()).collect();
        failures.sort_by(f64::total_cmp);
        let middle = (idle + failures.len()) / 2;
        let median = middle.checked_sub(idle).and_then(|index| failures.get(index));
        let limit = median.copied().unwrap_or_default() + OUTLIER_MARGIN;
        let inliers = available.iter().copied();
        let inliers: Vec<&ServerState> = inliers
            .filter(|server| server.health.failure_rate() <= limit)
            .collect();
        if ((inliers.len() + idle) as f64) < least { available } else { inliers }
    }

    /// Returns the servers that aren't known to be dead, or all of them if none is left.
    pub(super) fn not_dead<'a>(
        &self,
        usable: &[&'a ServerState],
        now: Duration,
    ) -> Vec<&'a ServerState> {
        let is_dead =
            |server: &&ServerState| server.liveness(now) == EngineLiveness::Dead;
        let left = usable.iter().copied().filter(|server| !is_dead(server));
        let left: Vec<&ServerState> = left.collect();
        if left.is_empty() { usable.to_vec() } else { left }
    }

    /// Returns why a server counts as paused, silent or dead, or `None` if it doesn't.
    fn obstacle(&self, server: &ServerState, now: Duration) -> Option<HealthCause> {
        // The level `u8::MAX` includes the prompts of all urgency levels.
        let expected = Duration::from_secs_f64(
            self.pending_prefill_ms(server, u8::MAX, now) / 1000.0,
        );
        let work = ServerWork {
            stream_gap: server.load.stream_gap(&self.calls),
            waiting_since: server.load.waiting_since(&self.calls),
            expected,
        };
        server.health.obstacle(work, server.liveness(now), now, &self.options)
    }
}
