//! The prompt parts that a watcher has reported as cached on an engine.

use std::collections::{BTreeMap, HashMap};

use flaxtide_core::ServerId;
use flaxtide_policy::{PartChange, PartKey, PromptPart};

use crate::contract::{CacheBatch, CacheChange, CachePosition};

/// The minimum number of cached tokens of a part that is reported. Prefilling a shorter one
/// takes an engine less time than choosing another engine would save.
const MIN_REPORTED_TOKENS: u32 = 500;

/// The maximum number of parts reported as cached on one engine: more than fit into its
/// memory. Beyond it, the oldest are taken back.
const MAX_REPORTED_PARTS: usize = 4096;

/// The prompt parts that a watcher has reported as cached on an engine, and how far it has
/// read the engine's log of cache changes.
#[derive(Debug)]
pub struct ReportedParts {
    /// The engine.
    server: ServerId,
    /// The position up to which changes are known; `None` before the first.
    position: Option<CachePosition>,
    /// The parts reported as cached, with the number of the last change that said so.
    parts: HashMap<PartKey, u64>,
    /// The same parts by that number, so that the oldest one is found.
    by_age: BTreeMap<u64, PartKey>,
    /// The number of the next change.
    next_change: u64,
}

impl ReportedParts {
    /// Creates the parts of an engine of which no changes have been read.
    #[must_use]
    pub fn new(server: ServerId) -> Self {
        Self {
            server,
            position: None,
            parts: HashMap::new(),
            by_age: BTreeMap::new(),
            next_change: 0,
        }
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
        for change in &batch.changes {
            self.apply_change(change, &is_known_cached, &mut reported);
        }
        reported
    }

    /// Applies one change. Adds those that others are to be told.
    fn apply_change(
        &mut self,
        change: &CacheChange,
        is_known_cached: impl Fn(PartKey) -> bool,
        reported: &mut Vec<PartChange>,
    ) {
        let server = self.server;
        let part = PromptPart { key: change.part, tokens: change.tokens }.short_key();
        if !change.added {
            if self.remove(part) || is_known_cached(part) {
                reported.push(PartChange { server, part, cached: false });
            }
        } else if change.tokens >= MIN_REPORTED_TOKENS {
            let is_news = !self.remove(part);
            // Its eviction may have been lost.
            if let Some(oldest) = self.make_room() {
                reported.push(PartChange { server, part: oldest, cached: false });
            }
            self.insert(part);
            if is_news {
                reported.push(PartChange { server, part, cached: true });
            }
        }
    }

    /// Inserts a part as the newest.
    fn insert(&mut self, part: PartKey) {
        self.parts.insert(part, self.next_change);
        self.by_age.insert(self.next_change, part);
        self.next_change += 1;
    }

    /// Removes a part. Returns whether it was there.
    fn remove(&mut self, part: PartKey) -> bool {
        let number = self.parts.remove(&part);
        number.is_some_and(|number| self.by_age.remove(&number).is_some())
    }

    /// Removes and returns the oldest part if there is no room for another.
    fn make_room(&mut self) -> Option<PartKey> {
        if self.parts.len() < MAX_REPORTED_PARTS {
            return None;
        }
        let (_, oldest) = self.by_age.pop_first()?;
        self.parts.remove(&oldest);
        Some(oldest)
    }

    /// Returns changes by which all reported parts are evicted.
    fn evict_all(&mut self) -> Vec<PartChange> {
        let server = self.server;
        self.by_age.clear();
        let evicted = self.parts.drain();
        evicted
            .map(|(part, _)| PartChange { server, part, cached: false })
            .collect()
    }
}
