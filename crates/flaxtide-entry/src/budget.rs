//! The budget of the time that passes between the removal of a server's row and the last request
//! to the server, while the platform answers.
//!
//! Each step takes a fraction of `leave_within`, the time within which a leaving server must get
//! no more requests. An instance that reads the list through peers may go through all of them.

use std::time::Duration;

/// The greatest age of a reader's last answer from the platform at which it still answers peers.
/// Changes may go unread for as long.
pub(crate) const MAX_AGE_FRACTION: f64 = 0.25;

/// How long a question to a reader waits for changes.
pub(crate) const QUESTION_WAIT_FRACTION: f64 = 0.15;

/// How long after the end of a question's wait the answer may arrive. The other readers and the
/// standbys are asked without a wait, so this is also how long their answers may take.
pub(crate) const ANSWER_MARGIN_FRACTION: f64 = 0.1;

/// The window in which instances call the platform if no reader is reachable, or if their readers
/// have just read from it and lack some changes.
pub(crate) const CALL_WINDOW_FRACTION: f64 = 0.1;

/// The longest pause before everything is read after the platform has dropped its history.
pub(crate) const REREAD_PAUSE_FRACTION: f64 = 0.08;

/// The pause between two reads of the server list by an instance that reads for itself.
pub(crate) const CALL_PAUSE_FRACTION: f64 = 0.35;

/// The greatest age of the server list at which a request is still written by it while the
/// platform answers: a step later than an instance goes without a read, and early enough for the
/// request to arrive.
pub(crate) const MAX_WRITE_AGE_FRACTION: f64 = 0.8;

/// How long a call to the platform for the rules waits for changes, as a fraction of `rules_within`.
/// A connection that has fallen silent is noticed when the answer to its last call is late.
pub(crate) const RULES_POLL_FRACTION: f64 = 0.6;

/// The greatest age of the rules at which requests are denied by them while the platform answers, as
/// a fraction of `rules_within`.
pub(crate) const MAX_RULES_AGE_FRACTION: f64 = 0.8;

// A call that waits for changes doesn't make the rules too old.
const _: () = assert!(RULES_POLL_FRACTION < MAX_RULES_AGE_FRACTION);

/// For how long newer rules may have been in force at peers while requests are still handled by the
/// old ones, as a fraction of `rules_within`. The rest is for the time until a peer's announcement
/// arrives, and for requests that are already on their way.
pub(crate) const MAX_RULES_LAG_FRACTION: f64 = 0.7;

/// How late the traffic thread may be while a call that waits for changes counts as their absence.
pub(crate) const LATENESS_FRACTION: f64 = 0.1;

/// How long a server stays in use whose row is found missing at the latest time that the other
/// steps allow.
const LEAST_GRACE_FRACTION: f64 = 0.07;

/// The longest time after the row of a server was last seen for which the server stays in use. The
/// rest of `leave_within` is for the period in which rows are checked and for requests that are
/// already on their way.
const LATEST_REMOVAL_FRACTION: f64 = 0.85;

/// How much a sum of fractions may differ by rounding.
const ROUNDING: f64 = 1e-9;

/// The latest time after the last known change at which an instance calls the platform, unless its
/// calls have failed. It leaves time to read everything and to keep the server in grace.
pub(crate) const LATEST_CALL_FRACTION: f64 =
    LATEST_REMOVAL_FRACTION - REREAD_PAUSE_FRACTION - LEAST_GRACE_FRACTION;

// The other readers may be asked for the last time before that.
const _: () = assert!(
    MAX_AGE_FRACTION
        + QUESTION_WAIT_FRACTION
        + ANSWER_MARGIN_FRACTION
        + ANSWER_MARGIN_FRACTION
        + CALL_WINDOW_FRACTION
        <= LATEST_CALL_FRACTION + ROUNDING
);

/// The time from the last change that is surely known until a server is removed, without the
/// first step. An instance asks its reader, asks the others, pauses, reads everything, and keeps
/// the server in grace.
const COMMON_STEPS_FRACTION: f64 = QUESTION_WAIT_FRACTION
    + ANSWER_MARGIN_FRACTION
    + ANSWER_MARGIN_FRACTION
    + REREAD_PAUSE_FRACTION
    + LEAST_GRACE_FRACTION;

// An instance that a peer told last: its reader may have changes unread, and the call to the
// platform falls within a window.
const _: () = assert!(
    MAX_AGE_FRACTION + CALL_WINDOW_FRACTION + COMMON_STEPS_FRACTION
        <= LATEST_REMOVAL_FRACTION + ROUNDING
);

// An instance that called the platform itself last.
const _: () = assert!(
    CALL_PAUSE_FRACTION + COMMON_STEPS_FRACTION <= LATEST_REMOVAL_FRACTION + ROUNDING
);

// The age of the list passes this limit only if a step took longer than it should.
const _: () = assert!(
    LATEST_REMOVAL_FRACTION - LEAST_GRACE_FRACTION <= MAX_WRITE_AGE_FRACTION + ROUNDING
        && MAX_WRITE_AGE_FRACTION <= LATEST_REMOVAL_FRACTION
);

/// The time between the removal of a row and the removal of its server, as divided among the steps
/// in between.
///
/// The steps are those that scale with the bound. Left out are the two calls to the platform after
/// a gap in its history, which take as long as they take, and the pauses of fixed length after
/// failed calls. With any of these, a row may be noticed later than [`Self::latest_notice`]; its
/// server is then removed at [`Self::latest_removal`], or at once if that has passed.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::LeaveBudget;
/// let leave_within = Duration::from_secs(3);
/// let budget = LeaveBudget::new(leave_within);
/// assert!(budget.latest_notice() < budget.latest_removal());
/// assert!(budget.latest_removal() < leave_within);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct LeaveBudget {
    /// The time within which a leaving server must get no more requests.
    leave_within: Duration,
}

impl LeaveBudget {
    /// Creates the budget for a bound.
    #[must_use]
    pub fn new(leave_within: Duration) -> Self {
        Self { leave_within }
    }

    /// Returns the longest time after the removal of a row until an instance notices it, if
    /// it goes through no other steps than the scaled ones.
    #[must_use]
    pub fn latest_notice(&self) -> Duration {
        self.latest_removal() - self.span(LEAST_GRACE_FRACTION)
    }

    /// Returns the longest time after the removal of a row until its server is removed.
    #[must_use]
    pub fn latest_removal(&self) -> Duration {
        self.span(LATEST_REMOVAL_FRACTION)
    }

    /// Returns a fraction of the bound.
    fn span(&self, fraction: f64) -> Duration {
        self.leave_within.mul_f64(fraction)
    }
}
