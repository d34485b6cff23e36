//! At which versions of their services streams have begun: notes those of this instance, tells
//! them to peers, and finds out those of streams that callers take up again.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::MilliClock;
use flaxtide_fleet::{PendingQuestion, VersionExchange, VersionQuestion, fleet_key};
use flaxtide_policy::{
    AskedPeers, ServiceKey, StreamKey, VersionAnswer, VersionDecision, VersionKey,
    VersionNote, VersionPoll, VersionRegistry, VersionView,
};
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::contract::{CallKind, RequestClass, RequestHead};
use crate::open_call::OpenCall;
use crate::reply::LocalReply;
use crate::state::TrafficState;
use crate::version_counts::ListedServices;

/// How long a caller waits at most for what peers know of its stream.
const DECISION_TIMEOUT: Duration = Duration::from_millis(500);

/// The most notes that wait to be told, and questions that wait to be asked.
const MAX_QUEUED: usize = 4096;

/// How long no stream begins at a new version, as a multiple of the time in which the list of
/// servers is current at all instances. The rest is for the way of the rows to the router.
const SETTLING_FACTOR: f64 = 1.25;

/// Without a deadline of its own, a caller is taken to come back to a stream for this many times
/// the time-out of its class.
const LIFE_TIMEOUTS: u32 = 2;

/// The versions of each service at which no streams begin yet.
pub(crate) type SettlingVersions = HashMap<ServiceKey, BTreeSet<VersionKey>>;

/// What an instance knows of the versions of streams, shared by the traffic thread and the fleet
/// thread.
pub(crate) struct StreamVersions {
    /// The clock of all times in `state`.
    clock: MilliClock,
    /// A list of servers that includes all changes up to this long ago is current.
    current_within: Duration,
    /// The mutable state behind the lock.
    state: Mutex<VersionsState>,
    /// Wakes the fleet thread for new questions.
    asked: Arc<Notify>,
}

/// The notes and the questions.
#[derive(Default)]
struct VersionsState {
    /// The versions of services and streams.
    registry: VersionRegistry,
    /// The time up to which the list of servers is complete.
    covered_until: Option<Duration>,
    /// The notes that haven't been told yet.
    untold: Vec<VersionNote>,
    /// The questions that haven't been asked yet.
    questions: Vec<PendingQuestion>,
}

/// What an instance decides together with its peers.
#[derive(Debug, Clone, Copy)]
struct PeerDecision {
    /// The decision.
    decision: VersionDecision,
    /// How many peers have answered.
    answered: usize,
}

/// Identifies a stream that may be continued elsewhere, among its caller's attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamIdentity {
    /// The service.
    service: ServiceKey,
    /// The stream.
    stream: StreamKey,
    /// For how long after the request was received its caller may come back.
    life: Duration,
}

impl StreamIdentity {
    /// Returns the identity of the stream that a request begins or continues, or `None` if it
    /// can't be continued.
    pub(crate) fn new(
        class: &RequestClass,
        service: &str,
        head: &RequestHead,
    ) -> Option<Self> {
        if class.kind != (CallKind::Stream { resumable: true }) {
            return None;
        }
        let resumed = head.resumed.as_ref();
        let first = resumed.and_then(|resumed| resumed.first_attempt.as_ref());
        let attempt = first.or(head.attempt_id.as_ref())?;
        Some(Self {
            service: fleet_key(service),
            stream: xxh3_64(attempt.as_bytes()),
            life: head.deadline.unwrap_or(class.timeout * LIFE_TIMEOUTS),
        })
    }
}

impl StreamVersions {
    /// Creates the state of an instance that knows nothing. The list of servers is current if
    /// it includes all changes up to `current_within` ago.
    pub(crate) fn new(clock: MilliClock, current_within: Duration) -> Self {
        Self {
            clock,
            current_within,
            state: Mutex::default(),
            asked: Arc::default(),
        }
    }

    /// Records that the list of servers that has been applied is complete up to a time on the
    /// clock of this state.
    pub(crate) fn record_covered(&self, until: Duration) {
        let mut state = self.lock();
        state.covered_until = state.covered_until.max(Some(until));
    }

