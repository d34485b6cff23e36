//! The decision.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::DataCentreName;

use super::ScalingRules;
use super::demand::DemandLog;
use super::order::{OrderOutcome, OrderState, ServerCounts, ServerOrder};

/// Servers that are missing for so long beyond their boot are ordered again.
const REPLACE_AFTER: Duration = Duration::from_secs(4);

/// What is turned on the scaler.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalerOptions {
    /// How many times the mean demand the servers can bear: a burst comes without notice, and
    /// nobody can wait until a server has booted.
    pub burst_margin: f64,
    /// How many times the highest demand that was seen: half of the servers may be taken away.
    pub peak_margin: f64,
    /// How many times the present demand is to be borne by servers that serve now; below this
    /// the full price is paid.
    pub need_margin: f64,
    /// The span of the mean.
    pub mean_span: Duration,
    /// The span of the peak: after a burst its servers are kept for so long.
    pub peak_span: Duration,
    /// For how long after the first request what stood before is kept.
    pub learning_time: Duration,
    /// For how long no more servers must have been seen when this begins, before any are ordered
    /// at the full price: an order for as many as are seen would give back those that aren't.
    pub settling_time: Duration,
    /// How many times what stood before is held until then, at the lower price.
    pub startup_margin: f64,
    /// The least time between two orders of servers at the lower price that lower a count.
    pub spot_reduction_interval: Duration,
    /// The same for servers at the full price.
    pub regular_reduction_interval: Duration,
    /// A count isn't lowered by less than this part.
    pub min_reduction: f64,
}

impl Default for ScalerOptions {
    fn default() -> Self {
        Self {
            burst_margin: 3.0,
            peak_margin: 2.0,
            need_margin: 1.25,
            mean_span: Duration::from_secs(20),
            peak_span: Duration::from_secs(30),
            learning_time: Duration::from_secs(12),
            startup_margin: 2.0,
            settling_time: Duration::from_millis(1500),
            spot_reduction_interval: Duration::from_secs(10),
            regular_reduction_interval: Duration::from_secs(1),
            min_reduction: 0.15,
        }
    }
}

/// Decides how many servers of one service are ordered.
#[derive(Debug, Clone, Default)]
pub struct ServerScaler {
    /// What is turned on it.
    options: ScalerOptions,
    /// The demand.
    demand: DemandLog,
    /// How many servers stood when this began.
    initial: Option<ServerCounts>,
    /// Since when that hasn't grown.
    initial_since: Duration,
    /// The orders, by data centre and price.
    orders: BTreeMap<(DataCentreName, bool), OrderState>,
}

/// How many servers there should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerTarget {
    /// How many must serve now, at whatever price.
    needed: u32,
    /// How many should be there for what may come.
    wanted: u32,
}

