//! How instances of the lab of versions use the platform's table.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxtide_policy::{
    ListedNow, NoteBatch, NoteLog, StreamKey, VersionKey, VersionView,
};
use rand::Rng;

use super::table::clock_ms;
use super::{CURRENT_WITHIN, GRACE, SERVICE, STEP, VersionLab};

/// How often notes are kept.
const FLUSH_PERIOD: Duration = Duration::from_millis(500);

/// How often records are read while versions mix.
const RECORD_PERIOD: Duration = Duration::from_secs(5);

/// For each instance, a call to record a new version is delayed by up to this many milliseconds.
const SPREAD_MS: u64 = 2;

/// What an instance keeps in the table, and has read from it.
pub(super) struct LabKeeper {
    pub(super) log: NoteLog,
    /// Whether it has read its records and rows.
    pub(super) is_restored: bool,
    /// Whether it has tried to.
    pub(super) has_tried: bool,
    /// When it next writes notes, and reads the record.
    flush_at: Duration,
    record_at: Duration,
    /// The versions that it listed at the last call for the record.
    recorded: BTreeSet<VersionKey>,
    /// When each version was last listed, and since when there is a list.
    seen: BTreeMap<VersionKey, Duration>,
    listed_since: Option<Duration>,
}

impl LabKeeper {
    /// Creates that of a process.
    pub(super) fn new(process: u32) -> Self {
        Self {
            log: NoteLog::new(process),
            is_restored: false,
            has_tried: false,
            flush_at: Duration::ZERO,
            record_at: Duration::ZERO,
            recorded: BTreeSet::new(),
            seen: BTreeMap::new(),
            listed_since: None,
        }
    }
}

impl VersionLab<'_> {
    /// Returns whether the platform's store is away for all.
    pub(super) fn is_store_away(&self) -> bool {
        let mut outages = self.pattern.outages.iter();
        outages.any(|(from, until)| (*from..*until).contains(&self.now))
    }

    /// Returns whether an instance reaches the table.
    pub(super) fn reaches_table(&self, index: usize) -> bool {
        let mut outages = self.pattern.table_outages.iter();
        !self.is_store_away()
            && self.cut(index).is_none()
            && !outages.any(|(from, until)| (*from..*until).contains(&self.now))
    }

    /// Returns whether an instance serves: it has a list, and has read its rows or failed to.
    pub(super) fn is_ready(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        !instance.listed.is_empty() && (!self.pattern.table || instance.keeper.has_tried)
    }

    /// Returns whether an instance lists several versions and hasn't read yet which are marked as
    /// begun.
    pub(super) fn is_unread(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        self.pattern.table
            && !instance.keeper.is_restored
            && instance.listed.len() > 1
            && self.now < instance.down_until + instance.registry.window()
    }

    /// Lets instances read the table, and write to it what is due.
    pub(super) fn use_table(&mut self) {
        self.store.step(&self.pattern.copies, self.now, STEP);
        if !self.pattern.table {
            return;
        }
        for index in 0..self.instances.len() {
            if !self.is_up(index) || self.instances[index].listed.is_empty() {
                continue;
            }
            self.see_listed(index);
            let is_reached = self.reaches_table(index);
            self.instances[index].keeper.has_tried = true;
            if is_reached {
                self.restore(index);
                self.use_record(index);
                self.flush(index);
            }
        }
    }

    /// Remembers what an instance lists, and when it is to record it.
    fn see_listed(&mut self, index: usize) {
        let spread = SPREAD_MS * self.instances.len() as u64;
        let wait = Duration::from_millis(self.rng.random_range(0..=spread));
        let now = self.now;
        let instance = &mut self.instances[index];
        let keeper = &mut instance.keeper;
        keeper.listed_since.get_or_insert(now);
        for version in instance.listed.keys() {
            keeper.seen.insert(*version, now);
        }
        let listed: BTreeSet<VersionKey> = instance.listed.keys().copied().collect();
        let is_due = instance.registry.has_to_begin(GRACE, now);
        if keeper.recorded != listed || is_due {
            keeper.recorded = listed;
            keeper.record_at = keeper.record_at.min(now + wait);
        }
    }

    /// Lets an instance read what the process before it has kept.
    fn restore(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.keeper.is_restored {
            return;
        }
        for (key, batch) in self.store.table.notes(index) {
            instance.registry.note_told(&batch.notes_at(clock_ms(now)), now);
            instance.keeper.log.restore(key, batch);
        }
        let record = self.store.table.record.clone();
        if instance.registry.set_recorded(SERVICE, record, clock_ms(now), now) {
            instance.untold.extend(instance.registry.own_notes(now));
        }
        instance.keeper.is_restored = true;
    }

    /// Lets an instance read the record, and put it right.
    fn use_record(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if now < instance.keeper.record_at {
            return;
        }
        let listed = instance.listed.keys().copied().collect();
        let is_current = now <= instance.covered_until + CURRENT_WITHIN;
        let keeper = &mut instance.keeper;
        let gone = |version: &VersionKey| {
            let seen = keeper.seen.get(version).copied().max(keeper.listed_since);
            is_current && seen.is_some_and(|seen| now >= seen + 2 * CURRENT_WITHIN)
        };
        let record = &mut self.store.table.record;
        let recorded = record.versions.iter().map(|recorded| recorded.version);
        let gone = recorded.filter(gone).collect();
        let life = instance.registry.window();
        let to_begin = instance.registry.to_begin(SERVICE, GRACE, now);
        let listed = ListedNow { listed, gone, to_begin, life };
        if let Some(revised) = record.revised(&listed, self.store.era, clock_ms(now)) {
            *record = revised;
        }
        if instance
            .registry
            .set_recorded(SERVICE, record.clone(), clock_ms(now), now)
        {
            let notes = instance.registry.own_notes(now);
            let streams: Vec<StreamKey> = notes.iter().map(|note| note.stream).collect();
            keeper.log.add(&streams);
            instance.untold.extend(notes);
        }
        let is_mixed = instance.registry.view(SERVICE, now) == VersionView::Several;
        keeper.record_at = if is_mixed { now + RECORD_PERIOD } else { Duration::MAX };
    }

    /// Lets an instance write its notes.
    fn flush(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        let keeper = &mut instance.keeper;
        if now < keeper.flush_at {
            return;
        }
        keeper.flush_at = now + FLUSH_PERIOD;
        let change = keeper.log.change(&instance.registry, clock_ms(now), now);
        if let Some(change) = change {
            self.store.table.write_notes(index, &change);
            keeper.log.record_done(&change);
            self.outcome.notes_kept += change.added.iter().map(count).sum::<u64>();
        }
    }
}

/// Returns the number of notes of a batch.
fn count<K>((_, batch): &(K, NoteBatch)) -> u64 {
    batch.notes.len() as u64
}
