//! Heartbeats that are sent before their period is over, because there are updates.

use std::time::Duration;

use flaxtide_fleet::{FleetNode, FleetTiming, NodeStatus, OwnLoad, PeerInfo};

/// How often the fleet thread polls for due heartbeats.
const POLL_PERIOD: Duration = Duration::from_millis(50);

fn info(number: usize) -> PeerInfo {
    PeerInfo {
        name: format!("instance-{number}"),
        data_centre: "north".into(),
        address: ([10, 0, 0, number as u8], 7000).into(),
    }
}

/// Returns one node of `count` that has received heartbeats from all others.
fn node_with_peers(count: usize) -> FleetNode {
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

/// Returns a status with this many units of prompt tokens to be prefilled at a server.
fn status_with_unread(units: u16) -> NodeStatus {
    let load = OwnLoad {
        server: 1,
        short: 0,
        long: 1,
        unread: [units, 0, 0],
    };
    NodeStatus { loads: vec![load], ..NodeStatus::default() }
}

/// Counts rounds of heartbeats in twenty seconds, after the burst allowance for updates is used
/// up.
fn count_rounds(node: &mut FleetNode, status: impl Fn(bool) -> NodeStatus) -> usize {
    let mut rounds = 0;
    for poll in 1..=500 {
        let now = Duration::from_secs(1) + POLL_PERIOD * poll;
        node.set_status(status(poll % 4 < 2), now);
        let due = !node.due_heartbeats(now).is_empty();
        rounds += usize::from(due && poll > 100);
    }
    rounds
}

#[test]
fn a_long_prompt_is_sent_before_the_period_is_over() {
    let mut node = node_with_peers(9);
    node.set_status(status_with_unread(0), Duration::from_secs(1));
    node.due_heartbeats(Duration::from_secs(1));
    let soon = Duration::from_millis(1050);
    node.set_status(status_with_unread(10), soon);
    assert!(node.due_heartbeats(soon).is_empty(), "a small increase is no update");
    let later = Duration::from_millis(1100);
    node.set_status(status_with_unread(200), later);
    assert_eq!(node.due_heartbeats(later).len(), 8);
}

#[test]
fn an_unresponsive_server_is_sent_at_once_and_only_once() {
    let mut node = node_with_peers(9);
    node.due_heartbeats(Duration::from_secs(1));
    let status = || NodeStatus { unresponsive: vec![5], ..NodeStatus::default() };
    for (at, due) in [(1050, true), (1100, false), (1150, false)] {
        let now = Duration::from_millis(at);
        node.set_status(status(), now);
        assert_eq!(!node.due_heartbeats(now).is_empty(), due, "at {at}");
    }
}

#[test]
fn updates_stay_within_the_traffic_budget() {
    /// The size of a heartbeat with its reply.
    const HEARTBEAT_BYTES: f64 = 406.0;
    for instances in [9, 30, 58] {
        let mut node = node_with_peers(instances);
        let busy = count_rounds(&mut node, |more| {
            status_with_unread(if more { 500 } else { 0 })
        });
        let bytes_per_second =
            busy as f64 * (instances - 1) as f64 * HEARTBEAT_BYTES / 20.0;
        assert!(
            bytes_per_second < 17_500.0,
            "{instances} instances: {bytes_per_second} bytes a second"
        );
        let mut node = node_with_peers(instances);
        assert!(count_rounds(&mut node, |_| status_with_unread(0)) <= busy);
    }
}
