//! An instance whose own path to the servers has failed: how it finds out, that it forwards
//! requests through peers, and what it tells them.

mod common;

use flaxtide_core::ServerId;
use flaxtide_policy::{
    ForwardPeer, PoolReach, RefusalCause, RetryDecision, RouteAction, RouteCall,
    RouteCore, RouteFault, RouteReason, RoutedServer,
};

use self::common::{POOL, call, core_with, engine, ms, server_of};

/// The peers, by identifier.
const NEAR: ServerId = 1000;
const FAR: ServerId = 1001;

/// What a peer that reaches all servers says.
const SOUND: PoolReach = PoolReach { reached: 6, failed: 0, untried: 0 };

/// What a peer that reaches none says.
const CUT: PoolReach = PoolReach { reached: 0, failed: 6, untried: 0 };

/// The reason for sending a request to a peer.
const FORWARDED: Option<RouteReason> = Some(RouteReason::Forwarded);

/// Returns a peer in the own data centre.
fn peer(peer: ServerId, reach: PoolReach) -> ForwardPeer {
    ForwardPeer { peer, local: peer == NEAR, reach }
}

/// Creates a core that has lately reached all of its six servers.
fn reaching() -> RouteCore {
    let mut core = core_with(6);
    for request in 0..60 {
        let at = ms(1000 + request * 5);
        core.arrive(call(request, 100, true), at);
        core.record_response_data(request, at + ms(2));
        core.finish(request, at + ms(4));
    }
    core.update_reach(ms(1400));
    assert!(!core.reach(POOL).is_doubtful());
    core
}

/// Creates a core whose path to all servers has failed at 1.5 s.
fn cut() -> RouteCore {
    let mut core = reaching();
    fail_servers(&mut core, 6);
    core.update_reach(ms(1500));
    assert!(core.reach(POOL).is_doubtful());
    core
}

/// Fails connections until so many servers have failed.
fn fail_servers(core: &mut RouteCore, count: u32) {
    let mut request = 100;
    while core.silent_servers(ms(1500)).len() < count as usize {
        if server_of(&core.arrive(call(request, 100, true), ms(1500))).is_some() {
            core.fail_without_retry(request, RouteFault::Unreachable, ms(1500));
        }
        request += 1;
        assert!(request < 1000, "the core doesn't send to all servers");
    }
}

/// Returns the choice of a core for a request, if it is sent.
fn choice(actions: &[RouteAction]) -> Option<(ServerId, RouteReason)> {
    actions.iter().find_map(|action| match action {
        RouteAction::Dispatch { choice, .. } => Some((choice.server, choice.reason)),
        RouteAction::Refuse { .. } => None,
    })
}

#[test]
fn servers_that_fail_beside_others_leave_the_path_sound() {
    let mut core = reaching();
    fail_servers(&mut core, 2);
    // All requests go to one server, so only probes tell how the others are.
    for request in 2000..2030 {
        let actions = core.arrive(call(request, 100, true), ms(1510));
        if server_of(&actions).is_some() {
            core.finish(request, ms(1520));
        }
    }
    assert!(core.update_reach(ms(1600)).is_empty());
    assert_eq!(core.reach(POOL).failed, 2);
    let probed = core.due_probes(ms(1600));
    assert_eq!(probed.len(), 2);
    for server in probed {
        core.record_probe(server, true, ms(1602));
    }
    assert!(core.update_reach(ms(1700)).is_empty());
    assert!(core.due_probes(ms(1700)).is_empty());
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND)], ms(1700));
    let actions = core.arrive(call(1, 100, true), ms(1700));
    assert_ne!(server_of(&actions), Some(NEAR));
}

#[test]
fn a_few_failures_are_followed_by_probes_of_other_servers() {
    let mut core = reaching();
    fail_servers(&mut core, 2);
    assert!(core.update_reach(ms(1510)).is_empty());
    for server in core.due_probes(ms(1510)) {
        core.record_probe(server, false, ms(1600));
    }
    assert!(core.update_reach(ms(1610))[0].reach.is_doubtful());
}

// Guards against requests being sent from one server that can't be reached to the next, and then
// refused, although peers reach the servers.
#[test]
fn requests_are_forwarded_while_no_server_is_reached() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND), peer(FAR, CUT)], ms(1500));
    for request in 0..20 {
        let actions = core.arrive(call(request, 100, false), ms(1510));
        assert_eq!(choice(&actions), Some((NEAR, RouteReason::Forwarded)), "{request}");
        assert!(core.permit_send(request, ms(1510)));
        assert!(core.finish(request, ms(1530)).is_empty());
    }
}

