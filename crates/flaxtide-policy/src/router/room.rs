//! Whether a server has room for another request. Of servers that fail if they have to refuse
//! many, all instances together keep the refusals below what the server states.

use std::time::Duration;

use super::RouteCore;
use super::server::ServerState;

/// The fraction of such a server's slots that is free for all. Beyond it, each instance uses
/// only its share, as it may not have heard yet what the others have sent.
const OPEN_FRACTION: f64 = 0.75;

/// The fraction of the stated refusals that instances allow themselves.
const REFUSAL_FRACTION: f64 = 0.5;

/// The longest time for which such a server gets nothing after a refusal.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

impl RouteCore {
    /// Returns whether a server has room for one more request.
    pub(super) fn has_room(&self, server: &ServerState, now: Duration) -> bool {
        let running = self.running(server, now);
        if let Some(has_room) = self.has_sure_room(server, running) {
            return has_room;
        }
        let most = f64::from(server.listing.slots) * self.options.fill;
        f64::from(running) < most.max(1.0)
    }

    /// Returns whether a server that states how many refusals it bears has room for one more
    /// request of this instance; `None` if it states nothing.
    fn has_sure_room(&self, server: &ServerState, running: u32) -> Option<bool> {
        let limit = server.pushback.refusals.limit()?;
        let is_open = server.listing.engine.is_some()
            && f64::from(running) < f64::from(server.listing.slots) * OPEN_FRACTION;
        Some(is_open || server.load.own_running() < limit.slot_share)
    }

    /// Returns for how long such a server gets nothing from this instance after a refusal, so
    /// that the refusals of all instances stay below its limit.
    pub(super) fn refusal_pause(&self, server: &ServerState) -> Option<Duration> {
        let limit = f64::from(server.pushback.refusals.limit()?.per_second.max(1));
        let seconds = f64::from(self.instances.max(self.options.assumed_instances))
            / (limit * REFUSAL_FRACTION);
        let pause = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_PAUSE);
        Some(pause.clamp(self.options.full_pause, LONGEST_PAUSE))
    }
}
