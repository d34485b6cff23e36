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

/// How many settings changes are made meanwhile: about as often as the 3,900 a day.
const CHANGES: u64 = 1;

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
    let before: Vec<[f64; 4]> = fleet.instances.iter().map(usage).collect();
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
    let mut sum = [0.0; 4];
    let mut worst: f64 = 0.0;
    for (instance, before) in fleet.instances.iter().zip(before) {
        let after = usage(instance);
        worst = worst.max(after[0] - before[0]);
        for field in [0, 2, 3] {
            sum[field] += after[field] - before[field];
        }
        sum[1] += after[1];
    }
    let count = size as f64;
    let core = 100.0 * sum[0] / count / seconds;
    let memory = sum[1] / count / 1e6;
    let (received, sent) =
        (sum[2] / count / seconds / 1e3, sum[3] / count / seconds / 1e3);
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

/// What an instance has used so far: seconds, bytes of memory, bytes received and sent.
fn usage(instance: &TestInstance) -> [f64; 4] {
    let used = instance.usage();
    let bytes = |direction: &str| {
        metric(instance, &format!("flaxtide_link_bytes{{direction=\"{direction}\"}}"))
    };
    [used.seconds, used.memory, bytes("received"), bytes("sent")]
}

/// Reads a metric of an instance.
fn metric(instance: &TestInstance, name: &str) -> f64 {
    let url = format!("http://{}/metrics", instance.addresses.admin);
    let text = attohttpc::get(url).send().and_then(attohttpc::Response::text);
    let text = text.unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
}
