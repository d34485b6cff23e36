//! The policies that the decision core is measured against.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use flaxtide_core::{FailureReason, ServerId, TierRank};
use flaxtide_policy::{
    CallArrival, ChoiceRule, DecisionCore, LoadReport, PolicyAction, PolicyEvent,
    ServerChoice,
};

use super::scenario::{CLASSES, ENGINES, SLOTS};

/// A policy, as the bench drives it.
pub trait Router {
    /// Takes in what happened and returns what is to be done.
    fn handle(&mut self, event: PolicyEvent, now: Duration) -> Vec<PolicyAction>;

    /// Returns its requests by tier, running or waiting.
    fn demand(&self) -> Vec<f64> {
        vec![]
    }
}

impl Router for DecisionCore {
    fn handle(&mut self, event: PolicyEvent, now: Duration) -> Vec<PolicyAction> {
        Self::handle(self, event, now)
    }

    fn demand(&self) -> Vec<f64> {
        let mut tiers = vec![0.0; 3];
        for pool in self.summary().into_values() {
            for (tier, count) in pool.waiting {
                tiers[usize::from(tier)] += count as f64;
            }
            for (tier, count) in pool.running {
                tiers[usize::from(tier)] += f64::from(count);
            }
        }
        tiers
    }
}

/// First in first out, round robin, blind retries: after a failure, and when the first
/// token is late, whatever became of the first attempt.
#[derive(Default)]
pub struct PlainRouter {
    /// The next engine.
    next: u32,
    /// The open requests, with their attempts and when the last began.
    open: BTreeMap<u64, (u8, Duration, Duration)>,
}

/// How often the plain policy tries.
const PLAIN_ATTEMPTS: u8 = 3;

impl PlainRouter {
    /// Sends a request to the next engine.
    fn send(&mut self, request: u64, now: Duration) -> PolicyAction {
        let server = self.next % ENGINES;
        self.next += 7;
        let entry = self.open.entry(request).or_insert((0, now, Duration::MAX));
        entry.0 += 1;
        entry.1 = now;
        dispatch(request, server, 0, entry.0)
    }
}

impl Router for PlainRouter {
    fn handle(&mut self, event: PolicyEvent, now: Duration) -> Vec<PolicyAction> {
        match event {
            PolicyEvent::Arrive(arrival) => {
                let target = CLASSES[usize::from(arrival.class)].first_token_ms;
                let action = self.send(arrival.request, now);
                let target = Duration::from_millis(target);
                self.open.entry(arrival.request).and_modify(|entry| entry.2 = target);
                vec![action]
            }
            PolicyEvent::FirstToken { request } => {
                self.open.entry(request).and_modify(|entry| entry.2 = Duration::MAX);
                vec![]
            }
            PolicyEvent::Finish { request, .. } | PolicyEvent::CallerGone { request } => {
                self.open.remove(&request);
                vec![]
            }
            PolicyEvent::Fail { request, .. } => {
                if self.open.get(&request).is_some_and(|entry| entry.0 < PLAIN_ATTEMPTS) {
                    return vec![self.send(request, now)];
                }
                self.open.remove(&request);
                vec![PolicyAction::GiveUp { request, retry_after: Duration::ZERO }]
            }
            PolicyEvent::Tick => {
                let late = |entry: &(u8, Duration, Duration)| {
                    entry.0 < PLAIN_ATTEMPTS && now.saturating_sub(entry.1) > entry.2
                };
                let late: Vec<u64> = self
                    .open
                    .iter()
                    .filter(|(_, entry)| late(entry))
                    .map(|(request, _)| *request)
                    .collect();
                late.into_iter().map(|request| self.send(request, now)).collect()
            }
            _ => vec![],
        }
    }
}

/// The engine with the least reported load, own dispatches since then included, with
/// strict priorities at the engines.
#[derive(Default)]
pub struct LeastLoadedRouter {
    /// The last report of each engine.
    reports: BTreeMap<ServerId, LoadReport>,
    /// How many requests this instance has sent to each engine since its last report.
    since: BTreeMap<ServerId, u32>,
    /// The tier and the attempts of open requests.
    open: HashMap<u64, (TierRank, u8)>,
}

impl LeastLoadedRouter {
    /// Sends a request to the engine with the least reported load.
    fn send(&mut self, request: u64) -> PolicyAction {
        let load = |server: &ServerId| {
            let reported = self.reports.get(server);
            let reported = reported.map_or(0, |report| report.running + report.waiting);
            reported + self.since.get(server).copied().unwrap_or_default()
        };
        let server = (0..ENGINES).min_by_key(load).unwrap_or(0);
        *self.since.entry(server).or_default() += 1;
        let (tier, attempts) = self.open.entry(request).or_insert((0, 0));
        *attempts += 1;
        dispatch(request, server, *tier, *attempts)
    }
}

