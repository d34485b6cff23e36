//! Servers that state a rate for all instances together, under three times as much demand, on a
//! manual clock: how much reaches them, and how much of the rate is used.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{
    ColdStart, GroupMember, InstanceGroup, RequestRate, RouteAction, RouteCore,
    RouteOptions, RoutedServer, ServerStatement, StatedRate,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::common::{POOL, call, plain_server};

/// How long a server takes for a request.
const WORK: Duration = Duration::from_millis(60);

/// How much the clock moves in a step.
const STEP: Duration = Duration::from_millis(10);

/// How many requests a second come to each instance at least.
const LEAST_DEMAND: f64 = 3.0;

/// How long is played.
const SPAN: Duration = Duration::from_secs(40);

/// After this time all instances that a server has told keep to its rate together.
const SETTLED: Duration = Duration::from_secs(5);

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Within what time all instances know who has come or gone, one after the other.
const NOTICED_WITHIN: Duration = Duration::from_millis(2500);

/// How long a restart takes.
const DOWN: Duration = Duration::from_secs(4);

/// How often an instance looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// What is played.
#[derive(Debug, Clone, Copy)]
struct RatePattern {
    instances: usize,
    data_centres: usize,
    /// The rate of each server, of which each data centre has one.
    rate: f64,
    /// How often an instance is restarted, one after the other.
    release: Option<Duration>,
    /// What the rate comes from.
    source: RateSource,
}

/// What the rate of a server comes from.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RateSource {
    /// The server states it in its responses.
    Responses,
    /// The server is cold all the time.
    ColdStart,
}

/// What was seen.
#[derive(Debug)]
struct RateResult {
    /// The most requests that reached a server in a window, as a part of what its rate allows.
    most: f64,
    /// The most requests beyond the rate in a window.
    beyond: f64,
    /// The part of the rates that was used.
    used: f64,
}

/// An answer under way: when it comes, to which instance, for which request, from which server,
/// and when the request was sent.
type PendingAnswer = (Duration, usize, u64, ServerId, Duration);

/// The play.
struct RatePlay {
    pattern: RatePattern,
    cores: Vec<RouteCore>,
    /// From when to when each instance was last down; zero if never.
    downs: Vec<(Duration, Duration)>,
    /// The answers under way.
    answers: BinaryHeap<Reverse<PendingAnswer>>,
    /// When requests reached each server.
    arrivals: BTreeMap<ServerId, Vec<Duration>>,
    random: SmallRng,
    request: u64,
}

impl RatePlay {
    fn new(pattern: RatePattern) -> Self {
        let cores = (0..pattern.instances).map(|number| fresh_core(&pattern, number));
        Self {
            cores: cores.collect(),
            downs: vec![(Duration::ZERO, Duration::ZERO); pattern.instances],
            answers: BinaryHeap::new(),
            arrivals: BTreeMap::new(),
            random: SmallRng::seed_from_u64(7),
            request: 0,
            pattern,
        }
    }

    /// Plays it. Requests are counted in windows of a length.
    fn run(mut self, window: Duration) -> RateResult {
        let mut now = Duration::ZERO;
        let mut released = 0;
        while now < SPAN {
            now += STEP;
            if let Some(gap) = self.pattern.release
                && now.as_millis().is_multiple_of(gap.as_millis())
            {
                self.restart(released % self.pattern.instances, now);
                released += 1;
            }
            if now.as_millis().is_multiple_of(TICK.as_millis()) {
                self.tick(now);
            }
            self.answer(now);
            self.send(now);
        }
        self.result(window)
    }

    /// Ends an instance and starts it again later.
    fn restart(&mut self, number: usize, now: Duration) {
        self.downs[number] = (now, now + DOWN);
        self.cores[number] = fresh_core(&self.pattern, number);
    }

    /// Has all instances look who is there, as far as they can know, and at what waits.
    fn tick(&mut self, now: Duration) {
        for number in 0..self.cores.len() {
            let settled = self.downs[number].1 + SETTLED;
            if settled > SETTLED && now < settled {
                continue;
            }
            let group = Arc::new(self.group(number, now));
            self.cores[number].set_group(group, now);
            let actions = self.cores[number].tick(now);
            self.take(number, &actions, now);
        }
    }

    /// Returns whom an instance sees alive. Each notices a change at another time.
    fn group(&self, observer: usize, now: Duration) -> InstanceGroup {
        let member = |number: usize| GroupMember {
            instance: number as u32,
            data_centre: (number % self.pattern.data_centres) as u32,
        };
        let seen = |number: &usize| {
            let (from, until) = self.downs[*number];
            let draw = (observer * 31 + number * 17) as u32 % 10;
            let delay = NOTICED_WITHIN * draw / 10;
            *number == observer
                || until.is_zero()
                || now < from + delay
                || now >= until + delay
        };
        let members = (0..self.cores.len()).filter(seen).map(member).collect();
        InstanceGroup {
            own: member(observer),
            members,
            other_data_centres: vec![],
        }
    }

    /// Has the answers come that are due.
    fn answer(&mut self, now: Duration) {
        let rate = RequestRate::from_per_second(self.pattern.rate).unwrap();
        let rate = StatedRate::Limited(rate);
        while let Some(Reverse((at, number, request, server, sent))) =
            self.answers.peek().copied()
        {
            if at > now {
                break;
            }
            self.answers.pop();
            let core = &mut self.cores[number];
            let statement = ServerStatement { rate, ..ServerStatement::default() };
            if self.pattern.source == RateSource::Responses {
                core.record_statement(server, statement, sent, now);
            }
            let actions = core.finish(request, now);
            self.take(number, &actions, now);
        }
    }

