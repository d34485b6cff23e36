//! Several routers before model engines: they tell each other their loads and which engines
//! they find silent, and some of them watch each engine.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{
    EngineReport, EngineShape, EngineSighting, PromptShape, RouteAction, RouteCall,
    RouteCore, RouteFault, RouteOptions, RoutedServer, ServerLoad,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::burst::StreamShape;
use crate::engine::{EngineNews, EngineRequest, LabEngine};

/// The one pool.
const POOL: u16 = 1;

/// How far the clock moves at a time.
const TICK: Duration = Duration::from_millis(5);

/// How often the health of servers is looked at.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// How often watchers call an engine.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// For how long an engine holds a watcher's call, and how much later its answer is overdue.
const WATCH_WAIT: Duration = Duration::from_millis(500);
const WATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// The age of an engine's report when its watcher gets it.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// How many instances watch an engine.
const WATCHERS: u32 = 2;

/// How often an instance tells its peers, and how long they take to hear of it.
const TELL_PERIOD: Duration = Duration::from_secs(1);
const TELL_DELAY: Duration = Duration::from_millis(200);

/// After how long a pause a stream asks whether it may go elsewhere.
const STREAM_PATIENCE: Duration = Duration::from_secs(1);

/// How many tokens an event of a stream holds.
const EVENT_TOKENS: u32 = 10;

/// An engine that is ineligible at an instance for longer than this in a second is counted.
const INELIGIBLE_BOUND: Duration = Duration::from_millis(200);

/// A time in which more requests of a kind come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBurst {
    /// How many times as many come.
    pub factor: f64,
    /// From when to when.
    pub span: (Duration, Duration),
}

/// How engines are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossKind {
    /// Their connections break and new ones are refused.
    Crash,
    /// They fall silent, and nothing that is sent is refused.
    Dark,
}

/// The loss of some engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoss {
    /// Which part of them is lost.
    pub part: f64,
    /// How.
    pub kind: LossKind,
    /// From when to when.
    pub span: (Duration, Duration),
}

/// Requests that come to several instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetPattern {
    /// How many instances there are.
    pub instances: u32,
    /// Whether they watch engines.
    pub watch: bool,
    /// How many engines there are.
    pub engines: u32,
    /// How many requests one works on at once.
    pub slots: u32,
    /// Which part of them is slow, and their pace as a fraction of that of the others.
    pub slow: (f64, f64),
    /// The requests with long prompts, and when more of them come.
    pub long: (StreamShape, LoadBurst),
    /// Those with short ones.
    pub short: (StreamShape, LoadBurst),
    /// The engines that are lost.
    pub loss: Option<EngineLoss>,
    /// How long after the loss of an engine nothing may be sent there.
    pub loss_bound: Duration,
    /// How long requests come.
    pub span: Duration,
}

impl FleetPattern {
    /// Returns the shape of a kind of request.
    fn shape(&self, long: bool) -> StreamShape {
        if long { self.long.0 } else { self.short.0 }
    }
}

/// What became of a pattern.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetReport {
    /// How many requests were sent again for silence where the engine was alive.
    pub resent_alive: u32,
    /// The largest part of the instances at which one engine that is never lost was
    /// ineligible for over 200 ms in one second.
    pub most_ineligible: f64,
    /// How many requests were sent to engines that had been lost for over the bound.
    pub late_sends: u32,
    /// How long requests waited at lost engines in all, until they left them.
    pub lost_time: Duration,
    /// The longest time from an engine's loss until a request that ran there left it.
    pub last_leave: Duration,
}

/// Plays a pattern with routers that have default options.
#[must_use]
pub fn play_fleet(pattern: &FleetPattern, seed: u64) -> FleetReport {
    let mut world = FleetWorld::new(pattern, seed);
    while world.now < pattern.span {
        world.tick();
    }
    world.report
}

/// A request under way.
#[derive(Debug, Clone, Copy)]
struct FleetCall {
    /// Whether its prompt is long.
    long: bool,
    /// The instance that it came to.
    instance: u32,
    /// The engine that has it, and since when.
    engine: Option<(ServerId, Duration)>,
    /// How many tokens of its answer have come.
    tokens: u32,
    /// How long its engine may be silent, if it is sent elsewhere then.
    patience: Option<Duration>,
    /// When that time ends.
    asks_at: Duration,
}

impl FleetCall {
    /// Returns whether an engine has the request.
    fn is_at(&self, engine: ServerId) -> bool {
        self.engine.is_some_and(|(id, _)| id == engine)
    }
}

