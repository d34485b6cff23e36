//! The thread that keeps versions in the platform's table: it records which versions serve, writes
//! the notes of this instance, and reads those of peers that don't answer.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use flaxtide_core::MilliClock;
use flaxtide_policy::{ListedNow, ServiceKey, VersionKey, VersionRecord};

use super::{PendingLookUp, StreamVersions};
use crate::contract::{FeedError, NoteOwner, RecordsRead, VersionPlatform};
use crate::metrics::EntryMetrics;

/// How often the thread checks what is due, if it isn't woken.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// How often it does at most, if it isn't woken.
const MIN_POLL_PERIOD: Duration = Duration::from_millis(5);

/// How often the records are read again while a service has several versions.
const RECHECK_PERIOD: Duration = Duration::from_secs(5);

/// The least window in which instances read the records after a change, so that few of them write.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// The window for each instance of the fleet.
const WINDOW_PER_INSTANCE: Duration = Duration::from_millis(2);

/// How often the notes of the same peer are read at most.
const LOOK_UP_PERIOD: Duration = Duration::from_secs(1);

/// The pause after the first failed call. It doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// The longest pause while nothing has been read yet: callers come back to their streams.
const MAX_LOAD_PAUSE: Duration = Duration::from_millis(400);

/// A version that a current list hasn't had for this many times the age at which a list is current
/// is listed by no instance.
const GONE_FACTOR: u32 = 2;

/// Keeps versions in the platform's table.
pub(crate) struct VersionTable {
    /// This instance, as the owner of its notes.
    owner: NoteOwner,
    /// The table.
    platform: Arc<dyn VersionPlatform>,
    /// What this instance knows of versions.
    versions: Arc<StreamVersions>,
    /// Signals that something may be due.
    woken: Receiver<()>,
    /// Counts the calls.
    metrics: Arc<EntryMetrics>,
    /// The clock of what this instance knows.
    clock: MilliClock,
    /// The time on the store's clock in milliseconds, and on that of this instance, at the last
    /// answer.
    store_time: (u64, Duration),
    /// The era of the store when the records were last read.
    era: u64,
    /// Whether the records and the own notes have been read.
    is_loaded: bool,
    /// When the records are to be read next.
    records_at: Option<Duration>,
    /// When the last notes were written.
    written_at: Duration,
    /// Since when recorded versions haven't been listed.
    absent_since: HashMap<(ServiceKey, VersionKey), Duration>,
    /// When the notes of peers were last read.
    looked_up: HashMap<NoteOwner, Duration>,
    /// The streams whose version the records may tell, once they are read again.
    undecided: Vec<PendingLookUp>,
    /// When the records were last read for them.
    decided_at: Duration,
    /// When calls may be made again, and the last pause after a failed one.
    retry: (Duration, Duration),
    /// Whether a call has been answered since the last outcome.
    is_answered: Cell<bool>,
}

impl VersionTable {
    /// Creates the thread's state. Nothing has been read yet.
    pub(crate) fn new(
        owner: NoteOwner,
        platform: Arc<dyn VersionPlatform>,
        versions: Arc<StreamVersions>,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        let woken = versions.begin_keeping();
        Self {
            owner,
            platform,
            woken,
            metrics,
            clock: versions.clock.clone(),
            versions,
            store_time: (0, Duration::ZERO),
            era: 0,
            is_loaded: false,
            records_at: None,
            written_at: Duration::ZERO,
            absent_since: HashMap::new(),
            looked_up: HashMap::new(),
            undecided: vec![],
            decided_at: Duration::ZERO,
            retry: (Duration::ZERO, Duration::ZERO),
            is_answered: Cell::new(false),
        }
    }

    /// Keeps versions for as long as the process runs.
    pub(crate) fn run(mut self) {
        loop {
            self.run_once();
            let pause = self.next_due().saturating_sub(self.clock.now());
            // A signal and the end of the wait mean the same.
            let _ = self.woken.recv_timeout(pause.clamp(MIN_POLL_PERIOD, POLL_PERIOD));
        }
    }

    /// Does what is due.
    fn run_once(&mut self) {
        let look_ups = self.versions.take_look_ups();
        let now = self.clock.now();
        if now < self.retry.0 {
            self.undecided.extend(look_ups);
            return self.versions.decide(std::mem::take(&mut self.undecided), None);
        }
        // Callers wait for look-ups.
        let looked_up = self.look_up(&look_ups);
        let (undecided, decided) = self.versions.split_recordable(look_ups);
        self.versions.decide(decided, None);
        self.undecided.extend(undecided);
        let decided = self.decide_by_records(now);
        let kept = self.keep(now);
        self.record_outcome(looked_up.and(decided).and(kept));
    }

