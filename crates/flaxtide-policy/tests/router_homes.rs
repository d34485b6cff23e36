//! Homes of shared prompt parts before watched engines: where parts are read, fetched and
//! kept while engines are avoided, leave and evict. Several instances share their prefill
//! reports; what engines have cached is modelled as sets.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use flaxtide_core::ServerId;
use flaxtide_policy::{
    EngineShape, EngineSighting, PartChange, PartFetch, PartKey, PeerLoad, PromptPart,
    RouteAction, RouteCall, RouteChoice, RouteCore, RouteOptions, RouteReason,
    RoutedServer, ServerStatement,
};

use self::common::{POOL, call, engine, ms};

/// The length of each shared part.
const SHARED_TOKENS: u32 = 13_000;

/// The length of the part that each prompt has of its own.
const OWN_TOKENS: u32 = 1000;

/// How fast engines read, in tokens per millisecond.
const READ_RATE: f64 = 60.0;

/// The time between two exchanges of reports.
const REPORT_PERIOD_MS: u64 = 400;

/// The part of the time to a first token that isn't spent on reading, in milliseconds.
const OVERHEAD_MS: f64 = 25.0;

/// How long a request generates output after its first token.
const OUTPUT_MS: u64 = 300;

/// Returns a watched engine that fetches cached tokens.
fn fetching_engine(server: ServerId) -> RoutedServer {
    let shape = EngineShape {
        memory_tokens: 400_000,
        fetch_tokens_per_ms: Some(212.0),
    };
    RoutedServer { slots: 64, engine: Some(shape), ..engine(server) }
}

/// Returns the shared part with a number.
fn shared_part(number: u64) -> PromptPart {
    let key = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    PromptPart { key, tokens: SHARED_TOKENS }
}

/// Returns a call whose prompt begins with a shared part.
fn call_with(request: u64, part: PromptPart) -> RouteCall {
    let mut route_call = call(request, part.tokens + OWN_TOKENS, true);
    let own = PromptPart { key: request | 1 << 60, tokens: OWN_TOKENS };
    route_call.prompt.parts = vec![part, own];
    route_call.target = ms(60_000);
    route_call
}

/// Returns the choice in a single dispatch.
fn choice_of(actions: &[RouteAction]) -> RouteChoice {
    let [RouteAction::Dispatch { choice, .. }] = actions else { panic!("{actions:?}") };
    choice.clone()
}

/// Returns what a watcher sees of an engine that answers.
fn sighting(server: ServerId) -> EngineSighting {
    EngineSighting {
        server,
        watcher: 1,
        answered_ago: Some(ms(100)),
        failing_for: None,
        report: None,
    }
}

/// A draw that is the same in each run.
#[derive(Clone, Copy)]
struct Draw(u64);

impl Draw {
    /// Returns the next number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

/// Several instances before the same engines.
struct Fleet {
    /// The instances.
    cores: Vec<RouteCore>,
    /// The engines in service.
    engines: BTreeSet<ServerId>,
    /// The shared parts that each engine has cached.
    cached: BTreeMap<ServerId, BTreeSet<PartKey>>,
    /// Until when each engine reads prompts, in milliseconds.
    busy_until: BTreeMap<ServerId, f64>,
    /// When, where and with which shared parts prompts were sent.
    sends: Vec<(u64, ServerId, PartKey)>,
    /// When, where and which shared parts were read.
    reads: Vec<(u64, ServerId, PartKey)>,
    /// When, where and which shared parts were fetched.
    fetches: Vec<(u64, ServerId, PartKey)>,
    /// The first tokens to come: time, instance and request.
    first_tokens: BTreeSet<(u64, usize, u64)>,
    /// The ends to come.
    ends: VecDeque<(u64, usize, u64)>,
    /// The number of requests so far.
    requests: u64,
    /// The time in milliseconds.
    now: u64,
}

impl Fleet {
    /// Creates a fleet.
    fn new(instances: u64, engines: u32) -> Self {
        let mut fleet = Self {
            cores: (0..instances)
                .map(|_| RouteCore::new(RouteOptions::default()))
                .collect(),
            engines: (0..engines).collect(),
            cached: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            sends: vec![],
            reads: vec![],
            fetches: vec![],
            first_tokens: BTreeSet::new(),
            ends: VecDeque::new(),
            requests: 0,
            now: 0,
        };
        for (core, seed) in fleet.cores.iter_mut().zip(1..) {
            core.set_seed(seed);
        }
        fleet.list();
        fleet.exchange();
        fleet
    }

