//! Requests that crash the servers that run them, as this instance and its peers have seen.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{CallProgress, CrashLog, CrashReport};

use crate::exchange::CallerRequest;
use crate::state::TrafficState;

/// How long an instance that starts waits for its peers to tell which requests crash servers.
/// Peers in reach do so within a round of heartbeats; without any it serves all the same.
const PEERS_WAIT: Duration = Duration::from_millis(1500);

/// How many groups of reports wait for the fleet thread at most, which takes hundreds a second.
const MOST_UNSENT: usize = 256;

/// How often requests are forgotten that haven't come for long.
const EXPIRY_PERIOD: Duration = Duration::from_secs(10);

/// Which requests crash servers, on the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct CallQuarantine {
    /// What is known.
    log: RefCell<CrashLog>,
    /// Reports that the fleet thread hasn't taken, and when they were made.
    unsent: RefCell<Vec<(Duration, Vec<CrashReport>)>>,
    /// Whether a peer has told what it knows, or there are none.
    informed: Cell<bool>,
    /// When it last looked for requests to be forgotten.
    expired: Cell<Duration>,
}

impl CallQuarantine {
    /// Starts with nothing known. `has_peers` tells whether there may be peers that know more.
    pub(crate) fn new(has_peers: bool) -> Self {
        Self { informed: Cell::new(!has_peers), ..Self::default() }
    }

    /// Returns whether a request is sent to no server.
    pub(crate) fn holds(&self, request: &CallerRequest) -> bool {
        let log = self.log.borrow();
        !log.is_empty() && log.is_quarantined(request.fingerprint())
    }

    /// Records that a server ended while it ran a request.
    pub(crate) fn record(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
        server: ServerId,
        progress: CallProgress,
    ) {
        let Some(start) = state.server_key(server) else { return };
        let fingerprint = request.fingerprint();
        let now = state.now();
        let report = self.log.borrow_mut().record(fingerprint, start, progress, now);
        let quarantined = self.log.borrow().is_quarantined(fingerprint);
        state.metrics.crashes.inc();
        log::info!(
            request = request.attempt.clone().unwrap_or_default(),
            server = state.server_name(server).unwrap_or_default(),
            fingerprint = format!("{fingerprint:032x}"), begun = progress.begun, quarantined;
            "server ended"
        );
        self.tell(state, report.into_iter().collect());
    }

    /// Records that a server has answered a request well.
    pub(crate) fn clear(&self, state: &TrafficState, request: &CallerRequest) {
        if self.log.borrow().is_empty() {
            return;
        }
        let fingerprint = request.fingerprint();
        let reports = self.log.borrow_mut().clear(fingerprint, state.now());
        if !reports.is_empty() {
            log::info!(fingerprint = format!("{fingerprint:032x}"); "request cleared");
            self.tell(state, reports);
        }
    }

    /// Records that a request in quarantine has come again.
    pub(crate) fn renew(&self, state: &TrafficState, request: &CallerRequest) {
        let fingerprint = request.fingerprint();
        let reports = self.log.borrow_mut().renew(fingerprint, state.now());
        self.tell(state, reports);
    }

    /// Handles what peers report.
    pub(crate) fn apply_reports(&self, state: &TrafficState, reports: &[CrashReport]) {
        let now = state.now();
        for report in reports {
            self.log.borrow_mut().apply(report, now);
        }
        self.show(state);
    }

    /// Records whether a peer has told what it knows.
    pub(crate) fn set_synced(&self, informed: bool) {
        self.informed.set(self.informed.get() || informed);
    }

    /// Returns whether it is known which requests crash servers, as far as any peer could tell.
    pub(crate) fn is_synced(&self, now: Duration) -> bool {
        self.informed.get() || now >= PEERS_WAIT
    }

    /// Tells the fleet thread what it hasn't taken, and forgets what is old. To be called often.
    pub(crate) fn maintain(&self, state: &TrafficState) {
        for (at, reports) in self.unsent.take() {
            self.send(state, at, reports);
        }
        let now = state.now();
        if now >= self.expired.get() + EXPIRY_PERIOD {
            self.expired.set(now);
            self.log.borrow_mut().expire(now);
            self.show(state);
        }
    }

    /// Tells peers.
    fn tell(&self, state: &TrafficState, reports: Vec<CrashReport>) {
        if !reports.is_empty() {
            self.send(state, state.now(), reports);
            self.show(state);
        }
    }

    /// Hands reports to the fleet thread, or keeps them until it takes more.
    fn send(&self, state: &TrafficState, at: Duration, reports: Vec<CrashReport>) {
        if !state.fleet.report_crashes(reports.clone(), &state.clock, at) {
            let mut unsent = self.unsent.borrow_mut();
            unsent.push((at, reports));
            let surplus = unsent.len().saturating_sub(MOST_UNSENT);
            unsent.drain(..surplus);
        }
    }

    /// Shows how many requests are known.
    fn show(&self, state: &TrafficState) {
        let log = self.log.borrow();
        state.metrics.suspected.set(log.suspect_count() as i64);
        state.metrics.quarantined.set(log.quarantined().len() as i64);
    }
}
