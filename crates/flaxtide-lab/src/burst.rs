//! Bursts of long prompts among short ones, played against a real router and model engines.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::RequestId;
use flaxtide_policy::{
    EngineShape, PromptShape, RouteAction, RouteCall, RouteCore, RouteOptions,
    RoutedServer,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{EngineNews, EngineRequest, LabEngine};

/// The one pool.
const POOL: u16 = 1;

/// How far the clock moves at a time.
const TICK: Duration = Duration::from_millis(5);

/// How many tokens an event of a stream holds.
const EVENT_TOKENS: u32 = 10;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamShape {
    /// How many come in a second.
    pub rate: f64,
    /// The tokens of its prompt.
    pub prompt: u32,
    /// The tokens of its answer.
    pub answer: u32,
    /// Within what time its first event is on time.
    pub target: Duration,
    /// The longest pause between two events that is on time.
    pub pause: Duration,
}

/// Streams of two kinds before engines, with a burst of the long ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurstPattern {
    /// How many engines there are.
    pub engines: u32,
    /// How many requests one works on at once.
    pub slots: u32,
    /// The requests with long prompts.
    pub long: StreamShape,
    /// Those with short ones.
    pub short: StreamShape,
    /// How many times as many long ones come in the burst.
    pub burst: f64,
    /// From when to when the burst lasts.
    pub burst_span: (Duration, Duration),
    /// How long requests come.
    pub span: Duration,
}

/// The part of each kind's requests that were answered in time, pauses included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurstReport {
    /// Of those with long prompts.
    pub long_on_time: f64,
    /// Of those with short ones.
    pub short_on_time: f64,
}

/// A request under way.
#[derive(Debug, Clone, Copy)]
struct BurstCall {
    /// Whether its prompt is long.
    long: bool,
    /// When it came.
    came: Duration,
    /// How many tokens of its present event have come.
    tokens: u32,
    /// When its last event came.
    event_at: Option<Duration>,
    /// Whether all was on time so far.
    on_time: bool,
}

/// Plays a burst with a router that has these options.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_lab::{BurstPattern, StreamShape, play_burst};
/// use flaxtide_policy::RouteOptions;
/// let shape = StreamShape {
///     rate: 2.0,
///     prompt: 500,
///     answer: 50,
///     target: Duration::from_secs(1),
///     pause: Duration::from_secs(1),
/// };
/// let pattern = BurstPattern {
///     engines: 2,
///     slots: 12,
///     long: StreamShape { prompt: 9000, ..shape },
///     short: shape,
///     burst: 1.0,
///     burst_span: (Duration::ZERO, Duration::ZERO),
///     span: Duration::from_secs(5),
/// };
/// let report = play_burst(&pattern, RouteOptions::default(), 3);
/// assert!(report.short_on_time > 0.9);
/// ```
#[must_use]
pub fn play_burst(
    pattern: &BurstPattern,
    options: RouteOptions,
    seed: u64,
) -> BurstReport {
    let mut world = BurstWorld::new(pattern, options, seed);
    while world.now < pattern.span {
        world.tick(true);
    }
    let end = pattern.span + Duration::from_secs(60);
    while !world.calls.is_empty() && world.now < end {
        world.tick(false);
    }
    let part = |long: usize| world.on_time[long] as f64 / world.came[long].max(1) as f64;
    BurstReport { long_on_time: part(1), short_on_time: part(0) }
}

/// What is played.
struct BurstWorld<'a> {
    /// The pattern.
    pattern: &'a BurstPattern,
    /// The router.
    core: RouteCore,
    /// The engines.
    engines: Vec<LabEngine>,
    /// The requests under way.
    calls: HashMap<RequestId, BurstCall>,
    /// The number of the next request.
    next: RequestId,
    /// The source of randomness.
    random: ChaCha8Rng,
    /// The time.
    now: Duration,
    /// How many requests with short and long prompts came.
    came: [u32; 2],
    /// How many of them were on time.
    on_time: [u32; 2],
}