/// What an instance tells its peers.
#[derive(Debug)]
struct Tidings {
    /// When they hear it.
    at: Duration,
    /// The instance.
    from: u32,
    /// Its load.
    loads: Vec<ServerLoad>,
    /// The engines that it finds silent.
    silent: Vec<ServerId>,
    /// What it has seen of the engines that it watches.
    sightings: Vec<EngineSighting>,
}

/// What the watchers of an engine have last seen.
#[derive(Debug, Clone, Copy, Default)]
struct EngineView {
    /// When it last answered.
    answered_at: Duration,
    /// Since when calls have failed.
    failing_since: Option<Duration>,
    /// Its last report.
    report: EngineReport,
}

/// What is played.
struct FleetWorld<'a> {
    /// The pattern.
    pattern: &'a FleetPattern,
    /// The routers.
    cores: Vec<RouteCore>,
    /// The engines.
    engines: Vec<LabEngine>,
    /// What is seen of them.
    views: Vec<EngineView>,
    /// The requests under way.
    calls: HashMap<RequestId, FleetCall>,
    /// What peers will hear.
    tidings: Vec<Tidings>,
    /// Whether an engine is ineligible at an instance, and how long it was in this second.
    ineligible: HashMap<(ServerId, u32), (bool, Duration)>,
    /// What became of the requests.
    report: FleetReport,
    /// The number of the next request.
    next: RequestId,
    /// The source of randomness.
    random: ChaCha8Rng,
    /// The time.
    now: Duration,
}

impl<'a> FleetWorld<'a> {
    /// Starts the routers and the engines.
    fn new(pattern: &'a FleetPattern, seed: u64) -> Self {
        let server = |server| RoutedServer {
            server,
            name_hash: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            slots: pattern.slots,
            engine: Some(EngineShape {
                memory_tokens: 400_000,
                fetch_tokens_per_ms: None,
            }),
            local: true,
            ..RoutedServer::default()
        };
        let servers: Vec<RoutedServer> = (0..pattern.engines).map(server).collect();
        let core = |instance| {
            let mut core = RouteCore::new(RouteOptions::default());
            core.set_seed(seed ^ u64::from(instance));
            core.set_instances(pattern.instances, true);
            core.set_servers(POOL, &servers, Duration::ZERO);
            core
        };
        let slow = (pattern.slow.0 * f64::from(pattern.engines)) as u32;
        // The first engines are lost, so the slow ones are the last.
        let pace = |engine| match engine >= pattern.engines - slow {
            true => pattern.slow.1,
            false => 1.0,
        };
        let engine = |engine| LabEngine::with_pace(pattern.slots as usize, pace(engine));
        Self {
            pattern,
            cores: (0..pattern.instances).map(core).collect(),
            engines: (0..pattern.engines).map(engine).collect(),
            views: vec![EngineView::default(); servers.len()],
            calls: HashMap::new(),
            tidings: vec![],
            ineligible: HashMap::new(),
            report: FleetReport::default(),
            next: 1,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        }
    }

    /// Lets a little time pass.
    fn tick(&mut self) {
        self.now += TICK;
        self.lose_engines();
        for engine in 0..self.pattern.engines {
            if self.lost_since(engine).is_none() {
                for (at, news) in self.engines[engine as usize].advance(self.now) {
                    self.hear(engine, at, news);
                }
            }
        }
        self.watch();
        self.tell();
        self.ask_for_aborts();
        if is_due(CHECK_PERIOD, self.now) {
            for instance in 0..self.pattern.instances {
                let actions = self.cores[instance as usize].tick(self.now);
                self.obey(actions);
            }
            self.check_health();
        }
        let (long, short) = (self.pattern.long, self.pattern.short);
        for (is_long, (shape, burst)) in [(true, long), (false, short)] {
            let bursts = self.now >= burst.span.0 && self.now < burst.span.1;
            let rate = shape.rate * if bursts { burst.factor } else { 1.0 };
            let expected = rate * TICK.as_secs_f64();
            let surely = expected.floor() as u32;
            let maybe = u32::from(self.random.random_bool(expected.fract()));
            (0..surely + maybe).for_each(|_| self.arrive(is_long));
        }
    }

    /// Returns how many engines, the first ones, are lost for some time.
    fn lost_count(&self) -> u32 {
        let part = self.pattern.loss.map_or(0.0, |loss| loss.part);
        (part * f64::from(self.pattern.engines)) as u32
    }

    /// Returns since when an engine has been lost, if it is.
    fn lost_since(&self, engine: ServerId) -> Option<Duration> {
        let loss = self.pattern.loss?;
        let (begin, end) = loss.span;
        (engine < self.lost_count() && self.now >= begin && self.now < end)
            .then_some(begin)
    }

