//! Long and short prompts apart: each chunk of a long prompt delays every token that the
//! same engine makes beside it, so long prompts are kept to a part of the engines.

use std::time::Duration;

use super::call::RouteCall;
use super::options::RouteOptions;
use crate::estimate::DecayedMean;

/// The demand of the moment, by long and short prompts.
#[derive(Debug, Default)]
pub(crate) struct LaneSplit {
    /// Whether long prompts were seen lately.
    long_seen: Option<Duration>,
    /// Whether short prompts were seen lately.
    short_seen: Option<Duration>,
    /// The mean target of long prompts, in milliseconds.
    long_target: DecayedMean,
    /// Their mean length, in tokens.
    long_tokens: DecayedMean,
}

/// For how long a kind of prompts counts as there after it was last seen.
const SEEN_LIFE: Duration = Duration::from_secs(3);

/// Which engines a prompt may use first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptLane {
    /// The engines for long prompts.
    Long,
    /// The engines for short ones.
    Short,
    /// Any.
    Any,
}

impl LaneSplit {
    /// Takes in a request that came.
    pub(crate) fn record_arrival(
        &mut self,
        call: &RouteCall,
        options: &RouteOptions,
        now: Duration,
    ) {
        if call.prompt.tokens == 0 {
            return;
        }
        if call.prompt.is_long(options) {
            self.long_seen = Some(now);
            self.long_target.add(call.target.as_secs_f64() * 1000.0);
            self.long_tokens.add(f64::from(call.prompt.tokens));
        } else {
            self.short_seen = Some(now);
        }
    }

    /// Returns the largest part of the engines for long prompts, which are read at this
    /// pace: the less time they have to wait for each other, the more engines.
    pub(crate) fn max_long_part(
        &self,
        tokens_per_ms: f64,
        options: &RouteOptions,
    ) -> f64 {
        let (Some(target), Some(tokens)) =
            (self.long_target.get(), self.long_tokens.get())
        else {
            return options.long_part;
        };
        let times = target * tokens_per_ms / tokens.max(1.0);
        let range = (options.ample_target - options.tight_target).max(f64::MIN_POSITIVE);
        let tight = ((options.ample_target - times) / range).clamp(0.0, 1.0);
        options.long_part + (options.tight_long_part - options.long_part) * tight
    }

    /// Returns which engines a prompt may use first.
    pub(crate) fn lane(
        &self,
        tokens: u32,
        options: &RouteOptions,
        now: Duration,
    ) -> PromptLane {
        let seen = |at: Option<Duration>| at.is_some_and(|at| now < at + SEEN_LIFE);
        if tokens == 0 || !seen(self.long_seen) || !seen(self.short_seen) {
            return PromptLane::Any;
        }
        if tokens > options.long_prompt { PromptLane::Long } else { PromptLane::Short }
    }
}

/// Tells whether a server at `place` of `count`, in the order that all instances agree on,
/// belongs to a lane.
pub(crate) fn in_lane(lane: PromptLane, index: usize, count: usize, part: f64) -> bool {
    let long = ((count as f64 * part).round() as usize).clamp(1, count.max(2) - 1);
    match lane {
        PromptLane::Any => true,
        PromptLane::Long => index < long || count < 2,
        PromptLane::Short => index >= long || count < 2,
    }
}
