//! From where a topic is followed, how long a call waits and when the next one comes.

use std::time::Duration;

use crate::contract::FeedError;

/// How long one call waits for changes: the longest that platforms commonly allow, as each
/// call has its price.
pub(crate) const FOLLOW_WAIT: Duration = Duration::from_secs(25);

/// How long a call waits for changes soon after a failed one. A store that has just come
/// back may not tell those who wait of everything that changes.
const CAUTIOUS_WAIT: Duration = Duration::from_millis(1000);

/// For how long after a failed call calls wait no longer than that.
const CAUTION: Duration = Duration::from_secs(10);

/// How long the first pause after a failed call is.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// The longest such pause. A configuration must be in force within seconds of the
/// platform's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// How far the following of a topic has come, and how it has gone lately.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::{FeedError, FollowState};
/// let mut state = FollowState::default();
/// state.take_version(7);
/// assert_eq!(state.after(), Some(7));
/// let fault = state.take_fault(&FeedError::Refused { status: 503 }, Duration::ZERO);
/// assert!(fault.lost);
/// assert_eq!(fault.pause, Duration::from_millis(150));
/// ```
#[derive(Debug, Default)]
pub struct FollowState {
    /// Up to which version all is known; nothing if everything is to be read.
    after: Option<u64>,
    /// The last pause, while calls fail.
    pause: Option<Duration>,
    /// The last pause after a history that was gone, until changes are told again. A store
    /// that keeps none would have everything read from it without an end.
    gone: Option<Duration>,
    /// Until when calls don't wait long.
    cautious_until: Duration,
}

/// What an answer of the platform, or of a peer in its stead, was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowAnswer {
    /// Whether it had everything, rather than changes.
    pub whole: bool,
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
    pub fn after(&self) -> Option<u64> {
        self.after
    }

    /// Returns how long a call may wait for changes.
    #[must_use]
    pub fn longest_wait(&self, now: Duration) -> Duration {
        match self.pause {
            // The first answer after a failure is all that counts.
            Some(_) => Duration::ZERO,
            None if now < self.cautious_until => CAUTIOUS_WAIT,
            None => FOLLOW_WAIT,
        }
    }

    /// Takes in an answer up to a version.
    pub fn take_version(&mut self, version: u64) -> FollowAnswer {
        let whole = self.after.replace(version).is_none();
        if !whole {
            self.gone = None;
        }
        FollowAnswer { whole, regained: self.pause.take().is_some() }
    }

    /// Takes in that a call has failed.
    pub fn take_fault(&mut self, fault: &FeedError, now: Duration) -> FollowFault {
        self.cautious_until = now + CAUTION;
        if *fault == FeedError::HistoryGone {
            return FollowFault { lost: false, pause: self.start_anew() };
        }
        let lost = self.pause.is_none();
        let pause = longer(self.pause);
        self.pause = Some(pause);
        FollowFault { lost, pause }
    }

    /// Wants everything. Returns how long nobody calls before.
    fn start_anew(&mut self) -> Duration {
        self.after = None;
        let pause = self.gone.map_or(Duration::ZERO, |last| longer(Some(last)));
        self.gone = Some(pause);
        pause
    }
}

/// Returns the pause that follows another.
fn longer(last: Option<Duration>) -> Duration {
    last.map_or(FIRST_PAUSE, |last| (last * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE))
}
