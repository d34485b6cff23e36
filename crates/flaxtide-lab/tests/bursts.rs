//! A burst of long prompts before engines with few slots: long answers hold a slot for seconds, so
//! the engines that long prompts are usually kept to are full while the others have room.

use std::time::Duration;

use flaxtide_lab::{BurstPattern, BurstReport, StreamShape, play_burst};
use flaxtide_policy::RouteOptions;

/// The seeds of the pattern.
const SEEDS: [u64; 3] = [11, 22, 33];

/// Drafts with prompts of 12,000 tokens among short answers, and 2.8 times as many for 6 s.
fn drafts_in_a_burst() -> BurstPattern {
    BurstPattern {
        engines: 20,
        slots: 12,
        long: StreamShape {
            rate: 22.0,
            prompt: 12_000,
            answer: 380,
            target: Duration::from_secs(2),
            pause: Duration::from_millis(800),
        },
        short: StreamShape {
            rate: 34.0,
            prompt: 700,
            answer: 290,
            target: Duration::from_millis(250),
            pause: Duration::from_millis(200),
        },
        burst: 2.8,
        burst_span: (Duration::from_secs(4), Duration::from_secs(10)),
        span: Duration::from_secs(16),
    }
}

/// Plays the pattern with each seed. Returns the means.
fn play_all(options: &RouteOptions) -> BurstReport {
    let reports =
        SEEDS.map(|seed| play_burst(&drafts_in_a_burst(), options.clone(), seed));
    let mean = |part: fn(&BurstReport) -> f64| {
        reports.iter().map(part).sum::<f64>() / reports.len() as f64
    };
    BurstReport {
        long_on_time: mean(|report| report.long_on_time),
        short_on_time: mean(|report| report.short_on_time),
    }
}

#[test]
fn long_prompts_get_more_engines_in_a_burst() {
    let usual = play_all(&RouteOptions { long_fill: 0.0, ..RouteOptions::default() });
    let grown = play_all(&RouteOptions::default());
    println!("{usual:?} {grown:?}");
    assert!(grown.long_on_time > usual.long_on_time + 0.1, "{usual:?} {grown:?}");
    assert!(grown.short_on_time > 0.9, "{grown:?}");
}
