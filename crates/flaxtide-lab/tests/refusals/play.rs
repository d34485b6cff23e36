//! The play of servers that fail if they have to refuse many requests in a second.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{
    EngineShape, ForwardPeer, GroupMember, InstanceGroup, RetryDecision, RouteAction,
    RouteCall, RouteCore, RouteFault, RouteOptions, RoutedServer, ServerStatement,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::common::{POOL, call, plain_server};

/// How long a refusal takes.
const REFUSAL: Duration = Duration::from_millis(2);

/// How much the clock moves in a step.
const STEP: Duration = Duration::from_millis(1);

/// How often an instance does what it does periodically.
const TICK: Duration = Duration::from_millis(100);

/// How long is played.
const SPAN: Duration = Duration::from_secs(16);

/// From when on servers state how many refusals they bear, and from when on more make them fail
/// and fewer requests wait there.
const STATED_FROM: Duration = Duration::from_secs(3);
const BRITTLE_FROM: Duration = Duration::from_secs(6);

/// How many refusals a second a server bears.
const LIMIT: u32 = 8;

/// How long a server that has failed is away.
const AWAY: Duration = Duration::from_secs(2);

/// How often an instance asks peers what they reach, and how many.
const ASK_PERIOD: Duration = Duration::from_millis(300);
const ASKED_PEERS: usize = 8;

/// The identifier of the first peer.
const FIRST_PEER: ServerId = 1_000_000;

/// The most instances that are all known to each other by name.
const MAX_KNOWN: u32 = 58;

/// Added to the identifier of a server for its next incarnation.
const NEXT_INCARNATION: ServerId = 10_000;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrittlePattern {
    pub(crate) instances: u32,
    pub(crate) data_centres: u32,
    pub(crate) servers: u32,
    /// Whether the servers are engines, whose requests instances tell each other.
    pub(crate) engines: bool,
    /// How many requests a server runs.
    pub(crate) slots: usize,
    /// How long a server takes for a request.
    pub(crate) work: Duration,
    /// How many requests wait at a server before and after it is brittle.
    pub(crate) waiting: (usize, usize),
    /// How often an instance tells the others what it has at servers.
    pub(crate) told_every: Duration,
    /// Whether a server comes back as a new incarnation.
    pub(crate) renews: bool,
    /// The requests as a multiple of what the servers can run.
    pub(crate) load: f64,
    /// The part of the instances to which no request comes.
    pub(crate) idle: f64,
    /// Whether servers say how much they bear.
    pub(crate) states: bool,
}

impl BrittlePattern {
    /// Returns how many requests fit while servers are brittle.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.servers) * self.slots as f64 / self.work.as_secs_f64()
            * (SPAN - BRITTLE_FROM).as_secs_f64()
    }

    /// Returns the data centre of one of `count` instances or servers.
    fn data_centre(&self, number: u32, count: u32) -> u32 {
        number * self.data_centres / count
    }
}

/// What was seen once servers were brittle.
#[derive(Debug, Default)]
pub(crate) struct BrittleResult {
    pub(crate) falls: u32,
    pub(crate) came: u32,
    pub(crate) answered: u32,
    /// What was refused by servers.
    pub(crate) refused: u32,
    /// The instances to which requests came and none of them was answered.
    pub(crate) unserved: u32,
}

/// A server.
#[derive(Debug, Clone, Default)]
struct BrittleServer {
    /// The identifier of its present incarnation.
    id: ServerId,
    /// What it runs, and from which instance.
    running: Vec<(usize, RequestId)>,
    waiting: VecDeque<(usize, RequestId)>,
    refused_at: VecDeque<Duration>,
    away_until: Duration,
    was_away: bool,
}

/// What becomes of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Done,
    Refused,
    Broken,
    Unreachable,
    /// A peer has had it answered, or hasn't.
    Carried,
    Declined(u32),
}

/// When something happens to a request, at which instance, and at which incarnation.
type PendingEvent = (Duration, usize, RequestId, ServerId, Event);

/// The play.
pub(crate) struct BrittlePlay {
    pattern: BrittlePattern,
    cores: Vec<RouteCore>,
    servers: Vec<BrittleServer>,
    events: BinaryHeap<Reverse<PendingEvent>>,
    came_at: HashMap<RequestId, Duration>,
    /// The instance and the request of it that a peer's request was forwarded from.
    origins: HashMap<RequestId, (usize, RequestId)>,
    /// To how many servers each request was sent that was forwarded.
    sends: HashMap<RequestId, u32>,
    /// The requests that came to each instance once servers were brittle, and those of them that
    /// were answered.
    served: Vec<(u32, u32)>,
    random: SmallRng,
    request: RequestId,
    result: BrittleResult,
    now: Duration,
}

