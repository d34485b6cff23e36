//! At which versions of their services streams have begun: notes those of this instance, tells
//! them to peers, keeps them in the platform's table, and finds out those of streams that callers
//! take up again.

mod exchange;
mod find;
mod kept;
mod table;

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use flaxtide_core::MilliClock;
use flaxtide_fleet::{PendingQuestion, VersionQuestion, fleet_key};
use flaxtide_policy::{
    AskedPeers, NoteLog, ServiceKey, StreamKey, VersionAnswer, VersionDecision,
    VersionKey, VersionNote, VersionPoll, VersionRegistry, VersionView,
};
use prometheus::IntGauge;
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use self::find::find_version;
pub(crate) use self::table::VersionTable;
use crate::contract::{CallKind, NoteOwner, RequestClass, RequestHead};
use crate::version_counts::ListedServices;

/// The longest time for which the first events of a stream wait for its note.
const MAX_NOTE_WAIT: Duration = Duration::from_millis(110);

/// First events don't wait if notes are written less often than once in so many of these times: most
/// would wait in vain.
const MAX_WAITS_PER_PERIOD: u32 = 2;

/// For this long after its start, an instance may not have heard all peers, and asks again.
const JOIN_SPAN: Duration = Duration::from_secs(3);

/// The most notes that wait to be told, and questions and look-ups that wait.
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
    /// Whether versions are kept in the platform's table.
    is_kept: AtomicBool,
    /// Whether it has been tried to read the table.
    is_table_tried: AtomicBool,
    /// Whether the last call to the table was answered.
    is_table_answering: AtomicBool,
    /// Whether the records in the table have been read.
    are_records_read: AtomicBool,
    /// Whether the records and the own notes have been read.
    is_loaded: AtomicBool,
    /// The newest known era of the store.
    store_era: AtomicU64,
    /// The number of live instances.
    instances: AtomicU32,
    /// Wakes the thread that keeps versions in the table.
    wake_table: (Sender<()>, Receiver<()>),
    /// Exports how many notes aren't in the table yet.
    unwritten: IntGauge,
}

/// A stream that is looked up in the kept notes of peers that haven't answered, and whose version
/// the record may tell.
struct PendingLookUp {
    /// The stream and its service.
    question: VersionQuestion,
    /// The peers.
    owners: Vec<NoteOwner>,
    /// Receives the decision.
    decide: Box<dyn FnOnce(VersionDecision) + Send>,
}

/// The notes and the questions.
struct VersionsState {
    /// The versions of services and streams.
    registry: VersionRegistry,
    /// The time up to which the list of servers is complete.
    covered_until: Option<Duration>,
    /// The notes that haven't been told yet.
    untold: Vec<VersionNote>,
    /// The questions that haven't been asked yet.
    questions: Vec<PendingQuestion>,
    /// The streams that haven't been looked up yet.
    look_ups: Vec<PendingLookUp>,
    /// The notes in the table.
    log: NoteLog,
    /// The streams whose first events wait until they are in the table.
    unwritten_streams: HashMap<StreamKey, oneshot::Sender<()>>,
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
    pub(crate) fn new(
        clock: MilliClock,
        current_within: Duration,
        unwritten: IntGauge,
    ) -> Self {
        let state = VersionsState {
            registry: VersionRegistry::default(),
            covered_until: None,
            untold: vec![],
            questions: vec![],
            look_ups: vec![],
            log: NoteLog::new(rand::random()),
            unwritten_streams: HashMap::new(),
        };
        Self {
            clock,
            current_within,
            state: Mutex::new(state),
            asked: Arc::default(),
            is_kept: AtomicBool::new(false),
            is_table_tried: AtomicBool::new(false),
            is_table_answering: AtomicBool::new(false),
            are_records_read: AtomicBool::new(false),
            is_loaded: AtomicBool::new(false),
            store_era: AtomicU64::new(0),
            instances: AtomicU32::new(1),
            wake_table: bounded(1),
            unwritten,
        }
    }

    /// Records that the list of servers that has been applied is complete up to a time on the
    /// clock of this state.
    pub(crate) fn record_covered(&self, until: Duration) {
        let mut state = self.lock();
        state.covered_until = state.covered_until.max(Some(until));
    }

    /// Records the era of the store. In a new one, records may lack what was written last.
    pub(crate) fn enter_era(&self, era: u64) {
        if self.store_era.fetch_max(era, Ordering::Relaxed) < era {
            self.wake_table();
        }
    }

