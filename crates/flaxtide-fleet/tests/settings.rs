//! Transfer of settings between instances: in pieces, with few parallel transfers, and only if
//! the platform hasn't delivered the settings.

use std::time::Duration;

use flaxtide_fleet::{
    CopyAssembly, FleetNode, FleetTiming, MAX_PIECE_BYTES, PeerInfo, PieceAnswer,
    PieceOutcome, PieceProvider, PieceQuestion, SettingsCopy, SettingsPiece,
};

/// The most parallel transfers of a provider.
const MAX_TRANSFERS: u32 = 4;

/// Returns settings of several pieces, with some two-byte characters.
fn settings(version: u64) -> SettingsCopy {
    let tree = format!("{version:08}{}", "kavakäik, ".repeat(20_000));
    SettingsCopy { version, tree: tree.into() }
}

/// Returns the answer to a request for a piece. `newest` is the provider's version in force,
/// `now` the time in milliseconds.
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

/// Returns the piece in an answer.
fn piece(answer: PieceAnswer) -> SettingsPiece {
    match answer {
        PieceAnswer::Piece(piece) => piece,
        other => panic!("no piece: {other:?}"),
    }
}

#[test]
fn settings_arrive_complete_in_pieces() {
    let (mut provider, mut assembly) = (PieceProvider::default(), CopyAssembly::new(6));
    for count in 1.. {
        let piece = piece(ask(&mut provider, 1, assembly.question(1), 7, count));
        assert!(piece.text.len() <= MAX_PIECE_BYTES);
        match assembly.add_piece(&piece) {
            PieceOutcome::Partial => {}
            PieceOutcome::Complete(copy) => {
                assert_eq!(copy, settings(7));
                assert_eq!(count, copy.tree.len().div_ceil(MAX_PIECE_BYTES) as u64);
                return;
            }
            PieceOutcome::Rejected => panic!("piece {count} is rejected"),
        }
    }
}

#[test]
fn a_started_transfer_finishes_although_newer_settings_arrive() {
    let (mut provider, mut assembly) = (PieceProvider::default(), CopyAssembly::new(6));
    for newest in 7.. {
        // At each request, a newer version is in force.
        let piece = piece(ask(&mut provider, 1, assembly.question(1), newest, newest));
        assert_eq!(piece.version, 7);
        if let PieceOutcome::Complete(copy) = assembly.add_piece(&piece) {
            assert_eq!(copy, settings(7));
            return;
        }
    }
}

#[test]
fn another_provider_of_the_same_version_sends_the_rest() {
    let (mut first, mut second) = (PieceProvider::default(), PieceProvider::default());
    let mut assembly = CopyAssembly::new(6);
    assembly.add_piece(&piece(ask(&mut first, 1, assembly.question(1), 7, 0)));
    let begun = assembly.question(1);
    assert!(begun.offset > 0);
    assert_eq!(piece(ask(&mut second, 1, begun, 7, 0)).offset, begun.offset);
    // A provider with another version starts over.
    let other = piece(ask(&mut PieceProvider::default(), 1, begun, 8, 0));
    assert_eq!((other.version, other.offset), (8, 0));
    assert_eq!(assembly.add_piece(&other), PieceOutcome::Partial);
    assert_eq!(assembly.question(1).version, 8);
}

#[test]
fn few_transfers_run_at_a_time() {
    let mut provider = PieceProvider::default();
    let first = CopyAssembly::new(6).question(1);
    for requester in 0..MAX_TRANSFERS {
        piece(ask(&mut provider, requester, first, 7, 0));
    }
    assert_eq!(ask(&mut provider, MAX_TRANSFERS, first, 7, 1), PieceAnswer::Busy);
    // A peer with a transfer may go on; one that is silent for long loses its transfer.
    piece(ask(&mut provider, 0, first, 7, 2900));
    piece(ask(&mut provider, MAX_TRANSFERS, first, 7, 3100));
    for index in 1..MAX_TRANSFERS - 1 {
        piece(ask(&mut provider, MAX_TRANSFERS + index, first, 7, 3100));
    }
    assert_eq!(ask(&mut provider, 2 * MAX_TRANSFERS, first, 7, 3100), PieceAnswer::Busy);
    piece(ask(&mut provider, 0, first, 7, 3200));
}

