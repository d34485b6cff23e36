//! What the thread that keeps versions in the platform's table reads and changes of the state that
//! it shares with the traffic thread and the fleet thread.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use flaxtide_fleet::VersionQuestion;
use flaxtide_policy::{
    ListedNow, NoteChange, ServiceKey, VersionDecision, VersionRecord,
};

use super::{PendingLookUp, StreamVersions, VersionsState};
use crate::contract::{NotesRead, RecordsRead};

/// The least time between two writes of notes. First events of streams wait for them.
const MIN_WRITE_PERIOD: Duration = Duration::from_millis(50);

/// How much longer it is for each instance of the fleet: the store takes a limited number of writes
/// from all of them.
const WRITE_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(1);

impl StreamVersions {
    /// Starts keeping versions in the table. Returns what signals that something may be due.
    pub(super) fn begin_keeping(&self) -> Receiver<()> {
        self.is_kept.store(true, Ordering::Relaxed);
        self.wake_table.1.clone()
    }

    /// Wakes the thread that keeps versions in the table.
    pub(super) fn wake_table(&self) {
        // If the queue is full, the thread is about to look.
        let _ = self.wake_table.0.try_send(());
    }

    /// Sets the number of live instances.
    pub(crate) fn set_instances(&self, count: u32) {
        self.instances.store(count.max(1), Ordering::Relaxed);
    }

    /// Returns whether the table has been read, or couldn't be.
    pub(crate) fn is_table_tried(&self) -> bool {
        !self.is_kept.load(Ordering::Relaxed)
            || self.is_table_tried.load(Ordering::Relaxed)
    }

    /// Records whether a call to the table was answered. While it isn't, no stream waits for it.
    pub(super) fn set_table_answering(&self, is_answering: bool) {
        self.is_table_tried.store(true, Ordering::Relaxed);
        self.is_table_answering.store(is_answering, Ordering::Relaxed);
        if !is_answering {
            self.lock().unwritten_streams.clear();
        }
    }

    /// Returns whether the list of servers is current.
    pub(super) fn is_current(&self, now: Duration) -> bool {
        self.lock().is_current(self.current_within, now)
    }

    /// Returns whether all listed versions are recorded and marked as far as is due, and whether a
    /// service has several.
    pub(super) fn table_needs(&self) -> (bool, bool) {
        let now = self.clock.now();
        let state = self.lock();
        let is_recorded = state.registry.is_recorded(now)
            && !state.registry.has_to_begin(self.grace(), now);
        (is_recorded, state.registry.has_several(now))
    }

    /// Returns the number of live instances.
    pub(super) fn instances(&self) -> u32 {
        self.instances.load(Ordering::Relaxed)
    }

    /// Returns the least time between two writes of notes.
    pub(super) fn write_period(&self) -> Duration {
        MIN_WRITE_PERIOD + WRITE_PERIOD_PER_INSTANCE * self.instances()
    }

    /// Returns whether the store is known to have come back from a copy since a read in `era`.
    pub(super) fn has_new_era(&self, era: u64) -> bool {
        self.store_era.load(Ordering::Relaxed) > era
    }

    /// Records that the records in the table have been read.
    pub(super) fn set_records_read(&self) {
        self.are_records_read.store(true, Ordering::Relaxed);
    }

    /// Returns whether the records in the table have been read.
    pub(super) fn are_records_read(&self) -> bool {
        self.are_records_read.load(Ordering::Relaxed)
    }

    /// Records that the table has been read.
    pub(super) fn set_loaded(&self) {
        self.is_loaded.store(true, Ordering::Relaxed);
    }

    /// Returns whether streams wait until they are in the table.
    pub(super) fn has_unwritten_streams(&self) -> bool {
        !self.lock().unwritten_streams.is_empty()
    }

    /// Returns what is listed of each service.
    pub(super) fn listed_now(&self) -> Vec<(ServiceKey, ListedNow)> {
        let now = self.clock.now();
        let state = self.lock();
        let life = state.registry.window();
        let listed = state.registry.listed().map(|(service, listed)| {
            let to_begin = state.registry.to_begin(service, self.grace(), now);
            (service, ListedNow { listed, gone: BTreeSet::new(), to_begin, life })
        });
        listed.collect()
    }

