//! For how long the platform has been answering instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The milliseconds that one unit of an age stands for.
const AGE_UNIT_MS: u128 = 10;

/// A span in which the platform answered without a long gap. Both times are on one clock.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_fleet::AnswerSpan;
/// let seconds = Duration::from_secs;
/// let first = AnswerSpan { since: seconds(1), until: seconds(5) };
/// let later = AnswerSpan { since: seconds(6), until: seconds(9) };
/// assert_eq!(first.merge(later, seconds(2)).since, seconds(1));
/// assert_eq!(first.merge(later, Duration::ZERO), later);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSpan {
    /// When the platform began to answer, as far as known.
    pub since: Duration,
    /// When it last answered, as far as known.
    pub until: Duration,
}

impl AnswerSpan {
    /// Joins two spans, unless a gap longer than `max_gap` lies between them: the later one counts
    /// then.
    #[must_use]
    pub fn merge(self, other: Self, max_gap: Duration) -> Self {
        let (first, last) =
            if self.until <= other.until { (self, other) } else { (other, self) };
        if last.since > first.until + max_gap {
            return last;
        }
        Self {
            since: first.since.min(last.since),
            until: last.until,
        }
    }

    /// Converts the span from a clock that shows `from` to one that shows `to` at the same moment.
    #[must_use]
    pub fn shifted(self, from: Duration, to: Duration) -> Self {
        let shifted = |at: Duration| to.saturating_sub(from.saturating_sub(at));
        Self {
            since: shifted(self.since),
            until: shifted(self.until),
        }
    }

    /// Returns the ages of both times, for a peer.
    pub(crate) fn ages(self, now: Duration) -> AnswerAges {
        let units = |at: Duration| now.saturating_sub(at).as_millis() / AGE_UNIT_MS;
        let age = |units: u128| u16::try_from(units).unwrap_or(u16::MAX);
        AnswerAges {
            since: age(units(self.since)),
            until: age(units(self.until) + 1),
        }
    }
}

/// The ages of an [`AnswerSpan`] in a message, in units of 10 milliseconds. A larger one is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerAges {
    /// How long ago the platform began to answer.
    pub since: u16,
    /// How long ago it last answered.
    pub until: u16,
}

impl AnswerAges {
    /// Returns the span that these ages stand for, in a reply that was requested at `asked` and
    /// arrived at `now`: as short as the time on the way allows. `None` if the last answer is older
    /// than an age can tell.
    pub(crate) fn span(self, asked: Duration, now: Duration) -> Option<AnswerSpan> {
        let age =
            |units: u16| Duration::from_millis(u64::from(units) * AGE_UNIT_MS as u64);
        let since = now.saturating_sub(age(self.since));
        let until = asked.checked_sub(age(self.until))?;
        (self.until < u16::MAX && since <= until).then_some(AnswerSpan { since, until })
    }
}
