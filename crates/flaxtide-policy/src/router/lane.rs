//! Separate lanes for long and short prompts. Each prefill chunk of a long prompt delays
//! every output token of the same engine, so long prompts are limited to a fraction of
//! the engines.

use std::time::Duration;

use super::call::RouteCall;
use super::options::RouteOptions;
use super::server::RoutedServer;
use crate::estimate::DecayedMean;
use crate::rendezvous::rendezvous_weight;

/// The hash key of the order in which engines are assigned to long prompts.
const LANE_SEED: u64 = 0x6c61_6e65;

/// The recent demand for long and short prompts.
#[derive(Debug, Default)]
pub(crate) struct LaneDemand {
    /// When a long prompt last arrived.
    long_seen: Option<Duration>,
    /// When a short prompt last arrived.
    short_seen: Option<Duration>,
    /// The mean target of long prompts, in milliseconds.
    long_target: DecayedMean,
    /// The mean length of long prompts, in tokens.
    long_tokens: DecayedMean,
}

/// How long a kind of prompt counts as present after the last arrival.
const SEEN_TIMEOUT: Duration = Duration::from_secs(3);

/// The set of engines that a prompt prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptLane {
    /// The engines for long prompts.
    Long,
    /// The engines for short prompts.
    Short,
    /// All engines.
    Any,
}

impl LaneDemand {
    /// Records a request that arrived.
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

    /// Returns the maximum fraction of the engines for long prompts, given the rate at
    /// which these are prefilled. The less time they have to wait for each other, the
    /// larger it is.
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
        let prompts_in_target = target * tokens_per_ms / tokens.max(1.0);
        let range = (options.ample_target - options.tight_target).max(f64::MIN_POSITIVE);
        let tightness =
            ((options.ample_target - prompts_in_target) / range).clamp(0.0, 1.0);
        options.long_part + (options.tight_long_part - options.long_part) * tightness
    }

    /// Returns the lane of a prompt.
    pub(crate) fn lane(
        &self,
        tokens: u32,
        options: &RouteOptions,
        now: Duration,
    ) -> PromptLane {
        let seen = |at: Option<Duration>| at.is_some_and(|at| now < at + SEEN_TIMEOUT);
        if tokens == 0 || !seen(self.long_seen) || !seen(self.short_seen) {
            return PromptLane::Any;
        }
        if tokens > options.long_prompt { PromptLane::Long } else { PromptLane::Short }
    }
}

/// Returns the place of a server in the order in which engines are assigned to long
/// prompts. It is the same on all instances.
pub(crate) fn lane_rank(listing: &RoutedServer) -> u64 {
    rendezvous_weight(LANE_SEED, listing.name_hash)
}

/// Returns whether the server at `index` of `count` belongs to a lane. The order of the
/// servers is the same on all instances.
pub(crate) fn in_lane(lane: PromptLane, index: usize, count: usize, part: f64) -> bool {
    let long = ((count as f64 * part).round() as usize).clamp(1, count.max(2) - 1);
    match lane {
        PromptLane::Any => true,
        PromptLane::Long => index < long || count < 2,
        PromptLane::Short => index >= long || count < 2,
    }
}
