//! What the decision core knows of the backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::{PoolId, ServerId, TierRank};

use crate::estimate::DecayedMean;
use crate::event::LoadReport;
use crate::rule::ServerRule;

/// A backend server, as seen from one instance.
#[derive(Debug, Clone)]
pub(crate) struct BackendServer {
    /// The id of the server.
    pub(crate) server: ServerId,
    /// The pools that the server belongs to.
    pub(crate) pools: Vec<PoolId>,
    /// How many requests the server works on at once, for all instances together.
    pub(crate) slots: u32,
    /// This instance's granted share of the slots, and when it expires.
    share: Option<(u32, Duration)>,
    /// This instance's share of the slots while no granted share is in force.
    pub(crate) fallback_share: u32,
    /// This instance's requests at the server, by tier.
    running: [u32; TRACKED_TIERS],
    /// When this instance dispatched requests that the last report doesn't include yet.
    recent_dispatches: Vec<Duration>,
    /// The last load report.
    report: Option<LoadReport>,
    /// The time per token in seconds, as seen by this instance.
    token_seconds: DecayedMean,
    /// Whether the server is leaving.
    pub(crate) leaving: bool,
    /// When the pause after a failure ends.
    paused_until: Duration,
    /// Whether the server is much slower than its pool, and gets one request at a time.
    pub(crate) on_probation: bool,
}

/// A load report that is older than this isn't used to find idle slots.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The backend servers of a data centre, sorted by id.
///
/// Every choice visits all servers of a pool, so they are stored in one `Vec`; with a map,
/// lookups took half of the time of a decision.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerTable {
    /// The servers, sorted by id.
    servers: Vec<BackendServer>,
}

impl ServerTable {
    /// Returns a server.
    pub(crate) fn get(&self, server: ServerId) -> Option<&BackendServer> {
        self.index_of(server).ok().map(|index| &self.servers[index])
    }

    /// Returns a server for changes.
    pub(crate) fn get_mut(&mut self, server: ServerId) -> Option<&mut BackendServer> {
        self.index_of(server).ok().map(|index| &mut self.servers[index])
    }

    /// Returns the servers at the given indices.
    pub(crate) fn at<'a>(
        &'a self,
        indices: &'a [usize],
    ) -> impl Iterator<Item = &'a BackendServer> {
        indices.iter().filter_map(|index| self.servers.get(*index))
    }

    /// Returns all servers with their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &BackendServer)> {
        self.servers.iter().enumerate()
    }

    /// Applies new rules. Servers that are still listed keep their state.
    pub(crate) fn set_rules(&mut self, rules: &BTreeMap<ServerId, ServerRule>) {
        self.servers.retain(|server| rules.contains_key(&server.server));
        for (id, rule) in rules {
            match self.index_of(*id) {
                Ok(index) => {
                    self.servers[index].pools.clone_from(&rule.pools);
                    self.servers[index].slots = rule.slots;
                }
                Err(index) => self.servers.insert(index, BackendServer::new(*id, rule)),
            }
        }
    }

    /// Returns the index of a server, or the one at which to insert it.
    fn index_of(&self, server: ServerId) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&server, |entry| entry.server)
    }
}

/// The rank of the highest tier. Its requests may use slots that lower tiers occupy.
const TOP_TIER: TierRank = 0;

/// The number of tiers that are counted separately; lower ones count as the last of
/// these.
const TRACKED_TIERS: usize = 8;

impl BackendServer {
    /// Creates the state of a newly listed server.
    pub(crate) fn new(server: ServerId, rule: &ServerRule) -> Self {
        Self {
            server,
            pools: rule.pools.clone(),
            slots: rule.slots,
            share: None,
            fallback_share: rule.slots,
            running: [0; TRACKED_TIERS],
            recent_dispatches: vec![],
            report: None,
            token_seconds: DecayedMean::default(),
            leaving: false,
            paused_until: Duration::ZERO,
            on_probation: false,
        }
    }

    /// Returns whether the server is neither leaving nor paused at `now`.
    pub(crate) fn accepts_requests(&self, now: Duration) -> bool {
        !self.leaving && now >= self.paused_until
    }

    /// Returns this instance's share of the slots.
    pub(crate) fn share(&self, now: Duration) -> u32 {
        match self.share {
            Some((slots, until)) if now < until => slots,
            _ => self.fallback_share,
        }
    }

    /// Sets this instance's granted share of the slots, which expires at `until`.
    pub(crate) fn set_share(&mut self, slots: u32, until: Duration) {
        self.share = Some((slots, until));
    }

