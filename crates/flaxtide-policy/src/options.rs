//! What can be turned on the decision core.

use std::time::Duration;

/// The tunable constants of the policy, with the values that measurements chose; see
/// `docs/MEASUREMENTS.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyOptions {
    /// The most requests that wait in one pool's queue.
    pub queue_limit: usize,
    /// One turn in this many may go to a class past its starvation bound.
    pub starvation_turns: u32,
    /// How many servers are drawn at random for one choice.
    pub sampled_servers: usize,
    /// A prefix's own server is taken while its load is below the pool's mean load times
    /// this.
    pub affinity_bound: f64,
    /// A server is on probation when its time per token is over the pool's median times
    /// this.
    pub probation_factor: f64,
    /// The largest part of a pool that may be on probation.
    pub probation_part: f64,
    /// How long a failed server gets no work.
    pub failure_pause: Duration,
    /// How many retries each success pays for.
    pub retry_ratio: f64,
    /// How many retries may be saved up.
    pub retry_burst: f64,
    /// How often a request may be tried in all.
    pub attempt_limit: u8,
    /// A server may be silent for this many times the usual time to a first token.
    pub patience_factor: f64,
    /// The shortest silence after which a request goes elsewhere.
    pub patience_floor: Duration,
    /// A server may be silent for this long about a request of a lower tier, which may be
    /// preempted there.
    pub preempted_patience: Duration,
    /// After this age a load report counts for half of its weight.
    pub report_half_life: Duration,
    /// The part of a server's idle slots, by its last report, that one instance may use
    /// while no share holds.
    pub idle_part: f64,
    /// The part of the waiting time that admission predicts and believes.
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
