//! What servers state of the refusals that they can make, for the whole pool. A server that
//! hasn't stated anything yet, such as a new incarnation, is taken to bear what the others
//! of its pool state: requests must not be sent to find out, from many instances at once.

use std::time::Duration;

use flaxtide_core::ServerId;

use super::{RouteCore, RoutePool, find_server};
use crate::pushback::{InstanceGroup, ReportEffect};

/// How long servers count as stating a number unless an instance hears it again. Longer
/// than the period after which instances that still hear it tell their peers again.
const VALIDITY: Duration = Duration::from_secs(60);

/// What the servers of a pool state of the refusals that they can make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PoolRefusals {
    /// The last stated number of refusals a second.
    per_second: u32,
    /// Since when servers of the pool have stated it.
    since: Duration,
    /// When one was last heard to state it.
    heard_at: Duration,
}

impl RouteCore {
    /// Applies the number of refusals a second, or the absence of one, that a peer heard a
    /// server state at `heard_at`. Returns `None` if the server isn't known.
    pub fn record_peer_refusals(
        &mut self,
        server: ServerId,
        per_second: Option<u32>,
        heard_at: Duration,
        now: Duration,
    ) -> Option<ReportEffect> {
        let group = self.group.as_deref();
        let known = find_server(&mut self.pools, server)?;
        let effect = known.pushback.refusals.apply_report(per_second, heard_at);
        known.update_slot_share(group);
        if effect != ReportEffect::Outdated {
            self.update_pool_refusals(server, now);
        }
        Some(effect)
    }

    /// Returns the number of refusals a second that a server itself states, if any, and when
    /// it was last heard. `None` if the server isn't known.
    #[must_use]
    pub fn stated_refusals(&self, server: ServerId) -> Option<(Option<u32>, Duration)> {
        let mut pools = self.pools.values();
        let server = pools.find_map(|pool| pool.servers.get(server))?;
        Some(server.pushback.refusals.stated())
    }

    /// Updates what is known of the pool of a server that was heard to state a number, or
    /// to state none any more.
    pub(super) fn update_pool_refusals(&mut self, server: ServerId, now: Duration) {
        let group = self.group.as_deref();
        let mut pools = self.pools.values_mut();
        let Some((pool, stated)) = pools.find_map(|pool| {
            let stated = pool.servers.get(server)?.pushback.refusals.stated().0;
            Some((pool, stated))
        }) else {
            return;
        };
        let Some(per_second) = stated else {
            let states = pool.servers.values().any(|server| {
                server.pushback.refusals.limit().is_some_and(|limit| limit.is_own())
            });
            if !states {
                pool.end_refusals();
            }
            return;
        };
        match &mut pool.refusals {
            Some(known) => {
                *known = PoolRefusals { per_second, heard_at: now, ..*known };
            }
            none => {
                let refusals = PoolRefusals { per_second, since: now, heard_at: now };
                *none = Some(refusals);
                let ids: Vec<ServerId> = pool.servers.ids().collect();
                for id in ids {
                    pool.inherit_refusals(id, group);
                }
            }
        }
    }

    /// Forgets what no instance has heard servers state for a while.
    pub(super) fn end_old_refusals(&mut self, now: Duration) {
        for pool in self.pools.values_mut() {
            let is_old = |known: PoolRefusals| now >= known.heard_at + VALIDITY;
            if pool.refusals.is_some_and(is_old) {
                pool.end_refusals();
            }
        }
    }
}

impl RoutePool {
    /// Has a server that hasn't stated anything take over what the others state.
    pub(super) fn inherit_refusals(
        &mut self,
        server: ServerId,
        group: Option<&InstanceGroup>,
    ) {
        let Some(PoolRefusals { per_second, since, .. }) = self.refusals else { return };
        if let Some(server) = self.servers.get_mut(server) {
            server.pushback.refusals.inherit(per_second, since);
            server.update_slot_share(group);
        }
    }

    /// Records that the servers state no number any more.
    fn end_refusals(&mut self) {
        if self.refusals.take().is_some() {
            self.servers.values_mut().for_each(|it| it.pushback.refusals.end());
        }
    }
}
