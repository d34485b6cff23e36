//! What an instance knows of versions, and what it concludes from the answers of its peers.

use std::time::Duration;

use flaxtide_policy::{
    AskedPeers, VersionAnswer, VersionDecision, VersionPoll, VersionRegistry, VersionView,
};

/// The service of the tests.
const SERVICE: u32 = 1;

/// For how long streams are taken up again, unless a longer time was noted.
const WINDOW: Duration = Duration::from_secs(15);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_service_has_several_versions_until_no_stream_of_the_last_can_come_back() {
    let mut registry = VersionRegistry::default();
    assert_eq!(registry.view(SERVICE, s(0)), VersionView::Unlisted);
    // The second, the versions listed, whether the service turns, and the view two seconds later.
    let steps: [(u64, &[u32], bool, VersionView); 8] = [
        (10, &[7], false, VersionView::Sole(7, 2000)),
        (60, &[7, 8], true, VersionView::Several),
        (70, &[8], false, VersionView::Several),
        (83, &[8], false, VersionView::Sole(8, 15_000)),
        (110, &[], false, VersionView::Sole(8, 42_000)),
        (120, &[8], false, VersionView::Sole(8, 52_000)),
        (200, &[9], true, VersionView::Several),
        (300, &[9], false, VersionView::Sole(9, 102_000)),
    ];
    for (at, listed, turns, view) in steps {
        let listed = listed.iter().map(|version| (*version, 1)).collect();
        assert_eq!(registry.set_listed(SERVICE, &listed, s(at)), turns, "at {at}");
        assert_eq!(registry.view(SERVICE, s(at + 2)), view, "at {at}");
    }
}

/// A second, the servers in service by version, and the versions that settle.
type SettlingStep = (u64, &'static [(u32, usize)], &'static [u32]);

#[test]
fn no_streams_begin_at_a_version_that_others_may_not_know() {
    let mut registry = VersionRegistry::default();
    let steps: [SettlingStep; 7] = [
        (0, &[(7, 3), (8, 1)], &[8]),
        (10, &[(7, 3)], &[]),
        (20, &[(7, 3), (9, 1)], &[9]),
        (21, &[(7, 0), (9, 2)], &[]),
        (22, &[(7, 1), (9, 2)], &[9]),
        (23, &[(7, 1), (9, 2)], &[]),
        (30, &[(9, 2)], &[]),
    ];
    for (at, listed, settling) in steps {
        registry.set_listed(SERVICE, &listed.iter().copied().collect(), s(at));
        let settling = settling.iter().copied().collect();
        assert_eq!(registry.settling(SERVICE, s(3), s(at)), settling, "at {at}");
    }
}

#[test]
fn a_note_lasts_as_long_as_its_caller_may_come_back() {
    let mut registry = VersionRegistry::default();
    registry.note_own(5, 7, s(15), s(0));
    registry.note_own(5, 8, s(15), s(1));
    let noted =
        |registry: &VersionRegistry, at| registry.answer(SERVICE, 5, true, at).noted;
    assert_eq!(noted(&registry, s(15)), Some(7), "the first version stays");
    assert_eq!(noted(&registry, s(16)), None);
    let mut peer = VersionRegistry::default();
    peer.note_told(&registry.own_notes(s(10)), s(100));
    assert_eq!(noted(&peer, s(105)), Some(7));
    assert_eq!(noted(&peer, s(107)), None);
    assert!(peer.own_notes(s(101)).is_empty(), "only its own are told on");
    registry.note_own(6, 7, s(120), s(0));
    assert_eq!(registry.window(), s(120));
}

#[test]
fn notes_are_bounded() {
    let mut registry = VersionRegistry::default();
    for stream in 0..100_000 {
        registry.note_own(stream, 7, s(15), s(0));
    }
    assert_eq!(registry.note_count(), 1 << 16);
    registry.note_own(200_000, 7, s(15), s(16));
    assert_eq!(registry.note_count(), 1, "expired ones make room");
}

/// An answer without a note.
fn view(view: VersionView, is_current: bool) -> VersionAnswer {
    VersionAnswer { noted: None, view, is_current }
}

