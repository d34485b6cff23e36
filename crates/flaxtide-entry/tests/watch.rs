//! What a watcher asks an engine, and what it makes of the answers.

use std::time::Duration;

use flaxtide_entry::{
    CacheBatch, CacheChange, CachePosition, EngineRecord, OwnSightings, ReportedParts,
    WatchCall, WatchPace,
};
use flaxtide_policy::{DEAD_BOUND, EngineReport, PartChange, PartKey};

/// The engine.
const ENGINE: u32 = 7;

/// For how long an engine fails, as the time-out of one call tells.
const ONE_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns so many milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Makes calls until a time, each of which takes as long as `call_time` says and may change
/// the pace after it. Returns the calls and when they began.
fn calls_until(
    pace: &mut WatchPace,
    reads_reports: bool,
    (mut now, end): (Duration, Duration),
    call_time: impl Fn(WatchCall) -> Duration,
    after: impl Fn(&mut WatchPace, WatchCall, Duration),
) -> Vec<(WatchCall, Duration)> {
    let mut calls = vec![];
    loop {
        let (call, at) = pace.next_call(reads_reports, now);
        assert!(at >= now);
        if at >= end {
            return calls;
        }
        pace.begin(call, at);
        calls.push((call, at));
        now = at + call_time(call);
        after(pace, call, now);
    }
}

/// Returns when calls of a kind began, in milliseconds.
fn times_of(calls: &[(WatchCall, Duration)], wanted: WatchCall) -> Vec<u128> {
    let calls = calls.iter().filter(|(call, _)| *call == wanted);
    calls.map(|(_, at)| at.as_millis()).collect()
}

/// Returns how long calls take at an engine whose cache doesn't change.
fn quiet(call: WatchCall) -> Duration {
    match call {
        WatchCall::Report => ms(1),
        WatchCall::Cache => ms(500),
    }
}

/// Does nothing after a call.
fn nothing(_: &mut WatchPace, _: WatchCall, _: Duration) {}

#[test]
fn the_first_watcher_reads_the_report_about_once_a_second() {
    let mut pace = WatchPace::default();
    let calls = calls_until(&mut pace, true, (ms(0), ms(5000)), quiet, nothing);
    assert_eq!(times_of(&calls, WatchCall::Report), [0, 1001, 2002, 3003, 4004]);
    assert_eq!(times_of(&calls, WatchCall::Cache).len(), 10);
}

#[test]
fn a_report_that_differs_much_is_read_again_after_half_a_second() {
    // waiting and running in the reports, and the time to the one after them
    let cases = [
        ((4, 8), (4, 8), 1001),
        ((4, 8), (5, 10), 1001),
        ((4, 8), (6, 8), 501),
        ((4, 8), (4, 5), 501),
        ((0, 0), (0, 1), 501),
    ];
    for (first, second, expected) in cases {
        let mut pace = WatchPace::default();
        for (waiting, running) in [first, second] {
            pace.record_report(&EngineReport { waiting, running, ..Default::default() });
        }
        let calls = calls_until(&mut pace, true, (ms(0), ms(1500)), quiet, nothing);
        let reports = times_of(&calls, WatchCall::Report);
        assert_eq!(reports[1] - reports[0], expected, "{first:?} {second:?}");
    }
}

#[test]
fn a_watcher_whose_peer_reads_the_reports_reads_only_changes() {
    let mut pace = WatchPace::default();
    let calls = calls_until(&mut pace, false, (ms(0), ms(3000)), quiet, nothing);
    assert_eq!(times_of(&calls, WatchCall::Cache), [0, 500, 1000, 1500, 2000, 2500]);
    assert!(times_of(&calls, WatchCall::Report).is_empty());
}

#[test]
fn calls_that_are_answered_at_once_begin_a_quarter_second_apart() {
    let mut pace = WatchPace::default();
    let calls = calls_until(&mut pace, true, (ms(0), ms(4000)), |_| ms(0), nothing);
    let starts = times_of(&calls, WatchCall::Cache);
    assert_eq!(starts.len(), 16);
    assert!(starts.windows(2).all(|pair| pair[1] - pair[0] == 250));
    assert_eq!(times_of(&calls, WatchCall::Report), [0, 1000, 2000, 3000]);
}

