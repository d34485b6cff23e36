//! The options of the router.

use std::time::Duration;

use flaxtide_core::deserialize_span;
use serde::Deserialize;

/// The tunable parameters of the router. `docs/design/router.md` explains the defaults.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteOptions {
    /// The assumed prefill rate of an engine until it has been measured, in tokens per
    /// millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The weight of the time to prefill shared parts again. It exceeds 1 because a
    /// repeated prefill also delays other requests on the server and evicts cached
    /// tokens.
    pub reread_weight: f64,
    /// The weight of the time to fetch shared parts from another engine. It exceeds 1
    /// because transfers cost money and share the link.
    pub fetch_weight: f64,
    /// Shared parts of fewer tokens than this are prefilled again instead of fetched.
    pub least_fetch: u32,
    /// How long peers are told of a shared part that a server has prefilled.
    #[serde(deserialize_with = "deserialize_span")]
    pub read_life: Duration,
    /// The time that one more running request adds to the others on the server, in
    /// milliseconds.
    pub running_cost_ms: f64,
    /// A prompt with more tokens than this counts as long.
    pub long_prompt: u32,
    /// The maximum fraction of the engines that long prompts use while short prompts are
    /// running too, if the long ones can wait for each other.
    pub long_part: f64,
    /// The maximum fraction of the engines that long prompts use if they can't wait for
    /// each other.
    pub tight_long_part: f64,
    /// Long prompts can't wait for each other if their target is at most this many times
    /// the time to prefill one of them: then a prompt behind three others would be late.
    pub tight_target: f64,
    /// Long prompts can wait for each other if their target is at least this many times
    /// the time to prefill one of them.
    pub ample_target: f64,
    /// The minimum fraction of the engines that long prompts get.
    pub least_long_part: f64,
    /// The number of requests that an engine for short prompts is meant to run, as a
    /// fraction of its slots.
    pub short_fill: f64,
    /// The maximum number of requests on a server, running and queued, as a multiple of
    /// its slots.
    pub fill: f64,
    /// The weight of the time to wait for a slot of an engine when all slots are taken.
    pub slot_wait_weight: f64,
    /// The fraction of their engines' slots that long prompts may fill before they get
    /// more engines than usual; 0 disables this.
    pub long_fill: f64,
    /// The maximum number of requests on an engine for short prompts while long prompts
    /// need more engines, as a fraction of its slots.
    pub short_most_fill: f64,
    /// The additional cost of a server in another data centre, in milliseconds.
    pub far_cost_ms: f64,
    /// How long the load reported by a peer counts. Large groups send heartbeats every
    /// 2.5 s; with a shorter time, servers would seem idle between two of them.
    #[serde(deserialize_with = "deserialize_span")]
    pub peer_life: Duration,
    /// How long a prompt part is assumed to stay in an engine's cache.
    #[serde(deserialize_with = "deserialize_span")]
    pub cache_life: Duration,
    /// A request whose first token is expected later than this many times its target is
    /// refused at once, so that the caller can try again after the burst.
    pub admit_factor: f64,
    /// The maximum number of times that a request is sent.
    pub send_limit: u32,
    /// The minimum time before the deadline that a retry needs.
    #[serde(deserialize_with = "deserialize_span")]
    pub least_time: Duration,
    /// The retries that each request adds to the budget, for all instances together.
    pub retry_ratio: f64,
    /// The retries per window of 10 s that are allowed in addition, for all instances
    /// together.
    pub retry_slack: f64,
    /// The fraction of the budget that is used, so that it also holds for windows that
    /// are aligned differently.
    pub budget_part: f64,
    /// The number of instances that are assumed until peers have been heard.
    pub assumed_instances: u32,
    /// A server may be silent for this many times the expected time to the first token.
    pub patience_factor: f64,
    /// The minimum silence of a server before a request is retried elsewhere.
    #[serde(deserialize_with = "deserialize_span")]
    pub shortest_patience: Duration,
    /// A server that is streaming responses gets no more requests after a silence of this
    /// length.
    #[serde(deserialize_with = "deserialize_span")]
    pub silence: Duration,
    /// How long peers are told that a server was found silent.
    #[serde(deserialize_with = "deserialize_span")]
    pub rumour_life: Duration,
    /// A peer's report that a server is silent counts if this instance has received
    /// nothing from the server for this long.
    #[serde(deserialize_with = "deserialize_span")]
    pub rumour_silence: Duration,
    /// A server with unanswered requests that isn't streaming gets no more requests after
    /// a silence of this length plus twice the time that its prompts take to prefill.
    #[serde(deserialize_with = "deserialize_span")]
    pub long_silence: Duration,
    /// How long a server gets no requests after a first fault by silence or a failed
    /// connection.
    #[serde(deserialize_with = "deserialize_span")]
    pub pause: Duration,
    /// The maximum length of such a pause.
    #[serde(deserialize_with = "deserialize_span")]
    pub longest_pause: Duration,
    /// The time after which a response of a server says half as much about whether it
    /// accepts requests.
    #[serde(deserialize_with = "deserialize_span")]
    pub admitted_half_life: Duration,
    /// The cost of being refused by a server, in milliseconds. The refusal uses up a
    /// retry, which the budget may lack for a later fault.
    pub refused_cost_ms: f64,
    /// How long a full server gets no requests at least; it may ask for a longer backoff.
    #[serde(deserialize_with = "deserialize_span")]
    pub full_pause: Duration,
    /// The longest backoff that a server may ask for.
    #[serde(deserialize_with = "deserialize_span")]
    pub longest_rest: Duration,
    /// Servers with an outlying failure rate are excluded only while at most this
    /// fraction of their pool is excluded.
    pub ejected_part: f64,
    /// The retry-after time for callers when no server is available.
    #[serde(deserialize_with = "deserialize_span")]
    pub no_server_retry: Duration,
    /// The minimum retry-after time.
    #[serde(deserialize_with = "deserialize_span")]
    pub shortest_retry: Duration,
    /// The maximum retry-after time.
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
