//! Periods and time-outs of the messages between instances.

use std::time::Duration;

/// Periods, time-outs and limits of the messages between instances.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetTiming {
    /// The longest time between two heartbeats to a peer.
    pub longest_period: Duration,
    /// The shortest time between two heartbeats to a peer.
    pub shortest_period: Duration,
    /// The heartbeat period for each known instance of the group, so that an instance's traffic
    /// doesn't depend on the size of the group.
    pub period_per_instance: Duration,
    /// The cost of a round of heartbeats for each known instance of the group, as the time
    /// until the next early round. A heartbeat with its reply takes 406 bytes, and control
    /// traffic has a budget of 17 KB/s: 24 ms each.
    pub early_round_cost_per_instance: Duration,
    /// How many early rounds may be sent in a burst.
    pub early_round_burst: u32,
    /// How many more prompt tokens must wait for prefill at a server to cause an early round,
    /// in units of 16 tokens.
    pub early_round_load_units: u16,
    /// The largest fleet that is a single group whatever its data centres; 0 if each data
    /// centre is always a group of its own.
    pub single_group_limit: u32,
    /// The shortest time between two digests of another data centre.
    pub shortest_digest_period: Duration,
    /// The longest time between two digests of another data centre.
    pub longest_digest_period: Duration,
    /// The number of silent heartbeat or digest periods after which a peer counts as dead.
    pub missed_heartbeats: u32,
    /// The longest gap between two answers of the platform that doesn't count as an outage.
    pub max_answer_gap: Duration,
    /// How long an instance that learns of newer settings waits for its own source, the
    /// platform, before it asks a peer, if no data arrives. A platform store that is ninety
    /// times slower than usual still starts its answer within this time.
    pub settings_source_wait: Duration,
    /// How long it waits while data keeps arriving. A row of 1.2 MB takes a second on an idle
    /// link of 10 Mbit/s.
    pub settings_source_max_wait: Duration,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            longest_period: Duration::from_millis(2500),
            shortest_period: Duration::from_millis(200),
            period_per_instance: Duration::from_millis(43),
            early_round_cost_per_instance: Duration::from_millis(24),
            early_round_burst: 3,
            early_round_load_units: 48,
            single_group_limit: 0,
            shortest_digest_period: Duration::from_millis(500),
            longest_digest_period: Duration::from_secs(5),
            missed_heartbeats: 3,
            max_answer_gap: Duration::from_secs(2),
            settings_source_wait: Duration::from_millis(700),
            settings_source_max_wait: Duration::from_secs(2),
        }
    }
}