    /// Sets the versions of all services, each with the number of its servers in service.
    pub(crate) fn set_listed(&self, services: &ListedServices) {
        let now = self.clock.now();
        let mut state = self.lock();
        for (service, listed) in services {
            if state.registry.set_listed(*service, listed, now) {
                // From now on it has to be known which version began a stream.
                let notes = state.registry.own_notes(now);
                log::info!(service, notes = notes.len(); "several versions listed");
                state.queue_notes(&notes);
            }
        }
    }

    /// Returns the versions that other instances may not have listed yet. They learn of it
    /// within the time in which the list is current.
    pub(crate) fn settling(&self, services: &ListedServices) -> SettlingVersions {
        let now = self.clock.now();
        let grace = self.current_within.mul_f64(SETTLING_FACTOR);
        let state = self.lock();
        let settling = |service: &ServiceKey| {
            (*service, state.registry.settling(*service, grace, now))
        };
        let settling = services.keys().map(settling);
        settling.filter(|(_, versions)| !versions.is_empty()).collect()
    }

    /// Notes the version at which a stream runs.
    pub(crate) fn note(&self, identity: StreamIdentity, version: VersionKey) {
        let now = self.clock.now();
        let mut state = self.lock();
        let StreamIdentity { service, stream, life } = identity;
        state.registry.note_own(stream, version, life, now);
        if state.registry.view(service, now) == VersionView::Several {
            let life_s = u16::try_from(life.as_secs() + 1).unwrap_or(u16::MAX);
            state.queue_notes(&[VersionNote { stream, version, life_s }]);
        }
    }

    /// Forgets a stream that is complete.
    pub(crate) fn forget(&self, identity: StreamIdentity) {
        self.lock().registry.forget(identity.stream);
    }

    /// Removes expired notes. Returns how many are left.
    pub(crate) fn expire(&self) -> usize {
        let now = self.clock.now();
        let mut state = self.lock();
        state.registry.expire(now);
        state.registry.note_count()
    }

    /// Returns the version at which a stream may be continued, as far as this instance is
    /// certain, and otherwise a receiver for what it decides together with its peers.
    fn find(
        &self,
        identity: StreamIdentity,
    ) -> Result<(VersionKey, &'static str), oneshot::Receiver<PeerDecision>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let StreamIdentity { service, stream, .. } = identity;
        let own = state.answer(service, stream, self.current_within, now);
        let window = state.registry.window();
        if let Some(VersionDecision::Bound(version)) =
            VersionPoll::new(own, window, AskedPeers::default()).certain()
        {
            return Ok((version, if own.noted.is_some() { "noted" } else { "sole" }));
        }
        let (sender, receiver) = oneshot::channel();
        if state.questions.len() < MAX_QUEUED {
            state.questions.push(PendingQuestion {
                question: VersionQuestion { service, stream },
                own,
                window,
                decide: Box::new(|decision, answered| {
                    // The caller may have left.
                    let _ = sender.send(PeerDecision { decision, answered });
                }),
            });
            self.asked.notify_one();
        }
        Err(receiver)
    }

