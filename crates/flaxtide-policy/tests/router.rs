//! The router: the choice of a server, retries, refusals, and the health of servers.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxtide_core::RequestId;
use flaxtide_policy::{
    PeerLoad, PromptPart, RefusalCause, RetryDecision, RouteAction, RouteCore,
    RouteFault, RouteOptions, RoutedServer,
};
use proptest::prelude::*;

use self::common::{POOL, call, core_with, core_with_options, engine, ms, server_of};

#[test]
fn a_request_without_servers_is_refused_at_once() {
    let mut core = RouteCore::new(RouteOptions::default());
    let actions = core.arrive(call(1, 100, true), ms(0));
    let [RouteAction::Refuse { reason, retry_after, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*reason, RefusalCause::NoServer);
    assert!(*retry_after > Duration::ZERO);
}

#[test]
fn a_leaving_server_gets_no_requests() {
    let mut core = core_with(3);
    let mut servers: Vec<RoutedServer> = (0..3).map(engine).collect();
    servers[0].leaving = true;
    servers[2].leaving = true;
    core.set_servers(POOL, &servers, ms(1));
    for request in 0..5 {
        let actions = core.arrive(call(request, 100, true), ms(2));
        assert_eq!(server_of(&actions), Some(1));
    }
}

#[test]
fn a_failed_request_is_retried_elsewhere_only_if_allowed() {
    // The fault, whether the request is repeatable, and the expected decision.
    let cases = [
        (RouteFault::Full, false, RetryDecision::Retry),
        (RouteFault::Withheld, false, RetryDecision::Retry),
        (RouteFault::Unreachable, false, RetryDecision::Retry),
        (RouteFault::Replaced, false, RetryDecision::Retry),
        (RouteFault::Broken, false, RetryDecision::Stop),
        (RouteFault::Silent, false, RetryDecision::Stop),
        (RouteFault::Failed, false, RetryDecision::Stop),
        (RouteFault::Broken, true, RetryDecision::Retry),
        (RouteFault::Silent, true, RetryDecision::Retry),
    ];
    for (fault, repeatable, expected) in cases {
        let mut core = core_with(3);
        let first = server_of(&core.arrive(call(1, 100, repeatable), ms(0)));
        let (decision, actions) = core.fail(1, fault, false, ms(10));
        assert_eq!(decision, expected, "{fault:?}, repeatable: {repeatable}");
        if decision == RetryDecision::Retry {
            assert_ne!(server_of(&actions), first, "{fault:?}");
            assert!(server_of(&actions).is_some());
        }
    }
}

#[test]
fn a_request_runs_on_no_more_servers_than_its_limit() {
    let mut core = core_with(5);
    core.arrive(call(1, 100, true), ms(0));
    assert_eq!(core.fail(1, RouteFault::Broken, false, ms(1)).0, RetryDecision::Retry);
    assert_eq!(core.fail(1, RouteFault::Broken, false, ms(2)).0, RetryDecision::Stop);
}

#[test]
fn retries_stay_within_the_budget_of_all_instances() {
    let options = RouteOptions::default();
    let instances = 8;
    let mut core = core_with(3);
    core.set_instances(instances, true);
    let mut retries = 0;
    for request in 0..400 {
        core.arrive(call(request, 100, true), ms(11_000 + request));
        if core.fail(request, RouteFault::Full, false, ms(11_000 + request)).0
            == RetryDecision::Retry
        {
            retries += 1;
            core.cancel(request, ms(11_000 + request));
        }
    }
    let allowed =
        options.retry_ratio * 400.0 + options.retry_slack / f64::from(instances);
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(retries > 20, "only {retries} retries were granted");
}

#[test]
fn a_large_fleet_that_starts_at_once_stays_within_the_retry_budget() {
    const INSTANCES: u32 = 84;
    let options = RouteOptions { retry_slack: 208.0, ..RouteOptions::default() };
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..INSTANCES {
        // No peer has been heard yet, so an instance doesn't know its share of the allowance.
        let mut core = RouteCore::new(options.clone());
        let servers: Vec<RoutedServer> = (0..3).map(engine).collect();
        core.set_servers(POOL, &servers, ms(0));
        for request in 0..20 {
            let now = ms(request * 100);
            core.arrive(call(request, 100, true), now);
            requests += 1;
            if core.fail(request, RouteFault::Full, false, now).0 == RetryDecision::Retry
            {
                retries += 1;
                core.cancel(request, now);
            }
        }
    }
    let allowed = options.retry_ratio * f64::from(requests) + options.retry_slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
}

#[test]
fn a_server_that_falls_silent_while_streaming_gets_no_requests() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0))).unwrap();
    core.record_response_data(1, ms(20));
    // The server has sent nothing for a second although it is streaming a response.
    for request in 2..6 {
        let actions = core.arrive(call(request, 100, true), ms(1020));
        assert_ne!(server_of(&actions), Some(first));
    }
}

