//! What the watchers of engines have seen.

use std::time::Duration;

use super::{RouteCore, find_for_peers, find_server};
use crate::engine::{EngineSighting, PartChange};

impl RouteCore {
    /// Records what watchers have seen of engines, this instance among them.
    pub fn record_sightings(&mut self, sightings: &[EngineSighting], now: Duration) {
        for sighting in sightings {
            // An engine that may be dead is checked periodically.
            let find = match sighting.failing_for {
                Some(_) => find_server,
                None => find_for_peers,
            };
            if let Some(server) = find(&mut self.pools, sighting.server) {
                server.sightings.record(sighting, now);
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
}