impl BrittlePlay {
    pub(crate) fn new(pattern: BrittlePattern, seed: u64) -> Self {
        let servers = (0..pattern.servers)
            .map(|id| BrittleServer { id, ..BrittleServer::default() });
        Self {
            cores: (0..pattern.instances)
                .map(|number| start_core(&pattern, number))
                .collect(),
            servers: servers.collect(),
            events: BinaryHeap::new(),
            came_at: HashMap::new(),
            origins: HashMap::new(),
            sends: HashMap::new(),
            served: vec![(0, 0); pattern.instances as usize],
            random: SmallRng::seed_from_u64(seed),
            request: 0,
            result: BrittleResult::default(),
            now: Duration::ZERO,
            pattern,
        }
    }

    pub(crate) fn run(mut self) -> BrittleResult {
        while self.now < SPAN {
            self.now += STEP;
            self.return_servers();
            if self.now == BRITTLE_FROM {
                self.shorten_queues();
            }
            self.handle_events();
            if self.now.as_millis().is_multiple_of(TICK.as_millis()) {
                for number in 0..self.cores.len() {
                    let actions = self.cores[number].tick(self.now);
                    self.take(number, actions);
                    self.cores[number].update_reach(self.now);
                    self.ask_peers(number);
                }
            }
            self.tell_loads();
            self.send_requests();
        }
        let unserved = self
            .served
            .iter()
            .filter(|(came, answered)| *came > 0 && *answered == 0);
        self.result.unserved = unserved.count() as u32;
        self.result
    }

    /// Has requests come from callers.
    fn send_requests(&mut self) {
        let BrittlePattern { servers, slots, work, load, idle, .. } = self.pattern;
        let demand = f64::from(servers) * slots as f64 / work.as_secs_f64() * load;
        let expected = demand * STEP.as_secs_f64();
        let more = u32::from(self.random.random_bool(expected.fract()));
        let first = (self.cores.len() as f64 * idle) as usize;
        for _ in 0..expected as u32 + more {
            self.request += 1;
            self.came_at.insert(self.request, self.now);
            let number = self.random.random_range(first..self.cores.len());
            let counted = u32::from(self.now >= BRITTLE_FROM);
            self.result.came += counted;
            self.served[number].0 += counted;
            let arrival = self.arrival(self.request, self.now);
            let actions = self.cores[number].arrive(arrival, self.now);
            self.take(number, actions);
        }
    }

    /// Returns a request of a caller who came at a time. It leaves servers the time that they take.
    fn arrival(&self, request: RequestId, came: Duration) -> RouteCall {
        let arrival = call(request, came);
        RouteCall {
            target: arrival.target + self.pattern.work,
            deadline: arrival.deadline + self.pattern.work * 2,
            ..arrival
        }
    }

    /// Tells all instances what some have at servers.
    fn tell_loads(&mut self) {
        if !self.pattern.engines {
            return;
        }
        let period = self.pattern.told_every.as_millis();
        let count = self.cores.len();
        for number in 0..count {
            let offset = period * number as u128 / count as u128;
            if self.now.as_millis() % period != offset {
                continue;
            }
            let loads = self.cores[number].own_loads(self.now);
            for (other, core) in self.cores.iter_mut().enumerate() {
                if other != number {
                    core.set_peer_loads(number as u32, &loads, self.now);
                }
            }
        }
    }

    /// Asks some peers what they reach, if they should forward requests.
    fn ask_peers(&mut self, number: usize) {
        let is_due = self.now.as_millis().is_multiple_of(ASK_PERIOD.as_millis());
        if !is_due || self.cores[number].forwarding_pools().is_empty() {
            return;
        }
        let mut asked = BTreeSet::new();
        while asked.len() < ASKED_PEERS.min(self.cores.len() - 1) {
            let peer = self.random.random_range(0..self.cores.len());
            if peer != number {
                asked.insert(peer);
            }
        }
        let data_centre =
            |it: usize| self.pattern.data_centre(it as u32, self.pattern.instances);
        let offers = asked.into_iter().flat_map(|peer| {
            let offered = self.cores[peer].offered_pools().into_iter();
            offered.map(move |(_, reach)| (peer, reach))
        });
        let peers = offers.map(|(peer, reach)| ForwardPeer {
            peer: FIRST_PEER + peer as ServerId,
            local: data_centre(peer) == data_centre(number),
            reach,
        });
        let peers: Vec<ForwardPeer> = peers.collect();
        let actions = self.cores[number].set_forward_peers(POOL, &peers, self.now);
        self.take(number, actions);
    }