#[test]
fn a_finished_transfer_makes_room_for_another() {
    let mut provider = PieceProvider::default();
    for requester in 0..3 * MAX_TRANSFERS {
        let mut assembly = CopyAssembly::new(6);
        loop {
            let piece = piece(ask(&mut provider, requester, assembly.question(1), 7, 0));
            if assembly.add_piece(&piece) != PieceOutcome::Partial {
                break;
            }
        }
    }
}

#[test]
fn a_repeated_request_keeps_its_transfer_and_version() {
    let mut provider = PieceProvider::default();
    let mut assembly = CopyAssembly::new(6);
    assembly.add_piece(&piece(ask(&mut provider, 1, assembly.question(1), 7, 0)));
    // Answers are lost, and the peer asks again over other links while newer settings arrive.
    for newest in 8..8 + 3 * u64::from(MAX_TRANSFERS) {
        let again = piece(ask(&mut provider, 1, assembly.question(1), newest, newest));
        assert_eq!((again.version, again.offset), (7, assembly.received_bytes() as u32));
    }
    for other in 2..=MAX_TRANSFERS {
        piece(ask(&mut provider, other, CopyAssembly::new(6).question(other), 7, 30));
    }
}

#[test]
fn an_older_provider_does_not_reset_the_assembly() {
    let mut assembly = CopyAssembly::new(6);
    let first = piece(ask(&mut PieceProvider::default(), 1, assembly.question(1), 8, 0));
    assembly.add_piece(&first);
    let begun = assembly.question(1);
    let older = ask(&mut PieceProvider::default(), 1, begun, 7, 0);
    assert_eq!(older, PieceAnswer::NothingNewer);
    // A peer that sends older settings unasked doesn't reset it either.
    let unasked = piece(ask(
        &mut PieceProvider::default(),
        1,
        CopyAssembly::new(6).question(1),
        7,
        0,
    ));
    assert_eq!(assembly.add_piece(&unasked), PieceOutcome::Rejected);
    assert_eq!(assembly.question(1), begun);
    // Nor does one that sends the first piece again.
    assert_eq!(assembly.add_piece(&first), PieceOutcome::Rejected);
    assert_eq!(assembly.question(1), begun);
}

#[test]
fn an_assembly_is_kept_while_it_is_newer_than_the_version_in_force() {
    let mut assembly = CopyAssembly::new(6);
    let first = piece(ask(&mut PieceProvider::default(), 1, assembly.question(1), 8, 0));
    assembly.add_piece(&first);
    assembly.set_newer_than(7);
    assert_eq!((assembly.version(), assembly.received_bytes()), (8, first.text.len()));
    assembly.set_newer_than(8);
    assert_eq!((assembly.version(), assembly.received_bytes()), (0, 0));
}

#[test]
fn a_provider_without_newer_settings_answers_nothing_newer() {
    let question = CopyAssembly::new(7).question(1);
    let answer = ask(&mut PieceProvider::default(), 1, question, 7, 0);
    assert_eq!(answer, PieceAnswer::NothingNewer);
}

/// Alters a piece so that it doesn't fit.
type CorruptPiece = fn(&mut SettingsPiece);

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
    let cases: [(&str, CorruptPiece); 5] = [
        ("no newer version", |piece| piece.version = 6),
        ("an offset beyond the received text", |piece| piece.offset = 5),
        ("an empty text", |piece| piece.text.clear()),
        ("a text longer than the whole", |piece| piece.length = 10),
        ("a whole that is too large", |piece| piece.length = u32::MAX),
    ];
    for (what, corrupt) in cases {
        let mut corrupted = good();
        corrupt(&mut corrupted);
        let mut assembly = CopyAssembly::new(6);
        assert_eq!(assembly.add_piece(&corrupted), PieceOutcome::Rejected, "{what}");
        assert_eq!(assembly.question(1).offset, 0, "{what}");
    }
    let mut altered = good();
    altered.length = altered.text.len() as u32;
    assert_eq!(
        CopyAssembly::new(6).add_piece(&altered),
        PieceOutcome::Rejected,
        "checksum"
    );
}