    /// Tells all instances which engines are in service.
    fn list(&mut self) {
        let listed: Vec<RoutedServer> =
            self.engines.iter().map(|server| fetching_engine(*server)).collect();
        for core in &mut self.cores {
            core.set_servers(POOL, &listed, ms(self.now));
        }
    }

    /// Tells all instances what watchers see, and what engines have prefilled for others.
    fn exchange(&mut self) {
        let now = ms(self.now);
        let sightings: Vec<EngineSighting> =
            self.engines.iter().map(|server| sighting(*server)).collect();
        let mut prefills: Vec<Vec<(ServerId, PartKey)>> = vec![];
        for core in &mut self.cores {
            core.record_sightings(&sightings, now);
            let recent = core.recent_prefills(now).into_iter();
            let recent = recent.filter(|record| record.age < ms(REPORT_PERIOD_MS));
            prefills.push(recent.map(|record| (record.server, record.part)).collect());
        }
        for (sender, prefills) in prefills.iter().enumerate() {
            for (receiver, core) in self.cores.iter_mut().enumerate() {
                if receiver != sender {
                    core.record_peer_prefills(prefills, now);
                }
            }
        }
    }

    /// Advances the time, with the first tokens, ends and reports that are due.
    fn advance(&mut self, to: u64) {
        while self.now < to {
            self.now += 1;
            while let Some(first) = self.first_tokens.first().copied()
                && first.0 <= self.now
            {
                self.first_tokens.remove(&first);
                let (_, index, request) = first;
                self.cores[index].record_response_data(request, ms(self.now));
                self.ends.push_back((self.now + OUTPUT_MS, index, request));
            }
            while self.ends.front().is_some_and(|end| end.0 <= self.now) {
                let Some((_, index, request)) = self.ends.pop_front() else { break };
                self.cores[index].finish(request, ms(self.now));
            }
            if self.now.is_multiple_of(REPORT_PERIOD_MS) {
                self.exchange();
            }
        }
    }

    /// Sends a prompt through an instance and returns the engine.
    fn send(&mut self, index: usize, part: PromptPart) -> ServerId {
        self.requests += 1;
        let request = self.requests;
        let actions = self.cores[index].arrive(call_with(request, part), ms(self.now));
        let choice = choice_of(&actions);
        let tokens = self.prefilled_tokens(&choice, part);
        let start = self.busy_until.get(&choice.server).copied().unwrap_or_default();
        let end = start.max(self.now as f64) + f64::from(tokens) / READ_RATE;
        self.busy_until.insert(choice.server, end);
        let first_token = (end + OVERHEAD_MS).ceil() as u64;
        self.first_tokens.insert((first_token, index, request));
        self.sends.push((self.now, choice.server, part.short_key()));
        choice.server
    }

    /// Records where a prompt was sent, and returns how many tokens the engine reads.
    fn prefilled_tokens(&mut self, choice: &RouteChoice, part: PromptPart) -> u32 {
        let key = part.short_key();
        let source = choice.fetch.map(|fetch| fetch.from);
        let has_part = |server: &ServerId| {
            self.cached.get(server).is_some_and(|set| set.contains(&key))
        };
        let has_source = source.is_some_and(|source| has_part(&source));
        if has_part(&choice.server) {
            return OWN_TOKENS;
        }
        self.cached.entry(choice.server).or_default().insert(key);
        if has_source {
            self.fetches.push((self.now, choice.server, key));
            return OWN_TOKENS;
        }
        self.reads.push((self.now, choice.server, key));
        part.tokens + OWN_TOKENS
    }

