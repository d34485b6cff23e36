//! What this instance has seen of engines, for its peers.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{EngineSighting, PartChange, SIGHTING_BOUND};

/// The maximum number of changes that one publication to peers has.
const MAX_PUBLISHED_CHANGES: usize = 64;

/// The maximum number of changes that wait for a publication. Beyond it, the oldest are
/// dropped.
const MAX_WAITING_CHANGES: usize = 2048;

/// What this instance has seen of the engines that it watches, for its peers.
#[derive(Debug, Default)]
pub struct OwnSightings {
    /// The last sighting of each watched engine, and when it was made.
    sightings: RefCell<BTreeMap<ServerId, (EngineSighting, Duration)>>,
    /// The changes of cached prompt parts that peers haven't been told yet, oldest first.
    changes: RefCell<VecDeque<PartChange>>,
}

impl OwnSightings {
    /// Records a sighting in place of the last one of its engine.
    pub fn record(&self, sighting: EngineSighting, now: Duration) {
        self.sightings.borrow_mut().insert(sighting.server, (sighting, now));
    }

    /// Removes the sighting of an engine that is no longer watched.
    pub fn remove(&self, server: ServerId) {
        self.sightings.borrow_mut().remove(&server);
    }

    /// Adds changes of cached prompt parts.
    pub fn add_changes(&self, new: &[PartChange]) {
        let mut changes = self.changes.borrow_mut();
        changes.extend(new);
        drop_surplus(&mut changes);
    }

    /// Puts changes back that were taken but not published. They are the oldest again.
    pub fn put_back(&self, taken: Vec<PartChange>) {
        let mut changes = self.changes.borrow_mut();
        for change in taken.into_iter().rev() {
            changes.push_front(change);
        }
        drop_surplus(&mut changes);
    }

    /// Returns the last sightings, with ages as of now. Those that are older than
    /// [`SIGHTING_BOUND`] are left out: to peers, they would look as if they were new.
    #[must_use]
    pub fn sightings(&self, now: Duration) -> Vec<EngineSighting> {
        let sightings = self.sightings.borrow();
        let aged = sightings.values().filter_map(|(sighting, seen_at)| {
            let since = now.saturating_sub(*seen_at);
            (since < SIGHTING_BOUND).then(|| EngineSighting {
                answered_ago: sighting.answered_ago.map(|ago| ago + since),
                failing_for: sighting.failing_for.map(|span| span + since),
                report: sighting.report.map(|(report, age)| (report, age + since)),
                ..*sighting
            })
        });
        aged.collect()
    }

    /// Returns the number of watched engines that have failed their last call.
    #[must_use]
    pub fn failing_count(&self) -> usize {
        let sightings = self.sightings.borrow();
        let failing = sightings
            .values()
            .filter(|(sighting, _)| sighting.failing_for.is_some());
        failing.count()
    }

    /// Removes and returns the oldest changes that peers haven't been told, as many as one
    /// publication has.
    #[must_use]
    pub fn take_changes(&self) -> Vec<PartChange> {
        let mut changes = self.changes.borrow_mut();
        let count = changes.len().min(MAX_PUBLISHED_CHANGES);
        changes.drain(..count).collect()
    }
}

/// Drops the oldest changes if too many wait.
fn drop_surplus(changes: &mut VecDeque<PartChange>) {
    let surplus = changes.len().saturating_sub(MAX_WAITING_CHANGES);
    changes.drain(..surplus);
}
