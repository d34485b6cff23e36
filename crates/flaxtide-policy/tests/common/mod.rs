//! Calls, engines and cores for the tests of the router.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{
    EngineShape, PromptShape, RouteAction, RouteCall, RouteCore, RouteOptions,
    RoutedServer,
};

/// The pool that all calls and engines belong to.
pub const POOL: u16 = 1;

/// Returns a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates an engine with eight slots.
pub fn engine(server: ServerId) -> RoutedServer {
    RoutedServer {
        server,
        name_hash: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        slots: 8,
        engine: Some(EngineShape { memory_tokens: 100_000, fetch_tokens_per_ms: None }),
        data_centre: 0,
        local: true,
        leaving: false,
        row_missing: false,
        region: None,
        version: 0,
        settling: false,
        cold: None,
    }
}

/// Creates a core with `servers` engines.
pub fn core_with(servers: u32) -> RouteCore {
    core_with_options(servers, RouteOptions::default())
}

/// Creates a core with `servers` engines and the given options.
pub fn core_with_options(servers: u32, options: RouteOptions) -> RouteCore {
    let mut core = RouteCore::new(options);
    core.set_instances(1, true);
    let servers: Vec<RoutedServer> = (0..servers).map(engine).collect();
    core.set_servers(POOL, &servers, ms(0));
    core
}

/// Creates a call with a prompt of `tokens` tokens.
pub fn call(request: RequestId, tokens: u32, repeatable: bool) -> RouteCall {
    RouteCall {
        request,
        pool: POOL,
        class: 1,
        organisation: 1,
        tier: 1,
        level: 1,
        prompt: PromptShape { tokens, max_output_tokens: 100, parts: vec![] },
        target: ms(500),
        give_up: ms(1_000_000),
        deadline: ms(1_000_000),
        repeatable,
        run_limit: 2,
        regions: None,
        version: None,
        begins_stream: false,
    }
}

/// Returns the server that a request is sent to, if the only action is a dispatch.
pub fn server_of(actions: &[RouteAction]) -> Option<ServerId> {
    match actions {
        [RouteAction::Dispatch { choice, .. }] => Some(choice.server),
        _ => None,
    }
}