#[test]
fn a_server_that_only_prefills_may_be_silent() {
    let mut core = core_with(1);
    core.arrive(call(1, 12_000, false), ms(0));
    let actions = core.arrive(call(2, 100, true), ms(900));
    assert_eq!(server_of(&actions), Some(0));
}

#[test]
fn the_load_that_a_peer_reports_counts_until_it_expires() {
    let mut core = core_with(2);
    let busy = PeerLoad {
        server: 0,
        short: 7,
        long: 0,
        pending_prefill: [0, 60_000, 0],
    };
    core.set_peer_loads(7, &[busy], ms(0));
    for request in 0..3 {
        assert_eq!(server_of(&core.arrive(call(request, 100, true), ms(1))), Some(1));
    }
    // The peer's report has expired, and nothing else is known.
    let mut seen = BTreeSet::new();
    for request in 10..14 {
        seen.extend(server_of(&core.arrive(call(request, 100, true), ms(5000))));
    }
    assert!(seen.contains(&0));
}

#[test]
fn prompts_with_shared_parts_go_to_the_server_that_has_them_cached() {
    let mut core = core_with(6);
    let shared = PromptPart { key: 77, tokens: 2000 };
    let mut servers = BTreeMap::new();
    for request in 0..12u64 {
        let mut route_call = call(request, 2100, true);
        let own = PromptPart { key: 1000 + request, tokens: 100 };
        route_call.prompt.parts = vec![shared, own];
        let now = ms(request * 400);
        let server = server_of(&core.arrive(route_call, now)).unwrap();
        core.record_response_data(request, now + ms(40));
        core.finish(request, now + ms(100));
        *servers.entry(server).or_insert(0) += 1;
    }
    assert_eq!(servers.len(), 1, "{servers:?}");
}

/// Returns how many engines 20 long prompts use while a peer runs `short_at_each` short
/// prompts on each of ten engines. `long_fill` is the option of this name; 0 disables
/// additional engines.
fn engines_used_by_long_prompts(short_at_each: u32, long_fill: f64) -> usize {
    let options = RouteOptions { long_fill, ..RouteOptions::default() };
    let mut core = core_with_options(10, options);
    let busy = |server| PeerLoad {
        server,
        short: short_at_each,
        long: 0,
        pending_prefill: [0; 3],
    };
    let loads: Vec<PeerLoad> = (0..10).map(busy).collect();
    core.set_peer_loads(7, &loads, ms(0));
    core.arrive(call(1000, 100, true), ms(0));
    let mut engines = BTreeSet::new();
    for request in 0..20 {
        let mut route_call = call(request, 12_000, true);
        // The target leaves time to wait for other prompts; router_lanes tests tight
        // targets.
        route_call.target = ms(2000);
        let actions = core.arrive(route_call, ms(request * 20));
        engines.extend(server_of(&actions));
    }
    engines.len()
}

#[test]
fn more_short_prompts_leave_fewer_engines_to_long_ones() {
    assert_eq!(engines_used_by_long_prompts(1, 0.0), 6);
    assert_eq!(engines_used_by_long_prompts(2, 0.0), 5);
    assert_eq!(engines_used_by_long_prompts(3, 0.0), 3, "long prompts keep a third");
}

#[test]
fn running_long_prompts_get_additional_engines() {
    let fill = RouteOptions::default().long_fill;
    assert_eq!(engines_used_by_long_prompts(1, fill), 6);
    assert_eq!(engines_used_by_long_prompts(2, fill), 5);
    assert_eq!(
        engines_used_by_long_prompts(3, fill),
        4,
        "20 long prompts are too many for three engines"
    );
    assert_eq!(
        engines_used_by_long_prompts(5, fill),
        3,
        "short prompts leave no more than a third"
    );
}

#[test]
fn long_and_short_prompts_use_different_engines() {
    let mut core = core_with(10);
    let (mut long, mut short) = (BTreeSet::new(), BTreeSet::new());
    for request in 0..20u64 {
        let now = ms(request * 50);
        long.extend(server_of(&core.arrive(call(request * 2, 12_000, true), now)));
        short.extend(server_of(&core.arrive(call(request * 2 + 1, 400, true), now)));
    }
    // The first prompt of each kind arrived before the other kind had been seen.
    assert!(long.intersection(&short).count() <= 1, "{long:?} {short:?}");
}

