//! What can be turned on the router.

use std::time::Duration;

use flaxtide_core::deserialize_span;
use serde::Deserialize;

/// The tunable constants of the router; `docs/design/router.md` says what chose them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteOptions {
    /// How many prompt tokens an engine reads in a millisecond, until measured.
    pub prefill_tokens_per_ms: f64,
    /// How many times the time to read a shared part again counts: it costs the others at
    /// the server as well, and the memory of what is dropped for it.
    pub reread_weight: f64,
    /// How many times the time to take a shared part over from another engine counts: its
    /// transfer has a price, and the link is shared.
    pub fetch_weight: f64,
    /// Shared parts of fewer tokens are read again rather than taken over.
    pub least_fetch: u32,
    /// For how long peers are told of a shared part that a server has read.
    #[serde(deserialize_with = "deserialize_span")]
    pub read_life: Duration,
    /// What one more running request adds to the time of others, in milliseconds.
    pub running_cost_ms: f64,
    /// A prompt with more unread tokens than this is a long one.
    pub long_prompt: u32,
    /// The part of the engines that long prompts are kept to, if short ones leave it.
    pub long_part: f64,
    /// The same where a long prompt has no time to wait for another.
    pub tight_long_part: f64,
    /// Long prompts have no time to wait if their target is within so many times what an
    /// engine takes to read one: one and three more are too many.
    pub tight_target: f64,
    /// They have time enough if it is so many times as long.
    pub ample_target: f64,
    /// The part of the engines that long prompts get at least.
    pub least_long_part: f64,
    /// How many requests an engine that is kept for short prompts is meant for, as a part
    /// of its slots.
    pub short_fill: f64,
    /// How many times its slots a server may have requests, running and waiting.
    pub fill: f64,
    /// How many times the wait for a slot of an engine counts, once all are taken.
    pub slot_wait_weight: f64,
    /// Long prompts get more engines than usual once so great a part of all slots is taken by
    /// them that this part of their own engines' would be; 0 for never.
    pub long_fill: f64,
    /// How many requests an engine for short prompts has at most while long ones need more
    /// engines, as a part of its slots.
    pub short_most_fill: f64,
    /// The time that a server of another data centre costs, in milliseconds.
    pub far_cost_ms: f64,
    /// For how long a peer's word of its load counts: longer than the 2.5 s between two
    /// heartbeats of large groups, as servers would seem idle in between.
    #[serde(deserialize_with = "deserialize_span")]
    pub peer_life: Duration,
    /// For how long a prompt part is taken to stay in an engine's memory.
    #[serde(deserialize_with = "deserialize_span")]
    pub cache_life: Duration,
    /// A request whose first token is expected later than so many times its target is
    /// refused at once, so that its caller can come back when the burst is over.
    pub admit_factor: f64,
    /// How often a request may be sent in all.
    pub send_limit: u32,
    /// A further try needs at least this much time before the deadline.
    #[serde(deserialize_with = "deserialize_span")]
    pub least_time: Duration,
    /// How many repeats each request pays for, over all instances.
    pub retry_ratio: f64,
    /// How many repeats in a window are free, over all instances.
    pub retry_slack: f64,
    /// The part of the budget that is used, so that edges of windows stay within it.
    pub budget_part: f64,
    /// How many instances are taken to share the budget before peers are heard.
    pub assumed_instances: u32,
    /// For how long after its start an instance may not have heard how many share the
    /// budget: two of the longest periods between beats.
    #[serde(deserialize_with = "deserialize_span")]
    pub settling: Duration,
    /// How many repeats in a window are free until then.
    pub settling_slack: f64,
    /// A server may be silent for so many times the expected time.
    pub patience_factor: f64,
    /// The shortest silence of a server after which a request goes elsewhere.
    #[serde(deserialize_with = "deserialize_span")]
    pub shortest_patience: Duration,
    /// After so long a silence with streams under way, a server gets no more work.
    #[serde(deserialize_with = "deserialize_span")]
    pub silence: Duration,
    /// For how long peers are told that a server was found silent.
    #[serde(deserialize_with = "deserialize_span")]
    pub rumour_life: Duration,
    /// A peer's word that a server is silent counts if nothing came from it for so long.
    #[serde(deserialize_with = "deserialize_span")]
    pub rumour_silence: Duration,
    /// After so long a silence with nothing but unanswered work at it, and twice the time
    /// that its prompts take, a server gets no more work.
    #[serde(deserialize_with = "deserialize_span")]
    pub long_silence: Duration,
    /// How long an unreachable or failing server gets no work, at first.
    #[serde(deserialize_with = "deserialize_span")]
    pub pause: Duration,
    /// The longest such pause.
    #[serde(deserialize_with = "deserialize_span")]
    pub longest_pause: Duration,
    /// After so long, an answer of a server tells half as much of whether it turns requests away.
    #[serde(deserialize_with = "deserialize_span")]
    pub admitted_half_life: Duration,
    /// What it costs, in milliseconds, to be turned away by a server: a repeat that the budget may
    /// lack later.
    pub refused_cost_ms: f64,
    /// How long a full server gets no work if it doesn't say for how long.
    #[serde(deserialize_with = "deserialize_span")]
    pub full_pause: Duration,
    /// The longest rest that a server may ask for.
    #[serde(deserialize_with = "deserialize_span")]
    pub longest_rest: Duration,
    /// At most this part of a pool is kept from work for its faults.
    pub ejected_part: f64,
    /// When a caller without any server is asked to come back.
    #[serde(deserialize_with = "deserialize_span")]
    pub no_server_retry: Duration,
    /// The soonest that a refused caller is asked to come back.
    #[serde(deserialize_with = "deserialize_span")]
    pub shortest_retry: Duration,
    /// The latest.
    #[serde(deserialize_with = "deserialize_span")]
    pub longest_retry: Duration,
}

impl Default for RouteOptions {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 60.0,
            reread_weight: 15.0,
            fetch_weight: 10.0,
            least_fetch: 500,
            read_life: Duration::from_millis(2700),
            running_cost_ms: 0.7,
            long_prompt: 3000,
            long_part: 0.6,
            tight_long_part: 0.8,
            tight_target: 3.5,
            ample_target: 5.0,
            least_long_part: 0.33,
            short_fill: 0.5,
            fill: 1.5,
            slot_wait_weight: 0.0,
            long_fill: 0.6,
            short_most_fill: 0.85,
            far_cost_ms: 2.0,
            peer_life: Duration::from_secs(3),
            cache_life: Duration::from_secs(20),
            admit_factor: 1.0,
            send_limit: 4,
            least_time: Duration::from_millis(50),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            budget_part: 0.7,
            assumed_instances: 8,
            settling: Duration::from_secs(5),
            settling_slack: 2.0,
            patience_factor: 3.0,
            shortest_patience: Duration::from_millis(1500),
            silence: Duration::from_millis(500),
            rumour_life: Duration::from_millis(1000),
            rumour_silence: Duration::from_millis(300),
            long_silence: Duration::from_millis(1500),
            pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(4),
            admitted_half_life: Duration::from_millis(1000),
            refused_cost_ms: 500.0,
            full_pause: Duration::from_millis(150),
            longest_rest: Duration::from_secs(60),
            ejected_part: 0.5,
            no_server_retry: Duration::from_millis(500),
            shortest_retry: Duration::from_millis(100),
            longest_retry: Duration::from_secs(5),
        }
    }
}