    /// Reads the records for streams whose version they may tell, if that is due, and decides about
    /// these streams.
    fn decide_by_records(&mut self, now: Duration) -> Result<(), FeedError> {
        if self.undecided.is_empty() || now < self.decide_at() {
            return Ok(());
        }
        self.decided_at = now;
        let look_ups = std::mem::take(&mut self.undecided);
        let read = self.counted("read_records", |platform, _| platform.read_records());
        log::info!(
            streams = look_ups.len() as u64, read = read.is_ok();
            "records read for streams that nobody has noted"
        );
        self.versions.decide(look_ups, read.as_ref().ok());
        read.map(|_| ())
    }

    /// Returns when the records may be read again for streams that are looked up.
    fn decide_at(&self) -> Duration {
        self.decided_at + self.versions.write_period()
    }

    /// Returns when something is next due, as far as that is known.
    fn next_due(&self) -> Duration {
        let notes_at = self
            .versions
            .has_unwritten_streams()
            .then(|| self.written_at + self.versions.write_period());
        let decide_at = (!self.undecided.is_empty()).then(|| self.decide_at());
        let due = self.records_at.into_iter().chain(notes_at).chain(decide_at).min();
        due.map_or(Duration::MAX, |at| at.max(self.retry.0))
    }

    /// Reads and writes what is due. Records and notes are in different parts of the table, of which
    /// one may be away.
    fn keep(&mut self, now: Duration) -> Result<(), FeedError> {
        let loaded = self.load();
        if !self.versions.are_records_read() {
            return loaded;
        }
        let records = self.keep_records(now);
        loaded.and_then(|()| self.write_notes(now)).and(records)
    }

    /// Records the outcome of calls, if any were made.
    fn record_outcome(&mut self, outcome: Result<(), FeedError>) {
        let Err(fault) = outcome else {
            if self.is_answered.replace(false) {
                self.retry = (Duration::ZERO, Duration::ZERO);
                self.versions.set_table_answering(true);
            }
            return;
        };
        self.is_answered.set(false);
        let longest = if self.is_loaded { MAX_PAUSE } else { MAX_LOAD_PAUSE };
        let pause = (self.retry.1 * 2).clamp(FIRST_PAUSE, longest);
        self.retry = (self.clock.now() + pause, pause);
        self.versions.set_table_answering(false);
        log::info!(
            cause = fault.to_string(), pause_ms = pause.as_millis() as u64, loaded = self.is_loaded;
            "versions not kept in the table"
        );
    }

    /// Reads the records and the notes that an earlier process of this instance has kept.
    fn load(&mut self) -> Result<(), FeedError> {
        if self.is_loaded {
            return Ok(());
        }
        let read = self.read_records()?;
        self.apply_records(&read);
        self.versions.set_records_read();
        let notes =
            self.counted("read_notes", |platform, owner| platform.read_notes(owner))?;
        let now = self.clock.now();
        self.store_time = (notes.now_ms, now);
        let count = self.versions.restore(&notes, now);
        self.is_loaded = true;
        self.versions.set_loaded();
        log::info!(
            records = read.records.len() as u64, batches = notes.batches.len() as u64,
            notes = count as u64, era = read.era;
            "versions read from the table"
        );
        Ok(())
    }

    /// Reads the records and revises them, if that is due.
    fn keep_records(&mut self, now: Duration) -> Result<(), FeedError> {
        let (is_recorded, is_mixed) = self.versions.table_needs();
        if self.versions.has_new_era(self.era) {
            self.records_at = Some(now);
        } else if !is_recorded {
            let window = MIN_WINDOW + WINDOW_PER_INSTANCE * self.versions.instances();
            let drawn = now + window.mul_f64(rand::random::<f64>());
            let at = self.records_at.unwrap_or(drawn).min(now + window);
            self.records_at = Some(at);
        } else if is_mixed {
            self.records_at.get_or_insert(now + RECHECK_PERIOD);
        }
        if self.records_at.is_none_or(|at| now < at) {
            return Ok(());
        }
        let read = self.read_records()?;
        self.records_at = None;
        self.apply_records(&read);
        self.revise_records(&read)
    }

    /// Reads the records of all services.
    fn read_records(&mut self) -> Result<RecordsRead, FeedError> {
        let read = self.counted("read_records", |platform, _| platform.read_records())?;
        self.store_time = (read.now_ms, self.clock.now());
        self.era = read.era;
        Ok(read)
    }

