//! Orders of servers: spot servers are preferred, numbers are raised at once and reduced
//! with care.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    OrderOutcome, ScalerOptions, ScalingRules, ServerCounts, ServerOrder, ServerScaler,
};

/// The number of requests that a server runs at once.
const SLOTS: u32 = 12;

/// A simulation of data centres that carry out orders after the boot time.
struct Simulation {
    scaler: ServerScaler,
    rules: ScalingRules,
    server_counts: BTreeMap<String, ServerCounts>,
    booting: Vec<(Duration, ServerOrder)>,
    /// Data centres that have no spot servers available.
    without_spot: Vec<String>,
    orders: Vec<(Duration, ServerOrder)>,
    now: Duration,
}

impl Simulation {
    /// Starts with this many regular servers in each of four data centres.
    fn new(servers: u32) -> Self {
        let names = ["a", "b", "c", "d"];
        let price = |name: &&str| ((*name).to_owned(), 1.0);
        let counts = |name: &&str| {
            ((*name).to_owned(), ServerCounts { regular: servers, spot: 0 })
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
            server_counts: names.iter().map(counts).collect(),
            booting: vec![],
            without_spot: vec![],
            orders: vec![],
            now: Duration::ZERO,
        }
    }

    /// Lets time pass while this many requests are open.
    fn run(&mut self, seconds: u64, open: u32) {
        for _ in 0..seconds * 2 {
            self.now += Duration::from_millis(500);
            self.boot();
            self.scaler.record_demand(open, self.now);
            let due = self.scaler.plan(&self.rules, &self.server_counts, SLOTS, self.now);
            for order in due {
                self.accept_order(order);
            }
        }
    }

    /// Handles an order as the platform does.
    fn accept_order(&mut self, order: ServerOrder) {
        let without_spot = order.spot && self.without_spot.contains(&order.data_centre);
        let outcome =
            if without_spot { OrderOutcome::Unavailable } else { OrderOutcome::Accepted };
        self.scaler.record_outcome(&order, outcome, self.now);
        if without_spot {
            return;
        }
        self.orders.push((self.now, order.clone()));
        let counts = self.server_counts.entry(order.data_centre.clone()).or_default();
        let serving = if order.spot { &mut counts.spot } else { &mut counts.regular };
        if order.count < *serving {
            *serving = order.count;
        }
        self.booting.push((self.now + self.rules.boot_time, order));
    }

    /// Puts servers into service whose boot time has passed.
    fn boot(&mut self) {
        let now = self.now;
        let (ready, rest) =
            self.booting.drain(..).partition(|(at, _): &(Duration, _)| now >= *at);
        self.booting = rest;
        let ready: Vec<(Duration, ServerOrder)> = ready;
        for (_, order) in ready {
            let counts = self.server_counts.entry(order.data_centre).or_default();
            let serving = if order.spot { &mut counts.spot } else { &mut counts.regular };
            *serving = order.count;
        }
    }

    /// Reclaims the spot servers of a data centre.
    fn reclaim(&mut self, name: &str) {
        if let Some(counts) = self.server_counts.get_mut(name) {
            counts.spot = 0;
        }
        self.booting
            .retain(|(_, order)| !order.spot || order.data_centre != name);
        self.without_spot.push(name.to_owned());
    }

    /// Returns the numbers of regular and spot servers that are serving.
    fn serving(&self) -> (u32, u32) {
        let regular = self.server_counts.values().map(|counts| counts.regular).sum();
        (regular, self.server_counts.values().map(|counts| counts.spot).sum())
    }
}

#[test]
fn spot_servers_take_over_before_regular_servers_are_released() {
    let mut simulation = Simulation::new(28);
    for _ in 0..12 {
        simulation.run(1, 0);
        let (regular, spot) = simulation.serving();
        assert!(regular + spot >= 112, "{regular} and {spot}");
    }
    let (regular, spot) = simulation.serving();
    assert!(regular == 4 && spot >= 112, "{regular} and {spot}");
}

