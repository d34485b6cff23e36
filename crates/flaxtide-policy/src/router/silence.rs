//! Silent servers: what instances tell each other of them. Whoever tells may have lost its own
//! path to servers that are sound.

use std::time::Duration;

use flaxtide_core::ServerId;

use super::RouteCore;

impl RouteCore {
    /// Records that a peer reported servers as silent. A report of most servers of a pool
    /// says something of the peer's path and not of the servers.
    pub fn record_silence_reports(&mut self, servers: &[ServerId], now: Duration) {
        for pool in self.pools.values_mut() {
            let named = servers.iter().filter(|id| pool.servers.get(**id).is_some());
            if is_path_report(named.count(), pool.servers.count_in_service()) {
                continue;
            }
            for server in servers {
                if let Some(server) = pool.servers.get_mut(*server) {
                    let liveness = server.liveness(now);
                    server.health.record_silence_report(liveness, now, &self.options);
                }
            }
        }
    }

    /// Returns the servers that this instance recently found silent, without those of pools to
    /// which its own path is in doubt.
    #[must_use]
    pub fn silent_servers(&self, now: Duration) -> Vec<ServerId> {
        let pools = self.pools.values().filter(|pool| !pool.reach.is_doubtful());
        let servers = pools.flat_map(|pool| pool.servers.active());
        let silent = servers.filter(|server| {
            let streams = server.load.has_streams(&self.calls);
            let is_reached = server.is_reached_by_watchers(now);
            server.health.was_silent(streams, is_reached, now, &self.options)
        });
        silent.map(|server| server.listing.server).collect()
    }
}

/// Returns whether a peer names so many silent servers of a pool that its own path must have
/// failed.
fn is_path_report(named: usize, in_service: usize) -> bool {
    /// A pool may be so small that all its servers fail.
    const MIN_NAMED: usize = 3;
    named >= MIN_NAMED && named * 2 > in_service
}
