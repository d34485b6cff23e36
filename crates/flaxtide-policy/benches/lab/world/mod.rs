//! One run of a scenario under a policy.

mod news;
mod trouble;

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    DecisionCore, PolicyAction, PolicyEvent, PolicyOptions, ServerFault, SlotDemand,
    divide_slots, equal_share,
};

use super::baseline::{IdealRouter, LeastLoadedRouter, PlainRouter, Router};
use super::engine::{EngineCall, FakeEngine, MadeToken};
use super::scenario::{
    CLASSES, ENGINES, EVENT_MS, INSTANCES, LOAD_MS, LabArrival, RUN_MS, SLOTS, STEP_MS,
    Scenario, draw_arrivals, rules,
};
use super::score::RunScore;

/// The names of the instances.
const NAMES: [&str; INSTANCES] = ["i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"];

/// How often load is reported and shares are divided, in milliseconds.
const PERIOD_MS: u64 = 280;

/// Where a skewed balancer sends the drafts.
const SKEWED_TO: usize = 2;

/// How many tokens pass between two words on the pace.
const PACE_TOKENS: u32 = 16;

/// How much time for each further token an answer may take to meet its target, in
/// milliseconds.
const BETWEEN_MS: u64 = 67;

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// First in first out, round robin, blind retries.
    Plain,
    /// The least reported load, strict priorities.
    LeastLoaded,
    /// The decision core, with each server's slots divided equally.
    EqualSplit,
    /// The decision core.
    Flaxtide,
    /// The upper bound.
    Ideal,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [Self; 5] =
        [Self::Plain, Self::LeastLoaded, Self::EqualSplit, Self::Flaxtide, Self::Ideal];

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::LeastLoaded => "least-loaded",
            Self::EqualSplit => "equal split",
            Self::Flaxtide => "flaxtide",
            Self::Ideal => "ideal",
        }
    }
}

/// An open request.
struct LabCall {
    /// What came.
    arrival: LabArrival,
    /// Its instance.
    instance: usize,
    /// The current attempt.
    attempt: u32,
    /// Its engine, while it is at one.
    engine: Option<u32>,
    /// How many tokens the caller has.
    received: u32,
    /// When the first and the last token came.
    first: Option<u64>,
    /// When the last token came.
    last: u64,
    /// How long the engine may be silent, from when.
    patience: Option<(u64, u64)>,
}

/// A run.
struct World {
    /// The policy's kind.
    kind: PolicyKind,
    /// What happens.
    scenario: Scenario,
    /// The time, in milliseconds.
    now: u64,
    /// The engines.
    engines: Vec<FakeEngine>,
    /// The instances; the ideal policy has one for all.
    routers: Vec<Option<Box<dyn Router>>>,
    /// The open requests.
    calls: BTreeMap<u64, LabCall>,
    /// The demands that peers were last told of.
    told: Vec<SlotDemand>,
    /// What the run has come to.
    score: RunScore,
}

/// Runs a scenario under a policy.
pub fn run(
    scenario: &Scenario,
    kind: PolicyKind,
    options: &PolicyOptions,
    seed: u64,
) -> RunScore {
    let arrivals = draw_arrivals(scenario, seed);
    let mut world = World::new(*scenario, kind, options, seed);
    let mut next = 0;
    while world.now < RUN_MS {
        while arrivals.get(next).is_some_and(|arrival| arrival.at == world.now) {
            world.arrive(&arrivals[next]);
            next += 1;
        }
        world.tick();
        world.now += 1;
    }
    world.close()
}

