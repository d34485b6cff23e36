//! The state of following a topic: the last known version, how long calls wait for
//! changes, and the pauses after failed calls.

use std::time::Duration;

use flaxtide_core::StoreVersion;

use crate::budget::{CALL_WINDOW_FRACTION, LATEST_CALL_FRACTION};
use crate::contract::FeedError;

/// How long a call waits for changes. It is the longest wait that such platforms commonly
/// allow, as each call costs them some load.
const FOLLOW_WAIT: Duration = Duration::from_secs(25);

/// How long a call waits for changes soon after a failed one. A store that has just
/// recovered may not report all changes to calls that wait for them, so the calls are
/// repeated soon.
const SHORT_WAIT: Duration = Duration::from_millis(1000);

/// For how long the short wait applies after a failed call, or after the readers have
/// stopped answering.
const SHORT_WAIT_SPAN: Duration = Duration::from_secs(10);

/// The pause after the first failed call. It doubles with each further one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The longest pause after a failed call. New rules must be in force within seconds of
/// the platform's recovery.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Without an answer from the platform or a peer for this long, the platform counts as
/// down, and rows may lapse because servers can't renew them. Rows last for several
/// renewals, so an outage is recorded before any lapses.
const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// The time within which a standby calls the platform once no peer answers, as a fraction
/// of `leave_within`.
const STANDBY_FRACTION: f64 = 0.05;

/// The longest window of instances that aren't standbys if readers respond that they can't
/// answer, as a fraction of `leave_within`. The platform may be failing then, so the calls to it
/// are spread over the time that is left until [`LATEST_CALL_FRACTION`].
const READERS_FAILING_FRACTION: f64 = 0.5;

/// Returns the window within which an instance that has readers makes its first call to
/// the platform after they stop answering. `readers_reachable` says whether they still
/// respond, if only that they can't answer; `unknown_for` is how long ago the known changes end.
/// `leave_within` is the time within which a leaving server must stop getting requests.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::first_call_window;
/// let (leave_within, unknown_for) = (Duration::from_secs(4), Duration::from_secs(1));
/// let alone = first_call_window(false, false, unknown_for, leave_within);
/// assert!(first_call_window(true, true, unknown_for, leave_within) < alone);
/// assert!(alone < first_call_window(false, true, unknown_for, leave_within));
/// ```
#[must_use]
pub fn first_call_window(
    standby: bool,
    readers_reachable: bool,
    unknown_for: Duration,
    leave_within: Duration,
) -> Duration {
    let span = |fraction| leave_within.mul_f64(fraction);
    match (standby, readers_reachable) {
        (true, _) => span(STANDBY_FRACTION),
        (false, false) => span(CALL_WINDOW_FRACTION),
        (false, true) => span(LATEST_CALL_FRACTION)
            .saturating_sub(unknown_for)
            .clamp(span(CALL_WINDOW_FRACTION), span(READERS_FAILING_FRACTION)),
    }
}

/// A call that took longer than this was a long poll that waited for a change: the
/// platform answers other calls within a few milliseconds, and a long poll as soon as
/// something changes.
const LONG_POLL_THRESHOLD: Duration = Duration::from_millis(100);

/// Returns the time up to which an answer of the platform includes all changes, given the wait
/// that the call asked for. An ordinary answer includes those before the call; one that had to
/// wait for a change reports one that has just happened. An answer that takes longer than the
/// wait is late, and says nothing about the time since.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::covered_until;
/// let ms = Duration::from_millis;
/// assert_eq!(covered_until(ms(1000), ms(1020), ms(200)), ms(1000));
/// assert_eq!(covered_until(ms(1000), ms(1180), ms(200)), ms(1080));
/// assert_eq!(covered_until(ms(1000), ms(4000), ms(200)), ms(1100));
/// ```
#[must_use]
pub fn covered_until(called: Duration, answered: Duration, wait: Duration) -> Duration {
    let wait_end = answered.min(called + wait);
    wait_end.saturating_sub(LONG_POLL_THRESHOLD).max(called)
}

/// The shortest pause after a failed call of an instance whose readers don't answer, as a
/// fraction of `leave_within`; the longest one is `leave_within`. The platform may have answered
/// others all the while, so that a reader's word of its return can't be waited for.
const FAILED_CALL_FRACTION: f64 = 0.95;