#[test]
fn nothing_is_forwarded_to_peers_that_reach_no_more() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, CUT), peer(FAR, CUT)], ms(1500));
    let actions = core.arrive(call(1, 100, true), ms(1510));
    assert!(choice(&actions).is_none_or(|(server, _)| server < NEAR));
}

#[test]
fn forwarded_requests_are_not_forwarded_again() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND)], ms(1500));
    let actions = core.arrive_forwarded(call(1, 100, true), ms(1510));
    let refused = |action: &RouteAction| {
        matches!(action, RouteAction::Refuse { reason: RefusalCause::NoServer, .. })
    };
    assert!(actions.iter().all(refused) && !actions.is_empty(), "{actions:?}");
}

#[test]
fn a_request_that_a_peer_cannot_take_goes_to_the_next() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND), peer(FAR, SOUND)], ms(1500));
    let actions = core.arrive(call(1, 100, false), ms(1510));
    assert_eq!(choice(&actions), Some((NEAR, RouteReason::Forwarded)));
    let (decision, actions) = core.fail(1, RouteFault::Unreachable, false, ms(1520));
    assert_eq!(decision, RetryDecision::Retry);
    assert_eq!(choice(&actions), Some((FAR, RouteReason::Forwarded)));
    // It may have run there, and may not be repeated.
    let (decision, _) = core.fail(1, RouteFault::Broken, false, ms(1530));
    assert_eq!(decision, RetryDecision::Stop);
}

// Guards against a peer that turned one request down, as its rules were older for a moment, being
// left out for seconds while no other peer reaches the servers.
#[test]
fn a_peer_that_declines_a_request_gets_others_soon() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND)], ms(1500));
    for round in 0..6 {
        let at = 1510 + round * 200;
        let actions = core.arrive(call(round, 100, false), ms(at));
        assert_eq!(choice(&actions), Some((NEAR, RouteReason::Forwarded)), "{round}");
        core.fail_without_retry(round, RouteFault::Declined, ms(at + 10));
    }
}

/// Has a peer decline requests that it has sent to so many servers, until one isn't forwarded to
/// the next. Returns how many were.
fn forwarded_again(server_sends: u32) -> usize {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND), peer(FAR, SOUND)], ms(1500));
    let requests = 1..400;
    let is_retried = |request: &u64| {
        let actions = core.arrive(call(*request, 100, false), ms(1510));
        assert_eq!(choice(&actions).map(|(_, reason)| reason), FORWARDED, "{request}");
        core.record_peer_sends(*request, server_sends);
        let (decision, actions) =
            core.fail(*request, RouteFault::Declined, false, ms(1510));
        let forwarded = choice(&actions).map(|(_, reason)| reason) == FORWARDED;
        core.cancel(*request, ms(1510));
        // The peers are offered anew, as those that decline without a send rest.
        core.set_forward_peers(POOL, &[], ms(1510));
        core.set_forward_peers(POOL, &[peer(NEAR, SOUND), peer(FAR, SOUND)], ms(1510));
        decision == RetryDecision::Retry && forwarded
    };
    requests.filter(is_retried).count()
}

// Guards against a request being sent to more servers than the retry budget allows, because a peer
// that declines it has sent it to some.
#[test]
fn a_request_that_servers_refused_at_a_peer_is_charged_when_it_is_forwarded_again() {
    assert_eq!(forwarded_again(0), 399);
    let charged = forwarded_again(1);
    assert!((1..399 / 4).contains(&charged), "{charged} of 399");
}

// Guards against a request being tried at more servers, by peers together, than are tried for a
// request whose path is in doubt.
#[test]
fn the_servers_that_a_peer_tried_count_against_the_tries_of_a_request() {
    let peers: Vec<ForwardPeer> = (0..9).map(|place| peer(NEAR + place, SOUND)).collect();
    let tries = |sends: u32| {
        let request = 1;
        let mut core = cut();
        core.set_forward_peers(POOL, &peers, ms(1500));
        core.arrive(call(request, 100, false), ms(1510));
        let mut forwards = 0;
        loop {
            forwards += 1;
            core.record_peer_sends(request, sends);
            let fault = RouteFault::Declined;
            if core.fail(request, fault, false, ms(1510)).0 == RetryDecision::Stop {
                return forwards;
            }
        }
    };
    assert_eq!(tries(4), 2);
    assert_eq!(tries(1), 8);
}

