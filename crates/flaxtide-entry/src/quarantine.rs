//! Requests that crash backend servers, as seen by this instance and its peers.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{CallProgress, CrashLog, CrashReport};

use crate::exchange::CallerRequest;
use crate::state::TrafficState;

/// How long a starting instance waits for its peers' crash logs. Reachable peers send them
/// within a round of heartbeats; if none does, the instance serves all the same.
const PEER_SYNC_TIMEOUT: Duration = Duration::from_millis(1500);

/// The maximum number of batches of reports queued for the fleet thread, which accepts hundreds
/// of batches per second.
const MAX_UNSENT: usize = 256;

/// The most parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// How often entries are removed whose requests haven't been seen for long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// The requests that crash servers, as known to the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct CallQuarantine {
    /// Suspected and quarantined requests.
    log: RefCell<CrashLog>,
    /// Reports that the fleet thread hasn't accepted yet, and when they were made.
    unsent: RefCell<Vec<(Duration, Vec<CrashReport>)>>,
    /// Whether a peer has sent its crash log, or there are no peers.
    synced: Cell<bool>,
    /// When old entries were last removed.
    last_expiry: Cell<Duration>,
}

impl CallQuarantine {
    /// Creates an empty quarantine. `has_peers` tells whether there may be peers that know more.
    pub(crate) fn new(has_peers: bool) -> Self {
        Self { synced: Cell::new(!has_peers), ..Self::default() }
    }

    /// Returns whether a request is quarantined, so that it must not be sent to any server.
    pub(crate) fn is_quarantined(&self, request: &CallerRequest) -> bool {
        let log = self.log.borrow();
        !log.is_empty() && log.is_quarantined(request.fingerprint())
    }

    /// Records that a server exited while it ran a request.
    pub(crate) fn record_crash(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
        server: ServerId,
        progress: CallProgress,
    ) {
        let Some(incarnation) = state.server_key(server) else { return };
        let fingerprint = request.fingerprint();
        let now = state.now();
        let report =
            self.log.borrow_mut().record(fingerprint, incarnation, progress, now);
        let quarantined = self.log.borrow().is_quarantined(fingerprint);
        state.metrics.crashes.inc();
        let parts = request.shared_parts.iter().take(MAX_LOGGED_PARTS);
        let parts: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
        log::info!(
            request = request.attempt_id.clone().unwrap_or_default(),
            server = state.server_name(server).unwrap_or_default(),
            fingerprint = format!("{fingerprint:032x}"), begun = progress.begun,
            parts = parts.join(","), quarantined;
            "server exited while it ran a request"
        );
        self.publish(state, report.into_iter().collect());
    }

    /// Records that a server has completed a request, which clears it of suspicion.
    pub(crate) fn clear(&self, state: &TrafficState, request: &CallerRequest) {
        if self.log.borrow().is_empty() {
            return;
        }
        let fingerprint = request.fingerprint();
        let reports = self.log.borrow_mut().clear(fingerprint, state.now());
        if !reports.is_empty() {
            log::info!(fingerprint = format!("{fingerprint:032x}"); "request no longer suspected");
            self.publish(state, reports);
        }
    }

    /// Extends the quarantine of a request that has come again.
    pub(crate) fn renew(&self, state: &TrafficState, request: &CallerRequest) {
        let fingerprint = request.fingerprint();
        let reports = self.log.borrow_mut().renew(fingerprint, state.now());
        self.publish(state, reports);
    }

    /// Applies reports from peers.
    pub(crate) fn apply_reports(&self, state: &TrafficState, reports: &[CrashReport]) {
        let now = state.now();
        for report in reports {
            self.log.borrow_mut().apply(report, now);
        }
        self.update_metrics(state);
    }

    /// Records that a peer has sent its crash log, if `synced`. Once set, it stays set.
    pub(crate) fn set_synced(&self, synced: bool) {
        self.synced.set(self.synced.get() || synced);
    }

    /// Returns whether a peer's crash log has arrived or is no longer waited for. The clock starts
    /// at zero with the instance.
    pub(crate) fn is_synced(&self, now: Duration) -> bool {
        self.synced.get() || now >= PEER_SYNC_TIMEOUT
    }

    /// Retries unsent reports and removes old entries. Called periodically.
    pub(crate) fn maintain(&self, state: &TrafficState) {
        for (at, reports) in self.unsent.take() {
            self.send(state, at, reports);
        }
        let now = state.now();
        if now >= self.last_expiry.get() + EXPIRY_INTERVAL {
            self.last_expiry.set(now);
            self.log.borrow_mut().expire(now);
            self.update_metrics(state);
        }
    }

    /// Publishes reports to peers.
    fn publish(&self, state: &TrafficState, reports: Vec<CrashReport>) {
        if !reports.is_empty() {
            self.send(state, state.now(), reports);
            self.update_metrics(state);
        }
    }

    /// Passes reports to the fleet thread, or keeps them for later if its queue is full.
    fn send(&self, state: &TrafficState, at: Duration, reports: Vec<CrashReport>) {
        if !state.fleet.report_crashes(reports.clone(), &state.clock, at) {
            let mut unsent = self.unsent.borrow_mut();
            unsent.push((at, reports));
            let surplus = unsent.len().saturating_sub(MAX_UNSENT);
            unsent.drain(..surplus);
        }
    }

    /// Updates the metrics of suspected and quarantined requests.
    fn update_metrics(&self, state: &TrafficState) {
        let log = self.log.borrow();
        state.metrics.suspected.set(log.suspect_count() as i64);
        state.metrics.quarantined.set(log.quarantined().len() as i64);
    }
}
