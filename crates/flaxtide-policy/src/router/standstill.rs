//! Time in which this instance stood still: servers went on meanwhile, unheard.

use std::time::Duration;

use super::RouteCore;
use super::call::CallPlace;

impl RouteCore {
    /// Goes on after this instance has stood still for a while. Servers weren't silent for that
    /// long, and didn't take it for what they were sent.
    pub fn discount_stall(&mut self, span: Duration, now: Duration) {
        for pool in self.pools.values_mut() {
            for server in pool.servers.values_mut() {
                server.health.resume(span, now);
            }
        }
        for call in self.calls.values_mut() {
            if let CallPlace::Running { since, .. } = call.place {
                call.stood_still += span.min(now.saturating_sub(since));
            }
        }
    }
}