    /// Forwards a request to a peer.
    fn forward(&mut self, number: usize, request: RequestId, peer: usize) {
        self.request += 1;
        self.origins.insert(self.request, (number, request));
        let came = self.came_at.get(&request).copied().unwrap_or(self.now);
        let arrival = self.arrival(self.request, came);
        let actions = self.cores[peer].arrive_forwarded(arrival, self.now);
        self.take(peer, actions);
    }

    /// Tells an instance that has forwarded a request what has become of it at a peer.
    fn tell_origin(&mut self, request: RequestId, answered: bool) {
        let sends = self.sends.remove(&request).unwrap_or_default();
        if let Some((from, at_origin)) = self.origins.remove(&request) {
            let event = if answered { Event::Carried } else { Event::Declined(sends) };
            self.events
                .push(Reverse((self.now + STEP, from, at_origin, 0, event)));
        }
    }

    /// Carries out what an instance has decided.
    fn take(&mut self, number: usize, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch { request, choice, .. } => {
                    self.send(number, request, choice.server);
                }
                RouteAction::Refuse { request, .. } => self.tell_origin(request, false),
            }
        }
    }

    /// Sends a request to a server, or to a peer.
    fn send(&mut self, number: usize, request: RequestId, target: ServerId) {
        if target >= FIRST_PEER {
            return self.forward(number, request, (target - FIRST_PEER) as usize);
        }
        if self.origins.contains_key(&request) {
            *self.sends.entry(request).or_default() += 1;
        }
        let place = (target % NEXT_INCARNATION) as usize;
        let most = self.pattern.slots + self.most_waiting();
        let server = &mut self.servers[place];
        if server.id != target || self.now < server.away_until {
            let event = (self.now, number, request, target, Event::Unreachable);
            self.events.push(Reverse(event));
        } else if server.running.len() < self.pattern.slots {
            server.running.push((number, request));
            let done = self.now + self.pattern.work;
            self.events
                .push(Reverse((done, number, request, target, Event::Done)));
        } else if server.running.len() + server.waiting.len() < most {
            server.waiting.push_back((number, request));
        } else {
            self.refuse(place, number, request);
        }
    }

    /// Returns how many requests wait at a server at most.
    fn most_waiting(&self) -> usize {
        let (before, after) = self.pattern.waiting;
        if self.now < BRITTLE_FROM { before } else { after }
    }

    /// Has servers refuse what may not wait there any longer.
    fn shorten_queues(&mut self) {
        let most = self.most_waiting();
        for place in 0..self.servers.len() {
            while self.servers[place].waiting.len() > most {
                let last = self.servers[place].waiting.pop_back();
                let Some((number, request)) = last else { break };
                self.refuse(place, number, request);
            }
        }
    }

    /// Has a server refuse a request, and fail if it has refused too many.
    fn refuse(&mut self, place: usize, number: usize, request: RequestId) {
        let (now, server) = (self.now, &mut self.servers[place]);
        let event = (now + REFUSAL, number, request, server.id, Event::Refused);
        self.events.push(Reverse(event));
        let since = now.saturating_sub(Duration::from_secs(1));
        server.refused_at.retain(|at| *at > since);
        server.refused_at.push_back(now);
        if now < BRITTLE_FROM {
            return;
        }
        self.result.refused += 1;
        if server.refused_at.len() > LIMIT as usize {
            self.result.falls += 1;
            let lost = server.running.drain(..).chain(server.waiting.drain(..));
            for (number, request) in lost {
                self.events.push(Reverse((
                    now,
                    number,
                    request,
                    server.id,
                    Event::Broken,
                )));
            }
            server.refused_at.clear();
            server.away_until = now + AWAY;
            server.was_away = true;
        }
    }

    /// Has servers come back that have been away long enough.
    fn return_servers(&mut self) {
        for place in 0..self.servers.len() {
            let server = &mut self.servers[place];
            if !server.was_away || self.now < server.away_until {
                continue;
            }
            server.was_away = false;
            if !self.pattern.renews {
                continue;
            }
            let before = server.id;
            server.id += NEXT_INCARNATION;
            let id = server.id;
            for number in 0..self.cores.len() {
                let listing = listing(&self.pattern, id, number as u32);
                let core = &mut self.cores[number];
                let actions = core.update_servers(POOL, &[listing], &[before], self.now);
                self.take(number, actions);
            }
        }
    }

    /// Handles what happens now.
    fn handle_events(&mut self) {
        while self.events.peek().is_some_and(|Reverse(first)| first.0 <= self.now) {
            let Some(Reverse((_, number, request, target, event))) = self.events.pop()
            else {
                return;
            };
            let server = &mut self.servers[(target % NEXT_INCARNATION) as usize];
            if event == Event::Done {
                let place = server.running.iter().position(|at| *at == (number, request));
                // What a server ran when it failed isn't done.
                let Some(place) = place.filter(|_| server.id == target) else {
                    continue;
                };
                server.running.swap_remove(place);
                if let Some((other, next)) = server.waiting.pop_front() {
                    server.running.push((other, next));
                    let done = self.now + self.pattern.work;
                    self.events.push(Reverse((done, other, next, target, Event::Done)));
                }
            }
            if matches!(event, Event::Done | Event::Refused) {
                let states = self.pattern.states && self.now >= STATED_FROM;
                let statement = ServerStatement {
                    refusal_limit: states.then_some(LIMIT),
                    ..ServerStatement::default()
                };
                let sent = self.now - REFUSAL;
                self.cores[number].record_statement(target, statement, sent, self.now);
            }
            self.end(number, request, event);
        }
    }

    /// Tells an instance what has become of its request.
    fn end(&mut self, number: usize, request: RequestId, event: Event) {
        let fault = match event {
            Event::Done | Event::Carried => {
                self.tell_origin(request, true);
                let counted =
                    self.came_at.get(&request).is_some_and(|at| *at >= BRITTLE_FROM);
                self.result.answered += u32::from(counted);
                self.served[number].1 += u32::from(counted);
                let actions = self.cores[number].finish(request, self.now);
                return self.take(number, actions);
            }
            Event::Refused => RouteFault::Full,
            Event::Broken => RouteFault::Broken,
            Event::Unreachable => RouteFault::Unreachable,
            Event::Declined(sends) => {
                self.cores[number].record_peer_sends(request, sends);
                RouteFault::Declined
            }
        };
        let core = &mut self.cores[number];
        let (verdict, actions) = core.fail(request, fault, false, self.now);
        if verdict == RetryDecision::Stop {
            core.cancel(request, self.now);
            self.tell_origin(request, false);
        }
        self.take(number, actions);
    }
}

