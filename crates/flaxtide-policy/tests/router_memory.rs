//! Shared prompt parts: which engine has them cached, and which engines fetch them from
//! it.

mod common;

use flaxtide_policy::{
    EngineShape, PartFetch, PromptPart, RouteAction, RouteCall, RouteChoice, RouteCore,
    RouteOptions, RoutedServer,
};

use self::common::{POOL, call, engine, ms, server_of};

/// A shared part that is long enough to be worth fetching.
const SHARED: PromptPart = PromptPart { key: 0x77, tokens: 6000 };

/// Creates a core with four engines that fetch cached tokens at `rate` per millisecond.
fn core_with_fetch_rate(rate: Option<f64>) -> RouteCore {
    let mut core = RouteCore::new(RouteOptions::default());
    let fetching_engine = |server| RoutedServer {
        engine: Some(EngineShape { memory_tokens: 100_000, fetch_tokens_per_ms: rate }),
        ..engine(server)
    };
    let servers: Vec<RoutedServer> = (0..4).map(fetching_engine).collect();
    core.set_servers(POOL, &servers, ms(0));
    core
}

/// Creates a call whose prompt consists of the shared part and a part of its own.
fn call_with_shared_part(request: u64) -> RouteCall {
    let mut route_call = call(request, 6300, true);
    route_call.prompt.parts =
        vec![SHARED, PromptPart { key: 1000 + request, tokens: 300 }];
    route_call
}

/// Returns the choice in a single dispatch.
fn dispatched_choice(actions: &[RouteAction]) -> RouteChoice {
    let [RouteAction::Dispatch { choice, .. }] = actions else { panic!("{actions:?}") };
    choice.clone()
}

#[test]
fn a_shared_part_is_fetched_from_the_engine_that_a_peer_reported() {
    let mut core = core_with_fetch_rate(Some(280.0));
    let home = server_of(&core.arrive(call_with_shared_part(1), ms(0))).unwrap();
    core.cancel(1, ms(1));
    let holder = (home + 1) % 4;
    core.record_peer_prefills(&[(holder, SHARED.short_key())], ms(10));
    // On any other server, the part is fetched from the engine that has it cached.
    for request in 10..40 {
        let choice =
            dispatched_choice(&core.arrive(call_with_shared_part(request), ms(20)));
        if choice.server == holder {
            assert_eq!(choice.fetch, None, "the engine has the part cached itself");
        } else {
            assert_eq!(choice.fetch, Some(PartFetch { from: holder, tokens: 6000 }));
            assert_eq!(choice.uncached, 300);
        }
    }
}

#[test]
fn engines_that_cannot_fetch_prefill_the_part_themselves() {
    let mut core = core_with_fetch_rate(None);
    let home = server_of(&core.arrive(call_with_shared_part(1), ms(0))).unwrap();
    let holder = (home + 1) % 4;
    core.record_peer_prefills(&[(holder, SHARED.short_key())], ms(10));
    for request in 10..30 {
        let choice =
            dispatched_choice(&core.arrive(call_with_shared_part(request), ms(20)));
        assert_eq!(choice.fetch, None);
        assert_eq!(choice.uncached, if choice.server == holder { 300 } else { 6300 });
        core.cancel(request, ms(20));
    }
}

#[test]
fn an_old_prefill_report_no_longer_counts() {
    let mut core = core_with_fetch_rate(Some(280.0));
    core.record_peer_prefills(&[(0, SHARED.short_key())], ms(0));
    let choice = dispatched_choice(&core.arrive(call_with_shared_part(1), ms(30_000)));
    assert_eq!((choice.fetch, choice.uncached), (None, 6300));
}

#[test]
fn peers_are_told_of_recent_prefills_only() {
    let mut core = core_with_fetch_rate(Some(280.0));
    let server = server_of(&core.arrive(call_with_shared_part(1), ms(0))).unwrap();
    assert!(core.recent_prefills(ms(50)).is_empty(), "the prompt hasn't been prefilled");
    core.record_response_data(1, ms(100));
    let records = core.recent_prefills(ms(150));
    let reported: Vec<_> = records
        .iter()
        .map(|record| (record.server, record.part, record.age))
        .collect();
    assert_eq!(reported, [(server, SHARED.short_key(), ms(50))]);
    assert!(core.recent_prefills(ms(5000)).is_empty());
}

#[test]
fn short_shared_parts_are_not_fetched() {
    let mut core = core_with_fetch_rate(Some(280.0));
    let mut route_call = call(1, 500, true);
    let part = PromptPart { key: 0x88, tokens: 200 };
    route_call.prompt.parts = vec![part, PromptPart { key: 1, tokens: 300 }];
    core.record_peer_prefills(&[(0, part.short_key()), (1, part.short_key())], ms(0));
    assert_eq!(dispatched_choice(&core.arrive(route_call, ms(1))).fetch, None);
    core.record_response_data(1, ms(10));
    assert!(core.recent_prefills(ms(11)).is_empty(), "short parts aren't reported");
}
