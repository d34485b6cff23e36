//! From where a topic is followed, how long a call waits and when the next one comes.

use std::time::Duration;

use flaxtide_core::StoreVersion;

use crate::contract::FeedError;

/// How long one call waits for changes: the longest that platforms commonly allow, as each
/// call has its price.
pub(crate) const FOLLOW_WAIT: Duration = Duration::from_secs(25);

/// How long a call waits for changes soon after a failed one. A store that has just come
/// back may not tell those who wait of everything that changes.
const SHORT_WAIT: Duration = Duration::from_millis(1000);

/// For how long after a failed call calls wait no longer than that.
const SHORT_WAIT_SPAN: Duration = Duration::from_secs(10);

/// How long the first pause after a failed call is.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// The longest such pause. A configuration must be in force within seconds of the
/// platform's return.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// After so long without an answer of the platform or of peers the platform counts as out: rows may
/// lapse then. Servers renew theirs each 1.2 s, and three times in a row must be missed.
const OUTAGE_AFTER: Duration = Duration::from_secs(2);

/// Within what part of the time for leaving servers a standby calls the platform once no peer
/// tells,
const STANDBY_FRACTION: f64 = 0.05;

/// and all others, if nobody who reads is there: what they know must not grow old.
const NO_READER_FRACTION: f64 = 0.1;

/// Within what time the others call it if those who read are there and can't tell: then the
/// platform is in trouble.
const READERS_FAILING_WINDOW: Duration = Duration::from_secs(3);

/// Returns within what time an instance for which peers read calls the platform itself, once
/// none of them tells. A leaving server may get no more work after `leave_within`.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::first_call_window;
/// let leave_within = Duration::from_secs(4);
/// let alone = first_call_window(false, false, leave_within);
/// assert!(first_call_window(true, true, leave_within) < alone);
/// assert!(alone < first_call_window(false, true, leave_within));
/// ```
#[must_use]
pub fn first_call_window(
    standby: bool,
    readers_answer: bool,
    leave_within: Duration,
) -> Duration {
    match (standby, readers_answer) {
        (true, _) => leave_within.mul_f64(STANDBY_FRACTION),
        (false, false) => leave_within.mul_f64(NO_READER_FRACTION),
        (false, true) => READERS_FAILING_WINDOW,
    }
}

/// The pause after the first failed call of such an instance; it doubles with each.
const FIRST_BACKOFF: Duration = Duration::from_secs(4);

/// The longest such pause. Its readers tell it sooner that the platform is back.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// When an instance for which peers read calls the platform itself, while no peer tells.
///
/// All instances of a group lose their readers at the same moment, and a platform in trouble
/// would be called by all of them at once: pauses are drawn at random and grow.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::CallBackoff;
/// let mut backoff = CallBackoff::default();
/// let window = Duration::from_secs(3);
/// let delay = backoff.delay(window, 0.5, Duration::ZERO);
/// assert_eq!(delay, Some(Duration::from_millis(1500)));
/// assert_eq!(backoff.delay(window, 0.5, Duration::from_secs(2)), None);
/// backoff.record_failure(0.5, Duration::from_secs(2));
/// let delay = backoff.delay(window, 0.5, Duration::from_secs(2));
/// assert_eq!(delay, Some(Duration::from_secs(4)));
/// ```
#[derive(Debug, Default)]
pub struct CallBackoff {
    /// When the next call may be made, once no peer tells.
    next_call: Option<Duration>,
    /// The pause after the next failed call.
    pause: Option<Duration>,
}

impl CallBackoff {
    /// Returns how long the platform isn't called; nothing if it may be called now. The first
    /// call falls within a window; `draw` lies between 0 and 1.
    pub fn delay(
        &mut self,
        window: Duration,
        random: f64,
        now: Duration,
    ) -> Option<Duration> {
        let next_call = *self.next_call.get_or_insert(now + window.mul_f64(random));
        (now < next_call).then(|| next_call - now)
    }

    /// Records that a call has failed.
    pub fn record_failure(&mut self, random: f64, now: Duration) {
        let pause = self.pause.unwrap_or(FIRST_BACKOFF);
        self.next_call = Some(now + pause.mul_f64(0.5 + random));
        self.pause = Some((pause * 2).min(MAX_BACKOFF));
    }

