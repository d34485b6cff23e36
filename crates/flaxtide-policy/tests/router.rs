//! The router: which server gets a request, and when one is tried again.

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
fn a_leaving_server_gets_nothing() {
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
fn a_failed_request_goes_elsewhere_only_if_that_is_right() {
    // fault, may be repeated, whether it is tried again
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
        let (verdict, actions) = core.fail(1, fault, false, ms(10));
        assert_eq!(verdict, expected, "{fault:?}, repeatable: {repeatable}");
        if verdict == RetryDecision::Retry {
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
fn repeats_stay_within_the_budget_of_all_instances() {
    let options = RouteOptions::default();
    let instances = options.assumed_instances;
    let mut core = core_with(3);
    let mut repeats = 0;
    for request in 0..400 {
        core.arrive(call(request, 100, true), ms(request));
        if core.fail(request, RouteFault::Full, false, ms(request)).0
            == RetryDecision::Retry
        {
            repeats += 1;
            core.cancel(request, ms(request));
        }
    }
    let allowed =
        options.retry_ratio * 400.0 + options.retry_slack / f64::from(instances);
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
    assert!(repeats > 20, "the budget is of use: {repeats}");
}

#[test]
fn a_large_fleet_that_starts_at_once_stays_within_the_budget() {
    const INSTANCES: u32 = 84;
    let options = RouteOptions { retry_slack: 208.0, ..RouteOptions::default() };
    let (mut requests, mut repeats) = (0, 0);
    for _ in 0..INSTANCES {
        // No peer has been heard yet.
        let mut core = RouteCore::new(options.clone());
        let servers: Vec<RoutedServer> = (0..3).map(engine).collect();
        core.set_servers(POOL, &servers, ms(0));
        for request in 0..20 {
            let now = ms(request * 100);
            core.arrive(call(request, 100, true), now);
            requests += 1;
            if core.fail(request, RouteFault::Full, false, now).0 == RetryDecision::Retry
            {
                repeats += 1;
                core.cancel(request, now);
            }
        }
    }
    let allowed = options.retry_ratio * f64::from(requests) + options.retry_slack;
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
}

#[test]
fn a_silent_server_with_streams_gets_no_more_work() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0))).unwrap();
    core.record_response_data(1, ms(20));
    // Nothing has come for a second, though a stream is under way there.
    for request in 2..6 {
        let actions = core.arrive(call(request, 100, true), ms(1020));
        assert_ne!(server_of(&actions), Some(first));
    }
}

#[test]
fn a_server_that_only_reads_prompts_may_be_silent() {
    let mut core = core_with(1);
    core.arrive(call(1, 12_000, false), ms(0));
    let actions = core.arrive(call(2, 100, true), ms(900));
    assert_eq!(server_of(&actions), Some(0));
}

#[test]
fn a_busy_moment_elsewhere_is_seen_through_peers() {
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
    // Its word has expired, and nothing else is known.
    let mut seen = BTreeSet::new();
    for request in 10..14 {
        seen.extend(server_of(&core.arrive(call(request, 100, true), ms(5000))));
    }
    assert!(seen.contains(&0));
}

#[test]
fn prompts_with_the_same_parts_go_where_they_were_read() {
    let mut core = core_with(6);
    let shared = PromptPart { key: 77, tokens: 2000 };
    let mut servers = BTreeMap::new();
    for request in 0..12u64 {
        let mut order = call(request, 2100, true);
        let own = PromptPart { key: 1000 + request, tokens: 100 };
        order.prompt.parts = vec![shared, own];
        let now = ms(request * 400);
        let server = server_of(&core.arrive(order, now)).unwrap();
        core.record_response_data(request, now + ms(40));
        core.finish(request, now + ms(100));
        *servers.entry(server).or_insert(0) += 1;
    }
    assert_eq!(servers.len(), 1, "{servers:?}");
}

/// Returns how many engines long prompts are spread over while a peer has so many short ones
/// at each. Twenty come at once; engines are given for those that are there up to a fill, or
/// never for 0.
fn engines_of_long_prompts(short_at_each: u32, long_fill: f64) -> usize {
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
        let mut order = call(request, 12_000, true);
        // Time enough to wait for others: tight targets are told apart in router_lanes.
        order.target = ms(2000);
        let actions = core.arrive(order, ms(request * 20));
        engines.extend(server_of(&actions));
    }
    engines.len()
}

