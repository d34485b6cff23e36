//! The servers by which the failure of another one is told from that of the path to it.

use std::time::Duration;

use flaxtide_core::ServerId;

use crate::router::RouteCore;
use crate::router::server::ServerState;

/// How many other servers are tried to tell the failure of a server from that of the path.
const CONTROL_SERVERS: usize = 4;

impl RouteCore {
    /// Returns a few other servers: attempts to reach them show whether the failure of
    /// `server`, which got a request at `sent`, is its own or that of the path. They are in
    /// its data centre, if any are, as a path that is cut may be that to one data centre: of
    /// its pool, or else of others, as all servers of a pool may have failed by the same
    /// cause. One that had failed before `sent` says nothing of the path, which was open
    /// then. Those without failures come first. There are several, as some may have failed
    /// too.
    #[must_use]
    pub fn control_servers(
        &self,
        server: ServerId,
        sent: Duration,
        now: Duration,
    ) -> Vec<ServerId> {
        let near_pool = self.controls(server, true, true, sent, now);
        if !near_pool.is_empty() {
            return near_pool;
        }
        let near = self.neighbour_servers(server, sent, now);
        if near.is_empty() { self.controls(server, true, false, sent, now) } else { near }
    }

    /// Returns all other servers of the pool of a server in its data centre, also those that have
    /// failed, in the order of [`Self::control_servers`].
    #[must_use]
    pub fn pool_neighbours(&self, server: ServerId, now: Duration) -> Vec<ServerId> {
        self.ranked(server, true, true, Duration::ZERO, now)
    }

    /// Returns a few servers of other pools in the data centre of a server, in the order of
    /// [`Self::control_servers`].
    #[must_use]
    pub fn neighbour_servers(
        &self,
        server: ServerId,
        sent: Duration,
        now: Duration,
    ) -> Vec<ServerId> {
        self.controls(server, false, true, sent, now)
    }

    /// Returns the first servers of [`Self::ranked`].
    fn controls(
        &self,
        server: ServerId,
        in_pool: bool,
        is_near: bool,
        sent: Duration,
        now: Duration,
    ) -> Vec<ServerId> {
        let mut ranked = self.ranked(server, in_pool, is_near, sent, now);
        ranked.truncate(CONTROL_SERVERS);
        ranked
    }

    /// Returns other servers that hadn't failed before `sent`, of the pool of a server or of others, in
    /// its data centre or in others, those without failures first.
    fn ranked(
        &self,
        server: ServerId,
        in_pool: bool,
        is_near: bool,
        sent: Duration,
        now: Duration,
    ) -> Vec<ServerId> {
        let own = self
            .pools
            .iter()
            .find_map(|(id, pool)| Some((id, pool.servers.get(server)?)));
        let Some((own_pool, own)) = own else { return vec![] };
        let pools = self.pools.iter().filter(|(id, _)| (*id == own_pool) == in_pool);
        let others = pools.flat_map(|(_, pool)| pool.servers.values());
        let mut others: Vec<&ServerState> = others
            .filter(|other| other.listing.in_service() && other.listing.server != server)
            .filter(|other| {
                (other.listing.data_centre == own.listing.data_centre) == is_near
            })
            .filter(|other| !other.health.path().failed_before(sent, now))
            .collect();
        let failures = |other: &ServerState| {
            let is_failed = other.health.path().is_failed(now);
            other.health.failure_rate() + f64::from(u8::from(is_failed))
        };
        others.sort_by(|one, other| {
            let order = failures(one).total_cmp(&failures(other));
            order.then(other.health.answered_at().cmp(&one.health.answered_at()))
        });
        others.into_iter().map(|other| other.listing.server).collect()
    }
}
