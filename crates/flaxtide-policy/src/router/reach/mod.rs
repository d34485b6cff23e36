//! Whether this instance reaches the servers of a pool. A single server that can't be reached
//! may have failed; if most can't, the path of the instance itself is in doubt.

mod controls;

use std::collections::HashSet;
use std::time::Duration;

use flaxtide_core::{PoolId, ServerId};

use super::server::ServerState;
use super::table::ServerTable;
use super::{RouteCore, RoutePool, find_server};

/// How long a failed attempt to reach a server counts.
const FAILURE_VALIDITY: Duration = Duration::from_secs(5);

/// How long a successful attempt to reach a server counts.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(3);

/// The number of servers that must have failed to put the path in doubt.
const MIN_FAILED_SERVERS: u32 = 2;

/// The number of failed servers that puts the path in doubt however many weren't tried.
const CONCLUSIVE_FAILURES: u32 = 4;

/// How often servers that fail are tried while the path is in doubt.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// How often they are tried once one of them has been reached again.
const RECOVERY_PROBE_PERIOD: Duration = Duration::from_millis(100);

/// How many servers are tried at a time.
const PROBED_SERVERS: usize = 2;

/// After this many probes in a row that reached a server, the path is taken to be restored.
const RESTORING_PROBES: u32 = 3;

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

    /// Forgets a failure, so that the server counts as untried.
    pub(crate) fn forget_failure(&mut self) {
        self.failed_at = None;
    }

    /// Records that the server couldn't be reached.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Returns whether the last attempt failed.
    pub(crate) fn is_failed(&self, now: Duration) -> bool {
        self.failure(now).is_some()
    }

    /// Returns when the last attempt failed, if it did.
    fn failure(&self, now: Duration) -> Option<Duration> {
        self.failed_at.filter(|at| now < at.saturating_add(FAILURE_VALIDITY))
    }

    /// Returns whether the last attempt failed, before a time.
    fn failed_before(&self, time: Duration, now: Duration) -> bool {
        self.failure(now).is_some_and(|at| at < time)
    }

    /// Returns when the last attempt was made.
    fn tried_at(&self) -> Option<Duration> {
        self.failed_at.max(self.succeeded_at)
    }

    /// Returns whether the last attempt succeeded, after `since`.
    fn is_reached_since(&self, since: Duration, now: Duration) -> bool {
        let is_recent =
            |at: Duration| at > since && now < at.saturating_add(SUCCESS_VALIDITY);
        !self.is_failed(now) && self.succeeded_at.is_some_and(is_recent)
    }
}

/// How many servers of a pool this instance has lately reached, and how many it has failed to.
///
/// ```
/// use flaxtide_policy::PoolReach;
/// assert!(PoolReach { reached: 0, failed: 4, untried: 14 }.is_doubtful());
/// // Servers fail one by one while the others are reached.
/// assert!(!PoolReach { reached: 15, failed: 3, untried: 0 }.is_doubtful());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolReach {
    /// The number of servers that were reached; if some have failed, since the first of them
    /// has.
    pub reached: u32,
    /// The number of servers that couldn't be reached.
    pub failed: u32,
    /// The number of servers that weren't tried since the first of the others failed.
    pub untried: u32,
}

impl PoolReach {
    /// Returns whether the path of this instance to the servers is in doubt: more of them
    /// fail than are reached, and enough were tried.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.is_suspect() && self.failed >= self.untried.min(CONCLUSIVE_FAILURES)
    }

    /// Returns whether more servers fail than are reached.
    fn is_suspect(&self) -> bool {
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

    /// Counts the servers in service that were tried lately. Of those that were reached, only
    /// the ones since the first of the failures count: an instance that was cut off a moment
    /// ago has lately reached all servers.
    pub(super) fn count(servers: &ServerTable, now: Duration) -> Self {
        let in_service = |server: &&ServerState| server.listing.in_service();
        let failed = servers.active().filter(in_service);
        let failed = failed.filter_map(|server| server.health.path().failure(now));
        let (mut count, mut first_at) = (0, now);
        for at in failed {
            count += 1;
            first_at = first_at.min(at);
        }
        let is_reached = |since: Duration| {
            move |server: &&ServerState| {
                server.listing.in_service()
                    && server.health.path().is_reached_since(since, now)
            }
        };
        if count < MIN_FAILED_SERVERS {
            // The idle servers needn't be counted.
            let reached = servers.active().filter(is_reached(Duration::ZERO)).count();
            return Self {
                reached: to_count(reached),
                failed: count,
                untried: 0,
            };
        }
        // More than have failed needn't be counted: then the path isn't in doubt.
        let reached = servers.values().filter(is_reached(first_at));
        let reached = to_count(reached.take(count as usize + 1).count());
        let untried =
            to_count(servers.count_in_service()).saturating_sub(reached + count);
        Self { reached, failed: count, untried }
    }
}

/// Converts a number of servers.
fn to_count(servers: usize) -> u32 {
    u32::try_from(servers).unwrap_or(u32::MAX)
}