    /// Has requests come: three times what the servers take, or more.
    fn send(&mut self, now: Duration) {
        let servers = self.pattern.data_centres as f64;
        let least = LEAST_DEMAND * self.cores.len() as f64;
        let demand = (3.0 * self.pattern.rate * servers).max(least);
        let expected = demand * STEP.as_secs_f64();
        let mut count = expected as usize;
        count += usize::from(self.random.random_bool(expected.fract()));
        for _ in 0..count {
            let number = self.random.random_range(0..self.cores.len());
            if now < self.downs[number].1 {
                continue;
            }
            self.request += 1;
            let actions = self.cores[number].arrive(call(self.request, now), now);
            self.take(number, &actions, now);
        }
    }

    /// Carries out what an instance has decided.
    fn take(&mut self, number: usize, actions: &[RouteAction], now: Duration) {
        for action in actions {
            if let RouteAction::Dispatch { request, choice, .. } = action
                && self.cores[number].permit_send(*request, now)
            {
                self.arrivals.entry(choice.server).or_default().push(now);
                let answer = (now + WORK, number, *request, choice.server, now);
                self.answers.push(Reverse(answer));
            }
        }
    }

    /// Returns what was seen, counted in windows of a length.
    fn result(&self, window: Duration) -> RateResult {
        let rate = self.pattern.rate;
        let allowed = rate * window.as_secs_f64();
        let settled = self.arrivals.values().map(|times| {
            let times = times.iter().copied().filter(|at| *at >= SETTLED);
            times.collect::<Vec<Duration>>()
        });
        let settled: Vec<Vec<Duration>> = settled.collect();
        let most = settled.iter().flat_map(|times| {
            times.iter().map(|from| {
                times.iter().filter(|at| *at >= from && **at < *from + window).count()
            })
        });
        let most = most.max().unwrap_or_default() as f64;
        let count: usize = settled.iter().map(Vec::len).sum();
        let span = (SPAN - SETTLED).as_secs_f64();
        let used = count as f64 / (rate * span * self.pattern.data_centres as f64);
        RateResult { most: most / allowed, beyond: most - allowed, used }
    }
}

/// Starts an instance that knows that all servers state the rate.
fn fresh_core(pattern: &RatePattern, number: usize) -> RouteCore {
    let mut core = RouteCore::new(RouteOptions::default());
    core.set_seed(number as u64);
    let servers = (0..pattern.data_centres as u32).map(|server| {
        let near = server as usize == number % pattern.data_centres;
        let cold = cold_start(pattern);
        let hash = u64::from(server) + 1000;
        RoutedServer { cold, ..plain_server(server, hash, server, near) }
    });
    let servers: Vec<RoutedServer> = servers.collect();
    core.set_servers(POOL, &servers, Duration::ZERO);
    if pattern.source == RateSource::ColdStart {
        return core;
    }
    for server in 0..pattern.data_centres as u32 {
        let rate = RequestRate::from_per_second(pattern.rate);
        let heard = Duration::from_millis(1);
        core.record_peer_rate(server, rate, heard, heard);
    }
    core
}

/// Returns how the servers of a pattern start, if they are cold.
fn cold_start(pattern: &RatePattern) -> Option<ColdStart> {
    let rate = RequestRate::from_per_second(pattern.rate)?;
    let start = ColdStart { rate, span: SPAN, until: SPAN * 2 };
    (pattern.source == RateSource::ColdStart).then_some(start)
}

/// Sizes of fleets, and in how many data centres they stand.
const SIZES: [(usize, usize); 4] = [(9, 4), (81, 4), (295, 6), (580, 10)];

/// A rate that each instance keeps for itself is exceeded as many times as there are instances;
/// equal parts of a low one are of no use to anyone.
#[test]
fn a_stated_rate_is_neither_exceeded_nor_wasted() {
    println!("instances rate release most beyond used");
    for (instances, data_centres) in SIZES {
        for rate in [0.5, 2.0, 20.0] {
            for release in [None, Some(Duration::from_secs(5))] {
                let source = RateSource::Responses;
                let pattern =
                    RatePattern { instances, data_centres, rate, release, source };
                let result = RatePlay::new(pattern).run(WINDOW);
                println!(
                    "{instances} {rate} {} {:.2} {:.1} {:.2}",
                    release.is_some(),
                    result.most,
                    result.beyond,
                    result.used
                );
                let allowed = rate * WINDOW.as_secs_f64() * 0.25 + 3.0;
                assert!(result.beyond <= allowed, "{pattern:?}: {result:?}");
                assert!(
                    release.is_some() || result.used >= 0.85,
                    "{pattern:?}: {result:?}"
                );
            }
        }
    }
}

/// A server that has just started looks idle to all instances, and was sent twice what it
/// bears while it was cold.
#[test]
fn cold_servers_get_their_rate_and_no_more() {
    println!("instances rate release beyond-in-a-second used");
    for (instances, data_centres) in SIZES {
        for rate in [4.0, 19.0] {
            for release in [None, Some(Duration::from_secs(5))] {
                let source = RateSource::ColdStart;
                let pattern =
                    RatePattern { instances, data_centres, rate, release, source };
                let result = RatePlay::new(pattern).run(Duration::from_secs(1));
                println!(
                    "{instances} {rate} {} {:.1} {:.2}",
                    release.is_some(),
                    result.beyond,
                    result.used
                );
                // The tightest that a sheet states: half of the rate and five requests more.
                assert!(result.beyond <= rate * 0.5 + 5.0, "{pattern:?}: {result:?}");
                assert!(
                    release.is_some() || result.used >= 0.7,
                    "{pattern:?}: {result:?}"
                );
            }
        }
    }
}
