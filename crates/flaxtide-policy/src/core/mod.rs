//! The decision core: events and the time go in, actions come out.

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
use crate::limit::RateLimit;
use crate::options::PolicyOptions;
use crate::rule::{ClassRule, RuleSet};
use crate::server::{BackendServer, ServerTable};

/// How often every pool is looked at, whatever happens.
const PUMP_PERIOD: Duration = Duration::from_millis(50);

/// Decides about every request of one entry instance.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{DecisionCore, PolicyEvent, PolicyOptions};
/// let mut core = DecisionCore::new(PolicyOptions::default(), 1);
/// assert!(core.handle(PolicyEvent::Tick, Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct DecisionCore {
    /// The tunable constants.
    options: PolicyOptions,
    /// The rules in force.
    rules: RuleSet,
    /// The backend servers.
    servers: ServerTable,
    /// The pools with their queues.
    pools: BTreeMap<PoolId, PoolState>,
    /// The requests that have neither been answered nor given up.
    calls: HashMap<RequestId, CallRecord>,
    /// When each waiting request is given up.
    expiries: BTreeSet<(Duration, RequestId)>,
    /// The limits of organisations.
    limits: HashMap<OrganisationId, RateLimit>,
    /// How many requests of each limited organisation came.
    usage: BTreeMap<OrganisationId, u32>,
    /// Estimates of answer lengths and service times.
    estimates: WorkEstimates,
    /// What may be spent on retries.
    budget: RetryBudget,
    /// When every pool was last looked at.
    pumped: Duration,
    /// The source of randomness.
    random: ChaCha8Rng,
    /// How many instances of the data centre are alive, this one included.
    live: u32,
    /// What has been decided in the current event.
    actions: Vec<PolicyAction>,
}

/// What a pool looks like from outside.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolSummary {
    /// Waiting requests by tier.
    pub waiting: BTreeMap<TierRank, usize>,
    /// This instance's requests at servers, by tier.
    pub running: BTreeMap<TierRank, u32>,
    /// This instance's share of the pool's slots.
    pub capacity: u32,
}

impl DecisionCore {
    /// Starts a core without any rules.
    #[must_use]
    pub fn new(options: PolicyOptions, seed: u64) -> Self {
        let budget = RetryBudget::new(options.retry_ratio, options.retry_burst);
        Self {
            options,
            rules: RuleSet::default(),
            servers: ServerTable::default(),
            pools: BTreeMap::new(),
            calls: HashMap::new(),
            expiries: BTreeSet::new(),
            limits: HashMap::new(),
            usage: BTreeMap::new(),
            estimates: WorkEstimates::default(),
            budget,
            random: ChaCha8Rng::seed_from_u64(seed),
            pumped: Duration::ZERO,
            live: 1,
            actions: vec![],
        }
    }

    /// Takes in what happened at `now` and returns what is to be done, in order.
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
                    server.report(report);
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
            PolicyEvent::RateShare { organisation, part, until } => {
                self.set_rate_part(organisation, part, until, now);
            }
            PolicyEvent::Tick => {}
        }
        self.pump_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Dispatches what time alone makes possible, such as a retry whose server is back:
    /// with every event, but not too often. Ticks may be starved by other events.
    fn pump_due(&mut self, now: Duration) {
        if now >= self.pumped + PUMP_PERIOD {
            self.pumped = now;
            self.pump_all(now);
        }
    }

    /// Returns when [`PolicyEvent::Tick`] is next needed, if any request waits.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Returns how each pool stands.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<PoolId, PoolSummary> {
        self.pools
            .iter()
            .map(|(pool, state)| (*pool, state.summary()))
            .collect()
    }

    /// Returns this instance's share of each server's slots, and how many it uses.
    #[must_use]
    pub fn slots(&self, now: Duration) -> BTreeMap<ServerId, (u32, u32)> {
        let entry = |server: &BackendServer| (server.share(now), server.running());
        self.servers
            .iter()
            .map(|(_, server)| (server.server, entry(server)))
            .collect()
    }

    /// Returns how many requests are waiting or at servers.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Puts new rules in force. Requests keep what was in force when they came.
    fn set_rules(&mut self, rules: RuleSet, now: Duration) {
        self.servers.set_rules(&rules.servers);
        for state in self.pools.values_mut() {
            state.servers.members.clear();
            state.servers.places.clear();
        }
        for (place, server) in self.servers.iter() {
            for pool in &server.pools {
                let pool = &mut self.pools.entry(*pool).or_default().servers;
                pool.members.push(server.server);
                pool.places.push(place);
            }
        }
        self.rules = rules;
        self.refresh_all(now);
        self.pump_all(now);
    }

    /// Returns how many requests of each limited organisation came since the last call,
    /// refused ones included.
    pub fn take_usage(&mut self) -> BTreeMap<OrganisationId, u32> {
        std::mem::take(&mut self.usage)
    }

    /// Takes in whether a server is leaving.
    fn set_leaving(&mut self, server: ServerId, leaving: bool, now: Duration) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if server.leaving == leaving {
            return;
        }
        server.leaving = leaving;
        self.refresh_all(now);
        self.pump_all(now);
    }

    /// Sets how many instances are alive, and the shares that hold without news.
    fn set_peers(&mut self, live: u32, fallbacks: &[(ServerId, u32)], now: Duration) {
        self.live = live.max(1);
        for (server, slots) in fallbacks {
            if let Some(server) = self.servers.get_mut(*server) {
                server.fallback = *slots;
            }
        }
        self.refresh_all(now);
        self.pump_all(now);
    }

    /// Sets this instance's part of an organisation's rate.
    fn set_rate_part(
        &mut self,
        organisation: OrganisationId,
        part: f64,
        until: Duration,
        now: Duration,
    ) {
        let Some(rule) = self.rules.organisations.get(&organisation) else { return };
        let Some(rate) = rule.requests_per_second else { return };
        let limit = self
            .limits
            .entry(organisation)
            .or_insert_with(|| RateLimit::new(f64::from(rate) * part, now));
        limit.set_part(part, until);
    }

    /// Returns a class's rule, if it has one.
    fn class_rule(&self, class: ClassId) -> Option<&ClassRule> {
        self.rules.classes.get(&class)
    }
}