    /// Sets the versions of all services, each with the number of its servers in service.
    pub(crate) fn set_listed(&self, services: &ListedServices) {
        let now = self.clock.now();
        let mut state = self.lock();
        for (service, listed) in services {
            if state.registry.set_listed(*service, listed, now) {
                // From now on it has to be known which version began a stream.
                state.registry.note_listed(*service, now);
                let notes = state.registry.own_notes(now);
                log::info!(service, notes = notes.len(); "several versions listed");
                self.queue_notes(&mut state, &notes);
            }
        }
        let is_recorded = state.registry.is_recorded(now)
            && !state.registry.has_to_begin(self.grace(), now);
        drop(state);
        if !is_recorded {
            self.wake_table();
        }
    }

    /// Returns for how long no stream begins at a new version while another one serves.
    fn grace(&self) -> Duration {
        self.current_within.mul_f64(SETTLING_FACTOR)
    }

    /// Returns the versions that other instances may not have listed yet. They learn of it
    /// within the time in which the list is current.
    pub(crate) fn settling(&self, services: &ListedServices) -> SettlingVersions {
        let now = self.clock.now();
        let grace = self.grace();
        let state = self.lock();
        // Which of several versions are marked as begun isn't known before the records are read.
        let is_unread = self.is_kept.load(Ordering::Relaxed)
            && !self.are_records_read.load(Ordering::Relaxed)
            && now < state.registry.window();
        let settling = |service: &ServiceKey| match services.get(service) {
            Some(listed) if is_unread && listed.len() > 1 => {
                (*service, listed.keys().copied().collect())
            }
            _ => (*service, state.registry.settling(*service, grace, now)),
        };
        let settling = services.keys().map(settling);
        settling.filter(|(_, versions)| !versions.is_empty()).collect()
    }

    /// Notes the version at which a stream runs. Returns a receiver that is signalled once the
    /// note is in the platform's table, if it isn't yet and can be soon.
    pub(crate) fn note(
        &self,
        identity: StreamIdentity,
        version: VersionKey,
    ) -> Option<oneshot::Receiver<()>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let StreamIdentity { service, stream, life } = identity;
        let is_new = state.registry.note_of(stream, now).is_none();
        state.registry.note_own(stream, version, life, now);
        if state.registry.view(service, now) != VersionView::Several {
            return None;
        }
        let life_s = u16::try_from(life.as_secs() + 1).unwrap_or(u16::MAX);
        let is_queued =
            self.queue_notes(&mut state, &[VersionNote { stream, version, life_s }]);
        let is_soon = self.is_table_answering.load(Ordering::Relaxed)
            && self.write_period() <= MAX_NOTE_WAIT * MAX_WAITS_PER_PERIOD
            && state.unwritten_streams.len() < MAX_QUEUED;
        if !is_new || !is_queued || !is_soon {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        state.unwritten_streams.insert(stream, sender);
        drop(state);
        self.wake_table();
        Some(receiver)
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

    /// Returns whether this instance has started so lately that it may not have heard all peers.
    fn is_joining(&self) -> bool {
        self.clock.now() < JOIN_SPAN
    }

    /// Returns for how long a service is known to have had a single version, in milliseconds, or -1 if
    /// it has several or none.
    fn known_ms(&self, service: ServiceKey) -> i64 {
        match self.lock().registry.view(service, self.clock.now()) {
            VersionView::Sole(_, known_ms) => known_ms.into(),
            VersionView::Unlisted | VersionView::Several => -1,
        }
    }

    /// Queues notes for the replicas and the table. What doesn't fit is neither told nor kept. Returns
    /// whether all fitted.
    fn queue_notes(&self, state: &mut VersionsState, notes: &[VersionNote]) -> bool {
        let room = MAX_QUEUED.saturating_sub(state.untold.len());
        let fitting = &notes[..notes.len().min(room)];
        state.untold.extend_from_slice(fitting);
        let mut dropped = notes.len() - fitting.len();
        if self.is_kept.load(Ordering::Relaxed) {
            let streams: Vec<StreamKey> = notes.iter().map(|note| note.stream).collect();
            dropped += state.log.add(&streams);
            self.unwritten.set(state.log.waiting() as i64);
        }
        if dropped > 0 {
            log::warn!(dropped; "queue of version notes is full, notes dropped");
        }
        dropped == 0
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, VersionsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VersionsState {
    /// Returns whether the list of servers is current.
    fn is_current(&self, current_within: Duration, now: Duration) -> bool {
        self.covered_until.is_some_and(|until| now <= until + current_within)
    }

    /// Answers which version began a stream.
    fn answer(
        &self,
        service: ServiceKey,
        stream: StreamKey,
        current_within: Duration,
        now: Duration,
    ) -> VersionAnswer {
        let is_current =
            self.is_current(current_within, now) && !self.registry.is_behind_peers(now);
        self.registry.answer(service, stream, is_current, now)
    }
}
