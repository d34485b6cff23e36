//! Whether this instance reaches the servers of a pool. A single server that can't be reached
//! may have failed; if most can't, the path of the instance itself is in doubt.

use std::time::Duration;

use flaxtide_core::PoolId;

use super::RouteCore;
use super::table::ServerTable;

/// How long a failed attempt to reach a server counts.
const FAILURE_VALIDITY: Duration = Duration::from_secs(5);

/// How long a successful attempt to reach a server counts.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(3);

/// The number of servers that must have failed to put the path in doubt.
const MIN_FAILED_SERVERS: u32 = 2;

/// The last attempts to get a new request through to a server. Data on a response that had
/// started before says nothing: connections may live on while new ones fail.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServerPath {
    /// When an attempt last succeeded.
    succeeded_at: Option<Duration>,
    /// When an attempt failed, if none has succeeded since.
    failed_at: Option<Duration>,
}

impl ServerPath {
    /// Records that the server responds to a request that was sent at `sent`.
    pub(crate) fn record_response(&mut self, sent: Duration, now: Duration) {
        if self.failed_at.is_none_or(|at| sent > at) {
            self.record_success(now);
        }
    }

    /// Records that the server was reached.
    pub(crate) fn record_success(&mut self, now: Duration) {
        self.succeeded_at = Some(now);
        self.failed_at = None;
    }

    /// Records that the server couldn't be reached.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Returns whether the last attempt failed.
    pub(crate) fn is_failed(&self, now: Duration) -> bool {
        self.failed_at
            .is_some_and(|at| now < at.saturating_add(FAILURE_VALIDITY))
    }

    /// Returns whether the last attempt succeeded.
    fn is_reached(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now < at.saturating_add(SUCCESS_VALIDITY);
        !self.is_failed(now) && self.succeeded_at.is_some_and(is_recent)
    }
}

/// How many servers of a pool this instance has lately reached, and how many it has failed to.
///
/// ```
/// use flaxtide_policy::PoolReach;
/// assert!(PoolReach { reached: 0, failed: 2 }.is_doubtful());
/// // Servers fail one by one while the others are reached.
/// assert!(!PoolReach { reached: 15, failed: 3 }.is_doubtful());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolReach {
    /// The number of servers that were reached.
    pub reached: u32,
    /// The number of servers that couldn't be reached.
    pub failed: u32,
}

impl PoolReach {
    /// Returns whether the path of this instance to the servers is in doubt: more of them
    /// fail than are reached.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.failed >= MIN_FAILED_SERVERS && self.failed > self.reached
    }

    /// Returns the fraction of the servers that are reached, or 1 if none was tried.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        match self.reached + self.failed {
            0 => 1.0,
            tried => f64::from(self.reached) / f64::from(tried),
        }
    }

    /// Counts the servers in service that were tried lately.
    pub(super) fn count(servers: &ServerTable, now: Duration) -> Self {
        let in_service =
            |server: &&super::server::ServerState| server.listing.in_service();
        let failed = servers.active().filter(in_service);
        let failed = failed.filter(|server| server.health.path().is_failed(now)).count();
        let failed = u32::try_from(failed).unwrap_or(u32::MAX);
        if failed < MIN_FAILED_SERVERS {
            // The common case, in which the other servers needn't be counted.
            return Self { reached: 1, failed };
        }
        let reached = servers.values().filter(in_service);
        let reached = reached.filter(|server| server.health.path().is_reached(now));
        let reached = u32::try_from(reached.count()).unwrap_or(u32::MAX);
        Self { reached, failed }
    }
}

/// A change in whether the path to the servers of a pool is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachChange {
    /// The pool.
    pub pool: PoolId,
    /// What is known of its servers.
    pub reach: PoolReach,
}

impl RouteCore {
    /// Updates what is known of the paths to the servers. Returns the pools whose path has
    /// come into doubt or is no longer in doubt.
    pub fn update_reach(&mut self, now: Duration) -> Vec<ReachChange> {
        let mut changes = vec![];
        for (pool, state) in &mut self.pools {
            let reach = PoolReach::count(&state.servers, now);
            let before = std::mem::replace(&mut state.reach, reach);
            if before.is_doubtful() != reach.is_doubtful() {
                changes.push(ReachChange { pool: *pool, reach });
            }
        }
        changes
    }

    /// Returns what is known of the paths to the servers of a pool.
    #[must_use]
    pub fn reach(&self, pool: PoolId) -> PoolReach {
        self.pools
            .get(&pool)
            .map_or_else(PoolReach::default, |state| state.reach)
    }
}
