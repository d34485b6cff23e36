//! What one instance adds to an answer: delay, memory and processor time.
//!
//! `cargo bench -p flaxtide --bench delay` keeps about 500 streams open at 200 requests a
//! second through one entry process, and meanwhile asks a fast engine both directly and
//! through the instance, in turn. The last line is JSON.

#[path = "../tests/common/mod.rs"]
mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{FleetShape, ORGANISATION_KEYS, StopGuard, TestFleet, wait_for};
use flaxtide_standin::{EngineOptions, EngineStandin};
use serde_json::json;
use std::io::{BufRead, BufReader};

/// Requests a second in the background.
const RATE: u64 = 180;

/// Tokens of an answer in the background: with its step, 2.8 s of stream.
const LENGTH: u32 = 56;

/// The step of the engines in the background.
const STEP: Duration = Duration::from_millis(50);

/// How many pairs of questions are asked.
const PAIRS: usize = 300;

/// The time between two questions.
const PAUSE: Duration = Duration::from_millis(25);

/// The engines in the background.
const ENGINES: usize = 8;

fn main() {
    let fleet = TestFleet::start(&FleetShape {
        instances: 1,
        engines: ENGINES,
        engine: EngineOptions { slots: 128, step: STEP, ..EngineOptions::default() },
        timing: "stop_notice: 200ms\n",
        ..FleetShape::default()
    });
    let fast = EngineOptions {
        slots: 16,
        step: Duration::from_millis(1),
        prefill: Duration::ZERO,
        ..EngineOptions::default()
    };
    let fast = EngineStandin::start("127.0.0.1:0".parse().unwrap(), fast).unwrap();
    add_fast_engine(&fleet, &fast);
    let stop = AtomicBool::new(false);
    let tokens = AtomicU64::new(0);
    let idle = memory(&fleet);
    thread::scope(|scope| {
        let _guard = StopGuard(&stop);
        let (fleet, stop, tokens) = (&fleet, &stop, &tokens);
        scope.spawn(move || keep_busy(fleet, stop, tokens));
        wait_for("about 500 streams are open", || {
            fleet.instances[0]
                .status()
                .is_some_and(|status| status.open_calls > 450)
        });
        let open = fleet.instances[0].status().map_or(0, |status| status.open_calls);
        let stream_kb = (memory(fleet) - idle) / open.max(1) as f64 / 1e3;
        let (before, made) = (fleet.instances[0].usage(), tokens.load(Ordering::Relaxed));
        let start = Instant::now();
        let (mut direct, mut routed) = (vec![], vec![]);
        for pair in 0..PAIRS {
            let prompt = format!("probe {pair}");
            direct.push(ask(&fast.address().to_string(), &prompt));
            thread::sleep(PAUSE);
            routed.push(ask(&fleet.instances[0].addresses.listen.to_string(), &prompt));
            thread::sleep(PAUSE);
        }
        let span = start.elapsed().as_secs_f64();
        let made = (tokens.load(Ordering::Relaxed) - made) as f64;
        let after = fleet.instances[0].usage();
        let cpu = (after.seconds - before.seconds) / span;
        let user = (after.user - before.user) / span;
        let report = json!({
            "open_streams": open,
            "tokens_s": made / span,
            "core_percent": 100.0 * cpu,
            "core_us_per_token": cpu * span / made * 1e6,
            "core_us_per_token_outside_kernel": user * span / made * 1e6,
            "kb_per_stream": stream_kb,
            "first_token_added_ms": {
                "p50": quantile(&routed, 0.5, 0) - quantile(&direct, 0.5, 0),
                "p99": quantile(&routed, 0.99, 0) - quantile(&direct, 0.99, 0),
            },
            "whole_answer_added_ms": {
                "p50": quantile(&routed, 0.5, 1) - quantile(&direct, 0.5, 1),
                "p99": quantile(&routed, 0.99, 1) - quantile(&direct, 0.99, 1),
            },
            "direct_first_token_ms": { "p50": quantile(&direct, 0.5, 0), "p99": quantile(&direct, 0.99, 0) },
            "routed_first_token_ms": { "p50": quantile(&routed, 0.5, 0), "p99": quantile(&routed, 0.99, 0) },
        });
        println!("{report}");
    });
}

/// Adds a model that only the fast engine serves.
fn add_fast_engine(fleet: &TestFleet, fast: &EngineStandin) {
    let engine = json!({ "address": fast.address(), "models": ["fast"], "slots": 16 });
    let edits = json!({ "edits": [
        { "path": "models.fast", "value": {} },
        { "path": "data_centres.dc0.engines.fast", "value": engine },
    ]});
    let (status, answer) = fleet.instances[0].change("/settings/edits", 1, &edits);
    assert_eq!(status, 200, "{answer}");
}

/// Starts background requests at a steady rate until told to stop.
fn keep_busy(fleet: &TestFleet, stop: &AtomicBool, tokens: &AtomicU64) {
    thread::scope(|scope| {
        let start = Instant::now();
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let due = Duration::from_micros(1_000_000 / RATE) * number;
            thread::sleep(due.saturating_sub(start.elapsed()));
            scope.spawn(move || {
                let prompt = format!("background {number}");
                // Only long answers are of use here.
                let prompt =
                    (0..).map(|salt| format!("{prompt} {salt}")).find(|prompt| {
                        flaxtide_standin::answer_length(prompt, LENGTH) == LENGTH
                    });
                let key = ORGANISATION_KEYS[0];
                let prompt = prompt.unwrap_or_default();
                let answer =
                    fleet.instances[0].ask_for(key, "question", &prompt, LENGTH, true);
                if answer.whole() {
                    tokens.fetch_add(u64::from(LENGTH), Ordering::Relaxed);
                }
            });
        }
    });
}

/// Asks the fast engine for a short answer. Returns the milliseconds to the first token and
/// to the end.
fn ask(address: &str, prompt: &str) -> [f64; 2] {
    let body = json!({
        "model": "fast",
        "stream": true,
        "max_tokens": 20,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let start = Instant::now();
    let response = attohttpc::post(format!("http://{address}/v1/chat/completions"))
        .header("Authorization", format!("Bearer {}", ORGANISATION_KEYS[0]))
        .header("X-Request-Class", "clerk")
        .json(&body)
        .unwrap()
        .send()
        .unwrap();
    assert!(response.is_success(), "{}", response.text().unwrap());
    let mut first = None;
    for line in BufReader::new(response).lines().map_while(Result::ok) {
        if line.contains("content") {
            first.get_or_insert_with(|| start.elapsed());
        }
    }
    let millis = |span: Duration| span.as_secs_f64() * 1e3;
    [millis(first.unwrap_or_default()), millis(start.elapsed())]
}

/// Returns a quantile of one of the two times.
fn quantile(times: &[[f64; 2]], quantile: f64, which: usize) -> f64 {
    let mut sorted: Vec<f64> = times.iter().map(|time| time[which]).collect();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * quantile) as usize]
}

/// Returns the instance's resident memory, in bytes.
fn memory(fleet: &TestFleet) -> f64 {
    fleet.instances[0].usage().memory
}
