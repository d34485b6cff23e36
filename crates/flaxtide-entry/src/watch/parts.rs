//! The prompt parts that a watcher has reported as cached on an engine.

use std::collections::HashSet;

use flaxtide_core::ServerId;
use flaxtide_policy::{PartChange, PartKey, PromptPart};

use crate::contract::{CacheBatch, CacheChange, CachePosition};

/// The minimum number of cached tokens of a part that is reported. Prefilling a shorter one
/// takes an engine less time than choosing another engine would save.
const MIN_REPORTED_TOKENS: u32 = 500;

/// The maximum number of parts reported as cached on one engine: more than fit into its
/// memory.
const MAX_REPORTED_PARTS: usize = 4096;

/// The prompt parts that a watcher has reported as cached on an engine, and how far it has
/// read the engine's log of cache changes.
#[derive(Debug)]
pub struct ReportedParts {
    /// The engine.
    server: ServerId,
    /// The position up to which changes are known; `None` before the first.
    position: Option<CachePosition>,
    /// The parts reported as cached.
    parts: HashSet<PartKey>,
}

impl ReportedParts {
    /// Creates the parts of an engine of which no changes have been read.
    #[must_use]
    pub fn new(server: ServerId) -> Self {
        Self { server, position: None, parts: HashSet::new() }
    }

    /// Returns the position after which changes are wanted; `None` to read all that the
    /// engine still has.
    #[must_use]
    pub fn position(&self) -> Option<CachePosition> {
        self.position
    }

    /// Applies changes that the engine has reported. Returns those to pass on.
    /// `is_known_cached` returns whether the router takes a part to be cached there. After a
    /// gap or a restart of the engine, everything reported before may be wrong.
    pub fn apply(
        &mut self,
        batch: &CacheBatch,
        is_known_cached: impl Fn(PartKey) -> bool,
    ) -> Vec<PartChange> {
        let restarted = self
            .position
            .is_some_and(|position| position.epoch != batch.position.epoch);
        if restarted {
            // The numbers of changes count anew, so these may not be the first ones.
            self.position = None;
            return self.evict_all();
        }
        let mut reported = if batch.has_gap { self.evict_all() } else { vec![] };
        self.position = Some(batch.position);
        let changes = batch
            .changes
            .iter()
            .filter_map(|change| self.apply_change(change, &is_known_cached));
        reported.extend(changes);
        reported
    }

    /// Applies one change. Returns it in the form for others, if they are to be told.
    fn apply_change(
        &mut self,
        change: &CacheChange,
        is_known_cached: impl Fn(PartKey) -> bool,
    ) -> Option<PartChange> {
        let part = PromptPart { key: change.part, tokens: change.tokens }.short_key();
        let is_news = if change.added {
            let has_room = self.parts.len() < MAX_REPORTED_PARTS;
            change.tokens >= MIN_REPORTED_TOKENS && has_room && self.parts.insert(part)
        } else {
            self.parts.remove(&part) || is_known_cached(part)
        };
        is_news.then_some(PartChange { server: self.server, part, cached: change.added })
    }

    /// Returns changes by which all reported parts are evicted.
    fn evict_all(&mut self) -> Vec<PartChange> {
        let server = self.server;
        let evicted = self.parts.drain();
        evicted
            .map(|part| PartChange { server, part, cached: false })
            .collect()
    }
}
