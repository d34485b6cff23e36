//! Requests that continue a stream go to no server of another version.

mod common;

use common::{POOL, call, core_with, engine, ms, server_of};
use flaxtide_core::ServerId;
use flaxtide_policy::{
    RefusalCause, RetryDecision, RouteAction, RouteCall, RouteCore, RouteFault,
    RoutedServer, VersionKey,
};

/// The version of most servers.
const COMMON: VersionKey = 7;

/// The version of the first servers.
const RARE: VersionKey = 3;

/// Returns a request that continues a stream.
fn bound(request: u64, version: VersionKey) -> RouteCall {
    RouteCall { version: Some(version), ..call(request, 100, true) }
}

/// Returns a core with some servers, the first `rare` of which are of another version.
fn core(servers: u32, rare: u32) -> RouteCore {
    let mut core = core_with(0);
    let version = |server| if server < rare { RARE } else { COMMON };
    let servers: Vec<RoutedServer> = (0..servers)
        .map(|server| RoutedServer { version: version(server), ..engine(server) })
        .collect();
    core.set_servers(POOL, &servers, ms(0));
    core
}

/// Returns the server that a request is sent to at once.
fn sent_to(core: &mut RouteCore, request: RouteCall) -> Option<ServerId> {
    server_of(&core.arrive(request, ms(0)))
}

/// Sends requests that continue a stream until one has to wait. Returns its number, and the
/// servers that got the others.
fn fill(core: &mut RouteCore, version: VersionKey) -> (u64, Vec<ServerId>) {
    let mut servers = vec![];
    for request in 0..1000 {
        match sent_to(core, bound(request, version)) {
            Some(server) => servers.push(server),
            None => return (request, servers),
        }
    }
    panic!("the servers are never full");
}

#[test]
fn a_bound_request_goes_to_its_version_in_pools_of_any_size() {
    for servers in [4, 190, 5200] {
        let mut core = core(servers, 2);
        let (waits, reached) = fill(&mut core, RARE);
        assert!(reached.len() >= 16, "{servers}: {reached:?}");
        assert!(reached.iter().all(|server| *server < 2), "{servers}: {reached:?}");
        let other = sent_to(&mut core, bound(waits + 1, COMMON));
        assert!(other.is_some_and(|server| server >= 2), "{servers}: {other:?}");
    }
}

#[test]
fn a_bound_request_that_waits_holds_up_no_other() {
    let mut core = core(3, 1);
    let (waits, _) = fill(&mut core, RARE);
    assert!(sent_to(&mut core, call(waits + 1, 100, true)).is_some());
    for request in 0..waits {
        let actions = core.finish(request, ms(10));
        if let [RouteAction::Dispatch { request, choice, .. }] = actions.as_slice() {
            assert_eq!((*request, choice.server), (waits, 0));
            return;
        }
    }
    panic!("the one that waits never gets a free place");
}

#[test]
fn a_stream_is_retried_at_the_version_that_began_it() {
    let mut core = core(6, 2);
    for request in 0..40 {
        let first = sent_to(&mut core, call(request, 100, true)).unwrap();
        let version = if first < 2 { RARE } else { COMMON };
        assert_eq!(core.bind_version(request, None), Some(version));
        let (decision, actions) = core.fail(request, RouteFault::Broken, true, ms(1));
        if decision == RetryDecision::Retry
            && let Some(second) = server_of(&actions)
        {
            assert_eq!(second < 2, first < 2, "{first} to {second}");
        }
        core.finish(request, ms(2));
    }
}

#[test]
fn a_version_that_has_left_is_told_from_a_pool_without_servers() {
    let mut core = core(3, 1);
    core.update_servers(POOL, &[], &[0], ms(1));
    let actions = core.arrive(bound(1, RARE), ms(2));
    let [RouteAction::Refuse { reason, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(*reason, RefusalCause::NoServerOfVersion);
}

#[test]
fn only_streams_that_begin_wait_for_a_version_to_settle() {
    let mut core = core_with(0);
    let settling =
        |server| RoutedServer { version: COMMON, settling: true, ..engine(server) };
    let old = RoutedServer { version: RARE, ..engine(9) };
    let servers: Vec<RoutedServer> = (0..8).map(settling).chain([old]).collect();
    core.set_servers(POOL, &servers, ms(0));
    for request in 0..4 {
        let begins = RouteCall { begins_stream: true, ..call(request, 100, true) };
        assert_eq!(sent_to(&mut core, begins), Some(9));
    }
    assert!(sent_to(&mut core, call(4, 100, true)).is_some_and(|server| server < 8));
    assert!(sent_to(&mut core, bound(5, COMMON)).is_some_and(|server| server < 8));
}
