//! Streams of several versions in fleets that are released, killed and cut, on a manual clock:
//! none is joined from two versions, and most go on.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_lab::{VersionOutcome, VersionPattern, play_versions};

/// The seeds of each pattern.
const SEEDS: std::ops::Range<u64> = 0..12;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A rolling release from version 1 to 2, of `servers` servers in 8 s, 20 s after the start.
fn release(servers: usize) -> Vec<(Duration, BTreeMap<u32, usize>)> {
    let mut listed = vec![(s(0.0), BTreeMap::from([(1, servers)]))];
    for new in 1..=servers {
        let at = s(20.0 + 8.0 * new as f64 / servers as f64);
        let counts = [(1, servers - new), (2, new)].into_iter();
        listed.push((at, counts.filter(|(_, count)| *count > 0).collect()));
    }
    listed
}

/// A fleet that is released.
fn fleet(instances: usize) -> VersionPattern {
    VersionPattern {
        instances,
        data_centres: 4,
        releases: release(18),
        kills: vec![],
        cuts: vec![],
        table: true,
        outages: vec![],
        table_outages: vec![],
        copies: vec![],
        streams_per_s: 8.0,
        span: s(50.0),
    }
}

/// Sums the outcomes of all seeds.
fn play(pattern: &VersionPattern) -> VersionOutcome {
    let mut sum = VersionOutcome::default();
    for outcome in SEEDS.map(|seed| play_versions(pattern, seed)) {
        sum.continued += outcome.continued;
        sum.joined += outcome.joined;
        sum.refused += outcome.refused;
        sum.ended += outcome.ended;
        sum.notes_sent += outcome.notes_sent;
        sum.notes_kept += outcome.notes_kept;
    }
    sum
}

#[test]
fn no_stream_is_joined_and_most_go_on() {
    let often: Vec<(Duration, f64)> =
        (0..20).map(|number| (s(18.0 + f64::from(number)), 0.3)).collect();
    let cases = [
        ("a third killed once", vec![(s(24.0), 0.33)], vec![]),
        ("a third killed each second", often.clone(), vec![]),
        ("two thirds killed", vec![(s(24.0), 0.67), (s(30.0), 0.67)], vec![]),
        ("a data centre cut", often.clone(), vec![(s(19.0), s(27.0), vec![0, 4, 8])]),
        ("one instance cut", often, vec![(s(19.0), s(27.0), vec![4])]),
    ];
    for instances in [9, 48] {
        for (name, kills, cuts) in cases.clone() {
            let outcome = play(&VersionPattern { kills, cuts, ..fleet(instances) });
            let case = format!("{name} of {instances}: {outcome:?}");
            assert_eq!(outcome.joined, 0, "{case}");
            assert!(outcome.continued > outcome.refused, "{case}");
        }
    }
}

