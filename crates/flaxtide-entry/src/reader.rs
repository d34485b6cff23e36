//! What has been read of the list of servers: from the platform by each instance for itself in
//! a small fleet, by a few for all in a large one; and the answers to peers that ask for it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::{MilliClock, StoreVersion};
use flaxtide_fleet::{ListReader, RowChanges, RowCopy, RowSource};
use tokio::sync::Notify;

use crate::contract::{FeedBatch, FeedRow};

/// How many parts of batches of rows a reader keeps for peers that are behind.
const KEPT_CHUNKS: usize = 128;

/// How many bytes of rows an answer to a peer has at most, unless one change alone has
/// more. An answer has a limit of time for the whole, and one that comes too late is asked
/// for again from its start: on a narrow link, a long one might never come to its end.
const MAX_ANSWER_BYTES: usize = 32 * 1024;

/// How old a reader's last answer of the platform may be for its word to count, as a part of
/// the time within which a leaving server gets no more work. All parts together leave room
/// for a row that has gone to be missed (`directory.rs`).
pub(crate) const MAX_AGE_FRACTION: f64 = 0.25;

/// How long a reader's call to the platform waits for changes, and the pause after it, as
/// parts of that time; together they stay below [`FRESH_PART`]. The pause is the longer part:
/// while servers are replaced, rows change all the time and no call waits.
const READER_WAIT_FRACTION: f64 = 0.07;
/// The pause.
const READER_PAUSE_FRACTION: f64 = 0.15;

/// How long a call of an instance waits for changes for which peers should read: they are
/// asked again after it.
const FALLBACK_WAIT: Duration = Duration::from_secs(2);

/// What this instance has read from the platform lately, and who is to read.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::{FeedBatch, ServerListLog};
/// use flaxtide_fleet::RowSource;
/// let log = ServerListLog::new(Duration::from_secs(3));
/// assert!(log.changes_after(0).is_none());
/// log.record(&FeedBatch { rows: vec![], version: 7 }, None);
/// assert_eq!(log.changes_after(7).unwrap().version, 7);
/// ```
pub struct ServerListLog {
    /// The clock.
    clock: MilliClock,
    /// Within what time a leaving server may get no more work.
    leave_within: Duration,
    /// What was read.
    state: Mutex<LogState>,
    /// Notified when rows have changed.
    changed: Arc<Notify>,
}

/// What a log keeps.
#[derive(Debug, Default)]
struct LogState {
    /// Changes after this version are kept.
    base: StoreVersion,
    /// Up to which version everything was read.
    version: StoreVersion,
    /// The rows at that version, unless only changes of them are known.
    rows: Option<BTreeMap<String, String>>,
    /// From which version to which only the difference is known: everything was read anew. Who
    /// stands between them may have seen what isn't told.
    gaps: Vec<(StoreVersion, StoreVersion)>,
    /// The parts of the batches, oldest first.
    chunks: VecDeque<LogChunk>,
    /// When the platform last answered this instance.
    confirmed_at: Option<Duration>,
}

/// Rows that are told together.
#[derive(Debug)]
struct LogChunk {
    /// Up to which version all rows are told, with the parts before.
    version: StoreVersion,
    /// The rows.
    rows: Vec<FeedRow>,
    /// How many bytes they have.
    bytes: usize,
}

