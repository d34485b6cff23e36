//! Orders of servers: at the lower price where that is safe, up at once, down with care.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    OrderOutcome, ScalerOptions, ScalingRules, ServerCounts, ServerOrder, ServerScaler,
};

/// How many requests a server works on at once.
const SLOTS: u32 = 12;

/// Data centres and servers that do what is ordered after their boot.
struct Place {
    scaler: ServerScaler,
    rules: ScalingRules,
    stocks: BTreeMap<String, ServerCounts>,
    booting: Vec<(Duration, ServerOrder)>,
    /// Data centres that have no servers at the lower price.
    dry: Vec<String>,
    orders: Vec<(Duration, ServerOrder)>,
    now: Duration,
}

impl Place {
    /// Starts with so many servers at the full price in each of four data centres.
    fn new(standing: u32) -> Self {
        let names = ["a", "b", "c", "d"];
        let price = |name: &&str| ((*name).to_owned(), 1.0);
        let stock = |name: &&str| {
            ((*name).to_owned(), ServerCounts { regular: standing, spot: 0 })
        };
        Self {
            scaler: ServerScaler::new(ScalerOptions::default()),
            rules: ScalingRules {
                min_servers: 1,
                max_servers: 56,
                boot_time: Duration::from_secs(4),
                spot_price: Some(0.22),
                prices: names.iter().map(price).collect(),
            },
            stocks: names.iter().map(stock).collect(),
            booting: vec![],
            dry: vec![],
            orders: vec![],
            now: Duration::ZERO,
        }
    }

    /// Lets time pass while so many requests are open.
    fn run(&mut self, seconds: u64, open: u32) {
        for _ in 0..seconds * 2 {
            self.now += Duration::from_millis(500);
            self.boot();
            self.scaler.record_demand(open, self.now);
            let due = self.scaler.plan(&self.rules, &self.stocks, SLOTS, self.now);
            for order in due {
                self.take(order);
            }
        }
    }

    /// Takes an order.
    fn take(&mut self, order: ServerOrder) {
        let dry = order.spot && self.dry.contains(&order.data_centre);
        let outcome =
            if dry { OrderOutcome::Unavailable } else { OrderOutcome::Accepted };
        self.scaler.record_outcome(&order, outcome, self.now);
        if dry {
            return;
        }
        self.orders.push((self.now, order.clone()));
        let stock = self.stocks.entry(order.data_centre.clone()).or_default();
        let serving = if order.spot { &mut stock.spot } else { &mut stock.regular };
        if order.count < *serving {
            *serving = order.count;
        }
        self.booting.push((self.now + self.rules.boot_time, order));
    }

    /// Puts servers into service that have booted.
    fn boot(&mut self) {
        let now = self.now;
        let (ready, rest) =
            self.booting.drain(..).partition(|(at, _): &(Duration, _)| now >= *at);
        self.booting = rest;
        let ready: Vec<(Duration, ServerOrder)> = ready;
        for (_, order) in ready {
            let stock = self.stocks.entry(order.data_centre).or_default();
            let serving = if order.spot { &mut stock.spot } else { &mut stock.regular };
            *serving = order.count;
        }
    }

    /// Takes the servers at the lower price of a data centre away.
    fn reclaim(&mut self, name: &str) {
        if let Some(stock) = self.stocks.get_mut(name) {
            stock.spot = 0;
        }
        self.booting
            .retain(|(_, order)| !order.spot || order.data_centre != name);
        self.dry.push(name.to_owned());
    }

    /// Returns how many servers serve, at the full and at the lower price.
    fn serving(&self) -> (u32, u32) {
        let regular = self.stocks.values().map(|stock| stock.regular).sum();
        (regular, self.stocks.values().map(|stock| stock.spot).sum())
    }
}

#[test]
fn servers_at_the_lower_price_take_over_before_those_at_the_full_one_go() {
    let mut place = Place::new(28);
    for _ in 0..12 {
        place.run(1, 0);
        let (regular, spot) = place.serving();
        assert!(regular + spot >= 112, "{regular} and {spot}");
    }
    let (regular, spot) = place.serving();
    assert!(regular == 4 && spot >= 112, "{regular} and {spot}");
}

