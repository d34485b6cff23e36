//! Stalls: times in which this instance didn't run, while the servers continued.

use std::time::Duration;

use super::RouteCore;
use super::call::CallPhase;

impl RouteCore {
    /// Excludes a stall of this instance that has just ended from all measured times. The
    /// servers weren't silent for that long, and their requests didn't take that long.
    pub fn discount_stall(&mut self, span: Duration, now: Duration) {
        for pool in self.pools.values_mut() {
            for server in pool.servers.values_mut() {
                server.health.discount_stall(span, now);
                server.sightings.discount_stall(span, now);
            }
        }
        for call in self.calls.values_mut() {
            if let CallPhase::Running { since, .. } = call.phase {
                call.stalled_for += span.min(now.saturating_sub(since));
                if call.patient_until > since {
                    call.patient_until += span;
                }
                call.last_data_at = call.last_data_at.map(|at| (at + span).min(now));
            }
        }
    }
}
