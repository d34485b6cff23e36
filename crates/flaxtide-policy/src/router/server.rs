//! What the router knows of a backend server.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::{PartKey, PromptShape};
use super::health::ServerHealth;
use super::load::LoadTracker;
use super::prefill_rate::PrefillRate;
use crate::pushback::{DataCentreKey, ServerPushback};

/// The maximum number of prompt parts that are remembered for one server.
const MAX_KNOWN_PARTS: usize = 512;

/// A backend server as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedServer {
    /// The identifier of the server.
    pub server: ServerId,
    /// A hash of the server's name, which is the same on every instance.
    pub name_hash: u64,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The properties of the server's engine, or `None` for a plain service.
    pub engine: Option<EngineShape>,
    /// The data centre of the server.
    pub data_centre: DataCentreKey,
    /// Whether the server is in the same data centre as this instance.
    pub local: bool,
    /// Whether the server is leaving and gets no new requests.
    pub leaving: bool,
    /// Whether the server is missing from the current list without having been reported
    /// as leaving.
    pub lapsed: bool,
}

impl RoutedServer {
    /// Returns whether the server may get new requests.
    #[must_use]
    pub fn in_service(&self) -> bool {
        !self.leaving
    }
}

/// The properties of an inference engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineShape {
    /// The number of prompt and output tokens that fit in the engine's memory.
    pub memory_tokens: u32,
    /// How many cached tokens the engine fetches from another engine per millisecond, or
    /// `None` if it can't fetch any.
    pub fetch_tokens_per_ms: Option<f64>,
}

/// A backend server with everything that this instance has recorded of it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// The server as listed by the platform.
    pub(crate) facts: RoutedServer,
    /// The requests on the server.
    pub(crate) load: LoadTracker,
    /// Its recent responses and faults.
    pub(crate) health: ServerHealth,
    /// The rate limit and the backoff that it has stated.
    pub(crate) pushback: ServerPushback,
    /// How fast it prefills prompts.
    pub(crate) prefill_rate: PrefillRate,
    /// Whether [`RouteCore::health_changes`](super::RouteCore::health_changes) last
    /// reported it as healthy.
    pub(crate) reported_healthy: bool,
    /// The prompt parts that it has prefilled, and when it last did.
    parts: HashMap<PartKey, Duration>,
}

impl ServerState {
    /// Creates the state of a newly listed server. `guess` is its assumed prefill rate in
    /// tokens per millisecond.
    pub(crate) fn new(facts: RoutedServer, guess: f64, now: Duration) -> Self {
        Self {
            facts,
            load: LoadTracker::default(),
            health: ServerHealth::new(now),
            pushback: ServerPushback::default(),
            prefill_rate: PrefillRate::new(guess, now),
            reported_healthy: true,
            parts: HashMap::new(),
        }
    }

    /// Records that the server has prefilled a prompt.
    pub(crate) fn record_prefill(&mut self, prompt: &PromptShape, now: Duration) {
        if self.parts.len() > MAX_KNOWN_PARTS {
            let mut times: Vec<Duration> = self.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.parts.retain(|_, read| *read > middle);
        }
        for part in &prompt.parts {
            self.parts.insert(part.short_key(), now);
        }
    }

    /// Records that the server has prefilled this shared part for a peer.
    pub(crate) fn record_peer_prefill(&mut self, part: PartKey, now: Duration) {
        if self.parts.len() <= MAX_KNOWN_PARTS {
            self.parts.insert(part, now);
        }
    }

    /// Returns how many tokens of a prompt the server has cached, if prefilled tokens
    /// stay cached for `life`. A server that has prefilled a part has also prefilled all
    /// parts before it.
    pub(crate) fn cached_tokens(
        &self,
        prompt: &PromptShape,
        life: Duration,
        now: Duration,
    ) -> u32 {
        let known = prompt.parts.iter().rposition(|part| {
            self.parts
                .get(&part.short_key())
                .is_some_and(|read| now < *read + life)
        });
        let Some(last) = known else { return 0 };
        let cached: u32 = prompt.parts[..=last].iter().map(|part| part.tokens).sum();
        cached.min(prompt.tokens)
    }
}