impl ServerScaler {
    /// Starts with nothing known.
    #[must_use]
    pub fn new(options: ScalerOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Records how many requests run at the servers or wait for them.
    pub fn record_demand(&mut self, open: u32, now: Duration) {
        self.demand.record(open, now);
    }

    /// Records what came of an order.
    pub fn record_outcome(
        &mut self,
        order: &ServerOrder,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        let key = (order.data_centre.clone(), order.spot);
        self.orders.entry(key).or_default().record(order.count, outcome, now);
    }

    /// Returns the orders that are due. `slots` is how many requests a server works on at once.
    pub fn plan(
        &mut self,
        rules: &ScalingRules,
        server_counts: &BTreeMap<DataCentreName, ServerCounts>,
        slots: u32,
        now: Duration,
    ) -> Vec<ServerOrder> {
        let mut serving = ServerCounts::default();
        for counts in server_counts.values() {
            serving.regular += counts.regular;
            serving.spot += counts.spot;
        }
        if serving.total() == 0 {
            // Nothing is known yet, or all is lost: what is in force is left as it is.
            return vec![];
        }
        let initial = self.initial_counts(serving, now);
        let settled = now >= self.initial_since + self.options.settling_time;
        let target = self.target(initial.total(), slots, now);
        let spot = self.spot_counts(rules, target.wanted, now);
        let regular = self.regular_counts(rules, server_counts, &spot, target, now);
        let mut due = vec![];
        // Where none are at the lower price yet, an order for some takes nothing away.
        let may_order = settled || initial.spot == 0;
        for (data_centre, count) in spot.into_iter().filter(|_| may_order) {
            let counts = server_counts.get(&data_centre).copied().unwrap_or_default();
            due.extend(self.due_order(data_centre, true, count, counts, rules, now));
        }
        for (data_centre, count) in regular.into_iter().filter(|_| settled) {
            let counts = server_counts.get(&data_centre).copied().unwrap_or_default();
            due.extend(self.due_order(data_centre, false, count, counts, rules, now));
        }
        due
    }

    /// Returns how many servers stood when this began. The list of them may come in pieces, so
    /// more than at first count as long as they stood before any was ordered.
    fn initial_counts(&mut self, serving: ServerCounts, now: Duration) -> ServerCounts {
        let initial = self.initial.get_or_insert_with(|| {
            self.initial_since = now;
            serving
        });
        let orders = self.orders.keys().any(|(_, spot)| *spot);
        let mut stood = serving;
        if orders {
            stood.spot = initial.spot;
        }
        let settled = now >= self.initial_since + self.options.settling_time;
        if !settled && (stood.regular > initial.regular || stood.spot > initial.spot) {
            initial.regular = initial.regular.max(stood.regular);
            initial.spot = initial.spot.max(stood.spot);
            self.initial_since = now;
        }
        *initial
    }

    /// Works out how many servers there should be.
    fn target(&self, initial: u32, slots: u32, now: Duration) -> ServerTarget {
        let options = &self.options;
        let servers = |open: f64| (open / f64::from(slots.max(1))).ceil() as u32;
        let peak = f64::from(self.demand.peak(options.peak_span, now));
        let mean = self.demand.mean(options.mean_span, now);
        let recent = f64::from(self.demand.peak(options.spot_reduction_interval, now));
        let mut wanted =
            servers((mean * options.burst_margin).max(peak * options.peak_margin));
        let since = self.demand.busy_since();
        if since.is_none_or(|since| now < since + options.learning_time) {
            let least = f64::from(initial) * options.startup_margin;
            wanted = wanted.max(least as u32);
        }
        let mut needed = servers(recent * options.need_margin);
        if since.is_none() {
            needed = needed.max(initial);
        }
        ServerTarget { needed, wanted: wanted.max(1) }
    }

    /// Spreads the servers at the lower price evenly over the data centres that have some.
    fn spot_counts(
        &self,
        rules: &ScalingRules,
        wanted: u32,
        now: Duration,
    ) -> BTreeMap<DataCentreName, u32> {
        if rules.spot_price.is_none() {
            return BTreeMap::new();
        }
        let most = rules.max_servers.saturating_sub(rules.min_servers);
        let refuses = |name: &DataCentreName| {
            let state = self.orders.get(&(name.clone(), true));
            state.is_some_and(|state| state.is_unavailable(now))
        };
        let open: Vec<&DataCentreName> =
            rules.prices.keys().filter(|name| !refuses(name)).collect();
        let part = wanted.div_ceil((open.len() as u32).max(1)).min(most);
        open.into_iter().map(|name| (name.clone(), part)).collect()
    }

    /// Returns how many servers at the full price each data centre should have: the fewest that
    /// are allowed, and what is needed now beyond those at the lower price. No more are ordered
    /// while enough at the lower price boot, and none given back before these serve.
    fn regular_counts(
        &self,
        rules: &ScalingRules,
        server_counts: &BTreeMap<DataCentreName, ServerCounts>,
        spot: &BTreeMap<DataCentreName, u32>,
        target: ServerTarget,
        now: Duration,
    ) -> BTreeMap<DataCentreName, u32> {
        let goal = match rules.spot_price {
            Some(_) => target.needed,
            None => target.wanted,
        };
        let counts_of = |name| server_counts.get(name).copied().unwrap_or_default();
        let names = || rules.prices.keys();
        let serving: u32 = names().map(|name| counts_of(name).spot).sum();
        let coming: u32 = names()
            .map(|name| {
                self.expected_spot(
                    name,
                    counts_of(name),
                    spot.get(name).copied(),
                    rules,
                    now,
                )
            })
            .sum();
        let data_centres = rules.prices.len().max(1) as u32;
        let part = |there: u32| goal.saturating_sub(there).div_ceil(data_centres);
        let parts = names().map(|name| {
            let counts = counts_of(name);
            let most =
                rules.max_servers.saturating_sub(counts.spot).max(rules.min_servers);
            let (least, enough) = (part(coming.max(serving)), part(serving));
            let state = self.orders.get(&(name.clone(), false));
            let ordered = state.and_then(|state| state.ordered);
            let current = ordered.map_or(counts.regular, |(count, _)| count);
            let count = current.clamp(least, enough.max(least));
            (name.clone(), count.clamp(rules.min_servers, most))
        });
        parts.collect()
    }

    /// Returns how many servers at the lower price a data centre has, or will have soon if so many
    /// are ordered there; nothing if it has none to give.
    fn expected_spot(
        &self,
        name: &DataCentreName,
        counts: ServerCounts,
        wanted: Option<u32>,
        rules: &ScalingRules,
        now: Duration,
    ) -> u32 {
        let Some(wanted) = wanted else { return counts.spot };
        let state = self.orders.get(&(name.clone(), true));
        let ordered = state.and_then(|state| state.ordered);
        let overdue = ordered.is_some_and(|(count, at)| {
            count == wanted && now >= at + rules.boot_time + REPLACE_AFTER
        });
        if overdue { counts.spot } else { wanted.max(counts.spot) }
    }

    /// Returns an order if the one in force isn't what it should be.
    fn due_order(
        &self,
        data_centre: DataCentreName,
        spot: bool,
        count: u32,
        counts: ServerCounts,
        rules: &ScalingRules,
        now: Duration,
    ) -> Option<ServerOrder> {
        let state = self.orders.get(&(data_centre.clone(), spot));
        let state = state.copied().unwrap_or_default();
        if state.is_unavailable(now) {
            return None;
        }
        let (current, since) = match state.ordered {
            Some((ordered, since)) => (ordered, Some(since)),
            None => (counts.by_kind(spot), None),
        };
        if state.unknown {
            return Some(ServerOrder { data_centre, spot, count });
        }
        if count == current {
            // What was taken away isn't always replaced.
            let servers_missing = counts.by_kind(spot) < count;
            let due =
                since.is_some_and(|since| now >= since + rules.boot_time + REPLACE_AFTER);
            return (servers_missing && due).then_some(ServerOrder {
                data_centre,
                spot,
                count,
            });
        }
        if count < current {
            let pause = match spot {
                true => self.options.spot_reduction_interval,
                false => self.options.regular_reduction_interval,
            };
            let interval_passed = since.is_none_or(|since| now >= since + pause);
            let least = f64::from(current) * self.options.min_reduction;
            if !interval_passed || f64::from(current - count) < least {
                return None;
            }
        }
        Some(ServerOrder { data_centre, spot, count })
    }
}