#[test]
fn long_prompts_leave_more_engines_while_short_ones_are_many() {
    assert_eq!(engines_of_long_prompts(1, 0.0), 6);
    assert_eq!(engines_of_long_prompts(2, 0.0), 5);
    assert_eq!(engines_of_long_prompts(3, 0.0), 3, "they keep a third");
}

#[test]
fn long_prompts_get_engines_for_those_that_are_there() {
    let fill = RouteOptions::default().long_fill;
    assert_eq!(engines_of_long_prompts(1, fill), 6);
    assert_eq!(engines_of_long_prompts(2, fill), 5);
    assert_eq!(engines_of_long_prompts(3, fill), 4, "20 are too many for three engines");
    assert_eq!(
        engines_of_long_prompts(5, fill),
        3,
        "short ones leave no more than a third"
    );
}

#[test]
fn long_prompts_leave_engines_to_short_ones() {
    let mut core = core_with(10);
    let (mut long, mut short) = (BTreeSet::new(), BTreeSet::new());
    for request in 0..20u64 {
        let now = ms(request * 50);
        long.extend(server_of(&core.arrive(call(request * 2, 12_000, true), now)));
        short.extend(server_of(&core.arrive(call(request * 2 + 1, 400, true), now)));
    }
    // The first of each came before the other kind had been seen.
    assert!(long.intersection(&short).count() <= 1, "{long:?} {short:?}");
}

#[test]
fn requests_wait_in_the_order_of_tiers_while_servers_are_full() {
    let mut core = core_with(1);
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
fn a_request_that_waited_too_long_is_refused_with_a_time_to_come_back() {
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

/// What may happen to a request, for random days.
#[derive(Debug, Clone)]
enum Happening {
    Arrive { repeatable: bool, tokens: u32, tier: u8 },
    Hear(usize),
    Finish(usize),
    Fail(usize, RouteFault),
    Leave(usize),
    Servers(Vec<bool>),
    Pass(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
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
            Happening::Arrive { repeatable, tokens, tier }
        }),
        2 => (0usize..64).prop_map(Happening::Hear),
        2 => (0usize..64).prop_map(Happening::Finish),
        2 => (0usize..64, fault).prop_map(|(place, fault)| Happening::Fail(place, fault)),
        1 => (0usize..64).prop_map(Happening::Leave),
        1 => prop::collection::vec(any::<bool>(), 4).prop_map(Happening::Servers),
        2 => (0u64..3000).prop_map(Happening::Pass),
    ]
}

