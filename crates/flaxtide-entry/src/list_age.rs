//! The age of the server list by which this instance sends requests, and whether a request may
//! still be written by it.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::budget::MAX_WRITE_AGE_FRACTION;

/// How often a request that waits for a newer server list checks whether this process is on time
/// again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How old the server list is that has been applied, and how its next read goes. All times are on
/// one clock.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::ListAge;
/// let age = ListAge::new(Duration::from_secs(3));
/// assert_eq!(age.get(Duration::from_secs(1)), None);
/// age.record_covered(Duration::from_secs(2));
/// assert_eq!(age.get(Duration::from_secs(3)), Some(Duration::from_secs(1)));
/// assert!(age.permits_write(Duration::from_secs(3), false));
/// assert!(!age.permits_write(Duration::from_secs(9), false));
/// ```
#[derive(Debug)]
pub struct ListAge {
    /// The greatest age at which a request may be written without further signs.
    max_age: Duration,
    /// The mutable state behind the lock.
    state: Mutex<AgeState>,
    /// Wakes the thread that reads the list from a pause.
    read_wanted: Condvar,
    /// Wakes requests that wait for a newer list.
    changed: Notify,
}

/// What is known of the age.
#[derive(Debug, Default)]
struct AgeState {
    /// The time up to which all changes of the list have been applied; `None` before the first
    /// read.
    covered_until: Option<Duration>,
    /// Whether a call to the platform is waiting for an answer.
    is_calling: bool,
    /// Whether the last call to the platform failed, and nothing has been read since.
    is_failing: bool,
    /// Whether a request waits for a newer list.
    is_wanted: bool,
}

impl ListAge {
    /// Creates the age of a list that hasn't been read. `leave_within` is the time within which
    /// a leaving server must stop getting requests.
    #[must_use]
    pub fn new(leave_within: Duration) -> Self {
        Self {
            max_age: leave_within.mul_f64(MAX_WRITE_AGE_FRACTION),
            state: Mutex::default(),
            read_wanted: Condvar::new(),
            changed: Notify::new(),
        }
    }

    /// Records that all changes up to `until` have been applied.
    pub fn record_covered(&self, until: Duration) {
        let mut state = self.lock();
        state.covered_until = state.covered_until.max(Some(until));
        state.is_failing = false;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records that a call to the platform begins.
    pub fn begin_call(&self) {
        let mut state = self.lock();
        state.is_calling = true;
        state.is_wanted = false;
    }

    /// Records that a call to the platform has ended, and whether it failed. What it brought
    /// counts only once it has been applied.
    pub fn end_call(&self, failed: bool) {
        let mut state = self.lock();
        state.is_calling = false;
        state.is_failing |= failed;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns for how long changes may be unknown, or `None` if the list hasn't been read.
    #[must_use]
    pub fn get(&self, now: Duration) -> Option<Duration> {
        self.lock().covered_until.map(|until| now.saturating_sub(until))
    }

    /// Returns whether a request may be written to a server of the list now. A list that is too
    /// old still serves while the platform fails, and while a call waits for changes: these would
    /// be known at once, unless this process is late (`is_late`).
    #[must_use]
    pub fn permits_write(&self, now: Duration, is_late: bool) -> bool {
        let state = self.lock();
        let Some(until) = state.covered_until else { return true };
        now.saturating_sub(until) <= self.max_age
            || state.is_failing
            || (state.is_calling && !is_late)
    }

    /// Asks for a read without delay, as a request waits for it.
    fn want_read(&self) {
        self.lock().is_wanted = true;
        self.read_wanted.notify_all();
    }

    /// Returns whether a request waits for a read.
    pub(crate) fn is_read_wanted(&self) -> bool {
        self.lock().is_wanted
    }

    /// Pauses the thread that reads the list, until a read is wanted.
    pub(crate) fn pause(&self, span: Duration) {
        let state = self.lock();
        let waited = self
            .read_wanted
            .wait_timeout_while(state, span, |state| !state.is_wanted);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Waits until `permits` returns `true`, for `max_wait` at most, and has the list read
    /// meanwhile. Returns whether it did.
    pub(crate) async fn wait_until(
        &self,
        permits: impl Fn() -> bool,
        max_wait: Duration,
    ) -> bool {
        let start = Instant::now();
        while !permits() {
            if start.elapsed() >= max_wait {
                return false;
            }
            self.want_read();
            // Fails if there is no change until then, which is checked anyway.
            let _ = timeout(RECHECK_INTERVAL, self.changed.notified()).await;
        }
        true
    }

    /// Locks the state, even if a thread has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, AgeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
