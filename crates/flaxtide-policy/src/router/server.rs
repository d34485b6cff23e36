//! What the router knows of a backend server.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::{PartKey, PromptShape};
use super::health::ServerHealth;
use super::load::LoadCount;
use super::pace::ReadPace;
use crate::pushback::{DataCentreKey, ServerPushback};

/// How many prompt parts are remembered of one server.
const REMEMBERED_PARTS: usize = 512;

/// A backend server, as the platform tells of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedServer {
    /// The server.
    pub server: ServerId,
    /// A number that is the same on every instance, from its name.
    pub name_hash: u64,
    /// How many requests it works on at once.
    pub slots: u32,
    /// What its engine can do; nothing for a plain service.
    pub engine: Option<EngineShape>,
    /// The data centre in which it stands.
    pub data_centre: DataCentreKey,
    /// Whether it stands in this instance's data centre.
    pub local: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the platform doesn't list it just now, though nobody said that it left.
    pub lapsed: bool,
}

impl RoutedServer {
    /// Tells whether it may get work.
    #[must_use]
    pub fn in_service(&self) -> bool {
        !self.leaving
    }
}

/// What an engine can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineShape {
    /// Tokens of prompts and answers that fit its memory.
    pub memory_tokens: u32,
    /// How many tokens it takes over from another engine's memory in a millisecond; none
    /// if it can't.
    pub fetch_tokens_per_ms: Option<f64>,
}

/// A backend server with what this instance has seen of it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// What the platform tells.
    pub(crate) facts: RoutedServer,
    /// The requests at it.
    pub(crate) load: LoadCount,
    /// How it has answered.
    pub(crate) health: ServerHealth,
    /// What it has said of itself.
    pub(crate) pushback: ServerPushback,
    /// How fast it reads prompts.
    pub(crate) pace: ReadPace,
    /// Whether it was found to answer at the last review.
    pub(crate) believed_well: bool,
    /// The prompt parts that it has read, and when last.
    parts: HashMap<PartKey, Duration>,
}

impl ServerState {
    /// Starts to know a server.
    pub(crate) fn new(facts: RoutedServer, guess: f64, now: Duration) -> Self {
        Self {
            facts,
            load: LoadCount::default(),
            health: ServerHealth::new(now),
            pushback: ServerPushback::default(),
            pace: ReadPace::new(guess, now),
            believed_well: true,
            parts: HashMap::new(),
        }
    }

    /// Records that the server has read a prompt.
    pub(crate) fn remember(&mut self, prompt: &PromptShape, now: Duration) {
        if self.parts.len() > REMEMBERED_PARTS {
            let mut times: Vec<Duration> = self.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.parts.retain(|_, read| *read > middle);
        }
        for part in &prompt.parts {
            self.parts.insert(part.short_key(), now);
        }
    }

    /// Records that a peer saw the server read a prompt with this shared part.
    pub(crate) fn hear_read(&mut self, part: PartKey, now: Duration) {
        if self.parts.len() <= REMEMBERED_PARTS {
            self.parts.insert(part, now);
        }
    }

    /// Returns how many tokens of a prompt the server keeps, if `life` is how long it keeps
    /// what it has read. Whoever read a part has read all before it.
    pub(crate) fn kept_tokens(
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
        let kept: u32 = prompt.parts[..=last].iter().map(|part| part.tokens).sum();
        kept.min(prompt.tokens)
    }
}
