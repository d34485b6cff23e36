//! From whom an instance gets what few read from the platform: the reader that its group has
//! drawn for it, else another reader or a standby that can tell, else the platform itself.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::bounded;
use flaxtide_core::{MilliClock, SettingsVersion, StoreVersion};
use flaxtide_fleet::{ListPlan, ListReader, RowAnswer, RowChanges, RowQuestion};

use crate::fleet::FleetLink;
use crate::follow::first_call_window;
use crate::lag::RulesLag;
use crate::pauses::PeerPauses;
use crate::reader::MAX_AGE_FRACTION;

/// How long a question to a reader waits for changes, as a part of the time within which a
/// leaving server gets no more work.
const QUESTION_WAIT_FRACTION: f64 = 0.15;

/// How much longer its answer may take, as a part of that time.
const ANSWER_MARGIN_FRACTION: f64 = 0.1;

/// For how long a peer that has answered that it can't tell isn't asked, as a part of that time;
/// twice as long each further time. A standby can tell as soon as it has called the platform.
const UNABLE_PAUSE_FRACTION: f64 = 0.1;

/// For how long a peer's word means that readers reach the platform, as a part of that time:
/// two questions' worth.
const READER_ALIVE_FRACTION: f64 = 0.5;

/// Within what time peers hand newer rules on, once they have told of them. Later, an instance
/// reads them from the platform: it has to have them in force within seconds.
const RULES_PUSH_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an instance that has just read everything waits to hear who reads for it, before it
/// waits for changes itself: peers are met within three rounds of heartbeats. It saves the
/// platform two calls for each instance that starts.
const STARTUP_WAIT: Duration = Duration::from_secs(3);

/// From whom this instance gets a list.
pub(crate) struct ServerListSource {
    /// The clock.
    clock: MilliClock,
    /// Within what time a leaving server may get no more work.
    leave_within: Duration,
    /// Until when it isn't known who reads.
    startup_until: Duration,
    /// Who is to be asked.
    state: Mutex<SourceState>,
}

/// Who is to be asked.
#[derive(Debug)]
struct SourceState {
    /// Who reads, as the group has drawn.
    plan: ListPlan,
    /// Peers that had nothing to tell.
    pauses: PeerPauses,
    /// When a peer last told.
    last_answer: Option<Duration>,
    /// How long peers have known newer rules than those in force.
    lag: RulesLag,
}

impl ServerListSource {
    /// Starts with nobody to ask. A leaving server may get no more work after
    /// `leave_within`; `has_peers` says whether there may be peers.
    pub(crate) fn new(leave_within: Duration, has_peers: bool) -> Self {
        let clock = MilliClock::real();
        let startup_wait = if has_peers { STARTUP_WAIT } else { Duration::ZERO };
        let state = SourceState {
            plan: ListPlan::default(),
            pauses: PeerPauses::new(leave_within.mul_f64(UNABLE_PAUSE_FRACTION)),
            last_answer: None,
            lag: RulesLag::default(),
        };
        Self {
            startup_until: clock.now() + startup_wait,
            clock,
            leave_within,
            state: Mutex::new(state),
        }
    }

