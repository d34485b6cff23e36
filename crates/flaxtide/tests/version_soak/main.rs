//! Streams of several versions, with and without a length, while servers are released, crash and
//! break off, releases go back and follow each other, instances are killed (also all at once, and
//! again while they start), stopped, suspended and started again, and the store is away, at random
//! and over each other: no broken stream looks complete, none is joined from two versions, and
//! callers' later attempts go on. `FLAXTIDE_VERSION_SEEDS=FROM..TO` plays more.

mod callers;
#[path = "../../../../platform/tests/common/mod.rs"]
mod common;
mod process;
mod servers;
mod verdict;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::store::StoreFault;
use common::{StandinStore, config, fresh_ip};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::callers::Callers;
use self::process::EntryProcess;
use self::servers::VersionedServers;
use self::verdict::{CALM, MassKill, Played};

/// After which time no further round begins.
const SPAN: Duration = Duration::from_secs(14);

/// How often it is looked whether something is due.
const STEP: Duration = Duration::from_millis(10);

/// The longest time for which the store is away.
const LONGEST_AWAY: Duration = Duration::from_millis(2500);

/// Each of this many seeds is played with many instances.
const LARGE_EVERY: u64 = 8;

/// The place among these of the seed that is played with many streams at once.
const CROWDED: u64 = 3;

/// A fleet that is played.
struct Soak {
    rng: StdRng,
    store: StandinStore,
    servers: VersionedServers,
    instances: Vec<EntryProcess>,
    callers: Arc<Callers>,
    config_version: u64,
    /// Since when the store misbehaves, and until when.
    fault: Option<(Instant, Instant)>,
    /// From when until when it misbehaved.
    faults: Vec<(Instant, Instant)>,
    kills: Vec<MassKill>,
}

impl Soak {
    /// Starts a fleet.
    fn start(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (instances, servers, callers) = match seed % LARGE_EVERY {
            place if place == LARGE_EVERY - 1 => (20, 30, 3),
            CROWDED => (5, 8, 40),
            _ => (5, 8, 6),
        };
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
        let callers = Callers::start(&instances, callers, rng.random());
        Self {
            rng,
            store,
            servers,
            instances,
            callers,
            config_version: 1,
            fault: None,
            faults: vec![],
            kills: vec![],
        }
    }

    /// Releases, and later kills most instances, or lets anything happen for a while.
    fn play_round(&mut self) {
        self.release();
        let longest = if self.rng.random_bool(0.6) { 600 } else { 4000 };
        let pause = self.draw_pause(longest);
        self.pause(pause);
        if self.rng.random_bool(0.8) {
            return self.kill_most();
        }
        for _ in 0..self.rng.random_range(3..7) {
            let pause = self.draw_pause(800);
            self.pause(pause);
            self.change();
        }
    }

    /// Has all or half of the servers replaced, in one or two releases, also back to a version that
    /// there has been.
    fn release(&mut self) {
        for _ in 0..self.rng.random_range(0..3) {
            if self.rng.random_bool(0.3) {
                self.servers.begin_rollback();
            } else {
                self.servers.begin_release();
            }
            self.servers.replace_many(&self.store);
            let pause = self.draw_pause(800);
            self.pause(pause);
        }
    }

    /// Lets something happen, sometimes several things at once.
    fn change(&mut self) {
        for _ in 0..self.rng.random_range(1..=3) {
            let place = self.rng.random_range(0..self.instances.len());
            let pause = self.draw_pause(700);
            let instance = &mut self.instances[place];
            match self.rng.random_range(0..14) {
                0..=1 => instance.kill_until(Instant::now() + pause),
                2..=3 => instance.stop(),
                4 => instance.suspend(pause),
                5 => instance.reload(),
                6..=8 => self.servers.replace(&self.store),
                9 => self.servers.crash(&self.store),
                10 => self.servers.begin_release(),
                11 => self.servers.begin_rollback(),
                12 => {
                    self.config_version += 1;
                    self.store.put_config(&config(self.config_version));
                }
                _ => self.spoil_store(),
            }
        }
    }

