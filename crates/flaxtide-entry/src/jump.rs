//! Clock jumps: after the machine was suspended or the process stalled, everything that this
//! instance knows is older than it seems.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use crate::instance::TICK_INTERVAL;
use crate::state::TrafficState;

/// Two ticks that are this far apart show a clock jump. A busy instance with an eighth of a core
/// may be late by some hundred milliseconds.
const MIN_JUMP: Duration = Duration::from_secs(1);

/// How long an instance isn't ready after a clock jump, so that it can read changed rules and
/// servers and receive its peers' data first.
const REJOIN_DELAY: Duration = Duration::from_secs(1);

/// A timer that fires this late shows that the process stalled or had no CPU time, so data that
/// has arrived may still be unread.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(250);

/// How long reading the data that has arrived may take.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// Whether the traffic thread is late, from the time between two ticks.
#[derive(Debug)]
pub(crate) struct TickLateness {
    /// The time of the last tick.
    last_tick: Cell<Duration>,
    /// Whether that tick was late.
    was_late: Cell<bool>,
    /// A tick that follows the one before after this time is late: the process was suspended, or
    /// gets too little processor time.
    late_after: Duration,
}

impl TickLateness {
    /// Creates the lateness of a thread whose first tick follows `now`. Ticks may be late by
    /// `tolerance`.
    pub(crate) fn new(now: Duration, tolerance: Duration) -> Self {
        Self {
            last_tick: Cell::new(now),
            was_late: Cell::new(false),
            late_after: TICK_INTERVAL + tolerance,
        }
    }

    /// Returns whether the thread is late, or was until its last tick.
    pub(crate) fn is_late(&self, now: Duration) -> bool {
        self.was_late.get() || now.saturating_sub(self.last_tick.get()) >= self.late_after
    }

    /// Records a tick. Returns the time since the one before.
    fn record_tick(&self, now: Duration) -> Duration {
        let span = now.saturating_sub(self.last_tick.replace(now));
        self.was_late.set(span >= self.late_after);
        span
    }
}

/// Handles a tick: records whether it is late, and adjusts the state to a clock jump before more
/// requests are sent.
pub(crate) fn handle_tick(state: &TrafficState) {
    let now = state.now();
    let span = state.lateness.record_tick(now);
    let open = state.pending_requests();
    if let Some(limited) = state.admission.record_tick(span, open) {
        let span_ms = span.as_millis() as u64;
        log::info!(limited, open, span_ms; "connections limited by the processor");
    }
    if span >= MIN_JUMP {
        handle_jump(state, span, now);
    }
}

/// Adjusts timers, connections and the time-outs of silent servers to a clock jump. The ages of
/// peers' data, rate windows and heartbeats need no adjustment, because they are measured on a
/// clock that has jumped too.
fn handle_jump(state: &TrafficState, span: Duration, now: Duration) {
    state.metrics.time_jumps.inc();
    log::warn!(span_ms = span.as_millis() as u64; "clock jumped");
    state.not_ready_until.set(now + REJOIN_DELAY);
    state.connections.close_all_idle();
    state.with_router(|core, now| core.discount_stall(span, now));
    state.clock_jumped.notify_waiters();
}

impl TrafficState {
    /// Waits for a future until a time on the clock; returns `None` if it isn't done by then.
    /// Timers don't count the time of a suspension, so the time is checked again after a clock
    /// jump. After a late timer, the future gets some more time to read what has arrived.
    pub(crate) async fn wait_until<Output>(
        &self,
        mut until: Duration,
        future: impl Future<Output = Output>,
    ) -> Option<Output> {
        let mut future = pin!(future);
        loop {
            let remaining = until.saturating_sub(self.now());
            let jumped = self.clock_jumped.notified();
            let timer_fired = tokio::select! {
                biased;
                output = &mut future => return Some(output),
                () = tokio::time::sleep(remaining) => true,
                () = jumped => false,
            };
            let now = self.now();
            if now >= until + LATE_TIMER_THRESHOLD {
                until = now + CATCH_UP_TIME;
            } else if timer_fired {
                return None;
            }
        }
    }
}
