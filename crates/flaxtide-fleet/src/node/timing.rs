//! How often things happen between instances.

use std::time::Duration;

/// How often things happen between instances.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetTiming {
    /// The longest time between two beats to one peer.
    pub longest_period: Duration,
    /// The shortest.
    pub shortest_period: Duration,
    /// The time between two beats, for each live instance of the data centre, so that the
    /// traffic of one instance stays the same however many there are.
    pub period_per_instance: Duration,
    /// A peer that isn't heard for so many periods isn't alive.
    pub silent_periods: u32,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            longest_period: Duration::from_millis(2500),
            shortest_period: Duration::from_millis(200),
            period_per_instance: Duration::from_millis(43),
            silent_periods: 3,
        }
    }
}
