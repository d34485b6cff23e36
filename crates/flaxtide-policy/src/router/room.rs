//! Whether a server has room for another request. Of servers that fail if they have to refuse
//! many, all instances together keep the refusals below what the server states.

use std::time::Duration;

use super::server::ServerState;
use super::{RouteCore, RoutePool};
use crate::pushback::{REFUSAL_FRACTION, RefusalLimit};
use crate::rendezvous::rendezvous_weight;

/// The fraction of such a server's slots that is kept free for requests of others that this
/// instance hasn't heard of yet, if all instances that may use open slots are busy.
const UNHEARD_FRACTION: f64 = 0.35;

/// The longest time for which such a server gets nothing after a refusal.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

impl RouteCore {
    /// Returns whether a server has room for one more request.
    pub(super) fn has_room(&self, server: &ServerState, now: Duration) -> bool {
        if let Some(limit) = server.pushback.refusals.limit() {
            let own = f64::from(server.load.own_running());
            return !limit.is_paused(now) && own < self.sure_room(server, limit, now);
        }
        let most = f64::from(server.listing.slots) * self.options.fill;
        f64::from(self.running(server, now)) < most.max(1.0)
    }

    /// Returns for how many requests of this instance a server that can refuse few has room:
    /// this instance's share of the slots, and its part of those that nobody uses.
    fn sure_room(
        &self,
        server: &ServerState,
        limit: &RefusalLimit,
        now: Duration,
    ) -> f64 {
        let share = f64::from(limit.usable_share(now));
        // Instances don't know each other's requests on plain servers.
        let is_engine = server.listing.engine.is_some();
        share + if is_engine { self.open_room(server, limit, now) } else { 0.0 }
    }

    /// Returns whether other instances have all slots of the servers of a pool that this instance
    /// reaches, because the servers can refuse few requests.
    pub(super) fn lacks_share(&self, pool: &RoutePool, now: Duration) -> bool {
        if pool.refusals.is_none() {
            return false;
        }
        let reached = pool.servers.values().filter(|server| {
            server.listing.in_service() && !server.health.path().is_failed(now)
        });
        let has_share = |server: &ServerState| {
            let limit = server.pushback.refusals.limit();
            limit.is_none_or(|limit| limit.usable_share(now) > 0)
        };
        let mut shares = reached.map(has_share).peekable();
        shares.peek().is_some() && !shares.any(|share| share)
    }

    /// Returns this instance's part of the slots of an engine that no instance is known to
    /// use. About as many instances use these as the engine can refuse requests in a second:
    /// they don't know yet what the others have sent.
    fn open_room(
        &self,
        server: &ServerState,
        limit: &RefusalLimit,
        now: Duration,
    ) -> f64 {
        let users = limit.per_second.saturating_add(limit.per_second / 4);
        let users = users.min(self.fleet_size());
        if users == 0 || !self.is_drawn(server, users) {
            return 0.0;
        }
        let busy = u32::try_from(self.peer_servers.len()).unwrap_or(u32::MAX);
        let takers = busy.saturating_add(1).clamp((users / 2).max(1), users);
        let unheard = UNHEARD_FRACTION * f64::from(takers) / f64::from(users);
        let open = f64::from(server.listing.slots) * (1.0 - unheard);
        let unused = open - f64::from(self.running(server, now));
        (unused / f64::from(takers)).max(0.0)
    }

    /// Returns whether this instance is among the `count` of the fleet, on average, that are
    /// drawn for a server.
    fn is_drawn(&self, server: &ServerState, count: u32) -> bool {
        let draw = rendezvous_weight(self.seed, server.listing.name_hash) as f64;
        draw / u64::MAX as f64 * f64::from(self.fleet_size()) < f64::from(count)
    }

    /// Returns for how long such a server gets nothing from this instance after a refusal, so
    /// that the refusals of all instances that send to it stay below its limit.
    pub(super) fn refusal_pause(&self, server: &ServerState) -> Option<Duration> {
        let limit = server.pushback.refusals.limit()?;
        let senders = server.listing.slots.saturating_add(limit.per_second);
        let senders = f64::from(senders.min(self.fleet_size()));
        let refusals = f64::from(limit.per_second.max(1)) * REFUSAL_FRACTION;
        let pause = Duration::try_from_secs_f64(senders / refusals);
        let pause = pause.unwrap_or(LONGEST_PAUSE);
        Some(pause.clamp(self.options.full_pause, LONGEST_PAUSE))
    }

    /// Returns how many instances there are, or an assumption until they are known.
    fn fleet_size(&self) -> u32 {
        match self.instances {
            0 => self.options.assumed_instances,
            instances => instances,
        }
    }
}
