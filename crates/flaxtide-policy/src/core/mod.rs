//! The decision core: a state machine that turns events and their times into actions.

mod admit;
mod dispatch;
mod outcome;
mod pool;
mod record;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxtide_core::{ClassId, OrganisationId, PoolId, RequestId, ServerId, TierRank};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::pool::PoolState;
use self::record::CallRecord;
use crate::action::PolicyAction;
use crate::budget::RetryBudget;
use crate::estimate::WorkEstimates;
use crate::event::PolicyEvent;
use crate::limit::OrganisationLimit;
use crate::options::PolicyOptions;
use crate::rule::{ClassRule, RuleSet};
use crate::server::{BackendServer, ServerTable};

/// How often every pool is checked for requests that can be dispatched, whatever events
/// arrive.
const DISPATCH_PERIOD: Duration = Duration::from_millis(50);

/// Admits, queues and dispatches every request of one entry instance.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{DecisionCore, PolicyEvent, PolicyOptions};
/// let mut core = DecisionCore::new(PolicyOptions::default(), 1);
/// assert!(core.handle(PolicyEvent::Tick, Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct DecisionCore {
    /// The tunable options.
    options: PolicyOptions,
    /// The settings in force.
    rules: RuleSet,
    /// The backend servers of the data centre.
    servers: ServerTable,
    /// The pools with their queues.
    pools: BTreeMap<PoolId, PoolState>,
    /// The open requests: those that wait or are at a server.
    calls: HashMap<RequestId, CallRecord>,
    /// The waiting requests by the time at which they are given up.
    expiries: BTreeSet<(Duration, RequestId)>,
    /// The token buckets of organisations that have a rate limit.
    rate_limits: HashMap<OrganisationId, OrganisationLimit>,
    /// The arrivals of each rate-limited organisation since
    /// [`take_usage`](Self::take_usage) was last called.
    arrival_counts: BTreeMap<OrganisationId, u32>,
    /// Estimates of response lengths and service times.
    estimates: WorkEstimates,
    /// Limits retries of requests that may have run.
    retry_budget: RetryBudget,
    /// When all pools were last checked by [`dispatch_if_due`](Self::dispatch_if_due).
    last_dispatch: Duration,
    /// The seeded random number generator.
    random: ChaCha8Rng,
    /// The number of live instances in the data centre, this one included.
    live_instances: u32,
    /// The actions decided so far while an event is handled.
    actions: Vec<PolicyAction>,
}

/// The current load of a pool, as shown in status reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolSummary {
    /// The waiting requests, by tier.
    pub waiting: BTreeMap<TierRank, usize>,
    /// This instance's requests at servers, by tier.
    pub running: BTreeMap<TierRank, u32>,
    /// This instance's share of the pool's slots.
    pub capacity: u32,
}

impl DecisionCore {
    /// Creates a core without settings. Cores with equal seeds decide alike.
    #[must_use]
    pub fn new(options: PolicyOptions, seed: u64) -> Self {
        let retry_budget = RetryBudget::new(options.retry_ratio, options.retry_burst);
        Self {
            options,
            rules: RuleSet::default(),
            servers: ServerTable::default(),
            pools: BTreeMap::new(),
            calls: HashMap::new(),
            expiries: BTreeSet::new(),
            rate_limits: HashMap::new(),
            arrival_counts: BTreeMap::new(),
            estimates: WorkEstimates::default(),
            retry_budget,
            random: ChaCha8Rng::seed_from_u64(seed),
            last_dispatch: Duration::ZERO,
            live_instances: 1,
            actions: vec![],
        }
    }

