//! The engines that this instance watches, and what it has seen of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{EngineSighting, PartChange};

/// What this instance has seen of the engines that it watches, for its router and its peers.
#[derive(Debug, Default)]
pub(crate) struct OwnSightings {
    /// The last sighting of each watched engine, and when it was made.
    sightings: RefCell<BTreeMap<ServerId, (EngineSighting, Duration)>>,
    /// The changes of cached prompt parts that peers haven't been told yet.
    changes: RefCell<Vec<PartChange>>,
}

impl OwnSightings {
    /// Returns the last sightings, with ages as of now.
    pub(crate) fn sightings(&self, now: Duration) -> Vec<EngineSighting> {
        let sightings = self.sightings.borrow();
        let aged = sightings.values().map(|(sighting, seen_at)| {
            let since = now.saturating_sub(*seen_at);
            EngineSighting {
                answered_ago: sighting.answered_ago.map(|ago| ago + since),
                failing_for: sighting.failing_for.map(|span| span + since),
                report: sighting.report.map(|(report, age)| (report, age + since)),
                ..*sighting
            }
        });
        aged.collect()
    }

    /// Returns and clears the changes that peers haven't been told.
    pub(crate) fn take_changes(&self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes.borrow_mut())
    }
}
