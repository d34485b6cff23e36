//! Prompt parts that servers have begun to answer, and requests that they have answered, which so
//! don't crash them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use flaxtide_policy::CrashReport;

use crate::exchange::CallerRequest;
use crate::open_call::OpenCall;

/// How long a stream must have gone on to prove the parts of its prompt: a server that crashes
/// as it begins to respond may have written its first events.
const PROOF_SPAN: Duration = Duration::from_millis(100);

/// A part that was proven this recently isn't suspected when a server crashes: the parts that
/// most requests have would otherwise be suspected and cleared in each crash.
const RECENT_PROOF: Duration = Duration::from_millis(500);

/// The most parts whose proof is remembered.
const MAX_PROVEN: usize = 4096;

/// A request that a server answered this recently isn't suspected when a server crashes. Requests
/// that come often run at most crashes of a small service, beside those that cause them.
const RECENT_ANSWER: Duration = Duration::from_secs(5);

/// The most requests whose answer is remembered.
const MAX_ANSWERED: usize = 4096;

/// The parts that were proven, and what is still to be told of suspected ones.
#[derive(Debug, Default)]
pub(crate) struct PartProofs {
    /// When each part was last proven.
    proven: RefCell<HashMap<u64, Duration>>,
    /// When old proofs were last removed.
    last_expiry: Cell<Duration>,
    /// Reports for peers, and when they are due.
    delayed: RefCell<Vec<(Duration, Vec<CrashReport>)>>,
}

impl PartProofs {
    /// Records that a part was proven.
    pub(crate) fn record(&self, part: u64, now: Duration) {
        if now >= self.last_expiry.get() + RECENT_PROOF {
            self.last_expiry.set(now);
            let mut proven = self.proven.borrow_mut();
            proven.retain(|_, at| now < *at + RECENT_PROOF);
        }
        let mut proven = self.proven.borrow_mut();
        if proven.len() < MAX_PROVEN || proven.contains_key(&part) {
            proven.insert(part, now);
        }
    }

    /// Returns whether a part was proven just now.
    pub(crate) fn is_recent(&self, part: u64, now: Duration) -> bool {
        let proven = self.proven.borrow();
        proven.get(&part).is_some_and(|at| now < *at + RECENT_PROOF)
    }

    /// Keeps reports for peers until a time, unless a peer tells the same before.
    pub(crate) fn delay(&self, reports: Vec<CrashReport>, until: Duration) {
        self.delayed.borrow_mut().push((until, reports));
    }

    /// Drops delayed reports of which a peer has told the same.
    pub(crate) fn drop_told(&self, told: &[CrashReport]) {
        let mut delayed = self.delayed.borrow_mut();
        if delayed.is_empty() {
            return;
        }
        let told = told.iter().filter(|report| report.cleared);
        let told: HashSet<_> =
            told.map(|report| (report.fingerprint, report.server)).collect();
        for (_, reports) in delayed.iter_mut() {
            reports.retain(|report| !told.contains(&(report.fingerprint, report.server)));
        }
        delayed.retain(|(_, reports)| !reports.is_empty());
    }

    /// Removes and returns the delayed reports that are due.
    pub(crate) fn take_due(&self, now: Duration) -> Vec<CrashReport> {
        let mut delayed = self.delayed.borrow_mut();
        let due = delayed.extract_if(.., |(at, _)| now >= *at);
        due.flat_map(|(_, reports)| reports).collect()
    }
}

/// The requests that servers have answered lately, by their digests.
#[derive(Debug, Default)]
pub(crate) struct AnsweredRequests {
    /// When each request was last answered.
    answered: RefCell<HashMap<u64, Duration>>,
    /// When old answers were last removed.
    last_expiry: Cell<Duration>,
}

impl AnsweredRequests {
    /// Records that a request got a whole answer.
    pub(crate) fn record(&self, request: &CallerRequest, now: Duration) {
        let mut answered = self.answered.borrow_mut();
        if now >= self.last_expiry.get() + RECENT_ANSWER {
            self.last_expiry.set(now);
            answered.retain(|_, at| now < *at + RECENT_ANSWER);
        }
        let digest = request.digest();
        if answered.len() < MAX_ANSWERED || answered.contains_key(&digest) {
            answered.insert(digest, now);
        }
    }

    /// Returns whether a request got a whole answer lately.
    pub(crate) fn is_recent(&self, request: &CallerRequest, now: Duration) -> bool {
        let answered = self.answered.borrow();
        let at = answered.get(&request.digest());
        at.is_some_and(|at| now < *at + RECENT_ANSWER)
    }
}

/// When a stream proves the parts of its prompt.
#[derive(Debug, Default)]
pub(crate) struct StreamProof {
    /// When the current server's first events arrived.
    began: Option<Duration>,
}

impl StreamProof {
    /// Records that another server continues the stream.
    pub(crate) fn begin_part(&mut self) {
        self.began = None;
    }

    /// Records events of the stream that answers a request.
    pub(crate) fn record_events(&mut self, call: &OpenCall, request: &CallerRequest) {
        if call.parts_proven.get() || request.shared_parts.is_empty() {
            return;
        }
        let now = call.state.now();
        let began = *self.began.get_or_insert(now);
        if now >= began + PROOF_SPAN {
            call.parts_proven.set(true);
            call.state
                .quarantine
                .prove_parts(&call.state, request, call.sent_at());
        }
    }
}