    /// Breaks the requests of engines that crash now, and empties those that come back.
    fn lose_engines(&mut self) {
        let Some(loss) = self.pattern.loss else { return };
        let crashes = loss.kind == LossKind::Crash && self.now == loss.span.0;
        for engine in 0..self.lost_count() {
            if crashes || self.now == loss.span.1 {
                self.engines[engine as usize].restart(self.now);
                let there = self.calls.iter().filter(|(_, call)| call.is_at(engine));
                let mut broken: Vec<RequestId> = there.map(|(id, _)| *id).collect();
                broken.sort_unstable();
                broken.into_iter().for_each(|id| self.fail(id, RouteFault::Broken));
            }
        }
    }

    /// Has the watchers call the engines.
    fn watch(&mut self) {
        if !self.pattern.watch || !is_due(WATCH_PERIOD, self.now) {
            return;
        }
        for engine in 0..self.pattern.engines {
            let loss = self.lost_since(engine);
            let view = &mut self.views[engine as usize];
            let Some(lost_at) = loss else {
                let report = self.engines[engine as usize].report();
                *view = EngineView { answered_at: self.now, failing_since: None, report };
                continue;
            };
            let crash = self.pattern.loss.is_some_and(|at| at.kind == LossKind::Crash);
            // The call under way began when the engine last answered.
            let (since, noticed) = match crash {
                true => (lost_at, lost_at),
                false => {
                    let due_at = view.answered_at + WATCH_WAIT;
                    (due_at, due_at + WATCH_TIMEOUT)
                }
            };
            if self.now > noticed {
                view.failing_since = view.failing_since.or(Some(since));
            }
        }
        for engine in 0..self.pattern.engines {
            for watcher in self.watchers(engine) {
                let sighting = self.sighting(engine, watcher);
                self.cores[watcher as usize].record_sightings(&[sighting], self.now);
            }
        }
    }

    /// Returns the instances that watch an engine.
    fn watchers(&self, engine: ServerId) -> impl Iterator<Item = u32> + use<> {
        let instances = self.pattern.instances;
        (0..WATCHERS).map(move |rank| (engine + rank) % instances)
    }

    /// Returns what a watcher has seen of an engine.
    fn sighting(&self, server: ServerId, watcher: u32) -> EngineSighting {
        let view = self.views[server as usize];
        let ago = |at: Duration| self.now.saturating_sub(at);
        EngineSighting {
            server,
            watcher,
            answered_ago: Some(ago(view.answered_at)),
            failing_for: view.failing_since.map(ago),
            report: Some((view.report, ago(view.answered_at) + REPORT_AGE)),
        }
    }

    /// Has instances tell their peers, one after the other, and hear what was told.
    fn tell(&mut self) {
        for from in 0..self.pattern.instances {
            let turn = TELL_PERIOD / self.pattern.instances * from;
            let turn = turn - Duration::from_nanos((turn.as_nanos() % 5_000_000) as u64);
            if !is_due(TELL_PERIOD, self.now + turn) {
                continue;
            }
            let core = &self.cores[from as usize];
            let engines = 0..if self.pattern.watch { self.pattern.engines } else { 0 };
            let watched =
                engines.filter(|id| self.watchers(*id).any(|watcher| watcher == from));
            self.tidings.push(Tidings {
                at: self.now + TELL_DELAY,
                from,
                loads: core.own_loads(self.now),
                silent: core.silent_servers(self.now),
                sightings: watched.map(|id| self.sighting(id, from)).collect(),
            });
        }
        let now = self.now;
        for told in self.tidings.extract_if(.., |told| told.at <= now) {
            for (index, core) in self.cores.iter_mut().enumerate() {
                if index != told.from as usize {
                    core.set_peer_loads(told.from, &told.loads, now);
                    core.record_sightings(&told.sightings, now);
                    core.record_silence_reports(&told.silent, now);
                }
            }
        }
    }

    /// Counts how long living engines are ineligible.
    fn check_health(&mut self) {
        for instance in 0..self.pattern.instances {
            for change in self.cores[instance as usize].health_changes(self.now) {
                let state = self.ineligible.entry((change.server, instance)).or_default();
                state.0 = !change.healthy;
            }
        }
        let second_begins = is_due(Duration::from_secs(1), self.now);
        let lost_count = self.lost_count();
        let mut counts: HashMap<ServerId, u32> = HashMap::new();
        for ((engine, _), (ineligible, span)) in &mut self.ineligible {
            if second_begins {
                *span = Duration::ZERO;
            }
            if *ineligible && *engine >= lost_count {
                *span += CHECK_PERIOD;
            }
            *counts.entry(*engine).or_default() += u32::from(*span > INELIGIBLE_BOUND);
        }
        let most = counts.into_values().max().unwrap_or_default();
        let part = f64::from(most) / f64::from(self.pattern.instances);
        self.report.most_ineligible = self.report.most_ineligible.max(part);
    }

