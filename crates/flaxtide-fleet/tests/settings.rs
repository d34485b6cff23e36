//! Settings on their way between instances: in pieces, from few givers to few askers at a
//! time, and only when the platform hasn't brought them.

use std::time::Duration;

use flaxtide_fleet::{
    CopyAssembly, FleetNode, FleetTiming, PIECE_BYTES, PeerInfo, PieceAnswer, PieceGiver,
    PieceQuestion, SettingsCopy, SettingsPiece, TakenPiece,
};

/// How many peers are given settings at the same time.
const SEATS: u64 = 4;

/// Returns settings of a version, of several pieces, with characters of two bytes.
fn settings(version: u64) -> SettingsCopy {
    let tree = format!("{version:08}{}", "kavakäik, ".repeat(20_000));
    SettingsCopy { version, tree: tree.into() }
}

/// Returns the answer to a question.
fn ask(
    giver: &mut PieceGiver,
    link: u64,
    question: PieceQuestion,
    newest: u64,
    now: u64,
) -> PieceAnswer {
    let newest = || (newest > question.newer_than).then(|| settings(newest));
    giver.answer(link, question, newest, Duration::from_millis(now))
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
    let (mut giver, mut assembly) = (PieceGiver::default(), CopyAssembly::new(6));
    for count in 1.. {
        let piece = piece(ask(&mut giver, 1, assembly.question(), 7, count));
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
    let (mut giver, mut assembly) = (PieceGiver::default(), CopyAssembly::new(6));
    for newest in 7.. {
        // Each question finds a newer version in force.
        let piece = piece(ask(&mut giver, 1, assembly.question(), newest, newest));
        assert_eq!(piece.version, 7);
        if let TakenPiece::Whole(copy) = assembly.take(&piece) {
            assert_eq!(copy, settings(7));
            return;
        }
    }
}

#[test]
fn another_giver_of_the_same_version_gives_the_rest() {
    let (mut first, mut second) = (PieceGiver::default(), PieceGiver::default());
    let mut assembly = CopyAssembly::new(6);
    assembly.take(&piece(ask(&mut first, 1, assembly.question(), 7, 0)));
    let begun = assembly.question();
    assert!(begun.offset > 0);
    assert_eq!(piece(ask(&mut second, 1, begun, 7, 0)).offset, begun.offset);
    // One with another version begins anew.
    let other = piece(ask(&mut PieceGiver::default(), 1, begun, 8, 0));
    assert_eq!((other.version, other.offset), (8, 0));
    assert_eq!(assembly.take(&other), TakenPiece::Partial);
    assert_eq!(assembly.question().version, 8);
}

#[test]
fn few_are_given_settings_at_a_time() {
    let mut giver = PieceGiver::default();
    let first = CopyAssembly::new(6).question();
    for link in 0..SEATS {
        piece(ask(&mut giver, link, first, 7, 0));
    }
    assert_eq!(ask(&mut giver, SEATS, first, 7, 1), PieceAnswer::Busy);
    // Who has a seat goes on, and one that is silent for long loses it.
    piece(ask(&mut giver, 0, first, 7, 2900));
    piece(ask(&mut giver, SEATS, first, 7, 3100));
    for link in 1..SEATS {
        ask(&mut giver, SEATS + link, first, 7, 3100);
    }
    assert_eq!(ask(&mut giver, 2 * SEATS, first, 7, 3100), PieceAnswer::Busy);
    piece(ask(&mut giver, 0, first, 7, 3200));
}

#[test]
fn who_has_all_pieces_leaves_its_seat() {
    let mut giver = PieceGiver::default();
    for link in 0..3 * SEATS {
        let mut assembly = CopyAssembly::new(6);
        loop {
            let piece = piece(ask(&mut giver, link, assembly.question(), 7, 0));
            if assembly.take(&piece) != TakenPiece::Partial {
                break;
            }
        }
    }
}

#[test]
fn nothing_newer_is_said() {
    let question = CopyAssembly::new(7).question();
    let answer = ask(&mut PieceGiver::default(), 1, question, 7, 0);
    assert_eq!(answer, PieceAnswer::NothingNewer);
}

/// Makes a piece that doesn't fit.
type SpoilPiece = fn(&mut SettingsPiece);

#[test]
fn pieces_that_do_not_fit_are_rejected() {
    let good = || {
        piece(ask(&mut PieceGiver::default(), 1, CopyAssembly::new(6).question(), 7, 0))
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
        assert_eq!(assembly.question().offset, 0, "{what}");
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

/// Has a node hear a peer that has a version.
fn hear_peer(node: &mut FleetNode, number: usize, version: u64, now: Duration) {
    let mut peer = FleetNode::new(info(number), 1, FleetTiming::default());
    peer.set_version(version);
    peer.meet(info(0), true);
    let beats = peer.due_beats(now);
    node.hear_beat(&beats[0].beat, now);
}

#[test]
fn peers_are_asked_once_the_platform_is_late() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[1, 2], ms(0));
    node.set_version(1);
    for (now, due) in [(0, false), (600, false), (700, true), (750, false), (1400, true)]
    {
        hear_peer(&mut node, 101, 2, ms(now));
        assert_eq!(node.settings_due(ms(now)), due, "at {now} ms");
    }
    node.set_version(2);
    assert!(!node.settings_due(ms(1500)));
}

#[test]
fn a_peer_that_is_not_heard_for_a_moment_costs_no_further_wait() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[2], ms(0));
    assert!(!node.settings_due(ms(0)));
    assert!(!node.settings_due(ms(2000)), "the peer is silent");
    hear_peer(&mut node, 100, 2, ms(2100));
    assert!(node.settings_due(ms(2100)));
}

#[test]
fn peers_are_not_asked_while_the_platform_brings_something() {
    let ms = Duration::from_millis;
    let mut node = node_that_hears(0, &[2], ms(0));
    for now in (0..3000).step_by(100) {
        hear_peer(&mut node, 100, 2, ms(now));
        node.hear_source(ms(now));
        assert!(!node.settings_due(ms(now)), "at {now} ms");
    }
    // For so long only.
    hear_peer(&mut node, 100, 2, ms(3000));
    assert!(node.settings_due(ms(3000)));
}

#[test]
fn instances_do_not_all_ask_the_same_peer_first() {
    let now = Duration::from_millis(100);
    let versions = [2; 12];
    let mut first: Vec<String> = (0..24)
        .map(|number| node_that_hears(number, &versions, now))
        .map(|node| node.settings_sources(now)[0].name.clone())
        .collect();
    first.sort();
    first.dedup();
    assert!(first.len() >= 8, "24 instances ask {} of 12 peers", first.len());
}
