//! The notes of an instance as it keeps them outside all instances: batches, each a row that is
//! written once and removed when no stream in it can be taken up any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::StreamKey;
use super::registry::{VersionNote, VersionRegistry};

/// The most notes of a batch. Their row has at most 64 KiB of base64.
const MAX_BATCH_NOTES: usize = 3000;

/// The most batches that one change adds. Together they have less than 1 MB.
const MAX_ADDED: usize = 12;

/// The most batches that one change removes. A call takes 100 rows.
const MAX_REMOVED: usize = 80;

/// The most batches of an instance. With more, the older half is merged.
const MAX_BATCHES: usize = 64;

/// The most streams that wait to be written. Further ones aren't kept.
const MAX_WAITING: usize = 1 << 14;

/// Identifies a batch of an instance's notes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchKey {
    /// The process of the instance that wrote the batch: a random number.
    pub process: u32,
    /// The number of the batch in this process.
    pub number: u32,
}

/// Notes that are kept together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteBatch {
    /// When they were written, on the store's clock in milliseconds. The life of each note counts
    /// from then.
    pub written_ms: u64,
    /// The notes.
    pub notes: Vec<VersionNote>,
}

impl NoteBatch {
    /// Returns the notes that haven't expired, at a time on the store's clock in milliseconds.
    #[must_use]
    pub fn notes_at(&self, now_ms: u64) -> Vec<VersionNote> {
        let passed = now_ms.saturating_sub(self.written_ms) / 1000;
        let passed = u16::try_from(passed).unwrap_or(u16::MAX);
        let notes = self.notes.iter();
        let left = notes.map(|note| VersionNote {
            life_s: note.life_s.saturating_sub(passed),
            ..*note
        });
        left.filter(|note| note.life_s > 0).collect()
    }
}

/// A change of the batches that are kept, of which all or nothing is done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoteChange {
    /// The batches to add.
    pub added: Vec<(BatchKey, NoteBatch)>,
    /// The batches to remove.
    pub removed: Vec<BatchKey>,
}

/// Decides what an instance adds to its kept notes, and what it removes.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{NoteLog, VersionRegistry};
/// let (mut registry, now) = (VersionRegistry::default(), Duration::ZERO);
/// registry.note_own(5, 8, Duration::from_secs(15), now);
/// let mut log = NoteLog::new(1);
/// log.add(&[5]);
/// let change = log.change(&registry, 700, now).unwrap();
/// assert_eq!(change.added[0].1.notes[0].version, 8);
/// log.record_done(&change);
/// assert_eq!((log.waiting(), log.change(&registry, 800, now)), (0, None));
/// ```
#[derive(Debug)]
pub struct NoteLog {
    /// Distinguishes the batches of this process from those of earlier ones.
    process: u32,
    /// The number of the next batch.
    next_number: u32,
    /// The streams that aren't kept yet.
    waiting: BTreeSet<StreamKey>,
    /// The streams of each batch that is kept, or may be: a write may be done later than expected.
    kept: BTreeMap<BatchKey, Vec<StreamKey>>,
}

impl NoteLog {
    /// Creates the log of a process, which `process` distinguishes from earlier ones.
    #[must_use]
    pub fn new(process: u32) -> Self {
        Self {
            process,
            next_number: 0,
            waiting: BTreeSet::new(),
            kept: BTreeMap::new(),
        }
    }

    /// Adds streams that are to be kept. Returns how many there is no room for.
    pub fn add(&mut self, streams: &[StreamKey]) -> usize {
        let room = MAX_WAITING.saturating_sub(self.waiting.len());
        self.waiting.extend(&streams[..streams.len().min(room)]);
        streams.len().saturating_sub(room)
    }

    /// Records a batch that an earlier process has kept.
    pub fn restore(&mut self, key: BatchKey, batch: &NoteBatch) {
        let streams = batch.notes.iter().map(|note| note.stream).collect();
        self.kept.insert(key, streams);
    }

    /// Returns the number of streams that aren't kept yet.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the change that is due, if any: new batches with the streams that wait, without
    /// batches of which no stream is noted any more. Batches are only removed together
    /// with a new one, or all at once. `now_ms` is the time on the store's clock.
    pub fn change(
        &mut self,
        registry: &VersionRegistry,
        now_ms: u64,
        now: Duration,
    ) -> Option<NoteChange> {
        self.waiting.retain(|stream| registry.note_of(*stream, now).is_some());
        let is_noted = |stream: &StreamKey| registry.note_of(*stream, now).is_some();
        let ended = self.kept.iter().filter(|(_, streams)| !streams.iter().any(is_noted));
        let mut removed: Vec<BatchKey> = ended.map(|(key, _)| *key).collect();
        if self.waiting.is_empty()
            && (removed.is_empty() || removed.len() < self.kept.len())
        {
            return None;
        }
        removed.truncate(MAX_REMOVED);
        let mut due = self.waiting.clone();
        if self.kept.len() - removed.len() >= MAX_BATCHES {
            removed = self.kept.keys().copied().take(MAX_BATCHES / 2).collect();
            due.extend(removed.iter().flat_map(|key| &self.kept[key]));
        }
        let notes = due.iter().filter_map(|stream| registry.note_of(*stream, now));
        let notes: Vec<VersionNote> = notes.collect();
        if notes.len() > MAX_ADDED * MAX_BATCH_NOTES {
            // What isn't written now must stay in its batch.
            removed.clear();
        }
        let mut added = vec![];
        for notes in notes.chunks(MAX_BATCH_NOTES).take(MAX_ADDED) {
            let key = BatchKey { process: self.process, number: self.next_number };
            self.next_number = self.next_number.wrapping_add(1);
            self.kept.insert(key, notes.iter().map(|note| note.stream).collect());
            added.push((key, NoteBatch { written_ms: now_ms, notes: notes.to_vec() }));
        }
        Some(NoteChange { added, removed })
    }

    /// Records that a change has been done.
    pub fn record_done(&mut self, change: &NoteChange) {
        for note in change.added.iter().flat_map(|(_, batch)| &batch.notes) {
            self.waiting.remove(&note.stream);
        }
        for key in &change.removed {
            self.kept.remove(key);
        }
    }
}
