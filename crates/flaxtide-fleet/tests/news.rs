//! Heartbeats that go out before their period, as there is something that peers should know.

use std::time::Duration;

use flaxtide_fleet::{FleetNode, FleetTiming, NodeStatus, OwnLoad, PeerInfo};

/// How often the thread looks whether heartbeats are due.
const LOOK: Duration = Duration::from_millis(50);

fn info(number: usize) -> PeerInfo {
    PeerInfo {
        name: format!("instance-{number}"),
        data_centre: "north".into(),
        address: ([10, 0, 0, number as u8], 7000).into(),
    }
}

/// Returns one node among so many that it has heard.
fn node_among(count: usize) -> FleetNode {
    let timing = FleetTiming::default();
    let mut node = FleetNode::new(info(0), 0, timing.clone());
    node.set_instance_list(Some((0..count).map(info).collect()), Duration::ZERO);
    for number in 1..count {
        let mut peer = FleetNode::new(info(number), number as u32, timing.clone());
        peer.set_instance_list(Some((0..count).map(info).collect()), Duration::ZERO);
        let heartbeats = peer.due_heartbeats(Duration::ZERO);
        let heartbeat = heartbeats
            .iter()
            .find(|heartbeat| heartbeat.to.name == "instance-0")
            .unwrap();
        node.handle_heartbeat(&heartbeat.heartbeat, Duration::ZERO);
    }
    node
}

/// Returns a demand with so many units to be read at a server.
fn unread(units: u16) -> NodeStatus {
    let load = OwnLoad {
        server: 1,
        short: 0,
        long: 1,
        unread: [units, 0, 0],
    };
    NodeStatus { loads: vec![load], ..NodeStatus::default() }
}

/// Counts rounds of heartbeats in twenty seconds, once what was saved up for updates is spent.
fn rounds(node: &mut FleetNode, demand: impl Fn(bool) -> NodeStatus) -> usize {
    let mut rounds = 0;
    for look in 1..=500 {
        let now = Duration::from_secs(1) + LOOK * look;
        node.set_status(demand(look % 4 < 2), now);
        let due = !node.due_heartbeats(now).is_empty();
        rounds += usize::from(due && look > 100);
    }
    rounds
}

#[test]
fn a_long_prompt_is_told_before_the_period_is_over() {
    let mut node = node_among(9);
    node.set_status(unread(0), Duration::from_secs(1));
    node.due_heartbeats(Duration::from_secs(1));
    let soon = Duration::from_millis(1050);
    node.set_status(unread(10), soon);
    assert!(node.due_heartbeats(soon).is_empty(), "a little more is no news");
    let later = Duration::from_millis(1100);
    node.set_status(unread(200), later);
    assert_eq!(node.due_heartbeats(later).len(), 8);
}

#[test]
fn a_silent_server_is_told_at_once_and_not_again() {
    let mut node = node_among(9);
    node.due_heartbeats(Duration::from_secs(1));
    let silent = || NodeStatus { unresponsive: vec![5], ..NodeStatus::default() };
    for (at, due) in [(1050, true), (1100, false), (1150, false)] {
        let now = Duration::from_millis(at);
        node.set_status(silent(), now);
        assert_eq!(!node.due_heartbeats(now).is_empty(), due, "at {at}");
    }
}

#[test]
fn news_keep_within_the_bytes_of_control() {
    /// Bytes of a heartbeat with its answer.
    const BEAT: f64 = 406.0;
    for instances in [9, 30, 58] {
        let mut node = node_among(instances);
        let busy = rounds(&mut node, |more| unread(if more { 500 } else { 0 }));
        let a_second = busy as f64 * (instances - 1) as f64 * BEAT / 20.0;
        assert!(a_second < 17_500.0, "{instances} instances: {a_second} bytes a second");
        let mut node = node_among(instances);
        assert!(rounds(&mut node, |_| unread(0)) <= busy);
    }
}
