//! Chooses where an instance gets the server list: from the reader that its group has
//! assigned to it, else from another reader or a standby that can answer, else from the
//! platform itself. Also tells whether peers can be expected to push newer rules.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::bounded;
use flaxtide_core::{MilliClock, SettingsVersion, StoreVersion};
use flaxtide_fleet::{ListPlan, ListReader, RowAnswer, RowChanges, RowRequest};

use crate::answers::{PlatformAnswers, max_answer_gap};
use crate::backoff::PeerBackoff;
use crate::budget::{
    ANSWER_MARGIN_FRACTION, CALL_PAUSE_FRACTION, CALL_WINDOW_FRACTION, MAX_AGE_FRACTION,
    QUESTION_WAIT_FRACTION, REREAD_PAUSE_FRACTION,
};
use crate::fleet::FleetLink;
use crate::follow::first_call_window;
use crate::lag::RulesLag;
use crate::list_age::ListAge;
use crate::rules_age::RulesAge;

/// How long a peer that couldn't answer isn't asked again, as a fraction of
/// `leave_within`. It doubles each time. The first pause is short, because a standby can
/// answer as soon as it has called the platform.
const UNABLE_PAUSE_FRACTION: f64 = 0.1;

/// How long a reader asks its peers after the platform hasn't answered it, before it calls the
/// platform again, as a multiple of `leave_within`. It is longer than such a call may take, during
/// which the reader asks nobody.
const UNANSWERED_READER_FACTOR: f64 = 2.0;

/// How long an answer counts as a sign that readers reach the platform, as a fraction of
/// `leave_within`: the time of two questions.
const READER_ALIVE_FRACTION: f64 = 0.5;

/// How long peers may take to push newer rules after they have announced them. Later, an
/// instance reads them from the platform, because it must have them in force within
/// seconds.
const RULES_PUSH_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long after its start an instance may still learn its reader. Peers find each other within
/// three rounds of heartbeats. Until then it reads for itself, but not more often than
/// [`CALL_PAUSE_FRACTION`] allows, as most of these calls would be in vain.
const STARTUP_WAIT: Duration = Duration::from_secs(3);

/// Chooses where this instance gets the server list.
pub(crate) struct ServerListSource {
    /// The clock of `startup_until` and of all times in `state`.
    clock: MilliClock,
    /// The time within which a leaving server must stop getting requests.
    leave_within: Duration,
    /// When a new instance stops waiting for a reader.
    startup_until: Duration,
    /// The age of the list that the traffic thread goes by.
    list_age: ListAge,
    /// The age of the rules that the traffic thread goes by.
    rules_age: RulesAge,
    /// For how long the platform has been answering the data centre.
    answers: PlatformAnswers,
    /// The mutable state behind the lock.
    state: Mutex<SourceState>,
}

/// The assigned peers, their latest answers, and the lag of the rules.
#[derive(Debug)]
struct SourceState {
    /// The readers, as assigned in the group.
    plan: ListPlan,
    /// Which peers couldn't answer, and until when they aren't asked again.
    backoff: PeerBackoff,
    /// When a peer last answered.
    last_answer: Option<Duration>,
    /// How long the rules in force have been older than those that peers have announced.
    lag: RulesLag,
    /// Whether a peer that has just read from the platform lacks the changes after the
    /// version of this instance, and the platform hasn't been called since.
    has_gap: bool,
    /// When the platform last failed to answer this instance; `None` if it answered since.
    unanswered_at: Option<Duration>,
}

impl ServerListSource {
    /// Creates a source with no peer to ask. `leave_within` is the time within which a
    /// leaving server must stop getting requests, `rules_within` the one within which new rules
    /// must be in force, `row_renewal` how often servers renew their rows, and `has_peers` says
    /// whether there may be peers.
    pub(crate) fn new(
        leave_within: Duration,
        rules_within: Duration,
        row_renewal: Duration,
        has_peers: bool,
    ) -> Self {
        let clock = MilliClock::real();
        let startup_wait = if has_peers { STARTUP_WAIT } else { Duration::ZERO };
        let state = SourceState {
            plan: ListPlan::default(),
            backoff: PeerBackoff::new(leave_within.mul_f64(UNABLE_PAUSE_FRACTION)),
            last_answer: None,
            lag: RulesLag::default(),
            has_gap: false,
            unanswered_at: None,
        };
        Self {
            startup_until: clock.now() + startup_wait,
            clock,
            leave_within,
            list_age: ListAge::new(leave_within),
            rules_age: RulesAge::new(rules_within),
            answers: PlatformAnswers::new(max_answer_gap(row_renewal)),
            state: Mutex::new(state),
        }
    }

    /// Returns the clock of the times up to which the list is complete.
    pub(crate) fn clock(&self) -> &MilliClock {
        &self.clock
    }

