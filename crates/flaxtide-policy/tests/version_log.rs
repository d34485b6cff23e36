//! Which notes of its streams an instance keeps outside all instances, and which it removes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxtide_policy::{
    BatchKey, NoteBatch, NoteChange, NoteLog, VersionNote, VersionRegistry,
};

/// The process of the tests.
const PROCESS: u32 = 5;

/// The most entries of a call.
const MAX_ENTRIES: usize = 100;

/// The most notes of a batch.
const MAX_BATCH_NOTES: usize = 3000;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The key of a batch of this process.
fn key(number: u32) -> BatchKey {
    BatchKey { process: PROCESS, number }
}

/// An instance with streams, and the rows that are kept of it.
struct Keeper {
    registry: VersionRegistry,
    log: NoteLog,
    rows: BTreeMap<BatchKey, NoteBatch>,
}

impl Keeper {
    fn new() -> Self {
        Self {
            registry: VersionRegistry::default(),
            log: NoteLog::new(PROCESS),
            rows: BTreeMap::new(),
        }
    }

    /// Begins streams that live 15 s.
    fn begin(&mut self, streams: &[u64], at: Duration) {
        for stream in streams {
            self.registry.note_own(*stream, 8, s(15), at);
        }
        assert_eq!(self.log.add(streams), 0);
    }

    /// Returns the change that is due, whose size is checked.
    fn change(&mut self, at: Duration) -> Option<NoteChange> {
        let change = self.log.change(&self.registry, at.as_millis() as u64, at)?;
        assert!(change.added.len() + change.removed.len() <= MAX_ENTRIES);
        assert!(change.added.iter().all(|(_, batch)| {
            !batch.notes.is_empty() && batch.notes.len() <= MAX_BATCH_NOTES
        }));
        Some(change)
    }

    /// Carries a change out at the store.
    fn carry_out(&mut self, change: &NoteChange) {
        self.rows.extend(change.added.iter().cloned());
        for key in &change.removed {
            self.rows.remove(key);
        }
    }

    /// Makes the change that is due, and carries it out.
    fn flush(&mut self, at: Duration) -> Option<NoteChange> {
        let change = self.change(at)?;
        self.carry_out(&change);
        self.log.record_done(&change);
        Some(change)
    }

    /// Returns the streams that are kept.
    fn kept(&self) -> BTreeSet<u64> {
        let notes = self.rows.values().flat_map(|batch| &batch.notes);
        notes.map(|note| note.stream).collect()
    }
}

/// Returns the streams of a change.
fn streams(change: &NoteChange) -> Vec<u64> {
    let notes = change.added.iter().flat_map(|(_, batch)| &batch.notes);
    notes.map(|note| note.stream).collect()
}

#[test]
fn streams_that_ended_before_they_were_written_arent() {
    let mut keeper = Keeper::new();
    keeper.begin(&[1, 2, 3], s(0));
    keeper.registry.forget(2);
    let change = keeper.flush(s(1)).unwrap();
    let note = |stream| VersionNote { stream, version: 8, life_s: 14 };
    let batch = NoteBatch { written_ms: 1000, notes: vec![note(1), note(3)] };
    assert_eq!(change.added, [(key(0), batch)]);
    assert_eq!(keeper.log.waiting(), 0);
    assert_eq!(keeper.change(s(1)), None, "all is written");
    keeper.begin(&[4], s(2));
    keeper.registry.forget(4);
    assert_eq!(keeper.change(s(2)), None, "it ended");
    keeper.begin(&[5], s(2));
    assert_eq!(streams(&keeper.change(s(16)).unwrap()), [5]);
    assert_eq!(keeper.change(s(45)), None, "its write may be done yet");
    assert_eq!(keeper.flush(s(46)).unwrap().removed, [key(0), key(1)]);
}

#[test]
fn a_batch_is_removed_when_all_its_streams_have_ended() {
    let mut keeper = Keeper::new();
    keeper.begin(&[1, 2], s(0));
    keeper.flush(s(0));
    keeper.begin(&[3], s(1));
    keeper.flush(s(1));
    keeper.registry.forget(1);
    assert_eq!(keeper.change(s(2)), None, "one of its streams goes on");
    keeper.registry.forget(2);
    assert_eq!(keeper.change(s(2)), None, "it waits for the next batch");
    keeper.begin(&[4], s(2));
    let change = keeper.flush(s(2)).unwrap();
    assert_eq!((streams(&change), change.removed), (vec![4], vec![key(0)]));
    keeper.registry.forget(3);
    keeper.registry.forget(4);
    let last = keeper.flush(s(3)).unwrap();
    assert_eq!(last.removed, [key(1), key(2)], "the last ones are removed at once");
    assert_eq!((last.added.len(), keeper.rows.len()), (0, 0));
    assert_eq!(keeper.change(s(3)), None);
}