#[test]
fn without_changes_the_report_proves_life_for_five_seconds() {
    for reads_reports in [true, false] {
        let mut pace = WatchPace::default();
        pace.begin(WatchCall::Cache, ms(0));
        pace.pause_cache(ms(0));
        let calls = calls_until(
            &mut pace,
            reads_reports,
            (ms(0), ms(11_000)),
            |_| ms(1),
            |pace, call, now| {
                if call == WatchCall::Cache {
                    pace.pause_cache(now);
                }
            },
        );
        assert_eq!(times_of(&calls, WatchCall::Cache), [5001, 10_002]);
        let reports = times_of(&calls, WatchCall::Report);
        assert_eq!(reports[..5], [0, 1000, 2000, 3000, 4000]);
        assert!(reports.windows(2).all(|pair| pair[1] - pair[0] >= 1000));
    }
}

#[test]
fn failing_counts_from_when_the_first_answer_was_due() {
    let mut record = EngineRecord::new(ENGINE, 3);
    assert_eq!(record.sighting(ms(900)).answered_ago, None);
    assert_eq!(record.record_answer(ms(1000)), None);
    assert!(record.record_failure(ms(1700), ms(2400)));
    assert_eq!(record.sighting(ms(2400)).failing_for, Some(ONE_TIMEOUT));
    assert!(!record.record_failure(ms(2900), ms(3600)));
    let seen = record.sighting(ms(4000));
    assert_eq!((seen.server, seen.watcher), (ENGINE, 3));
    assert_eq!(seen.answered_ago, Some(ms(3000)));
    assert_eq!(seen.failing_for, Some(ms(2300)));
    assert_eq!(record.record_answer(ms(4500)), Some(ms(2800)));
    let seen = record.sighting(ms(4600));
    assert_eq!((seen.answered_ago, seen.failing_for), (Some(ms(100)), None));
}

#[test]
fn one_unanswered_call_does_not_kill_an_engine() {
    let mut record = EngineRecord::new(ENGINE, 3);
    // A call for cache changes, which is held for 500 ms and fails 700 ms later.
    record.record_failure(ms(1500), ms(2200));
    let failing_for = record.sighting(ms(2200)).failing_for;
    assert_eq!(failing_for, Some(ONE_TIMEOUT));
    // The answer to the next call is due half a second later.
    assert!(failing_for.unwrap() + ms(500) <= DEAD_BOUND);
}

#[test]
fn a_failure_before_the_answer_was_due_counts_from_then() {
    let mut record = EngineRecord::new(ENGINE, 3);
    record.record_failure(ms(1500), ms(1100));
    assert_eq!(record.sighting(ms(1300)).failing_for, Some(ms(200)));
}

#[test]
fn a_reset_of_a_new_connection_is_a_sign_neither_of_death_nor_of_life() {
    let mut record = EngineRecord::new(ENGINE, 3);
    record.record_answer(ms(1000));
    record.record_failure(ms(1700), ms(2400));
    record.record_reset();
    let seen = record.sighting(ms(5000));
    assert_eq!((seen.answered_ago, seen.failing_for), (Some(ms(4000)), None));
}

#[test]
fn an_engine_is_not_blamed_for_the_time_that_the_watcher_stood_still() {
    let mut record = EngineRecord::new(ENGINE, 3);
    record.record_failure(ms(1500), ms(31_000));
    assert_eq!(record.sighting(ms(31_000)).failing_for, Some(ONE_TIMEOUT));
}

#[test]
fn a_report_ages_until_the_next() {
    let mut record = EngineRecord::new(ENGINE, 3);
    let report = EngineReport { running: 4, ..Default::default() };
    record.record_report(report, ms(1000));
    record.record_answer(ms(1800));
    assert_eq!(record.sighting(ms(2000)).report, Some((report, ms(1000))));
}

/// Returns changes of parts, given by key and tokens; none mean that a part is evicted.
fn batch(epoch: u64, next: u64, has_gap: bool, changes: &[(u64, u32)]) -> CacheBatch {
    let change =
        |&(part, tokens): &(u64, u32)| CacheChange { part, added: tokens > 0, tokens };
    CacheBatch {
        position: CachePosition { epoch, next },
        has_gap,
        changes: changes.iter().map(change).collect(),
    }
}

