//! Calls and servers for plays against routers.

#![allow(unreachable_pub, reason = "shared by test files")]

use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{PromptShape, RouteCall, RoutedServer};

/// The pool of all calls.
pub const POOL: u16 = 1;

/// Makes a call that waits for half a second.
pub fn call(request: RequestId, now: Duration) -> RouteCall {
    RouteCall {
        request,
        pool: POOL,
        class: 1,
        organisation: 1,
        tier: 1,
        level: 1,
        prompt: PromptShape::default(),
        target: Duration::from_secs(1),
        give_up: now + Duration::from_millis(500),
        deadline: now + Duration::from_secs(2),
        repeatable: true,
        run_limit: 2,
        regions: None,
        version: None,
        begins_stream: false,
    }
}

/// Makes a plain server with 64 slots.
pub fn plain_server(
    server: ServerId,
    name_hash: u64,
    data_centre: u32,
    local: bool,
) -> RoutedServer {
    RoutedServer {
        server,
        name_hash,
        slots: 64,
        engine: None,
        data_centre,
        local,
        leaving: false,
        row_missing: false,
        region: None,
        version: 0,
        settling: false,
        cold: None,
    }
}