impl World {
    /// Makes a world at its start.
    fn new(
        scenario: Scenario,
        kind: PolicyKind,
        options: &PolicyOptions,
        seed: u64,
    ) -> Self {
        let step =
            |number| if number < scenario.stragglers { 5 * STEP_MS } else { STEP_MS };
        let engines =
            (0..ENGINES).map(|number| FakeEngine::new(number, SLOTS, step(number)));
        let count = if kind == PolicyKind::Ideal { 1 } else { INSTANCES };
        let mut options = options.clone();
        if kind == PolicyKind::EqualSplit {
            // The plain form: an equal part, and nothing beyond it.
            options.idle_part = 0.0;
        }
        let routers = (0..count).map(|index| -> Option<Box<dyn Router>> {
            Some(match kind {
                PolicyKind::Plain => Box::new(PlainRouter::default()),
                PolicyKind::LeastLoaded => Box::new(LeastLoadedRouter::default()),
                PolicyKind::Flaxtide | PolicyKind::EqualSplit => Box::new(
                    DecisionCore::new(options.clone(), seed * 100 + index as u64),
                ),
                PolicyKind::Ideal => {
                    let mut router = IdealRouter::default();
                    router.shunned =
                        (0..scenario.stragglers + scenario.crashes).collect();
                    Box::new(router)
                }
            })
        });
        let mut world = Self {
            kind,
            scenario,
            now: 0,
            engines: engines.collect(),
            routers: routers.collect(),
            calls: BTreeMap::new(),
            told: vec![SlotDemand::default(); count],
            score: RunScore::default(),
        };
        for index in 0..count {
            world.tell(index, PolicyEvent::Rules(rules()));
            world.tell_peers(index);
        }
        world
    }

    /// Tells an instance what it falls back on.
    fn tell_peers(&mut self, index: usize) {
        let share = |server: u32| {
            (server, equal_share(SLOTS as u32, u64::from(server), &NAMES, index))
        };
        let fallbacks = (0..ENGINES).map(share).collect();
        self.tell(index, PolicyEvent::Peers { live: INSTANCES as u32, fallbacks });
    }

    /// Tells an instance what happened, and does what it decides.
    fn tell(&mut self, index: usize, event: PolicyEvent) {
        let now = Duration::from_millis(self.now);
        let Some(router) = self.routers[index].as_mut() else { return };
        for action in router.handle(event, now) {
            self.act(index, action);
        }
    }

    /// Does what an instance has decided.
    fn act(&mut self, index: usize, action: PolicyAction) {
        match action {
            PolicyAction::Wait { .. } => {}
            PolicyAction::Dispatch {
                request,
                choice,
                priority,
                silence_timeout: patience,
                ..
            } => {
                let patience = patience.map(|span| (self.now, span.as_millis() as u64));
                self.dispatch(index, request, choice.server, priority, patience);
            }
            PolicyAction::Refuse { request, reason, .. } => {
                self.give_up(request, reason.name());
            }
            PolicyAction::GiveUp { request, .. } => self.give_up(request, "gave_up"),
        }
    }

    /// Ends a request that isn't answered.
    fn give_up(&mut self, request: u64, reason: &'static str) {
        let Some(call) = self.calls.remove(&request) else { return };
        if CLASSES[usize::from(call.arrival.arrival.class)].tier == 0 {
            *self.score.refusals.entry(reason).or_default() += 1;
        }
    }

    /// Sends a request to an engine.
    fn dispatch(
        &mut self,
        index: usize,
        request: u64,
        server: u32,
        priority: u8,
        patience: Option<(u64, u64)>,
    ) {
        let resumes = !matches!(self.kind, PolicyKind::Plain | PolicyKind::LeastLoaded);
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.attempt += 1;
        call.patience = patience;
        call.engine = Some(server);
        let engine = &mut self.engines[server as usize];
        if self.now < engine.down_until {
            call.engine = None;
            let fault = ServerFault::NotRun;
            let passed_on = call.received;
            self.tell(index, PolicyEvent::Fail { request, fault, passed_on });
            return;
        }
        if !resumes {
            call.received = 0;
        }
        let arrival = &call.arrival.arrival;
        let entry = EngineCall {
            request,
            attempt: call.attempt,
            priority,
            made: call.received,
            length: call.arrival.length,
            prefill: 0,
        };
        engine.take(entry, arrival.prompt_tokens, arrival.prefix.unwrap_or_default());
    }