/// Applies a batch. Returns the parts that are reported as cached, and as evicted, sorted.
fn apply(
    parts: &mut ReportedParts,
    batch: &CacheBatch,
    known: &[PartKey],
) -> (Vec<PartKey>, Vec<PartKey>) {
    let changes = parts.apply(batch, |part| known.contains(&part));
    assert!(changes.iter().all(|change| change.server == ENGINE));
    let keys = |cached| {
        let wanted = changes.iter().filter(move |change| change.cached == cached);
        let mut keys: Vec<PartKey> = wanted.map(|change| change.part).collect();
        keys.sort_unstable();
        keys
    };
    (keys(true), keys(false))
}

#[test]
fn only_what_is_news_is_reported() {
    let mut parts = ReportedParts::new(ENGINE);
    assert_eq!(parts.position(), None);
    let first = batch(1, 4, true, &[(1, 900), (2, 499), (3, 500), (1, 1200)]);
    assert_eq!(apply(&mut parts, &first, &[]), (vec![1, 3], vec![]));
    assert_eq!(parts.position(), Some(CachePosition { epoch: 1, next: 4 }));
    // Parts 2 and 8 were never reported; the router takes 9 to be cached there.
    let second = batch(1, 8, false, &[(1, 0), (2, 0), (8, 0), (9, 0)]);
    assert_eq!(apply(&mut parts, &second, &[9]), (vec![], vec![1, 9]));
    let third = batch(1, 9, false, &[(1, 700)]);
    assert_eq!(apply(&mut parts, &third, &[]), (vec![1], vec![]));
}

#[test]
fn a_part_of_which_some_tokens_are_evicted_is_evicted() {
    let mut parts = ReportedParts::new(ENGINE);
    apply(&mut parts, &batch(1, 1, false, &[(1, 900)]), &[]);
    let mut partly = batch(1, 2, false, &[]);
    partly
        .changes
        .push(CacheChange { part: 1, added: false, tokens: 600 });
    assert_eq!(apply(&mut parts, &partly, &[]), (vec![], vec![1]));
}

#[test]
fn keys_are_reported_in_their_short_form() {
    let mut parts = ReportedParts::new(ENGINE);
    let key = 0x1234_5678_9abc_def0;
    let (cached, _) = apply(&mut parts, &batch(1, 1, false, &[(key, 900)]), &[]);
    assert_eq!(cached, [0x1234_5678 ^ 0x9abc_def0]);
}

#[test]
fn a_gap_evicts_what_was_reported_before_it() {
    let mut parts = ReportedParts::new(ENGINE);
    apply(&mut parts, &batch(1, 3, false, &[(1, 900), (2, 900)]), &[]);
    let after_gap = batch(1, 90, true, &[(2, 900), (3, 900)]);
    let changes = parts.apply(&after_gap, |_| false);
    // Part 2 is evicted first and cached again after that.
    let last_of_2 = changes.iter().rfind(|change| change.part == 2);
    let cached = PartChange { server: ENGINE, part: 2, cached: true };
    assert_eq!(last_of_2, Some(&cached));
    assert!(changes.contains(&PartChange { part: 1, cached: false, ..cached }));
    assert!(changes.contains(&PartChange { part: 3, ..cached }));
    assert_eq!(parts.position(), Some(CachePosition { epoch: 1, next: 90 }));
}

#[test]
fn a_new_epoch_evicts_everything_and_is_read_from_its_start() {
    let mut parts = ReportedParts::new(ENGINE);
    apply(&mut parts, &batch(1, 3, false, &[(1, 900), (2, 900)]), &[]);
    let restarted = batch(2, 5, false, &[(3, 900)]);
    assert_eq!(apply(&mut parts, &restarted, &[]), (vec![], vec![1, 2]));
    assert_eq!(parts.position(), None);
    let from_start = batch(2, 5, false, &[(1, 900), (3, 900)]);
    assert_eq!(apply(&mut parts, &from_start, &[]), (vec![1, 3], vec![]));
    assert_eq!(parts.position(), Some(CachePosition { epoch: 2, next: 5 }));
}

