//! Without watched engines, choices don't depend on what is known of homes and evictions.

mod common;

use flaxtide_core::ServerId;
use flaxtide_policy::{
    EngineShape, PeerLoad, PromptPart, RouteCall, RouteCore, RouteOptions, RoutedServer,
    ServerStatement,
};

use self::common::{POOL, call, engine, ms};

/// The hash of all actions, taken before there were homes.
const ACTIONS_HASH: u64 = 0x0610_36e4_97ec_88dd;

/// A draw that is the same in each run.
struct Draw(u64);

impl Draw {
    /// Returns the next number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns the next engine of a pool.
    fn server(&mut self, engines: u32) -> ServerId {
        self.below(u64::from(engines)) as ServerId
    }
}

/// Adds a text to a hash (FNV-1a, which never changes).
fn add_to_hash(hash: &mut u64, text: &str) {
    for byte in text.bytes() {
        *hash = (*hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
}

/// Returns a drawn engine; most fetch cached tokens.
fn drawn_engine(server: ServerId, draw: &mut Draw) -> RoutedServer {
    let rate = (draw.below(4) > 0).then(|| 50.0 + draw.below(200) as f64);
    let shape = EngineShape { memory_tokens: 400_000, fetch_tokens_per_ms: rate };
    RoutedServer {
        slots: 4 + draw.below(20) as u32,
        local: draw.below(3) > 0,
        engine: Some(shape),
        ..engine(server)
    }
}

/// Returns a drawn call; most prompts begin with one of 40 shared parts of some length.
fn drawn_call(request: u64, draw: &mut Draw) -> RouteCall {
    let part = drawn_part(draw);
    let mut drawn = call(request, part.tokens + 200, true);
    drawn.level = draw.below(3) as u8;
    drawn.target = ms(60_000);
    if draw.below(5) > 0 {
        drawn.prompt.parts =
            vec![part, PromptPart { key: request | 1 << 60, tokens: 200 }];
    }
    drawn
}

/// Returns a drawn shared part.
fn drawn_part(draw: &mut Draw) -> PromptPart {
    let tokens = [300, 1500, 13_000][draw.below(3) as usize];
    let number = draw.below(40) * 3 + u64::from(tokens);
    PromptPart {
        key: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        tokens,
    }
}

/// Lets something happen to an open request or an engine, and returns the actions as text.
fn drawn_event(
    core: &mut RouteCore,
    open: &mut Vec<u64>,
    engines: u32,
    now: u64,
    draw: &mut Draw,
) -> String {
    let at = ms(now);
    let server = draw.server(engines);
    let index = draw.below(open.len().max(1) as u64) as usize;
    match draw.below(6) {
        0 | 1 if !open.is_empty() => core.record_response_data(open[index], at),
        2 if !open.is_empty() => {
            core.record_response_data(open[index], at);
            return format!("{:?}", core.finish(open.swap_remove(index), at));
        }
        3 if !open.is_empty() => {
            return format!("{:?}", core.cancel(open.swap_remove(index), at));
        }
        4 => {
            let backoff = Some(ms(200));
            let statement = ServerStatement { backoff, ..ServerStatement::default() };
            core.record_statement(server, statement, ms(0), at);
        }
        _ => {
            core.record_peer_prefills(&[(server, drawn_part(draw).short_key())], at);
            let load = PeerLoad {
                server,
                short: draw.below(6) as u32,
                long: draw.below(3) as u32,
                pending_prefill: [draw.below(9000) as u32, draw.below(9000) as u32, 0],
            };
            core.set_peer_loads(draw.below(9) as u32, &[load], at);
        }
    }
    String::new()
}

/// Adds all actions of a drawn pool to a hash.
fn add_pool_to_hash(hash: &mut u64, engines: u32, seed: u64) {
    let mut draw = Draw(seed);
    let mut core = RouteCore::new(RouteOptions::default());
    core.set_seed(seed);
    let listed: Vec<RoutedServer> =
        (0..engines).map(|server| drawn_engine(server, &mut draw)).collect();
    core.set_servers(POOL, &listed, ms(0));
    let mut open = vec![];
    let mut now = 0;
    for request in 1..2000 {
        now += draw.below(8);
        let arrived = core.arrive(drawn_call(request, &mut draw), ms(now));
        add_to_hash(hash, &format!("{arrived:?}"));
        open.push(request);
        for _ in 0..2 {
            let actions = drawn_event(&mut core, &mut open, engines, now, &mut draw);
            add_to_hash(hash, &actions);
        }
        if request % 50 == 0 {
            add_to_hash(hash, &format!("{:?}", core.tick(ms(now))));
        }
    }
}

#[test]
fn without_watched_engines_the_choice_is_as_before_there_were_homes() {
    let mut hash = 0xcbf2_9ce4_8422_2325;
    for (engines, seed) in [(3, 1), (20, 2), (60, 3), (250, 4)] {
        add_pool_to_hash(&mut hash, engines, seed);
    }
    assert_eq!(hash, ACTIONS_HASH, "{hash:#018x}");
}