    /// Returns for how long a service is known to have had a single version, in milliseconds, or -1 if
    /// it has several or none.
    fn known_ms(&self, service: ServiceKey) -> i64 {
        match self.lock().registry.view(service, self.clock.now()) {
            VersionView::Sole(_, known_ms) => known_ms.into(),
            VersionView::Unlisted | VersionView::Several => -1,
        }
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, VersionsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VersionsState {
    /// Answers which version began a stream.
    fn answer(
        &self,
        service: ServiceKey,
        stream: StreamKey,
        current_within: Duration,
        now: Duration,
    ) -> VersionAnswer {
        let is_current =
            self.covered_until.is_some_and(|until| now <= until + current_within);
        self.registry.answer(service, stream, is_current, now)
    }

    /// Queues notes for the replicas. What doesn't fit isn't told.
    fn queue_notes(&mut self, notes: &[VersionNote]) {
        let room = MAX_QUEUED.saturating_sub(self.untold.len());
        let fitting = &notes[..notes.len().min(room)];
        self.untold.extend_from_slice(fitting);
        if fitting.len() < notes.len() {
            let dropped = notes.len() - fitting.len();
            log::warn!(dropped; "queue of version notes is full, notes dropped");
        }
    }
}

impl VersionExchange for StreamVersions {
    fn receive(&self, notes: &[VersionNote]) {
        let now = self.clock.now();
        self.lock().registry.note_told(notes, now);
    }

    fn answer(&self, questions: &[VersionQuestion]) -> Vec<VersionAnswer> {
        let now = self.clock.now();
        let state = self.lock();
        let answer = |question: &VersionQuestion| {
            state.answer(question.service, question.stream, self.current_within, now)
        };
        questions.iter().map(answer).collect()
    }

    fn is_telling(&self) -> bool {
        let now = self.clock.now();
        self.lock().registry.has_several(now)
    }

    fn take_notes(&self) -> Vec<VersionNote> {
        std::mem::take(&mut self.lock().untold)
    }

    fn all_notes(&self) -> Vec<VersionNote> {
        let now = self.clock.now();
        self.lock().registry.own_notes(now)
    }

    fn take_questions(&self) -> Vec<PendingQuestion> {
        std::mem::take(&mut self.lock().questions)
    }

    fn question_notifier(&self) -> Arc<Notify> {
        self.asked.clone()
    }
}

impl OpenCall {
    /// Binds a stream that has begun to the version of its server, and notes it. `stated` is the version that
    /// a peer has stated. Returns the version, if it is known.
    pub(crate) fn bind_version(&self, stated: Option<VersionKey>) -> Option<VersionKey> {
        let version = self
            .state
            .with_router(|core, _| core.bind_version(self.request_id, stated));
        if let (Some(stream), Some(version)) = (self.stream, version) {
            self.state.versions.note(stream, version);
        }
        version
    }

    /// Returns the id of the attempt whose stream the caller takes up, for log lines.
    pub(crate) fn resumes(&self) -> &str {
        let first = self.resumed.as_ref().map(|resumed| &resumed.first_attempt);
        first.map_or("", |first| first.as_deref().unwrap_or("unnamed"))
    }
}

/// Finds out at which version a stream is to be continued that a caller takes up again. Returns
/// `None` for a request that begins one.
///
/// # Errors
///
/// Returns the refusal if it can't be found out.
pub(crate) async fn find_version(
    state: &TrafficState,
    identity: Option<StreamIdentity>,
    head: &RequestHead,
) -> Result<Option<VersionKey>, LocalReply> {
    let (Some(identity), Some(resumed)) = (identity, &head.resumed) else {
        return Ok(None);
    };
    let asked = state.now();
    let mut answered = 0;
    let (version, source) = match state.versions.find(identity) {
        Ok((version, source)) => (Some(version), source),
        Err(decision) => {
            let decided = state.wait_until(asked + DECISION_TIMEOUT, decision).await;
            let decided = decided.and_then(Result::ok);
            answered = decided.map_or(0, |decided| decided.answered);
            match decided.map(|decided| decided.decision) {
                Some(VersionDecision::Bound(version)) => (Some(version), "peers"),
                Some(VersionDecision::Agreed(version)) => (Some(version), "agreed"),
                Some(VersionDecision::Unknown) | None => (None, "unknown"),
            }
        }
    };
    state.metrics.resumed_streams.with_label_values(&[source]).inc();
    log::info!(
        request = head.attempt_id.as_deref().unwrap_or_default(),
        resumes = resumed.first_attempt.as_deref().unwrap_or_default(),
        version_key = version.unwrap_or_default(), source, answered,
        known_ms = state.versions.known_ms(identity.service),
        spent_ms = state.now().saturating_sub(asked).as_millis() as u64;
        "stream taken up"
    );
    version.map(Some).ok_or(LocalReply::VersionUnknown)
}