// Guards against a peer being left out while it reaches servers, because these refused a request.
#[test]
fn a_peer_whose_servers_refuse_a_request_gets_the_next_at_once() {
    for (server_sends, taken) in [(2, true), (0, false)] {
        let mut core = cut();
        core.set_forward_peers(POOL, &[peer(NEAR, SOUND)], ms(1500));
        core.arrive(call(1, 100, false), ms(1510));
        core.record_peer_sends(1, server_sends);
        core.fail(1, RouteFault::Declined, false, ms(1520));
        let actions = core.arrive(call(2, 100, false), ms(1530));
        let forwarded = choice(&actions).map(|(_, reason)| reason) == FORWARDED;
        assert_eq!(forwarded, taken, "{server_sends} sends");
    }
}

#[test]
fn the_runs_at_a_peer_count_against_the_limit_of_the_request() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND), peer(FAR, SOUND)], ms(1500));
    core.arrive(RouteCall { run_limit: 3, ..call(1, 100, true) }, ms(1510));
    assert_eq!(core.forwarded_run_limit(1), 2);
    let (decision, _) = core.fail(1, RouteFault::Broken, false, ms(1520));
    assert_eq!(decision, RetryDecision::Retry);
    assert_eq!(core.forwarded_run_limit(1), 1);
    let (decision, _) = core.fail(1, RouteFault::Broken, false, ms(1530));
    assert_eq!(decision, RetryDecision::Stop);
}

#[test]
fn peers_share_requests_and_those_of_the_data_centre_come_first() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND), peer(FAR, SOUND)], ms(1500));
    let mut counts = [0, 0];
    for request in 0..40 {
        let actions = core.arrive(call(request, 100, true), ms(1510));
        let (server, _) = choice(&actions).unwrap();
        counts[(server - NEAR) as usize] += 1;
    }
    assert_eq!(counts, [22, 18]);
}

#[test]
fn servers_that_are_still_reached_get_their_part_of_the_requests() {
    let mut core = reaching();
    fail_servers(&mut core, 5);
    let left: Vec<ServerId> = (0..6)
        .filter(|server| !core.silent_servers(ms(1500)).contains(server))
        .collect();
    core.record_probe(left[0], true, ms(1501));
    core.update_reach(ms(1502));
    assert_eq!(core.reach(POOL), PoolReach { reached: 1, failed: 5, untried: 0 });
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND)], ms(1502));
    let mut own = 0;
    for request in 3000..3300 {
        let actions = core.arrive(call(request, 100, true), ms(1510));
        let (server, _) = choice(&actions).unwrap();
        assert!(server == left[0] || server == NEAR, "{server}");
        own += u32::from(server == left[0]);
        core.finish(request, ms(1511));
    }
    assert!((25..=75).contains(&own), "{own} of 300 to one server of six");
}

#[test]
fn probes_find_out_that_the_path_is_back() {
    let mut core = cut();
    core.set_forward_peers(POOL, &[peer(NEAR, SOUND)], ms(1500));
    let probed = core.due_probes(ms(1600));
    assert_eq!(probed.len(), 2);
    assert!(core.due_probes(ms(1700)).is_empty(), "they are limited");
    for server in &probed {
        core.record_probe(*server, false, ms(1700));
    }
    core.update_reach(ms(1700));
    assert!(core.reach(POOL).is_doubtful());
    let next = core.due_probes(ms(2100));
    assert!(next.iter().all(|server| !probed.contains(server)), "others come next");
    for server in next {
        core.record_probe(server, true, ms(2110));
    }
    let last = core.due_probes(ms(2200));
    assert!(!last.is_empty(), "after a success, probes are made sooner");
    core.record_probe(last[0], true, ms(2210));
    let changes = core.update_reach(ms(2220));
    assert!(changes.iter().any(|change| !change.reach.is_doubtful()));
    let actions = core.arrive(call(9000, 100, true), ms(2230));
    assert!(server_of(&actions).is_some_and(|server| server < NEAR));
}

// Guards against a server that has exited being taken for a cut path, because the one other server
// that was tried had exited too.
#[test]
fn several_servers_are_tried_to_tell_a_failed_server_from_a_failed_path() {
    let core = reaching();
    let controls = core.control_servers(0, ms(0), ms(1500));
    assert_eq!(controls.len(), 4);
    assert!(!controls.contains(&0));
}

// Guards against an instance that reaches no server taking servers from its peers.
#[test]
fn peers_are_not_told_of_silent_servers_while_the_own_path_is_in_doubt() {
    let mut core = reaching();
    fail_servers(&mut core, 6);
    assert_eq!(core.silent_servers(ms(1500)).len(), 6);
    core.update_reach(ms(1500));
    assert!(core.silent_servers(ms(1500)).is_empty());
}

