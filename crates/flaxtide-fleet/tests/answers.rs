//! What instances tell each other of the platform's answers.

use std::time::Duration;

use flaxtide_fleet::{AnswerAges, AnswerSpan, FleetNode, FleetTiming, PeerInfo};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn info(name: &str, data_centre: &str, host: u8) -> PeerInfo {
    PeerInfo {
        name: name.into(),
        data_centre: data_centre.into(),
        address: ([127, 0, 0, host], 7000).into(),
    }
}

/// Returns a node that knows a peer in its own data centre and one in another.
fn node() -> FleetNode {
    let mut node = FleetNode::new(info("a", "north", 1), 1, FleetTiming::default());
    node.add_peer(info("b", "north", 2), true);
    node.add_peer(info("c", "south", 3), true);
    node
}

/// Guards against servers being dropped in a data centre that is cut off from the platform, as
/// instances elsewhere are answered.
#[test]
fn answers_elsewhere_say_nothing_of_the_own_data_centre() {
    let mut node = node();
    let ages = AnswerAges { since: 3000, until: 1 };
    node.record_peer_answers(&"c".into(), ages, ms(40_000), ms(40_010));
    node.record_peer_answers(&"unknown".into(), ages, ms(40_000), ms(40_010));
    assert_eq!(node.peer_answers(), None);
    node.record_peer_answers(&"b".into(), ages, ms(40_000), ms(40_010));
    let expected = AnswerSpan { since: ms(10_010), until: ms(39_990) };
    assert_eq!(node.peer_answers(), Some(expected));
}

/// Guards against a reply that was long on its way, or waited in a process that stood still, making
/// an outage look shorter.
#[test]
fn time_on_the_way_only_lengthens_a_gap() {
    for took in [0, 10, 3000, 30_000] {
        let mut node = node();
        let (asked, now) = (ms(40_000), ms(40_000 + took));
        let ages = AnswerAges { since: 200, until: 100 };
        node.record_peer_answers(&"b".into(), ages, asked, now);
        let told = node.peer_answers();
        assert!(told.is_none_or(|told| told.until <= ms(39_000)), "{took}: {told:?}");
        assert!(told.is_none_or(|told| told.since >= ms(38_000)), "{took}: {told:?}");
    }
}

/// An outage of which each instance has seen both sides, told in any order.
#[test]
fn an_outage_lies_before_the_span_that_is_known() {
    let (now, before) = (ms(60_000), AnswerAges { since: 3000, until: 1000 });
    let after = AnswerAges { since: 500, until: 1 };
    for order in [[before, after], [after, before]] {
        let mut node = node();
        for ages in order {
            node.record_peer_answers(&"b".into(), ages, now, now);
        }
        assert_eq!(node.peer_answers().map(|known| known.since), Some(ms(55_000)));
    }
}
