//! What the gate before each write adds to a request, among servers of which a part state rates.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxtide_policy::{
    EngineShape, GroupMember, InstanceGroup, PromptShape, RequestRate, RouteAction,
    RouteCall, RouteCore, RouteOptions, RoutedServer,
};
use hdrhistogram::Histogram;

/// The number of requests in a measurement.
const REQUESTS: u64 = 200_000;

/// How many requests are at servers at a time.
const OPEN: u64 = 500;

/// Starts a core with so many engines, of which every fourth states a rate.
fn core(engines: u32) -> RouteCore {
    let mut core = RouteCore::new(RouteOptions::default());
    let own = GroupMember { instance: 1, data_centre: 0 };
    let group = InstanceGroup {
        own,
        members: vec![own],
        other_data_centres: vec![],
    };
    core.set_group(Arc::new(group), Duration::ZERO);
    let engine = |server: u32| RoutedServer {
        server,
        name_hash: u64::from(server),
        slots: 64,
        engine: Some(EngineShape { memory_tokens: 400_000, fetch_tokens_per_ms: None }),
        data_centre: 0,
        local: true,
        leaving: false,
        row_missing: false,
        region: None,
        version: 0,
        settling: false,
        cold: None,
    };
    let servers: Vec<RoutedServer> = (0..engines).map(engine).collect();
    core.set_servers(1, &servers, Duration::ZERO);
    let rate = RequestRate::from_per_second(1000.0);
    for server in (0..engines).step_by(4) {
        core.record_peer_rate(
            server,
            rate,
            Duration::from_millis(1),
            Duration::from_millis(1),
        );
    }
    core
}

/// Makes a call.
fn call(request: u64, now: Duration) -> RouteCall {
    RouteCall {
        request,
        pool: 1,
        class: 1,
        organisation: 1,
        tier: 1,
        level: 1,
        prompt: PromptShape { tokens: 800, max_output_tokens: 100, parts: vec![] },
        target: Duration::from_secs(10),
        give_up: now + Duration::from_secs(10),
        deadline: now + Duration::from_secs(20),
        repeatable: true,
        run_limit: 2,
        regions: None,
        version: None,
        begins_stream: false,
    }
}

/// Measures the choice of a server, and the gate before the write.
fn measure(engines: u32) {
    let mut core = core(engines);
    let bounds = Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3);
    let mut choice = bounds.expect("the bounds are in order");
    let mut gate = choice.clone();
    for request in 1..=REQUESTS {
        let now = Duration::from_micros(request * 200);
        let start = Instant::now();
        let actions = core.arrive(call(request, now), now);
        choice.saturating_record(start.elapsed().as_nanos() as u64);
        if matches!(actions[..], [RouteAction::Dispatch { .. }]) {
            let start = Instant::now();
            std::hint::black_box(core.permit_send(request, now));
            gate.saturating_record(start.elapsed().as_nanos() as u64);
        }
        if request > OPEN {
            core.finish(request - OPEN, now);
        }
    }
    for (name, times) in [("choice", choice), ("gate", gate)] {
        println!(
            "{engines} engines, {name}: p50 {} ns, p99 {} ns, {} times",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.len()
        );
    }
}

fn main() {
    for engines in [18, 100, 520, 1_000, 10_000] {
        measure(engines);
    }
}
