//! Ends of streams and bodies of every framing, on instances and backend servers that are all
//! processes of their own, while servers are killed, replaced at their addresses, frozen, leave and
//! exit, and instances are killed, stopped and suspended, at random and over each other: what looks
//! complete is whole and in order, nothing runs twice that may run once, and in a calm all arrives.
//! `FLAXTIDE_STREAM_SEEDS=FROM..TO` plays more.

mod backends;
mod callers;
#[path = "../../../../platform/tests/common/mod.rs"]
mod common;
mod content;
#[path = "../version_soak/process.rs"]
mod process;
mod server;
mod verdict;

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use common::{StandinStore, config, fresh_ip, wait_until};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use self::backends::Backends;
use self::callers::Callers;
use self::process::EntryProcess;
use self::verdict::{Played, STABLE};

/// The variable that makes a process of this test a server.
const SERVER_SETTINGS: &str = "FLAXTIDE_STREAM_SERVER";

/// The test that such a process runs.
const SERVER_TEST: &str = "serves_as_a_backend_server_if_told_to";

/// For how long troubles begin.
const TROUBLED: Duration = Duration::from_secs(5);

/// For how long nothing happens at the end.
const CALM: Duration = Duration::from_secs(4);

/// How often it is looked whether something is due.
const STEP: Duration = Duration::from_millis(5);

/// The longest pause between two troubles.
const LONGEST_PAUSE_MS: u64 = 500;

/// How long the operator has an answer take at most.
const ROUTE_TIMEOUT_MS: u64 = 9000;

/// How many seeds have another size each.
const SIZES: u64 = 8;

/// What is played.
struct Soak {
    rng: StdRng,
    store: StandinStore,
    backends: Backends,
    instances: Vec<EntryProcess>,
    callers: Callers,
    config_version: u64,
}

impl Soak {
    /// Starts all processes.
    fn start(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (servers, callers) = match seed % SIZES {
            3 => (6, 200),
            // Many connections to each server.
            5 => (2, 120),
            _ => (5, 30),
        };
        let is_unframed = matches!(seed % SIZES, 5 | 7);
        let store = StandinStore::start(fresh_ip());
        store.put_config(&wide_config(1, &mut rng));
        let backends = Backends::start(&store, seed, servers, is_unframed);
        let ips: Vec<Ipv4Addr> = (0..3).map(|_| fresh_ip()).collect();
        let instances: Vec<EntryProcess> = ips
            .iter()
            .map(|ip| EntryProcess::start(*ip, store.address, &ips))
            .collect();
        instances.iter().for_each(EntryProcess::wait_ready);
        let addresses: Vec<SocketAddr> =
            instances.iter().map(EntryProcess::callers).collect();
        let callers = Callers::start(&addresses, callers, seed);
        Self {
            rng,
            store,
            backends,
            instances,
            callers,
            config_version: 1,
        }
    }

    /// Lets something happen.
    fn change(&mut self) {
        let place = self.rng.random_range(0..self.instances.len());
        let span = Duration::from_millis(self.rng.random_range(0..1000));
        let instance = &mut self.instances[place];
        match self.rng.random_range(0..20) {
            0 => instance.kill_until(Instant::now() + span),
            1 => instance.stop(),
            2 => instance.suspend(span),
            3 => instance.reload(),
            4 => {
                self.config_version += 1;
                let config = wide_config(self.config_version, &mut self.rng);
                self.store.put_config(&config);
            }
            _ => self.backends.trouble(&self.store, &mut self.rng),
        }
    }

    /// Does what is due. Returns whether everything serves.
    fn poll(&mut self) -> bool {
        let mut is_settled = self.backends.poll(&self.store);
        for instance in &mut self.instances {
            is_settled &= instance.poll();
        }
        is_settled
    }

    /// Waits, and does what is due meanwhile.
    fn pause(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.poll();
            thread::sleep(STEP);
        }
    }

    /// Plays troubles, then a calm.
    fn play(mut self) -> Played {
        let end = Instant::now() + TROUBLED;
        while Instant::now() < end {
            for _ in 0..self.rng.random_range(1..=2) {
                self.change();
            }
            let pause = self.rng.random_range(0..LONGEST_PAUSE_MS);
            self.pause(Duration::from_millis(pause));
        }
        wait_until("everything serves", || self.poll());
        self.pause(STABLE);
        let from = Instant::now();
        self.pause(CALM);
        let calm = (from, Instant::now());
        Played {
            attempts: self.callers.stop(),
            backends: self.backends,
            instances: self.instances,
            calm,
        }
    }
}

/// Spells a configuration that allows long answers and many connections.
fn wide_config(version: u64, rng: &mut StdRng) -> Value {
    let mut config = config(version);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(ROUTE_TIMEOUT_MS);
        route["max_attempts"] = json!(rng.random_range(2..=3));
    }
    config["services"][0]["max_connections"] = json!(400);
    config
}

/// Returns the seeds to play.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FLAXTIDE_STREAM_SEEDS").unwrap_or("1..2".into());
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn what_looks_complete_is_whole_however_processes_end() {
    let failed: Vec<u64> = seeds()
        .filter(|seed| !Soak::start(*seed).play().check(*seed))
        .collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

// It is the process of a server, if the variable tells it to be one.
#[test]
fn serves_as_a_backend_server_if_told_to() {
    if let Ok(settings) = std::env::var(SERVER_SETTINGS) {
        server::run(&settings);
    }
}