#[test]
fn no_more_parts_are_reported_than_an_engine_can_hold() {
    let mut parts = ReportedParts::new(ENGINE);
    let many: Vec<(u64, u32)> = (0..100_000).map(|part| (part, 900)).collect();
    let (cached, evicted) = apply(&mut parts, &batch(1, 100_000, false, &many), &[]);
    assert_eq!((cached.len(), evicted.len()), (100_000, 100_000 - 4096));
    let (_, evicted) = apply(&mut parts, &batch(2, 1, false, &[]), &[]);
    let newest: Vec<PartKey> = (100_000 - 4096..100_000).collect();
    assert_eq!(evicted, newest);
}

#[test]
fn the_oldest_part_gives_way_to_a_new_one() {
    let mut parts = ReportedParts::new(ENGINE);
    let many: Vec<(u64, u32)> = (0..4096).map(|part| (part, 900)).collect();
    let (cached, evicted) = apply(&mut parts, &batch(1, 4096, false, &many), &[]);
    assert_eq!((cached.len(), evicted.len()), (4096, 0));
    // Part 0 is cached again, which isn't news, and part 1 is evicted.
    let again = batch(1, 4098, false, &[(0, 900), (1, 0)]);
    assert_eq!(apply(&mut parts, &again, &[]), (vec![], vec![1]));
    let new = batch(1, 4100, false, &[(5000, 900), (5001, 900)]);
    assert_eq!(apply(&mut parts, &new, &[]), (vec![5000, 5001], vec![2]));
    // The eviction comes first, as a part may be evicted and cached in one batch.
    let changes = parts.apply(&batch(1, 4101, false, &[(5002, 900)]), |_| false);
    let change = |part, cached| PartChange { server: ENGINE, part, cached };
    assert_eq!(changes, [change(3, false), change(5002, true)]);
}

#[test]
fn sightings_for_peers_age_until_they_are_removed() {
    let own = OwnSightings::default();
    let mut record = EngineRecord::new(ENGINE, 3);
    record.record_answer(ms(1000));
    record.record_report(EngineReport::default(), ms(1000));
    record.record_failure(ms(1700), ms(2400));
    own.record(record.sighting(ms(2400)), ms(2400));
    assert_eq!(own.sightings(ms(4000)), [record.sighting(ms(4000))]);
    assert_eq!(own.failing_count(), 1);
    own.remove(ENGINE);
    assert!(own.sightings(ms(4000)).is_empty());
    assert_eq!(own.failing_count(), 0);
}

#[test]
fn changes_that_are_put_back_are_the_oldest_again() {
    let own = OwnSightings::default();
    let changes: Vec<PartChange> = (0..2048)
        .map(|part| PartChange { server: ENGINE, part, cached: true })
        .collect();
    own.add_changes(&changes);
    let taken = own.take_changes();
    own.put_back(taken.clone());
    assert_eq!(own.take_changes(), taken);
    // Newer ones have come meanwhile, so that there is no room for all.
    own.add_changes(&changes[..10]);
    own.put_back(taken.clone());
    assert_eq!(own.take_changes()[..54], taken[10..]);
}

#[test]
fn old_sightings_are_not_published() {
    let own = OwnSightings::default();
    let mut record = EngineRecord::new(ENGINE, 3);
    record.record_answer(ms(1000));
    own.record(record.sighting(ms(1000)), ms(1000));
    assert_eq!(own.sightings(ms(3999)).len(), 1);
    assert!(own.sightings(ms(4000)).is_empty());
    own.record(record.sighting(ms(5000)), ms(5000));
    assert_eq!(own.sightings(ms(5000)).len(), 1);
}

#[test]
fn changes_are_published_oldest_first_and_the_oldest_are_dropped() {
    let own = OwnSightings::default();
    let change = |part| PartChange { server: ENGINE, part, cached: true };
    for first in (0..5000).step_by(500) {
        let changes: Vec<PartChange> = (first..first + 500).map(change).collect();
        own.add_changes(&changes);
    }
    let mut published = vec![];
    loop {
        let changes = own.take_changes();
        if changes.is_empty() {
            break;
        }
        assert!(changes.len() <= 64);
        published.extend(changes);
    }
    let kept: Vec<PartChange> = (5000 - 2048..5000).map(change).collect();
    assert_eq!(published, kept);
}
