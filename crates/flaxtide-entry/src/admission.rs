//! How many new connections an instance takes on while its processor is late.

use std::cell::Cell;
use std::time::Duration;

use crate::instance::TICK_INTERVAL;

/// A tick that follows the one before after this time shows that there is more to do than the
/// processor manages.
const OVERLOADED_TICK: Duration =
    Duration::from_millis(TICK_INTERVAL.as_millis() as u64 * 3 / 2);

/// The factor by which the limit falls with each such tick.
const DECREASE: f64 = 0.7;

/// The factor by which the limit rises with each other tick, and what is added to it.
const INCREASE: (f64, f64) = (1.05, 1.0);

/// The limit doesn't fall below this.
const MIN_LIMIT: f64 = 8.0;

/// The limit is lifted above this: more than any instance has open.
const MAX_LIMIT: f64 = 100_000.0;

/// A limit on the requests that are open at once, as long as the processor is late. What is beyond
/// it stays unread, so that callers turn to other instances instead of waiting for an answer that
/// comes too late.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::AdmissionLimit;
/// let limit = AdmissionLimit::default();
/// assert!(limit.admit(1000));
/// assert_eq!(limit.record_tick(Duration::from_millis(400), 100), Some(true));
/// assert!(limit.admit(69));
/// // One more is taken on until the next tick.
/// assert!(limit.admit(70) && !limit.admit(70));
/// ```
#[derive(Debug)]
pub struct AdmissionLimit {
    /// The most open requests with which another connection is taken on.
    limit: Cell<f64>,
    /// Whether a connection beyond the limit has been taken on since the last tick. Otherwise
    /// long streams could keep an instance from taking on any.
    exceeded: Cell<bool>,
}

impl Default for AdmissionLimit {
    fn default() -> Self {
        Self {
            limit: Cell::new(MAX_LIMIT),
            exceeded: Cell::new(false),
        }
    }
}

impl AdmissionLimit {
    /// Records a tick that came `span` after the one before, with `open` requests. Returns
    /// whether connections are limited now, if that has changed.
    pub fn record_tick(&self, span: Duration, open: usize) -> Option<bool> {
        let limit = self.limit.get();
        let was_limited = limit < MAX_LIMIT;
        let limit = match span >= OVERLOADED_TICK {
            true => limit.min(open as f64) * DECREASE,
            false => limit * INCREASE.0 + INCREASE.1,
        };
        let limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        self.limit.set(limit);
        self.exceeded.set(false);
        let is_limited = limit < MAX_LIMIT;
        (is_limited != was_limited).then_some(is_limited)
    }

    /// Returns whether another connection is taken on with `open` requests.
    #[must_use]
    pub fn admit(&self, open: usize) -> bool {
        (open as f64) < self.limit.get() || !self.exceeded.replace(true)
    }
}
