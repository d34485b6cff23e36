//! When peers that had nothing to tell are asked again.

use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_entry::PeerBackoff;

/// The first pause.
const FIRST: Duration = Duration::from_millis(400);

/// Returns the address of a peer.
fn peer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

/// Returns how long a peer may not be asked.
fn pause(backoff: &PeerBackoff, peer: SocketAddr, now: Duration) -> Duration {
    let spans = (0..).map(Duration::from_millis);
    spans
        .take(10_000)
        .find(|span| backoff.may_ask(peer, now + *span))
        .unwrap()
}

#[test]
fn pauses_of_a_peer_that_answers_grow_and_end() {
    let mut backoff = PeerBackoff::new(FIRST);
    let mut now = Duration::ZERO;
    for expected in [400, 800, 1600, 2000, 2000] {
        backoff.record_unable(peer(1), now);
        assert_eq!(pause(&backoff, peer(1), now), Duration::from_millis(expected));
        now += Duration::from_secs(3);
    }
    assert!(backoff.may_ask(peer(2), now));
}

#[test]
fn a_peer_without_an_answer_is_left_alone_for_longest() {
    let mut backoff = PeerBackoff::new(FIRST);
    backoff.record_unreachable(peer(1), Duration::ZERO);
    assert_eq!(pause(&backoff, peer(1), Duration::ZERO), Duration::from_secs(2));
    assert!(!backoff.any_unable());
}

/// The next time that nobody tells may be another trouble, hours later.
#[test]
fn once_a_peer_has_told_nothing_is_left_of_what_others_could_not() {
    let mut backoff = PeerBackoff::new(FIRST);
    backoff.record_unable(peer(1), Duration::ZERO);
    backoff.record_unable(peer(2), Duration::ZERO);
    backoff.record_success(peer(1));
    assert!(!backoff.any_unable(), "the platform isn't in trouble");
    let later = Duration::from_secs(3600);
    backoff.record_unable(peer(2), later);
    assert_eq!(pause(&backoff, peer(2), later), FIRST);
}

#[test]
fn peers_that_are_not_asked_any_more_do_not_count() {
    let mut backoff = PeerBackoff::new(FIRST);
    backoff.record_unable(peer(1), Duration::ZERO);
    backoff.record_unreachable(peer(2), Duration::ZERO);
    backoff.set_peers(&[peer(2), peer(3)], Duration::ZERO);
    assert!(!backoff.any_unable());
    assert!(!backoff.may_ask(peer(2), Duration::ZERO));
}

/// Suspected in a day on which a request reached a server 171 ms too late: readers were restarted one
/// after the other and answered that they couldn't tell, so the platform was taken to be in
/// trouble, and left alone for up to 3 s.
#[test]
fn a_reader_that_has_just_been_drawn_or_started_shows_no_trouble_of_the_platform() {
    let mut backoff = PeerBackoff::new(FIRST);
    let start = Duration::from_secs(100);
    for now in (0..3000)
        .step_by(100)
        .map(|millis| start + Duration::from_millis(millis))
    {
        backoff.set_peers(&[peer(1), peer(2)], start);
        backoff.record_unable(peer(1), now);
        assert!(backoff.any_unable());
        assert!(!backoff.suggest_outage(now), "after {:?}", now - start);
    }
    let later = start + Duration::from_secs(3);
    assert!(backoff.suggest_outage(later));
}
