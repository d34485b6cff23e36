//! The plan of a load: who sends what, how often.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// A load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadPlan {
    /// The seed of arrivals and prompts.
    pub(crate) seed: u64,
    /// How long requests are sent, in milliseconds.
    pub(crate) millis: u64,
    /// The streams of requests.
    pub(crate) streams: Vec<LoadStream>,
}

/// A stream of requests of one class from one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadStream {
    /// The class.
    pub(crate) class: String,
    /// The organisation's API key.
    pub(crate) key: String,
    /// How many requests a second, on average.
    pub(crate) rate: f64,
    /// What is asked.
    pub(crate) target: StreamTarget,
    /// When there are more.
    #[serde(default)]
    pub(crate) burst: Option<LoadBurst>,
    /// The first-token target, in milliseconds, by which attainment is counted.
    pub(crate) first_token_ms: u64,
    /// The between-tokens target, in milliseconds.
    #[serde(default = "between_tokens")]
    pub(crate) between_tokens_ms: u64,
    /// How long the prompts are, in bytes.
    #[serde(default = "prompt_bytes")]
    pub(crate) prompt_bytes: usize,
}

/// What a stream asks.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StreamTarget {
    /// A language model.
    Model(String),
    /// A plain service, by calls that may not be repeated.
    Service(String),
}

/// A time in which a stream has more requests.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadBurst {
    /// When it begins, in milliseconds.
    pub(crate) at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub(crate) for_ms: u64,
    /// How many times as many requests come.
    pub(crate) factor: f64,
}

/// A request that is to be sent.
#[derive(Debug, Clone)]
pub(crate) struct PlannedCall {
    /// When.
    pub(crate) at: Duration,
    /// Its stream's index.
    pub(crate) stream: usize,
    /// Its number.
    pub(crate) number: usize,
}

impl LoadPlan {
    /// Draws all arrivals, in order: in each stream a Poisson process.
    pub(crate) fn arrivals(&self) -> Vec<PlannedCall> {
        let mut calls = vec![];
        for (index, stream) in self.streams.iter().enumerate() {
            let seed = self.seed.wrapping_mul(1009).wrapping_add(index as u64);
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let mut at_ms = 0.0;
            loop {
                // The exponential distribution by inversion.
                let draw: f64 = 1.0 - random.random::<f64>();
                at_ms += -draw.ln() * 1000.0 / stream.rate_at(at_ms);
                if at_ms >= self.millis as f64 {
                    break;
                }
                let at = Duration::from_secs_f64(at_ms / 1000.0);
                calls.push(PlannedCall { at, stream: index, number: 0 });
            }
        }
        calls.sort_by_key(|call| call.at);
        for (number, call) in calls.iter_mut().enumerate() {
            call.number = number;
        }
        calls
    }
}

impl LoadStream {
    /// Returns the rate at a time, in requests a second.
    fn rate_at(&self, at_ms: f64) -> f64 {
        let inside = |burst: &LoadBurst| {
            let end = burst.at_ms + burst.for_ms;
            (burst.at_ms as f64..end as f64).contains(&at_ms)
        };
        self.rate * self.burst.filter(inside).map_or(1.0, |burst| burst.factor)
    }
}

/// The default of `between_tokens_ms`.
fn between_tokens() -> u64 {
    67
}

/// The default of `prompt_bytes`.
fn prompt_bytes() -> usize {
    200
}