impl ServerListLog {
    /// Starts with nothing read. A leaving server may get no more work after
    /// `leave_within`.
    #[must_use]
    pub fn new(leave_within: Duration) -> Self {
        Self {
            clock: MilliClock::real(),
            leave_within,
            state: Mutex::default(),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Takes in what the platform has answered: the changes after a version, or all rows.
    pub fn record(&self, batch: &FeedBatch, after: Option<StoreVersion>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.confirmed_at = Some(now);
        match after {
            None => state.record_all(batch),
            Some(after) => state.record_changes(batch, after),
        }
        state.version = batch.version;
        while state.chunks.len() > KEPT_CHUNKS {
            let Some(chunk) = state.chunks.pop_front() else { break };
            state.base = chunk.version;
        }
        let base = state.base;
        state.gaps.retain(|(_, to)| *to > base);
        drop(state);
        if !batch.rows.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Records that rows came from elsewhere: what was read before them is of no use to
    /// peers any more.
    pub(crate) fn clear_log(&self) {
        *self.lock() = LogState::default();
    }

    /// Returns how long a call to the platform waits for changes, and the pause after it, if
    /// that differs from what an instance does that reads for itself.
    pub(crate) fn reader_timing(
        &self,
        reader: ListReader,
        usual_pause: Duration,
    ) -> Option<(Duration, Duration)> {
        let chunk = |chunk| self.leave_within.mul_f64(chunk);
        match reader {
            ListReader::Alone => None,
            ListReader::ForPeers => {
                Some((chunk(READER_WAIT_FRACTION), chunk(READER_PAUSE_FRACTION)))
            }
            ListReader::Peer(_) => Some((FALLBACK_WAIT, usual_pause)),
        }
    }

    /// Locks the state. A panic elsewhere doesn't spoil it.
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RowSource for ServerListLog {
    fn changes_after(&self, version: u64) -> Option<RowChanges> {
        let now = self.clock.now();
        let state = self.lock();
        let max_age = self.leave_within.mul_f64(MAX_AGE_FRACTION);
        let confirmed_at = state.confirmed_at?;
        let unknown = version < state.base || version > state.version;
        if now > confirmed_at + max_age || unknown || state.is_in_gap(version) {
            return None;
        }
        Some(state.answer(version))
    }

    fn changed(&self) -> Arc<Notify> {
        self.changed.clone()
    }
}

impl LogState {
    /// Records all rows. What has changed since the last reading is told to peers as changes, so
    /// that they needn't read everything themselves when the store has forgotten its history or
    /// has come back from a copy.
    fn record_all(&mut self, batch: &FeedBatch) {
        let listed = batch.rows.iter();
        let rows: BTreeMap<String, String> = listed
            .filter_map(|row| Some((row.name.clone(), row.text.clone()?)))
            .collect();
        match self.rows.take() {
            Some(before) if batch.version > self.version => {
                let rows = diff_rows(&before, &rows);
                let changes = FeedBatch { rows, version: batch.version };
                self.gaps.push((self.version, batch.version));
                self.chunks.extend(split_batch(&changes, self.version));
            }
            _ => self.start_at(batch.version),
        }
        self.rows = Some(rows);
    }

    /// Records the changes after a version.
    fn record_changes(&mut self, batch: &FeedBatch, after: StoreVersion) {
        if after != self.version {
            // Changes between what was read before and this aren't known here.
            self.start_at(after);
            self.rows = None;
        }
        self.chunks.extend(split_batch(batch, after));
        let Some(rows) = &mut self.rows else { return };
        for row in &batch.rows {
            match &row.text {
                Some(text) => rows.insert(row.name.clone(), text.clone()),
                None => rows.remove(&row.name),
            };
        }
    }

    /// Keeps changes after a version only.
    fn start_at(&mut self, base: StoreVersion) {
        self.chunks.clear();
        self.gaps.clear();
        self.base = base;
    }

    /// Returns whether only a part of what changed after a version is known.
    fn is_in_gap(&self, version: StoreVersion) -> bool {
        self.gaps.iter().any(|(from, to)| *from < version && version < *to)
    }

    /// Returns the oldest rows after a version that fit an answer. Its version is that of
    /// the last of them, so that whoever asks goes on from there.
    fn answer(&self, after: StoreVersion) -> RowChanges {
        let mut changes = RowChanges { version: self.version, rows: vec![] };
        let mut bytes = 0;
        let mut last = after;
        for chunk in self.chunks.iter().filter(|chunk| chunk.version > after) {
            bytes += chunk.bytes;
            if !changes.rows.is_empty() && bytes > MAX_ANSWER_BYTES {
                changes.version = last;
                break;
            }
            changes.rows.extend(chunk.rows.iter().map(copy_row));
            last = chunk.version;
        }
        changes
    }
}

/// Returns what has changed from some rows to others.
fn diff_rows(
    before: &BTreeMap<String, String>,
    now: &BTreeMap<String, String>,
) -> Vec<FeedRow> {
    let row = |name: &String, text: Option<&String>| FeedRow {
        name: name.clone(),
        text: text.cloned(),
        version: None,
    };
    let removed = before.keys().filter(|name| !now.contains_key(*name));
    let removed = removed.map(|name| row(name, None));
    let changed = now.iter().filter(|(name, text)| before.get(*name) != Some(*text));
    removed
        .chain(changed.map(|(name, text)| row(name, Some(text))))
        .collect()
}

/// Copies a row for a peer.
fn copy_row(row: &FeedRow) -> RowCopy {
    RowCopy { name: row.name.clone(), text: row.text.clone() }
}

/// Returns how many bytes a row has.
fn row_bytes(row: &FeedRow) -> usize {
    row.name.len() + row.text.as_ref().map_or(0, String::len)
}

/// Splits the changes after a version into parts that fit an answer.
fn split_batch(batch: &FeedBatch, after: StoreVersion) -> Vec<LogChunk> {
    let mut chunks: Vec<LogChunk> = vec![];
    // Whoever has a part goes on after its version, maybe elsewhere: a part may end only
    // where all rows that are left changed later.
    let versions = row_versions(batch, after);
    for (idx, row) in batch.rows.iter().enumerate() {
        let version = versions.as_ref().map_or(batch.version, |known| known[idx]);
        let bytes = row_bytes(row);
        match chunks.last_mut() {
            Some(chunk)
                if chunk.version == version
                    || chunk.bytes + bytes <= MAX_ANSWER_BYTES =>
            {
                chunk.version = version;
                chunk.bytes += bytes;
                chunk.rows.push(row.clone());
            }
            _ => chunks.push(LogChunk { version, rows: vec![row.clone()], bytes }),
        }
    }
    if let Some(chunk) = chunks.last_mut() {
        chunk.version = batch.version;
    }
    chunks
}

/// Returns the versions at which the rows of a batch changed; nothing unless all are known
/// and in order, and lie within the batch.
fn row_versions(batch: &FeedBatch, after: StoreVersion) -> Option<Vec<StoreVersion>> {
    let versions: Option<Vec<StoreVersion>> =
        batch.rows.iter().map(|row| row.version).collect();
    let within = after + 1..=batch.version;
    versions.filter(|versions| {
        versions.is_sorted() && versions.iter().all(|version| within.contains(version))
    })
}
