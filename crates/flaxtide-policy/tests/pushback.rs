//! The router obeys what servers state: when it chooses a server, and in the check before
//! each write.

mod common;

use std::sync::Arc;
use std::time::Duration;

use flaxtide_policy::{
    GroupMember, InstanceGroup, RefusalCause, RequestRate, RetryDecision, RouteAction,
    RouteCall, RouteCore, RouteFault, RouteOptions, ServerStatement, StatedRate,
};

use self::common::{POOL, call, core_with, engine, ms, server_of};

/// Creates a statement of a rate in requests a second.
fn limited(requests: f64) -> ServerStatement {
    let rate = RequestRate::from_per_second(requests).unwrap();
    ServerStatement {
        rate: StatedRate::Limited(rate),
        ..ServerStatement::default()
    }
}

/// Creates a statement that asks for a backoff.
fn backoff(millis: u64) -> ServerStatement {
    ServerStatement {
        backoff: Some(ms(millis)),
        ..ServerStatement::default()
    }
}

/// Creates the statement of a response that states nothing.
fn no_statement() -> ServerStatement {
    ServerStatement::default()
}

/// Creates a group of a single instance.
fn alone() -> Arc<InstanceGroup> {
    let own = GroupMember { instance: 1, data_centre: 0 };
    Arc::new(InstanceGroup {
        own,
        members: vec![own],
        other_data_centres: vec![],
    })
}

/// Creates a core of a single instance.
fn core_alone(servers: u32) -> RouteCore {
    let mut core = core_with(servers);
    core.set_group(alone(), ms(0));
    core
}

/// Sends `count` requests and returns how many are dispatched. Each of these is answered
/// at once.
fn count_sent(core: &mut RouteCore, first: u64, count: u64, now: Duration) -> usize {
    let mut sent = 0;
    for request in first..first + count {
        let arrival = RouteCall { give_up: now + ms(1), ..call(request, 100, true) };
        let actions = core.arrive(arrival, now);
        if server_of(&actions).is_some() && core.permit_send(request, now) {
            sent += 1;
            core.finish(request, now);
        }
        core.tick(now + ms(1));
    }
    sent
}

/// A server may state something while a request waits for its connection, after the
/// server was chosen.
#[test]
fn a_change_between_the_choice_of_a_server_and_the_write_is_obeyed() {
    for change in ["backoff", "rate", "leaving", "unlisted"] {
        let mut core = core_alone(1);
        let server = server_of(&core.arrive(call(1, 100, true), ms(0))).unwrap();
        assert!(core.permit_send(1, ms(0)));
        let now = ms(5);
        match change {
            "backoff" => _ = core.record_statement(server, backoff(1000), ms(1), now),
            "rate" => _ = core.record_statement(server, limited(0.5), ms(1), now),
            "leaving" => {
                let mut left = engine(server);
                left.leaving = true;
                core.set_servers(POOL, &[left], now);
            }
            _ => _ = core.set_servers(POOL, &[], now),
        }
        assert!(!core.permit_send(1, now), "{change}");
        // The request goes to another server, which isn't charged to the retry budget.
        core.set_servers(POOL, &[engine(server), engine(server + 1)], now);
        let (verdict, actions) = core.fail(1, RouteFault::Withheld, false, now);
        assert_eq!(verdict, RetryDecision::Retry, "{change}");
        assert_eq!(server_of(&actions), Some(server + 1), "{change}");
    }
}

#[test]
fn a_request_takes_one_token_of_a_rate() {
    let mut core = core_alone(1);
    core.record_statement(0, limited(1.0), ms(0), ms(1));
    let now = ms(1001);
    assert!(server_of(&core.arrive(call(1, 100, true), now)).is_some());
    // A request is written again if its kept connection turns out to be closed.
    assert!(core.permit_send(1, now));
    assert!(core.permit_send(1, now));
    assert_eq!(count_sent(&mut core, 2, 5, now), 0);
    assert_eq!(count_sent(&mut core, 10, 5, now + ms(1000)), 1);
}

#[test]
fn tokens_saved_while_idle_allow_no_burst() {
    let mut core = core_alone(1);
    core.record_statement(0, limited(2.0), ms(0), ms(1));
    assert_eq!(count_sent(&mut core, 1, 20, ms(60_000)), 1);
}

/// A response that was made before the newest statement may arrive after it.
#[test]
fn a_response_to_an_older_request_does_not_raise_a_rate() {
    let cases = [
        // statement of the late response, when its request was sent, rate in force
        // afterwards
        (no_statement(), ms(90), Some(1.0)),
        (limited(5.0), ms(90), Some(1.0)),
        (limited(0.5), ms(90), Some(0.5)),
        (no_statement(), ms(110), None),
        (limited(5.0), ms(110), Some(5.0)),
    ];
    for (statement, sent, expected) in cases {
        let mut core = core_alone(1);
        core.record_statement(0, limited(1.0), ms(50), ms(100));
        core.record_statement(0, statement, sent, ms(150));
        let (rate, _) = core.stated_rate(0).unwrap();
        assert_eq!(rate.map(RequestRate::per_second), expected, "{statement:?}");
    }
}