    /// Sets who is to be asked. Returns whether that has changed.
    pub(crate) fn set_plan(&self, plan: ListPlan) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.plan == plan {
            return false;
        }
        state.pauses.draw(&peers_of(&plan), now);
        state.plan = plan;
        true
    }

    /// Returns who reads for this instance.
    pub(crate) fn reader(&self) -> ListReader {
        self.lock().plan.reader
    }

    /// Returns whether peers read for this instance.
    pub(crate) fn reads_from_peers(&self) -> bool {
        matches!(self.reader(), ListReader::Peer(_))
    }

    /// Returns whether it isn't known yet who reads.
    pub(crate) fn awaits_plan(&self) -> bool {
        self.reader() == ListReader::Alone && self.clock.now() < self.startup_until
    }

    /// Returns whether a peer that reads has told this instance lately.
    pub(crate) fn reader_answered_lately(&self) -> bool {
        let last_answer = self.lock().last_answer;
        let life = self.leave_within.mul_f64(READER_ALIVE_FRACTION);
        self.reads_from_peers()
            && last_answer.is_some_and(|at| self.clock.now() < at + life)
    }

    /// Records which rules are in force, and which are the newest that peers have told of.
    pub(crate) fn record_rules(
        &self,
        in_force: SettingsVersion,
        newest: SettingsVersion,
    ) {
        let now = self.clock.now();
        self.lock().lag.record(in_force, newest, now);
    }

    /// Returns whether newer rules have been known for so long that peers can't be waited
    /// for.
    pub(crate) fn rules_overdue(&self) -> bool {
        let lag = self.lock().lag.get(self.clock.now());
        lag.is_some_and(|lag| lag >= RULES_PUSH_TIMEOUT)
    }

    /// Returns up to when a peer that was asked at a time tells of changes at least.
    pub(crate) fn covered_until(&self, asked: Duration) -> Duration {
        asked.saturating_sub(self.leave_within.mul_f64(MAX_AGE_FRACTION))
    }

    /// Returns within what time this instance calls the platform itself, once no peer tells.
    pub(crate) fn call_window(&self) -> Duration {
        let now = self.clock.now();
        let state = self.lock();
        let readers_failing = state.pauses.show_trouble(now);
        first_call_window(state.plan.standby, readers_failing, self.leave_within)
    }

    /// Asks peers for the changes after a version: the first in order, which waits for some,
    /// and if it doesn't tell all others at once. Returns nothing if nobody tells.
    pub(crate) fn fetch_changes(
        &self,
        link: &FleetLink,
        after: StoreVersion,
    ) -> Option<RowChanges> {
        let peers = self.available_peers();
        let (first, others) = peers.split_first()?;
        let wait = self.leave_within.mul_f64(QUESTION_WAIT_FRACTION);
        self.ask_peers(link, &[*first], after, wait)
            .or_else(|| self.ask_peers(link, others, after, Duration::ZERO))
    }

    /// Returns the peers that may be asked now, in order.
    fn available_peers(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let mut peers = peers_of(&state.plan);
        peers.retain(|peer| state.pauses.may_ask(*peer, now));
        peers
    }

    /// Asks peers side by side, until one tells or none is left.
    fn ask_peers(
        &self,
        link: &FleetLink,
        peers: &[SocketAddr],
        after: StoreVersion,
        wait: Duration,
    ) -> Option<RowChanges> {
        let margin = self.leave_within.mul_f64(ANSWER_MARGIN_FRACTION);
        let (sender, receiver) = bounded(peers.len().max(1));
        for peer in peers.iter().copied() {
            let sender = sender.clone();
            let answer = Box::new(move |answer: RowAnswer| {
                // The thread that asked may have stopped waiting.
                let _ = sender.try_send((peer, answer));
            });
            link.ask_rows(RowQuestion { peer, after, wait, margin, answer });
        }
        drop(sender);
        let deadline = self.clock.now() + wait + margin;
        let mut unanswered = peers.to_vec();
        while let Ok((peer, answer)) = receiver.recv_timeout(self.time_until(deadline)) {
            unanswered.retain(|other| *other != peer);
            match answer {
                RowAnswer::Told(changes) => {
                    self.record_answer(peer);
                    return Some(changes);
                }
                RowAnswer::Unable => self.record_no_rows(peer, true),
                RowAnswer::Unreachable => self.record_no_rows(peer, false),
            }
        }
        for peer in unanswered {
            self.record_no_rows(peer, false);
        }
        None
    }

    /// Returns how long it is until a time.
    fn time_until(&self, time: Duration) -> Duration {
        time.saturating_sub(self.clock.now())
    }

    /// Records that a peer has told.
    fn record_answer(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.last_answer = Some(now);
        state.pauses.record_told(peer);
    }

    /// Records that a peer had nothing to tell, and whether it has answered at all.
    fn record_no_rows(&self, peer: SocketAddr, answers: bool) {
        log::info!(peer = peer.to_string(), answers; "peer has no list to tell");
        let now = self.clock.now();
        let pauses = &mut self.lock().pauses;
        match answers {
            true => pauses.record_unable(peer, now),
            false => pauses.record_unreachable(peer, now),
        }
    }

    /// Locks the state. A panic elsewhere doesn't spoil it.
    fn lock(&self) -> MutexGuard<'_, SourceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the peers of a plan, in the order in which they are asked.
fn peers_of(plan: &ListPlan) -> Vec<SocketAddr> {
    let ListReader::Peer(reader) = plan.reader else { return vec![] };
    [reader].into_iter().chain(plan.others.iter().copied()).collect()
}