    /// Records that the platform has answered: it may be called again, until a peer tells.
    pub fn record_success(&mut self, now: Duration) {
        *self = Self { next_call: Some(now), pause: None };
    }

    /// Records that a peer tells.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// How far the following of a topic has come, and how it has gone lately.
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
    /// Up to which version all is known; nothing if everything is to be read.
    after: Option<StoreVersion>,
    /// The last pause, while calls fail.
    pause: Option<Duration>,
    /// The last pause after a history that was gone, until changes are told again. A store
    /// that keeps none would have everything read from it without an end.
    reread_pause: Option<Duration>,
    /// Until when calls don't wait long.
    short_waits_until: Duration,
    /// Up to when all changes are known.
    known_until: Option<Duration>,
}

/// What an answer of the platform, or of a peer in its stead, was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowAnswer {
    /// Whether it had everything, rather than changes.
    pub is_snapshot: bool,
    /// Whether it was the first after failed calls.
    pub regained: bool,
}

/// What a failed call means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowFault {
    /// Whether the platform has been lost by it.
    pub lost: bool,
    /// How long nobody calls.
    pub pause: Duration,
}

impl FollowState {
    /// Returns after which version changes are wanted; nothing if everything is.
    #[must_use]
    pub fn after(&self) -> Option<StoreVersion> {
        self.after
    }

    /// Returns how long a call may wait for changes.
    #[must_use]
    pub fn max_wait(&self, now: Duration) -> Duration {
        match self.pause {
            // The first answer after a failure is all that counts.
            Some(_) => Duration::ZERO,
            None if now < self.short_waits_until => SHORT_WAIT,
            None => FOLLOW_WAIT,
        }
    }

    /// Takes in an answer up to a version.
    pub fn record_answer(&mut self, version: StoreVersion) -> FollowAnswer {
        let is_snapshot = self.after.replace(version).is_none();
        if !is_snapshot {
            self.reread_pause = None;
        }
        FollowAnswer { is_snapshot, regained: self.pause.take().is_some() }
    }

    /// Records that an answer tells of all changes up to a time. Returns for how long before `now`
    /// nothing was known of changes.
    pub fn record_coverage(&mut self, until: Duration, now: Duration) -> Duration {
        let known = self
            .known_until
            .replace(self.known_until.map_or(until, |at| at.max(until)));
        known.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Returns whether nothing has been known of changes for so long that rows may lapse since the
    /// platform is out. Single failed calls, and peers that can't tell, are no outage: the platform
    /// may turn some away and serve others.
    #[must_use]
    pub fn is_outage(&self, now: Duration) -> bool {
        self.known_until.is_none_or(|at| now >= at + OUTAGE_AFTER)
    }

    /// Records that peers which should tell don't: the platform may be in trouble, and a call that
    /// waits long for it is one that a store which comes back never answers.
    pub fn shorten_waits(&mut self, now: Duration) {
        self.short_waits_until = self.short_waits_until.max(now + SHORT_WAIT_SPAN);
    }

    /// Takes in that a call has failed.
    pub fn record_fault(&mut self, fault: &FeedError, now: Duration) -> FollowFault {
        self.short_waits_until = now + SHORT_WAIT_SPAN;
        if *fault == FeedError::HistoryGone {
            return FollowFault { lost: false, pause: self.restart() };
        }
        let lost = self.pause.is_none();
        let pause = next_pause(self.pause);
        self.pause = Some(pause);
        FollowFault { lost, pause }
    }

    /// Wants everything. Returns how long nobody calls before.
    fn restart(&mut self) -> Duration {
        self.after = None;
        let pause = self
            .reread_pause
            .map_or(Duration::ZERO, |last| next_pause(Some(last)));
        self.reread_pause = Some(pause);
        pause
    }
}

/// Returns the pause that follows another.
fn next_pause(last: Option<Duration>) -> Duration {
    last.map_or(FIRST_PAUSE, |last| (last * 2).clamp(FIRST_PAUSE, MAX_PAUSE))
}
