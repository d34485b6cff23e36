//! What an engine has cached: the prompt parts that it has prefilled for this instance or a
//! peer, and the changes that it reports to its watchers.

use std::collections::HashMap;
use std::time::Duration;

use super::call::{PartKey, PromptShape};

/// About the maximum number of prompt parts that are remembered for one server. Beyond
/// it, the older half is dropped.
const MAX_KNOWN_PARTS: usize = 512;

/// How long a part counts as cached on a watched engine that doesn't report its eviction.
/// Few reports are lost; a part that is sent to an engine which has lost it is read once
/// and is there again.
const WATCHED_LIFE: Duration = Duration::from_secs(180);

/// The age below which a prefill may be newer than an eviction that is being reported. The
/// engine, its watcher and a heartbeat delay the report by up to 2 s. Engines evict the
/// least recently used parts, so such a part has hardly been evicted since.
const EVICTION_DELAY: Duration = Duration::from_secs(2);

/// How long after an eviction a peer's report may tell of a prefill before it. Peers repeat
/// their reports for up to two periods, and the report of the eviction is delayed less.
const REPEAT_SPAN: Duration = Duration::from_secs(5);

/// The maximum number of evictions that are remembered for one server. Beyond it, the older
/// half is dropped.
const MAX_EVICTIONS: usize = 512;

/// How long parts count as cached on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CacheLife {
    /// The life of parts of which the engine doesn't report evictions.
    unwatched: Duration,
    /// Whether the engine reports evictions.
    watched: bool,
}

impl CacheLife {
    /// Creates the lives of parts on an engine. `unwatched` is the life of those of which no
    /// eviction is reported.
    pub(crate) fn new(unwatched: Duration, watched: bool) -> Self {
        Self { unwatched, watched }
    }

    /// Returns how long a part counts as cached.
    fn of(&self, part: &CachedPart) -> Duration {
        if self.watched && !part.doubtful {
            self.unwatched.max(WATCHED_LIFE)
        } else {
            self.unwatched
        }
    }
}

/// A prompt part that an engine has cached.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    /// When the engine was last known to have the part.
    known_at: Duration,
    /// When it last prefilled a prompt with the part.
    prefilled_at: Option<Duration>,
    /// Whether it has reported an eviction that may be newer than the last prefill.
    doubtful: bool,
}

/// The prompt parts that an engine has cached.
#[derive(Debug, Default)]
pub(crate) struct CachedParts {
    /// The parts by key.
    parts: HashMap<PartKey, CachedPart>,
    /// When the engine last reported the eviction of each part.
    evictions: HashMap<PartKey, Duration>,
}

impl CachedParts {
    /// Records that the engine has prefilled a part for this instance.
    pub(crate) fn record_prefill(&mut self, part: PartKey, now: Duration) {
        self.evictions.remove(&part);
        self.insert_prefilled(part, false, now);
    }

    /// Records that a peer has reported a prefill of a part. It may have been before the last
    /// eviction.
    pub(crate) fn record_peer_prefill(&mut self, part: PartKey, now: Duration) {
        let evicted_at = self.evictions.get(&part);
        let doubtful = evicted_at.is_some_and(|at| now < *at + REPEAT_SPAN);
        self.insert_prefilled(part, doubtful, now);
    }

    /// Records that the engine has reported a part as cached.
    pub(crate) fn record_cached(&mut self, part: PartKey, now: Duration) {
        self.evictions.remove(&part);
        let prefilled_at = self.parts.get(&part).and_then(|part| part.prefilled_at);
        let cached = CachedPart { known_at: now, prefilled_at, doubtful: false };
        self.parts.insert(part, cached);
    }

    /// Records that the engine has reported the eviction of a part.
    pub(crate) fn record_eviction(&mut self, part: PartKey, now: Duration) {
        self.remember_eviction(part, now);
        let Some(cached) = self.parts.get_mut(&part) else { return };
        if cached.prefilled_at.is_some_and(|at| now < at + EVICTION_DELAY) {
            cached.doubtful = true;
        } else {
            self.parts.remove(&part);
        }
    }

    /// Inserts a part that the engine has prefilled.
    fn insert_prefilled(&mut self, part: PartKey, doubtful: bool, now: Duration) {
        let prefilled = CachedPart { known_at: now, prefilled_at: Some(now), doubtful };
        self.parts.insert(part, prefilled);
    }

    /// Remembers an eviction for as long as reports of earlier prefills may come.
    fn remember_eviction(&mut self, part: PartKey, now: Duration) {
        if self.evictions.len() >= MAX_EVICTIONS {
            self.evictions.retain(|_, at| now < *at + REPEAT_SPAN);
        }
        if self.evictions.len() >= MAX_EVICTIONS {
            keep_newer_half(&mut self.evictions, |at| *at);
        }
        self.evictions.insert(part, now);
    }

    /// Returns whether one more part can be recorded.
    pub(crate) fn has_room(&self) -> bool {
        self.parts.len() <= MAX_KNOWN_PARTS
    }

    /// Drops the older half of the parts if there are too many.
    pub(crate) fn make_room(&mut self) {
        if self.has_room() {
            return;
        }
        keep_newer_half(&mut self.parts, |part| part.known_at);
    }

    /// Returns how many tokens of a prompt are cached. An engine that has a part has also
    /// all parts before it.
    pub(crate) fn tokens_of(
        &self,
        prompt: &PromptShape,
        life: CacheLife,
        now: Duration,
    ) -> u32 {
        let known = prompt.parts.iter().rposition(|part| {
            self.parts
                .get(&part.short_key())
                .is_some_and(|part| now < part.known_at + life.of(part))
        });
        let Some(last) = known else { return 0 };
        let cached: u32 = prompt.parts[..=last].iter().map(|part| part.tokens).sum();
        cached.min(prompt.tokens)
    }
}

/// Drops the older half of some entries. Of those with the same time any may be dropped.
fn keep_newer_half<T>(
    entries: &mut HashMap<PartKey, T>,
    time_of: impl Fn(&T) -> Duration,
) {
    let times = entries.iter().map(|(part, entry)| (time_of(entry), *part));
    let mut times: Vec<(Duration, PartKey)> = times.collect();
    times.sort_unstable();
    for (_, part) in &times[..times.len() / 2] {
        entries.remove(part);
    }
}
