//! The options of the decision core.

use std::time::Duration;

/// The tunable parameters of the policy. `docs/MEASUREMENTS.md` has the measurements
/// behind the defaults.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyOptions {
    /// The maximum number of requests in one pool's queue.
    pub queue_limit: usize,
    /// At most one dispatch in this many goes out of turn to a class past its starvation
    /// bound.
    pub starvation_turns: u32,
    /// The number of servers that are sampled at random for each choice.
    pub sampled_servers: usize,
    /// The home server of a prompt prefix is chosen while its load is below the mean load
    /// of the pool times this.
    pub affinity_bound: f64,
    /// A server is put on probation when its time per token exceeds the median of its
    /// pool times this.
    pub probation_factor: f64,
    /// The maximum fraction of a pool that may be on probation.
    pub probation_part: f64,
    /// How long a server gets no requests after a failure.
    pub failure_pause: Duration,
    /// The number of retries that each success adds to the budget.
    pub retry_ratio: f64,
    /// The maximum number of retries that the budget can accumulate.
    pub retry_burst: f64,
    /// The maximum number of attempts for a request, the first one included.
    pub attempt_limit: u8,
    /// A server may be silent for this many times the usual time to the first token.
    pub patience_factor: f64,
    /// The minimum silence of a server before a request is retried elsewhere.
    pub patience_floor: Duration,
    /// How long a server may be silent about a request of a lower tier, which may be
    /// preempted there.
    pub preempted_patience: Duration,
    /// The age at which a load report has half of its initial weight.
    pub report_half_life: Duration,
    /// The fraction of a server's idle slots, as last reported, that one instance may use
    /// while it has no valid share.
    pub idle_part: f64,
    /// The fraction of the predicted waiting time that admission counts on.
    pub admission_trust: f64,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        Self {
            queue_limit: 4096,
            starvation_turns: 20,
            sampled_servers: 2,
            affinity_bound: 1.25,
            probation_factor: 2.5,
            probation_part: 0.2,
            failure_pause: Duration::from_secs(2),
            retry_ratio: 0.1,
            retry_burst: 50.0,
            attempt_limit: 4,
            patience_factor: 4.0,
            patience_floor: Duration::from_millis(400),
            preempted_patience: Duration::from_secs(5),
            report_half_life: Duration::from_secs(2),
            idle_part: 0.5,
            admission_trust: 1.0,
        }
    }
}
