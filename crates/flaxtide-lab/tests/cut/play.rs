//! The play of instances that lose the path to all servers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{
    ForwardPeer, GroupMember, InstanceGroup, RequestRate, RetryDecision, RouteAction,
    RouteCore, RouteFault, RouteOptions, RoutedServer, ServerStatement, StatedRate,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::common::{POOL, call, plain_server};

/// How long a server takes for a request.
const WORK: Duration = Duration::from_millis(60);

/// How long a server takes to refuse a request.
const REFUSAL: Duration = Duration::from_millis(2);

/// The time-out of a connection that can't be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How much the clock moves in a step.
const STEP: Duration = Duration::from_millis(1);

/// From when to when is played. Instances have been running for a window of the retry budget.
const SPAN: (Duration, Duration) = (Duration::from_secs(12), Duration::from_secs(26));

/// From when to when instances are cut, and from when on their callers are judged.
const CUT: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(23));
pub(crate) const JUDGED_FROM: Duration = Duration::from_secs(18);

/// The window of the retry budget.
const WINDOW: Duration = Duration::from_secs(10);

/// How often an instance asks peers, and how many.
const ASK_PERIOD: Duration = Duration::from_millis(300);
const ASKED_PEERS: usize = 8;

/// The identifier of the first peer.
const FIRST_PEER: ServerId = 1_000_000;

/// What is played: instances, of which the first `cut` lose the path; each gets `rate` requests a
/// second. The data centres are equally large and follow each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CutPattern {
    pub(crate) instances: usize,
    pub(crate) data_centres: usize,
    pub(crate) cut: usize,
    pub(crate) servers: u32,
    pub(crate) rate: f64,
    /// The part of the requests that servers refuse during the cut.
    pub(crate) refused: f64,
    /// The retries that the fleet may make in a window beyond those that requests add.
    pub(crate) slack: f64,
    /// What servers state that they bear.
    pub(crate) limit: ServerLimit,
    /// How many requests a server runs at a time, and how many more it queues. It refuses others.
    pub(crate) slots: u32,
    pub(crate) waiting: u32,
}

/// What a server bears, over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ServerLimit {
    Anything,
    /// So many requests a second.
    Rate(f64),
    /// So many refusals a second, beyond which it fails.
    Refusals(u32),
}

impl ServerLimit {
    /// Returns what a server states with each response.
    fn statement(self) -> ServerStatement {
        let rate = match self {
            Self::Rate(rate) => RequestRate::from_per_second(rate),
            Self::Anything | Self::Refusals(_) => None,
        };
        ServerStatement {
            rate: rate.map_or(StatedRate::Unstated, StatedRate::Limited),
            refusal_limit: match self {
                Self::Refusals(limit) => Some(limit),
                Self::Anything | Self::Rate(_) => None,
            },
            ..ServerStatement::default()
        }
    }
}

/// What was seen.
#[derive(Debug, Default)]
pub(crate) struct CutResult {
    /// Requests at instances that had been cut for a while, and how many were served.
    pub(crate) cut: (u32, u32),
    /// The same at the others.
    pub(crate) others: (u32, u32),
    /// The most forwarded requests that one instance had at a time.
    pub(crate) most_carried: usize,
    /// The time from the end of the cut until all instances send directly again.
    pub(crate) back_after: Duration,
    /// When requests came from callers, and when they reached a server again.
    pub(crate) requests: Vec<Duration>,
    pub(crate) repeats: Vec<Duration>,
    /// When each server got requests, and when it refused some.
    pub(crate) arrivals: BTreeMap<ServerId, Vec<Duration>>,
    pub(crate) refusals: BTreeMap<ServerId, Vec<Duration>>,
}