#[test]
fn writes_without_an_answer_are_written_again_and_removed_later() {
    for is_done in [false, true] {
        let mut keeper = Keeper::new();
        keeper.begin(&[1], s(0));
        let tried = keeper.change(s(0)).unwrap();
        if is_done {
            keeper.carry_out(&tried);
        }
        assert_eq!(keeper.log.waiting(), 1);
        keeper.begin(&[2], s(1));
        let again = keeper.flush(s(1)).unwrap();
        assert_eq!((streams(&again), again.added[0].0), (vec![1, 2], key(1)));
        // A write that is done seconds later must not leave its row.
        keeper.carry_out(&tried);
        let mut removed = vec![];
        for at in 2..60 {
            let change = keeper.flush(s(at));
            removed.extend(change.into_iter().flat_map(|change| change.removed));
            if at < 7 {
                assert!(!removed.contains(&key(0)), "it may still be written at {at}");
            }
        }
        assert_eq!(keeper.rows.len(), 0, "{removed:?}");
        assert_eq!(keeper.change(s(60)), None);
    }
}

#[test]
fn a_store_that_never_answers_costs_bounded_memory_and_calls() {
    let mut keeper = Keeper::new();
    let all: Vec<u64> = (0..500).collect();
    keeper.begin(&all, s(0));
    for half_second in 0..5000 {
        let at = Duration::from_millis(half_second * 500);
        if half_second % 20 == 0 {
            keeper.begin(&all, at);
        }
        let change = keeper.change(at).unwrap();
        assert_eq!(streams(&change), all, "all is tried again");
    }
    keeper.flush(s(2501)).unwrap();
    let calls = (2502..2600).filter(|at| keeper.flush(s(*at)).is_some()).count();
    assert!(calls <= 1024 / 80 + 2, "{calls}");
    assert_eq!(keeper.change(s(2600)), None);
}

#[test]
fn at_64_batches_half_of_them_is_merged() {
    let mut keeper = Keeper::new();
    for number in 0..64 {
        keeper.begin(&[2 * number, 2 * number + 1], s(0));
        assert_eq!(keeper.flush(s(0)).unwrap().removed, []);
        keeper.registry.forget(2 * number);
    }
    assert_eq!(keeper.rows.len(), 64);
    keeper.begin(&[1000], s(1));
    let change = keeper.flush(s(1)).unwrap();
    assert_eq!((change.added.len(), change.removed.len()), (1, 32));
    assert_eq!(streams(&change).len(), 33, "those that go on, and the new one");
    assert_eq!(keeper.rows.len(), 33);
    let open: BTreeSet<u64> = (0..64).map(|number| 2 * number + 1).collect();
    assert!(open.is_subset(&keeper.kept()), "none is lost");
    assert!(keeper.kept().contains(&1000));
}

#[test]
fn a_merge_that_isnt_done_loses_nothing() {
    let mut keeper = Keeper::new();
    for stream in 0..64 {
        keeper.begin(&[stream], s(0));
        keeper.flush(s(0));
    }
    keeper.begin(&[1000], s(1));
    for _ in 0..5 {
        keeper.change(s(1)).unwrap();
    }
    let change = keeper.flush(s(2)).unwrap();
    assert_eq!(change.removed.len(), 32);
    assert_eq!(keeper.kept(), (0..64).chain([1000]).collect());
    assert_eq!(keeper.rows.len(), 33);
}

#[test]
fn a_merge_that_is_done_late_loses_nothing() {
    let mut keeper = Keeper::new();
    for stream in 0..64 {
        keeper.registry.note_own(stream, 8, s(600), s(0));
        keeper.begin(&[stream], s(0));
        keeper.flush(s(0));
    }
    keeper.registry.note_own(1000, 8, s(600), s(1));
    keeper.begin(&[1000], s(1));
    let late = keeper.change(s(1)).unwrap();
    assert_eq!(late.removed.len(), 32);
    // There is room for more batches again before the next one is written.
    (32..64).for_each(|stream| keeper.registry.forget(stream));
    keeper.flush(s(2));
    keeper.carry_out(&late);
    for at in 3..60 {
        keeper.registry.note_own(1000 + at, 8, s(600), s(at));
        keeper.begin(&[1000 + at], s(at));
        keeper.flush(s(at));
        let kept = keeper.kept();
        let lost: Vec<u64> = (0..32).filter(|stream| !kept.contains(stream)).collect();
        assert!(lost.is_empty(), "{lost:?} at {at}");
    }
    assert!(!keeper.rows.contains_key(&late.added[0].0));
}

