//! What the watchers of engines have seen.

use std::time::Duration;

use flaxtide_core::{PoolId, ServerId};

use super::call::{PartKey, PromptPart, PromptShape};
use super::server::ServerState;
use super::{RouteCore, find_for_peers, find_server};
use crate::engine::{EngineSighting, PartChange, SIGHTING_BOUND};
use crate::pushback::InstanceKey;

impl RouteCore {
    /// Records what watchers have seen of engines, this instance among them.
    pub fn record_sightings(&mut self, sightings: &[EngineSighting], now: Duration) {
        self.record_sightings_for(sightings, SIGHTING_BOUND, now);
    }

    /// Records sightings that count for a time span. Those of another data centre count for
    /// longer than those of an instance, as they are told less often.
    pub fn record_sightings_for(
        &mut self,
        sightings: &[EngineSighting],
        counts_for: Duration,
        now: Duration,
    ) {
        for sighting in sightings {
            // An engine that may be dead is checked periodically.
            let find = match sighting.failing_for {
                Some(_) => find_server,
                None => find_for_peers,
            };
            if let Some(server) = find(&mut self.pools, sighting.server) {
                server.sightings.record_for(sighting, counts_for, now);
            }
        }
    }

    /// Records changes of the prompt parts that engines have cached, as the engines reported
    /// them to their watchers.
    pub fn record_part_changes(&mut self, changes: &[PartChange], now: Duration) {
        for change in changes {
            if let Some(server) = find_for_peers(&mut self.pools, change.server) {
                server.record_part_change(change.part, change.cached, now);
            }
        }
    }

    /// Returns the engines of a pool that this instance watches, with its rank among the
    /// watchers of each. There are none until the live instances are known.
    #[must_use]
    pub fn watched_engines(&self, pool: PoolId) -> Vec<(ServerId, usize)> {
        let (Some(group), Some(pool)) = (&self.group, self.pools.get(&pool)) else {
            return vec![];
        };
        let listings = pool.servers.values().map(|server| &server.listing);
        let engines = listings
            .filter(|listing| listing.engine.is_some() && listing.in_service())
            .filter_map(|listing| {
                let rank = group.watch_rank(listing.name_hash, listing.data_centre)?;
                Some((listing.server, rank))
            });
        engines.collect()
    }

    /// Returns whether a watcher other than `own` has passed on a report of an engine that is
    /// younger than `max_age`.
    #[must_use]
    pub fn has_peer_report(
        &self,
        server: ServerId,
        own: InstanceKey,
        max_age: Duration,
        now: Duration,
    ) -> bool {
        let reported_at = self
            .find_listed(server)
            .and_then(|server| server.sightings.peer_reported_at(own));
        reported_at.is_some_and(|at| now < at.saturating_add(max_age))
    }

    /// Returns whether a server is taken to have a prompt part cached.
    #[must_use]
    pub fn has_cached(&self, server: ServerId, part: PartKey, now: Duration) -> bool {
        let Some(server) = self.find_listed(server) else { return false };
        // A short key is its own short form.
        let part = PromptPart { key: part.into(), tokens: 1 };
        let prompt = PromptShape { tokens: 1, parts: vec![part], ..Default::default() };
        server.cached_tokens(&prompt, self.options.cache_life, now) > 0
    }

    /// Returns the state of a server, whichever pool it is in.
    fn find_listed(&self, server: ServerId) -> Option<&ServerState> {
        self.pools.values().find_map(|pool| pool.servers.get(server))
    }
}