// Guards against the agreement of instances that have just started, none of which can know what
// served before.
#[test]
fn only_what_is_certain_or_agreed_binds_a_stream() {
    const LONG: u32 = 15_000;
    const SHORT: u32 = 14_999;
    let bound = VersionDecision::Bound;
    let agreed = VersionDecision::Agreed;
    let unknown = VersionDecision::Unknown;
    let noted = VersionAnswer {
        noted: Some(8),
        view: VersionView::Several,
        is_current: false,
    };
    let sole = |version, known| view(VersionView::Sole(version, known), true);
    let stale = |version| view(VersionView::Sole(version, LONG), false);
    // It has known the version since its start only.
    let young = |version| view(VersionView::Sole(version, SHORT), true);
    let several = view(VersionView::Several, true);
    let unlisted = view(VersionView::Unlisted, true);
    // The own answer, those of peers of the own data centre, those of others, how many peers were
    // asked in all and in the own data centre, and the decision.
    let cases = [
        (sole(7, LONG), vec![], vec![], (8, 2), bound(7)),
        (several, vec![several], vec![noted], (8, 2), bound(8)),
        (stale(7), vec![noted], vec![], (8, 2), bound(8)),
        (sole(7, SHORT), vec![], vec![sole(7, LONG)], (8, 2), bound(7)),
        (unlisted, vec![], vec![sole(7, LONG)], (8, 2), bound(7)),
        (several, vec![several; 2], vec![several; 6], (8, 2), unknown),
        (several, vec![stale(7); 2], vec![stale(7); 6], (8, 2), unknown),
        (stale(7), vec![stale(7); 2], vec![], (8, 2), agreed(7)),
        (stale(7), vec![stale(7)], vec![stale(7); 6], (8, 2), unknown),
        (stale(7), vec![], vec![], (8, 2), unknown),
        (stale(7), vec![stale(7), stale(8)], vec![], (8, 2), unknown),
        (stale(7), vec![stale(7); 2], vec![several], (8, 2), unknown),
        (stale(7), vec![], vec![stale(7); 4], (8, 0), agreed(7)),
        (stale(7), vec![], vec![stale(7); 3], (8, 0), unknown),
        (stale(7), vec![], vec![], (8, 0), unknown),
        (stale(7), vec![], vec![], (0, 0), agreed(7)),
        (young(7), vec![young(7); 2], vec![], (8, 2), unknown),
        (young(7), vec![young(7); 2], vec![young(7); 6], (8, 2), unknown),
        (young(7), vec![], vec![], (0, 0), unknown),
        (young(7), vec![stale(7), young(7)], vec![], (8, 2), unknown),
        (young(7), vec![stale(7); 2], vec![], (8, 2), agreed(7)),
        (young(7), vec![stale(7); 2], vec![young(8)], (8, 2), unknown),
        (unlisted, vec![unlisted; 2], vec![unlisted; 6], (8, 2), unknown),
    ];
    for (case, (own, near, far, (all, asked_near), decision)) in
        cases.into_iter().enumerate()
    {
        let asked = AskedPeers { all, near: asked_near };
        let mut poll = VersionPoll::new(own, WINDOW, asked);
        near.into_iter().for_each(|answer| poll.add(answer, true));
        far.into_iter().for_each(|answer| poll.add(answer, false));
        assert_eq!(poll.finish(), decision, "case {case}");
    }
}

/// Guards against an instance whose list doesn't change any more taking its only version for certain:
/// peers have told it of another one.
#[test]
fn an_instance_that_is_told_of_an_unlisted_version_is_behind() {
    let ms = Duration::from_millis;
    let (mut behind, mut peer) = (VersionRegistry::default(), VersionRegistry::default());
    for registry in [&mut behind, &mut peer] {
        registry.set_listed(1, &[(7, 3)].into(), ms(0));
    }
    // What both list means nothing.
    peer.note_listed(1, ms(20_000));
    behind.note_told(&peer.own_notes(ms(20_000)), ms(20_000));
    assert!(!behind.is_behind_peers(ms(20_000)));
    assert!(peer.set_listed(1, &[(7, 3), (8, 1)].into(), ms(30_000)));
    peer.note_listed(1, ms(30_000));
    let notes = peer.own_notes(ms(30_000));
    behind.note_told(&notes, ms(30_100));
    assert!(behind.is_behind_peers(ms(30_100)));
    // Streams that began at it can't be taken up any more.
    assert!(!behind.is_behind_peers(ms(60_000)));
    behind.note_told(&notes, ms(60_000));
    assert!(behind.is_behind_peers(ms(60_000)));
    behind.set_listed(1, &[(7, 3), (8, 1)].into(), ms(60_500));
    assert!(!behind.is_behind_peers(ms(60_500)));
}
