//! Signals: a planned stop, and a reload of the instance file.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::{Receiver, Sender};

use crate::config::EntryConfig;
use crate::state::{ShutdownPhase, TrafficState};

/// How long a stopping instance goes on serving as before. The load balancer checks readiness
/// once a second and acts on the second failed check.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2300);

/// From this time after the signal on, nothing is begun that may not end before the process does.
const LAST_START: Duration = Duration::from_millis(2800);

/// The process ends this long before the end of the time allowed for a stop.
const STOP_MARGIN: Duration = Duration::from_millis(350);

/// How long before the process ends the requests are answered that are still open.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// How often a stopping instance checks whether all answers are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When the last steps of a planned stop are due, on the clock of the traffic thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopSchedule {
    /// From when on nothing is begun that may not end in time.
    last_start: Duration,
    /// When the requests are answered that are still open.
    answers_due: Duration,
    /// When the process ends.
    ends_at: Duration,
    /// Whether all requests are refused.
    refuses_all: bool,
}

impl StopSchedule {
    /// Creates the schedule of a stop that begins at `now` and may take `stop_within`.
    fn new(now: Duration, stop_within: Duration) -> Self {
        let ends_at = now + stop_within.saturating_sub(STOP_MARGIN);
        Self {
            last_start: now + LAST_START,
            answers_due: ends_at.saturating_sub(ANSWER_MARGIN),
            ends_at,
            refuses_all: false,
        }
    }

    /// Returns whether a request that is answered by `deadline` at the latest mustn't be begun at
    /// `now`. Streams may go on for longer, as what has arrived by their deadline is passed on.
    pub(crate) fn forbids_start(
        self,
        deadline: Duration,
        streams: bool,
        now: Duration,
    ) -> bool {
        let may_be_cut = streams || deadline > self.answers_due;
        self.refuses_all || (now >= self.last_start && may_be_cut)
    }
}

/// The action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalEvent {
    /// Stop the instance.
    Stop,
    /// Reload the instance file.
    Reload,
}

/// Forwards signals until the receiver is dropped.
pub(crate) fn watch_signals(mut signals: Signals, events: &Sender<SignalEvent>) {
    for signal in signals.forever() {
        let event =
            if signal == SIGHUP { SignalEvent::Reload } else { SignalEvent::Stop };
        if events.blocking_send(event).is_err() {
            return;
        }
    }
}

/// Registers the signal handlers of an instance.
///
/// # Errors
///
/// Returns an error if the handlers can't be registered.
pub(crate) fn register_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Handles signals. Returns once the instance has stopped.
pub(crate) async fn handle_signals(
    state: &Rc<TrafficState>,
    path: &Path,
    events: &mut Receiver<SignalEvent>,
) {
    while let Some(SignalEvent::Reload) = events.recv().await {
        reload_config(state, path, "signal");
    }
    stop(state).await;
}

/// Reloads the instance file, if it has changed.
pub(crate) fn reload_config(state: &TrafficState, path: &Path, cause: &'static str) {
    match EntryConfig::read(path) {
        Ok(config) if config == **state.config.borrow() => {}
        Ok(config) => {
            *state.config.borrow_mut() = Rc::new(config);
            state.update_router_servers();
            log::info!(cause; "instance file reloaded");
        }
        Err(error) => {
            log::error!(cause, fault = error.to_string(); "instance file rejected; the previous one stays in force");
        }
    }
}

/// Stops gracefully: reports not ready, closes idle connections, waits until the answers to open
/// requests have been written, and answers those that are left.
async fn stop(state: &Rc<TrafficState>) {
    let start = state.now();
    let schedule = StopSchedule::new(start, state.config().stop_within);
    state.stop_schedule.set(Some(schedule));
    log::info!(open = unfinished_answers(state) as u64; "stopping: readiness withdrawn");
    state.set_phase(ShutdownPhase::Leaving);
    state.fleet.leave();
    if let Some(duties) = &state.duties {
        duties.stop();
    }
    tokio::time::sleep(BALANCER_REACTION_TIME).await;
    state.set_phase(ShutdownPhase::Closing);
    tokio::time::sleep(LAST_START - BALANCER_REACTION_TIME).await;
    loop {
        wait_until_answered(state, schedule.answers_due).await;
        // Lets requests come that callers have already sent. They are refused, so none is cut off.
        state
            .stop_schedule
            .set(Some(StopSchedule { refuses_all: true, ..schedule }));
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if unfinished_answers(state) == 0 || state.now() >= schedule.answers_due {
            break;
        }
    }
    let open = unfinished_answers(state) as u64;
    state.set_phase(ShutdownPhase::Ending);
    wait_until_answered(state, schedule.ends_at).await;
    let spent = state.now().saturating_sub(start).as_millis() as u64;
    log::info!(open, cut = unfinished_answers(state) as u64, spent_ms = spent; "stopped");
}

/// Waits until all answers are written, or until a time.
async fn wait_until_answered(state: &TrafficState, until: Duration) {
    while unfinished_answers(state) > 0 && state.now() < until {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Returns how many requests are being received, wait for their answers, or for the rest of them to
/// be written.
fn unfinished_answers(state: &TrafficState) -> usize {
    state.receiving_calls.get() + state.open_calls.get() + state.unwritten_answers.count()
}

/// Counts a request as being received until it is dropped.
pub(crate) struct ReceivingGuard(Rc<TrafficState>);

impl ReceivingGuard {
    /// Counts a request whose head has been read.
    pub(crate) fn new(state: &Rc<TrafficState>) -> Self {
        state.receiving_calls.set(state.receiving_calls.get() + 1);
        Self(state.clone())
    }
}

impl Drop for ReceivingGuard {
    fn drop(&mut self) {
        self.0.receiving_calls.set(self.0.receiving_calls.get() - 1);
    }
}

impl TrafficState {
    /// Returns whether a request must be refused because the instance is stopping: begun now, it
    /// might not end in time. It is answered by `deadline` at the latest.
    pub(crate) fn is_too_late_to_start(&self, deadline: Duration, streams: bool) -> bool {
        let schedule = self.stop_schedule.get();
        schedule
            .is_some_and(|schedule| schedule.forbids_start(deadline, streams, self.now()))
    }

    /// Waits until open requests must be answered because the process ends.
    pub(crate) async fn wait_until_ending(&self) {
        loop {
            let changed = self.phase_changed.notified();
            if self.phase() == ShutdownPhase::Ending {
                return;
            }
            changed.await;
        }
    }
}
