//! Requests whose server is silent: when they are broken off there.

mod common;

use flaxtide_policy::{RetryDecision, RouteAction, RouteCall, RouteFault};

use self::common::{call, core_with, ms, server_of};

#[test]
fn a_silent_request_is_broken_off_only_if_another_try_is_granted() {
    let mut core = core_with(1);
    core.arrive(call(1, 100, true), ms(0));
    // No other server is there: the request stays, and may still be answered.
    assert!(!core.may_abort_silent(1, false, ms(3000)));
    assert!(core.finish(1, ms(3100)).is_empty());

    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0)));
    assert!(core.may_abort_silent(1, false, ms(3000)));
    let (verdict, actions) = core.fail(1, RouteFault::Silent, false, ms(3000));
    assert_eq!(verdict, RetryDecision::Retry);
    assert_ne!(server_of(&actions), first);
}

#[test]
fn a_try_that_is_granted_is_paid_for_once() {
    let mut core = core_with(2);
    let mut granted = 0;
    for request in 0..200 {
        core.arrive(call(request, 100, true), ms(3000));
        if core.may_abort_silent(request, false, ms(6000)) {
            assert_eq!(
                core.fail(request, RouteFault::Silent, false, ms(6000)).0,
                RetryDecision::Retry
            );
            granted += 1;
        }
        core.cancel(request, ms(6000));
    }
    // 0.7 of a fifth of 200 and of an eighth of 50: what `fail` alone would grant.
    assert_eq!(granted, 32);
}

#[test]
fn a_server_that_answers_others_is_busy_and_keeps_its_requests() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 6000, true), ms(0)));
    let mut other = 2;
    while server_of(&core.arrive(call(other, 100, true), ms(10))) != first {
        other += 1;
    }
    core.record_response_data(other, ms(2900));
    assert!(!core.may_abort_silent(1, false, ms(3000)), "it has answered another since");
    assert!(core.may_abort_silent(1, false, ms(9000)), "nothing has come for long");
}

#[test]
fn a_silent_server_gets_no_more_work_though_its_request_stays() {
    let mut core = core_with(2);
    let mut order = call(1, 100, true);
    order.run_limit = 1;
    let first = server_of(&core.arrive(order, ms(0)));
    assert!(!core.may_abort_silent(1, false, ms(3000)), "it may run on one server only");
    assert_eq!(core.silent_servers(ms(3000)), first.into_iter().collect::<Vec<_>>());
    for request in 2..5 {
        assert_ne!(server_of(&core.arrive(call(request, 100, true), ms(3001))), first);
    }
}

#[test]
fn a_server_that_a_peer_found_silent_gets_no_work_for_a_while() {
    let mut core = core_with(2);
    core.record_silence_reports(&[0], ms(1000));
    for request in 0..4 {
        assert_eq!(server_of(&core.arrive(call(request, 100, true), ms(1001))), Some(1));
    }
    let mut later = (10..14)
        .map(|request| server_of(&core.arrive(call(request, 100, true), ms(1600))));
    assert!(later.any(|server| server == Some(0)));
}

#[test]
fn a_server_that_answers_here_is_used_whatever_peers_say() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0))).unwrap();
    core.record_response_data(1, ms(990));
    core.finish(1, ms(995));
    core.record_silence_reports(&[first], ms(1000));
    let mut servers =
        (2..6).map(|request| server_of(&core.arrive(call(request, 100, true), ms(1001))));
    assert!(servers.any(|server| server == Some(first)));
}

#[test]
fn peers_are_told_of_what_this_instance_found_and_of_no_rumour() {
    let mut core = core_with(3);
    core.record_silence_reports(&[2], ms(0));
    assert!(core.silent_servers(ms(1)).is_empty());
    let server = server_of(&core.arrive(call(1, 100, false), ms(10))).unwrap();
    core.fail(1, RouteFault::Unreachable, false, ms(110));
    assert_eq!(core.silent_servers(ms(120)), [server]);
    assert!(core.silent_servers(ms(2000)).is_empty(), "old finds are forgotten");
}

#[test]
fn a_request_that_reached_no_server_costs_no_repeat() {
    let mut core = core_with(30);
    let order = call(1, 100, false);
    core.arrive(order, ms(0));
    for _ in 0..3 {
        let (verdict, _) = core.fail(1, RouteFault::Unreachable, false, ms(1));
        assert_eq!(verdict, RetryDecision::Retry);
    }
    assert_eq!(
        core.fail(1, RouteFault::Unreachable, false, ms(1)).0,
        RetryDecision::Stop
    );
    // Just started, an instance has two free repeats; they are all left.
    for request in 2..4 {
        core.arrive(call(request, 100, false), ms(2));
        assert_eq!(
            core.fail(request, RouteFault::Full, false, ms(2)).0,
            RetryDecision::Retry
        );
    }
}

#[test]
fn servers_are_not_silent_for_the_time_in_which_the_instance_stood_still() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0)));
    core.record_response_data(1, ms(100));
    core.discount_stall(ms(5000), ms(5200));
    assert!(core.silent_servers(ms(5200)).is_empty());
    // Both servers may get work.
    let second = server_of(&core.arrive(call(2, 100, true), ms(5200)));
    let third = server_of(&core.arrive(call(3, 100, true), ms(5200)));
    assert!([second, third].contains(&first));
    // From there on silence counts as ever.
    assert_eq!(core.silent_servers(ms(6200)), first.into_iter().collect::<Vec<_>>());
}

#[test]
fn a_standstill_does_not_count_as_time_that_a_server_took() {
    let expected_after = |standstill: u64| {
        let patient =
            |request| RouteCall { target: ms(5000), ..call(request, 20_000, true) };
        let mut core = core_with(1);
        core.arrive(patient(1), ms(0));
        core.discount_stall(ms(standstill), ms(600 + standstill));
        core.record_response_data(1, ms(700 + standstill));
        core.finish(1, ms(800 + standstill));
        let actions = core.arrive(patient(2), ms(800 + standstill));
        match &actions[..] {
            [RouteAction::Dispatch { choice, .. }] => choice.expected,
            other => panic!("not sent: {other:?}"),
        }
    };
    assert_eq!(expected_after(4000), expected_after(0));
}
