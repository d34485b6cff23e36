//! The traffic between instances in a large data centre, measured on the messages of real nodes
//! in the encoding used on links.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::Options;
use flaxtide_fleet::{
    AnswerSpan, FleetNode, FleetServer, FleetTiming, NodeStatus, OwnLoad, PeerInfo,
    PoolDemand, ReachReply, ServerDigest, UsageCount, fleet_key,
};
use serde::Serialize;

/// The number of instances in the data centre.
const INSTANCES: usize = 58;

/// The number of backend servers in the data centre.
const SERVERS: usize = 520;

/// The number of organisations with a rate limit.
const ORGANISATIONS: usize = 1300;

/// The number of models, each a pool.
const MODELS: usize = 8;

/// The budget for control traffic in each direction, in bytes per second.
const BUDGET: f64 = 17_000.0;

/// The bytes that the transport adds to each message: 4 for the length prefix, 48 for the
/// request's number, deadline and trace, and 52 for a part of the TCP/IP headers.
const MESSAGE_OVERHEAD: usize = 4 + 48 + 52;

/// Returns the size of a message on a link.
fn size_on_link(message: &impl Serialize) -> usize {
    let bytes = bincode::DefaultOptions::new().serialize(message).unwrap();
    bytes.len() + MESSAGE_OVERHEAD
}

#[test]
fn control_traffic_of_a_large_data_centre_stays_within_budget() {
    let info = |number: usize| PeerInfo {
        name: format!("tll-1-entry-{number}"),
        data_centre: "tll-1".into(),
        address: SocketAddr::from(([10, 0, 0, number as u8], 7000)),
    };
    let list: Vec<PeerInfo> = (0..INSTANCES).map(info).collect();
    let pools: Vec<u32> = (0..MODELS)
        .map(|model| fleet_key(&format!("model/{model}")))
        .collect();
    let server = FleetServer { slots: 64, pools: pools.clone() };
    let mut nodes: Vec<FleetNode> = (0..INSTANCES)
        .map(|number| {
            let mut node =
                FleetNode::new(info(number), number as u32, FleetTiming::default());
            node.set_instance_list(Some(list.clone()), Duration::ZERO);
            let keys = (0..SERVERS)
                .map(|server_number| fleet_key(&format!("worker-{server_number}")));
            node.set_servers(keys.map(|key| (key, server.clone())).collect());
            node
        })
        .collect();
    let mut now = Duration::from_secs(1);
    let mut received = vec![0usize; INSTANCES];
    let mut sent = vec![0usize; INSTANCES];
    // In the first rounds the nodes learn of each other; the last one is measured.
    for round in 0..3 {
        received.fill(0);
        sent.fill(0);
        now += Duration::from_secs(3);
        for sender in 0..INSTANCES {
            let status = busy_status(&pools, nodes[sender].watched());
            nodes[sender].set_status(status, now);
            for outgoing in nodes[sender].due_heartbeats(now) {
                let receiver = list.iter().position(|info| *info == outgoing.to).unwrap();
                let (reply, _) =
                    nodes[receiver].handle_heartbeat(&outgoing.heartbeat, now);
                let heartbeat_bytes = size_on_link(&outgoing.heartbeat);
                let reply_bytes = size_on_link(&reply);
                sent[sender] += heartbeat_bytes;
                received[receiver] += heartbeat_bytes;
                sent[receiver] += reply_bytes;
                received[sender] += reply_bytes;
                let name = outgoing.to.name.clone();
                nodes[sender].handle_reply(&name, &reply, now);
            }
        }
        assert!(round < 2 || nodes[0].live().len() == INSTANCES);
    }
    let period = nodes[0].period().as_secs_f64();
    let rates: Vec<f64> = received
        .iter()
        .chain(&sent)
        .map(|bytes| *bytes as f64 / period)
        .collect();
    let worst = rates.iter().copied().fold(0.0, f64::max);
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    println!("bytes a second: {mean:.0} on average, {worst:.0} at most");
    assert!(worst < BUDGET, "{worst:.0} bytes a second");
}

/// The number of instances in a deployment without a list of them.
const UNLISTED: usize = 84;

/// The budget for a heartbeat with its reply between instances that know each other: the bytes
/// of an exchange that carries only their loads, plus a tenth.
const MAX_EXCHANGE_BYTES: f64 = 450.0;

/// Guards against lists of peers in every reply, which were most of the traffic.
#[test]
fn instances_without_a_list_ask_few_peers_for_theirs() {
    let address = |number: usize| SocketAddr::from(([10, 0, 0, number as u8], 7000));
    let mut nodes: Vec<FleetNode> = (0..UNLISTED)
        .map(|number| {
            let own = PeerInfo {
                name: format!("front-tln-a-{number}"),
                data_centre: "ee-north".into(),
                address: address(number),
            };
            let mut node = FleetNode::new(own, number as u32, FleetTiming::default());
            node.set_instance_list(None, Duration::ZERO);
            node.set_seeds((0..3).map(address).collect());
            node
        })
        .collect();
    let mut now = Duration::from_secs(1);
    let mut bytes = 0;
    let mut exchanges = 0;
    // In the first rounds all nodes learn of each other; the last one is measured.
    for _ in 0..5 {
        (bytes, exchanges) = (0, 0);
        now += Duration::from_secs(3);
        for sender in 0..UNLISTED {
            let loads = (0..10).map(|server| OwnLoad {
                server: fleet_key(&format!("worker-{server}")),
                short: 2,
                long: 1,
                unread: [10, 200, 400],
            });
            let status = NodeStatus { loads: loads.collect(), ..NodeStatus::default() };
            nodes[sender].set_status(status, now);
            for outgoing in nodes[sender].due_heartbeats(now) {
                let receiver =
                    (0..UNLISTED).find(|number| address(*number) == outgoing.to.address);
                let receiver = receiver.unwrap();
                let (reply, _) =
                    nodes[receiver].handle_heartbeat(&outgoing.heartbeat, now);
                bytes += size_on_link(&outgoing.heartbeat) + size_on_link(&reply);
                exchanges += 1;
                let name = outgoing.to.name.clone();
                nodes[sender].handle_reply(&name, &reply, now);
            }
        }
    }
    assert!(nodes.iter().all(|node| node.live().len() == UNLISTED));
    assert_eq!(exchanges, UNLISTED * (UNLISTED - 1));
    let mean = bytes as f64 / exchanges as f64;
    println!("bytes of a heartbeat and its answer: {mean:.0}");
    assert!(mean < MAX_EXCHANGE_BYTES, "{mean:.0} bytes");
}

/// Returns the status of a busy instance.
fn busy_status(pools: &[u32], watched: &[u32]) -> NodeStatus {
    let demands = pools
        .iter()
        .map(|pool| PoolDemand { pool: *pool, tiers: vec![200, 300, 400] });
    let servers = watched.iter().map(|server| ServerDigest {
        server: *server,
        running: 60,
        waiting: 20,
        step: 1200,
        age: 60,
        leaving: false,
    });
    // At 170 requests per second, an instance serves about this many organisations in a period.
    let usage = (0..ORGANISATIONS / 4).map(|organisation| UsageCount {
        organisation: fleet_key(&format!("organisation-{organisation}")),
        count: 2,
    });
    NodeStatus {
        demands: demands.collect(),
        servers: servers.collect(),
        loads: vec![],
        reads: vec![],
        unresponsive: vec![],
        engines: vec![],
        parts: vec![],
        usage: usage.collect(),
        reach: ReachReply::default(),
        answers: Some(AnswerSpan { since: Duration::ZERO, until: Duration::ZERO }),
    }
}