    /// Returns the age of the list that the traffic thread goes by, on [`Self::clock`].
    pub(crate) fn list_age(&self) -> &ListAge {
        &self.list_age
    }

    /// Returns the age of the rules that the traffic thread goes by, on [`Self::clock`].
    pub(crate) fn rules_age(&self) -> &RulesAge {
        &self.rules_age
    }

    /// Returns for how long the platform has been answering the data centre, on [`Self::clock`].
    pub(crate) fn answers(&self) -> &PlatformAnswers {
        &self.answers
    }

    /// Sets the peers to ask. Returns whether they have changed.
    pub(crate) fn set_plan(&self, plan: ListPlan) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.plan == plan {
            return false;
        }
        state.backoff.retain_peers(&peers_of(&plan), now);
        state.plan = plan;
        true
    }

    /// Returns the reader of this instance.
    pub(crate) fn reader(&self) -> ListReader {
        self.lock().plan.reader
    }

    /// Returns whether this instance reads for its peers if their readers can't.
    pub(crate) fn is_standby(&self) -> bool {
        self.lock().plan.standby
    }

    /// Returns whether peers read the list for this instance.
    pub(crate) fn reads_from_peers(&self) -> bool {
        matches!(self.reader(), ListReader::Peer(_))
    }

    /// Records whether the platform has answered a call of this instance.
    pub(crate) fn record_call(&self, answered: bool) {
        let now = self.clock.now();
        self.lock().unanswered_at = (!answered).then_some(now);
    }

    /// Returns whether a new instance that doesn't know the changes of the time `unknown_for`
    /// should still wait for a reader.
    pub(crate) fn awaits_plan(&self, unknown_for: Duration) -> bool {
        self.reader() == ListReader::Alone
            && self.clock.now() < self.startup_until
            && unknown_for < self.leave_within.mul_f64(CALL_PAUSE_FRACTION)
    }

    /// Returns whether a reader has answered this instance lately.
    pub(crate) fn reader_answered_lately(&self) -> bool {
        let last_answer = self.lock().last_answer;
        let life = self.leave_within.mul_f64(READER_ALIVE_FRACTION);
        self.reads_from_peers()
            && last_answer.is_some_and(|at| self.clock.now() < at + life)
    }

    /// Records the version of the rules in force and the newest one that peers have
    /// announced.
    pub(crate) fn record_rules(
        &self,
        in_force: SettingsVersion,
        newest: SettingsVersion,
    ) {
        let now = self.clock.now();
        self.lock().lag.record(in_force, newest, now);
    }

    /// Returns whether newer rules have been announced for so long that this instance
    /// must not wait for peers to push them.
    pub(crate) fn rules_overdue(&self) -> bool {
        let lag = self.lock().lag.get(self.clock.now());
        lag.is_some_and(|lag| lag >= RULES_PUSH_TIMEOUT)
    }

    /// Returns the time up to which a peer's answer includes all changes, if it was asked
    /// at `asked`. The peer's own last read may be older by [`MAX_AGE_FRACTION`] of
    /// `leave_within`.
    pub(crate) fn covered_until(&self, asked: Duration) -> Duration {
        asked.saturating_sub(self.leave_within.mul_f64(MAX_AGE_FRACTION))
    }

    /// Returns the window within which this instance calls the platform once no peer
    /// answers. `unknown_for` is how long ago the known changes end.
    pub(crate) fn call_window(&self, unknown_for: Duration) -> Duration {
        let now = self.clock.now();
        let state = self.lock();
        first_call_window(
            state.plan.standby,
            state.suggests_outage(now),
            unknown_for,
            self.leave_within,
        )
    }

    /// Returns whether the reader can't answer, which points to an outage of the platform.
    pub(crate) fn suggests_outage(&self) -> bool {
        let now = self.clock.now();
        self.lock().suggests_outage(now)
    }

    /// Returns the time within which a leaving server must stop getting requests.
    pub(crate) fn leave_within(&self) -> Duration {
        self.leave_within
    }

    /// Returns the window within which instances call the platform whose readers have just
    /// read from it and lack some changes.
    pub(crate) fn gap_window(&self) -> Duration {
        self.leave_within.mul_f64(CALL_WINDOW_FRACTION)
    }

    /// Returns the longest pause before everything is read, if the platform has dropped the
    /// changes of the server list.
    pub(crate) fn max_reread_pause(&self) -> Duration {
        self.leave_within.mul_f64(REREAD_PAUSE_FRACTION)
    }

    /// Returns, once after each such answer, whether a peer that has just read from the
    /// platform lacks the changes that this instance wants. The platform answers then, and
    /// has to be called.
    pub(crate) fn take_gap(&self) -> bool {
        std::mem::take(&mut self.lock().has_gap)
    }

    /// Asks peers for the changes after a version. The first one waits for changes; if it
    /// can't answer, all others are asked at once, without waiting. All of it takes at most
    /// `max_span`. Returns `None` if nobody answers.
    pub(crate) fn fetch_changes(
        &self,
        link: &FleetLink,
        after: StoreVersion,
        max_span: Duration,
    ) -> Option<RowChanges> {
        let peers = self.available_peers();
        let (first, others) = peers.split_first()?;
        let latest = self.clock.now().saturating_add(max_span);
        let wait = self.leave_within.mul_f64(QUESTION_WAIT_FRACTION);
        self.ask_peers(link, &[*first], after, wait, latest)
            .or_else(|| self.ask_peers(link, others, after, Duration::ZERO, latest))
    }

    /// Returns the peers that may be asked now, in order. A reader asks none, but for a while
    /// after the platform hasn't answered it: others may have read in its place.
    fn available_peers(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let span = self.leave_within.mul_f64(UNANSWERED_READER_FACTOR);
        let unanswered = state.unanswered_at.is_some_and(|at| now < at + span);
        if state.plan.reader == ListReader::ForPeers && !unanswered {
            return vec![];
        }
        let mut peers = peers_of(&state.plan);
        peers.retain(|peer| state.backoff.may_ask(*peer, now));
        peers
    }

    /// Asks several peers at once. Returns the first answer with changes, or `None` if
    /// there is none in time, or before `latest`.
    fn ask_peers(
        &self,
        link: &FleetLink,
        peers: &[SocketAddr],
        after: StoreVersion,
        wait: Duration,
        latest: Duration,
    ) -> Option<RowChanges> {
        // Read once: both times come out of the same rest.
        let now = self.clock.now();
        let margin = self.leave_within.mul_f64(ANSWER_MARGIN_FRACTION);
        let (wait, margin) = question_times(wait, margin, latest.saturating_sub(now));
        let (sender, receiver) = bounded(peers.len().max(1));
        for peer in peers.iter().copied() {
            let sender = sender.clone();
            let answer = Box::new(move |answer: RowAnswer| {
                // The receiver is gone if another peer has answered or the time is up.
                let _ = sender.try_send((peer, answer));
            });
            link.ask_rows(RowRequest { peer, after, wait, margin, answer });
        }
        drop(sender);
        let deadline = now + wait + margin;
        let mut unanswered = peers.to_vec();
        while let Ok((peer, answer)) = receiver.recv_timeout(self.time_until(deadline)) {
            unanswered.retain(|other| *other != peer);
            match answer {
                RowAnswer::Changes(changes) => {
                    self.record_answer(peer);
                    return Some(changes);
                }
                RowAnswer::Unavailable => self.record_no_rows(peer, true),
                RowAnswer::Gap => {
                    self.lock().has_gap = true;
                    self.record_no_rows(peer, true);
                }
                RowAnswer::Unreachable => self.record_no_rows(peer, false),
            }
        }
        for peer in unanswered {
            self.record_no_rows(peer, false);
        }
        None
    }

    /// Returns the time that is left until `time`.
    fn time_until(&self, time: Duration) -> Duration {
        time.saturating_sub(self.clock.now())
    }

    /// Records that a peer has answered with changes.
    fn record_answer(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.last_answer = Some(now);
        state.backoff.record_success(peer);
    }

    /// Records that a peer couldn't answer with changes, and whether it responded at all.
    fn record_no_rows(&self, peer: SocketAddr, answers: bool) {
        log::info!(peer = peer.to_string(), answers; "peer can't answer with the server list");
        let now = self.clock.now();
        let backoff = &mut self.lock().backoff;
        match answers {
            true => backoff.record_unable(peer, now),
            false => backoff.record_unreachable(peer, now),
        }
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, SourceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SourceState {
    /// Returns whether the reader can't answer.
    fn suggests_outage(&self, now: Duration) -> bool {
        let ListReader::Peer(reader) = self.plan.reader else { return false };
        self.backoff.suggests_outage(reader, now)
    }
}

/// Returns how long a question to peers waits for changes, and how long the answer may take beyond
/// that, if `left` is left for both.
#[must_use]
pub fn question_times(
    wait: Duration,
    margin: Duration,
    left: Duration,
) -> (Duration, Duration) {
    let wait = wait.min(left);
    (wait, margin.min(left.saturating_sub(wait)))
}

/// Returns the peers of a plan, in the order in which they are asked.
fn peers_of(plan: &ListPlan) -> Vec<SocketAddr> {
    let reader = match plan.reader {
        ListReader::Peer(reader) => Some(reader),
        ListReader::Alone | ListReader::ForPeers => None,
    };
    reader.into_iter().chain(plan.others.iter().copied()).collect()
}
