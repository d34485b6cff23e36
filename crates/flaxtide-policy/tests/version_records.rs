//! What is recorded of versions outside all instances, and what an instance that has just started
//! concludes from it.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxtide_policy::{
    ListedNow, RecordedVersion, VersionRecord, VersionRegistry, VersionView,
};

/// The service of the tests.
const SERVICE: u32 = 1;

/// How long no streams begin at a new version.
const GRACE: Duration = Duration::from_millis(2500);

/// A version with the second since when it has been listed, and the one since when it has left.
type At = (u32, u64, Option<u64>);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A record of the first era. Times are in seconds.
fn record(versions: &[At]) -> VersionRecord {
    let versions = versions.iter().map(|(version, since, left)| RecordedVersion {
        version: *version,
        since_ms: since * 1000,
        left_ms: left.map(|left| left * 1000),
        begun: true,
    });
    VersionRecord {
        era: 1,
        unsure_since_ms: None,
        life_s: 15,
        versions: versions.collect(),
    }
}

/// A record in which streams may have begun at some of the versions only.
fn begun(begun: &[u32], versions: &[At]) -> VersionRecord {
    let mut record = record(versions);
    for recorded in &mut record.versions {
        recorded.begun = begun.contains(&recorded.version);
    }
    record
}

/// A record that is unsure since a second.
fn unsure(since: u64, versions: &[At]) -> VersionRecord {
    VersionRecord {
        unsure_since_ms: Some(since * 1000),
        ..record(versions)
    }
}

/// What an instance lists, and what it doesn't list any more.
fn lists(listed: &[u32], gone: &[u32]) -> ListedNow {
    ListedNow {
        listed: listed.iter().copied().collect(),
        gone: gone.iter().copied().collect(),
        to_begin: BTreeSet::new(),
        life: s(15),
    }
}

/// What an instance lists, and at which versions streams are to begin.
fn begins(listed: &[u32], to_begin: &[u32]) -> ListedNow {
    ListedNow {
        to_begin: to_begin.iter().copied().collect(),
        ..lists(listed, &[])
    }
}

