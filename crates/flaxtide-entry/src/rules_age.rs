//! How long ago the rules were last looked up, and whether a request may be denied by them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::budget::MAX_RULES_AGE_FRACTION;

/// The number of consecutive failed calls after which the platform counts as out. The second one
/// goes over a new connection: the first may have failed because its connection was silent.
const OUTAGE_CALLS: u32 = 2;

/// How old what an instance knows of the rules is. All times are on one clock.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::RulesAge;
/// let age = RulesAge::new(Duration::from_secs(2));
/// assert!(!age.permits_denial(Duration::from_secs(1), true));
/// age.record_covered(Duration::from_secs(2));
/// assert!(age.permits_denial(Duration::from_secs(3), true));
/// assert!(!age.permits_denial(Duration::from_secs(5), true));
/// ```
#[derive(Debug)]
pub struct RulesAge {
    /// The greatest age at which a request is denied by the rules while the platform answers.
    max_age: Duration,
    /// The mutable state behind the lock.
    state: Mutex<LookupState>,
}

/// The last calls for the rules.
#[derive(Debug, Default)]
struct LookupState {
    /// The time up to which all changes of the rules have been applied; `None` before the first
    /// read.
    covered_until: Option<Duration>,
    /// The number of consecutive calls to the platform that have failed.
    failed_calls: u32,
}

impl RulesAge {
    /// Creates the age of rules that haven't been looked up. `rules_within` is the time within
    /// which new rules must be in force.
    #[must_use]
    pub fn new(rules_within: Duration) -> Self {
        Self {
            max_age: rules_within.mul_f64(MAX_RULES_AGE_FRACTION),
            state: Mutex::default(),
        }
    }

    /// Records that all changes up to `until` have been applied.
    pub fn record_covered(&self, until: Duration) {
        let mut state = self.lock();
        state.covered_until = state.covered_until.max(Some(until));
    }

    /// Records that a call to the platform has ended, and whether it failed.
    pub fn record_call(&self, failed: bool) {
        let mut state = self.lock();
        state.failed_calls =
            if failed { state.failed_calls.saturating_add(1) } else { 0 };
    }

    /// Returns whether a request may be denied because the rules don't allow it: they were looked up
    /// lately, or the platform is out. It isn't if it answers others (`is_answering`), whatever
    /// happens to the calls of this instance.
    #[must_use]
    pub fn permits_denial(&self, now: Duration, is_answering: bool) -> bool {
        let state = self.lock();
        let is_recent = |until: Duration| now.saturating_sub(until) <= self.max_age;
        let is_out = state.failed_calls >= OUTAGE_CALLS && !is_answering;
        state.covered_until.is_some_and(is_recent) || is_out
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, LookupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