#[test]
fn a_report_of_most_servers_speaks_of_the_path_of_the_peer() {
    let mut core = core_with(6);
    core.record_silence_reports(&[0, 1, 2, 3], ms(1000));
    let sent = (0..40).filter_map(|request| {
        server_of(&core.arrive(call(request, 100, true), ms(1001)))
    });
    assert!(sent.into_iter().any(|server| server < 4));
    // A report of a few servers counts.
    let mut core = core_with(6);
    core.record_silence_reports(&[0, 1, 2], ms(1000));
    let mut sent = (0..18).filter_map(|request| {
        server_of(&core.arrive(call(request, 100, true), ms(1001)))
    });
    assert!(sent.all(|server| server >= 3));
}

// Guards against servers of a data centre whose path is cut being taken for servers that have
// exited, and sound requests for those that crashed them, because servers elsewhere are reached.
#[test]
fn a_failed_server_is_compared_with_those_of_its_data_centre() {
    let mut core = core_with(0);
    let servers: Vec<RoutedServer> = (0..9)
        .map(|server| RoutedServer { data_centre: server % 3, ..engine(server) })
        .collect();
    core.set_servers(POOL, &servers, ms(0));
    let mut controls = core.control_servers(4, ms(0), ms(10));
    controls.sort_unstable();
    assert_eq!(controls, [1, 7]);
    // The last one of its data centre is compared with any.
    core.set_servers(POOL, &servers[..2], ms(20));
    assert_eq!(core.control_servers(1, ms(0), ms(30)), [0]);
}

// Guards against all servers of a small service failing by one cause, so that no other is left to
// tell the failure of one from that of the path to it.
#[test]
fn a_failed_server_of_a_small_pool_is_compared_with_other_pools() {
    const OTHER_POOL: u16 = POOL + 1;
    let mut core = core_with(0);
    let server = |server, data_centre| RoutedServer { data_centre, ..engine(server) };
    // Two data centres have a server of the pool, and one of them has two.
    let small = [server(0, 0), server(1, 1), server(2, 1)];
    core.set_servers(POOL, &small, ms(0));
    core.set_servers(OTHER_POOL, &[server(10, 0), server(11, 1)], ms(0));
    for (failed, controls, neighbours) in
        [(0, vec![10], vec![10]), (1, vec![2], vec![11]), (2, vec![1], vec![11])]
    {
        assert_eq!(core.control_servers(failed, ms(0), ms(10)), controls, "{failed}");
        assert_eq!(core.neighbour_servers(failed, ms(0), ms(10)), neighbours, "{failed}");
    }
    // A data centre without any other server.
    core.set_servers(OTHER_POOL, &[server(11, 1)], ms(20));
    let mut controls = core.control_servers(0, ms(0), ms(30));
    controls.sort_unstable();
    assert_eq!(controls, [1, 2]);
    assert_eq!(core.neighbour_servers(0, ms(0), ms(30)), [0; 0]);
    assert_eq!(core.control_servers(9, ms(0), ms(30)), [0; 0], "unknown");
}

// Guards against a dead server that is still listed being the only one by which the end of another
// is judged.
#[test]
fn a_server_that_had_failed_before_says_nothing_of_the_path() {
    const OTHER_POOL: u16 = POOL + 1;
    let mut core = core_with(0);
    let server = |server, pool: u16, core: &mut RouteCore| {
        core.update_servers(pool, &[engine(server)], &[], ms(0));
    };
    server(0, POOL, &mut core);
    server(1, POOL, &mut core);
    server(10, OTHER_POOL, &mut core);
    core.record_probe(1, false, ms(10));
    assert_eq!(core.control_servers(0, ms(5), ms(20)), [1], "both may be cut off");
    assert_eq!(core.control_servers(0, ms(15), ms(20)), [10]);
    // The other way round, it isn't known.
    assert_eq!(core.control_servers(1, ms(15), ms(20)), [0]);
    // A failure of long ago counts no more.
    assert_eq!(core.control_servers(0, ms(9_000), ms(9_020)), [1]);
}

// Guards against a cut pool being judged by another one: the servers of its own that have failed before
// count as well.
#[test]
fn the_neighbours_of_a_server_are_those_of_its_pool_also_if_they_failed() {
    const OTHER_POOL: u16 = POOL + 1;
    let mut core = core_with(0);
    for server in 0..3 {
        core.update_servers(POOL, &[engine(server)], &[], ms(0));
    }
    let far = RoutedServer { data_centre: 7, ..engine(3) };
    core.update_servers(POOL, &[far], &[], ms(0));
    core.update_servers(OTHER_POOL, &[engine(10)], &[], ms(0));
    core.record_probe(1, false, ms(10));
    assert_eq!(core.pool_neighbours(0, ms(20)), [2, 1], "the one that failed comes last");
    assert_eq!(core.pool_neighbours(10, ms(20)), [0; 0]);
    assert_eq!(core.pool_neighbours(99, ms(20)), [0; 0], "unknown");
}