/// Decides when an instance that has readers calls the platform itself, while none of
/// them answers.
///
/// All instances of a group lose their readers at the same moment and would call a
/// failing platform all at once. So the first call comes at a random moment, and the next ones
/// after nearly the whole of `leave_within`.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::CallBackoff;
/// let mut backoff = CallBackoff::default();
/// let (window, leave_within) = (Duration::from_secs(3), Duration::from_secs(4));
/// let delay = backoff.delay(window, 0.5, Duration::ZERO);
/// assert_eq!(delay, Some(Duration::from_millis(1500)));
/// assert_eq!(backoff.delay(window, 0.5, Duration::from_secs(2)), None);
/// backoff.record_failure(leave_within, 0.5, Duration::from_secs(2));
/// let delay = backoff.delay(window, 0.5, Duration::from_secs(2));
/// assert_eq!(delay, Some(Duration::from_millis(3900)));
/// ```
#[derive(Debug, Default)]
pub struct CallBackoff {
    /// When the next call may be made, or `None` while peers answer.
    next_call: Option<Duration>,
}

impl CallBackoff {
    /// Returns the time until the platform may be called, or `None` if it may be called
    /// now. The first call falls within `window`; `random` lies between 0 and 1.
    pub fn delay(
        &mut self,
        window: Duration,
        random: f64,
        now: Duration,
    ) -> Option<Duration> {
        let next_call = *self.next_call.get_or_insert(now + window.mul_f64(random));
        (now < next_call).then(|| next_call - now)
    }

    /// Returns the time until the next call, or `None` if none is scheduled or it is due.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flaxtide_entry::CallBackoff;
    /// let (mut backoff, seconds) = (CallBackoff::default(), Duration::from_secs);
    /// assert_eq!(backoff.time_left(seconds(1)), None);
    /// backoff.delay(seconds(4), 0.5, seconds(1));
    /// assert_eq!(backoff.time_left(seconds(2)), Some(seconds(1)));
    /// assert_eq!(backoff.time_left(seconds(3)), None);
    /// ```
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        self.next_call?.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Schedules the next call after a failed one. `random` lies between 0 and 1.
    pub fn record_failure(&mut self, leave_within: Duration, random: f64, now: Duration) {
        let fraction = FAILED_CALL_FRACTION + (1.0 - FAILED_CALL_FRACTION) * random;
        self.next_call = Some(now + leave_within.mul_f64(fraction));
    }

    /// Allows calls without delay after the platform has answered, until a peer answers
    /// again.
    pub fn record_success(&mut self, now: Duration) {
        self.next_call = Some(now);
    }

    /// Schedules the next call within `window`, however many have failed: the platform
    /// answers others. `random` lies between 0 and 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flaxtide_entry::CallBackoff;
    /// let (mut backoff, now) = (CallBackoff::default(), Duration::from_secs(9));
    /// backoff.record_failure(Duration::from_secs(3), 0.5, now);
    /// backoff.expect_answer(Duration::from_millis(200), 0.5, now);
    /// let delay = backoff.delay(Duration::from_secs(3), 0.5, now);
    /// assert_eq!(delay, Some(Duration::from_millis(100)));
    /// ```
    pub fn expect_answer(&mut self, window: Duration, random: f64, now: Duration) {
        let due_at = now + window.mul_f64(random);
        self.next_call = Some(self.next_call.map_or(due_at, |at| at.min(due_at)));
    }

    /// Resets the delays after a peer has answered.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The last known version of a topic and the outcome of the latest calls.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::{FeedError, FollowState};
/// let mut state = FollowState::default();
/// state.record_answer(7);
/// assert_eq!(state.after(), Some(7));
/// let fault = state.record_fault(&FeedError::Refused { status: 503 }, Duration::ZERO);
/// assert!(fault.lost);
/// assert_eq!(fault.pause, Duration::from_millis(150));
/// ```
#[derive(Debug, Default)]
pub struct FollowState {
    /// All changes up to this version are known. `None` if everything must be read.
    after: Option<StoreVersion>,
    /// The pause after the last call if it failed, or `None` if it succeeded.
    pause: Option<Duration>,
    /// The last pause after the store had dropped its history, until an answer with
    /// changes. Without a pause, everything would be read without end from a store that
    /// keeps no history.
    reread_pause: Option<Duration>,
    /// Until when calls wait for changes only briefly.
    short_waits_until: Duration,
    /// The time up to which all changes are known.
    known_until: Option<Duration>,
    /// When the platform last answered this instance or a peer that its history is gone.
    gap_at: Option<Duration>,
    /// Whether peers that should have read from the platform couldn't answer since the last
    /// answer.
    peers_failing: bool,
}

/// An answer of the platform, or of a peer in its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowAnswer {
    /// Whether the answer has all rows instead of changes.
    pub is_snapshot: bool,
    /// Whether it is the first one after failed calls.
    pub regained: bool,
}

