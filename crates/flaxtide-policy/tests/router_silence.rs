//! Silent servers: when requests on them are aborted, and how silence is reported.

mod common;

use flaxtide_policy::{HealthCause, RetryDecision, RouteAction, RouteCall, RouteFault};

use self::common::{call, core_with, ms, server_of};

#[test]
fn a_request_on_a_silent_server_is_aborted_only_if_a_retry_is_granted() {
    let mut core = core_with(1);
    core.arrive(call(1, 100, true), ms(0));
    // There is no other server, so the request stays and may still be answered.
    assert!(!core.may_abort_silent(1, false, ms(3000)));
    assert!(core.finish(1, ms(3100)).is_empty());

    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0)));
    assert!(core.may_abort_silent(1, false, ms(3000)));
    let (decision, actions) = core.fail(1, RouteFault::Silent, false, ms(3000));
    assert_eq!(decision, RetryDecision::Retry);
    assert_ne!(server_of(&actions), first);
}

#[test]
fn a_granted_retry_is_charged_once() {
    let mut core = core_with(2);
    core.set_instances(8, true);
    let mut granted = 0;
    for request in 0..200 {
        core.arrive(call(request, 100, true), ms(13_000));
        if core.may_abort_silent(request, false, ms(16_000)) {
            assert_eq!(
                core.fail(request, RouteFault::Silent, false, ms(16_000)).0,
                RetryDecision::Retry
            );
            granted += 1;
        }
        core.cancel(request, ms(16_000));
    }
    // 0.7 of the budget: a fifth of 200 requests, and an eighth of the allowance of 50.
    // `fail` alone would grant as many.
    assert_eq!(granted, 32);
}

#[test]
fn a_server_that_responds_to_others_keeps_its_requests() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 6000, true), ms(0)));
    let mut other = 2;
    while server_of(&core.arrive(call(other, 100, true), ms(10))) != first {
        other += 1;
    }
    core.record_response_data(other, ms(2900));
    assert!(
        !core.may_abort_silent(1, false, ms(3000)),
        "the server has responded to another request since"
    );
    assert!(
        core.may_abort_silent(1, false, ms(9000)),
        "the server has sent nothing for a long time"
    );
}

#[test]
fn a_silent_server_gets_no_new_requests_although_its_request_stays() {
    let mut core = core_with(2);
    let mut route_call = call(1, 100, true);
    route_call.run_limit = 1;
    let first = server_of(&core.arrive(route_call, ms(0)));
    assert!(
        !core.may_abort_silent(1, false, ms(3000)),
        "the request may run on one server only"
    );
    assert_eq!(core.silent_servers(ms(3000)), first.into_iter().collect::<Vec<_>>());
    for request in 2..5 {
        assert_ne!(server_of(&core.arrive(call(request, 100, true), ms(3001))), first);
    }
}

#[test]
fn a_server_that_a_peer_reported_silent_gets_no_requests_for_a_while() {
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
fn silence_reports_do_not_count_against_a_server_that_has_just_responded() {
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
fn silence_reports_of_peers_are_not_passed_on() {
    let mut core = core_with(3);
    core.record_silence_reports(&[2], ms(0));
    assert!(core.silent_servers(ms(1)).is_empty());
    let server = server_of(&core.arrive(call(1, 100, false), ms(10))).unwrap();
    core.fail(1, RouteFault::Unreachable, false, ms(110));
    assert_eq!(core.silent_servers(ms(120)), [server]);
    assert!(core.silent_servers(ms(2000)).is_empty(), "old reports expire");
}

#[test]
fn a_request_that_reached_no_server_is_retried_without_charge() {
    let mut core = core_with(30);
    let route_call = call(1, 100, false);
    core.arrive(route_call, ms(0));
    for _ in 0..3 {
        let (decision, _) = core.fail(1, RouteFault::Unreachable, false, ms(1));
        assert_eq!(decision, RetryDecision::Retry);
    }
    assert_eq!(
        core.fail(1, RouteFault::Unreachable, false, ms(1)).0,
        RetryDecision::Stop
    );
    // A newly started instance has two additional retries, and both are left.
    for request in 2..4 {
        core.arrive(call(request, 100, false), ms(2));
        assert_eq!(
            core.fail(request, RouteFault::Full, false, ms(2)).0,
            RetryDecision::Retry
        );
    }
}

#[test]
fn a_stall_does_not_count_as_silence_of_servers() {
    let mut core = core_with(2);
    let first = server_of(&core.arrive(call(1, 100, true), ms(0)));
    core.record_response_data(1, ms(100));
    core.discount_stall(ms(5000), ms(5200));
    assert!(core.silent_servers(ms(5200)).is_empty());
    // Both servers may get requests.
    let second = server_of(&core.arrive(call(2, 100, true), ms(5200)));
    let third = server_of(&core.arrive(call(3, 100, true), ms(5200)));
    assert!([second, third].contains(&first));
    // After the stall, silence counts as usual.
    assert_eq!(core.silent_servers(ms(6200)), first.into_iter().collect::<Vec<_>>());
}

#[test]
fn a_stall_does_not_count_as_prefill_time() {
    let expected_after = |stall: u64| {
        let slow_call =
            |request| RouteCall { target: ms(5000), ..call(request, 20_000, true) };
        let mut core = core_with(1);
        core.arrive(slow_call(1), ms(0));
        core.discount_stall(ms(stall), ms(600 + stall));
        core.record_response_data(1, ms(700 + stall));
        core.finish(1, ms(800 + stall));
        let actions = core.arrive(slow_call(2), ms(800 + stall));
        match &actions[..] {
            [RouteAction::Dispatch { choice, .. }] => choice.expected,
            other => panic!("not sent: {other:?}"),
        }
    };
    assert_eq!(expected_after(4000), expected_after(0));
}

#[test]
fn changes_of_health_state_their_cause() {
    let causes = |silence: u64, report: bool, fault: Option<RouteFault>| {
        let mut core = core_with(1);
        core.arrive(call(1, 100, true), ms(0));
        core.record_response_data(1, ms(10));
        if report {
            core.record_silence_reports(&[0], ms(silence));
        }
        if let Some(fault) = fault {
            core.fail_without_retry(1, fault, ms(silence));
        }
        let changes = core.health_changes(ms(silence + 1));
        changes.into_iter().map(|change| change.cause).collect::<Vec<_>>()
    };
    assert!(causes(100, false, None).is_empty());
    assert_eq!(causes(600, false, None), [Some(HealthCause::Silence)]);
    assert_eq!(causes(400, true, None), [Some(HealthCause::PeerReport)]);
    let fault = Some(RouteFault::Unreachable);
    assert_eq!(causes(100, false, fault), [Some(HealthCause::Fault)]);
}