    /// Makes other engines ineligible at each instance for 200 ms: two thirds of them.
    fn avoid_two_thirds(&mut self, draw: &mut Draw) {
        for core in &mut self.cores {
            for server in &self.engines {
                if draw.below(3) > 0 {
                    core.record_statement(*server, backoff(200), ms(0), ms(self.now));
                }
            }
        }
    }

    /// Returns the engines that have read or fetched a part, in order.
    fn engines_of(&self, part: PromptPart) -> BTreeSet<ServerId> {
        let key = part.short_key();
        let with_part = self.cached.iter().filter(|(_, parts)| parts.contains(&key));
        with_part.map(|(server, _)| *server).collect()
    }

    /// Returns how many prompts with a part each engine got since a time.
    fn sends_since(&self, part: PromptPart, since: u64) -> BTreeMap<ServerId, usize> {
        let key = part.short_key();
        let mut counts = BTreeMap::new();
        let sends =
            self.sends.iter().filter(|(at, _, sent)| *at >= since && *sent == key);
        for (_, server, _) in sends {
            *counts.entry(*server).or_default() += 1;
        }
        counts
    }

    /// Returns how often each part was read since a time.
    fn reads_since(&self, since: u64) -> BTreeMap<PartKey, usize> {
        let mut counts = BTreeMap::new();
        for (_, _, key) in self.reads.iter().filter(|(at, _, _)| *at >= since) {
            *counts.entry(*key).or_default() += 1;
        }
        counts
    }
}

/// Returns a statement that asks for a backoff.
fn backoff(millis: u64) -> ServerStatement {
    ServerStatement {
        backoff: Some(ms(millis)),
        ..ServerStatement::default()
    }
}

/// Parts are read at their homes, at most once more while the first prefill isn't known
/// everywhere; then nobody reads them again, whichever engines each instance avoids.
#[test]
fn parts_are_not_read_again_while_each_instance_avoids_other_engines() {
    const PARTS: u64 = 40;
    let mut fleet = Fleet::new(12, 30);
    let mut draw = Draw(7);
    for step in 0..600 {
        fleet.send(draw.below(12) as usize, shared_part(draw.below(PARTS)));
        fleet.advance((step + 1) * 5);
    }
    let calm = fleet.reads_since(0);
    assert_eq!(calm.len(), PARTS as usize);
    assert!(calm.values().all(|count| *count <= 2), "{calm:?}");

    let burst = fleet.now;
    // Half of the parts are in use all the time, the others once in 25 s.
    for step in 0..6000 {
        if step % 40 == 0 {
            fleet.avoid_two_thirds(&mut draw);
        }
        let number = match step % 250 {
            0 => PARTS / 2 + step / 250 % (PARTS / 2),
            _ => draw.below(PARTS / 2),
        };
        fleet.send(draw.below(12) as usize, shared_part(number));
        fleet.advance(burst + (step + 1) * 5);
    }
    assert_eq!(fleet.reads_since(burst), BTreeMap::new());
    let fetches = fleet.fetches.len();
    assert!(fetches < 400, "{fetches} fetches of 6600 prompts");
}

/// A part that becomes known while instances avoid different engines is read by those that
/// send a prompt with it before they hear of the first prefill, at successors of its home.
#[test]
fn parts_that_are_new_in_a_burst_are_read_by_few_engines() {
    const PARTS: u64 = 40;
    let mut fleet = Fleet::new(12, 30);
    let mut draw = Draw(7);
    for step in 0..1600 {
        if step % 40 == 0 {
            fleet.avoid_two_thirds(&mut draw);
        }
        // Each 200 ms another part comes into use.
        let number = draw.below((step / 40 + 1).min(PARTS));
        fleet.send(draw.below(12) as usize, shared_part(number));
        fleet.advance((step + 1) * 5);
    }
    let counts = fleet.reads_since(0);
    let reads: usize = counts.values().sum();
    // Of engines that are eligible with a probability of a third, some four come first for
    // the instances that send such a prompt within 600 ms.
    assert!(reads <= 4 * counts.len(), "{reads} reads: {counts:?}");
}

/// Sends prompts with one part to all instances in turn, among those with other parts, and
/// returns the engines that got the part in the last second.
fn engines_of_hot_part(
    fleet: &mut Fleet,
    hot: PromptPart,
    hot_per_second: u64,
    seconds: u64,
) -> BTreeMap<ServerId, usize> {
    let mut draw = Draw(3);
    let end = fleet.now + seconds * 1000;
    while fleet.now < end {
        let index = draw.below(12) as usize;
        if draw.below(100) < hot_per_second {
            fleet.send(index, hot);
        }
        let other = shared_part(1 + draw.below(20));
        let index = draw.below(12) as usize;
        if draw.below(100) < 90 {
            fleet.send(index, other);
        }
        fleet.advance(fleet.now + 10);
    }
    fleet.sends_since(hot, end - 1000)
}

/// A hot part needs more than one engine can read, and one is enough once it cools down.
#[test]
fn a_hot_part_gets_more_homes_and_loses_them() {
    let hot = shared_part(0);
    let mut fleet = Fleet::new(12, 30);
    let before = engines_of_hot_part(&mut fleet, hot, 5, 10);
    assert_eq!(before.len(), 1, "{before:?}");
    // 90,000 tokens are to be read a second, and an engine reads 60,000.
    let during = engines_of_hot_part(&mut fleet, hot, 90, 10);
    assert!((2..=5).contains(&during.len()), "{during:?}");
    let most = during.values().max().copied().unwrap_or_default();
    assert!(most <= 60, "{during:?}");
    let after = engines_of_hot_part(&mut fleet, hot, 5, 20);
    assert_eq!(after.len(), 1, "{after:?}");
    assert_eq!(after.keys().next(), before.keys().next());
    let counts = fleet.reads_since(0);
    assert!(counts.values().all(|count| *count <= 2), "{counts:?}");
    let copies = fleet.engines_of(hot);
    assert!(copies.len() <= 6, "{copies:?}");
}

#[test]
fn homes_stay_while_two_thirds_of_the_engines_leave_and_come_back_empty() {
    const PARTS: u64 = 60;
    let mut fleet = Fleet::new(12, 90);
    let mut draw = Draw(11);
    let mut send_for = |fleet: &mut Fleet, millis: u64| {
        let end = fleet.now + millis;
        while fleet.now < end {
            fleet.send(draw.below(12) as usize, shared_part(draw.below(PARTS)));
            fleet.advance(fleet.now + 5);
        }
    };
    send_for(&mut fleet, 8000);
    let calm = fleet.now - 4000;
    let home_of = |fleet: &Fleet, part, since| {
        let counts = fleet.sends_since(shared_part(part), since).into_iter();
        counts.max_by_key(|(_, count)| *count).map(|(server, _)| server)
    };
    let homes: Vec<Option<ServerId>> =
        (0..PARTS).map(|part| home_of(&fleet, part, calm)).collect();

    fleet.engines.retain(|server| server % 3 == 0);
    let rest = fleet.engines.clone();
    fleet.cached.retain(|server, _| rest.contains(server));
    fleet.list();
    let left = fleet.now;
    send_for(&mut fleet, 4000);
    for (part, home) in (0..PARTS).zip(&homes) {
        if home.is_some_and(|home| rest.contains(&home)) {
            assert_eq!(home_of(&fleet, part, left), *home, "part {part}");
        }
    }

    fleet.engines.extend((0..60).map(|server| 1000 + server));
    fleet.list();
    fleet.exchange();
    let back = fleet.now;
    send_for(&mut fleet, 8000);
    let counts = fleet.reads_since(left);
    assert!(counts.values().all(|count| *count <= 2), "{counts:?}");
    assert_eq!(fleet.reads_since(back), BTreeMap::new(), "the rest has all parts");
    let moved = (0..PARTS).filter(|part| {
        home_of(&fleet, *part, back + 4000).is_some_and(|home| home >= 1000)
    });
    let moved = moved.count();
    assert!((20..=55).contains(&moved), "{moved} of {PARTS} parts have new homes");
}

/// Creates an instance with four watched engines that fetch cached tokens.
fn watched_core(rate: f64) -> RouteCore {
    let shape = EngineShape {
        memory_tokens: 400_000,
        fetch_tokens_per_ms: Some(rate),
    };
    let fetching =
        |server| RoutedServer { engine: Some(shape), ..fetching_engine(server) };
    let servers: Vec<RoutedServer> = (0..4).map(fetching).collect();
    let mut core = RouteCore::new(RouteOptions::default());
    core.set_servers(POOL, &servers, ms(0));
    watch(&mut core, 0);
    core
}

/// Records that a watcher has seen all four engines answer.
fn watch(core: &mut RouteCore, now: u64) {
    let sightings: Vec<EngineSighting> = (0..4).map(sighting).collect();
    core.record_sightings(&sightings, ms(now));
}

/// Returns the choice for a prompt with the first shared part, which is then cancelled.
fn probe(core: &mut RouteCore, request: u64, now: u64) -> RouteChoice {
    let choice = choice_of(&core.arrive(call_with(request, shared_part(0)), ms(now)));
    core.cancel(request, ms(now));
    choice
}

/// Returns whether the part is cached or fetched for a prompt.
fn is_known(core: &mut RouteCore, request: u64, now: u64) -> bool {
    probe(core, request, now).uncached == OWN_TOKENS
}

/// Returns the change of the first shared part on an engine.
fn part_change(server: ServerId, cached: bool) -> PartChange {
    PartChange { server, part: shared_part(0).short_key(), cached }
}

#[test]
fn a_watched_engine_keeps_a_part_until_it_reports_the_eviction() {
    let mut core = watched_core(212.0);
    core.record_peer_prefills(&[(2, shared_part(0).short_key())], ms(0));
    watch(&mut core, 59_000);
    assert!(is_known(&mut core, 1, 60_000));
    core.record_part_changes(&[part_change(2, false)], ms(60_001));
    assert!(!is_known(&mut core, 2, 60_002));
    core.record_part_changes(&[part_change(2, true)], ms(60_003));
    assert!(is_known(&mut core, 3, 60_004));
    // The second watcher tells of the same eviction later.
    core.record_part_changes(&[part_change(2, false)], ms(60_300));
    assert!(!is_known(&mut core, 4, 60_301));
}

#[test]
fn an_eviction_that_may_precede_the_last_prefill_only_shortens_its_life() {
    let mut core = watched_core(212.0);
    core.record_peer_prefills(&[(2, shared_part(0).short_key())], ms(10_000));
    core.record_part_changes(&[part_change(2, false)], ms(10_300));
    watch(&mut core, 10_301);
    assert!(is_known(&mut core, 1, 10_302));
    watch(&mut core, 31_000);
    assert!(!is_known(&mut core, 2, 31_001), "as on an engine that isn't watched");
    core.record_part_changes(&[part_change(2, true)], ms(31_002));
    assert!(is_known(&mut core, 3, 31_003));
}

#[test]
fn a_part_whose_eviction_is_never_reported_is_forgotten() {
    let mut core = watched_core(212.0);
    core.record_peer_prefills(&[(2, shared_part(0).short_key())], ms(0));
    watch(&mut core, 600_000);
    assert!(!is_known(&mut core, 1, 600_001));
    // If the part is gone before that, the engine reads it once more and has it again.
    core.record_peer_prefills(&[(2, shared_part(0).short_key())], ms(600_002));
    assert!(is_known(&mut core, 2, 600_003));
}

#[test]
fn without_watchers_a_part_is_forgotten_after_the_usual_time() {
    let mut core = watched_core(212.0);
    core.record_peer_prefills(&[(2, shared_part(0).short_key())], ms(0));
    assert!(is_known(&mut core, 1, 19_000));
    assert!(!is_known(&mut core, 2, 21_000), "no watcher was heard lately");
}

/// Returns an instance, and the home of the first shared part, which has it cached.
fn core_with_home(rate: f64) -> (RouteCore, ServerId) {
    let mut core = watched_core(rate);
    let home = probe(&mut core, 100, 1).server;
    core.record_peer_prefills(&[(home, shared_part(0).short_key())], ms(2));
    (core, home)
}

#[test]
fn an_avoided_home_is_fetched_from_and_gets_its_part_back() {
    let (mut core, home) = core_with_home(212.0);
    core.record_statement(home, backoff(500), ms(2), ms(3));
    let choice = probe(&mut core, 1, 10);
    assert_ne!(choice.server, home);
    assert_eq!(choice.fetch, Some(PartFetch { from: home, tokens: SHARED_TOKENS }));
    let successor = choice.server;
    assert_eq!(probe(&mut core, 2, 11).server, successor);
    core.record_peer_prefills(&[(successor, shared_part(0).short_key())], ms(100));
    assert_eq!(probe(&mut core, 3, 600).server, home);
}

#[test]
fn a_dead_home_is_not_fetched_from() {
    let (mut core, home) = core_with_home(212.0);
    let dead = EngineSighting {
        answered_ago: None,
        failing_for: Some(ms(2000)),
        ..sighting(home)
    };
    core.record_sightings(&[dead], ms(3));
    core.record_statement(home, backoff(500), ms(2), ms(3));
    let choice = probe(&mut core, 1, 10);
    assert_eq!((choice.fetch, choice.uncached), (None, SHARED_TOKENS + OWN_TOKENS));
}

#[test]
fn a_part_is_read_again_where_that_is_sooner_than_fetching_it() {
    let (mut core, home) = core_with_home(10.0);
    core.record_statement(home, backoff(500), ms(2), ms(3));
    let choice = probe(&mut core, 1, 10);
    assert_eq!((choice.fetch, choice.uncached), (None, SHARED_TOKENS + OWN_TOKENS));
}

#[test]
fn a_prompt_leaves_the_home_of_its_part_only_for_a_long_backlog() {
    // The tokens that wait at the home, and whether the prompt goes there all the same.
    for (waiting, stays) in [(0, true), (10_000, true), (60_000, false)] {
        let (mut core, home) = core_with_home(212.0);
        let load = PeerLoad {
            server: home,
            short: 0,
            long: 1,
            pending_prefill: [0, waiting, 0],
        };
        core.set_peer_loads(7, &[load], ms(3));
        let choice = probe(&mut core, 1, 4);
        assert_eq!(choice.server == home, stays, "{waiting} tokens wait");
        assert_eq!(choice.uncached, OWN_TOKENS, "{waiting} tokens wait");
    }
}

#[test]
fn a_part_that_is_being_read_is_not_counted_for_each_prompt() {
    let mut core = watched_core(212.0);
    let first = choice_of(&core.arrive(call_with(1, shared_part(0)), ms(0)));
    assert_eq!(first.uncached, SHARED_TOKENS + OWN_TOKENS);
    for request in 2..8 {
        let next = choice_of(&core.arrive(call_with(request, shared_part(0)), ms(1)));
        assert_eq!((next.server, next.uncached), (first.server, OWN_TOKENS));
    }
    // The part isn't there yet, so no other engine can fetch it.
    core.record_statement(first.server, backoff(500), ms(1), ms(2));
    let other = probe(&mut core, 10, 3);
    assert_eq!(other.fetch, None);
}

/// Engines read more urgent prompts first, so that these can't count on a part that a less
/// urgent one has brought along.
#[test]
fn a_part_that_is_being_read_counts_for_prompts_that_are_not_more_urgent() {
    let whole = SHARED_TOKENS + OWN_TOKENS;
    for (first, second, uncached) in
        [(2, 0, whole), (1, 0, whole), (1, 1, OWN_TOKENS), (0, 2, OWN_TOKENS)]
    {
        let mut core = RouteCore::new(RouteOptions::default());
        core.set_servers(POOL, &[fetching_engine(0)], ms(0));
        core.record_sightings(&[sighting(0)], ms(0));
        let with_level =
            |request, level| RouteCall { level, ..call_with(request, shared_part(0)) };
        core.arrive(with_level(1, first), ms(0));
        let choice = choice_of(&core.arrive(with_level(2, second), ms(0)));
        assert_eq!(choice.uncached, uncached, "level {second} after {first}");
    }
}

/// Peers repeat their reports, so one after an eviction may tell of a prefill before it.
#[test]
fn a_repeated_report_does_not_bring_an_evicted_part_back() {
    let prefill = [(2, shared_part(0).short_key())];
    // When the repeat comes, and whether the part counts as cached long after it.
    for (repeated_at, stays) in [(2600, false), (7400, false), (7600, true)] {
        let mut core = watched_core(212.0);
        core.record_peer_prefills(&prefill, ms(400));
        core.record_part_changes(&[part_change(2, false)], ms(2500));
        assert!(!is_known(&mut core, 1, 2501));
        core.record_peer_prefills(&prefill, ms(repeated_at));
        assert!(is_known(&mut core, 2, repeated_at + 1), "the prefill may be new");
        watch(&mut core, 30_000);
        assert_eq!(is_known(&mut core, 3, 30_001), stays, "repeated at {repeated_at}");
    }
}

#[test]
fn a_repeated_report_does_not_clear_the_doubt_in_a_part() {
    let prefill = [(2, shared_part(0).short_key())];
    let mut core = watched_core(212.0);
    core.record_peer_prefills(&prefill, ms(10_000));
    core.record_part_changes(&[part_change(2, false)], ms(10_300));
    core.record_peer_prefills(&prefill, ms(10_400));
    watch(&mut core, 31_000);
    assert!(!is_known(&mut core, 1, 31_001));
}

/// A report of a prefill may also come only after the engine's word of the eviction.
#[test]
fn an_eviction_of_an_unknown_part_is_remembered() {
    let mut core = watched_core(212.0);
    core.record_part_changes(&[part_change(2, false)], ms(1000));
    core.record_peer_prefills(&[(2, shared_part(0).short_key())], ms(1100));
    watch(&mut core, 25_000);
    assert!(!is_known(&mut core, 1, 25_001));
    // The engine itself knows better.
    core.record_part_changes(&[part_change(2, false)], ms(25_002));
    core.record_part_changes(&[part_change(2, true)], ms(25_003));
    watch(&mut core, 60_000);
    assert!(is_known(&mut core, 2, 60_001));
}

/// Changes that are told in one message are recorded at the same instant.
#[test]
fn the_newer_half_of_the_parts_stays_if_many_change_at_once() {
    let mut core = watched_core(212.0);
    let parts: Vec<PartKey> =
        (0..1200).map(|number| shared_part(number).short_key()).collect();
    let changes: Vec<PartChange> = parts
        .iter()
        .map(|part| PartChange { server: 2, part: *part, cached: true })
        .collect();
    let known = |core: &RouteCore, parts: &[PartKey], now| {
        parts
            .iter()
            .filter(|part| core.has_cached(2, **part, ms(now)))
            .count()
    };
    core.record_part_changes(&changes[..600], ms(10));
    // The 514th part finds 513, of which 257 stay.
    assert_eq!(known(&core, &parts, 11), 257 + 87);
    core.record_part_changes(&changes[600..], ms(20));
    assert_eq!(known(&core, &parts[..600], 21), 0, "older than the others");
    assert!((257..=513).contains(&known(&core, &parts[600..], 21)));
}

/// Creates an instance that has learnt the rates of watched engines, in tokens per
/// millisecond, and has been idle since.
fn core_with_rates(rates: &[f64]) -> RouteCore {
    let mut core = RouteCore::new(RouteOptions::default());
    learn_rates(&mut core, rates, 0);
    core
}

/// Lets each engine prefill five prompts at a rate, from `start` for at most 10 s.
fn learn_rates(core: &mut RouteCore, rates: &[f64], start: u64) {
    let servers = 0..rates.len() as u32;
    for round in 0..5 {
        let now = start + round * 2000;
        let mut first_tokens = vec![];
        for (server, rate) in servers.clone().zip(rates) {
            let listed = servers.clone().map(|other| RoutedServer {
                leaving: other != server,
                ..fetching_engine(other)
            });
            core.set_servers(POOL, &listed.collect::<Vec<_>>(), ms(now));
            let request = (1 + start + round) * 1000 + u64::from(server);
            let part = shared_part(1_000_000 + request);
            choice_of(&core.arrive(call_with(request, part), ms(now)));
            let tokens = f64::from(SHARED_TOKENS + OWN_TOKENS);
            first_tokens.push(((tokens / rate + OVERHEAD_MS) as u64, request));
        }
        first_tokens.sort_unstable();
        for (elapsed, request) in first_tokens {
            core.record_response_data(request, ms(now + elapsed));
            core.finish(request, ms(now + elapsed));
        }
    }
    let listed: Vec<RoutedServer> = servers.map(fetching_engine).collect();
    core.set_servers(POOL, &listed, ms(start + 10_000));
}

/// A part may get its next home at any engine, so its demand is measured by the mean rate
/// of all, also while a slow one has prefilled it.
#[test]
fn a_part_that_a_slow_engine_prefills_needs_no_more_homes() {
    // How many prompts are prefilled, and whether one home is enough for them.
    for (prompts, is_enough) in [(54, true), (120, false)] {
        let mut core = core_with_rates(&[10.0, READ_RATE, READ_RATE, READ_RATE]);
        watch(&mut core, 10_000);
        let part = shared_part(0);
        let request = call_with(1, part);
        let home = choice_of(&core.arrive(request, ms(10_000))).server;
        core.record_response_data(1, ms(10_250));
        core.finish(1, ms(10_250));
        let prefills = vec![(0, part.short_key()); prompts];
        core.record_peer_prefills(&prefills, ms(10_251));
        core.record_peer_prefills(&[(home, part.short_key())], ms(10_251));
        let pending_prefill = [0, 10_000, 0];
        let load = PeerLoad { server: home, short: 0, long: 1, pending_prefill };
        core.set_peer_loads(7, &[load], ms(10_252));
        let stays = probe(&mut core, 2, 10_253).server == home;
        assert_eq!(stays, is_enough, "{prompts} prompts");
    }
}

/// Returns the homes of 1,200 parts.
fn homes_at(core: &mut RouteCore, engines: u32, now: u64) -> Vec<ServerId> {
    let sightings: Vec<EngineSighting> = (0..engines).map(sighting).collect();
    core.record_sightings(&sightings, ms(now));
    let homes = (0..1200).map(|number| {
        let request = 100_000_000 + number;
        let actions = core.arrive(call_with(request, shared_part(number)), ms(now));
        core.cancel(request, ms(now));
        let choice = choice_of(&actions);
        assert_eq!(choice.reason, RouteReason::Home);
        choice.server
    });
    homes.collect()
}

/// Returns the home of a short prompt with a shared part.
fn short_home(core: &mut RouteCore, number: u64, now: u64) -> ServerId {
    let request = 200_000_000 + number;
    let part = PromptPart { tokens: 1500, ..shared_part(number) };
    let actions = core.arrive(call_with(request, part), ms(now));
    core.cancel(request, ms(now));
    choice_of(&actions).server
}

#[test]
fn with_long_and_short_prompts_homes_are_in_the_lane_and_move_only_into_it() {
    let homes_of = |seed, with_short: bool| {
        let mut core = core_with_rates(&[READ_RATE; 20]);
        core.set_seed(seed);
        let long = |core: &mut RouteCore| homes_at(core, 20, 60_000);
        if !with_short {
            return (long(&mut core), BTreeSet::new());
        }
        core.arrive(call_with(300_000_000, shared_part(0)), ms(60_000));
        core.cancel(300_000_000, ms(60_000));
        let short = (0..200).map(|number| short_home(&mut core, number, 60_000));
        let short: BTreeSet<ServerId> = short.collect();
        (long(&mut core), short)
    };
    let (before, _) = homes_of(1, false);
    let (homes, short) = homes_of(1, true);
    assert_eq!(homes_of(2, true), (homes.clone(), short.clone()), "on each instance");
    let lane: BTreeSet<ServerId> = homes.iter().copied().collect();
    assert!((5..20).contains(&lane.len()), "{lane:?}");
    assert!(short.len() >= 4 && lane.is_disjoint(&short), "{lane:?}, {short:?}");
    for (from, to) in before.iter().zip(&homes) {
        assert!(from == to || !lane.contains(from), "moved from {from} to {to}");
    }
}
