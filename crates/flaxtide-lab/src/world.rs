//! Instances, servers and callers on a manual clock.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};
use flaxtide_policy::{
    PeerLoad, PromptShape, RetryDecision, RouteAction, RouteCall, RouteCore, RouteFault,
    RouteOptions, RoutedServer,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event::{EventQueue, LabEvent, Sending, ServerAnswer};
use crate::pattern::{GossipShape, LoadPattern};
use crate::server::{Admission, PlainServer};

/// The one pool.
const POOL: u16 = 1;

/// The time of one way between an instance and a server, or between instances.
const ONE_WAY: Duration = Duration::from_micros(500);

/// How often an instance looks after requests that wait.
const TICK: Duration = Duration::from_millis(100);

/// What came of a load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that came.
    pub requests: u64,
    /// Arrivals at servers, further tries included.
    pub arrivals: u64,
    /// Arrivals that found a server full.
    pub turned_away: u64,
    /// Requests that were answered in time.
    pub on_time: u64,
    /// Requests that were answered later.
    pub late: u64,
    /// Requests that were refused or failed.
    pub lost: u64,
}

impl LoadReport {
    /// Returns the part of the arrivals that found a server full.
    #[must_use]
    pub fn turned_away_part(&self) -> f64 {
        self.turned_away as f64 / self.arrivals.max(1) as f64
    }

    /// Returns the part of the requests that were answered in time.
    #[must_use]
    pub fn on_time_part(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }
}

/// Plays a pattern.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_lab::{GossipShape, LoadPattern, play};
/// let pattern = LoadPattern {
///     rate: 20.0,
///     work: Duration::from_millis(50),
///     target: Duration::from_millis(300),
///     servers: 2,
///     slots: 6,
///     queue: 0,
///     instances: 3,
///     data_centres: 1,
///     skew: 0.0,
///     gossip: GossipShape::Nothing,
///     span: Duration::from_secs(10),
/// };
/// let report = play(&pattern, 7);
/// assert!(report.requests > 100);
/// assert_eq!(report, play(&pattern, 7));
/// ```
#[must_use]
pub fn play(pattern: &LoadPattern, seed: u64) -> LoadReport {
    let mut world = World::new(pattern, seed);
    world.run();
    world.report
}

/// An instance.
struct LabInstance {
    /// Its router.
    core: RouteCore,
    /// What it last heard each instance of its group to have at servers.
    heard: BTreeMap<u32, Vec<PeerLoad>>,
}

/// What is played.
struct World<'a> {
    /// The pattern.
    pattern: &'a LoadPattern,
    /// What is still to happen.
    events: EventQueue,
    /// The instances.
    instances: Vec<LabInstance>,
    /// The servers.
    servers: Vec<PlainServer>,
    /// When each open request came.
    open: HashMap<RequestId, Duration>,
    /// The number of the next request.
    next: RequestId,
    /// The source of randomness.
    random: ChaCha8Rng,
    /// What has come of the load so far.
    report: LoadReport,
}