/// The consequences of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowFault {
    /// Whether the call is the first one that failed after a successful one.
    pub lost: bool,
    /// The pause before the next call.
    pub pause: Duration,
}

impl FollowState {
    /// Returns the version after which changes are wanted, or `None` if everything must
    /// be read.
    #[must_use]
    pub fn after(&self) -> Option<StoreVersion> {
        self.after
    }

    /// Returns how long a call may wait for changes.
    #[must_use]
    pub fn max_wait(&self, now: Duration) -> Duration {
        match self.pause {
            // The next answer only has to show that the platform has recovered.
            Some(_) => Duration::ZERO,
            None if now < self.short_waits_until => SHORT_WAIT,
            None => FOLLOW_WAIT,
        }
    }

    /// Records an answer that reaches a version.
    pub fn record_answer(&mut self, version: StoreVersion) -> FollowAnswer {
        let is_snapshot = self.after.replace(version).is_none();
        if !is_snapshot {
            self.reread_pause = None;
        }
        self.peers_failing = false;
        FollowAnswer { is_snapshot, regained: self.pause.take().is_some() }
    }

    /// Records that all changes up to `until` are known. Returns how long before `now`
    /// the changes known so far ended.
    pub fn record_coverage(&mut self, until: Duration, now: Duration) -> Duration {
        let known = self
            .known_until
            .replace(self.known_until.map_or(until, |at| at.max(until)));
        known.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Returns how long before `now` the known changes end.
    #[must_use]
    pub fn unknown_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.known_until.unwrap_or_default())
    }

    /// Returns whether changes have been unknown for so long that rows may lapse because
    /// of an outage of the platform. Single failed calls and readers that can't answer
    /// aren't an outage: the platform may reject some instances and serve others. Neither is
    /// silence without any sign of a failing platform: a reader may have ended.
    #[must_use]
    pub fn is_outage(&self, now: Duration) -> bool {
        let Some(known_until) = self.known_until else { return true };
        // After failed calls, rows that lapsed are only seen by the next read, so the outage
        // lasts until then.
        let gap_at = self.gap_at.filter(|_| self.pause.is_none());
        let heard_at = gap_at.map_or(known_until, |at| at.max(known_until));
        let failing = self.pause.is_some() || self.peers_failing;
        failing && now >= heard_at + OUTAGE_AFTER
    }

    /// Records that the platform has answered this instance, or a peer, that the wanted
    /// changes are gone. That doesn't end an outage: rows that lapsed are only seen by the next
    /// read.
    pub fn record_gap(&mut self, now: Duration) {
        if !self.is_outage(now) {
            self.gap_at = Some(now);
        }
    }

    /// Records that peers that should have read from the platform can't answer.
    pub fn record_failing_peers(&mut self) {
        self.peers_failing = true;
    }

    /// Shortens the waits of the next calls after the readers have stopped answering. The
    /// platform may be failing, and a store that restarts never answers calls that were
    /// waiting before.
    pub fn shorten_waits(&mut self, now: Duration) {
        self.short_waits_until = self.short_waits_until.max(now + SHORT_WAIT_SPAN);
    }

    /// Records a failed call.
    pub fn record_fault(&mut self, fault: &FeedError, now: Duration) -> FollowFault {
        self.short_waits_until = now + SHORT_WAIT_SPAN;
        if *fault == FeedError::HistoryGone {
            self.record_gap(now);
            return FollowFault { lost: false, pause: self.restart() };
        }
        let lost = self.pause.is_none();
        let pause = next_pause(self.pause);
        self.pause = Some(pause);
        FollowFault { lost, pause }
    }

    /// Requests everything with the next call. Returns the pause before it.
    fn restart(&mut self) -> Duration {
        self.after = None;
        let pause = self
            .reread_pause
            .map_or(Duration::ZERO, |last| next_pause(Some(last)));
        self.reread_pause = Some(pause);
        pause
    }
}

/// Returns the pause after a failed call, given the previous pause.
fn next_pause(last: Option<Duration>) -> Duration {
    last.map_or(FIRST_RETRY_PAUSE, |last| {
        (last * 2).clamp(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE)
    })
}
