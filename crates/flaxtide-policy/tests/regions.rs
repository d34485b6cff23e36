//! Requests that are limited to regions go to no server outside of them.

mod common;

use std::sync::Arc;

use common::{POOL, call, core_with, engine, ms, server_of};
use flaxtide_policy::{
    PromptPart, PromptShape, RefusalCause, RegionKey, RetryDecision, RouteAction,
    RouteCall, RouteCore, RouteFault, RoutedServer,
};

/// The regions of the tests.
const HERE: RegionKey = 1;
/// Another region.
const THERE: RegionKey = 2;

/// Returns an engine in a region, or in a data centre whose region isn't known.
fn engine_in(server: u32, region: Option<RegionKey>) -> RoutedServer {
    RoutedServer { region, ..engine(server) }
}

/// Returns a call that is limited to regions.
fn call_in(request: u64, regions: &[RegionKey]) -> RouteCall {
    RouteCall {
        regions: Some(Arc::from(regions)),
        ..call(request, 100, true)
    }
}

/// Returns a core with servers in two regions, and one whose region isn't known.
fn core() -> RouteCore {
    let mut core = core_with(0);
    let servers =
        [engine_in(0, Some(HERE)), engine_in(1, Some(THERE)), engine_in(2, None)];
    core.set_servers(POOL, &servers, ms(0));
    core
}

#[test]
fn only_servers_in_a_region_of_the_request_get_it() {
    let mut core = core();
    for request in 0..200 {
        let actions = core.arrive(call_in(request, &[THERE]), ms(request));
        if let [RouteAction::Dispatch { choice, .. }] = actions.as_slice() {
            assert_eq!(choice.server, 1);
        }
    }
}

#[test]
fn a_retry_stays_in_the_regions() {
    let mut core = core();
    let actions = core.arrive(call_in(1, &[HERE]), ms(0));
    assert_eq!(server_of(&actions), Some(0));
    let (decision, actions) = core.fail(1, RouteFault::Unreachable, false, ms(1));
    assert_eq!(decision, RetryDecision::Stop);
    assert_eq!(server_of(&actions), None);
}

#[test]
fn without_a_server_in_the_regions_a_request_is_refused() {
    for regions in [&[3][..], &[]] {
        let actions = core().arrive(call_in(1, regions), ms(0));
        let [RouteAction::Refuse { reason, .. }] = actions.as_slice() else {
            panic!("{actions:?}")
        };
        assert_eq!(*reason, RefusalCause::NoServerInRegion);
    }
}

#[test]
fn no_part_of_a_prompt_is_fetched_from_outside_of_the_regions() {
    let mut core = core_with(0);
    let servers = [engine_in(0, Some(HERE)), engine_in(1, Some(THERE))];
    let servers = servers.map(|mut server| {
        let engine = server.engine.as_mut().unwrap();
        engine.fetch_tokens_per_ms = Some(1000.0);
        server
    });
    core.set_servers(POOL, &servers, ms(0));
    let part = |key| PromptPart { key, tokens: 4000 };
    let prompt = PromptShape {
        tokens: 8000,
        max_output_tokens: 10,
        parts: vec![part(7), part(8)],
    };
    core.record_peer_prefills(&[(1, part(7).short_key())], ms(1));
    let call = RouteCall { prompt, ..call_in(1, &[HERE]) };
    let actions = core.arrive(call, ms(2));
    let [RouteAction::Dispatch { choice, .. }] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert_eq!((choice.server, choice.fetch), (0, None));
}
