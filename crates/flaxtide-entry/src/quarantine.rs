//! Requests and prompt parts that crash backend servers, as seen by this instance and its peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{
    CallProgress, CrashLog, CrashReport, Fingerprint, part_fingerprint, part_of,
};
use rand::Rng;
use serde_json::{Value, json};

use crate::exchange::CallerRequest;
use crate::proof::{AnsweredRequests, PartProofs};
use crate::state::TrafficState;

/// How long a starting instance waits for its peers' crash logs. Reachable peers send them
/// within a round of heartbeats; if none does, the instance serves all the same.
const PEER_SYNC_TIMEOUT: Duration = Duration::from_millis(1500);

/// The maximum number of batches of reports queued for the fleet thread, which accepts hundreds
/// of batches per second.
const MAX_UNSENT: usize = 256;

/// The longest delay before peers are told that a part is no longer suspected, for each instance
/// in the fleet. Every instance that serves the part finds this out at about the same time, and
/// the first one that tells saves the others the message.
const CLEAR_DELAY_PER_INSTANCE: Duration = Duration::from_millis(1);

/// The most parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// How long a request that is tried is waited for before it may be tried again.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// How often entries are removed whose requests haven't been seen for long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// The most parts of one request that are suspected when its server crashes.
const MAX_SUSPECTED_PARTS: usize = 64;

/// The requests and parts that crash servers, as known to the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct CallQuarantine {
    /// Suspected and quarantined requests and parts.
    log: RefCell<CrashLog>,
    /// The parts that servers have begun to answer.
    proofs: PartProofs,
    /// The requests that servers have answered.
    answered: AnsweredRequests,
    /// Reports that the fleet thread hasn't accepted yet, and when they were made.
    unsent: RefCell<Vec<(Duration, Vec<CrashReport>)>>,
    /// When quarantined requests were last tried.
    trials: RefCell<HashMap<Fingerprint, Duration>>,
    /// Whether a peer has sent its crash log, or there are no peers.
    synced: Cell<bool>,
    /// When old entries were last removed.
    last_expiry: Cell<Duration>,
    /// Whether the log has changed since the metrics were updated.
    changed: Cell<bool>,
}

impl CallQuarantine {
    /// Creates an empty quarantine. `has_peers` tells whether there may be peers that know more.
    pub(crate) fn new(has_peers: bool) -> Self {
        Self { synced: Cell::new(!has_peers), ..Self::default() }
    }

    /// Returns whether a request must not be sent to any server, because it or one of its parts
    /// is quarantined.
    pub(crate) fn is_quarantined(&self, request: &CallerRequest) -> bool {
        self.find_quarantined(request).is_some()
    }

    /// Returns whether a quarantined request may be sent to a server, to find out whether it
    /// crashes it: it can't be told from others by its crashes, and this instance is the one to
    /// try it. Records that it is tried.
    pub(crate) fn begin_trial(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
    ) -> bool {
        let fingerprint = request.fingerprint();
        let now = state.now();
        let log = self.log.borrow();
        let is_due = log.trial_due(fingerprint).is_some_and(|due| now >= due);
        if !is_due
            || !self.is_held_alone(request)
            || !state.with_router(|core, _| core.owns(fingerprint as u64))
        {
            return false;
        }
        let mut trials = self.trials.borrow_mut();
        trials.retain(|_, began| now < *began + TRIAL_TIMEOUT);
        let is_first = !trials.contains_key(&fingerprint);
        if is_first {
            trials.insert(fingerprint, now);
            log::info!(
                request = request.attempt_id.clone().unwrap_or_default(),
                fingerprint = format!("{fingerprint:032x}");
                "quarantined request tried"
            );
        }
        is_first
    }

    /// Returns whether it isn't certain yet that a quarantined request, or a part of it, crashes
    /// servers: the request can't be told by its crashes from others that ran there, or more may
    /// become known of the last one, such as an answer that clears the part.
    pub(crate) fn is_uncertain(&self, request: &CallerRequest, now: Duration) -> bool {
        let log = self.log.borrow();
        let fingerprint = request.fingerprint();
        let own = log.is_quarantined(fingerprint).then_some(fingerprint);
        let part = log.find_quarantined_part(&request.shared_parts);
        let mut held = own.into_iter().chain(part);
        held.all(|suspect| !log.is_conclusive(suspect, now))
    }

    /// Returns whether a request is quarantined and none of its parts is.
    fn is_held_alone(&self, request: &CallerRequest) -> bool {
        let log = self.log.borrow();
        log.is_quarantined(request.fingerprint())
            && log.find_quarantined_part(&request.shared_parts).is_none()
    }

    /// Returns what keeps a request from being sent to any server, if anything does.
    fn find_quarantined(&self, request: &CallerRequest) -> Option<Fingerprint> {
        let log = self.log.borrow();
        if log.is_empty() {
            return None;
        }
        log.find_quarantined(request.fingerprint(), &request.shared_parts)
    }

    /// Returns whether a server is known to have exited while it ran a request, here or at a peer.
    pub(crate) fn has_crashed(&self, state: &TrafficState, server: ServerId) -> bool {
        let key = state.server_key(server);
        key.is_some_and(|key| self.log.borrow().has_crashed(key))
    }

