//! The age of the server list by which this instance sends requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How old the server list is that has been applied. All times are on one clock.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::ListAge;
/// let age = ListAge::default();
/// assert_eq!(age.get(Duration::from_secs(1)), None);
/// age.record_covered(Duration::from_secs(2));
/// assert_eq!(age.get(Duration::from_secs(3)), Some(Duration::from_secs(1)));
/// ```
#[derive(Debug, Default)]
pub struct ListAge {
    /// The mutable state behind the lock.
    state: Mutex<AgeState>,
}

/// What is known of the age.
#[derive(Debug, Default)]
struct AgeState {
    /// The time up to which all changes of the list have been applied; `None` before the first
    /// read.
    covered_until: Option<Duration>,
}

impl ListAge {
    /// Records that all changes up to `until` have been applied.
    pub fn record_covered(&self, until: Duration) {
        let mut state = self.lock();
        state.covered_until = state.covered_until.max(Some(until));
    }

    /// Returns for how long changes may be unknown, or `None` if the list hasn't been read.
    #[must_use]
    pub fn get(&self, now: Duration) -> Option<Duration> {
        self.lock().covered_until.map(|until| now.saturating_sub(until))
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, AgeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