fn info(number: usize) -> PeerInfo {
    PeerInfo {
        name: format!("instance-{number}"),
        data_centre: "north".into(),
        address: ([10, 0, 0, number as u8], 7000).into(),
    }
}

/// Returns a node that has received heartbeats from peers with these versions.
fn node_with_peers(number: usize, versions: &[u64], now: Duration) -> FleetNode {
    let mut node = FleetNode::new(info(number), 0, FleetTiming::default());
    for (index, version) in versions.iter().enumerate() {
        receive_heartbeat(&mut node, 100 + index, *version, now);
    }
    node
}

/// Polls once whether a fetch is due, as the fleet thread does.
fn poll_fetch_due(node: &mut FleetNode, now: Duration) -> bool {
    node.update_newer_since(now);
    node.settings_fetch_due(now)
}

/// Has a node receive the heartbeat of a peer with a version.
fn receive_heartbeat(node: &mut FleetNode, number: usize, version: u64, now: Duration) {
    let mut peer = FleetNode::new(info(number), 1, FleetTiming::default());
    peer.set_version(version);
    peer.add_peer(info(0), true);
    let heartbeats = peer.due_heartbeats(now);
    node.handle_heartbeat(&heartbeats[0].heartbeat, now);
}

#[test]
fn peers_are_asked_once_the_platform_is_late() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[1, 2], ms(0));
    node.set_version(1);
    for (now, due) in [(0, false), (600, false), (700, true), (750, false), (1400, true)]
    {
        receive_heartbeat(&mut node, 101, 2, ms(now));
        assert_eq!(poll_fetch_due(&mut node, ms(now)), due, "at {now} ms");
    }
    node.set_version(2);
    assert!(!poll_fetch_due(&mut node, ms(1500)));
}

#[test]
fn a_briefly_silent_peer_does_not_restart_the_wait() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[2], ms(0));
    assert!(!poll_fetch_due(&mut node, ms(0)));
    assert!(!poll_fetch_due(&mut node, ms(2000)), "the peer is silent");
    receive_heartbeat(&mut node, 100, 2, ms(2100));
    assert!(poll_fetch_due(&mut node, ms(2100)));
}

#[test]
fn peers_are_not_asked_while_data_arrives_from_the_platform() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[2], ms(0));
    for now in (0..2000).step_by(100) {
        receive_heartbeat(&mut node, 100, 2, ms(now));
        node.record_source_progress(ms(now));
        assert!(!poll_fetch_due(&mut node, ms(now)), "at {now} ms");
    }
    // The longest wait is over.
    receive_heartbeat(&mut node, 100, 2, ms(2000));
    assert!(poll_fetch_due(&mut node, ms(2000)));
}

#[test]
fn instances_do_not_all_ask_the_same_peer_first() {
    let now = Duration::from_millis(100);
    let versions = [2; 12];
    let mut first: Vec<String> = (0..24)
        .map(|number| node_with_peers(number, &versions, now))
        .map(|node| node.settings_sources(now)[0].info.name.clone())
        .collect();
    first.sort();
    first.dedup();
    assert!(first.len() >= 8, "24 instances ask {} of 12 peers", first.len());
}

#[test]
fn the_peer_with_the_newest_settings_is_asked_first() {
    let now = Duration::from_millis(100);
    let node = node_with_peers(0, &[3, 4, 5, 4], now);
    let sources = node.settings_sources(now);
    let versions: Vec<u64> = sources.iter().map(|source| source.version).collect();
    assert_eq!(versions, [5, 4, 4, 3]);
    assert_eq!(sources[0].info.name, "instance-102");
}