    /// Returns whether a request of `tier` may be sent to the server now.
    ///
    /// Requests of lower tiers don't use up the share, because the engine honours
    /// priorities. But the server shouldn't get more than twice as many requests as the
    /// share.
    pub(crate) fn has_slot(&self, tier: TierRank, now: Duration, idle_part: f64) -> bool {
        if !self.accepts_requests(now) {
            return false;
        }
        if self.on_probation {
            return self.running() == 0;
        }
        let share = self.usable_slots(tier, now, idle_part);
        if tier == TOP_TIER && self.running() == 0 {
            // An instance that was idle has no share until the instance that divides the
            // server's slots learns of its demand. Its first request of the top tier
            // doesn't wait for that.
            return true;
        }
        self.running_up_to(tier) < share && self.running() < 2 * share
    }

    /// Returns how many slots this instance may use. Without a granted share, as when the
    /// instance that divides the server's slots can't be reached, that is the fallback
    /// share plus the fraction `idle_part` of the slots that are idle in a recent report.
    /// Not all idle slots count, as other instances see the same report.
    pub(crate) fn usable_slots(
        &self,
        tier: TierRank,
        now: Duration,
        idle_part: f64,
    ) -> u32 {
        if let Some((slots, until)) = self.share
            && now < until
        {
            return slots;
        }
        let Some(report) = self.report else { return self.fallback_share };
        if now > report.at + MAX_REPORT_AGE {
            return self.fallback_share;
        }
        // The top tier can use slots of lower tiers, if the server reports them
        // separately.
        let reported = match report.urgent {
            Some(urgent) if tier == TOP_TIER => urgent,
            _ => report.running + report.waiting,
        };
        let busy = reported + self.recent_dispatches.len() as u32;
        let idle = f64::from(self.slots.saturating_sub(busy));
        self.fallback_share + (idle * idle_part) as u32
    }

    /// Returns how many of this instance's requests are at the server.
    pub(crate) fn running(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns how many of this instance's requests of `tier` and higher tiers are at the
    /// server.
    pub(crate) fn running_up_to(&self, tier: TierRank) -> u32 {
        self.running[..=tier_index(tier)].iter().sum()
    }

    /// Records that a request was dispatched to the server.
    pub(crate) fn record_dispatch(&mut self, tier: TierRank, now: Duration) {
        self.running[tier_index(tier)] += 1;
        self.recent_dispatches.push(now);
    }

    /// Records that an attempt at the server has ended, with or without success.
    pub(crate) fn record_end(&mut self, tier: TierRank) {
        let count = &mut self.running[tier_index(tier)];
        *count = count.saturating_sub(1);
    }

    /// Records a load report, unless a newer one is known.
    pub(crate) fn record_report(&mut self, report: LoadReport) {
        if self.report.is_some_and(|last| last.at >= report.at) {
            return;
        }
        self.recent_dispatches.retain(|at| *at > report.at);
        if self.token_seconds.get().is_none() && !report.step.is_zero() {
            self.token_seconds.add(report.step.as_secs_f64());
        }
        self.report = Some(report);
    }

    /// Adds a time per token measured by this instance.
    pub(crate) fn add_token_seconds(&mut self, seconds_per_token: f64) {
        self.token_seconds.add(seconds_per_token);
    }

    /// Returns the mean time per token in seconds; `None` before any is known.
    pub(crate) fn token_seconds(&self) -> Option<f64> {
        self.token_seconds.get()
    }

    /// Sends no requests to the server until the given time.
    pub(crate) fn pause(&mut self, until: Duration) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Ends a pause, because the server has responded.
    pub(crate) fn resume(&mut self) {
        self.paused_until = Duration::ZERO;
    }

    /// Returns the load in requests per slot: the last report, which converges to
    /// `mean_load` as it ages, plus this instance's dispatches since.
    pub(crate) fn load(&self, now: Duration, half_life: Duration, mean_load: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own = f64::from(self.running());
        let Some(report) = self.report else {
            return (own / slots).max(mean_load);
        };
        let age = now.saturating_sub(report.at).as_secs_f64() / half_life.as_secs_f64();
        let weight = 0.5f64.powf(age);
        let reported = f64::from(report.running + report.waiting) / slots;
        let aged = weight * reported + (1.0 - weight) * mean_load;
        let unreported = self.recent_dispatches.len() as f64 / slots;
        (aged + unreported).max(own / slots)
    }

    /// Returns the reported load in requests per slot; `None` before the first report.
    pub(crate) fn reported_load(&self) -> Option<f64> {
        let report = self.report?;
        Some(f64::from(report.running + report.waiting) / f64::from(self.slots.max(1)))
    }
}

/// Returns the index at which a tier is counted.
fn tier_index(tier: TierRank) -> usize {
    usize::from(tier).min(TRACKED_TIERS - 1)
}
