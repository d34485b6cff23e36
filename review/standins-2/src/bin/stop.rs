//! Two of three instances of a zone are stopped as planned, while the third keeps the zone below half of its
//! nodes, so that the platform goes on to use all of them. Judges LOST: what a stopping instance takes
//! later than 3 s after SIGTERM and passes on to a worker must be answered.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::common::server::{SEAL, Seen, Step, always, answer};
use review_standins_2::common::{StandinServer, StandinStore, fresh_ip};
use review_standins_2::{
    Instance, Record, await_ready, exchange, has_trouble, temporary_folder,
};
use serde_json::json;

/// How long a worker takes for a request.
const WORK: Duration = Duration::from_millis(3200);

/// The client's deadline and the route's time-out.
const DEADLINE: Duration = Duration::from_millis(4000);

/// The rule excuses some requests that were sent no later than this after SIGTERM.
const EXCUSED: Duration = Duration::from_secs(3);

/// `grace_s` of the sites.
const GRACE: Duration = Duration::from_secs(8);

/// A request as its caller saw it.
#[derive(Debug, Clone)]
struct Sent {
    attempt: String,
    /// The place of the instance.
    to: usize,
    sent: Instant,
    ended: Instant,
    status: Option<u16>,
    body: Vec<u8>,
}

fn main() -> ExitCode {
    let record_path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::default();
    let folder = temporary_folder("stop");
    let (code, text) = match run(&folder, &record) {
        Ok((taken, lost)) => {
            let text = format!(
                "verdict: of {taken} requests that stopping instances took later than 3 s after SIGTERM \
                 and passed on to a worker, {lost} ended without an answer before their deadline"
            );
            (u8::from(lost > 0), text)
        }
        Err(cause) => (2, format!("the case couldn't run: {cause}")),
    };
    record.write(Path::new(&record_path), &text);
    let _ = std::fs::remove_dir_all(folder);
    ExitCode::from(code)
}

/// Runs the case. Returns how many requests were taken late and passed on, and how many of them were lost.
fn run(folder: &Path, record: &Record) -> Result<(usize, usize), String> {
    let store = StandinStore::start(fresh_ip());
    store.put_config(&json!({
        "version": 7,
        "routes": [{
            "name": "filing", "host": "desk.example", "prefix": "/filing/",
            "kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 4000,
            "priority": 2, "service": "desk", "max_attempts": 1, "anonymous": false,
            "session_affinity": false, "stream_resume": false,
        }],
        "services": [{"name": "desk", "health_path": "/health", "max_connections": 110}],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "harbour", "api_keys": ["key-of-harbour"], "priority": 1}],
    }));
    let workers: Vec<StandinServer> = (0..4)
        .map(|_| {
            let work = |seen: &Seen| {
                vec![Step::Wait(WORK), Step::Write(answer(seen, 200, SEAL, "filed"))]
            };
            StandinServer::start(fresh_ip(), always(work))
        })
        .collect();
    for (place, worker) in workers.iter().enumerate() {
        store.put_server(&format!("i-{place}"), "desk", worker.address, "ready");
    }
    let ips: Vec<_> = (0..3).map(|_| fresh_ip()).collect();
    let instances: Vec<Instance> = ips
        .iter()
        .map(|ip| Instance::start(folder, *ip, "zone-a", store.address, &ips))
        .collect();
    if !await_ready(&instances) {
        return Err("the instances aren't ready".into());
    }
    let addresses: Vec<_> = instances.iter().map(Instance::callers).collect();
    let over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    // All nodes of the zone are used: one of three is in rotation once two are stopped, and before
    // that all are.
    let callers: Vec<_> = (0..18)
        .map(|place| {
            let (over, next, all) = (over.clone(), next.clone(), all.clone());
            let addresses = addresses.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(140 * place as u64));
                call(place, &addresses, &over, &next, &all);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(7));
    let stopped = Instant::now();
    if has_trouble() {
        for instance in &instances[..2] {
            instance.signal("TERM");
            record.add(format!("SIGTERM to {}", instance.ip));
        }
    }
    thread::sleep(GRACE + Duration::from_secs(1));
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let mut run_ids = std::collections::HashMap::new();
    for (place, worker) in workers.iter().enumerate() {
        for seen in worker.seen() {
            let came = seen.came.unwrap_or(record.start);
            record.add_at(came, format!("worker i-{place}: {} begins to run", seen.attempt()));
            if let Some(left) = seen.left {
                record.add_at(left, format!("worker i-{place}: {} loses its caller", seen.attempt()));
            }
            run_ids.insert(seen.attempt().to_owned(), came);
        }
    }
    let (mut taken, mut lost) = (0, 0);
    for sent in all.lock().unwrap().iter() {
        let late = sent.to < 2 && sent.sent > stopped + EXCUSED;
        let was_run = run_ids.contains_key(&sent.attempt);
        let whole = sent.status == Some(200) && sent.body == b"filed";
        let refused = sent.status.is_some_and(|status| status >= 400);
        let in_time = sent.ended.duration_since(sent.sent) < DEADLINE;
        let status = sent.status.map_or("no answer".into(), |status| status.to_string());
        record.add_at(sent.sent, format!("caller: {} sent to {}", sent.attempt, addresses[sent.to]));
        let mut line = format!("caller: {} gets {status}", sent.attempt);
        if late && was_run {
            taken += 1;
            if !whole && !refused && in_time {
                lost += 1;
                let after = sent.sent.duration_since(stopped).as_millis();
                line += &format!(" LOST, sent {after} ms after SIGTERM and run by a worker");
            }
        }
        record.add_at(sent.ended, line);
    }
    Ok((taken, lost))
}

/// Sends requests that may run once, each over a new connection to the next node, until the case is over.
fn call(
    place: usize,
    addresses: &[std::net::SocketAddr],
    over: &AtomicBool,
    next: &AtomicU64,
    all: &Mutex<Vec<Sent>>,
) {
    let mut to = place % addresses.len();
    while !over.load(Ordering::SeqCst) {
        let attempt = format!("a{:06}", next.fetch_add(1, Ordering::SeqCst));
        let body = "{\"file\":1}";
        let request = format!(
            "POST /filing/1 HTTP/1.1\r\nHost: desk.example\r\nFlaxtide-Attempt-Id: {attempt}\r\n\
             Flaxtide-Deadline-Ms: {}\r\nApi-Key: key-of-harbour\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len()
        );
        let sent = Instant::now();
        let got = exchange(addresses[to], request.as_bytes(), DEADLINE);
        let ended = Instant::now();
        let (status, body) = (got.status, got.body);
        all.lock().unwrap().push(Sent { attempt, to, sent, ended, status, body });
        to = (to + 1) % addresses.len();
        thread::sleep(Duration::from_millis(100));
    }
}
