//! A soak of planned stops: instances as processes get SIGTERM and SIGHUP in series and overlapping,
//! while the rules change and callers keep their connections until the process is gone. What has
//! reached a server is answered, and what is refused hasn't.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
#[path = "version_soak/process.rs"]
mod process;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::callers::{KeptCallers, NextRequest, Sent, seeds_of};
use common::server::{SEAL, Seen, Step, always, answer};
use common::{StandinServer, StandinStore, config, fresh_ip};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use self::process::EntryProcess;

/// The instances, the servers, and the callers of each instance.
const INSTANCES: usize = 3;
const SERVERS: usize = 16;
const CALLERS: usize = 12;

/// How long instances are disturbed.
const LENGTH: Duration = Duration::from_secs(24);

/// The time allowed for a stop, as the instance file says.
const STOP_WITHIN: Duration = Duration::from_secs(8);

/// How long after the signal callers are still sent to an instance. What was sent by then may be cut
/// off if its server is still at work in the last sixth of a stop.
const NOTICE: Duration = Duration::from_secs(3);

/// The longest work of a server, in milliseconds.
const MAX_WORK_MS: u64 = 3300;

/// The signals of an instance, and how long its stops took.
#[derive(Default)]
struct StopLog {
    signals: Vec<Instant>,
    spent: Vec<Duration>,
    is_stopping: bool,
}

/// Returns a server that works for as many milliseconds as the last part of the path says.
fn works_as_told() -> common::Script {
    always(|seen: &Seen| {
        let work = Duration::from_millis(work_ms(path_of(seen)));
        vec![Step::Wait(work), Step::Write(answer(seen, 200, SEAL, "right"))]
    })
}

/// Returns the path of a request.
fn path_of(seen: &Seen) -> &str {
    seen.line.split(' ').nth(1).unwrap_or_default()
}

/// Returns the milliseconds that a path asks for.
fn work_ms(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a time")
}

/// Returns the requests of callers: most are short, and some take nearly their whole time-out.
fn requests(seed: u64) -> NextRequest {
    let next = AtomicU64::new(0);
    Arc::new(move || {
        let number = next.fetch_add(1, Ordering::SeqCst);
        let mut rng = SmallRng::seed_from_u64(seed << 32 | number);
        let route = ["book", "look"][rng.random_range(0..2)];
        let work = match rng.random_range(0..4) {
            0 => rng.random_range(0..MAX_WORK_MS),
            _ => rng.random_range(0..60),
        };
        (format!("/{route}/{number}/{work}"), format!("a{number}"))
    })
}

/// Disturbs instances until the time is over, and lets stops come to their end.
fn disturb(
    rng: &mut SmallRng,
    store: &StandinStore,
    processes: &mut [EntryProcess],
) -> Vec<StopLog> {
    let mut logs: Vec<StopLog> = processes.iter().map(|_| StopLog::default()).collect();
    let (start, mut version) = (Instant::now(), 1);
    let mut strike_at = start;
    while start.elapsed() < LENGTH || logs.iter().any(|log| log.is_stopping) {
        for (process, log) in processes.iter_mut().zip(&mut logs) {
            process.poll();
            if !log.is_stopping || !process.is_up() {
                continue;
            }
            log.is_stopping = false;
            log.spent.push(log.signals.last().unwrap().elapsed());
        }
        if Instant::now() >= strike_at && start.elapsed() < LENGTH {
            let place = rng.random_range(0..processes.len());
            let (process, log) = (&mut processes[place], &mut logs[place]);
            match rng.random_range(0..6) {
                0..3 if process.is_up() => {
                    log.is_stopping = true;
                    log.signals.push(Instant::now());
                    process.stop();
                }
                // A second signal to an instance that is stopping.
                0..3 => process.signal("TERM"),
                3 | 4 => process.signal("HUP"),
                _ => {
                    version += 1;
                    let mut changed = config(version);
                    let timeout = rng.random_range(4000..7000);
                    changed["routes"][0]["timeout_ms"] = json!(timeout);
                    store.put_config(&changed);
                }
            }
            strike_at =
                Instant::now() + Duration::from_millis(rng.random_range(200..2500));
        }
        thread::sleep(Duration::from_millis(20));
    }
    logs
}