    /// Applies records that have been read and are of the current era.
    fn apply_records(&self, read: &RecordsRead) {
        for (service, (record, _)) in &read.records {
            if let Some(record) = record.as_ref().filter(|record| record.era == read.era)
            {
                self.versions.set_recorded(*service, record, read.now_ms);
            }
        }
    }

    /// Writes the records that don't say what this instance lists.
    fn revise_records(&mut self, read: &RecordsRead) -> Result<(), FeedError> {
        let now = self.clock.now();
        let mut outcome = Ok(());
        for (service, mut listed) in self.versions.listed_now() {
            let row = read.records.get(&service);
            let unreadable = VersionRecord {
                unsure_since_ms: Some(read.now_ms),
                era: read.era,
                ..VersionRecord::default()
            };
            let record = match row {
                Some((record, _)) => record.clone().unwrap_or(unreadable),
                None => VersionRecord { era: read.era, ..VersionRecord::default() },
            };
            listed.gone = self.gone(service, &record, &listed, now);
            let Some(revised) = record.revised(&listed, read.era, read.now_ms) else {
                continue;
            };
            let expected = row.map(|(_, version)| *version);
            let written = self.counted("write_record", |platform, _| {
                platform.write_record(service, expected, &revised)
            });
            let written = match written {
                Ok(written) => written,
                Err(fault) => {
                    outcome = Err(fault);
                    continue;
                }
            };
            log::info!(
                service, written, versions:? = revised.versions,
                unsure = revised.unsure_since_ms.is_some();
                "versions recorded"
            );
            match written {
                true => self.versions.set_recorded(service, &revised, read.now_ms),
                // Another instance was first. Its record is read.
                false => self.records_at = Some(now),
            }
        }
        outcome
    }

    /// Returns the recorded versions that no instance lists any more.
    fn gone(
        &mut self,
        service: ServiceKey,
        record: &VersionRecord,
        listed: &ListedNow,
        now: Duration,
    ) -> BTreeSet<VersionKey> {
        let is_current = self.versions.is_current(now);
        let grace = self.versions.current_within * GONE_FACTOR;
        let versions = record.versions.iter().map(|recorded| recorded.version);
        let mut gone = BTreeSet::new();
        for version in versions {
            if !is_current || listed.listed.contains(&version) {
                self.absent_since.remove(&(service, version));
                continue;
            }
            let since = *self.absent_since.entry((service, version)).or_insert(now);
            if now >= since + grace {
                gone.insert(version);
            }
        }
        gone
    }

    /// Writes the notes of this instance, if that is due.
    fn write_notes(&mut self, now: Duration) -> Result<(), FeedError> {
        if now < self.written_at + self.versions.write_period() {
            return Ok(());
        }
        let (store_ms, at) = self.store_time;
        let now_ms = store_ms + now.saturating_sub(at).as_millis() as u64;
        let Some(change) = self.versions.note_change(now_ms, now) else { return Ok(()) };
        self.written_at = now;
        self.counted("write_notes", |platform, owner| {
            platform.write_notes(owner, &change)
        })?;
        self.versions.record_notes_written(&change);
        Ok(())
    }

    /// Reads the notes of peers in which streams are looked up. Returns the last failure.
    fn look_up(&mut self, look_ups: &[PendingLookUp]) -> Result<(), FeedError> {
        let now = self.clock.now();
        self.looked_up.retain(|_, at| now < *at + LOOK_UP_PERIOD);
        let owners: HashSet<&NoteOwner> =
            look_ups.iter().flat_map(|look_up| &look_up.owners).collect();
        let mut outcome = Ok(());
        for owner in owners {
            if self.looked_up.contains_key(owner) {
                continue;
            }
            match self.counted("read_notes", |platform, _| platform.read_notes(owner)) {
                Ok(notes) => {
                    let count = self.versions.note_kept(&notes, self.clock.now());
                    self.looked_up.insert(owner.clone(), now);
                    log::info!(instance = owner.instance, notes = count as u64; "kept notes of a peer read");
                }
                Err(fault) => outcome = Err(fault),
            }
        }
        outcome
    }

    /// Makes a call and counts it.
    fn counted<Answer>(
        &self,
        topic: &str,
        call: impl FnOnce(&dyn VersionPlatform, &NoteOwner) -> Result<Answer, FeedError>,
    ) -> Result<Answer, FeedError> {
        let answer = call(&*self.platform, &self.owner);
        let result = if answer.is_ok() { "ok" } else { "failed" };
        self.is_answered.set(self.is_answered.get() || answer.is_ok());
        self.metrics.platform_calls.with_label_values(&[topic, result]).inc();
        answer
    }
}