impl<'a> BurstWorld<'a> {
    /// Starts engines without work.
    fn new(pattern: &'a BurstPattern, options: RouteOptions, seed: u64) -> Self {
        let mut core = RouteCore::new(options);
        let server = |number: u32| RoutedServer {
            server: number,
            name_hash: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            slots: pattern.slots,
            engine: Some(EngineShape {
                memory_tokens: 400_000,
                fetch_tokens_per_ms: None,
            }),
            data_centre: 0,
            local: true,
            leaving: false,
            row_missing: false,
            region: None,
            version: 0,
            settling: false,
            cold: None,
        };
        let servers: Vec<RoutedServer> = (0..pattern.engines).map(server).collect();
        core.set_servers(POOL, &servers, Duration::ZERO);
        Self {
            pattern,
            core,
            engines: vec![LabEngine::new(pattern.slots as usize); servers.len()],
            calls: HashMap::new(),
            next: 1,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            came: [0; 2],
            on_time: [0; 2],
        }
    }

    /// Lets a little time pass; requests come if `open`.
    fn tick(&mut self, open: bool) {
        self.now += TICK;
        let mut news = vec![];
        for engine in &mut self.engines {
            news.extend(engine.advance(self.now));
        }
        for (at, came) in news {
            self.hear(at, came);
        }
        let actions = self.core.tick(self.now);
        self.obey(actions);
        if !open {
            return;
        }
        let (begin, end) = self.pattern.burst_span;
        let bursts = self.now >= begin && self.now < end;
        let more = if bursts { self.pattern.burst } else { 1.0 };
        for (long, rate) in
            [(true, self.pattern.long.rate * more), (false, self.pattern.short.rate)]
        {
            let expected = rate * TICK.as_secs_f64();
            let surely = expected.floor() as u32;
            let maybe = u32::from(self.random.random_bool(expected.fract()));
            (0..surely + maybe).for_each(|_| self.arrive(long));
        }
    }

    /// Has a request come.
    fn arrive(&mut self, long: bool) {
        let request = self.next;
        self.next += 1;
        let shape = self.shape(long);
        self.came[usize::from(long)] += 1;
        let call = BurstCall {
            long,
            came: self.now,
            tokens: 0,
            event_at: None,
            on_time: true,
        };
        self.calls.insert(request, call);
        let order = RouteCall {
            request,
            pool: POOL,
            class: u16::from(long),
            organisation: 1,
            tier: u8::from(long),
            level: u8::from(long),
            prompt: PromptShape {
                tokens: shape.prompt,
                max_output_tokens: shape.answer,
                parts: vec![],
            },
            target: shape.target,
            give_up: self.now + shape.target / 2,
            deadline: self.now + Duration::from_secs(12),
            repeatable: false,
            run_limit: 1,
            regions: None,
            version: None,
            begins_stream: false,
        };
        let actions = self.core.arrive(order, self.now);
        self.obey(actions);
    }

    /// Returns the shape of a kind of request.
    fn shape(&self, long: bool) -> StreamShape {
        if long { self.pattern.long } else { self.pattern.short }
    }

    /// Does what the router has decided.
    fn obey(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch { request, choice, .. } => {
                    let Some(call) = self.calls.get(&request) else { continue };
                    let shape = self.shape(call.long);
                    self.engines[choice.server as usize].take(EngineRequest {
                        request,
                        unread: shape.prompt,
                        unmade: shape.answer,
                    });
                }
                RouteAction::Refuse { request, .. } => {
                    self.calls.remove(&request);
                }
            }
        }
    }

    /// Handles what came from an engine.
    fn hear(&mut self, at: Duration, news: EngineNews) {
        let (request, end) = match news {
            EngineNews::Token(request) => (request, false),
            EngineNews::End(request) => (request, true),
        };
        let Some(call) = self.calls.get(&request).copied() else { return };
        let call = self.count_token(call, at, end);
        self.calls.insert(request, call);
        if call.tokens == 0 {
            self.core.record_response_data(request, at);
        }
        if end {
            self.calls.remove(&request);
            self.on_time[usize::from(call.long)] += u32::from(call.on_time);
            let actions = self.core.finish(request, at);
            self.obey(actions);
        }
    }

    /// Counts a token of a request; each event holds several.
    fn count_token(&self, mut call: BurstCall, at: Duration, end: bool) -> BurstCall {
        call.tokens += 1;
        if call.tokens < EVENT_TOKENS && !end {
            return call;
        }
        call.tokens = 0;
        let shape = self.shape(call.long);
        let (since, most) = match call.event_at {
            None => (call.came, shape.target),
            Some(before) => (before, shape.pause),
        };
        call.on_time &= at.saturating_sub(since) <= most;
        call.event_at = Some(at);
        call
    }
}
