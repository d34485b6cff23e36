//! Signals: a planned stop, and a changed instance file.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::{Receiver, Sender};

use crate::config::EntryConfig;
use crate::state::{LifePhase, TrafficState};

/// How long a stopping instance goes on as before, so that the balancer, which asks once a
/// second and believes the second miss, has noticed.
const BALANCER_NOTICE: Duration = Duration::from_millis(2300);

/// A stream that starts later than this may not end before the process must.
const LAST_STREAMS: Duration = Duration::from_millis(2800);

/// A call that starts with less time than this before the process must end is refused.
pub(crate) const LAST_CALLS: Duration = Duration::from_millis(2000);

/// What is left of the time for a stop when the last requests are cut.
const STOP_SLACK: Duration = Duration::from_millis(350);

/// How often a stopping instance looks whether it is done.
const DRAIN_PERIOD: Duration = Duration::from_millis(50);

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalEvent {
    /// To stop.
    Stop,
    /// To read the instance file anew.
    Reload,
}

/// Waits for signals until nobody listens.
pub(crate) fn watch_signals(mut signals: Signals, events: &Sender<SignalEvent>) {
    for signal in signals.forever() {
        let event =
            if signal == SIGHUP { SignalEvent::Reload } else { SignalEvent::Stop };
        if events.blocking_send(event).is_err() {
            return;
        }
    }
}

/// Registers for the signals of an instance.
///
/// # Errors
///
/// Returns the fault if they can't be had.
pub(crate) fn register_signals() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Takes in signals; returns once the instance has stopped.
pub(crate) async fn handle_signals(
    state: &Rc<TrafficState>,
    path: &Path,
    events: &mut Receiver<SignalEvent>,
) {
    while let Some(SignalEvent::Reload) = events.recv().await {
        reload(state, path, "signal");
    }
    stop(state).await;
}

/// Reads the instance file anew, if it differs.
pub(crate) fn reload(state: &TrafficState, path: &Path, cause: &'static str) {
    match EntryConfig::read(path) {
        Ok(config) if config == **state.config.borrow() => {}
        Ok(config) => {
            *state.config.borrow_mut() = Rc::new(config);
            state.update_router_servers();
            log::info!(cause; "instance file in force");
        }
        Err(fault) => {
            log::error!(cause, fault = fault.to_string(); "instance file rejected");
        }
    }
}

/// Stops in order: not ready, then no kept connections, then nothing in flight.
async fn stop(state: &Rc<TrafficState>) {
    let start = state.now();
    let most = start + state.config().stop_within.saturating_sub(STOP_SLACK);
    log::info!(open = state.open.get() as u64; "stopping: not ready any more");
    state.enter(LifePhase::Leaving);
    state.fleet.leave();
    if let Some(board) = &state.duties {
        board.stop();
    }
    tokio::time::sleep(BALANCER_NOTICE).await;
    state.enter(LifePhase::Closing);
    tokio::time::sleep(LAST_STREAMS - BALANCER_NOTICE).await;
    state.end_by.set(Some(most));
    loop {
        while state.open.get() > 0 && state.now() < most {
            tokio::time::sleep(DRAIN_PERIOD).await;
        }
        // Answers leave the sockets. What comes meanwhile is refused, and so isn't cut.
        state.end_by.set(Some(state.now()));
        tokio::time::sleep(DRAIN_PERIOD).await;
        if state.open.get() == 0 || state.now() >= most {
            break;
        }
    }
    let spent = state.now().saturating_sub(start).as_millis() as u64;
    log::info!(cut = state.open.get() as u64, spent_ms = spent; "stopped");
}
