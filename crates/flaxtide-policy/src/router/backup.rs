//! Copies of running streams: another engine can go on with one whose own is lost.

use std::time::Duration;

use flaxtide_core::ServerId;

use super::RouteCore;
use super::call::{RouteCall, RouteFault, RoutedCall};
use super::choose::{RouteChoice, RouteReason};
use super::server::ServerState;

impl RouteCore {
    /// Returns the engine to which a request's memory is copied while it runs: the one with
    /// the fewest requests.
    pub(super) fn backup(
        &self,
        call: &RouteCall,
        server: ServerId,
        well: &[&ServerState],
        now: Duration,
    ) -> Option<ServerId> {
        if !self.options.backups || call.repeatable || call.prompt.tokens == 0 {
            return None;
        }
        let able =
            |other: &ServerState| other.facts.engine.is_some_and(|engine| engine.backups);
        let others = well
            .iter()
            .filter(|other| other.facts.server != server && able(other));
        let fewest = others.min_by_key(|other| other.load.running(&self.options, now))?;
        Some(fewest.facts.server)
    }

    /// Tells whether another engine can go on with a request.
    #[must_use]
    pub fn has_copy(&self, request: flaxtide_core::RequestId) -> bool {
        let Some(call) = self.calls.get(&request) else { return false };
        call.begun() && self.copy_of(call).is_some()
    }

    /// Returns the engine that has a copy of a request and may be used.
    pub(super) fn copy_of(&self, call: &RoutedCall) -> Option<ServerId> {
        let state = self.pools.get(&call.call.pool)?;
        let server = state.servers.get(&call.copy_at?)?;
        server.facts.in_service().then_some(server.facts.server)
    }

    /// Returns the choice to go on at the engine with the copy after a fault in the midst
    /// of a stream.
    pub(super) fn go_on(
        &self,
        call: &RoutedCall,
        fault: RouteFault,
        now: Duration,
    ) -> Option<RouteChoice> {
        if !call.begun() || !matches!(fault, RouteFault::Broken | RouteFault::Silent) {
            return None;
        }
        let server = self.copy_of(call)?;
        let state = self.pools.get(&call.call.pool)?;
        let running = state.servers.get(&server)?.load.running(&self.options, now);
        Some(RouteChoice {
            server,
            reason: RouteReason::Copy,
            cost_ms: 0.0,
            expected: Duration::ZERO,
            uncached: 0,
            backup: None,
            fetch: None,
            running,
            eligible: 1,
            ahead: 0.0,
        })
    }
}
