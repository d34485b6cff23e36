//! What control costs an instance: processor time, memory and bytes, with real processes.
//!
//! `cargo bench -p flaxtide --bench control -- 2 8 24 58` starts fleets of these sizes, each
//! with nine engines to an instance and 1,300 limited organisations, lets them rest, changes
//! the settings now and then, and prints a row for each size. The last line is JSON.

#[path = "../tests/common/mod.rs"]
mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{FleetShape, TestFleet, TestInstance, wait_for};
use flaxtide_standin::EngineOptions;
use serde_json::{Value, json};

/// Engines for each instance, as in a data centre of 58 instances and 520 workers.
const ENGINES_PER_INSTANCE: usize = 9;

/// Organisations.
const ORGANISATIONS: usize = 1300;

/// How long a fleet is measured.
const SPAN: Duration = Duration::from_secs(20);

/// How many settings changes are made meanwhile.
const CHANGES: u64 = 4;

/// Ticks of the process clock in a second, on Linux.
const TICKS: f64 = 100.0;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// Seconds of processor time.
    seconds: f64,
    /// Resident memory, in bytes.
    memory: f64,
    /// Bytes received from peers.
    received: f64,
    /// Bytes sent to peers.
    sent: f64,
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    println!(
        "| instances | % of a core | MB | in KB/s | out KB/s | table reads/s | change in force, s |"
    );
    println!("|---|---|---|---|---|---|---|");
    let rows: Vec<Value> = sizes.iter().map(|size| measure(*size)).collect();
    println!("{}", json!(rows));
}

/// Measures a fleet of one size.
fn measure(size: usize) -> Value {
    let fleet = TestFleet::start(&FleetShape {
        instances: size,
        engines: size * ENGINES_PER_INSTANCE,
        engine: EngineOptions {
            step: Duration::from_millis(200),
            ..EngineOptions::default()
        },
        organisations: ORGANISATIONS,
        timing: "stop_notice: 200ms\n",
        ..FleetShape::default()
    });
    // What the start has set off dies down first.
    thread::sleep(Duration::from_secs(5));
    let before: Vec<Usage> = fleet.instances.iter().map(usage).collect();
    let reads = fleet.platform.counts().reads;
    let start = Instant::now();
    let mut slowest = Duration::ZERO;
    for change in 0..CHANGES {
        slowest = slowest.max(change_settings(&fleet, change + 1));
        let next = SPAN / CHANGES as u32 * (change as u32 + 1);
        thread::sleep(next.saturating_sub(start.elapsed()));
    }
    let seconds = start.elapsed().as_secs_f64();
    let reads = (fleet.platform.counts().reads - reads) as f64 / seconds;
    let mut sum = Usage::default();
    let mut worst: f64 = 0.0;
    for (instance, before) in fleet.instances.iter().zip(before) {
        let after = usage(instance);
        sum.seconds += after.seconds - before.seconds;
        worst = worst.max(after.seconds - before.seconds);
        sum.memory += after.memory;
        sum.received += after.received - before.received;
        sum.sent += after.sent - before.sent;
    }
    let count = size as f64;
    let core = 100.0 * sum.seconds / count / seconds;
    let memory = sum.memory / count / 1e6;
    let (received, sent) =
        (sum.received / count / seconds / 1e3, sum.sent / count / seconds / 1e3);
    let slowest = slowest.as_secs_f64();
    println!(
        "| {size} | {core:.2} | {memory:.1} | {received:.2} | {sent:.2} | {reads:.1} | {slowest:.2} |"
    );
    json!({
        "instances": size,
        "core_percent": core,
        "worst_core_percent": 100.0 * worst / seconds,
        "memory_mb": memory,
        "received_kb_s": received,
        "sent_kb_s": sent,
        "table_reads_s": reads,
        "change_s": slowest,
    })
}

/// Changes the settings and returns how long that took to be in force everywhere.
fn change_settings(fleet: &TestFleet, base: u64) -> Duration {
    let (status, answer) = fleet.instances[0].set(base, "models.m.max_tokens", base);
    assert_eq!(status, 200, "{answer}");
    let start = Instant::now();
    wait_for("the change is in force everywhere", || {
        fleet
            .instances
            .iter()
            .all(|instance| metric(instance, "flaxtide_settings_version") > base as f64)
    });
    start.elapsed()
}

/// Returns what an instance's process has used so far.
fn usage(instance: &TestInstance) -> Usage {
    let process = format!("/proc/{}", instance.pid());
    let stat = std::fs::read_to_string(format!("{process}/stat")).unwrap_or_default();
    // Fields 14 and 15, counted after the name, which may hold spaces (proc(5)).
    let fields: Vec<f64> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    let status = std::fs::read_to_string(format!("{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next());
    let kilobytes: f64 = resident.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    Usage {
        seconds: ticks / TICKS,
        memory: kilobytes * 1024.0,
        received: metric(instance, "flaxtide_link_bytes{direction=\"received\"}"),
        sent: metric(instance, "flaxtide_link_bytes{direction=\"sent\"}"),
    }
}

/// Reads a metric of an instance.
fn metric(instance: &TestInstance, name: &str) -> f64 {
    let url = format!("http://{}/metrics", instance.addresses.admin);
    let text = attohttpc::get(url).send().and_then(attohttpc::Response::text);
    let text = text.unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
}