#[test]
fn waiting_requests_are_dispatched_in_the_order_of_tiers() {
    let mut core = core_with(1);
    // Eight slots, times the option `fill` of 1.5.
    let room = 12;
    for request in 0..room {
        assert!(server_of(&core.arrive(call(request, 100, true), ms(0))).is_some());
    }
    let mut low = call(100, 100, true);
    low.tier = 3;
    assert!(core.arrive(low, ms(1)).is_empty());
    let mut high = call(101, 100, true);
    high.tier = 0;
    assert!(core.arrive(high, ms(2)).is_empty());
    let actions = core.finish(0, ms(3));
    assert!(matches!(actions[..], [RouteAction::Dispatch { request: 101, .. }]));
}

#[test]
fn a_request_that_waited_too_long_is_refused_with_a_retry_after_time() {
    let mut core = core_with(1);
    for request in 0..12 {
        core.arrive(call(request, 100, true), ms(0));
    }
    let mut late = call(100, 100, true);
    late.give_up = ms(300);
    core.arrive(late, ms(1));
    assert!(core.tick(ms(299)).is_empty());
    let actions = core.tick(ms(301));
    let [RouteAction::Refuse { request: 100, reason, retry_after, .. }] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*reason, RefusalCause::TooLate);
    assert!(*retry_after >= ms(100));
}

/// An event of a random sequence.
#[derive(Debug, Clone)]
enum RouterEvent {
    Arrive { repeatable: bool, tokens: u32, tier: u8 },
    Data(usize),
    Finish(usize),
    Fail(usize, RouteFault),
    Cancel(usize),
    SetServers(Vec<bool>),
    Advance(u64),
}

fn router_event() -> impl Strategy<Value = RouterEvent> {
    let fault = prop_oneof![
        Just(RouteFault::Unreachable),
        Just(RouteFault::Full),
        Just(RouteFault::Replaced),
        Just(RouteFault::Broken),
        Just(RouteFault::Failed),
        Just(RouteFault::Silent),
    ];
    prop_oneof![
        4 => (any::<bool>(), 0u32..20_000, 0u8..4).prop_map(|(repeatable, tokens, tier)| {
            RouterEvent::Arrive { repeatable, tokens, tier }
        }),
        2 => (0usize..64).prop_map(RouterEvent::Data),
        2 => (0usize..64).prop_map(RouterEvent::Finish),
        2 => (0usize..64, fault).prop_map(|(index, fault)| RouterEvent::Fail(index, fault)),
        1 => (0usize..64).prop_map(RouterEvent::Cancel),
        1 => prop::collection::vec(any::<bool>(), 4).prop_map(RouterEvent::SetServers),
        2 => (0u64..3000).prop_map(RouterEvent::Advance),
    ]
}

