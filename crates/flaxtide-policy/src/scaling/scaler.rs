//! The scaler, which decides how many servers to order.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::DataCentreName;

use super::ScalingRules;
use super::demand::DemandLog;
use super::order::{OrderOutcome, OrderState, ServerCounts, ServerOrder};

/// Servers that are still missing this long after their boot time are ordered again.
const REPLACE_AFTER: Duration = Duration::from_secs(4);

/// The parameters of the scaler.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalerOptions {
    /// How many times the mean demand the servers can take. Bursts come without notice,
    /// and requests can't wait until a server has booted.
    pub burst_margin: f64,
    /// How many times the recent peak demand the servers can take, so that the peak can
    /// still be served when half of the servers are reclaimed.
    pub peak_margin: f64,
    /// How many times the current demand must be covered by servers that already serve.
    /// Regular servers are ordered to reach this.
    pub need_margin: f64,
    /// The span of the mean demand.
    pub mean_span: Duration,
    /// The span of the peak demand. The servers for a burst are kept for this long after
    /// it.
    pub peak_span: Duration,
    /// How long the initial servers are kept after the first request.
    pub learning_time: Duration,
    /// How long the initial number of servers must have stayed the same before regular
    /// servers are ordered. The server list may be incomplete at first, and an order for
    /// the servers listed so far would release the others.
    pub settling_time: Duration,
    /// How many times the initial number of servers are kept as spot servers during the
    /// learning time.
    pub startup_margin: f64,
    /// The minimum time between two orders that reduce the number of spot servers.
    pub spot_reduction_interval: Duration,
    /// The minimum time between two orders that reduce the number of regular servers.
    pub regular_reduction_interval: Duration,
    /// The minimum reduction of a number of servers by one order, as a fraction of it.
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

/// Decides how many servers to order for one service.
#[derive(Debug, Clone, Default)]
pub struct ServerScaler {
    /// The parameters.
    options: ScalerOptions,
    /// The recent demand.
    demand: DemandLog,
    /// The servers that were running when the scaler started, or `None` before any were
    /// listed.
    initial: Option<ServerCounts>,
    /// When the initial number of servers last grew.
    initial_since: Duration,
    /// The state of the orders, by data centre and whether they are for spot servers.
    orders: BTreeMap<(DataCentreName, bool), OrderState>,
}

/// The number of servers that a service should have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerTarget {
    /// The servers that must be serving now, spot or regular.
    needed: u32,
    /// The servers that should be available for an increase in demand.
    wanted: u32,
}

impl ServerScaler {
    /// Creates a scaler that knows nothing yet.
    #[must_use]
    pub fn new(options: ScalerOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Records how many requests are running on the servers or waiting for them.
    pub fn record_demand(&mut self, open: u32, now: Duration) {
        self.demand.record(open, now);
    }

    /// Records the outcome of an order.
    pub fn record_outcome(
        &mut self,
        order: &ServerOrder,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        let key = (order.data_centre.clone(), order.spot);
        self.orders.entry(key).or_default().record(order.count, outcome, now);
    }

    /// Returns the orders that are due. `slots` is the number of requests that a server
    /// runs at once.
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
            // Either no list has arrived yet or all servers are lost. The orders in force
            // stay as they are.
            return vec![];
        }
        let initial = self.initial_counts(serving, now);
        let settled = now >= self.initial_since + self.options.settling_time;
        let target = self.target(initial.total(), slots, now);
        let spot = self.spot_counts(rules, target.wanted, now);
        let regular = self.regular_counts(rules, server_counts, &spot, target, now);
        let mut due = vec![];
        // Without initial spot servers, an order for spot servers can't release any.
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

    /// Returns the servers that were running when the scaler started. The list may arrive
    /// in parts, so further servers count as initial if they appear before any were
    /// ordered.
    fn initial_counts(&mut self, serving: ServerCounts, now: Duration) -> ServerCounts {
        let initial = self.initial.get_or_insert_with(|| {
            self.initial_since = now;
            serving
        });
        let has_spot_orders = self.orders.keys().any(|(_, spot)| *spot);
        let mut listed = serving;
        if has_spot_orders {
            listed.spot = initial.spot;
        }
        let settled = now >= self.initial_since + self.options.settling_time;
        if !settled && (listed.regular > initial.regular || listed.spot > initial.spot) {
            initial.regular = initial.regular.max(listed.regular);
            initial.spot = initial.spot.max(listed.spot);
            self.initial_since = now;
        }
        *initial
    }

    /// Computes how many servers the service should have.
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

    /// Returns how many spot servers each data centre should have: an even share for each
    /// one that has some available.
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
        let is_unavailable = |name: &DataCentreName| {
            let state = self.orders.get(&(name.clone(), true));
            state.is_some_and(|state| state.is_unavailable(now))
        };
        let available: Vec<&DataCentreName> =
            rules.prices.keys().filter(|name| !is_unavailable(name)).collect();
        let share = wanted.div_ceil((available.len() as u32).max(1)).min(most);
        available.into_iter().map(|name| (name.clone(), share)).collect()
    }

    /// Returns how many regular servers each data centre should have: the minimum, plus
    /// what is currently needed beyond the spot servers. None are added while enough spot
    /// servers are booting, and none are released before these serve.
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
        let expected: u32 = names()
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
        let per_data_centre =
            |there: u32| goal.saturating_sub(there).div_ceil(data_centres);
        let regular_counts = names().map(|name| {
            let counts = counts_of(name);
            let most =
                rules.max_servers.saturating_sub(counts.spot).max(rules.min_servers);
            let (least, enough) =
                (per_data_centre(expected.max(serving)), per_data_centre(serving));
            let state = self.orders.get(&(name.clone(), false));
            let ordered = state.and_then(|state| state.ordered);
            let current = ordered.map_or(counts.regular, |(count, _)| count);
            let count = current.clamp(least, enough.max(least));
            (name.clone(), count.clamp(rules.min_servers, most))
        });
        regular_counts.collect()
    }

    /// Returns how many spot servers a data centre has, or will soon have if `wanted` are
    /// ordered there. `wanted` is `None` if it has none available.
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

    /// Returns an order if the one in force differs from `count` or has to be repeated.
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
            // The platform doesn't always replace servers that it reclaimed.
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
            let interval = match spot {
                true => self.options.spot_reduction_interval,
                false => self.options.regular_reduction_interval,
            };
            let interval_passed = since.is_none_or(|since| now >= since + interval);
            let least = f64::from(current) * self.options.min_reduction;
            if !interval_passed || f64::from(current - count) < least {
                return None;
            }
        }
        Some(ServerOrder { data_centre, spot, count })
    }
}