#[test]
fn an_unreadable_or_missing_rate_changes_nothing() {
    let mut core = core_alone(1);
    core.record_statement(0, limited(1.0), ms(50), ms(100));
    for rate in [StatedRate::Unreadable, StatedRate::Unstated] {
        let unread = ServerStatement { rate, ..no_statement() };
        assert_eq!(core.record_statement(0, unread, ms(110), ms(150)), None);
        assert!(core.stated_rate(0).unwrap().0.is_some());
    }
}

#[test]
fn a_statement_outlives_a_gap_in_the_server_list() {
    let mut core = core_alone(2);
    core.record_statement(0, limited(1.0), ms(0), ms(1));
    core.record_statement(1, backoff(30_000), ms(0), ms(1));
    core.set_servers(POOL, &[], ms(10));
    core.set_servers(POOL, &[engine(0), engine(1)], ms(20));
    core.set_group(alone(), ms(20));
    assert_eq!(count_sent(&mut core, 1, 20, ms(5000)), 1);
}

#[test]
fn no_response_shortens_a_backoff() {
    let mut core = core_alone(1);
    core.arrive(call(1, 100, true), ms(0));
    core.record_statement(0, backoff(2000), ms(0), ms(10));
    // A response in flight ends without a fault, and another one asks for a shorter
    // backoff.
    core.record_statement(0, no_statement(), ms(5), ms(20));
    core.finish(1, ms(20));
    core.record_statement(0, backoff(100), ms(15), ms(30));
    assert_eq!(count_sent(&mut core, 2, 5, ms(2005)), 0);
    assert_eq!(count_sent(&mut core, 10, 5, ms(2010)), 5);
}

#[test]
fn a_backoff_is_capped() {
    let longest = RouteOptions::default().longest_rest;
    let mut core = core_alone(1);
    core.record_statement(0, backoff(1000 * 60 * 60 * 24 * 365), ms(0), ms(0));
    assert_eq!(count_sent(&mut core, 1, 5, longest - ms(1)), 0);
    assert_eq!(count_sent(&mut core, 10, 5, longest), 5);
}

#[test]
fn while_all_servers_back_off_callers_are_refused_at_once_with_the_earliest_end() {
    let mut core = core_alone(2);
    core.record_statement(0, backoff(3000), ms(0), ms(0));
    core.record_statement(1, backoff(2000), ms(0), ms(0));
    let arrival = RouteCall { give_up: ms(250), ..call(1, 100, true) };
    let actions = core.arrive(arrival, ms(0));
    let [RouteAction::Refuse { reason, retry_after, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*reason, RefusalCause::NoServer);
    assert!((ms(2000)..=ms(2500)).contains(retry_after), "{retry_after:?}");
    // A request waits for a server whose backoff ends before the request is given up.
    let arrival = RouteCall { give_up: ms(2050), ..call(2, 100, true) };
    assert!(core.arrive(arrival, ms(1900)).is_empty());
    assert_eq!(server_of(&core.tick(ms(2000))), Some(1));
}

#[test]
fn a_request_refused_by_one_server_is_not_retried_at_others_that_back_off() {
    let mut core = core_alone(3);
    for server in 0..3 {
        core.record_statement(server, backoff(500_000), ms(0), ms(0));
    }
    core.set_servers(POOL, &[engine(0), engine(1), engine(2), engine(3)], ms(1));
    let arrival = RouteCall { deadline: ms(1000), ..call(1, 100, true) };
    assert_eq!(server_of(&core.arrive(arrival, ms(1))), Some(3));
    let (verdict, _) = core.fail(1, RouteFault::Full, false, ms(2));
    assert_eq!(verdict, RetryDecision::Stop);
}

/// An instance that was frozen sees no live peers for a moment and would take the whole
/// rate.
#[test]
fn a_larger_share_of_a_rate_is_used_after_a_delay_and_a_smaller_one_at_once() {
    let member = |instance| GroupMember { instance, data_centre: 0 };
    let group = |members: u32| {
        let members = (1..=members).map(member).collect();
        Arc::new(InstanceGroup {
            own: member(1),
            members,
            other_data_centres: vec![],
        })
    };
    let mut core = core_with(1);
    core.set_group(group(2), ms(0));
    core.record_statement(0, limited(100.0), ms(0), ms(0));
    let sent_in_a_second = |core: &mut RouteCore, members, from: u64| -> usize {
        let steps = (0..100u64).map(|step| {
            let now = ms(from + step * 10);
            core.set_group(group(members), now);
            count_sent(core, from * 100 + step * 10, 10, now)
        });
        steps.sum()
    };
    assert!(sent_in_a_second(&mut core, 2, 1000) <= 63);
    assert!(sent_in_a_second(&mut core, 1, 2000) <= 63, "it grew at once");
    let grown = sent_in_a_second(&mut core, 1, 5000);
    assert!((90..=125).contains(&grown), "{grown}");
    assert!(sent_in_a_second(&mut core, 2, 6000) <= 76, "it didn't shrink");
}