#[test]
fn the_most_notes_are_kept_in_few_batches() {
    let mut keeper = Keeper::new();
    let mut next = 0;
    // Bursts of 3,000 streams fill the registry; then some begin at each flush.
    for at in 0..200 {
        let count = if at < 20 { 3000 } else { 25 };
        let streams: Vec<u64> = (next..next + count).collect();
        next += count;
        for stream in &streams {
            keeper.registry.note_own(*stream, 8, s(600), s(at));
        }
        keeper.log.add(&streams);
        keeper.flush(s(at)).unwrap();
        assert!(keeper.rows.len() <= 64 + 12, "{} at {at}", keeper.rows.len());
        assert_eq!(keeper.log.waiting(), 0, "at {at}");
    }
    assert_eq!(keeper.kept(), (0..next).collect());
}

#[test]
fn large_numbers_of_streams_are_split() {
    let mut keeper = Keeper::new();
    let all: Vec<u64> = (0..16_384).collect();
    keeper.begin(&all, s(0));
    assert_eq!(keeper.log.add(&[20_000, 20_001]), 2, "there is no room");
    let change = keeper.flush(s(0)).unwrap();
    let sizes: Vec<usize> =
        change.added.iter().map(|(_, batch)| batch.notes.len()).collect();
    assert_eq!(sizes, [3000, 3000, 3000, 3000, 3000, 1384]);
    assert_eq!(streams(&change), all);
    assert_eq!(keeper.log.add(&[20_000, 20_001]), 0, "there is room again");
}

#[test]
fn batches_of_an_earlier_process_are_taken_over() {
    let note = |stream| VersionNote { stream, version: 8, life_s: 10 };
    let earlier = |number| BatchKey { process: 9, number };
    let batches = [
        (earlier(0), NoteBatch { written_ms: 0, notes: vec![note(1)] }),
        (earlier(1), NoteBatch { written_ms: 0, notes: vec![note(2), note(3)] }),
        (earlier(2), NoteBatch::default()),
    ];
    let mut keeper = Keeper::new();
    for (key, batch) in &batches {
        keeper.rows.insert(*key, batch.clone());
        keeper.registry.note_told(&batch.notes_at(2000), s(2));
        keeper.log.restore(*key, batch);
    }
    assert_eq!(keeper.change(s(2)), None, "what was kept stays kept");
    keeper.begin(&[4], s(2));
    let change = keeper.flush(s(2)).unwrap();
    assert_eq!((streams(&change), change.removed), (vec![4], vec![earlier(2)]));
    keeper.registry.forget(1);
    keeper.begin(&[5], s(3));
    assert_eq!(keeper.flush(s(3)).unwrap().removed, [earlier(0)]);
    let last = keeper.flush(s(20)).unwrap();
    assert_eq!(last.removed, [key(0), key(1), earlier(1)]);
    assert_eq!(keeper.rows.len(), 0);
}

#[test]
fn more_batches_than_a_call_takes_are_removed_in_several() {
    let mut keeper = Keeper::new();
    for number in 0..200 {
        let earlier = BatchKey { process: 9, number };
        keeper.rows.insert(earlier, NoteBatch::default());
        keeper.log.restore(earlier, &NoteBatch::default());
    }
    let removed = |keeper: &mut Keeper| keeper.flush(s(0)).map(|it| it.removed.len());
    assert_eq!(removed(&mut keeper), Some(80));
    keeper.begin(&[1], s(0));
    assert_eq!(removed(&mut keeper), Some(80));
    keeper.begin(&[2], s(0));
    assert_eq!(removed(&mut keeper), Some(40));
    assert_eq!(keeper.kept(), [1, 2].into());
}

#[test]
fn the_life_of_a_note_counts_from_when_it_was_written() {
    let note = |life_s| VersionNote { stream: 1, version: 8, life_s };
    let batch = NoteBatch { written_ms: 10_000, notes: vec![note(15)] };
    // The time on the store's clock, and the life that is left.
    let cases = [
        (0, Some(15)),
        (10_000, Some(15)),
        (10_999, Some(15)),
        (12_000, Some(13)),
        (24_000, Some(1)),
        (25_000, None),
        (u64::MAX, None),
    ];
    for (now_ms, life_s) in cases {
        let expected: Vec<VersionNote> = life_s.into_iter().map(note).collect();
        assert_eq!(batch.notes_at(now_ms), expected, "at {now_ms}");
    }
}
