//! A log of the changes to the platform's server list that this instance has read, from
//! which it answers peers.
//!
//! In a small fleet, each instance reads the list from the platform for itself. In a
//! large one, a few readers do so, and their peers ask them for the changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::{MilliClock, StoreVersion};
use flaxtide_fleet::{ListReader, RowChanges, RowCopy, RowSource};
use tokio::sync::Notify;

use crate::budget::{MAX_AGE_FRACTION, REREAD_PAUSE_FRACTION};
use crate::contract::{FeedBatch, FeedRow};

/// The number of chunks of changes that a reader keeps for peers that are behind.
const KEPT_CHUNKS: usize = 128;

/// The most bytes of rows in an answer to a peer, unless a single change has more. An
/// answer has a deadline, and a late one is requested again from its start, so a long
/// answer might never arrive over a narrow link.
const MAX_ANSWER_BYTES: usize = 32 * 1024;

/// How long a reader's call to the platform waits for changes, as a fraction of
/// `leave_within`. The wait and the pause after it stay below [`MAX_AGE_FRACTION`]. The
/// pause is the longer one: while servers are being replaced, rows change all the time
/// and no call waits.
const READER_WAIT_FRACTION: f64 = 0.07;
/// The pause after a reader's call, as a fraction of `leave_within`.
const READER_PAUSE_FRACTION: f64 = 0.15;

// A reader that has to read everything again still answers its peers meanwhile.
const _: () = assert!(READER_PAUSE_FRACTION + REREAD_PAUSE_FRACTION < MAX_AGE_FRACTION);

/// How long a call to the platform waits for changes if the instance's readers don't
/// answer, as a fraction of `leave_within`. It is short, because the readers are asked
/// again after it.
const FALLBACK_WAIT_FRACTION: f64 = 0.25;

/// The changes of the server list that this instance has read from the platform, for
/// peers that ask.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::{FeedBatch, ServerListLog};
/// use flaxtide_fleet::RowSource;
/// let log = ServerListLog::new(Duration::from_secs(3));
/// assert!(log.changes_after(0).is_none());
/// log.record(&FeedBatch { rows: vec![], version: 7 }, None, Duration::ZERO);
/// assert_eq!(log.changes_after(7).unwrap().version, 7);
/// ```
pub struct ServerListLog {
    /// The clock for the age of the platform's last answer.
    clock: MilliClock,
    /// The time within which a leaving server must stop getting requests.
    leave_within: Duration,
    /// The recorded changes.
    state: Mutex<LogState>,
    /// Notified when rows have changed.
    changed: Arc<Notify>,
}

/// The contents of a log.
#[derive(Debug, Default)]
struct LogState {
    /// The log holds all changes after this version.
    base: StoreVersion,
    /// The newest version that has been read.
    version: StoreVersion,
    /// All rows at that version, or `None` if only changes of them are known.
    rows: Option<BTreeMap<String, String>>,
    /// Spans between two complete reads. Only the difference between their ends is known,
    /// so an instance whose version lies inside a span can't be answered.
    diffed_spans: Vec<(StoreVersion, StoreVersion)>,
    /// The changes after `base`, oldest first.
    chunks: VecDeque<LogChunk>,
    /// When the platform read its rows for its last answer to this instance.
    confirmed_at: Option<Duration>,
}

/// Rows that are always sent in the same answer.
#[derive(Debug)]
struct LogChunk {
    /// The version that a peer has reached once it has this chunk and all before it.
    version: StoreVersion,
    /// The changed rows.
    rows: Vec<FeedRow>,
    /// The size of the rows' names and texts.
    bytes: usize,
}

