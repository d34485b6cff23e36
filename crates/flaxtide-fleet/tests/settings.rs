//! Settings on their way between instances: in pieces, from few providers to few requesters at a
//! time, and only when the platform hasn't brought them.

use std::time::Duration;

use flaxtide_fleet::{
    CopyAssembly, FleetNode, FleetTiming, PIECE_BYTES, PeerInfo, PieceAnswer,
    PieceProvider, PieceQuestion, SettingsCopy, SettingsPiece, TakenPiece,
};

/// How many peers are given settings at the same time.
const PERMITS: u32 = 4;

/// Returns settings of a version, of several pieces, with characters of two bytes.
fn settings(version: u64) -> SettingsCopy {
    let tree = format!("{version:08}{}", "kavakäik, ".repeat(20_000));
    SettingsCopy { version, tree: tree.into() }
}

/// Returns the answer to a question of an instance.
fn ask(
    provider: &mut PieceProvider,
    requester: u32,
    question: PieceQuestion,
    newest: u64,
    now: u64,
) -> PieceAnswer {
    let newest = || (newest > question.newer_than).then(|| settings(newest));
    let question = PieceQuestion { requester, ..question };
    provider.answer(question, newest, Duration::from_millis(now))
}

/// Returns the piece that an answer brings.
fn piece(answer: PieceAnswer) -> SettingsPiece {
    match answer {
        PieceAnswer::Piece(piece) => piece,
        other => panic!("no piece: {other:?}"),
    }
}

#[test]
fn settings_come_whole_in_pieces() {
    let (mut provider, mut assembly) = (PieceProvider::default(), CopyAssembly::new(6));
    for count in 1.. {
        let piece = piece(ask(&mut provider, 1, assembly.question(1), 7, count));
        assert!(piece.text.len() <= PIECE_BYTES);
        match assembly.take(&piece) {
            TakenPiece::Partial => {}
            TakenPiece::Whole(copy) => {
                assert_eq!(copy, settings(7));
                assert_eq!(count, copy.tree.len().div_ceil(PIECE_BYTES) as u64);
                return;
            }
            TakenPiece::Rejected => panic!("piece {count} is rejected"),
        }
    }
}

#[test]
fn a_copy_that_is_begun_is_ended_though_newer_settings_come() {
    let (mut provider, mut assembly) = (PieceProvider::default(), CopyAssembly::new(6));
    for newest in 7.. {
        // Each question finds a newer version in force.
        let piece = piece(ask(&mut provider, 1, assembly.question(1), newest, newest));
        assert_eq!(piece.version, 7);
        if let TakenPiece::Whole(copy) = assembly.take(&piece) {
            assert_eq!(copy, settings(7));
            return;
        }
    }
}

#[test]
fn another_giver_of_the_same_version_gives_the_rest() {
    let (mut first, mut second) = (PieceProvider::default(), PieceProvider::default());
    let mut assembly = CopyAssembly::new(6);
    assembly.take(&piece(ask(&mut first, 1, assembly.question(1), 7, 0)));
    let begun = assembly.question(1);
    assert!(begun.offset > 0);
    assert_eq!(piece(ask(&mut second, 1, begun, 7, 0)).offset, begun.offset);
    // One with another version begins anew.
    let other = piece(ask(&mut PieceProvider::default(), 1, begun, 8, 0));
    assert_eq!((other.version, other.offset), (8, 0));
    assert_eq!(assembly.take(&other), TakenPiece::Partial);
    assert_eq!(assembly.question(1).version, 8);
}

#[test]
fn few_are_given_settings_at_a_time() {
    let mut provider = PieceProvider::default();
    let first = CopyAssembly::new(6).question(1);
    for requester in 0..PERMITS {
        piece(ask(&mut provider, requester, first, 7, 0));
    }
    assert_eq!(ask(&mut provider, PERMITS, first, 7, 1), PieceAnswer::Busy);
    // Who has a permit goes on, and one that is silent for long loses it.
    piece(ask(&mut provider, 0, first, 7, 2900));
    piece(ask(&mut provider, PERMITS, first, 7, 3100));
    for place in 1..PERMITS - 1 {
        piece(ask(&mut provider, PERMITS + place, first, 7, 3100));
    }
    assert_eq!(ask(&mut provider, 2 * PERMITS, first, 7, 3100), PieceAnswer::Busy);
    piece(ask(&mut provider, 0, first, 7, 3200));
}

#[test]
fn who_has_all_pieces_leaves_its_seat() {
    let mut provider = PieceProvider::default();
    for requester in 0..3 * PERMITS {
        let mut assembly = CopyAssembly::new(6);
        loop {
            let piece = piece(ask(&mut provider, requester, assembly.question(1), 7, 0));
            if assembly.take(&piece) != TakenPiece::Partial {
                break;
            }
        }
    }
}

