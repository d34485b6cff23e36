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

/// The most batches of an instance. With more, the half with the fewest streams is merged.
const MAX_BATCHES: usize = 64;

/// The most batches whose write hasn't been confirmed that are remembered.
const MAX_TRIED: usize = 1024;

/// For how long after a write without an answer it may still be done.
const LATE_WITHIN: Duration = Duration::from_secs(30);

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
    /// The streams of each batch that is kept.
    kept: BTreeMap<BatchKey, Vec<StreamKey>>,
    /// When the other batches were to be written, which may have been done or be done yet. Their
    /// streams wait to be written again.
    tried: BTreeMap<BatchKey, Duration>,
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
            tried: BTreeMap::new(),
        }
    }

    /// Adds streams that are to be kept. Returns how many there is no room for.
    pub fn add(&mut self, streams: &[StreamKey]) -> usize {
        let mut left_out = 0;
        for stream in streams {
            if self.waiting.len() < MAX_WAITING || self.waiting.contains(stream) {
                self.waiting.insert(*stream);
            } else {
                left_out += 1;
            }
        }
        left_out
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
        let mut removed = self.ended(registry, now);
        let count = self.kept.len() + self.tried.len();
        if self.waiting.is_empty() && (removed.is_empty() || removed.len() < count) {
            return None;
        }
        let ended = removed.iter().filter(|key| self.kept.contains_key(key)).count();
        removed.truncate(MAX_REMOVED);
        if self.kept.len() - ended >= MAX_BATCHES {
            removed = self.merge(registry, now);
        }
        let notes = self
            .waiting
            .iter()
            .filter_map(|stream| registry.note_of(*stream, now));
        let notes: Vec<VersionNote> = notes.collect();
        let mut added = vec![];
        for notes in notes.chunks(MAX_BATCH_NOTES) {
            let key = BatchKey { process: self.process, number: self.next_number };
            self.next_number = self.next_number.wrapping_add(1);
            self.tried.insert(key, now);
            added.push((key, NoteBatch { written_ms: now_ms, notes: notes.to_vec() }));
        }
        while self.tried.len() > MAX_TRIED {
            self.tried.pop_first();
        }
        Some(NoteChange { added, removed })
    }

    /// Returns the batches that aren't needed any more: no stream in them is noted, or they have
    /// been written again.
    fn ended(&self, registry: &VersionRegistry, now: Duration) -> Vec<BatchKey> {
        let is_noted = |stream: &StreamKey| registry.note_of(*stream, now).is_some();
        let kept = self.kept.iter().filter(|(_, streams)| !streams.iter().any(is_noted));
        let tried = self.tried.iter().filter(|(_, at)| now >= **at + LATE_WITHIN);
        kept.map(|(key, _)| *key).chain(tried.map(|(key, _)| *key)).collect()
    }

    /// Lets the streams of those batches with the fewest of them that fit into a change wait, and
    /// returns these batches. As their removal may be done late, their streams wait until a
    /// write is confirmed.
    fn merge(&mut self, registry: &VersionRegistry, now: Duration) -> Vec<BatchKey> {
        let is_noted = |stream: &&StreamKey| registry.note_of(**stream, now).is_some();
        let noted = |streams: &[StreamKey]| -> Vec<StreamKey> {
            streams.iter().filter(is_noted).copied().collect()
        };
        let kept = self.kept.iter();
        let mut batches: Vec<_> =
            kept.map(|(key, streams)| (*key, noted(streams))).collect();
        batches.sort_by_key(|(_, streams)| streams.len());
        let mut merged = vec![];
        for (key, streams) in batches.into_iter().take(MAX_BATCHES / 2) {
            if self.waiting.len() + streams.len() > MAX_ADDED * MAX_BATCH_NOTES {
                break;
            }
            self.waiting.extend(streams);
            merged.push(key);
        }
        merged
    }

    /// Records that a change has been done.
    pub fn record_done(&mut self, change: &NoteChange) {
        for (key, batch) in &change.added {
            let streams: Vec<StreamKey> =
                batch.notes.iter().map(|note| note.stream).collect();
            for stream in &streams {
                self.waiting.remove(stream);
            }
            self.tried.remove(key);
            self.kept.insert(*key, streams);
        }
        for key in &change.removed {
            self.kept.remove(key);
            self.tried.remove(key);
        }
    }
}