    /// Has a request come to an instance.
    fn arrive(&mut self, long: bool) {
        let request = self.next;
        self.next += 1;
        let instance = self.random.random_range(0..self.pattern.instances);
        let shape = self.pattern.shape(long);
        let call = FleetCall {
            long,
            instance,
            engine: None,
            tokens: 0,
            patience: None,
            asks_at: Duration::MAX,
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
            repeatable: true,
            run_limit: 2,
            regions: None,
            version: None,
            begins_stream: false,
        };
        let actions = self.cores[instance as usize].arrive(order, self.now);
        self.obey(actions);
    }

    /// Does what a router has decided.
    fn obey(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch { request, choice, silence_timeout, .. } => {
                    self.send(request, choice.server, silence_timeout);
                }
                RouteAction::Refuse { request, .. } => {
                    self.calls.remove(&request);
                }
            }
        }
    }

    /// Sends a request to an engine.
    fn send(&mut self, request: RequestId, engine: ServerId, patience: Option<Duration>) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.engine = Some((engine, self.now));
        call.patience = patience;
        call.asks_at = patience.map_or(Duration::MAX, |span| self.now + span);
        let shape = self.pattern.shape(call.long);
        let unmade = shape.answer - call.tokens;
        if let Some(lost_at) = self.lost_since(engine) {
            let ago = self.now - lost_at;
            self.report.late_sends += u32::from(ago > self.pattern.loss_bound);
            if self.pattern.loss.is_some_and(|loss| loss.kind == LossKind::Crash) {
                return self.fail(request, RouteFault::Unreachable);
            }
        }
        let unread = shape.prompt;
        self.engines[engine as usize].take(EngineRequest { request, unread, unmade });
    }

    /// Tells a router that a request failed at its engine.
    fn fail(&mut self, request: RequestId, fault: RouteFault) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let Some((engine, sent_at)) = call.engine.take() else { return };
        call.asks_at = Duration::MAX;
        let call = *call;
        self.engines[engine as usize].cancel(request);
        if let Some(lost_at) = self.lost_since(engine) {
            self.report.last_leave = self.report.last_leave.max(self.now - lost_at);
            self.report.lost_time += self.now - lost_at.max(sent_at);
        }
        let core = &mut self.cores[call.instance as usize];
        let (decision, actions) = core.fail(request, fault, true, self.now);
        if decision == flaxtide_policy::RetryDecision::Stop {
            self.calls.remove(&request);
        }
        self.obey(actions);
    }

    /// Asks routers whether silent requests may be aborted.
    fn ask_for_aborts(&mut self) {
        let due = self.calls.iter().filter(|(_, call)| call.asks_at <= self.now);
        let mut due: Vec<(RequestId, FleetCall)> =
            due.map(|(id, call)| (*id, *call)).collect();
        due.sort_unstable_by_key(|(request, _)| *request);
        for (request, mut call) in due {
            let core = &mut self.cores[call.instance as usize];
            if core.may_abort_silent(request, true, self.now) {
                let alive =
                    call.engine.is_none_or(|(id, _)| self.lost_since(id).is_none());
                self.report.resent_alive += u32::from(alive);
                self.fail(request, RouteFault::Silent);
                continue;
            }
            let streams = call.tokens >= EVENT_TOKENS;
            let wait = match streams {
                true => Some(core.stream_patience(request, STREAM_PATIENCE, self.now)),
                false => call.patience,
            };
            call.asks_at = wait.map_or(Duration::MAX, |span| self.now + span);
            self.calls.insert(request, call);
        }
    }

    /// Handles what came from an engine.
    fn hear(&mut self, engine: ServerId, at: Duration, news: EngineNews) {
        let (request, end) = match news {
            EngineNews::Token(request) => (request, false),
            EngineNews::End(request) => (request, true),
        };
        let Some(call) = self.calls.get_mut(&request) else { return };
        if !call.is_at(engine) {
            return;
        }
        call.tokens += 1;
        let instance = call.instance;
        let core = &mut self.cores[instance as usize];
        if end || call.tokens.is_multiple_of(EVENT_TOKENS) {
            call.asks_at = at + core.stream_patience(request, STREAM_PATIENCE, at);
            core.record_response_data(request, at);
        }
        if end {
            self.calls.remove(&request);
            let actions = core.finish(request, at);
            self.obey(actions);
        }
    }
}

/// Returns whether something that happens in each period happens at a time.
fn is_due(period: Duration, now: Duration) -> bool {
    now.as_nanos().is_multiple_of(period.as_nanos())
}