#[test]
fn what_is_asked_for_is_borne_and_a_lull_gives_servers_back() {
    let mut place = Place::new(28);
    place.run(12, 0);
    place.run(40, 240);
    let (regular, spot) = place.serving();
    let burst = f64::from(240 / SLOTS) * ScalerOptions::default().burst;
    let least = burst.ceil() as u32;
    assert!((least..=least + 8).contains(&(regular + spot)), "{regular}, {spot}");
    place.run(20, 900);
    assert!(place.serving().1 * SLOTS >= 900 * 2);
}

#[test]
fn two_data_centres_that_lose_their_servers_are_made_up_for() {
    let mut place = Place::new(28);
    place.run(12, 0);
    place.run(20, 600);
    place.reclaim("a");
    place.reclaim("b");
    place.run(8, 600);
    let (regular, spot) = place.serving();
    assert!((regular + spot) * SLOTS >= 600 * 5 / 4, "{regular} and {spot}");
    place.dry.clear();
    place.run(30, 600);
    let (regular, spot) = place.serving();
    assert_eq!(regular, 4, "the full price is paid no longer than needed");
    assert!(spot * SLOTS >= 600 * 3 / 2);
}

#[test]
fn servers_stay_through_a_wave_of_demand() {
    let mut place = Place::new(28);
    place.run(12, 0);
    for _ in 0..10 {
        place.run(5, 300);
        place.run(5, 420);
    }
    let late = place.orders.iter().filter(|(at, _)| *at > Duration::from_secs(50));
    assert!(late.count() <= 4, "{:?}", place.orders);
}

#[test]
fn a_list_that_comes_in_pieces_gives_no_server_back() {
    let mut place = Place::new(4);
    place.run(1, 0);
    for stock in place.stocks.values_mut() {
        stock.regular = 28;
    }
    place.run(3, 0);
    assert!(place.orders.iter().all(|(_, order)| order.spot), "{:?}", place.orders);
    place.run(10, 0);
    let (regular, spot) = place.serving();
    assert!(regular == 4 && spot >= 112, "{regular} and {spot}");
}

#[test]
fn a_burst_is_met_at_the_lower_price_while_there_is_some() {
    let mut place = Place::new(28);
    place.run(12, 0);
    place.run(20, 200);
    place.run(6, 1600);
    let full_price = |order: &ServerOrder| !order.spot && order.count > 1;
    let since = Duration::from_secs(12);
    let mut later = place.orders.iter().filter(|(at, _)| *at > since);
    assert!(!later.any(|(_, order)| full_price(order)), "{:?}", place.orders);
    assert!(place.serving().1 * SLOTS >= 1600);
}

#[test]
fn a_new_holder_takes_nothing_back_while_the_list_comes() {
    let mut place = Place::new(1);
    for stock in place.stocks.values_mut() {
        stock.spot = 10;
    }
    place.run(1, 300);
    for stock in place.stocks.values_mut() {
        stock.spot = 50;
    }
    place.run(1, 300);
    assert!(place.orders.is_empty(), "{:?}", place.orders);
    place.run(10, 300);
    assert!(place.serving().1 >= 100);
}

#[test]
fn nothing_is_ordered_without_a_list_of_servers() {
    let mut place = Place::new(0);
    place.run(10, 100);
    assert!(place.orders.is_empty());
}

#[test]
fn an_order_without_an_answer_is_given_again_whatever_serves() {
    let mut place = Place::new(28);
    place.run(12, 0);
    let order = ServerOrder { data_centre: "a".into(), spot: true, count: 5 };
    place.scaler.record_outcome(&order, OrderOutcome::Unknown, place.now);
    let due = place.scaler.plan(&place.rules, &place.stocks, SLOTS, place.now);
    assert!(due.iter().any(|order| order.data_centre == "a" && order.spot), "{due:?}");
}