/// The probes of the servers of a pool while the path is in doubt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReachProbes {
    /// When servers were last probed.
    probed_at: Option<Duration>,
    /// How many probes in a row have reached a server.
    successes: u32,
}

impl ReachProbes {
    /// Returns whether probes are due.
    fn is_due(&self, now: Duration) -> bool {
        let period = match self.successes {
            0 => PROBE_PERIOD,
            _ => RECOVERY_PROBE_PERIOD,
        };
        self.probed_at.is_none_or(|at| now >= at + period)
    }
}

/// A change in whether the path to the servers of a pool is in doubt, or in whether this instance
/// has a share of their slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachChange {
    /// The pool.
    pub pool: PoolId,
    /// What is known of its servers.
    pub reach: PoolReach,
    /// Whether the servers can refuse few requests, and other instances have all their slots.
    pub lacks_share: bool,
}

impl RoutePool {
    /// Returns whether peers should forward the requests of the pool: the path to its servers is
    /// in doubt, or other instances have all their slots.
    pub(super) fn needs_peers(&self) -> bool {
        self.reach.is_doubtful() || self.lacks_share
    }

    /// Returns what this instance can reach for requests.
    pub(super) fn offered_reach(&self) -> PoolReach {
        let PoolReach { reached, failed, untried } = self.reach;
        match self.lacks_share {
            true => PoolReach {
                reached: 0,
                failed: failed + reached.max(1),
                untried,
            },
            false => self.reach,
        }
    }
}

impl RouteCore {
    /// Updates what is known of the paths to the servers, and whether this instance has a share
    /// of their slots. Returns the pools of which either has changed.
    pub fn update_reach(&mut self, now: Duration) -> Vec<ReachChange> {
        let lacking = self.pools.iter().filter(|(_, state)| self.lacks_share(state, now));
        let lacking: HashSet<PoolId> = lacking.map(|(pool, _)| *pool).collect();
        let mut changes = vec![];
        for (pool, state) in &mut self.pools {
            let reach = PoolReach::count(&state.servers, now);
            let lacks_share = lacking.contains(pool);
            let before = std::mem::replace(&mut state.reach, reach);
            let lacked = std::mem::replace(&mut state.lacks_share, lacks_share);
            if before.is_doubtful() != reach.is_doubtful() || lacked != lacks_share {
                changes.push(ReachChange { pool: *pool, reach, lacks_share });
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

    /// Returns what this instance can reach for peers in each pool: no servers of one whose slots
    /// are all those of others.
    #[must_use]
    pub fn offered_pools(&self) -> Vec<(PoolId, PoolReach)> {
        let pools = self.pools.iter();
        pools.map(|(pool, state)| (*pool, state.offered_reach())).collect()
    }

    /// Returns the pools whose requests peers should forward.
    #[must_use]
    pub fn forwarding_pools(&self) -> Vec<PoolId> {
        let pools = self.pools.iter().filter(|(_, state)| state.needs_peers());
        pools.map(|(pool, _)| *pool).collect()
    }

    /// Returns whether the path to the servers of the pool of a server is in doubt.
    #[must_use]
    pub fn is_path_doubtful(&self, server: ServerId) -> bool {
        let mut pools = self.pools.values();
        let pool = pools.find(|pool| pool.servers.get(server).is_some());
        pool.is_some_and(|pool| pool.reach.is_doubtful())
    }

    /// Returns the servers that should be probed now by opening a connection. While the path is
    /// in doubt, they show whether it is back: those that failed longest ago come first. While
    /// too few were tried to tell, they are servers that weren't.
    pub fn due_probes(&mut self, now: Duration) -> Vec<ServerId> {
        let mut due = vec![];
        for state in self.pools.values_mut() {
            let is_doubtful = state.reach.is_doubtful();
            if !state.reach.is_suspect() {
                state.probes = ReachProbes::default();
                continue;
            }
            if is_doubtful && !state.probes.is_due(now) {
                continue;
            }
            state.probes.probed_at = Some(now);
            let servers =
                state.servers.values().filter(|server| server.listing.in_service());
            let mut probed: Vec<(Option<Duration>, ServerId)> = servers
                .filter(|server| server.health.path().is_failed(now) == is_doubtful)
                .map(|server| (server.health.path().tried_at(), server.listing.server))
                .collect();
            probed.sort_unstable();
            due.extend(probed.iter().take(PROBED_SERVERS).map(|(_, server)| *server));
        }
        due
    }

    /// Records whether a connection to a server could be opened.
    pub fn record_probe(&mut self, server: ServerId, is_reached: bool, now: Duration) {
        if let Some(server) = find_server(&mut self.pools, server) {
            match is_reached {
                true => server.health.record_connection(now),
                false => server.health.record_path_failure(now),
            }
        }
        let mut pools = self.pools.values_mut();
        let Some(state) = pools.find(|pool| pool.servers.get(server).is_some()) else {
            return;
        };
        let probes = &mut state.probes;
        probes.successes = if is_reached { probes.successes + 1 } else { 0 };
        if probes.successes >= RESTORING_PROBES {
            let forget =
                |server: &mut ServerState| server.health.forget_path_failure(now);
            state.servers.update_active(forget);
        }
    }
}