impl<'a> World<'a> {
    /// Starts instances and servers without any request.
    fn new(pattern: &'a LoadPattern, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut events = EventQueue::default();
        events.push(Duration::ZERO, LabEvent::Arrive);
        for instance in 0..pattern.instances {
            events.push(TICK.mul_f64(random.random()), LabEvent::Tick(instance));
            let (tell, ask) = periods(pattern.gossip);
            if let Some(period) = tell {
                events.push(period.mul_f64(random.random()), LabEvent::Tell(instance));
            }
            if let Some(period) = ask {
                events.push(period.mul_f64(random.random()), LabEvent::Ask(instance));
            }
        }
        let instance = |number: u32| {
            let servers = (0..pattern.servers).map(|server| RoutedServer {
                data_centre: server % pattern.data_centres,
                local: server % pattern.data_centres == number % pattern.data_centres,
                ..plain_server(server, pattern)
            });
            let servers: Vec<RoutedServer> = servers.collect();
            let mut core = RouteCore::new(RouteOptions::default());
            core.set_instances(pattern.instances, true);
            core.set_seed(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            core.set_servers(POOL, &servers, Duration::ZERO);
            LabInstance { core, heard: BTreeMap::new() }
        };
        Self {
            pattern,
            events,
            instances: (0..pattern.instances).map(instance).collect(),
            servers: (0..pattern.servers).map(|_| PlainServer::default()).collect(),
            open: HashMap::new(),
            next: 0,
            random,
            report: LoadReport::default(),
        }
    }

    /// Lets everything happen until the load is over.
    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            if now > self.pattern.span {
                return;
            }
            self.happen(event, now);
        }
    }

    /// Lets one event happen.
    fn happen(&mut self, event: LabEvent, now: Duration) {
        match event {
            LabEvent::Arrive => self.arrive(now),
            LabEvent::Reach(sending) => self.reach(sending, now),
            LabEvent::Done(sending) => self.done(sending, now),
            LabEvent::Hear(sending, answer) => self.hear(sending, answer, now),
            LabEvent::Tell(instance) => self.tell(instance, now),
            LabEvent::Ask(instance) => self.ask(instance, now),
            LabEvent::Tick(instance) => {
                let actions = self.core(instance).tick(now);
                self.act(instance, actions, now);
                self.events.push(now + TICK, LabEvent::Tick(instance));
            }
        }
    }

    /// Returns the router of an instance.
    fn core(&mut self, instance: u32) -> &mut RouteCore {
        &mut self.instances[instance as usize].core
    }

    /// Draws a span with a mean.
    fn draw(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// Lets a request come.
    fn arrive(&mut self, now: Duration) {
        let pause = self.draw(Duration::from_secs_f64(1.0 / self.pattern.rate));
        self.events.push(now + pause, LabEvent::Arrive);
        let instance = match self.random.random_bool(self.pattern.skew) {
            true => 0,
            false => self.random.random_range(0..self.pattern.instances),
        };
        let request = self.next;
        self.next += 1;
        self.report.requests += 1;
        self.open.insert(request, now);
        let call = plain_call(request, self.pattern.target, now);
        let actions = self.core(instance).arrive(call, now);
        self.act(instance, actions, now);
    }

    /// Does what a router has decided.
    fn act(&mut self, instance: u32, actions: Vec<RouteAction>, now: Duration) {
        for action in actions {
            match action {
                RouteAction::Dispatch { request, choice, .. } => {
                    let sending = Sending { instance, request, server: choice.server };
                    self.events.push(now + ONE_WAY, LabEvent::Reach(sending));
                }
                RouteAction::Refuse { request, .. } => self.lose(request),
            }
        }
    }

    /// Counts a request that gets no answer.
    fn lose(&mut self, request: RequestId) {
        if self.open.remove(&request).is_some() {
            self.report.lost += 1;
        }
    }

    /// Lets a request reach its server.
    fn reach(&mut self, sending: Sending, now: Duration) {
        self.report.arrivals += 1;
        let (slots, queue) = (self.pattern.slots, self.pattern.queue);
        match self.servers[sending.server as usize].admit(sending, slots, queue) {
            Admission::Runs => self.work(sending, now),
            Admission::Waits => {}
            Admission::TurnedAway => {
                self.report.turned_away += 1;
                let answer = LabEvent::Hear(sending, ServerAnswer::Full);
                self.events.push(now + ONE_WAY, answer);
            }
        }
    }

    /// Has a server work on a request.
    fn work(&mut self, sending: Sending, now: Duration) {
        let work = self.draw(self.pattern.work);
        self.events.push(now + work, LabEvent::Done(sending));
    }

    /// Lets a server end a request, and go on with the next.
    fn done(&mut self, sending: Sending, now: Duration) {
        let answer = LabEvent::Hear(sending, ServerAnswer::Done);
        self.events.push(now + ONE_WAY, answer);
        if let Some(next) = self.servers[sending.server as usize].end() {
            self.work(next, now);
        }
    }

    /// Lets an instance hear how a request went.
    fn hear(&mut self, sending: Sending, answer: ServerAnswer, now: Duration) {
        let Sending { instance, request, .. } = sending;
        let actions = match answer {
            ServerAnswer::Done => {
                self.core(instance).record_response_data(request, now);
                self.count(request, now);
                self.core(instance).finish(request, now)
            }
            ServerAnswer::Full => {
                let core = self.core(instance);
                let (verdict, actions) = core.fail(request, RouteFault::Full, false, now);
                if verdict == RetryDecision::Stop {
                    self.lose(request);
                }
                actions
            }
        };
        self.act(instance, actions, now);
    }

    /// Counts an answer.
    fn count(&mut self, request: RequestId, now: Duration) {
        let Some(came) = self.open.remove(&request) else { return };
        match now <= came + self.pattern.target {
            true => self.report.on_time += 1,
            false => self.report.late += 1,
        }
    }

    /// Has an instance tell its group what it has at servers.
    fn tell(&mut self, instance: u32, now: Duration) {
        let loads = self.instances[instance as usize].core.own_loads(now);
        for peer in self.group_of(instance) {
            if peer == instance {
                continue;
            }
            let peer = &mut self.instances[peer as usize];
            peer.core.set_peer_loads(instance, &loads, now);
            peer.heard.insert(instance, loads.clone());
        }
        if let (Some(period), _) = periods(self.pattern.gossip) {
            self.events.push(now + period, LabEvent::Tell(instance));
        }
    }

    /// Has an instance ask one instance of each other group for its sums.
    fn ask(&mut self, instance: u32, now: Duration) {
        let GossipShape::Groups { digest_period, .. } = self.pattern.gossip else {
            return;
        };
        let groups = self.pattern.data_centres;
        for group in (0..groups).filter(|group| *group != instance % groups) {
            let contact = self.group_of(group).nth((instance / groups) as usize);
            let Some(contact) = contact else { continue };
            let sums = self.sums_at(contact, now);
            // Groups are told apart from instances by keys that no instance has.
            let key = self.pattern.instances + group;
            self.core(instance).set_peer_loads(key, &sums, now);
        }
        self.events.push(now + digest_period, LabEvent::Ask(instance));
    }

    /// Returns what an instance knows its group to have at servers, in sum.
    fn sums_at(&mut self, instance: u32, now: Duration) -> Vec<PeerLoad> {
        let instance = &mut self.instances[instance as usize];
        let own = instance.core.own_loads(now);
        let mut sums: BTreeMap<ServerId, PeerLoad> = BTreeMap::new();
        for load in instance.heard.values().flatten().chain(&own) {
            let empty = PeerLoad {
                short: 0,
                long: 0,
                pending_prefill: [0; 3],
                ..*load
            };
            let sum = sums.entry(load.server).or_insert(empty);
            sum.short += load.short;
            sum.long += load.long;
        }
        sums.into_values().collect()
    }

    /// Returns the instances of the group of an instance, itself included.
    fn group_of(&self, instance: u32) -> impl Iterator<Item = u32> + use<> {
        let groups = match self.pattern.gossip {
            GossipShape::Groups { .. } => self.pattern.data_centres,
            GossipShape::Nothing | GossipShape::Everybody { .. } => 1,
        };
        (instance % groups..self.pattern.instances).step_by(groups as usize)
    }
}

/// Returns how often an instance tells its group, and asks other groups.
fn periods(gossip: GossipShape) -> (Option<Duration>, Option<Duration>) {
    match gossip {
        GossipShape::Nothing => (None, None),
        GossipShape::Everybody { period } => (Some(period), None),
        GossipShape::Groups { period, digest_period, .. } => {
            (Some(period), Some(digest_period))
        }
    }
}

/// Makes a plain server.
fn plain_server(server: ServerId, pattern: &LoadPattern) -> RoutedServer {
    RoutedServer {
        server,
        name_hash: u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        slots: pattern.slots as u32,
        engine: None,
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

/// Makes a plain call that may not be repeated once it has run.
fn plain_call(request: RequestId, target: Duration, now: Duration) -> RouteCall {
    RouteCall {
        request,
        pool: POOL,
        class: 1,
        organisation: 1,
        tier: 1,
        level: 1,
        prompt: PromptShape::default(),
        target,
        give_up: now + target * 2,
        deadline: now + target * 5,
        repeatable: false,
        run_limit: 1,
        regions: None,
        version: None,
        begins_stream: false,
    }
}
