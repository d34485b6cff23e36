//! The platform's table in the lab of versions: the record, the kept notes, and copies from which
//! it comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    BatchKey, NoteBatch, NoteChange, StreamKey, VersionKey, VersionRecord,
};

/// What the table keeps.
#[derive(Debug, Clone)]
pub(super) struct LabTable {
    /// The record of the service.
    pub(super) record: VersionRecord,
    /// The notes of each instance.
    notes: Vec<BTreeMap<BatchKey, NoteBatch>>,
}

impl LabTable {
    /// Creates a table without rows.
    pub(super) fn new(instances: usize) -> Self {
        Self {
            record: VersionRecord::default(),
            notes: vec![BTreeMap::new(); instances],
        }
    }

    /// Carries out a change of an instance's notes.
    pub(super) fn write_notes(&mut self, instance: usize, change: &NoteChange) {
        let rows = &mut self.notes[instance];
        rows.extend(change.added.iter().cloned());
        for key in &change.removed {
            rows.remove(key);
        }
    }

    /// Returns the notes of an instance.
    pub(super) fn notes(
        &self,
        instance: usize,
    ) -> impl Iterator<Item = (BatchKey, &NoteBatch)> {
        self.notes[instance].iter().map(|(key, batch)| (*key, batch))
    }

    /// Returns the version that an instance has kept of a stream.
    pub(super) fn noted(
        &self,
        instance: usize,
        stream: StreamKey,
        now: Duration,
    ) -> Option<VersionKey> {
        let batches = self.notes[instance].values();
        let mut notes = batches.flat_map(|batch| batch.notes_at(clock_ms(now)));
        notes.find(|note| note.stream == stream).map(|note| note.version)
    }
}

/// A table that may be away, and come back from a copy.
pub(super) struct LabStore {
    /// What it keeps now.
    pub(super) table: LabTable,
    /// How often it has come back from a copy.
    pub(super) era: u64,
    /// The copies that are made, with the time at which it comes back from each.
    copies: Vec<(Duration, LabTable)>,
}

impl LabStore {
    /// Creates an empty one.
    pub(super) fn new(instances: usize) -> Self {
        Self {
            table: LabTable::new(instances),
            era: 1,
            copies: vec![],
        }
    }

    /// Makes copies and comes back from them: at each time from one that is so old.
    pub(super) fn step(
        &mut self,
        restores: &[(Duration, Duration)],
        now: Duration,
        step: Duration,
    ) {
        for (at, age) in restores {
            let made_at = at.saturating_sub(*age);
            if (made_at..made_at + step).contains(&now) {
                self.copies.push((*at, self.table.clone()));
            }
        }
        let (due, later) = std::mem::take(&mut self.copies)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.copies = later;
        let due: Vec<(Duration, LabTable)> = due;
        for (_, table) in due {
            self.table = table;
            self.era += 1;
        }
    }
}

/// Returns the time on the table's clock.
pub(super) fn clock_ms(now: Duration) -> u64 {
    now.as_millis() as u64
}
