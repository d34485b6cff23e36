//! Jumps of time: the machine was suspended, or the process stood still, and what this instance
//! holds true was so longer ago than it seems.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use crate::state::TrafficState;

/// A tick that comes so much later than the one before is a jump. An instance with an eighth of
/// a core may be late by some hundred milliseconds while it is busy.
const LEAST_JUMP: Duration = Duration::from_secs(1);

/// How long an instance isn't ready after a jump: within it, changes of rules and servers that
/// were told meanwhile are read, and peers are heard.
const REJOIN_TIME: Duration = Duration::from_secs(1);

/// A timer that fires so much later than it was due shows that the process stood still or had no
/// time: what has come meanwhile may not have been read.
const LATE_TIMER: Duration = Duration::from_millis(250);

/// How long what has come meanwhile may take to be read.
const READ_TIME: Duration = Duration::from_millis(200);

/// Notices jumps by the time between two ticks.
#[derive(Debug)]
pub(crate) struct JumpWatch {
    /// When the last tick was.
    last: Duration,
}

impl JumpWatch {
    /// Starts to watch.
    pub(crate) fn new(now: Duration) -> Self {
        Self { last: now }
    }

    /// Handles a tick: if time has jumped, what was known before is judged again before any
    /// work is given out.
    pub(crate) fn tick(&mut self, state: &TrafficState) {
        let now = state.now();
        let span = now.saturating_sub(self.last);
        self.last = now;
        if span >= LEAST_JUMP {
            handle_jump(state, span, now);
        }
    }
}

/// Handles a jump. Ages are counted on a clock that has jumped too, so peers' words, rate windows
/// and heartbeats need nothing; what waits on timers, connections, and the silence of servers do.
fn handle_jump(state: &TrafficState, span: Duration, now: Duration) {
    state.metrics.time_jumps.inc();
    log::warn!(span_ms = span.as_millis() as u64; "time jumped");
    state.rejoined_at.set(now + REJOIN_TIME);
    state.links.close_idle();
    state.with_router(|core, now| core.discount_stall(span, now));
    state.jumped.notify_waiters();
}

impl TrafficState {
    /// Waits for something until a time on the clock; nothing if it hasn't come then. Timers
    /// leave out the time of a suspension, so the clock is asked again after a jump. After a late
    /// timer there is some more time to read what has come.
    pub(crate) async fn wait_until<Outcome>(
        &self,
        mut until: Duration,
        outcome: impl Future<Output = Outcome>,
    ) -> Option<Outcome> {
        let mut outcome = pin!(outcome);
        loop {
            let left = until.saturating_sub(self.now());
            let jumped = self.jumped.notified();
            let over = tokio::select! {
                biased;
                outcome = &mut outcome => return Some(outcome),
                () = tokio::time::sleep(left) => true,
                () = jumped => false,
            };
            let now = self.now();
            if now >= until + LATE_TIMER {
                until = now + READ_TIME;
            } else if over {
                return None;
            }
        }
    }
}