#[test]
fn demand_is_served_and_excess_servers_are_released() {
    let mut simulation = Simulation::new(28);
    simulation.run(12, 0);
    simulation.run(40, 240);
    let (regular, spot) = simulation.serving();
    let burst = f64::from(240 / SLOTS) * ScalerOptions::default().burst_margin;
    let least = burst.ceil() as u32;
    assert!((least..=least + 8).contains(&(regular + spot)), "{regular}, {spot}");
    simulation.run(20, 900);
    assert!(simulation.serving().1 * SLOTS >= 900 * 2);
}

#[test]
fn servers_reclaimed_in_two_data_centres_are_replaced() {
    let mut simulation = Simulation::new(28);
    simulation.run(12, 0);
    simulation.run(20, 600);
    simulation.reclaim("a");
    simulation.reclaim("b");
    simulation.run(8, 600);
    let (regular, spot) = simulation.serving();
    assert!((regular + spot) * SLOTS >= 600 * 5 / 4, "{regular} and {spot}");
    simulation.without_spot.clear();
    simulation.run(30, 600);
    let (regular, spot) = simulation.serving();
    assert_eq!(regular, 4, "regular servers are kept no longer than needed");
    assert!(spot * SLOTS >= 600 * 3 / 2);
}

#[test]
fn servers_are_kept_while_demand_oscillates() {
    let mut simulation = Simulation::new(28);
    simulation.run(12, 0);
    for _ in 0..10 {
        simulation.run(5, 300);
        simulation.run(5, 420);
    }
    let later_orders = simulation
        .orders
        .iter()
        .filter(|(at, _)| *at > Duration::from_secs(50));
    assert!(later_orders.count() <= 4, "{:?}", simulation.orders);
}

#[test]
fn a_server_list_that_arrives_in_parts_releases_no_server() {
    let mut simulation = Simulation::new(4);
    simulation.run(1, 0);
    for counts in simulation.server_counts.values_mut() {
        counts.regular = 28;
    }
    simulation.run(3, 0);
    assert!(
        simulation.orders.iter().all(|(_, order)| order.spot),
        "{:?}",
        simulation.orders
    );
    simulation.run(10, 0);
    let (regular, spot) = simulation.serving();
    assert!(regular == 4 && spot >= 112, "{regular} and {spot}");
}

#[test]
fn a_burst_is_served_by_spot_servers_while_some_are_available() {
    let mut simulation = Simulation::new(28);
    simulation.run(12, 0);
    simulation.run(20, 200);
    simulation.run(6, 1600);
    let extra_regular = |order: &ServerOrder| !order.spot && order.count > 1;
    let since = Duration::from_secs(12);
    let mut later = simulation.orders.iter().filter(|(at, _)| *at > since);
    assert!(!later.any(|(_, order)| extra_regular(order)), "{:?}", simulation.orders);
    assert!(simulation.serving().1 * SLOTS >= 1600);
}

#[test]
fn a_new_holder_releases_nothing_while_the_list_arrives() {
    let mut simulation = Simulation::new(1);
    for counts in simulation.server_counts.values_mut() {
        counts.spot = 10;
    }
    simulation.run(1, 300);
    for counts in simulation.server_counts.values_mut() {
        counts.spot = 50;
    }
    simulation.run(1, 300);
    assert!(simulation.orders.is_empty(), "{:?}", simulation.orders);
    simulation.run(10, 300);
    assert!(simulation.serving().1 >= 100);
}

#[test]
fn nothing_is_ordered_without_a_list_of_servers() {
    let mut simulation = Simulation::new(0);
    simulation.run(10, 100);
    assert!(simulation.orders.is_empty());
}

#[test]
fn an_order_without_an_answer_is_repeated() {
    let mut simulation = Simulation::new(28);
    simulation.run(12, 0);
    let order = ServerOrder { data_centre: "a".into(), spot: true, count: 5 };
    simulation
        .scaler
        .record_outcome(&order, OrderOutcome::Unknown, simulation.now);
    let due = simulation.scaler.plan(
        &simulation.rules,
        &simulation.server_counts,
        SLOTS,
        simulation.now,
    );
    assert!(due.iter().any(|order| order.data_centre == "a" && order.spot), "{due:?}");
}