#[test]
fn a_record_says_what_is_listed() {
    let one = record(&[(7, 0, None)]);
    let two = record(&[(7, 0, None), (8, 90, None)]);
    let left = record(&[(7, 0, Some(90)), (8, 80, None)]);
    // The case, the record, what is listed at second 100, and the revised record.
    let cases = [
        (
            "the first version",
            VersionRecord { era: 1, life_s: 15, ..VersionRecord::default() },
            lists(&[7], &[]),
            Some(record(&[(7, 100, None)])),
        ),
        ("nothing to do", one.clone(), lists(&[7], &[]), None),
        ("nothing is listed", one.clone(), lists(&[], &[]), None),
        (
            "a new version",
            one.clone(),
            lists(&[7, 8], &[]),
            Some(begun(&[7], &[(7, 0, None), (8, 100, None)])),
        ),
        ("all are recorded", two.clone(), lists(&[7, 8], &[]), None),
        (
            "two at once without a record",
            VersionRecord { era: 1, life_s: 15, ..VersionRecord::default() },
            lists(&[7, 8], &[]),
            Some(record(&[(7, 100, None), (8, 100, None)])),
        ),
        (
            "streams are to begin at a new version",
            begun(&[7], &[(7, 0, None), (8, 90, None)]),
            begins(&[7, 8], &[8]),
            Some(record(&[(7, 0, None), (8, 90, None)])),
        ),
        (
            "streams are to begin at a version that isn't recorded",
            one.clone(),
            begins(&[8, 9], &[9]),
            Some(begun(&[7, 9], &[(7, 0, None), (8, 100, None), (9, 100, None)])),
        ),
        (
            "streams are to begin at a version that isn't listed",
            one.clone(),
            begins(&[7], &[8]),
            None,
        ),
        (
            "a version comes back at which streams have begun",
            begun(&[7], &[(7, 0, Some(90)), (8, 80, None)]),
            lists(&[7, 8], &[]),
            Some(begun(&[7], &[(7, 100, None), (8, 80, None)])),
        ),
        (
            "all are dropped at which streams have begun",
            begun(&[7], &[(7, 0, Some(80)), (8, 80, None)]),
            lists(&[8, 9], &[7]),
            Some(record(&[(8, 80, None), (9, 100, None)])),
        ),
        ("one isn't listed yet", two.clone(), lists(&[7], &[]), None),
        ("one isn't listed, but elsewhere", two.clone(), lists(&[8], &[]), None),
        (
            "one has left",
            two.clone(),
            lists(&[8], &[7]),
            Some(record(&[(7, 0, Some(100)), (8, 90, None)])),
        ),
        (
            "the only one has left",
            one.clone(),
            lists(&[], &[7]),
            Some(record(&[(7, 0, Some(100))])),
        ),
        ("it is recorded as left", left.clone(), lists(&[8], &[7]), None),
        (
            "it is back again",
            left.clone(),
            lists(&[7, 8], &[]),
            Some(record(&[(7, 100, None), (8, 80, None)])),
        ),
        (
            "another follows at once",
            left.clone(),
            lists(&[8, 9], &[7]),
            Some(begun(&[7, 8], &[(7, 0, Some(90)), (8, 80, None), (9, 100, None)])),
        ),
        (
            "one turns back to the other",
            left,
            lists(&[7], &[8]),
            Some(record(&[(7, 100, None), (8, 80, Some(100))])),
        ),
        (
            "one that left is dropped with the next change",
            record(&[(6, 0, Some(85)), (7, 0, Some(86)), (8, 80, None)]),
            lists(&[8, 9], &[6, 7]),
            Some(begun(&[7, 8], &[(7, 0, Some(86)), (8, 80, None), (9, 100, None)])),
        ),
        (
            "it isn't dropped by itself",
            record(&[(6, 0, Some(80)), (8, 80, None)]),
            lists(&[8], &[6]),
            None,
        ),
        ("one that is unknown isn't recorded as left", one, lists(&[7], &[5]), None),
        (
            "it isn't known for long what was lost",
            unsure(85, &[(7, 0, None)]),
            lists(&[7, 8], &[]),
            Some(begun(&[7], &[(7, 0, None), (8, 100, None)])),
        ),
        (
            "it isn't known yet what was lost",
            unsure(86, &[(7, 0, None)]),
            lists(&[7, 8], &[]),
            Some(VersionRecord {
                unsure_since_ms: Some(86_000),
                ..begun(&[7], &[(7, 0, None), (8, 100, None)])
            }),
        ),
        (
            "times that no store gives",
            record(&[(6, u64::MAX / 1000, Some(u64::MAX / 1000)), (7, 0, None)]),
            lists(&[7, 8], &[]),
            Some(begun(
                &[6, 7],
                &[
                    (6, u64::MAX / 1000, Some(u64::MAX / 1000)),
                    (7, 0, None),
                    (8, 100, None),
                ],
            )),
        ),
    ];
    for (case, record, listed, expected) in cases {
        let revised = record.revised(&listed, 1, 100_000);
        assert_eq!(revised, expected, "{case}");
        let again = revised.and_then(|record| record.revised(&listed, 1, 101_000));
        assert_eq!(again, None, "{case}");
    }
}

/// A second, what is listed and what has left, the record, and at which versions streams may have
/// begun.
type ReleaseStep = (u64, &'static [u32], &'static [u32], &'static [At], &'static [u32]);

