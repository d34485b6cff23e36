//! How fast an engine prefills prompts, estimated from the times of first tokens.

use std::time::Duration;

/// The factor by which the weight of earlier samples decays with each first token.
const SAMPLE_DECAY: f64 = 0.93;

/// The weight of the initial guess, in prompt tokens; equal to a few long prompts.
const GUESS_WEIGHT_TOKENS: f64 = 20_000.0;

/// The time to the first token that isn't spent on prefilling, in milliseconds: the
/// network round trip and the first decoding step.
const FIXED_OVERHEAD_MS: f64 = 25.0;

/// The minimum plausible rate, in tokens per millisecond. Lower estimates are raised to
/// it.
const MIN_TOKENS_PER_MS: f64 = 6.0;
/// The maximum plausible rate, in tokens per millisecond.
const MAX_TOKENS_PER_MS: f64 = 150.0;

/// The time without a first token after which the estimate has moved halfway back to the
/// guess. Without this, an engine that was slow once would get little work and never be
/// measured again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The effective prefill rate of one engine. It includes everything that slows the engine
/// down, such as the output tokens it generates and the prompts of other instances.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefillRate {
    /// The initial guess, in tokens per millisecond.
    guess: f64,
    /// The decayed sum of the prefilled tokens.
    tokens: f64,
    /// The decayed sum of the time that they took, in milliseconds.
    time_ms: f64,
    /// When the last sample was recorded.
    updated_at: Duration,
}

impl PrefillRate {
    /// Creates an estimate from a guess in tokens per millisecond.
    pub(crate) fn new(guess: f64, now: Duration) -> Self {
        Self {
            guess,
            tokens: GUESS_WEIGHT_TOKENS,
            time_ms: GUESS_WEIGHT_TOKENS / guess,
            updated_at: now,
        }
    }

    /// Records that a first token arrived `elapsed_ms` after its request was sent.
    /// `tokens` were prefilled before it, including the request's own.
    pub(crate) fn record_first_token(
        &mut self,
        tokens: f64,
        elapsed_ms: f64,
        now: Duration,
    ) {
        let time_ms = (elapsed_ms - FIXED_OVERHEAD_MS).max(tokens / MAX_TOKENS_PER_MS);
        self.tokens = self.tokens * SAMPLE_DECAY + tokens;
        self.time_ms = self.time_ms * SAMPLE_DECAY + time_ms;
        self.updated_at = now;
    }

    /// Returns the rate in tokens per millisecond.
    pub(crate) fn tokens_per_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let trust = 0.5f64.powf(age / HALF_LIFE.as_secs_f64());
        let tokens = self.tokens * trust + GUESS_WEIGHT_TOKENS * (1.0 - trust);
        let time_ms =
            self.time_ms * trust + GUESS_WEIGHT_TOKENS / self.guess * (1.0 - trust);
        (tokens / time_ms).clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS)
    }
}
