//! How often things happen between instances.

use std::time::Duration;

/// How often things happen between instances.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetTiming {
    /// The longest time between two heartbeats to one peer.
    pub longest_period: Duration,
    /// The shortest.
    pub shortest_period: Duration,
    /// The time between two heartbeats, for each live instance of the data centre, so that the
    /// traffic of one instance stays the same however many there are.
    pub period_per_instance: Duration,
    /// What one heartbeat to each live instance costs, in time that must pass before more updates
    /// is told sooner than the period: 406 bytes with the answer, within 17 KB a second.
    pub update_cost_per_instance: Duration,
    /// How many heartbeats may be saved up for updates.
    pub update_burst: u32,
    /// So many more prompt tokens to be read at one server, in units of 16, are updates.
    pub update_units: u16,
    /// Up to how many instances are one group, whatever their data centres; 0 if each data
    /// centre always is a group of its own.
    pub single_group_limit: u32,
    /// The shortest time between two digests of one other data centre.
    pub shortest_digest_period: Duration,
    /// The longest.
    pub longest_digest_period: Duration,
    /// A peer that isn't heard for so many periods isn't alive.
    pub missed_heartbeats: u32,
    /// How long an instance that hears of newer settings waits for its own source, the
    /// platform, while that brings nothing, before it asks a peer: longer than a store that
    /// is ninety times slower than usual takes to begin its answer.
    pub settings_lead: Duration,
    /// How long it waits while the source brings something. A row of 1.2 MB takes a second
    /// on an idle link of 10 Mbit/s.
    pub settings_patience: Duration,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            longest_period: Duration::from_millis(2500),
            shortest_period: Duration::from_millis(200),
            period_per_instance: Duration::from_millis(43),
            update_cost_per_instance: Duration::from_millis(24),
            update_burst: 3,
            update_units: 48,
            single_group_limit: 0,
            shortest_digest_period: Duration::from_millis(500),
            longest_digest_period: Duration::from_secs(5),
            missed_heartbeats: 3,
            settings_lead: Duration::from_millis(700),
            settings_patience: Duration::from_secs(2),
        }
    }
}
