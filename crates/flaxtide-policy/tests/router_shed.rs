//! Load shedding: how a server that refuses requests ranks against one that accepts them.

mod common;

use flaxtide_core::ServerId;
use flaxtide_policy::{RouteCore, RouteFault, RouteOptions};

use self::common::{call, core_with_options, ms, server_of};

/// Simulates one server that continues a stream but refuses all other requests, and one
/// that accepts them. Returns the refusing server, the accepting one, and the server that
/// gets a request 400 ms later, when the refusing one has less load.
fn next_after_refusal(refused_cost_ms: f64) -> (ServerId, ServerId, ServerId) {
    let options = RouteOptions { refused_cost_ms, ..RouteOptions::default() };
    let mut core = core_with_options(2, options);
    let refusing = dispatched_server(&mut core, 1, 0);
    core.record_response_data(1, ms(20));
    let mut request = 2;
    let mut other = None;
    // Four requests stay on the accepting server.
    while request < 10 {
        let server = dispatched_server(&mut core, request, 30);
        if server == refusing {
            core.fail(request, RouteFault::Full, false, ms(31));
            core.cancel(request, ms(32));
        } else {
            other = Some(server);
            core.record_response_data(request, ms(400));
        }
        request += 1;
    }
    // The stream continues.
    core.record_response_data(1, ms(410));
    let next = dispatched_server(&mut core, request, 430);
    (refusing, other.unwrap(), next)
}

/// Submits a request and returns the server that it is dispatched to.
fn dispatched_server(core: &mut RouteCore, request: u64, millis: u64) -> ServerId {
    server_of(&core.arrive(call(request, 100, true), ms(millis))).unwrap()
}

#[test]
fn a_server_that_refuses_requests_is_ranked_last_although_it_is_still_streaming() {
    let (refusing, other, next) =
        next_after_refusal(RouteOptions::default().refused_cost_ms);
    assert_ne!(refusing, other);
    assert_eq!(next, other);
    // Without the cost of a refusal, the refusing server would be the cheapest.
    let (refusing, _, next) = next_after_refusal(0.0);
    assert_eq!(next, refusing);
}
