//! The decision.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::DataCentreName;

use super::ScalingRules;
use super::demand::DemandLog;
use super::stock::{OrderOutcome, OrderState, ServerCounts, ServerOrder};

/// Servers that are missing for so long beyond their boot are ordered again.
const REPLACE_AFTER: Duration = Duration::from_secs(4);

/// What is turned on the scaler.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalerOptions {
    /// How many times the mean demand the servers can bear: a burst comes without notice, and
    /// nobody can wait until a server has booted.
    pub burst: f64,
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
    pub learning: Duration,
    /// For how long no more servers must have been seen when this begins, before any are ordered
    /// at the full price: an order for as many as are seen would give back those that aren't.
    pub settling: Duration,
    /// How many times what stood before is held until then, at the lower price.
    pub unknown_margin: f64,
    /// The least time between two orders of servers at the lower price that lower a count.
    pub lowering_pause: Duration,
    /// The same for servers at the full price.
    pub full_price_pause: Duration,
    /// A count isn't lowered by less than this part.
    pub lowering_part: f64,
}

impl Default for ScalerOptions {
    fn default() -> Self {
        Self {
            burst: 3.0,
            peak_margin: 2.0,
            need_margin: 1.25,
            mean_span: Duration::from_secs(20),
            peak_span: Duration::from_secs(30),
            learning: Duration::from_secs(12),
            unknown_margin: 2.0,
            settling: Duration::from_millis(1500),
            lowering_pause: Duration::from_secs(10),
            full_price_pause: Duration::from_secs(1),
            lowering_part: 0.15,
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
    began: Option<ServerCounts>,
    /// Since when that hasn't grown.
    began_at: Duration,
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
        stocks: &BTreeMap<DataCentreName, ServerCounts>,
        slots: u32,
        now: Duration,
    ) -> Vec<ServerOrder> {
        let mut serving = ServerCounts::default();
        for stock in stocks.values() {
            serving.regular += stock.regular;
            serving.spot += stock.spot;
        }
        if serving.total() == 0 {
            // Nothing is known yet, or all is lost: what is in force is left as it is.
            return vec![];
        }
        let began = self.began(serving, now);
        let settled = now >= self.began_at + self.options.settling;
        let target = self.target(began.total(), slots, now);
        let spot = self.spread_spot(rules, target.wanted, now);
        let regular = self.spread_regular(rules, stocks, &spot, target, now);
        let mut due = vec![];
        // Where none are at the lower price yet, an order for some takes nothing away.
        let may_order = settled || began.spot == 0;
        for (data_centre, count) in spot.into_iter().filter(|_| may_order) {
            let stock = stocks.get(&data_centre).copied().unwrap_or_default();
            due.extend(self.due_order(data_centre, true, count, stock, rules, now));
        }
        for (data_centre, count) in regular.into_iter().filter(|_| settled) {
            let stock = stocks.get(&data_centre).copied().unwrap_or_default();
            due.extend(self.due_order(data_centre, false, count, stock, rules, now));
        }
        due
    }

    /// Returns how many servers stood when this began. The list of them may come in pieces, so
    /// more than at first count as long as they stood before any was ordered.
    fn began(&mut self, serving: ServerCounts, now: Duration) -> ServerCounts {
        let began = self.began.get_or_insert_with(|| {
            self.began_at = now;
            serving
        });
        let orders = self.orders.keys().any(|(_, spot)| *spot);
        let mut stood = serving;
        if orders {
            stood.spot = began.spot;
        }
        let settled = now >= self.began_at + self.options.settling;
        if !settled && (stood.regular > began.regular || stood.spot > began.spot) {
            began.regular = began.regular.max(stood.regular);
            began.spot = began.spot.max(stood.spot);
            self.began_at = now;
        }
        *began
    }

    /// Works out how many servers there should be.
    fn target(&self, began: u32, slots: u32, now: Duration) -> ServerTarget {
        let options = &self.options;
        let servers = |open: f64| (open / f64::from(slots.max(1))).ceil() as u32;
        let peak = f64::from(self.demand.peak(options.peak_span, now));
        let mean = self.demand.mean(options.mean_span, now);
        let recent = f64::from(self.demand.peak(options.lowering_pause, now));
        let mut wanted = servers((mean * options.burst).max(peak * options.peak_margin));
        let since = self.demand.busy_since();
        if since.is_none_or(|since| now < since + options.learning) {
            let least = f64::from(began) * options.unknown_margin;
            wanted = wanted.max(least as u32);
        }
        let mut needed = servers(recent * options.need_margin);
        if since.is_none() {
            needed = needed.max(began);
        }
        ServerTarget { needed, wanted: wanted.max(1) }
    }

    /// Spreads the servers at the lower price evenly over the data centres that have some.
    fn spread_spot(
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
    fn spread_regular(
        &self,
        rules: &ScalingRules,
        stocks: &BTreeMap<DataCentreName, ServerCounts>,
        spot: &BTreeMap<DataCentreName, u32>,
        target: ServerTarget,
        now: Duration,
    ) -> BTreeMap<DataCentreName, u32> {
        let goal = match rules.spot_price {
            Some(_) => target.needed,
            None => target.wanted,
        };
        let stock_of = |name| stocks.get(name).copied().unwrap_or_default();
        let names = || rules.prices.keys();
        let serving: u32 = names().map(|name| stock_of(name).spot).sum();
        let coming: u32 = names()
            .map(|name| {
                self.coming(name, stock_of(name), spot.get(name).copied(), rules, now)
            })
            .sum();
        let places = rules.prices.len().max(1) as u32;
        let part = |there: u32| goal.saturating_sub(there).div_ceil(places);
        let parts = names().map(|name| {
            let stock = stock_of(name);
            let most =
                rules.max_servers.saturating_sub(stock.spot).max(rules.min_servers);
            let (least, enough) = (part(coming.max(serving)), part(serving));
            let state = self.orders.get(&(name.clone(), false));
            let ordered = state.and_then(|state| state.ordered);
            let current = ordered.map_or(stock.regular, |(count, _)| count);
            let count = current.clamp(least, enough.max(least));
            (name.clone(), count.clamp(rules.min_servers, most))
        });
        parts.collect()
    }

    /// Returns how many servers at the lower price a data centre has, or will have soon if so many
    /// are ordered there; nothing if it has none to give.
    fn coming(
        &self,
        name: &DataCentreName,
        stock: ServerCounts,
        wanted: Option<u32>,
        rules: &ScalingRules,
        now: Duration,
    ) -> u32 {
        let Some(wanted) = wanted else { return stock.spot };
        let state = self.orders.get(&(name.clone(), true));
        let ordered = state.and_then(|state| state.ordered);
        let overdue = ordered.is_some_and(|(count, at)| {
            count == wanted && now >= at + rules.boot_time + REPLACE_AFTER
        });
        if overdue { stock.spot } else { wanted.max(stock.spot) }
    }

    /// Returns an order if the one in force isn't what it should be.
    fn due_order(
        &self,
        data_centre: DataCentreName,
        spot: bool,
        count: u32,
        stock: ServerCounts,
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
            None => (stock.of(spot), None),
        };
        if state.unknown {
            return Some(ServerOrder { data_centre, spot, count });
        }
        if count == current {
            // What was taken away isn't always replaced.
            let missed = stock.of(spot) < count;
            let due =
                since.is_some_and(|since| now >= since + rules.boot_time + REPLACE_AFTER);
            return (missed && due).then_some(ServerOrder { data_centre, spot, count });
        }
        if count < current {
            let pause = match spot {
                true => self.options.lowering_pause,
                false => self.options.full_price_pause,
            };
            let rested = since.is_none_or(|since| now >= since + pause);
            let least = f64::from(current) * self.options.lowering_part;
            if !rested || f64::from(current - count) < least {
                return None;
            }
        }
        Some(ServerOrder { data_centre, spot, count })
    }
}