    /// Draws a span of up to so many milliseconds.
    fn draw_pause(&mut self, longest: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=longest))
    }

    /// Has the store misbehave for a time.
    fn spoil_store(&mut self) {
        let fault = match self.rng.random_range(0..7) {
            0 => StoreFault::Status(503),
            1 => StoreFault::Status(429),
            2 => StoreFault::Lost,
            3 => StoreFault::AnswersLost,
            4 => StoreFault::WritesLate(self.rng.random_range(500..2500)),
            5 => StoreFault::None,
            _ => StoreFault::Silent,
        };
        let span = LONGEST_AWAY.mul_f64(self.rng.random_range(0.1..1.0));
        let now = Instant::now();
        let from = self.fault.map_or(now, |(from, _)| from);
        match fault {
            StoreFault::None => {
                self.store
                    .delay(Duration::from_millis(self.rng.random_range(50..600)));
            }
            fault if self.rng.random_bool(0.3) => self.store.misbehave_own(fault),
            fault => self.store.misbehave(fault),
        }
        self.fault = Some((from, now + span));
    }

    /// Kills all instances at once, or nine of ten; perhaps again while they start, with the store
    /// away before, meanwhile or when they return. Sometimes nothing else happens afterwards.
    fn kill_most(&mut self) {
        let count = self.instances.len();
        let is_all = self.rng.random_bool(0.7);
        let killed = if is_all { count } else { (count * 9).div_ceil(10).min(count - 1) };
        let first = self.rng.random_range(0..count);
        let fault_at = self.rng.random_range(0..15);
        if fault_at == 0 {
            self.spoil_store();
            let pause = self.draw_pause(300);
            self.pause(pause);
        }
        self.kills.push(MassKill::new());
        for round in 0..self.rng.random_range(1..=3) {
            let down = self.draw_pause(if round == 0 { 1200 } else { 300 });
            self.kills.last_mut().unwrap().last = Instant::now();
            for place in (first..first + killed).map(|place| place % count) {
                self.instances[place].kill_until(Instant::now() + down);
            }
            if fault_at == 1 {
                self.spoil_store();
            }
            // The next round comes while they start.
            let pause = self.draw_pause(400);
            self.pause(down + pause);
        }
        if fault_at == 2 {
            self.spoil_store();
        }
        if self.rng.random_bool(0.6) {
            self.stay_calm();
        }
    }

    /// Lets nothing happen for a time after all instances are ready.
    fn stay_calm(&mut self) {
        let start = Instant::now();
        while !self.poll() {
            assert!(
                start.elapsed() < common::PATIENCE,
                "never ready after a kill of all"
            );
            thread::sleep(STEP);
        }
        let ready = Instant::now();
        self.pause(CALM);
        self.kills.last_mut().unwrap().calm = Some((ready, Instant::now()));
    }

    /// Waits, and does what is due meanwhile.
    fn pause(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.poll();
            thread::sleep(STEP);
        }
    }

    /// Does what is due. Returns whether all instances are ready.
    fn poll(&mut self) -> bool {
        self.servers.drop_lapsed(&self.store);
        if let Some((from, until)) = self.fault.take_if(|(_, at)| Instant::now() >= *at) {
            self.store.misbehave(StoreFault::None);
            self.store.misbehave_own(StoreFault::None);
            self.store.delay(Duration::ZERO);
            self.faults.push((from, until.max(Instant::now())));
        }
        let waiting = self
            .instances
            .iter_mut()
            .filter_map(|one| (!one.poll()).then_some(()));
        waiting.count() == 0
    }

    /// Plays, until all instances are ready again.
    fn play(mut self) -> Played {
        let end = Instant::now() + SPAN;
        while Instant::now() < end {
            self.play_round();
        }
        let start = Instant::now();
        while !self.poll() || self.fault.is_some() {
            assert!(start.elapsed() < common::PATIENCE, "never ready at the end");
            thread::sleep(STEP);
        }
        Played {
            streams: self.callers.stop(),
            servers: self.servers,
            instances: self.instances,
            faults: self.faults,
            kills: self.kills,
        }
    }
}

/// Returns the seeds to play.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FLAXTIDE_VERSION_SEEDS").unwrap_or("1..2".into());
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn streams_stay_whole_and_at_their_versions_whatever_happens() {
    let failed: Vec<u64> = seeds()
        .filter(|seed| !Soak::start(*seed).play().check(*seed))
        .collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