#[test]
fn two_releases_within_a_deadline_are_all_recorded() {
    let steps: [ReleaseStep; 5] = [
        (0, &[7], &[], &[(7, 0, None)], &[7]),
        (50, &[7, 8], &[], &[(7, 0, None), (8, 50, None)], &[7]),
        (54, &[8, 9], &[7], &[(7, 0, Some(54)), (8, 50, None), (9, 54, None)], &[7]),
        (60, &[9], &[7, 8], &[(7, 0, Some(54)), (8, 50, Some(60)), (9, 54, None)], &[7]),
        (70, &[9, 7], &[8], &[(7, 70, None), (8, 50, Some(60)), (9, 54, None)], &[7]),
    ];
    let mut current = VersionRecord { era: 1, life_s: 15, ..VersionRecord::default() };
    for (at, listed, gone, expected, marked) in steps {
        current = current.revised(&lists(listed, gone), 1, at * 1000).unwrap();
        assert_eq!(current, begun(marked, expected), "at {at}");
    }
}

#[test]
fn a_store_from_a_copy_leaves_the_record_unsure() {
    let listed = lists(&[7], &[]);
    let first = record(&[(7, 0, None)]).revised(&listed, 2, 100_000).unwrap();
    let expected = VersionRecord { era: 2, ..unsure(100, &[(7, 0, None)]) };
    assert_eq!(first, expected);
    assert_eq!(first.revised(&listed, 2, 101_000), None);
    let second = first.revised(&listed, 3, 105_000).unwrap();
    assert_eq!((second.era, second.unsure_since_ms), (3, Some(105_000)));
    // Without a version nothing can have been lost.
    let empty = VersionRecord::default().revised(&listed, 2, 100_000).unwrap();
    assert_eq!(empty.unsure_since_ms, None);
}

#[test]
fn the_longest_life_counts() {
    let of_life = |life: Duration| ListedNow { life, ..lists(&[8], &[7]) };
    let left = record(&[(7, 0, Some(100)), (8, 80, None)]);
    let longer = left.revised(&of_life(s(60)), 1, 101_000).unwrap();
    assert_eq!(longer, VersionRecord { life_s: 60, ..left.clone() });
    assert_eq!(longer.revised(&of_life(s(15)), 1, 102_000), None, "shorter ones don't");
    let cases = [(14_999, 15), (15_000, 15), (15_001, 16), (59_500, 60)];
    for (life_ms, life_s) in cases {
        let listed = of_life(Duration::from_millis(life_ms));
        let revised = left.revised(&listed, 1, 101_000);
        assert_eq!(revised.unwrap_or(left.clone()).life_s, life_s, "{life_ms} ms");
    }
}

/// Returns the registry of an instance that has just started and read a record at second 100, and
/// lists a version.
fn started(record: VersionRecord) -> VersionRegistry {
    let mut registry = VersionRegistry::default();
    registry.set_listed(SERVICE, &[(8, 3)].into(), s(2));
    registry.set_recorded(SERVICE, record, 100_000, s(2));
    registry
}

