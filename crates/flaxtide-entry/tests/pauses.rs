//! Backoff for peers that couldn't answer.

use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_entry::PeerBackoff;

/// The first backoff.
const FIRST: Duration = Duration::from_millis(400);

/// Returns the address of a peer.
fn peer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

/// Returns how long it takes until a peer may be asked.
fn remaining_backoff(backoff: &PeerBackoff, peer: SocketAddr, now: Duration) -> Duration {
    let spans = (0..).map(Duration::from_millis);
    spans
        .take(10_000)
        .find(|span| backoff.may_ask(peer, now + *span))
        .unwrap()
}

#[test]
fn backoff_of_an_unable_peer_doubles_up_to_its_limit() {
    let mut backoff = PeerBackoff::new(FIRST);
    let mut now = Duration::ZERO;
    for expected in [400, 800, 1600, 2000, 2000] {
        backoff.record_unable(peer(1), now);
        assert_eq!(
            remaining_backoff(&backoff, peer(1), now),
            Duration::from_millis(expected)
        );
        now += Duration::from_secs(3);
    }
    assert!(backoff.may_ask(peer(2), now));
}

#[test]
fn an_unreachable_peer_gets_the_longest_backoff() {
    let mut backoff = PeerBackoff::new(FIRST);
    backoff.record_unreachable(peer(1), Duration::ZERO);
    assert_eq!(
        remaining_backoff(&backoff, peer(1), Duration::ZERO),
        Duration::from_secs(2)
    );
    assert!(!backoff.is_unable(peer(1)));
}

/// Entries left from an earlier failure must not make a later one, with another cause, look like an
/// outage.
#[test]
fn a_success_resets_the_backoff_of_all_unable_peers() {
    let mut backoff = PeerBackoff::new(FIRST);
    backoff.record_unable(peer(1), Duration::ZERO);
    backoff.record_unable(peer(2), Duration::ZERO);
    backoff.record_success(peer(1));
    for number in [1, 2] {
        assert!(!backoff.is_unable(peer(number)), "there is no sign of an outage");
    }
    let later = Duration::from_secs(3600);
    backoff.record_unable(peer(2), later);
    assert_eq!(remaining_backoff(&backoff, peer(2), later), FIRST);
}

#[test]
fn peers_that_are_no_longer_asked_do_not_count() {
    let mut backoff = PeerBackoff::new(FIRST);
    backoff.record_unable(peer(1), Duration::ZERO);
    backoff.record_unreachable(peer(2), Duration::ZERO);
    backoff.retain_peers(&[peer(2), peer(3)], Duration::ZERO);
    assert!([1, 2, 3].iter().all(|number| !backoff.is_unable(peer(*number))));
    assert!(!backoff.may_ask(peer(2), Duration::ZERO));
}

/// Readers that are restarted one after the other are unable to answer. If that is taken for an
/// outage, the platform isn't called for up to 3 s: the suspected cause of a request that reached
/// a server 171 ms too late.
#[test]
fn a_newly_selected_or_restarted_reader_does_not_suggest_an_outage() {
    let mut backoff = PeerBackoff::new(FIRST);
    let start = Duration::from_secs(100);
    for now in (0..3000)
        .step_by(100)
        .map(|millis| start + Duration::from_millis(millis))
    {
        backoff.retain_peers(&[peer(1), peer(2)], start);
        backoff.record_unable(peer(1), now);
        assert!(backoff.is_unable(peer(1)));
        assert!(!backoff.suggests_outage(peer(1), now), "after {:?}", now - start);
    }
    let later = start + Duration::from_secs(3);
    assert!(backoff.suggests_outage(peer(1), later));
}

/// A standby doesn't read from the platform while the reader answers it. If it counted as a peer
/// that should have read, an instance whose reader is merely busy would take a calm platform for
/// one that is out, and keep servers that have left.
#[test]
fn standbys_that_are_unable_to_answer_do_not_suggest_an_outage() {
    let mut backoff = PeerBackoff::new(FIRST);
    let now = Duration::from_secs(100);
    backoff.record_unreachable(peer(1), now);
    backoff.record_unable(peer(2), now);
    backoff.record_unable(peer(3), now);
    assert!(!backoff.suggests_outage(peer(1), now));
    backoff.record_unable(peer(1), now);
    assert!(backoff.suggests_outage(peer(1), now));
}