impl Router for LeastLoadedRouter {
    fn handle(&mut self, event: PolicyEvent, _: Duration) -> Vec<PolicyAction> {
        match event {
            PolicyEvent::Arrive(arrival) => {
                let tier = CLASSES[usize::from(arrival.class)].tier;
                self.open.insert(arrival.request, (tier, 0));
                vec![self.send(arrival.request)]
            }
            PolicyEvent::Report(report) => {
                self.reports.insert(report.server, report);
                self.since.remove(&report.server);
                vec![]
            }
            PolicyEvent::Finish { request, .. } | PolicyEvent::CallerGone { request } => {
                self.open.remove(&request);
                vec![]
            }
            PolicyEvent::Fail { request, .. } => {
                if self.open.get(&request).is_some_and(|open| open.1 < PLAIN_ATTEMPTS) {
                    return vec![self.send(request)];
                }
                vec![PolicyAction::GiveUp { request, retry_after: Duration::ZERO }]
            }
            _ => vec![],
        }
    }
}

/// An upper bound: one queue for all instances, true loads, known lengths. It never sends
/// a request that would be late, and knows which engines are slow or down.
#[derive(Default)]
pub struct IdealRouter {
    /// Waiting requests by tier, with when each is late.
    queues: BTreeMap<TierRank, VecDeque<(Duration, CallArrival)>>,
    /// Requests at each engine by tier.
    running: HashMap<ServerId, [usize; 3]>,
    /// Where each request is.
    places: HashMap<u64, (ServerId, TierRank)>,
    /// The engines that are slow or down.
    pub shunned: Vec<ServerId>,
}

impl IdealRouter {
    /// Sends what can be sent.
    fn pump(&mut self, now: Duration) -> Vec<PolicyAction> {
        let mut actions = vec![];
        for (tier, queue) in &mut self.queues {
            let up_to = usize::from(*tier);
            while let Some((late, arrival)) = queue.front() {
                let request = arrival.request;
                // Reading a prompt takes about this long.
                if now + Duration::from_millis(45) > *late {
                    queue.pop_front();
                    let reason = FailureReason::DeadlinePassed;
                    let retry_after = Duration::ZERO;
                    actions.push(PolicyAction::Refuse { request, reason, retry_after });
                    continue;
                }
                let load = |server: &ServerId| {
                    let counts = self.running.get(server).copied().unwrap_or_default();
                    let above: usize = counts[..=up_to].iter().sum();
                    (above, counts.iter().sum::<usize>())
                };
                let free = (0..ENGINES)
                    .filter(|server| !self.shunned.contains(server))
                    .filter(|server| load(server).0 < SLOTS && load(server).1 < 2 * SLOTS)
                    .min_by_key(load);
                let Some(server) = free else { return actions };
                queue.pop_front();
                self.running.entry(server).or_default()[up_to] += 1;
                self.places.insert(request, (server, *tier));
                actions.push(dispatch(request, server, *tier, 1));
            }
        }
        actions
    }

    /// Frees the place of a request.
    fn free(&mut self, request: u64) {
        let Some((server, tier)) = self.places.remove(&request) else { return };
        if let Some(counts) = self.running.get_mut(&server) {
            counts[usize::from(tier)] -= 1;
        }
    }
}

impl Router for IdealRouter {
    fn handle(&mut self, event: PolicyEvent, now: Duration) -> Vec<PolicyAction> {
        match event {
            PolicyEvent::Arrive(arrival) => {
                let shape = &CLASSES[usize::from(arrival.class)];
                let late = now + Duration::from_millis(shape.first_token_ms);
                let queue = self.queues.entry(shape.tier).or_default();
                let place = queue.partition_point(|(other, _)| *other <= late);
                queue.insert(place, (late, arrival));
            }
            PolicyEvent::Finish { request, .. }
            | PolicyEvent::CallerGone { request }
            | PolicyEvent::Fail { request, .. } => self.free(request),
            _ => {}
        }
        self.pump(now)
    }
}

/// Builds a dispatch.
fn dispatch(request: u64, server: ServerId, tier: TierRank, attempt: u8) -> PolicyAction {
    let rule = ChoiceRule::Only;
    let choice = ServerChoice {
        server,
        rule,
        load: 0.0,
        runner_up: None,
        eligible: 1,
    };
    PolicyAction::Dispatch {
        request,
        choice,
        priority: tier,
        silence_timeout: None,
        attempt,
    }
}