/// What the test expects of a request.
#[derive(Debug, Default, Clone)]
struct TrackedRequest {
    repeatable: bool,
    may_have_run: u32,
    running: bool,
    finished: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, ..ProptestConfig::default() })]

    /// For any sequence of events: nothing is dispatched to a leaving server, a request
    /// that may have run and isn't repeatable is not dispatched again, no request is
    /// dispatched twice at a time, and none is lost.
    #[test]
    fn the_router_keeps_its_invariants(events in prop::collection::vec(router_event(), 1..120)) {
        let mut core = core_with(4);
        let mut tracked: BTreeMap<RequestId, TrackedRequest> = BTreeMap::new();
        let mut leaving = [false; 4];
        let mut now = ms(0);
        let mut next = 0;
        for event in events {
            let running: Vec<RequestId> = tracked
                .iter()
                .filter(|(_, request)| request.running)
                .map(|(request, _)| *request)
                .collect();
            let pick = |index: usize| running.get(index % running.len().max(1)).copied();
            let actions = match event {
                RouterEvent::Arrive { repeatable, tokens, tier } => {
                    next += 1;
                    tracked.insert(next, TrackedRequest { repeatable, ..TrackedRequest::default() });
                    let mut route_call = call(next, tokens, repeatable);
                    route_call.tier = tier;
                    route_call.give_up = now + ms(2000);
                    core.arrive(route_call, now)
                }
                RouterEvent::Data(index) => {
                    if let Some(request) = pick(index) {
                        core.record_response_data(request, now);
                    }
                    vec![]
                }
                RouterEvent::Finish(index) => match pick(index) {
                    Some(request) => {
                        let known = tracked.get_mut(&request).unwrap();
                        (known.running, known.finished) = (false, true);
                        core.finish(request, now)
                    }
                    None => vec![],
                },
                RouterEvent::Cancel(index) => match pick(index) {
                    Some(request) => {
                        let known = tracked.get_mut(&request).unwrap();
                        (known.running, known.finished) = (false, true);
                        core.cancel(request, now)
                    }
                    None => vec![],
                },
                RouterEvent::Fail(index, fault) => match pick(index) {
                    Some(request) => {
                        let known = tracked.get_mut(&request).unwrap();
                        known.running = false;
                        known.may_have_run += u32::from(!fault.not_run());
                        let (decision, actions) = core.fail(request, fault, false, now);
                        known.finished = decision == RetryDecision::Stop;
                        actions
                    }
                    None => vec![],
                },
                RouterEvent::SetServers(states) => {
                    let servers = (0..4).map(|id| {
                        let mut server = engine(id);
                        server.leaving = states[id as usize];
                        server
                    });
                    let servers: Vec<RoutedServer> = servers.collect();
                    for (id, state) in states.iter().enumerate() {
                        leaving[id] = *state;
                    }
                    core.set_servers(POOL, &servers, now)
                }
                RouterEvent::Advance(millis) => {
                    now += ms(millis);
                    core.tick(now)
                }
            };
            for action in actions {
                match action {
                    RouteAction::Dispatch { request, choice, .. } => {
                        let known = tracked.get_mut(&request).unwrap();
                        prop_assert!(!leaving[choice.server as usize], "dispatched to a leaving server");
                        prop_assert!(!known.running && !known.finished, "{request} was dispatched twice");
                        prop_assert!(known.repeatable || known.may_have_run == 0);
                        prop_assert!(known.may_have_run < 2, "runs on too many servers");
                        known.running = true;
                    }
                    RouteAction::Refuse { request, .. } => {
                        let known = tracked.get_mut(&request).unwrap();
                        prop_assert!(!known.running && !known.finished);
                        known.finished = true;
                    }
                }
            }
            let open = tracked.values().filter(|request| !request.finished).count();
            prop_assert_eq!(core.open_calls(), open, "a request was lost");
        }
        // Given enough time, all waiting requests are dispatched or refused.
        let servers: Vec<RoutedServer> = (0..4).map(engine).collect();
        core.set_servers(POOL, &servers, now);
        core.tick(now + ms(60_000));
        prop_assert!(!core.has_waiting_requests());
    }
}

#[test]
fn each_health_change_is_reported_once() {
    let mut core = core_with(2);
    assert_eq!(core.health_changes(ms(0)), []);
    let server = server_of(&core.arrive(call(1, 100, true), ms(0))).unwrap();
    core.fail(1, RouteFault::Unreachable, false, ms(10));
    let changes = core.health_changes(ms(20));
    assert_eq!(
        (changes.len(), changes[0].server, changes[0].healthy),
        (1, server, false)
    );
    assert_eq!(core.health_changes(ms(30)), []);
    core.cancel(1, ms(40));
    let changes = core.health_changes(ms(5000));
    assert_eq!((changes.len(), changes[0].server, changes[0].healthy), (1, server, true));
}

#[test]
fn a_cancelled_request_does_not_count_against_its_server() {
    let mut core = core_with(1);
    core.arrive(call(1, 100, true), ms(0));
    core.cancel(1, ms(100));
    assert_eq!(core.health_changes(ms(10_000)), [], "no request has been waiting since");
}

#[test]
fn a_slow_server_is_not_sent_requests_that_would_be_late() {
    let mut core = core_with(1);
    let mut now = ms(0);
    for request in 0..10 {
        // Once a low rate has been measured, the later prompts may be refused.
        assert!(
            server_of(&core.arrive(call(request, 12_000, false), now)).is_some()
                || request > 0
        );
        now += ms(2000);
        core.record_response_data(request, now);
        core.finish(request, now);
    }
    // The measured rate is six tokens per millisecond, so 12,000 tokens take two seconds.
    // The target is half a second.
    let actions = core.arrive(call(100, 12_000, false), now);
    let [RouteAction::Refuse { reason, expected: Some(expected), .. }] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*reason, RefusalCause::TooLate);
    assert!(*expected > ms(500), "{expected:?}");
    // A short prompt is still accepted, and so is a long one once the measurements are
    // old.
    assert!(server_of(&core.arrive(call(101, 500, false), now)).is_some());
    core.finish(101, now);
    let later = now + ms(30_000);
    assert!(server_of(&core.arrive(call(102, 12_000, false), later)).is_some());
}
