//! All workers of a service leave at the same moment without having said so. Judges DRAIN: no request
//! may reach a worker later than `drain_ms` after the store has acknowledged that it is gone.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::common::server::{SEAL, Seen, Step, always, answer};
use review_standins_2::common::{StandinServer, StandinStore, fresh_ip};
use review_standins_2::{
    Instance, Record, await_ready, exchange, has_trouble, temporary_folder,
};
use serde_json::json;

/// `drain_ms` of the sites.
const DRAIN: Duration = Duration::from_millis(2000);

/// How long a worker goes on after its entry is gone: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3500);

/// How long a worker takes for a request.
const WORK: Duration = Duration::from_millis(60);

fn main() -> ExitCode {
    let record_path = std::env::args().nth(1).expect("the path of the record");
    let record = Arc::new(Record::default());
    let folder = temporary_folder("leave");
    let verdict = run(&folder, &record);
    let (code, text) = match verdict {
        Ok((late, cut, first)) => {
            let text = format!(
                "verdict: {late} requests reached a worker later than 2000 ms after its leaving was \
                 acknowledged (the last {first} ms after it); {cut} runs were cut off by its end"
            );
            (if late > 0 { 1 } else { 0 }, text)
        }
        Err(cause) => (2, format!("the case couldn't run: {cause}")),
    };
    record.write(Path::new(&record_path), &text);
    let _ = std::fs::remove_dir_all(folder);
    ExitCode::from(code)
}

/// Runs the case. Returns how many requests came too late, how many runs were cut off, and how late the
/// last request came.
fn run(folder: &Path, record: &Arc<Record>) -> Result<(usize, usize, u128), String> {
    let store = StandinStore::start(fresh_ip());
    store.put_config(&json!({
        "version": 7,
        "routes": [{
            "name": "filing", "host": "desk.example", "prefix": "/filing/",
            "kind": "non_idempotent", "timeout_ms": 1200, "target_latency_ms": 150,
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
    let workers: Vec<StandinServer> = (0..2)
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
    let zones = ["zone-a", "zone-b", "zone-c"];
    let instances = ips.iter().zip(zones);
    let instances: Vec<Instance> = instances
        .map(|(ip, zone)| Instance::start(folder, *ip, zone, store.address, &ips))
        .collect();
    if !await_ready(&instances) {
        return Err("the instances aren't ready".into());
    }
    let (over, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let callers: Vec<_> = (0..6)
        .map(|place| {
            let address = instances[place % instances.len()].callers();
            let (over, next, record) = (over.clone(), next.clone(), record.clone());
            // Different pauses, so that callers don't move in step.
            let pause = Duration::from_millis(10 + 7 * place as u64);
            thread::spawn(move || call(address, pause, &over, &next, &record))
        })
        .collect();
    // Everything is calm for longer than `stable_ms`.
    thread::sleep(Duration::from_secs(6));
    let mut acknowledged: Vec<Option<Instant>> = vec![None; workers.len()];
    if has_trouble() {
        for (place, at) in acknowledged.iter_mut().enumerate() {
            store.drop_server(&format!("i-{place}"));
            *at = Some(Instant::now());
            record.add(format!("store: the entry of i-{place} is removed, it has left"));
            thread::sleep(Duration::from_millis(200));
        }
    }
    thread::sleep(SERVES_ON);
    if has_trouble() {
        for (place, worker) in workers.iter().enumerate() {
            record.add(format!("worker i-{place}: exits"));
            worker.end();
        }
    }
    thread::sleep(Duration::from_secs(3));
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (mut late, mut cut, mut last) = (0, 0, 0);
    for (place, worker) in workers.iter().enumerate() {
        for seen in worker.seen() {
            let came = seen.came.unwrap_or(record.start);
            let mut line = format!("worker i-{place}: {} begins to run", seen.attempt());
            if let Some(at) = acknowledged[place].filter(|at| came > *at + DRAIN) {
                late += 1;
                let after = came.duration_since(at).as_millis();
                last = last.max(after);
                line += &format!(" LATE, {after} ms after the acknowledgement");
            }
            record.add_at(came, line);
            if let Some(left) = seen.left {
                cut += 1;
                record.add_at(left, format!("worker i-{place}: {} is cut off", seen.attempt()));
            }
        }
    }
    Ok((late, cut, last))
}

/// Sends requests that may run once, one after the other, until the case is over.
fn call(
    address: std::net::SocketAddr,
    pause: Duration,
    over: &AtomicBool,
    next: &AtomicU64,
    record: &Record,
) {
    while !over.load(Ordering::SeqCst) {
        let attempt = format!("a{:06}", next.fetch_add(1, Ordering::SeqCst));
        let body = "{\"file\":1}";
        let request = format!(
            "POST /filing/1 HTTP/1.1\r\nHost: desk.example\r\nFlaxtide-Attempt-Id: {attempt}\r\n\
             Flaxtide-Deadline-Ms: 2500\r\nApi-Key: key-of-harbour\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.add(format!("caller: {attempt} sent to {address}"));
        let got = exchange(address, request.as_bytes(), Duration::from_millis(2500));
        let status = got.status.map_or("no answer".into(), |status| status.to_string());
        record.add(format!("caller: {attempt} gets {status}"));
        thread::sleep(pause);
    }
}
