//! Time in which this instance stood still: servers went on meanwhile, unheard.

use std::time::Duration;

use super::RouteCore;
use super::call::CallPhase;

impl RouteCore {
    /// Goes on after this instance has stood still for a while. Servers weren't silent for that
    /// long, and didn't take it for what they were sent.
    pub fn discount_stall(&mut self, span: Duration, now: Duration) {
        for pool in self.pools.values_mut() {
            for server in pool.servers.values_mut() {
                server.health.discount_stall(span, now);
            }
        }
        for call in self.calls.values_mut() {
            if let CallPhase::Running { since, .. } = call.phase {
                call.stalled_for += span.min(now.saturating_sub(since));
            }
        }
    }
}
