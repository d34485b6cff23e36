//! Requests that wait for a server: dispatched in queue order while there is room, and
//! refused once their response would come too late.

use std::time::Duration;

use flaxtide_core::{PoolId, RequestId};

use super::call::{CallPhase, RoutedCall};
use super::choose::RouteChoice;
use super::{RefusalCause, RouteAction, RouteCore};

impl RouteCore {
    /// Refuses the requests of a pool that are still waiting after their give-up time.
    pub(super) fn refuse_expired(&mut self, pool: PoolId, now: Duration) {
        let late = |call: &RoutedCall| {
            call.details.pool == pool
                && matches!(call.phase, CallPhase::Waiting)
                && now >= call.details.give_up
        };
        let mut requests: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| late(call))
            .map(|(request, _)| *request)
            .collect();
        requests.sort_unstable();
        for request in requests {
            let retry_after = self.drain_time(pool);
            if let Some(call) = self.calls.remove(&request) {
                self.release(&call, now);
            }
            let reason = RefusalCause::TooLate;
            let expected = None;
            self.actions.push(RouteAction::Refuse {
                request,
                reason,
                retry_after,
                expected,
            });
        }
    }

    /// Returns how long the queue of a pool takes to drain, as a retry-after time for
    /// callers.
    fn drain_time(&self, pool: PoolId) -> Duration {
        let Some(state) = self.pools.get(&pool) else {
            return self.options.no_server_retry;
        };
        let span = state.service_time.get().unwrap_or(1.0);
        let seconds =
            span * state.queue.len() as f64 / state.servers.slots().max(1) as f64;
        Duration::from_secs_f64(seconds)
            .clamp(self.options.shortest_retry, self.options.longest_retry)
    }

    /// Dispatches the waiting requests of a pool in queue order while servers have room.
    pub(super) fn dispatch_queued(&mut self, pool: PoolId, now: Duration) {
        self.dispatch_retries(pool, now);
        loop {
            let Some(state) = self.pools.get(&pool) else { return };
            let Some(head) = state.queue.next() else { return };
            let request = head.entry.request;
            let Some(choice) = self.choose(pool, request, now) else {
                if self.no_server_in_time(request, now) {
                    if let Some(state) = self.pools.get_mut(&pool) {
                        state.queue.pop(&head, 1, now);
                    }
                    self.refuse_unavailable(request, now);
                    continue;
                }
                return;
            };
            if let Some(state) = self.pools.get_mut(&pool) {
                state.queue.pop(&head, 1, now);
            }
            if self.would_respond_late(request, &choice) {
                self.refuse_early(request, choice.expected);
                continue;
            }
            self.dispatch(request, choice, now);
        }
    }

    /// Returns whether even the best server would respond too late.
    fn would_respond_late(&self, request: RequestId, choice: &RouteChoice) -> bool {
        let Some(call) = self.calls.get(&request) else { return false };
        choice.expected > call.details.target.mul_f64(self.options.admit_factor)
    }

    /// Refuses a request that hasn't been sent, with a retry-after time by which the
    /// servers should have prefilled their current prompts.
    fn refuse_early(&mut self, request: RequestId, expected: Duration) {
        self.calls.remove(&request);
        let retry_after =
            (expected * 2).clamp(self.options.shortest_retry, self.options.longest_retry);
        let reason = RefusalCause::TooLate;
        let expected = Some(expected);
        self.actions
            .push(RouteAction::Refuse { request, reason, retry_after, expected });
    }
}