    /// Handles an event that happened at `now` and returns the resulting actions, in
    /// order.
    pub fn handle(&mut self, event: PolicyEvent, now: Duration) -> Vec<PolicyAction> {
        self.expire(now);
        match event {
            PolicyEvent::Rules(rules) => self.set_rules(rules, now),
            PolicyEvent::Arrive(arrival) => self.arrive(arrival, now),
            PolicyEvent::FirstToken { request } => self.first_token(request, now),
            PolicyEvent::Progress { request, tokens, span } => {
                self.progress(request, tokens, span);
            }
            PolicyEvent::Finish { request, tokens } => self.finish(request, tokens, now),
            PolicyEvent::Fail { request, fault, passed_on } => {
                self.fail(request, fault, passed_on, now);
            }
            PolicyEvent::Abandon { request } | PolicyEvent::CallerGone { request } => {
                self.drop_call(request, now);
            }
            PolicyEvent::Report(report) => {
                if let Some(server) = self.servers.get_mut(report.server) {
                    server.record_report(report);
                }
            }
            PolicyEvent::ServerLeaving { server, leaving } => {
                self.set_leaving(server, leaving, now);
            }
            PolicyEvent::Share { server, slots, until } => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.set_share(slots, until);
                }
            }
            PolicyEvent::Peers { live, fallbacks } => {
                self.set_peers(live, &fallbacks, now);
            }
            PolicyEvent::RateShare { organisation, share, until } => {
                self.set_rate_share(organisation, share, until, now);
            }
            PolicyEvent::Tick => {}
        }
        self.dispatch_if_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Dispatches requests that became dispatchable by the passing of time alone, such as
    /// a retry whose server is in service again. Runs on any event, at most once in
    /// [`DISPATCH_PERIOD`], because ticks may be delayed by other events.
    fn dispatch_if_due(&mut self, now: Duration) {
        if now >= self.last_dispatch + DISPATCH_PERIOD {
            self.last_dispatch = now;
            self.dispatch_all(now);
        }
    }

    /// Returns when [`PolicyEvent::Tick`] is next needed; `None` while no request waits.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Returns the current load of each pool.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<PoolId, PoolSummary> {
        self.pools
            .iter()
            .map(|(pool, state)| (*pool, state.summary()))
            .collect()
    }

    /// Returns, for each server, this instance's share of its slots and how many it uses.
    #[must_use]
    pub fn slots(&self, now: Duration) -> BTreeMap<ServerId, (u32, u32)> {
        let entry = |server: &BackendServer| (server.share(now), server.running());
        self.servers
            .iter()
            .map(|(_, server)| (server.server, entry(server)))
            .collect()
    }

    /// Returns the number of requests that are waiting or at servers.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Puts new settings in force. Open requests keep the tier and expiry that they were
    /// admitted with.
    fn set_rules(&mut self, rules: RuleSet, now: Duration) {
        self.servers.set_rules(&rules.servers);
        for state in self.pools.values_mut() {
            state.servers.members.clear();
            state.servers.indices.clear();
        }
        for (index, server) in self.servers.iter() {
            for pool in &server.pools {
                let pool = &mut self.pools.entry(*pool).or_default().servers;
                pool.members.push(server.server);
                pool.indices.push(index);
            }
        }
        self.rules = rules;
        self.refresh_all(now);
        self.dispatch_all(now);
    }

    /// Returns how many requests of each rate-limited organisation arrived since the last
    /// call, refused ones included.
    pub fn take_usage(&mut self) -> BTreeMap<OrganisationId, u32> {
        std::mem::take(&mut self.arrival_counts)
    }

    /// Records whether a server is leaving.
    fn set_leaving(&mut self, server: ServerId, leaving: bool, now: Duration) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if server.leaving == leaving {
            return;
        }
        server.leaving = leaving;
        self.refresh_all(now);
        self.dispatch_all(now);
    }

    /// Sets the number of live instances and the slot shares to use while no granted
    /// share is in force.
    fn set_peers(&mut self, live: u32, fallbacks: &[(ServerId, u32)], now: Duration) {
        self.live_instances = live.max(1);
        for (server, slots) in fallbacks {
            if let Some(server) = self.servers.get_mut(*server) {
                server.fallback_share = *slots;
            }
        }
        self.refresh_all(now);
        self.dispatch_all(now);
    }

    /// Sets this instance's share of an organisation's rate limit.
    fn set_rate_share(
        &mut self,
        organisation: OrganisationId,
        share: f64,
        until: Duration,
        now: Duration,
    ) {
        let Some(rule) = self.rules.organisations.get(&organisation) else { return };
        let Some(rate) = rule.requests_per_second else { return };
        let limit = self
            .rate_limits
            .entry(organisation)
            .or_insert_with(|| OrganisationLimit::new(f64::from(rate) * share, now));
        limit.set_share(share, until);
    }

    /// Returns the rule of a class, if the settings have one.
    fn class_rule(&self, class: ClassId) -> Option<&ClassRule> {
        self.rules.classes.get(&class)
    }
}