#[test]
fn who_asks_again_keeps_its_one_seat_and_its_version() {
    let mut provider = PieceProvider::default();
    let mut assembly = CopyAssembly::new(6);
    assembly.take(&piece(ask(&mut provider, 1, assembly.question(1), 7, 0)));
    // Answers are lost, and it asks over further links while newer settings come.
    for newest in 8..8 + 3 * u64::from(PERMITS) {
        let again = piece(ask(&mut provider, 1, assembly.question(1), newest, newest));
        assert_eq!((again.version, again.offset), (7, assembly.received() as u32));
    }
    for other in 2..=PERMITS {
        piece(ask(&mut provider, other, CopyAssembly::new(6).question(other), 7, 30));
    }
}

#[test]
fn an_older_giver_does_not_undo_what_has_come() {
    let mut assembly = CopyAssembly::new(6);
    let first = piece(ask(&mut PieceProvider::default(), 1, assembly.question(1), 8, 0));
    assembly.take(&first);
    let begun = assembly.question(1);
    let older = ask(&mut PieceProvider::default(), 1, begun, 7, 0);
    assert_eq!(older, PieceAnswer::NothingNewer);
    // Nor does one that sends older settings all the same.
    let unasked = piece(ask(
        &mut PieceProvider::default(),
        1,
        CopyAssembly::new(6).question(1),
        7,
        0,
    ));
    assert_eq!(assembly.take(&unasked), TakenPiece::Rejected);
    assert_eq!(assembly.question(1), begun);
    // Nor does one that begins the same settings again and again.
    assert_eq!(assembly.take(&first), TakenPiece::Rejected);
    assert_eq!(assembly.question(1), begun);
}

#[test]
fn what_has_begun_goes_on_while_it_is_newer_than_what_is_in_force() {
    let mut assembly = CopyAssembly::new(6);
    let first = piece(ask(&mut PieceProvider::default(), 1, assembly.question(1), 8, 0));
    assembly.take(&first);
    assembly.renew(7);
    assert_eq!((assembly.version(), assembly.received()), (8, first.text.len()));
    assembly.renew(8);
    assert_eq!((assembly.version(), assembly.received()), (0, 0));
}

#[test]
fn nothing_newer_is_said() {
    let question = CopyAssembly::new(7).question(1);
    let answer = ask(&mut PieceProvider::default(), 1, question, 7, 0);
    assert_eq!(answer, PieceAnswer::NothingNewer);
}

/// Makes a piece that doesn't fit.
type SpoilPiece = fn(&mut SettingsPiece);

#[test]
fn pieces_that_do_not_fit_are_rejected() {
    let good = || {
        piece(ask(
            &mut PieceProvider::default(),
            1,
            CopyAssembly::new(6).question(1),
            7,
            0,
        ))
    };
    let cases: [(&str, SpoilPiece); 5] = [
        ("no newer version", |piece| piece.version = 6),
        ("an offset beyond what has come", |piece| piece.offset = 5),
        ("nothing in it", |piece| piece.text.clear()),
        ("more than the whole", |piece| piece.length = 10),
        ("a whole beyond all measure", |piece| piece.length = u32::MAX),
    ];
    for (what, spoil) in cases {
        let mut spoilt = good();
        spoil(&mut spoilt);
        let mut assembly = CopyAssembly::new(6);
        assert_eq!(assembly.take(&spoilt), TakenPiece::Rejected, "{what}");
        assert_eq!(assembly.question(1).offset, 0, "{what}");
    }
    let mut altered = good();
    altered.length = altered.text.len() as u32;
    assert_eq!(CopyAssembly::new(6).take(&altered), TakenPiece::Rejected, "checksum");
}

fn info(number: usize) -> PeerInfo {
    PeerInfo {
        name: format!("instance-{number}"),
        data_centre: "north".into(),
        address: ([10, 0, 0, number as u8], 7000).into(),
    }
}

/// Returns a node that has heard from peers with these versions at a time.
fn node_that_hears(number: usize, versions: &[u64], now: Duration) -> FleetNode {
    let mut node = FleetNode::new(info(number), 0, FleetTiming::default());
    for (place, version) in versions.iter().enumerate() {
        hear_peer(&mut node, 100 + place, *version, now);
    }
    node
}

/// Looks once whether settings are to be fetched, as the fleet thread does.
fn due_at(node: &mut FleetNode, now: Duration) -> bool {
    node.record_newer(now);
    node.settings_due(now)
}

