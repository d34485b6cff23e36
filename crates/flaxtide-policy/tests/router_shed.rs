//! Servers that turn requests away while others answer: which come first.

mod common;

use flaxtide_core::ServerId;
use flaxtide_policy::{RouteCore, RouteFault, RouteOptions};

use self::common::{call, core_with_options, ms, server_of};

/// Has a server go on with a stream and turn everything else away, and another one answer. Returns
/// the first, the other one, and where a request goes that comes 400 ms later: the first has less
/// to do.
fn next_after_refusal(refused_cost_ms: f64) -> (ServerId, ServerId, ServerId) {
    let options = RouteOptions { refused_cost_ms, ..RouteOptions::default() };
    let mut core = core_with_options(2, options);
    let sheds = sent(&mut core, 1, 0);
    core.record_response_data(1, ms(20));
    let mut request = 2;
    let mut other = None;
    // Four requests stay at the other server.
    while request < 10 {
        let server = sent(&mut core, request, 30);
        if server == sheds {
            core.fail(request, RouteFault::Full, false, ms(31));
            core.cancel(request, ms(32));
        } else {
            other = Some(server);
            core.record_response_data(request, ms(400));
        }
        request += 1;
    }
    // The stream goes on.
    core.record_response_data(1, ms(410));
    let next = sent(&mut core, request, 430);
    (sheds, other.unwrap(), next)
}

/// Has a request come. Returns where it is sent.
fn sent(core: &mut RouteCore, request: u64, millis: u64) -> ServerId {
    server_of(&core.arrive(call(request, 100, true), ms(millis))).unwrap()
}

#[test]
fn a_server_that_turns_requests_away_comes_last_though_its_streams_go_on() {
    let (sheds, other, next) =
        next_after_refusal(RouteOptions::default().refused_cost_ms);
    assert_ne!(sheds, other);
    assert_eq!(next, other);
    // It would be the cheapest otherwise.
    let (sheds, _, next) = next_after_refusal(0.0);
    assert_eq!(next, sheds);
}