/// Starts an instance.
fn start_core(pattern: &BrittlePattern, number: u32) -> RouteCore {
    let mut core = RouteCore::new(RouteOptions::default());
    core.set_seed(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    core.set_instances(pattern.instances, true);
    core.set_group(Arc::new(group(pattern, number)), Duration::ZERO);
    let servers = (0..pattern.servers).map(|server| listing(pattern, server, number));
    let servers: Vec<RoutedServer> = servers.collect();
    core.set_servers(POOL, &servers, Duration::ZERO);
    core
}

/// Returns the live instances, as one of them sees them.
fn group(pattern: &BrittlePattern, number: u32) -> InstanceGroup {
    let member = |instance| GroupMember {
        instance,
        data_centre: pattern.data_centre(instance, pattern.instances),
    };
    let own = member(number);
    let is_known = |it: &GroupMember| {
        pattern.instances <= MAX_KNOWN || it.data_centre == own.data_centre
    };
    let members: Vec<GroupMember> =
        (0..pattern.instances).map(member).filter(is_known).collect();
    let others: BTreeMap<u32, ()> = (0..pattern.data_centres)
        .filter(|data_centre| members.iter().all(|it| it.data_centre != *data_centre))
        .map(|data_centre| (data_centre, ()))
        .collect();
    InstanceGroup {
        own,
        members,
        other_data_centres: others.into_keys().collect(),
    }
}

/// Returns a server as an instance sees it in the list.
fn listing(pattern: &BrittlePattern, id: ServerId, instance: u32) -> RoutedServer {
    let rank = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let data_centre = pattern.data_centre(id % NEXT_INCARNATION, pattern.servers);
    let local = data_centre == pattern.data_centre(instance, pattern.instances);
    let engine = pattern
        .engines
        .then_some(EngineShape { memory_tokens: 400_000, fetch_tokens_per_ms: None });
    RoutedServer {
        slots: pattern.slots as u32,
        engine,
        ..plain_server(id, rank, data_centre, local)
    }
}
