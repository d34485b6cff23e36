//! Shared parts of prompts: which engine keeps them, and who takes them over from whom.

mod common;

use flaxtide_policy::{
    EngineShape, PartFetch, PromptPart, RouteAction, RouteCall, RouteChoice, RouteCore,
    RouteOptions, RoutedServer,
};

use self::common::{POOL, call, engine, ms, server_of};

/// A shared part that is long enough to be worth taking over.
const SHARED: PromptPart = PromptPart { key: 0x77, tokens: 6000 };

/// Starts a core with engines that take over so many tokens in a millisecond.
fn linked_core(rate: Option<f64>) -> RouteCore {
    let mut core = RouteCore::new(RouteOptions::default());
    let linked = |server| RoutedServer {
        engine: Some(EngineShape { memory_tokens: 100_000, fetch_tokens_per_ms: rate }),
        ..engine(server)
    };
    let servers: Vec<RoutedServer> = (0..4).map(linked).collect();
    core.set_servers(POOL, &servers, ms(0));
    core
}

/// Makes a call whose prompt has the shared part and one of its own.
fn sharing(request: u64) -> RouteCall {
    let mut order = call(request, 6300, true);
    order.prompt.parts = vec![SHARED, PromptPart { key: 1000 + request, tokens: 300 }];
    order
}

/// Returns the choice that was made.
fn choice_of(actions: &[RouteAction]) -> RouteChoice {
    let [RouteAction::Dispatch { choice, .. }] = actions else { panic!("{actions:?}") };
    choice.clone()
}

#[test]
fn a_shared_part_is_taken_over_from_the_engine_that_a_peer_saw_read_it() {
    let mut core = linked_core(Some(280.0));
    let home = server_of(&core.arrive(sharing(1), ms(0))).unwrap();
    core.cancel(1, ms(1));
    let holder = (home + 1) % 4;
    core.record_peer_prefills(&[(holder, SHARED.short_key())], ms(10));
    // The holder is out, so the request goes elsewhere, but its memory can be read.
    for request in 10..40 {
        let choice = choice_of(&core.arrive(sharing(request), ms(20)));
        if choice.server == holder {
            assert_eq!(choice.fetch, None, "it keeps the part itself");
        } else {
            assert_eq!(choice.fetch, Some(PartFetch { from: holder, tokens: 6000 }));
            assert_eq!(choice.uncached, 300);
        }
    }
}

#[test]
fn engines_without_a_link_read_the_part_themselves() {
    let mut core = linked_core(None);
    let home = server_of(&core.arrive(sharing(1), ms(0))).unwrap();
    let holder = (home + 1) % 4;
    core.record_peer_prefills(&[(holder, SHARED.short_key())], ms(10));
    for request in 10..30 {
        let choice = choice_of(&core.arrive(sharing(request), ms(20)));
        assert_eq!(choice.fetch, None);
        assert_eq!(choice.uncached, if choice.server == holder { 300 } else { 6300 });
        core.cancel(request, ms(20));
    }
}

#[test]
fn what_a_peer_saw_read_long_ago_counts_no_more() {
    let mut core = linked_core(Some(280.0));
    core.record_peer_prefills(&[(0, SHARED.short_key())], ms(0));
    let choice = choice_of(&core.arrive(sharing(1), ms(30_000)));
    assert_eq!((choice.fetch, choice.uncached), (None, 6300));
}

#[test]
fn peers_are_told_of_shared_parts_while_they_are_news() {
    let mut core = linked_core(Some(280.0));
    let server = server_of(&core.arrive(sharing(1), ms(0))).unwrap();
    assert!(core.recent_prefills(ms(50)).is_empty(), "it hasn't been read");
    core.record_response_data(1, ms(100));
    let notes = core.recent_prefills(ms(150));
    let told: Vec<_> =
        notes.iter().map(|note| (note.server, note.part, note.age)).collect();
    assert_eq!(told, [(server, SHARED.short_key(), ms(50))]);
    assert!(core.recent_prefills(ms(5000)).is_empty());
}

#[test]
fn short_shared_parts_are_read_again() {
    let mut core = linked_core(Some(280.0));
    let mut order = call(1, 500, true);
    let part = PromptPart { key: 0x88, tokens: 200 };
    order.prompt.parts = vec![part, PromptPart { key: 1, tokens: 300 }];
    core.record_peer_prefills(&[(0, part.short_key()), (1, part.short_key())], ms(0));
    assert_eq!(choice_of(&core.arrive(order, ms(1))).fetch, None);
    core.record_response_data(1, ms(10));
    assert!(core.recent_prefills(ms(11)).is_empty(), "and nobody is told");
}