impl CutResult {
    /// Returns by how many the repeats of a window exceed the budget at most.
    pub(crate) fn worst_excess(&self, slack: f64) -> f64 {
        let ratio = RouteOptions::default().retry_ratio;
        let count = |times: &[Duration], from: Duration| {
            let in_window = |at: &&Duration| **at >= from && **at < from + WINDOW;
            times.iter().filter(in_window).count() as f64
        };
        let excess = self.repeats.iter().map(|from| {
            let requests = count(&self.requests, *from);
            count(&self.repeats, *from) - ratio * requests - slack
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Something that happens to a request at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The server has answered.
    Answered(ServerId),
    /// A peer has answered.
    Carried,
    /// The server must not get the request any more.
    Withheld,
    /// The server can't be reached.
    Failed,
    /// The server has refused the request.
    Refused(ServerId),
    /// The peer can't serve it, and has sent it to so many servers.
    Declined(u32),
}

/// A request at an instance: that of a caller, or one that a peer forwarded, with the instance
/// and the request there.
type Origin = Option<(usize, RequestId)>;

/// The play.
pub(crate) struct CutPlay {
    pattern: CutPattern,
    cores: Vec<RouteCore>,
    events: BinaryHeap<Reverse<(Duration, usize, RequestId, Event)>>,
    origins: HashMap<(usize, RequestId), Origin>,
    came_at: HashMap<(usize, RequestId), Duration>,
    /// The servers that each open request has reached from an instance, and those that a
    /// caller's request has reached from all instances.
    reached: HashMap<(usize, RequestId), u32>,
    reached_in_all: HashMap<(usize, RequestId), u32>,
    carried: Vec<usize>,
    /// How many requests each server has.
    running: BTreeMap<ServerId, u32>,
    asked_at: Vec<Duration>,
    random: SmallRng,
    request: RequestId,
    result: CutResult,
    now: Duration,
}

impl CutPlay {
    pub(crate) fn new(pattern: CutPattern, seed: u64) -> Self {
        let servers = (0..pattern.servers).map(|server| {
            let rank = u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            RoutedServer {
                slots: pattern.slots,
                ..plain_server(server, rank, 0, true)
            }
        });
        let servers: Vec<RoutedServer> = servers.collect();
        let core = |number: usize| {
            let options = RouteOptions {
                retry_slack: pattern.slack,
                ..RouteOptions::default()
            };
            let mut core = RouteCore::new(options);
            core.set_seed(seed ^ (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            core.set_instances(pattern.instances as u32, true);
            core.set_group(Arc::new(group(&pattern, number)), Duration::ZERO);
            core.set_servers(POOL, &servers, Duration::ZERO);
            if let ServerLimit::Rate(rate) = pattern.limit {
                // Peers have told it.
                let heard = Duration::from_millis(1);
                for server in 0..pattern.servers {
                    let rate = RequestRate::from_per_second(rate);
                    core.record_peer_rate(server, rate, heard, heard);
                }
            }
            core
        };
        Self {
            cores: (0..pattern.instances).map(core).collect(),
            events: BinaryHeap::new(),
            origins: HashMap::new(),
            came_at: HashMap::new(),
            reached: HashMap::new(),
            reached_in_all: HashMap::new(),
            carried: vec![0; pattern.instances],
            running: BTreeMap::new(),
            asked_at: vec![Duration::ZERO; pattern.instances],
            random: SmallRng::seed_from_u64(seed),
            request: 0,
            result: CutResult::default(),
            now: SPAN.0,
            pattern,
        }
    }

    pub(crate) fn run(mut self) -> CutResult {
        while self.now < SPAN.1 {
            self.now += STEP;
            self.handle_events();
            if self.now.as_millis().is_multiple_of(100) {
                (0..self.pattern.instances).for_each(|number| self.maintain(number));
            }
            let expected =
                self.pattern.rate * self.pattern.instances as f64 * STEP.as_secs_f64();
            let more = u32::from(self.random.random_bool(expected.fract()));
            for _ in 0..expected as u32 + more {
                let number = self.random.random_range(0..self.pattern.instances);
                self.arrive(number, None);
            }
        }
        self.result
    }

    fn is_cut(&self, number: usize) -> bool {
        number < self.pattern.cut && self.now >= CUT.0 && self.now < CUT.1
    }

    fn data_centre(&self, number: usize) -> usize {
        number * self.pattern.data_centres / self.pattern.instances
    }

    /// Has a request come to an instance, from a caller or a peer.
    fn arrive(&mut self, number: usize, origin: Origin) {
        self.request += 1;
        let request = self.request;
        self.origins.insert((number, request), origin);
        let arrival = call(request, self.now);
        let actions = match origin {
            None => {
                self.came_at.insert((number, request), self.now);
                self.result.requests.push(self.now);
                if let Some(count) = self.count(number, self.now) {
                    count.0 += 1;
                }
                self.cores[number].arrive(arrival, self.now)
            }
            Some(_) => {
                self.carried[number] += 1;
                let most = self.result.most_carried.max(self.carried[number]);
                self.result.most_carried = most;
                self.cores[number].arrive_forwarded(arrival, self.now)
            }
        };
        self.take(number, actions);
    }

    /// Returns the counts for a request that came to an instance at a time.
    fn count(&mut self, number: usize, at: Duration) -> Option<&mut (u32, u32)> {
        let is_judged = at >= JUDGED_FROM && at < CUT.1 - WORK * 2;
        let is_cut = number < self.pattern.cut;
        is_judged.then_some(match is_cut {
            true => &mut self.result.cut,
            false => &mut self.result.others,
        })
    }

    /// Carries out what an instance has decided.
    fn take(&mut self, number: usize, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch { request, choice, .. } => {
                    self.send(number, request, choice.server);
                }
                RouteAction::Refuse { request, .. } => self.end(number, request, false),
            }
        }
    }

    /// Sends a request to a server or to a peer.
    fn send(&mut self, number: usize, request: RequestId, target: ServerId) {
        if target >= FIRST_PEER {
            let peer = (target - FIRST_PEER) as usize;
            self.arrive(peer, Some((number, request)));
            return;
        }
        if !self.cores[number].permit_send(request, self.now) {
            self.events
                .push(Reverse((self.now, number, request, Event::Withheld)));
            return;
        }
        let (after, event) = if self.is_cut(number) {
            (CONNECT_TIMEOUT, Event::Failed)
        } else {
            self.record_reached(number, request);
            self.result.arrivals.entry(target).or_default().push(self.now);
            let sheds = self.now >= CUT.0 && self.now < CUT.1;
            let running = self.running.entry(target).or_default();
            let is_full = *running >= self.pattern.slots + self.pattern.waiting;
            match is_full || sheds && self.random.random_bool(self.pattern.refused) {
                true => {
                    self.result.refusals.entry(target).or_default().push(self.now);
                    (REFUSAL, Event::Refused(target))
                }
                false => {
                    *running += 1;
                    (WORK, Event::Answered(target))
                }
            }
        };
        self.events.push(Reverse((self.now + after, number, request, event)));
    }

    /// Records that a request has reached a server.
    fn record_reached(&mut self, number: usize, request: RequestId) {
        *self.reached.entry((number, request)).or_default() += 1;
        let origin = self.origins.get(&(number, request)).copied().flatten();
        let all = self
            .reached_in_all
            .entry(origin.unwrap_or((number, request)))
            .or_default();
        *all += 1;
        if *all > 1 {
            self.result.repeats.push(self.now);
        }
    }

    /// Handles what happens now.
    fn handle_events(&mut self) {
        while self.events.peek().is_some_and(|Reverse(first)| first.0 <= self.now) {
            let Some(Reverse((_, number, request, event))) = self.events.pop() else {
                return;
            };
            if let Event::Answered(server) | Event::Refused(server) = event {
                let statement = self.pattern.limit.statement();
                let sent = self.now - REFUSAL;
                self.cores[number].record_statement(server, statement, sent, self.now);
            }
            if let Event::Answered(server) = event {
                *self.running.entry(server).or_default() -= 1;
            }
            let fault = match event {
                Event::Answered(_) | Event::Carried => {
                    let actions = self.cores[number].finish(request, self.now);
                    self.end(number, request, true);
                    self.take(number, actions);
                    continue;
                }
                Event::Failed => RouteFault::Unreachable,
                Event::Withheld => RouteFault::Withheld,
                Event::Refused(_) => RouteFault::Full,
                Event::Declined(sends) => {
                    self.cores[number].record_peer_sends(request, sends);
                    RouteFault::Declined
                }
            };
            let (verdict, actions) =
                self.cores[number].fail(request, fault, false, self.now);
            if verdict == RetryDecision::Stop {
                self.end(number, request, false);
            }
            self.take(number, actions);
        }
    }

    /// Ends a request at an instance, and tells the peer that forwarded it.
    fn end(&mut self, number: usize, request: RequestId, served: bool) {
        let sends = self.reached.remove(&(number, request)).unwrap_or_default();
        match self.origins.remove(&(number, request)).flatten() {
            Some((from, at_origin)) => {
                self.carried[number] -= 1;
                let event = if served { Event::Carried } else { Event::Declined(sends) };
                let told = (self.now + STEP, from, at_origin, event);
                self.events.push(Reverse(told));
            }
            None => {
                let at = self.came_at.remove(&(number, request)).unwrap_or_default();
                if let Some(count) = self.count(number, at) {
                    count.1 += u32::from(served);
                }
            }
        }
    }

    /// Does what an instance does periodically.
    fn maintain(&mut self, number: usize) {
        let now = self.now;
        let actions = self.cores[number].tick(now);
        self.take(number, actions);
        self.cores[number].update_reach(now);
        if self.cores[number].reach(POOL).is_doubtful() {
            if now >= CUT.1 {
                self.result.back_after = self.result.back_after.max(now - CUT.1);
            }
            if now >= self.asked_at[number] + ASK_PERIOD {
                self.asked_at[number] = now;
                let peers = self.ask(number);
                let actions = self.cores[number].set_forward_peers(POOL, &peers, now);
                self.take(number, actions);
            }
        }
        let is_reached = !self.is_cut(number);
        for server in self.cores[number].due_probes(now) {
            self.cores[number].record_probe(server, is_reached, now);
        }
    }

    /// Asks some peers what they reach, half of them in other data centres.
    fn ask(&mut self, number: usize) -> Vec<ForwardPeer> {
        let mut asked = BTreeSet::new();
        let others = self.pattern.instances - 1;
        let mut tries = 0;
        while asked.len() < ASKED_PEERS.min(others) && tries < 1000 {
            tries += 1;
            let peer = self.random.random_range(0..self.pattern.instances);
            let local = self.data_centre(peer) == self.data_centre(number);
            let wants_local = asked.len() < ASKED_PEERS / 2;
            let any = tries > 500 || self.pattern.data_centres == 1;
            if peer != number && (any || local == wants_local) {
                asked.insert(peer);
            }
        }
        let peer = |peer: usize| ForwardPeer {
            peer: FIRST_PEER + peer as ServerId,
            local: self.data_centre(peer) == self.data_centre(number),
            reach: self.cores[peer].reach(POOL),
        };
        asked.into_iter().map(peer).collect()
    }
}

/// Returns the instances, as one of them sees them.
fn group(pattern: &CutPattern, own: usize) -> InstanceGroup {
    let member = |number: usize| GroupMember {
        instance: number as u32,
        data_centre: (number * pattern.data_centres / pattern.instances) as u32,
    };
    InstanceGroup {
        own: member(own),
        members: (0..pattern.instances).map(member).collect(),
        other_data_centres: vec![],
    }
}