/// What a checker knows of a request.
#[derive(Debug, Default, Clone)]
struct Seen {
    repeatable: bool,
    may_have_run: u32,
    running: bool,
    over: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, ..ProptestConfig::default() })]

    /// Whatever happens: nothing is sent to a leaving server, nothing that may have run and
    /// may not be repeated is sent again, no request is decided about twice at a time, and
    /// none is lost.
    #[test]
    fn the_router_keeps_its_word(happenings in prop::collection::vec(happening(), 1..120)) {
        let mut core = core_with(4);
        let mut seen: BTreeMap<RequestId, Seen> = BTreeMap::new();
        let mut leaving = [false; 4];
        let mut now = ms(0);
        let mut next = 0;
        for happening in happenings {
            let running: Vec<RequestId> = seen
                .iter()
                .filter(|(_, seen)| seen.running)
                .map(|(request, _)| *request)
                .collect();
            let pick = |place: usize| running.get(place % running.len().max(1)).copied();
            let actions = match happening {
                Happening::Arrive { repeatable, tokens, tier } => {
                    next += 1;
                    seen.insert(next, Seen { repeatable, ..Seen::default() });
                    let mut order = call(next, tokens, repeatable);
                    order.tier = tier;
                    order.give_up = now + ms(2000);
                    core.arrive(order, now)
                }
                Happening::Hear(place) => {
                    if let Some(request) = pick(place) {
                        core.record_response_data(request, now);
                    }
                    vec![]
                }
                Happening::Finish(place) => match pick(place) {
                    Some(request) => {
                        let known = seen.get_mut(&request).unwrap();
                        (known.running, known.over) = (false, true);
                        core.finish(request, now)
                    }
                    None => vec![],
                },
                Happening::Leave(place) => match pick(place) {
                    Some(request) => {
                        let known = seen.get_mut(&request).unwrap();
                        (known.running, known.over) = (false, true);
                        core.cancel(request, now)
                    }
                    None => vec![],
                },
                Happening::Fail(place, fault) => match pick(place) {
                    Some(request) => {
                        let known = seen.get_mut(&request).unwrap();
                        known.running = false;
                        known.may_have_run += u32::from(!fault.not_run());
                        let (verdict, actions) = core.fail(request, fault, false, now);
                        known.over = verdict == RetryDecision::Stop;
                        actions
                    }
                    None => vec![],
                },
                Happening::Servers(states) => {
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
                Happening::Pass(millis) => {
                    now += ms(millis);
                    core.tick(now)
                }
            };
            for action in actions {
                match action {
                    RouteAction::Dispatch { request, choice, .. } => {
                        let known = seen.get_mut(&request).unwrap();
                        prop_assert!(!leaving[choice.server as usize], "sent to a leaving server");
                        prop_assert!(!known.running && !known.over, "decided twice: {request}");
                        prop_assert!(known.repeatable || known.may_have_run == 0);
                        prop_assert!(known.may_have_run < 2, "over its limit of servers");
                        known.running = true;
                    }
                    RouteAction::Refuse { request, .. } => {
                        let known = seen.get_mut(&request).unwrap();
                        prop_assert!(!known.running && !known.over);
                        known.over = true;
                    }
                }
            }
            let open = seen.values().filter(|seen| !seen.over).count();
            prop_assert_eq!(core.open_calls(), open, "a request is lost");
        }
        // Once there is time, everything that waits is sent or refused.
        let servers: Vec<RoutedServer> = (0..4).map(engine).collect();
        core.set_servers(POOL, &servers, now);
        core.tick(now + ms(60_000));
        prop_assert!(!core.has_waiting_requests());
    }
}

#[test]
fn what_is_believed_of_a_server_is_told_once() {
    let mut core = core_with(2);
    assert_eq!(core.health_changes(ms(0)), []);
    let server = server_of(&core.arrive(call(1, 100, true), ms(0))).unwrap();
    core.fail(1, RouteFault::Unreachable, false, ms(10));
    let notes = core.health_changes(ms(20));
    assert_eq!((notes.len(), notes[0].server, notes[0].healthy), (1, server, false));
    assert_eq!(core.health_changes(ms(30)), []);
    core.cancel(1, ms(40));
    let notes = core.health_changes(ms(5000));
    assert_eq!((notes.len(), notes[0].server, notes[0].healthy), (1, server, true));
}

#[test]
fn a_request_whose_caller_left_says_nothing_against_its_server() {
    let mut core = core_with(1);
    core.arrive(call(1, 100, true), ms(0));
    core.cancel(1, ms(100));
    assert_eq!(core.health_changes(ms(10_000)), [], "nobody has waited since");
}

#[test]
fn a_server_that_was_seen_to_read_slowly_is_not_given_what_would_come_late() {
    let mut core = core_with(1);
    let mut now = ms(0);
    for request in 0..10 {
        assert!(
            server_of(&core.arrive(call(request, 12_000, false), now)).is_some()
                || request > 0
        );
        now += ms(2000);
        core.record_response_data(request, now);
        core.finish(request, now);
    }
    // Six tokens a millisecond were seen: 12,000 take two seconds, the target is half of one.
    let actions = core.arrive(call(100, 12_000, false), now);
    let [RouteAction::Refuse { reason, expected: Some(expected), .. }] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*reason, RefusalCause::TooLate);
    assert!(*expected > ms(500), "{expected:?}");
    // A short prompt is still taken, and so is the long one once that is long ago.
    assert!(server_of(&core.arrive(call(101, 500, false), now)).is_some());
    core.finish(101, now);
    let later = now + ms(30_000);
    assert!(server_of(&core.arrive(call(102, 12_000, false), later)).is_some());
}