    /// Records that a server exited while it ran a request. `proven` tells whether it had
    /// responded for so long that no part of the prompt is to blame.
    pub(crate) fn record_crash(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
        server: ServerId,
        progress: CallProgress,
        proven: bool,
    ) {
        let Some(incarnation) = state.server_key(server) else { return };
        let now = state.now();
        let suspects = self.suspects(request, proven, now);
        let reports = suspects.iter().filter_map(|fingerprint| {
            let mut log = self.log.borrow_mut();
            log.record(*fingerprint, incarnation, progress, now)
        });
        let reports: Vec<CrashReport> = reports.collect();
        let parts = suspects.iter().filter_map(|it| part_of(*it));
        let parts: Vec<String> =
            parts.take(MAX_LOGGED_PARTS).map(|part| format!("{part:x}")).collect();
        state.metrics.crashes.inc();
        log::info!(
            request = request.attempt_id.clone().unwrap_or_default(),
            server = state.server_name(server).unwrap_or_default(),
            fingerprint = format!("{:032x}", request.fingerprint()), begun = progress.begun,
            parts = parts.join(","), quarantined = self.is_quarantined(request);
            "server exited while it ran a request"
        );
        self.publish(state, reports);
    }

    /// Returns what may have crashed a server that ran a request: the request, unless another
    /// server has just answered it, and its parts unless they have been proven.
    fn suspects(
        &self,
        request: &CallerRequest,
        proven: bool,
        now: Duration,
    ) -> Vec<Fingerprint> {
        let parts = request.shared_parts.iter().take(MAX_SUSPECTED_PARTS);
        let parts = parts
            .filter(|part| !proven && !self.proofs.is_recent(**part, now))
            .map(|part| part_fingerprint(*part));
        let is_suspected = !self.answered.is_recent(request, now);
        let whole = is_suspected.then(|| request.fingerprint());
        whole.into_iter().chain(parts).collect()
    }

    /// Records that a server to which a request was sent at `sent` has responded to its parts,
    /// which clears them of earlier crashes.
    pub(crate) fn prove_parts(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
        sent: Duration,
    ) {
        let now = state.now();
        for part in &request.shared_parts {
            self.proofs.record(*part, now);
        }
        if self.log.borrow().is_empty() {
            return;
        }
        let reports = request.shared_parts.iter().flat_map(|part| {
            let mut log = self.log.borrow_mut();
            log.clear_part(*part, sent, now)
        });
        let reports: Vec<CrashReport> = reports.collect();
        if !reports.is_empty() {
            self.changed.set(true);
            let longest = CLEAR_DELAY_PER_INSTANCE * state.live_instances.get();
            let delay = longest.mul_f64(state.rng.borrow_mut().random());
            self.proofs.delay(reports, now + delay);
        }
    }

    /// Records that a server to which a request was sent at `sent` has completed it, which clears
    /// it and its parts of suspicion.
    pub(crate) fn clear(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
        sent: Duration,
    ) {
        self.prove_parts(state, request, sent);
        self.answered.record(request, state.now());
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

    /// Extends the quarantine of a request, or of its part, that has come again. Returns what is
    /// quarantined.
    pub(crate) fn renew(
        &self,
        state: &TrafficState,
        request: &CallerRequest,
    ) -> Fingerprint {
        let found = self.find_quarantined(request);
        let fingerprint = found.unwrap_or_else(|| request.fingerprint());
        let reports = self.log.borrow_mut().renew(fingerprint, state.now());
        self.publish(state, reports);
        fingerprint
    }

    /// Releases what an operator has found to be sound: it is cleared of all crashes so far, here
    /// and at all peers. Returns whether it was suspected.
    pub(crate) fn release(&self, state: &TrafficState, fingerprint: Fingerprint) -> bool {
        let reports = self.log.borrow_mut().clear(fingerprint, state.now());
        if reports.is_empty() {
            return false;
        }
        log::warn!(suspect = suspect_name(fingerprint); "released by an operator");
        self.publish(state, reports);
        true
    }

    /// Returns what is quarantined, for operators.
    pub(crate) fn list(&self, now: Duration) -> Value {
        let log = self.log.borrow();
        let entries = log.quarantined().into_iter().map(|fingerprint| {
            let (seen, crashes) = log.evidence(fingerprint).unwrap_or_default();
            json!({
                "suspect": suspect_name(fingerprint),
                "crashes": crashes,
                "seen_ms_ago": now.saturating_sub(seen).as_millis() as u64,
            })
        });
        Value::Array(entries.collect())
    }

    /// Applies reports from peers.
    pub(crate) fn apply_reports(&self, state: &TrafficState, reports: &[CrashReport]) {
        let now = state.now();
        for report in reports {
            self.log.borrow_mut().apply(report, now);
        }
        self.proofs.drop_told(reports);
        self.changed.set(true);
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
        self.publish(state, self.proofs.take_due(now));
        if now >= self.last_expiry.get() + EXPIRY_INTERVAL {
            self.last_expiry.set(now);
            self.log.borrow_mut().expire(now);
            self.changed.set(true);
        }
        if self.changed.take() {
            self.update_metrics(state);
        }
    }

    /// Publishes reports to peers.
    fn publish(&self, state: &TrafficState, reports: Vec<CrashReport>) {
        if !reports.is_empty() {
            self.send(state, state.now(), reports);
            self.changed.set(true);
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

/// The prefix of the name of a suspected part.
const PART_PREFIX: &str = "part-";

/// Returns the name of a suspect for operators: `part-` and the key of a part, or the fingerprint
/// of a request, both in hexadecimal.
fn suspect_name(fingerprint: Fingerprint) -> String {
    match part_of(fingerprint) {
        Some(part) => format!("{PART_PREFIX}{part:x}"),
        None => format!("{fingerprint:032x}"),
    }
}

/// Returns the suspect with a name, or `None` if no suspect can have it.
pub(crate) fn parse_suspect(name: &str) -> Option<Fingerprint> {
    match name.strip_prefix(PART_PREFIX) {
        Some(part) => u64::from_str_radix(part, 16).ok().map(part_fingerprint),
        None => Fingerprint::from_str_radix(name, 16).ok(),
    }
}