    /// Sets the record of a service, as of `read_ms` on the store's clock, which is now.
    pub(super) fn set_recorded(
        &self,
        service: ServiceKey,
        record: &VersionRecord,
        read_ms: u64,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.registry.set_recorded(service, record.clone(), read_ms, now) {
            let notes = state.registry.own_notes(now);
            log::info!(service, notes = notes.len(); "several versions recorded");
            self.queue_notes(&mut state, &notes);
        }
    }

    /// Takes over the notes that an earlier process of this instance has kept. Returns how many
    /// haven't expired.
    pub(super) fn restore(&self, notes: &NotesRead, now: Duration) -> usize {
        let mut state = self.lock();
        for (key, batch) in &notes.batches {
            state.log.restore(*key, batch);
        }
        drop(state);
        self.note_kept(notes, now)
    }

    /// Notes what was read from the table. Returns how many notes haven't expired.
    pub(super) fn note_kept(&self, notes: &NotesRead, now: Duration) -> usize {
        let mut state = self.lock();
        let mut count = 0;
        for (_, batch) in &notes.batches {
            let left = batch.notes_at(notes.now_ms);
            count += left.len();
            state.registry.note_told(&left, now);
        }
        count
    }

    /// Returns the change of the own notes in the table that is due.
    pub(super) fn note_change(&self, now_ms: u64, now: Duration) -> Option<NoteChange> {
        let mut state = self.lock();
        let VersionsState { registry, log, .. } = &mut *state;
        let change = log.change(registry, now_ms, now);
        self.unwritten.set(log.waiting() as i64);
        change
    }

    /// Records that the own notes in the table have been changed.
    pub(super) fn record_notes_written(&self, change: &NoteChange) {
        let mut state = self.lock();
        state.log.record_done(change);
        self.unwritten.set(state.log.waiting() as i64);
        for note in change.added.iter().flat_map(|(_, batch)| &batch.notes) {
            if let Some(written) = state.unwritten_streams.remove(&note.stream) {
                // The caller may have left.
                let _ = written.send(());
            }
        }
        state.unwritten_streams.retain(|_, written| !written.is_closed());
    }

    /// Removes and returns the streams that are to be looked up.
    pub(super) fn take_look_ups(&self) -> Vec<PendingLookUp> {
        std::mem::take(&mut self.lock().look_ups)
    }

    /// Decides about streams that were looked up, if they are noted or `read` shows the only version
    /// that can have begun them. The records have to be read after the streams were looked up:
    /// any version that had begun a stream was marked then.
    pub(super) fn decide(
        &self,
        look_ups: Vec<PendingLookUp>,
        read: Option<&RecordsRead>,
    ) {
        let now = self.clock.now();
        let life = self.lock().registry.window();
        for look_up in look_ups {
            let VersionQuestion { service, stream } = look_up.question;
            let noted = self.lock().registry.note_of(stream, now);
            let version = noted.map(|note| note.version).or_else(|| {
                let read = read?;
                let (record, _) = read.records.get(&service)?;
                record.as_ref()?.only_begun(read.era, read.now_ms, life)
            });
            (look_up.decide)(
                version.map_or(VersionDecision::Unknown, VersionDecision::Bound),
            );
        }
    }

    /// Splits off those of the streams that aren't noted and whose version a record may tell.
    pub(super) fn split_recordable(
        &self,
        look_ups: Vec<PendingLookUp>,
    ) -> (Vec<PendingLookUp>, Vec<PendingLookUp>) {
        let now = self.clock.now();
        let state = self.lock();
        look_ups.into_iter().partition(|look_up| {
            let VersionQuestion { service, stream } = look_up.question;
            state.registry.note_of(stream, now).is_none()
                && !state.registry.is_begun_ambiguous(service, now)
        })
    }
}
