//! The router before thousands of servers: what a decision looks at doesn't grow with the
//! pool, and requests with the same shared parts stay together.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{POOL, call, core_with, engine, ms};
use flaxtide_core::ServerId;
use flaxtide_policy::{
    PeerLoad, PromptPart, PromptShape, RouteAction, RouteCall, RouteChoice, RouteCore,
    RoutedServer,
};

/// The most servers that are considered for one request.
const MOST_CONSIDERED: usize = 192;

/// Returns a call whose prompt begins with a shared part.
fn call_with_part(request: u64, shared: u64) -> RouteCall {
    let prompt = PromptShape {
        tokens: 8000,
        max_output_tokens: 100,
        parts: vec![
            PromptPart { key: shared, tokens: 4000 },
            PromptPart { key: request | 1 << 40, tokens: 4000 },
        ],
    };
    RouteCall {
        prompt,
        target: ms(60_000),
        ..call(request, 8000, true)
    }
}

/// Returns the choice if the only action is a dispatch.
fn choice_of(actions: &[RouteAction]) -> &RouteChoice {
    let [RouteAction::Dispatch { choice, .. }] = actions else { panic!("{actions:?}") };
    choice
}

/// Returns an instance with as many servers, of which each sixth is local.
fn instance(servers: u32, seed: u64) -> RouteCore {
    let mut core = core_with(0);
    core.set_seed(seed);
    let servers = (0..servers).map(|server| RoutedServer {
        local: u64::from(server) % 6 == seed % 6,
        ..engine(server)
    });
    let servers: Vec<RoutedServer> = servers.collect();
    core.set_servers(POOL, &servers, ms(0));
    core
}

#[test]
fn a_decision_considers_as_many_servers_of_ten_thousand_as_of_a_few() {
    for servers in [10, 100, 1_000, 10_000] {
        let mut core = instance(servers, 3);
        for request in 0..50 {
            let arrival = match request % 2 {
                0 => call_with_part(request, request % 5),
                _ => RouteCall { target: ms(60_000), ..call(request, 100, true) },
            };
            let actions = core.arrive(arrival, ms(request));
            let eligible = choice_of(&actions).eligible;
            assert!(eligible <= MOST_CONSIDERED, "{eligible} of {servers} considered");
        }
    }
}

/// If each instance considered other servers, each would have a part read anew.
#[test]
fn all_instances_send_a_shared_part_to_the_same_few_servers() {
    let mut readers: BTreeMap<u64, BTreeSet<ServerId>> = BTreeMap::new();
    for seed in 0..24 {
        let mut core = instance(10_000, seed);
        for request in 0..40 {
            let shared = request % 4;
            let now = ms(request * 1000);
            let actions = core.arrive(call_with_part(request, shared), now);
            let server = choice_of(&actions).server;
            readers.entry(shared).or_default().insert(server);
            core.record_response_data(request, now + ms(100));
            core.finish(request, now + ms(200));
        }
    }
    for (shared, servers) in readers {
        // The home server of all, and at most one in each data centre.
        assert!(servers.len() <= 8, "part {shared} is on {servers:?}");
    }
}

#[test]
fn a_server_that_leaves_is_not_considered_and_one_that_comes_is() {
    let mut core = instance(1_000, 0);
    let first = choice_of(&core.arrive(call_with_part(1, 9), ms(0))).server;
    let left = RoutedServer { leaving: true, ..engine(first) };
    core.update_servers(POOL, &[left], &[], ms(1));
    let second = choice_of(&core.arrive(call_with_part(2, 9), ms(2))).server;
    assert_ne!(second, first);
    core.update_servers(POOL, &[engine(first)], &[second], ms(3));
    let third = choice_of(&core.arrive(call_with_part(3, 9), ms(4))).server;
    assert_eq!(third, first);
}

#[test]
fn requests_find_room_beyond_the_first_servers_that_are_considered() {
    let mut core = instance(1_000, 0);
    // Eight slots, filled one and a half times: the first 96 servers take 1,152.
    for request in 0..2_000 {
        let actions = core.arrive(call_with_part(request, 9), ms(0));
        choice_of(&actions);
    }
}

/// A report names all servers where its sender has requests; those that it no longer names
/// are idle.
#[test]
fn a_newer_report_of_a_peer_replaces_the_one_before() {
    let mut core = instance(2, 0);
    let load =
        |server, short| PeerLoad { server, short, long: 0, pending_prefill: [0; 3] };
    core.set_peer_loads(5, &[load(0, 12)], ms(0));
    assert_eq!(choice_of(&core.arrive(call(1, 100, true), ms(1))).server, 1);
    core.set_peer_loads(5, &[load(1, 12)], ms(2));
    assert_eq!(choice_of(&core.arrive(call(2, 100, true), ms(3))).server, 0);
}