#[test]
fn an_instance_that_has_just_started_knows_what_is_recorded() {
    let forever = VersionView::Sole(8, u32::MAX);
    let sole = |seconds: u32| VersionView::Sole(8, seconds * 1000);
    // The case, the record, and the views 0 s and 12 s after it was read.
    let cases = [
        ("one version", record(&[(8, 0, None)]), forever, forever),
        ("one new version", record(&[(8, 99, None)]), forever, forever),
        ("none is recorded", record(&[]), forever, forever),
        (
            "another is recorded",
            record(&[(7, 0, None), (8, 90, None)]),
            VersionView::Several,
            VersionView::Several,
        ),
        (
            "only another is recorded",
            record(&[(7, 0, None)]),
            VersionView::Several,
            VersionView::Several,
        ),
        (
            "another left 5 s ago",
            record(&[(7, 0, Some(95)), (8, 90, None)]),
            VersionView::Several,
            sole(17),
        ),
        (
            "another left 20 s ago",
            record(&[(7, 0, Some(80)), (8, 70, None)]),
            sole(20),
            sole(32),
        ),
        (
            "two left",
            record(&[(6, 0, Some(70)), (7, 60, Some(85)), (8, 70, None)]),
            sole(15),
            sole(27),
        ),
        ("it left itself", record(&[(8, 0, Some(99))]), forever, forever),
        ("unsure since 5 s", unsure(95, &[(8, 0, None)]), VersionView::Several, sole(17)),
        ("unsure since 20 s", unsure(80, &[(8, 0, None)]), sole(20), sole(32)),
        (
            "unsure since 20 s, another left 5 s ago",
            unsure(80, &[(7, 0, Some(95)), (8, 0, None)]),
            VersionView::Several,
            sole(17),
        ),
        (
            "streams last longer elsewhere",
            VersionRecord {
                life_s: 30,
                ..record(&[(7, 0, Some(80)), (8, 70, None)])
            },
            VersionView::Several,
            sole(32),
        ),
        (
            "it is to leave later than now",
            record(&[(7, 0, Some(200)), (8, 70, None)]),
            VersionView::Several,
            VersionView::Several,
        ),
    ];
    for (case, record, first, later) in cases {
        let registry = started(record);
        assert_eq!(registry.view(SERVICE, s(2)), first, "{case}");
        assert_eq!(registry.view(SERVICE, s(14)), later, "{case}");
        assert_eq!(registry.has_several(s(2)), first == VersionView::Several, "{case}");
    }
}

#[test]
fn a_record_turns_a_service_once() {
    let mut registry = started(record(&[(8, 0, None)]));
    let mixed = record(&[(7, 0, None), (8, 99, None)]);
    assert!(registry.set_recorded(SERVICE, mixed.clone(), 103_000, s(5)));
    assert!(!registry.set_recorded(SERVICE, mixed, 104_000, s(6)));
    let left = record(&[(7, 0, Some(106)), (8, 99, None)]);
    assert!(!registry.set_recorded(SERVICE, left, 106_000, s(8)));
    assert_eq!(registry.view(SERVICE, s(23)), VersionView::Sole(8, 15_000));
}

#[test]
fn versions_that_were_listed_but_not_recorded_count_as_well() {
    let mut registry = started(record(&[(8, 0, None)]));
    registry.set_listed(SERVICE, &[(8, 3), (9, 1)].into(), s(30));
    registry.set_listed(SERVICE, &[(8, 3)].into(), s(31));
    assert_eq!(registry.view(SERVICE, s(45)), VersionView::Several);
    assert_eq!(registry.view(SERVICE, s(46)), VersionView::Sole(8, 15_000));
}