/// The time within which callers are answered, as they say, less what the way and a busy machine take.
const DEADLINE: Duration = Duration::from_millis(3900);

/// Returns whether a request that has reached a server ended without the server's answer before its
/// caller's deadline.
fn is_cut(sent: &Sent) -> bool {
    let is_early = sent.ended < sent.at + DEADLINE;
    !sent.answer.whole || (sent.answer.status == 504 && is_early)
}

/// Returns whether a request may be cut off by a stop that began at `signal`.
fn is_excused(sent: &Sent, signal: Instant, arrived: Instant) -> bool {
    let work_ends = arrived + Duration::from_millis(work_ms(&sent.path));
    sent.at <= signal + NOTICE && work_ends >= signal + STOP_WITHIN * 5 / 6
}

/// Plays a seed. Returns what it found.
fn play(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let store = StandinStore::start(fresh_ip());
    store.put_config(&config(1));
    let servers: Vec<StandinServer> = (0..SERVERS)
        .map(|_| StandinServer::start(fresh_ip(), works_as_told()))
        .collect();
    for (place, server) in servers.iter().enumerate() {
        store.put_server(&format!("i-{place}"), "pool", server.address, "ready");
    }
    let ips: Vec<_> = (0..INSTANCES).map(|_| fresh_ip()).collect();
    let start = |ip: &_| EntryProcess::start(*ip, store.address, &ips);
    let mut processes: Vec<EntryProcess> = ips.iter().map(start).collect();
    processes.iter().for_each(EntryProcess::wait_ready);
    let next = requests(seed);
    let pause = Duration::from_millis(40);
    let callers = processes
        .iter()
        .map(|process| KeptCallers::start(CALLERS, process.callers(), pause, &next));
    let callers: Vec<KeptCallers> = callers.collect();
    let logs = disturb(&mut rng, &store, &mut processes);
    let sent: Vec<Vec<Sent>> = callers.into_iter().map(KeptCallers::end).collect();
    let seen = servers.iter().flat_map(StandinServer::seen);
    let arrived: HashMap<String, Instant> = seen
        .filter_map(|seen| Some((path_of(&seen).to_owned(), seen.came?)))
        .collect();
    let mut found = vec![];
    for (process, (sent, log)) in processes.iter().zip(sent.iter().zip(&logs)) {
        found.extend((process.own_ends > 0).then(|| format!("{}: ended", process.ip)));
        for spent in log.spent.iter().filter(|spent| **spent > STOP_WITHIN) {
            found.push(format!("{}: stopped in {spent:?}", process.ip));
        }
        for request in sent {
            let answer = &request.answer;
            let Some(came) = arrived.get(&request.path) else { continue };
            let may_be_cut = |signal: &&Instant| is_excused(request, **signal, *came);
            if answer.status == 503 {
                found.push(format!("{}: refused, and it has run", request.path));
            } else if is_cut(request) && !log.signals.iter().any(|at| may_be_cut(&at)) {
                let signal = log.signals.iter().rfind(|at| **at <= request.ended);
                let after = signal.map(|at| request.at.saturating_duration_since(*at));
                found.push(format!("{}: cut off, sent {after:?} after", request.path));
            }
        }
    }
    let total: usize = sent.iter().map(Vec::len).sum();
    let stops: usize = logs.iter().map(|log| log.spent.len()).sum();
    println!(
        "seed {seed}: {total} requests, {} at servers, {stops} stops",
        arrived.len()
    );
    assert!(stops > 0 && arrived.len() > 1000, "seed {seed}: too little happened");
    found
}

/// Guards against requests that planned stops cut off, and refusals of requests that have run.
/// `FLAXTIDE_STOP_SEEDS=FROM..TO` names the seeds.
#[test]
fn planned_stops_cut_no_request() {
    for seed in seeds_of("FLAXTIDE_STOP_SEEDS", 1..2) {
        let found = play(seed);
        assert!(found.is_empty(), "seed {seed}: {found:#?}");
    }
}
