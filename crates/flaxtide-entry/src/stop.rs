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

/// Streams are refused from this time after the signal on, as they might not end before the
/// process must.
const LAST_STREAM_START: Duration = Duration::from_millis(2800);

/// A request is refused if less than this is left until the process must end.
pub(crate) const MIN_REQUEST_TIME: Duration = Duration::from_millis(2000);

/// The last requests are cut off this long before the end of the time allowed for a stop.
const STOP_MARGIN: Duration = Duration::from_millis(350);

/// How often a stopping instance checks whether all answers are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

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

/// Stops gracefully: reports not ready, closes idle connections, then waits until the answers to
/// open requests have been written.
async fn stop(state: &Rc<TrafficState>) {
    let start = state.now();
    let deadline = start + state.config().stop_within.saturating_sub(STOP_MARGIN);
    log::info!(open = state.open_calls.get() as u64; "stopping: readiness withdrawn");
    state.set_phase(ShutdownPhase::Leaving);
    state.fleet.leave();
    if let Some(duties) = &state.duties {
        duties.stop();
    }
    tokio::time::sleep(BALANCER_REACTION_TIME).await;
    state.set_phase(ShutdownPhase::Closing);
    tokio::time::sleep(LAST_STREAM_START - BALANCER_REACTION_TIME).await;
    state.stop_deadline.set(Some(deadline));
    loop {
        while unfinished_answers(state) > 0 && state.now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // Lets requests come that callers have already sent. They are refused, so none is cut off.
        state.stop_deadline.set(Some(state.now()));
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if unfinished_answers(state) == 0 || state.now() >= deadline {
            break;
        }
    }
    let spent = state.now().saturating_sub(start).as_millis() as u64;
    log::info!(cut = unfinished_answers(state) as u64, spent_ms = spent; "stopped");
}

/// Returns how many calls wait for their answers, or for the rest of them to be written.
fn unfinished_answers(state: &TrafficState) -> usize {
    state.open_calls.get() + state.unwritten_answers.count()
}
