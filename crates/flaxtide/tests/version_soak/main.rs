//! Streams of several versions, with and without a length, while servers are released, crash and
//! break off, and instances are killed, stopped, suspended and started again, at random and over
//! each other: no broken stream looks complete, none is joined from two versions, and callers'
//! later attempts go on. `FLAXTIDE_VERSION_SEEDS=FROM..TO` plays more.

mod callers;
#[path = "../../../../platform/tests/common/mod.rs"]
mod common;
mod process;
mod servers;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{StandinStore, config, fresh_ip};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::callers::{Attempt, Callers, StreamRecord};
use self::process::EntryProcess;
use self::servers::VersionedServers;

/// How long is played.
const SPAN: Duration = Duration::from_secs(12);

/// How often something happens, on average.
const CHANGE_EVERY: Duration = Duration::from_millis(600);

/// An instance that has run undisturbed for this long is in touch with its peers and the store.
const STABLE: Duration = Duration::from_secs(3);

/// From so many resumed streams on, their share that goes on is judged.
const JUDGED: usize = 12;

/// Each of this many seeds is played with many instances.
const LARGE_EVERY: u64 = 8;

/// A fleet that is played.
struct Soak {
    rng: StdRng,
    store: StandinStore,
    servers: VersionedServers,
    instances: Vec<EntryProcess>,
    callers: Arc<Callers>,
    config_version: u64,
}

impl Soak {
    /// Starts a fleet.
    fn start(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let is_large = seed % LARGE_EVERY == LARGE_EVERY - 1;
        let (instances, servers) = if is_large { (20, 30) } else { (5, 8) };
        let store = StandinStore::start(fresh_ip());
        store.put_config(&config(1));
        let servers = VersionedServers::start(&store, servers, rng.random());
        let ips: Vec<Ipv4Addr> = (0..instances).map(|_| fresh_ip()).collect();
        let seeds = &ips[..3];
        let instances: Vec<EntryProcess> = ips
            .iter()
            .map(|ip| EntryProcess::start(*ip, store.address, seeds))
            .collect();
        instances.iter().for_each(EntryProcess::wait_ready);
        let callers = Callers::start(&instances, rng.random());
        Self {
            rng,
            store,
            servers,
            instances,
            callers,
            config_version: 1,
        }
    }

    /// Lets something happen, sometimes several things at once.
    fn change(&mut self) {
        for _ in 0..self.rng.random_range(1..=3) {
            let instance = self.rng.random_range(0..self.instances.len());
            match self.rng.random_range(0..12) {
                0..=1 => self.instances[instance].kill_and_start(),
                2 => self.instances[instance].stop_and_start(),
                3 => self.instances[instance].suspend(Duration::from_millis(700)),
                4..=6 => self.servers.replace(&self.store),
                7 => self.servers.crash(&self.store),
                8 => self.servers.begin_release(),
                9 => {
                    self.config_version += 1;
                    self.store.put_config(&config(self.config_version));
                }
                10 => {
                    let (first, second) = self.two_instances();
                    self.instances[first].kill_and_start();
                    self.instances[second].kill_and_start();
                }
                _ => self.instances[instance].signal("HUP"),
            }
        }
    }

    /// Draws two instances.
    fn two_instances(&mut self) -> (usize, usize) {
        let count = self.instances.len();
        let first = self.rng.random_range(0..count);
        (first, (first + self.rng.random_range(1..count)) % count)
    }

    /// Plays, and returns the streams.
    fn play(mut self) -> (Vec<StreamRecord>, VersionedServers, Vec<EntryProcess>) {
        let end = Instant::now() + SPAN;
        while Instant::now() < end {
            let pause = self.rng.random_range(0.2..1.8);
            thread::sleep(CHANGE_EVERY.mul_f64(pause));
            self.servers.drop_lapsed(&self.store);
            self.change();
        }
        (self.callers.stop(), self.servers, self.instances)
    }
}

/// Checks what has become of streams.
fn check(
    seed: u64,
    streams: &[StreamRecord],
    servers: &VersionedServers,
    instances: &[EntryProcess],
) {
    let mut faults = vec![];
    for stream in streams {
        if stream.versions().len() > 1 {
            faults.push(format!("joined: {stream:#?}"));
        }
        if !stream.is_in_order() {
            faults.push(format!("out of order: {stream:#?}"));
        }
        if stream.attempts.iter().any(Attempt::is_falsely_whole) {
            faults.push(format!("broken, and looks complete: {stream:#?}"));
        }
    }
    let is_judged = |attempt: &&Attempt| {
        let instance = instances.iter().find(|one| one.ip == attempt.ip);
        instance.is_some_and(|one| one.was_stable(attempt.at, STABLE))
    };
    let begun: Vec<&Attempt> = streams
        .iter()
        .filter_map(|stream| stream.attempts.first())
        .filter(is_judged)
        .collect();
    let resumed: Vec<&Attempt> = streams
        .iter()
        .flat_map(|stream| stream.resumed_at_known_versions(servers, STABLE))
        .filter(is_judged)
        .collect();
    let share = |attempts: &[&Attempt]| {
        let gone_on = attempts.iter().filter(|attempt| attempt.has_events()).count();
        gone_on as f64 / attempts.len().max(1) as f64
    };
    let shares = (share(&begun), share(&resumed));
    if resumed.len() >= JUDGED && shares.1 < shares.0 / 2.0 {
        faults.push(format!("refused: {shares:?} of begun and of resumed streams"));
    }
    println!(
        "seed {seed}: {} streams, {} resumed, {} of these judged, shares {shares:.2?}, {} faults",
        streams.len(),
        streams.iter().filter(|stream| stream.attempts.len() > 1).count(),
        resumed.len(),
        faults.len()
    );
    assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
}

/// Returns the seeds to play.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FLAXTIDE_VERSION_SEEDS").unwrap_or("1..2".into());
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn streams_stay_whole_and_at_their_versions_whatever_happens() {
    for seed in seeds() {
        let (streams, servers, instances) = Soak::start(seed).play();
        check(seed, &streams, &servers, &instances);
    }
}