#[test]
fn nothing_is_told_while_a_single_version_serves() {
    let pattern = VersionPattern {
        releases: release(18).into_iter().take(1).collect(),
        kills: vec![(s(24.0), 0.33), (s(26.0), 1.0)],
        ..fleet(9)
    };
    let outcome = play(&pattern);
    assert_eq!((outcome.notes_sent, outcome.joined), (0, 0), "{outcome:?}");
    assert_eq!(outcome.notes_kept, 0, "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
    assert!(outcome.continued > 0, "{outcome:?}");
}

/// A kill of all instances.
fn all_at(seconds: f64) -> (Duration, f64) {
    (s(seconds), 1.0)
}

#[test]
fn without_the_table_a_kill_of_all_joins_or_refuses() {
    for instances in [9, 48] {
        let after = VersionPattern {
            kills: vec![all_at(28.9)],
            table: false,
            ..fleet(instances)
        };
        let outcome = play(&after);
        // Those who have just started agree on nothing, so the streams are refused.
        assert_eq!(outcome.continued, 0, "after a release of {instances}: {outcome:?}");
        assert!(outcome.refused > 0, "after a release of {instances}: {outcome:?}");
        let during = VersionPattern { kills: vec![all_at(24.0)], ..after };
        let outcome = play(&during);
        let is_lost = outcome.joined > 0 || outcome.continued < outcome.refused;
        assert!(is_lost, "during a release of {instances}: {outcome:?}");
    }
}

/// Fleets whose instances are all killed, or most.
fn killed(instances: usize) -> Vec<(&'static str, VersionPattern)> {
    let with = |kills: Vec<(Duration, f64)>| VersionPattern { kills, ..fleet(instances) };
    // Two servers of a third version follow within a deadline; or the first version comes back.
    let mut two = release(18);
    two.push((s(31.0), BTreeMap::from([(2, 12), (3, 6)])));
    let mut back = release(18);
    back.push((s(33.0), BTreeMap::from([(1, 9), (2, 9)])));
    let often = (0..12).map(|number| all_at(18.0 + 1.7 * f64::from(number))).collect();
    let mut away_after_kill = with(vec![all_at(24.0)]);
    away_after_kill.outages = vec![(s(24.1), s(25.3))];
    let mut older_copy = with(vec![all_at(24.0)]);
    older_copy.copies = vec![(s(24.3), s(2.0))];
    let mut older_copy_after = with(vec![all_at(28.9)]);
    older_copy_after.copies = vec![(s(29.2), s(9.5))];
    let mut silent_table = with(vec![all_at(28.9)]);
    silent_table.table_outages = vec![(s(28.0), s(31.0))];
    vec![
        ("all killed during a release", with(vec![all_at(24.0)])),
        ("all killed after a release", with(vec![all_at(28.9)])),
        ("the store away at the return of power", away_after_kill),
        ("a store from an older copy", older_copy),
        ("a store from a copy without the release", older_copy_after),
        ("a silent table", silent_table),
        (
            "two releases within a deadline",
            VersionPattern {
                releases: two,
                ..with(vec![all_at(28.9), all_at(34.5)])
            },
        ),
        (
            "a version that comes back",
            VersionPattern {
                releases: back,
                ..with(vec![all_at(28.9), all_at(37.0)])
            },
        ),
        ("90 % killed", with(vec![(s(24.0), 0.9), (s(28.2), 0.9)])),
        ("killed again at once", with(vec![all_at(24.0), all_at(25.05), all_at(26.1)])),
        ("killed again and again", with(often)),
    ]
}

#[test]
fn kills_of_all_join_no_stream() {
    for instances in [9, 48] {
        for (name, pattern) in killed(instances) {
            let outcome = play(&pattern);
            let case = format!("{name} of {instances}: {outcome:?}");
            assert_eq!(outcome.joined, 0, "{case}");
            let is_lost = !pattern.copies.is_empty() || !pattern.table_outages.is_empty();
            if is_lost {
                // What would say at which version streams have begun is gone or can't be read.
                assert!(outcome.refused > 0, "{case}");
            } else {
                assert!(outcome.continued > outcome.refused, "{case}");
            }
        }
    }
}

#[test]
fn a_data_centre_without_the_table_loses_no_streams_but_its_own() {
    for instances in [9, 48] {
        let near: Vec<usize> = (0..instances).step_by(4).collect();
        let others = (instances - near.len()) as f64 / instances as f64;
        let whole = VersionPattern { kills: vec![all_at(24.5)], ..fleet(instances) };
        let cuts = vec![(s(23.0), s(27.0), near)];
        let cut = play(&VersionPattern { cuts, ..whole.clone() });
        let whole = play(&whole);
        let case = format!("{instances}: {cut:?}, without the cut {whole:?}");
        assert_eq!((cut.joined, whole.joined), (0, 0), "{case}");
        assert!(whole.continued > whole.refused, "{case}");
        let expected = others * f64::from(whole.continued);
        assert!(f64::from(cut.continued) > 0.9 * expected, "{case}");
    }
}

#[test]
fn streams_go_on_after_a_kill_while_a_new_version_is_recorded() {
    let cases = [
        ("before the first record", 20.5),
        ("while others record", 21.2),
        ("after all have recorded", 22.6),
        ("when streams begin", 23.5),
    ];
    let mut lost = vec![];
    for instances in [9, 48] {
        for (name, at) in cases {
            let kills = vec![all_at(at)];
            let outcome = play(&VersionPattern { kills, ..fleet(instances) });
            let case = format!("killed {name}, {instances}: {outcome:?}");
            assert_eq!(outcome.joined, 0, "{case}");
            if outcome.continued <= outcome.refused {
                lost.push(case);
            }
        }
    }
    assert!(lost.is_empty(), "{lost:#?}");
}

// Guards against streams joined from two versions: while the older has no server for a moment, streams
// begin at the new one, which passes for one that has begun nothing once all instances were killed.
#[test]
fn kills_join_no_stream_of_a_version_that_stood_in_for_another() {
    let releases = vec![
        (s(0.0), BTreeMap::from([(1, 18)])),
        (s(20.0), BTreeMap::from([(1, 0), (2, 6)])),
        (s(23.0), BTreeMap::from([(1, 18), (2, 6)])),
    ];
    let mut continued = 0;
    for instances in [9, 48] {
        for at in [20.1, 20.4, 21.0, 22.0, 22.5, 23.1] {
            let kills = vec![all_at(at), all_at(at + 1.3)];
            let pattern = VersionPattern {
                releases: releases.clone(),
                kills,
                ..fleet(instances)
            };
            let outcome = play(&pattern);
            let case = format!("killed at {at}, {instances}: {outcome:?}");
            assert_eq!(outcome.joined, 0, "{case}");
            continued += outcome.continued;
        }
    }
    assert!(continued > 0);
}