// Guards against an instance that knows newer settings to be in force elsewhere serving by its own
// for ever, and against one peer that is wrong taking others out of service.
#[test]
fn newer_settings_count_while_a_live_peer_has_them_in_force() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[9, 9, 12], ms(0));
    node.set_version(7);
    node.update_newer_since(ms(50));
    assert_eq!(node.newest_live_version(ms(100)), 12);
    // They have been heard once only.
    assert_eq!(node.newest_live_version(ms(60_000)), 0, "no peer is alive");
    for (versions, later) in [(&[9, 9, 12][..], 9), (&[9, 12], 9), (&[12], 0), (&[], 0)] {
        let mut node = node_with_peers(0, versions, ms(0));
        node.set_version(7);
        node.update_newer_since(ms(0));
        let now = ms(15_500);
        for (place, version) in versions.iter().enumerate() {
            receive_heartbeat(&mut node, 100 + place, *version, now);
        }
        assert_eq!(node.newest_live_version(now), later, "{versions:?}");
    }
    let mut node = node_with_peers(0, &[9, 9], ms(0));
    node.record_fetched(&settings(9), "instance-100", ms(10));
    node.reject_fetched(9);
    assert_eq!(node.newest_live_version(ms(20)), 0, "it can't be put in force here");
}

#[test]
fn the_newest_version_of_the_peers_is_known() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[8, 9], ms(0));
    node.set_version(7);
    assert_eq!(node.newest_known_version(ms(0)), 9, "as soon as a peer announces it");
    node.update_newer_since(ms(50));
    // One version is put in force while a newer one is announced.
    node.set_version(8);
    assert_eq!(node.newest_known_version(ms(100)), 9);
    node.update_newer_since(ms(150));
    assert_eq!(node.newest_known_version(ms(15_000)), 9);
    assert_eq!(node.newest_known_version(ms(15_200)), 0, "announced too long ago");
    node.record_fetched(&settings(9), "instance-101", ms(15_300));
    node.reject_fetched(9);
    node.set_version(9);
    assert_eq!(
        node.newest_known_version(ms(15_400)),
        8,
        "unusable settings are left out"
    );
}

#[test]
fn settings_that_cannot_be_used_are_fetched_once() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[9, 2], ms(0));
    poll_fetch_due(&mut node, ms(0));
    receive_heartbeat(&mut node, 100, 9, ms(700));
    receive_heartbeat(&mut node, 101, 2, ms(700));
    assert!(poll_fetch_due(&mut node, ms(700)));
    node.record_fetched(&settings(9), "instance-100", ms(800));
    assert!(node.settings_sources(ms(800)).is_empty(), "it is about to be in force");
    node.reject_fetched(9);
    let sources = node.settings_sources(ms(800));
    assert_eq!(sources.len(), 1, "the peer with usable settings");
    assert_eq!(sources[0].info.name, "instance-101");
    // The peer's next version is requested, even if it is announced before the old one is
    // rejected.
    receive_heartbeat(&mut node, 100, 10, ms(900));
    assert_eq!(node.settings_sources(ms(900)).len(), 2);
    node.record_fetched(&settings(9), "instance-100", ms(1000));
    node.reject_fetched(9);
    assert_eq!(node.settings_sources(ms(1000)).len(), 2);
}

#[test]
fn fetched_settings_that_are_not_adopted_are_fetched_again() {
    let ms = Duration::from_millis;
    let mut node = node_with_peers(0, &[2], ms(0));
    node.record_fetched(&settings(2), "instance-100", ms(100));
    assert!(node.settings_sources(ms(200)).is_empty());
    receive_heartbeat(&mut node, 100, 2, ms(5200));
    assert_eq!(node.settings_sources(ms(5200)).len(), 1);
}