    /// Has a request come.
    fn arrive(&mut self, arrival: &LabArrival) {
        let request = arrival.arrival.request;
        let class = usize::from(arrival.arrival.class);
        self.score.sent[class] += 1;
        if class == 3 {
            self.score.organisations[usize::from(arrival.arrival.organisation)].0 += 1;
        }
        let mut index = request as usize % self.routers.len();
        if self.scenario.skewed && class == 0 {
            // The balancer sends most drafts to a quarter of the instances.
            index %= SKEWED_TO.min(self.routers.len());
        }
        if self.routers[index].is_none() {
            // The balancer has noticed.
            index = 1 + request as usize % (self.routers.len() - 1);
        }
        let call = LabCall {
            arrival: arrival.clone(),
            instance: index,
            attempt: 0,
            engine: None,
            received: 0,
            first: None,
            last: 0,
            patience: None,
        };
        self.calls.insert(request, call);
        self.tell(index, PolicyEvent::Arrive(arrival.arrival.clone()));
    }

    /// Has a millisecond pass.
    fn tick(&mut self) {
        if self.now == EVENT_MS {
            self.strike();
        }
        for number in 0..self.engines.len() {
            let made = self.engines[number].step(self.now, number as u64);
            self.score.made_tokens += made.len() as u64;
            for token in made {
                self.take_token(token);
            }
        }
        if self.now.is_multiple_of(PERIOD_MS) {
            self.spread_news();
        }
        if self.now.is_multiple_of(10) {
            self.lose_patience();
            for index in 0..self.routers.len() {
                self.tell(index, PolicyEvent::Tick);
            }
        }
    }

    /// Tells the owner of a request that its engine failed.
    fn break_off(&mut self, request: u64, attempt: u32, fault: ServerFault) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        if call.attempt != attempt {
            return;
        }
        call.engine = None;
        let (index, passed_on) = (call.instance, call.received);
        self.tell(index, PolicyEvent::Fail { request, fault, passed_on });
    }

    /// Passes a token on to its caller.
    fn take_token(&mut self, token: MadeToken) {
        let request = token.request;
        let Some(call) = self.calls.get_mut(&request) else { return };
        if call.attempt != token.attempt {
            return;
        }
        let (index, span) = (call.instance, self.now - call.last);
        call.received = token.made;
        call.patience = call.patience.map(|(_, span)| (self.now, span));
        let first = call.first.is_none();
        call.first.get_or_insert(self.now);
        if first {
            call.last = self.now;
            self.tell(index, PolicyEvent::FirstToken { request });
        } else if token.made.is_multiple_of(PACE_TOKENS) {
            call.last = self.now;
            let span = Duration::from_millis(span);
            self.tell(
                index,
                PolicyEvent::Progress { request, tokens: PACE_TOKENS, span },
            );
        }
        if token.whole {
            self.finish(request);
        }
    }

    /// Ends a request whose answer is whole.
    fn finish(&mut self, request: u64) {
        let Some(call) = self.calls.remove(&request) else { return };
        let class = usize::from(call.arrival.arrival.class);
        let tokens = call.arrival.length;
        self.score.whole_tokens += u64::from(tokens);
        let first = call.first.unwrap_or(self.now);
        let wait = first - call.arrival.at;
        self.score.worst_wait[class] = self.score.worst_wait[class].max(wait);
        let rest = self.now - first;
        if wait <= CLASSES[class].first_token_ms && rest <= u64::from(tokens) * BETWEEN_MS
        {
            self.score.met[class] += 1;
            self.score.good_tokens += u64::from(tokens);
            if class == 3 {
                let organisation = usize::from(call.arrival.arrival.organisation);
                self.score.organisations[organisation].1 += 1;
            }
        }
        self.tell(call.instance, PolicyEvent::Finish { request, tokens });
    }

    /// Drops a request at every engine.
    fn cancel(&mut self, request: u64) {
        for engine in &mut self.engines {
            engine.cancel(request);
        }
    }

    /// Ends the run. Requests whose time isn't over count for nobody.
    fn close(mut self) -> RunScore {
        for call in self.calls.values() {
            let class = usize::from(call.arrival.arrival.class);
            let target = CLASSES[class].first_token_ms;
            let waited = self.now - call.arrival.at;
            self.score.worst_wait[class] = match call.first {
                Some(first) => self.score.worst_wait[class].max(first - call.arrival.at),
                None => self.score.worst_wait[class].max(waited),
            };
            if call.first.is_none() && waited <= target || call.first.is_some() {
                self.score.sent[class] -= 1;
                self.score.whole_tokens += u64::from(call.received);
            }
        }
        debug_assert!(self.now >= LOAD_MS);
        self.score
    }
}
