//! The changes of prompt parts in the caches of engines, as they are passed on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::key::FleetKey;
use crate::wire::PartUpdate;

/// The most changes of cached parts in a digest.
pub(super) const MAX_DIGEST_PARTS: usize = 96;

/// The most changes of the group that are kept.
const MAX_GROUP_PARTS: usize = 4096;

/// How long a change is kept, so that its copies are told from new changes. It is told twice by
/// each of two watchers.
const GROUP_PART_LIFETIME: Duration = Duration::from_secs(10);

/// The recent changes of the group, one for each engine and part.
#[derive(Debug, Default)]
pub(super) struct GroupParts {
    /// Whether the engine has the part cached by the last change, and when this instance first
    /// heard so.
    states: BTreeMap<(FleetKey, u32), (bool, Duration)>,
}

impl GroupParts {
    /// Records changes, the newest last.
    pub(super) fn record(&mut self, changes: &[PartUpdate], now: Duration) {
        for change in changes {
            let key = (change.server, change.part);
            let known = self.states.get(&key).map(|(cached, _)| *cached);
            if known == Some(change.cached) {
                continue;
            }
            if known.is_none() && self.states.len() >= MAX_GROUP_PARTS {
                self.remove_oldest();
            }
            self.states.insert(key, (change.cached, now));
        }
    }

    /// Forgets old changes.
    pub(super) fn expire(&mut self, now: Duration) {
        self.states.retain(|_, (_, at)| now < *at + GROUP_PART_LIFETIME);
    }

    /// Returns the changes that were first heard of within a time span, newest first, as many
    /// as a digest has.
    pub(super) fn within(&self, span: Duration, now: Duration) -> Vec<PartUpdate> {
        let mut recent: Vec<_> =
            self.states.iter().filter(|(_, (_, at))| now < *at + span).collect();
        recent.sort_by_key(|(_, (_, at))| Reverse(*at));
        let recent = recent.into_iter().take(MAX_DIGEST_PARTS);
        let update = |(key, state): (&(FleetKey, u32), &(bool, Duration))| PartUpdate {
            server: key.0,
            part: key.1,
            cached: state.0,
        };
        recent.map(update).collect()
    }

    /// Forgets the oldest change.
    fn remove_oldest(&mut self) {
        let oldest = self.states.iter().min_by_key(|(_, (_, at))| *at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.states.remove(&key);
        }
    }
}
