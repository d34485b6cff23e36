//! The changes of prompt parts in the caches of engines, as they are passed on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::key::FleetKey;
use crate::wire::PartUpdate;

/// The most changes of cached parts in a digest.
pub(super) const MAX_DIGEST_PARTS: usize = 96;

/// The most changes of cached parts in a heartbeat.
pub(super) const MAX_HEARTBEAT_PARTS: usize = 24;

/// The most own changes that wait to be sent.
const MAX_UNSENT_PARTS: usize = 2048;

/// How long a change that was sent once waits for its second send.
const RESEND_LIFETIME: Duration = Duration::from_secs(10);

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

/// The changes of this instance's own watches, which peers are told in two rounds of heartbeats,
/// as one may be lost. There is one change for each engine and part, the newest.
#[derive(Debug, Default)]
pub(super) struct OwnParts {
    /// The changes that haven't been sent, oldest first.
    unsent: VecDeque<PartUpdate>,
    /// The changes that were sent once, and when, oldest first.
    sent_once: VecDeque<(Duration, PartUpdate)>,
    /// The changes in the heartbeats of the current round.
    round: Vec<PartUpdate>,
    /// The number of changes that the traffic budget allows in a round now.
    allowance: f64,
}

impl OwnParts {
    /// Adds changes, the newest last.
    pub(super) fn record(&mut self, changes: &[PartUpdate]) {
        for change in changes {
            match self.unsent.iter_mut().find(|known| concern_same_part(known, change)) {
                Some(known) => *known = *change,
                None => self.unsent.push_back(*change),
            }
            self.sent_once.retain(|(_, known)| !concern_same_part(known, change));
        }
        let surplus = self.unsent.len().saturating_sub(MAX_UNSENT_PARTS);
        self.unsent.drain(..surplus);
    }

    /// Chooses the changes for a round of heartbeats: unsent ones first, then those that were
    /// sent at least `spacing` ago. `allowed` changes are added to the allowance, which may be
    /// saved up to what a heartbeat holds.
    pub(super) fn begin_round(&mut self, allowed: f64, spacing: Duration, now: Duration) {
        self.allowance = (self.allowance + allowed).min(MAX_HEARTBEAT_PARTS as f64);
        let room = self.allowance as usize;
        self.sent_once.retain(|(at, _)| now < *at + RESEND_LIFETIME);
        self.round = self.unsent.drain(..room.min(self.unsent.len())).collect();
        let due = self.sent_once.iter().take_while(|(at, _)| now >= *at + spacing);
        let repeated = due.count().min(room - self.round.len());
        let first: Vec<_> = self.round.iter().map(|change| (now, *change)).collect();
        self.round
            .extend(self.sent_once.drain(..repeated).map(|(_, change)| change));
        self.sent_once.extend(first);
        self.allowance -= self.round.len() as f64;
    }

    /// Returns the changes for the heartbeats of the current round.
    pub(super) fn round(&self) -> &[PartUpdate] {
        &self.round
    }
}

/// Returns whether two changes concern the same part of the same engine.
fn concern_same_part(one: &PartUpdate, other: &PartUpdate) -> bool {
    (one.server, one.part) == (other.server, other.part)
}