impl ServerListLog {
    /// Creates an empty log. `leave_within` is the time within which a leaving server
    /// must stop getting requests.
    #[must_use]
    pub fn new(leave_within: Duration) -> Self {
        Self {
            clock: MilliClock::real(),
            leave_within,
            state: Mutex::default(),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Records an answer of the platform: the changes after a version, or all rows if
    /// `after` is `None`. `age` is the time since the platform read its rows for the answer.
    pub fn record(&self, batch: &FeedBatch, after: Option<StoreVersion>, age: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.confirmed_at = now.checked_sub(age);
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
        state.diffed_spans.retain(|(_, to)| *to > base);
        drop(state);
        if !batch.rows.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Records the changes after a version that a peer answered instead of the platform. Only
    /// the rows are kept: the peer may know the difference of two complete reads only, so
    /// its changes can't be answered to others. But once this instance reads for its peers
    /// and the store drops its history, the rows show what has changed.
    pub fn record_answer(&self, batch: &FeedBatch, after: StoreVersion) {
        let mut state = self.lock();
        state.confirmed_at = None;
        if after != state.version {
            state.rows = None;
        }
        state.apply_rows(batch);
        state.start_at(batch.version);
        state.version = batch.version;
    }

    /// Returns how long a call to the platform waits for changes, and the pause after it,
    /// or `None` for the usual timing of an instance that reads for itself. A standby that
    /// has to call the platform reads for its peers too.
    pub(crate) fn reader_timing(
        &self,
        reader: ListReader,
        is_standby: bool,
        usual_pause: Duration,
    ) -> Option<(Duration, Duration)> {
        let span = |fraction| self.leave_within.mul_f64(fraction);
        match reader {
            ListReader::Alone => None,
            ListReader::Peer(_) if !is_standby => {
                Some((span(FALLBACK_WAIT_FRACTION), usual_pause))
            }
            ListReader::ForPeers | ListReader::Peer(_) => {
                Some((span(READER_WAIT_FRACTION), span(READER_PAUSE_FRACTION)))
            }
        }
    }

    /// Returns whether the platform has answered lately.
    fn is_fresh(&self, state: &LogState, now: Duration) -> bool {
        let max_age = self.leave_within.mul_f64(MAX_AGE_FRACTION);
        state.confirmed_at.is_some_and(|at| now <= at + max_age)
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RowSource for ServerListLog {
    fn changes_after(&self, version: u64) -> Option<RowChanges> {
        let now = self.clock.now();
        let state = self.lock();
        let known = self.is_fresh(&state, now)
            && version <= state.version
            && !state.has_gap_after(version);
        known.then(|| state.answer(version))
    }

    fn has_gap_after(&self, version: u64) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        self.is_fresh(&state, now) && state.has_gap_after(version)
    }

    fn change_notifier(&self) -> Arc<Notify> {
        self.changed.clone()
    }
}

impl LogState {
    /// Records a complete read. The difference from the previous one is kept as changes,
    /// so that peers don't have to read everything when the store has dropped its history
    /// or was restored from a backup.
    fn record_all(&mut self, batch: &FeedBatch) {
        let listed = batch.rows.iter();
        let rows: BTreeMap<String, String> = listed
            .filter_map(|row| Some((row.name.clone(), row.text.clone()?)))
            .collect();
        match self.rows.take() {
            Some(before) if batch.version > self.version => {
                let rows = diff_rows(&before, &rows);
                let changes = FeedBatch { rows, version: batch.version };
                self.diffed_spans.push((self.version, batch.version));
                self.chunks.extend(split_batch(&changes, self.version));
            }
            _ => self.start_at(batch.version),
        }
        self.rows = Some(rows);
    }

    /// Records the changes after a version.
    fn record_changes(&mut self, batch: &FeedBatch, after: StoreVersion) {
        if after != self.version {
            // What changed between the last read and this one isn't known here.
            self.start_at(after);
            self.rows = None;
        }
        self.chunks.extend(split_batch(batch, after));
        self.apply_rows(batch);
    }

    /// Applies changes to the rows, if these are known.
    fn apply_rows(&mut self, batch: &FeedBatch) {
        let Some(rows) = &mut self.rows else { return };
        for row in &batch.rows {
            match &row.text {
                Some(text) => rows.insert(row.name.clone(), text.clone()),
                None => rows.remove(&row.name),
            };
        }
    }

    /// Drops all changes up to a version.
    fn start_at(&mut self, base: StoreVersion) {
        self.chunks.clear();
        self.diffed_spans.clear();
        self.base = base;
    }

    /// Returns whether the changes after a version aren't known: they begin later, or the
    /// version lies strictly inside a span of which only the difference is known.
    fn has_gap_after(&self, version: StoreVersion) -> bool {
        let mut spans = self.diffed_spans.iter();
        version < self.base || spans.any(|(from, to)| *from < version && version < *to)
    }

    /// Returns the oldest changes after a version that fit into one answer. The answer's
    /// version is that of its last chunk, from which the peer continues.
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

/// Returns the changes that lead from one set of rows to another.
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

/// Converts a logged row to the form for peers, without its version.
fn copy_row(row: &FeedRow) -> RowCopy {
    RowCopy { name: row.name.clone(), text: row.text.clone() }
}

/// Returns the size of a row's name and text.
fn row_bytes(row: &FeedRow) -> usize {
    row.name.len() + row.text.as_ref().map_or(0, String::len)
}

/// Splits the changes after a version into chunks that fit into an answer.
fn split_batch(batch: &FeedBatch, after: StoreVersion) -> Vec<LogChunk> {
    let mut chunks: Vec<LogChunk> = vec![];
    // A peer continues after a chunk's version, possibly with another reader. So a chunk
    // may end only where all remaining rows changed at a later version.
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

/// Returns the versions at which the rows of a batch changed, or `None` unless all are
/// known, in order, and within the batch's range.
fn row_versions(batch: &FeedBatch, after: StoreVersion) -> Option<Vec<StoreVersion>> {
    let versions: Option<Vec<StoreVersion>> =
        batch.rows.iter().map(|row| row.version).collect();
    let within = after + 1..=batch.version;
    versions.filter(|versions| {
        versions.is_sorted() && versions.iter().all(|version| within.contains(version))
    })
}
