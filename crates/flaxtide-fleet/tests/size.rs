//! The traffic between instances at the size of a large data centre, counted on messages
//! that real nodes have made, in the encoding that goes over the links.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::Options;
use flaxtide_fleet::{
    FleetNode, FleetServer, FleetTiming, NodeStatus, OwnLoad, PeerInfo, PoolDemand,
    ServerDigest, UsageCount, fleet_key,
};
use serde::Serialize;

/// Instances of a data centre.
const INSTANCES: usize = 58;

/// Workers of a data centre.
const WORKERS: usize = 520;

/// Organisations.
const ORGANISATIONS: usize = 1300;

/// Models.
const MODELS: usize = 8;

/// What control may use, in bytes a second in each direction.
const BUDGET: f64 = 17_000.0;

/// What the transport adds to each message: its length, the request's number, deadline and
/// trace, and the parts of the TCP/IP headers.
const MESSAGE_OVERHEAD: usize = 4 + 48 + 52;

/// Returns the length of a message as it goes over a link.
fn encoded(message: &impl Serialize) -> usize {
    let bytes = bincode::DefaultOptions::new().serialize(message).unwrap();
    bytes.len() + MESSAGE_OVERHEAD
}

#[test]
fn a_large_data_centre_keeps_control_within_its_budget() {
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
            let keys = (0..WORKERS).map(|worker| fleet_key(&format!("worker-{worker}")));
            node.set_servers(keys.map(|key| (key, server.clone())).collect());
            node
        })
        .collect();
    let mut now = Duration::from_secs(1);
    let mut received = vec![0usize; INSTANCES];
    let mut sent = vec![0usize; INSTANCES];
    // The first rounds make the nodes know each other; the last is counted.
    for round in 0..3 {
        received.fill(0);
        sent.fill(0);
        now += Duration::from_secs(3);
        for sender in 0..INSTANCES {
            let demand = demand(&pools, nodes[sender].watched());
            nodes[sender].set_status(demand, now);
            for outgoing in nodes[sender].due_heartbeats(now) {
                let receiver = list.iter().position(|info| *info == outgoing.to).unwrap();
                let (reply, _) =
                    nodes[receiver].handle_heartbeat(&outgoing.heartbeat, now);
                let heartbeat = encoded(&outgoing.heartbeat);
                let answer = encoded(&reply);
                sent[sender] += heartbeat;
                received[receiver] += heartbeat;
                sent[receiver] += answer;
                received[sender] += answer;
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

/// Instances of a deployment without a list of them.
const UNLISTED: usize = 84;

/// What a heartbeat with its answer may take between instances that know each other, in bytes:
/// what they have at servers, and a tenth more.
const EXCHANGE: f64 = 450.0;

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
    // Within the first rounds everybody has met everybody; the last is counted.
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
            let demand = NodeStatus { loads: loads.collect(), ..NodeStatus::default() };
            nodes[sender].set_status(demand, now);
            for outgoing in nodes[sender].due_heartbeats(now) {
                let receiver =
                    (0..UNLISTED).find(|place| address(*place) == outgoing.to.address);
                let receiver = receiver.unwrap();
                let (reply, _) =
                    nodes[receiver].handle_heartbeat(&outgoing.heartbeat, now);
                bytes += encoded(&outgoing.heartbeat) + encoded(&reply);
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
    assert!(mean < EXCHANGE, "{mean:.0} bytes");
}

/// Returns what a busy instance has to say of itself.
fn demand(pools: &[u32], watched: &[u32]) -> NodeStatus {
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
    // At 170 requests a second, an instance serves about this many organisations in a
    // period.
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
        usage: usage.collect(),
    }
}
