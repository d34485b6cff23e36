//! From whom an instance gets what few read from the platform: the reader that its group has
//! drawn for it, else another reader or a standby that can tell, else the platform itself.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam::channel::bounded;
use flaxtide_core::{MilliClock, SettingsVersion, StoreVersion};
use flaxtide_fleet::{ListPlan, ListReader, RowAnswer, RowChanges, RowRequest};

use crate::backoff::PeerBackoff;
use crate::fleet::FleetLink;
use crate::follow::first_call_window;
use crate::lag::RulesLag;
use crate::reader::FRESH_PART;

/// How long a question to a reader waits for changes, as a part of the time within which a
/// leaving server gets no more work.
const QUESTION_PART: f64 = 0.15;

/// How much longer its answer may take, as a part of that time.
const MARGIN_PART: f64 = 0.1;

/// For how long a peer that has answered that it can't tell isn't asked, as a part of that time;
/// twice as long each further time. A standby can tell as soon as it has called the platform.
const UNABLE_PART: f64 = 0.1;

/// For how long a peer's word means that readers reach the platform, as a part of that time:
/// two questions' worth.
const TOLD_PART: f64 = 0.5;

/// Within what time peers hand newer rules on, once they have told of them. Later, an instance
/// reads them from the platform: it has to have them in force within seconds.
const HANDED_ON_WITHIN: Duration = Duration::from_millis(1000);

/// How long an instance that has just read everything waits to hear who reads for it, before it
/// waits for changes itself: peers are met within three rounds of heartbeats. It saves the
/// platform two calls for each instance that starts.
const SETTLING: Duration = Duration::from_secs(3);

/// From whom this instance gets a list.
pub(crate) struct ServerListSource {
    /// The clock.
    clock: MilliClock,
    /// Within what time a leaving server may get no more work.
    leave_within: Duration,
    /// Until when it isn't known who reads.
    settled_at: Duration,
    /// Who is to be asked.
    state: Mutex<SourceState>,
}

/// Who is to be asked.
#[derive(Debug)]
struct SourceState {
    /// Who reads, as the group has drawn.
    plan: ListPlan,
    /// Peers that had nothing to tell.
    backoff: PeerBackoff,
    /// When a peer last told.
    told: Option<Duration>,
    /// How long peers have known newer rules than those in force.
    lag: RulesLag,
}

impl ServerListSource {
    /// Starts with nobody to ask. A leaving server may get no more work after
    /// `leave_within`; `has_peers` says whether there may be peers.
    pub(crate) fn new(leave_within: Duration, has_peers: bool) -> Self {
        let clock = MilliClock::real();
        let settling = if has_peers { SETTLING } else { Duration::ZERO };
        let state = SourceState {
            plan: ListPlan::default(),
            backoff: PeerBackoff::new(leave_within.mul_f64(UNABLE_PART)),
            told: None,
            lag: RulesLag::default(),
        };
        Self {
            settled_at: clock.now() + settling,
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
        state.backoff.set_peers(&peers_of(&plan), now);
        state.plan = plan;
        true
    }

    /// Returns who reads for this instance.
    pub(crate) fn reader(&self) -> ListReader {
        self.lock().plan.reader
    }

    /// Returns whether peers read for this instance.
    pub(crate) fn follows_peers(&self) -> bool {
        matches!(self.reader(), ListReader::Peer(_))
    }

    /// Returns whether it isn't known yet who reads.
    pub(crate) fn is_settling(&self) -> bool {
        self.reader() == ListReader::Alone && self.clock.now() < self.settled_at
    }

    /// Returns whether a peer that reads has told this instance lately.
    pub(crate) fn told_lately(&self) -> bool {
        let told = self.lock().told;
        let life = self.leave_within.mul_f64(TOLD_PART);
        self.follows_peers() && told.is_some_and(|at| self.clock.now() < at + life)
    }

    /// Records which rules are in force, and which are the newest that peers have told of.
    pub(crate) fn note_rules(&self, in_force: SettingsVersion, newest: SettingsVersion) {
        let now = self.clock.now();
        self.lock().lag.note(in_force, newest, now);
    }

    /// Returns whether newer rules have been known for so long that peers can't be waited
    /// for.
    pub(crate) fn is_behind(&self) -> bool {
        let lag = self.lock().lag.get(self.clock.now());
        lag.is_some_and(|lag| lag >= HANDED_ON_WITHIN)
    }

    /// Returns up to when a peer that was asked at a time tells of changes at least.
    pub(crate) fn covered(&self, asked: Duration) -> Duration {
        asked.saturating_sub(self.leave_within.mul_f64(FRESH_PART))
    }

    /// Returns within what time this instance calls the platform itself, once no peer tells.
    pub(crate) fn start_window(&self) -> Duration {
        let now = self.clock.now();
        let state = self.lock();
        let troubled = state.backoff.suggest_outage(now);
        first_call_window(state.plan.standby, troubled, self.leave_within)
    }

    /// Asks peers for the changes after a version: the first in order, which waits for some,
    /// and if it doesn't tell all others at once. Returns nothing if nobody tells.
    pub(crate) fn ask(
        &self,
        link: &FleetLink,
        after: StoreVersion,
    ) -> Option<RowChanges> {
        let peers = self.askable();
        let (first, others) = peers.split_first()?;
        let wait = self.leave_within.mul_f64(QUESTION_PART);
        self.ask_peers(link, &[*first], after, wait)
            .or_else(|| self.ask_peers(link, others, after, Duration::ZERO))
    }

    /// Returns the peers that may be asked now, in order.
    fn askable(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let mut peers = peers_of(&state.plan);
        peers.retain(|peer| state.backoff.may_ask(*peer, now));
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
        let margin = self.leave_within.mul_f64(MARGIN_PART);
        let (tell, told) = bounded(peers.len().max(1));
        for peer in peers.iter().copied() {
            let tell = tell.clone();
            let answer = Box::new(move |answer: RowAnswer| {
                // The thread that asked may have stopped waiting.
                let _ = tell.try_send((peer, answer));
            });
            link.ask_rows(RowRequest { peer, after, wait, margin, answer });
        }
        drop(tell);
        let until = self.clock.now() + wait + margin;
        let mut unanswered = peers.to_vec();
        while let Ok((peer, answer)) = told.recv_timeout(self.until(until)) {
            unanswered.retain(|other| *other != peer);
            match answer {
                RowAnswer::Changes(changes) => {
                    self.record_told(peer);
                    return Some(changes);
                }
                RowAnswer::Unavailable => self.record_pause(peer, true),
                RowAnswer::Unreachable => self.record_pause(peer, false),
            }
        }
        for peer in unanswered {
            self.record_pause(peer, false);
        }
        None
    }

    /// Returns how long it is until a time.
    fn until(&self, time: Duration) -> Duration {
        time.saturating_sub(self.clock.now())
    }

    /// Records that a peer has told.
    fn record_told(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.told = Some(now);
        state.backoff.record_success(peer);
    }

    /// Records that a peer had nothing to tell, and whether it has answered at all.
    fn record_pause(&self, peer: SocketAddr, answers: bool) {
        log::info!(peer = peer.to_string(), answers; "peer has no list to tell");
        let now = self.clock.now();
        let backoff = &mut self.lock().backoff;
        match answers {
            true => backoff.record_unable(peer, now),
            false => backoff.record_unreachable(peer, now),
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
