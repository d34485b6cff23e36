//! How fast an engine reads prompts, learnt from when first tokens came.

use std::time::Duration;

/// How much of what was learnt is kept with each first token.
const SAMPLE_DECAY: f64 = 0.93;

/// What the first guess counts, in prompt tokens: that of a few long prompts.
const GUESS_WEIGHT_TOKENS: f64 = 20_000.0;

/// The time of a first token that isn't spent on reading: the way there and back, and the
/// first step, in milliseconds.
const FIXED_OVERHEAD_MS: f64 = 25.0;

/// The slowest and the fastest pace that is believed, in tokens a millisecond.
const MIN_TOKENS_PER_MS: f64 = 6.0;
/// The fastest.
const MAX_TOKENS_PER_MS: f64 = 150.0;

/// After so long without a first token, half of what was learnt is forgotten: an engine that
/// was slow for a moment, and so gets little work, is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The pace of one engine, with everything that slows it down: the answers that it makes
/// beside, and prompts that this instance doesn't know of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillRate {
    /// The first guess, in tokens a millisecond.
    guess: f64,
    /// Prompt tokens that were read, decayed.
    tokens: f64,
    /// The time that it took, in milliseconds, decayed alike.
    time_ms: f64,
    /// When something was last learnt.
    updated_at: Duration,
}

impl PrefillRate {
    /// Starts with a guess, in tokens a millisecond.
    pub(crate) fn new(guess: f64, now: Duration) -> Self {
        Self {
            guess,
            tokens: GUESS_WEIGHT_TOKENS,
            time_ms: GUESS_WEIGHT_TOKENS / guess,
            updated_at: now,
        }
    }

    /// Takes in that a first token came so long after its request was sent, which had so
    /// many tokens to be read before it, its own included.
    pub(crate) fn record_first_token(
        &mut self,
        tokens: f64,
        seen_ms: f64,
        now: Duration,
    ) {
        let time_ms = (seen_ms - FIXED_OVERHEAD_MS).max(tokens / MAX_TOKENS_PER_MS);
        self.tokens = self.tokens * SAMPLE_DECAY + tokens;
        self.time_ms = self.time_ms * SAMPLE_DECAY + time_ms;
        self.updated_at = now;
    }

    /// Returns the pace, in tokens a millisecond.
    pub(crate) fn tokens_per_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let trust = 0.5f64.powf(age / HALF_LIFE.as_secs_f64());
        let tokens = self.tokens * trust + GUESS_WEIGHT_TOKENS * (1.0 - trust);
        let time_ms =
            self.time_ms * trust + GUESS_WEIGHT_TOKENS / self.guess * (1.0 - trust);
        (tokens / time_ms).clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS)
    }
}