/// Has a node hear a peer that has a version.
fn hear_peer(node: &mut FleetNode, number: usize, version: u64, now: Duration) {
    let mut peer = FleetNode::new(info(number), 1, FleetTiming::default());
    peer.set_version(version);
    peer.add_peer(info(0), true);
    let heartbeats = peer.due_heartbeats(now);
    node.handle_heartbeat(&heartbeats[0].heartbeat, now);
}

#[test]
fn peers_are_asked_once_the_platform_is_late() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[1, 2], ms(0));
    node.set_version(1);
    for (now, due) in [(0, false), (600, false), (700, true), (750, false), (1400, true)]
    {
        hear_peer(&mut node, 101, 2, ms(now));
        assert_eq!(due_at(&mut node, ms(now)), due, "at {now} ms");
    }
    node.set_version(2);
    assert!(!due_at(&mut node, ms(1500)));
}

#[test]
fn a_peer_that_is_not_heard_for_a_moment_costs_no_further_wait() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[2], ms(0));
    assert!(!due_at(&mut node, ms(0)));
    assert!(!due_at(&mut node, ms(2000)), "the peer is silent");
    hear_peer(&mut node, 100, 2, ms(2100));
    assert!(due_at(&mut node, ms(2100)));
}

#[test]
fn peers_are_not_asked_while_the_platform_brings_something() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[2], ms(0));
    for now in (0..2000).step_by(100) {
        hear_peer(&mut node, 100, 2, ms(now));
        node.record_source_progress(ms(now));
        assert!(!due_at(&mut node, ms(now)), "at {now} ms");
    }
    // For so long only.
    hear_peer(&mut node, 100, 2, ms(2000));
    assert!(due_at(&mut node, ms(2000)));
}

#[test]
fn instances_do_not_all_ask_the_same_peer_first() {
    let now = Duration::from_millis(100);
    let versions = [2; 12];
    let mut first: Vec<String> = (0..24)
        .map(|number| node_that_hears(number, &versions, now))
        .map(|node| node.settings_sources(now)[0].info.name.clone())
        .collect();
    first.sort();
    first.dedup();
    assert!(first.len() >= 8, "24 instances ask {} of 12 peers", first.len());
}

#[test]
fn who_has_the_newest_settings_is_asked_first() {
    let now = Duration::from_millis(100);
    let node = node_that_hears(0, &[3, 4, 5, 4], now);
    let sources = node.settings_sources(now);
    let versions: Vec<u64> = sources.iter().map(|source| source.version).collect();
    assert_eq!(versions, [5, 4, 4, 3]);
    assert_eq!(sources[0].info.name, "instance-102");
}

#[test]
fn the_newest_settings_that_peers_have_are_known() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[8, 9], ms(0));
    node.set_version(7);
    assert_eq!(node.newest_known_version(ms(0)), 9, "as soon as it hears of them");
    node.record_newer(ms(50));
    // One version comes, and another is still ahead.
    node.set_version(8);
    assert_eq!(node.newest_known_version(ms(100)), 9);
    node.record_newer(ms(150));
    assert_eq!(node.newest_known_version(ms(15_000)), 9);
    assert_eq!(node.newest_known_version(ms(15_200)), 0, "what peers say may be wrong");
    node.record_fetched(&settings(9), "instance-101", ms(15_300));
    node.reject_fetched(9);
    node.set_version(9);
    assert_eq!(
        node.newest_known_version(ms(15_400)),
        8,
        "what can't be used isn't waited for"
    );
}

#[test]
fn settings_that_cannot_be_used_are_fetched_once() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[9, 2], ms(0));
    due_at(&mut node, ms(0));
    hear_peer(&mut node, 100, 9, ms(700));
    hear_peer(&mut node, 101, 2, ms(700));
    assert!(due_at(&mut node, ms(700)));
    node.record_fetched(&settings(9), "instance-100", ms(800));
    assert!(node.settings_sources(ms(800)).is_empty(), "it is expected to be in force");
    node.reject_fetched(9);
    let sources = node.settings_sources(ms(800));
    assert_eq!(sources.len(), 1, "the peer whose settings are of use");
    assert_eq!(sources[0].info.name, "instance-101");
    // The next version of the same peer is asked for again, also if it came meanwhile.
    hear_peer(&mut node, 100, 10, ms(900));
    assert_eq!(node.settings_sources(ms(900)).len(), 2);
    node.record_fetched(&settings(9), "instance-100", ms(1000));
    node.reject_fetched(9);
    assert_eq!(node.settings_sources(ms(1000)).len(), 2);
}

#[test]
fn settings_that_were_lost_on_their_way_are_fetched_again() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[2], ms(0));
    node.record_fetched(&settings(2), "instance-100", ms(100));
    assert!(node.settings_sources(ms(200)).is_empty());
    hear_peer(&mut node, 100, 2, ms(5200));
    assert_eq!(node.settings_sources(ms(5200)).len(), 1);
}