#[test]
fn no_streams_begin_at_a_version_that_isnt_recorded_for_long() {
    // The case, the record, the servers in service of the versions that are listed at 2 s, and the
    // versions that settle at 2 s and at 4 s.
    type Case =
        (&'static str, VersionRecord, &'static [(u32, usize)], [&'static [u32]; 2]);
    let long = (7, 0, None);
    let cases: [Case; 14] = [
        (
            "recorded for long",
            record(&[long, (8, 90, None)]),
            &[(7, 3), (8, 1)],
            [&[], &[]],
        ),
        ("not recorded", record(&[long]), &[(7, 3), (8, 1)], [&[8], &[8]]),
        (
            "recorded a second ago",
            record(&[long, (8, 99, None)]),
            &[(7, 3), (8, 1)],
            [&[8], &[]],
        ),
        (
            "recorded as left",
            record(&[long, (8, 0, Some(90))]),
            &[(7, 3), (8, 1)],
            [&[8], &[8]],
        ),
        ("no recorded one has servers", record(&[long]), &[(7, 0), (8, 1)], [&[8], &[8]]),
        ("no recorded one is listed", record(&[long]), &[(8, 1)], [&[8], &[8]]),
        ("several new ones", record(&[long]), &[(8, 1), (9, 4)], [&[8, 9], &[8, 9]]),
        (
            "no streams have begun at one that is recorded for long",
            begun(&[7], &[long, (8, 90, None)]),
            &[(7, 3), (8, 1)],
            [&[8], &[8]],
        ),
        (
            "nor while no other has servers",
            begun(&[7], &[long, (8, 90, None)]),
            &[(7, 0), (8, 1)],
            [&[8], &[8]],
        ),
        (
            "streams are to begin at one while no other has servers",
            record(&[long, (8, 99, None)]),
            &[(7, 0), (8, 1)],
            [&[], &[]],
        ),
        (
            "the largest of those at which they are to begin",
            begun(&[7, 8, 9], &[long, (8, 99, None), (9, 99, None), (10, 99, None)]),
            &[(8, 1), (9, 4), (10, 5)],
            [&[8, 10], &[10]],
        ),
        (
            "a version that comes back while no other has servers",
            begun(&[7], &[(7, 0, Some(90)), (8, 99, None)]),
            &[(7, 1), (8, 4)],
            [&[8], &[8]],
        ),
        ("nothing is recorded", record(&[]), &[(7, 3), (8, 1)], [&[8], &[8]]),
        (
            "all were recorded a second ago",
            record(&[(7, 99, None), (8, 99, None)]),
            &[(7, 3), (8, 1)],
            [&[8], &[]],
        ),
    ];
    for (case, record, counts, settling) in cases {
        let mut registry = VersionRegistry::default();
        registry.set_listed(SERVICE, &counts.iter().copied().collect(), s(2));
        registry.set_recorded(SERVICE, record, 100_000, s(2));
        for (at, settling) in [2, 4].into_iter().zip(settling) {
            let expected: BTreeSet<u32> = settling.iter().copied().collect();
            assert_eq!(
                registry.settling(SERVICE, GRACE, s(at)),
                expected,
                "{case} at {at}"
            );
        }
    }
}

#[test]
fn what_is_listed_is_recorded_once_the_record_says_so() {
    let cases = [
        ("listed", record(&[(8, 0, None)]), true),
        ("listed with another", record(&[(7, 0, None), (8, 0, None)]), true),
        ("left", record(&[(8, 0, Some(90))]), false),
        ("another", record(&[(7, 0, None)]), false),
        ("none", record(&[]), false),
    ];
    for (case, record, is_recorded) in cases {
        let registry = started(record);
        assert_eq!(registry.is_recorded(s(2)), is_recorded, "{case}");
    }
    let mut registry = VersionRegistry::default();
    registry.set_listed(SERVICE, &[(8, 3)].into(), s(0));
    assert!(!registry.is_recorded(s(0)), "nothing has been read");
    let listed: Vec<_> = registry.listed().collect();
    assert_eq!(listed, [(SERVICE, [8].into())]);
}

// Guards against streams joined from two versions: one that has no record of its beginning passes
// for one that has begun nothing, though streams began at it while the older had no servers.
#[test]
fn a_version_is_marked_before_streams_begin_at_it() {
    // The case, the record, the servers in service of the versions that are listed, and the
    // versions that are to be marked at 2 s and at 4 s.
    type Case =
        (&'static str, VersionRecord, &'static [(u32, usize)], [&'static [u32]; 2]);
    let long = (7, 0, None);
    let cases: [Case; 8] = [
        ("not recorded", record(&[long]), &[(7, 3), (8, 1)], [&[], &[]]),
        (
            "recorded a second ago",
            begun(&[7], &[long, (8, 99, None)]),
            &[(7, 3), (8, 1)],
            [&[], &[8]],
        ),
        ("marked", record(&[long, (8, 90, None)]), &[(7, 3), (8, 1)], [&[], &[]]),
        (
            "recorded as left",
            begun(&[7], &[long, (8, 0, Some(90))]),
            &[(7, 3), (8, 1)],
            [&[], &[]],
        ),
        ("no other has servers", record(&[long]), &[(7, 0), (8, 1)], [&[8], &[8]]),
        ("none has servers", record(&[long]), &[(7, 0), (8, 0)], [&[], &[]]),
        (
            "the largest, if no other is listed",
            record(&[long]),
            &[(8, 1), (9, 4)],
            [&[9], &[9]],
        ),
        ("nothing is recorded", record(&[]), &[(7, 3), (8, 1)], [&[], &[]]),
    ];
    for (case, record, counts, marked) in cases {
        let mut registry = VersionRegistry::default();
        registry.set_listed(SERVICE, &counts.iter().copied().collect(), s(2));
        registry.set_recorded(SERVICE, record, 100_000, s(2));
        for (at, marked) in [2, 4].into_iter().zip(marked) {
            let expected: BTreeSet<u32> = marked.iter().copied().collect();
            let to_begin = registry.to_begin(SERVICE, GRACE, s(at));
            assert_eq!(to_begin, expected, "{case} at {at}");
            assert_eq!(registry.has_to_begin(GRACE, s(at)), !marked.is_empty(), "{case}");
        }
    }
}

#[test]
fn streams_begin_without_a_mark_once_none_could_be_written_for_a_window() {
    let mut registry = VersionRegistry::default();
    registry.set_listed(SERVICE, &[(7, 0), (8, 1)].into(), s(2));
    registry.set_recorded(SERVICE, record(&[(7, 0, None)]), 100_000, s(2));
    assert_eq!(registry.settling(SERVICE, GRACE, s(16)), [8].into());
    assert_eq!(registry.settling(SERVICE, GRACE, s(17)), [].into());
    registry.set_listed(SERVICE, &[(7, 1), (8, 1)].into(), s(18));
    assert_eq!(registry.settling(SERVICE, GRACE, s(18)), [8].into());
}

#[test]
fn a_record_tells_the_only_version_at_which_streams_may_have_begun() {
    let long = (7, 0, None);
    let marked = begun(&[7], &[long, (8, 99, None)]);
    let cases = [
        ("one version", record(&[long]), Some(7)),
        ("another has begun nothing", marked.clone(), Some(7)),
        ("another has begun streams", record(&[long, (8, 99, None)]), None),
        ("it left 5 s ago", begun(&[7], &[(7, 0, Some(95)), (8, 99, None)]), Some(7)),
        ("another left 5 s ago", record(&[long, (8, 80, Some(95))]), None),
        ("another left 20 s ago", record(&[long, (8, 60, Some(80))]), Some(7)),
        (
            "another left 20 s ago, but streams last longer",
            VersionRecord { life_s: 30, ..record(&[long, (8, 60, Some(80))]) },
            None,
        ),
        ("all left 20 s ago", begun(&[7], &[(7, 0, Some(80)), (8, 99, None)]), None),
        ("unsure since 5 s", unsure(95, &[long]), None),
        ("unsure since 20 s", unsure(80, &[long]), Some(7)),
        ("of an earlier era", VersionRecord { era: 0, ..marked }, None),
        ("nothing is recorded", record(&[]), None),
    ];
    for (case, record, expected) in cases {
        assert_eq!(record.only_begun(1, 100_000, s(15)), expected, "{case}");
    }
    let left = record(&[long, (8, 60, Some(80))]);
    assert_eq!(left.only_begun(1, 100_000, s(60)), None, "streams last longer here");
}

#[test]
fn streams_may_have_begun_at_all_versions_of_a_record_without_marks() {
    let text = r#"{"era":1,"unsure_since_ms":null,"life_s":15,"versions":[
        {"version":7,"since_ms":0,"left_ms":null},
        {"version":8,"since_ms":99000,"left_ms":null}]}"#;
    let read: VersionRecord = serde_json::from_str(text).unwrap();
    assert_eq!(read, record(&[(7, 0, None), (8, 99, None)]));
}
