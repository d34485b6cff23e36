//! For how long the platform has been answering the instances of this data centre. What a single
//! instance misses says nothing of the platform: it may be turned away, or its reader may be.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_fleet::AnswerSpan;

/// The longest gap between two answers of the platform that isn't an outage, in renewal periods of
/// rows. A row lapses three periods after its last renewal, which came at most one before the gap,
/// and the rest allows for late renewals.
const MAX_GAP_PERIODS: f64 = 11.0 / 6.0;

/// Returns the longest gap between two answers of the platform in which no row lapses because its
/// server couldn't renew it. Servers renew their rows every `renewal_period`.
///
/// ```
/// use std::time::Duration;
/// let gap = flaxtide_entry::max_answer_gap(Duration::from_millis(1200));
/// assert_eq!(gap, Duration::from_millis(2200));
/// ```
#[must_use]
pub fn max_answer_gap(renewal_period: Duration) -> Duration {
    renewal_period.mul_f64(MAX_GAP_PERIODS)
}

/// The answers of the platform on the server list. All times are on one clock.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::PlatformAnswers;
/// use flaxtide_fleet::AnswerSpan;
/// let seconds = Duration::from_secs;
/// let answers = PlatformAnswers::new(seconds(2));
/// answers.record_own(seconds(1));
/// answers.record_own(seconds(9));
/// assert_eq!(answers.known().unwrap().since, seconds(9));
/// answers.record_peers(AnswerSpan { since: seconds(0), until: seconds(8) });
/// assert_eq!(answers.known().unwrap().since, seconds(0));
/// assert_eq!(answers.own().unwrap().since, seconds(9));
/// ```
#[derive(Debug)]
pub struct PlatformAnswers {
    /// The longest gap between two answers that isn't an outage.
    max_gap: Duration,
    /// The known spans.
    state: Mutex<AnswerState>,
}

/// The spans in which the platform has been answering.
#[derive(Debug, Default)]
struct AnswerState {
    /// This instance, itself or through its reader.
    own: Option<AnswerSpan>,
    /// Any instance of the data centre.
    known: Option<AnswerSpan>,
}

impl PlatformAnswers {
    /// Creates the state of an instance that has had no answers. A gap of at most `max_gap` between
    /// two answers isn't an outage.
    #[must_use]
    pub fn new(max_gap: Duration) -> Self {
        Self { max_gap, state: Mutex::default() }
    }

    /// Records that the platform answered as of a time. A call that it held until something changed
    /// shows two times only, its beginning and its end: it may have outlived an outage.
    pub fn record_own(&self, at: Duration) {
        let answer = AnswerSpan { since: at, until: at };
        let mut state = self.lock();
        state.own = Some(self.join(state.own, answer));
        state.known = Some(self.join(state.known, answer));
    }

    /// Records for how long the platform has been answering peers.
    pub fn record_peers(&self, told: AnswerSpan) {
        let mut state = self.lock();
        state.known = Some(self.join(state.known, told));
    }

    /// Returns for how long the platform has been answering this instance, itself or through its
    /// reader.
    #[must_use]
    pub fn own(&self) -> Option<AnswerSpan> {
        self.lock().own
    }

    /// Returns for how long the platform has been answering instances of the data centre.
    #[must_use]
    pub fn known(&self) -> Option<AnswerSpan> {
        self.lock().known
    }

    /// Returns whether the platform answers instances of the data centre: none has told of a gap that
    /// is an outage.
    #[must_use]
    pub fn is_answering(&self, now: Duration) -> bool {
        self.known().is_some_and(|known| now <= known.until + self.max_gap)
    }

    /// Adds a span to the known one.
    fn join(&self, known: Option<AnswerSpan>, span: AnswerSpan) -> AnswerSpan {
        known.map_or(span, |known| known.merge(span, self.max_gap))
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
