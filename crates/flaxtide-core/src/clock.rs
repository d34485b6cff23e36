//! The one source of time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A clock that counts milliseconds since its start.
///
/// All durations that are compared with each other come from one clock. A manual clock
/// only moves when it is told to, which makes tests and replays exact.
#[derive(Debug, Clone)]
pub struct MilliClock {
    source: ClockSource,
}

/// Where a clock takes its time from.
#[derive(Debug, Clone)]
enum ClockSource {
    /// The system's monotonic clock, from the given start.
    Real(Instant),
    /// A counter of milliseconds that only [`MilliClock::advance`] moves.
    Manual(Arc<AtomicU64>),
}

impl MilliClock {
    /// Starts a clock that follows the system's monotonic clock.
    ///
    /// ```
    /// let clock = flaxtide_core::MilliClock::real();
    /// assert!(clock.now() < std::time::Duration::from_secs(60));
    /// ```
    #[must_use]
    pub fn real() -> Self {
        Self { source: ClockSource::Real(Instant::now()) }
    }

    /// Starts a clock that stands still until [`advance`](Self::advance) moves it.
    #[must_use]
    pub fn manual() -> Self {
        Self {
            source: ClockSource::Manual(Arc::new(AtomicU64::new(0))),
        }
    }

    /// Returns the time since the clock's start, in whole milliseconds.
    #[must_use]
    pub fn now(&self) -> Duration {
        let millis = match &self.source {
            ClockSource::Real(start) => start.elapsed().as_millis() as u64,
            ClockSource::Manual(millis) => millis.load(Ordering::SeqCst),
        };
        Duration::from_millis(millis)
    }

    /// Moves a manual clock forward. A real clock isn't changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let clock = flaxtide_core::MilliClock::manual();
    /// clock.advance(Duration::from_millis(5));
    /// assert_eq!(clock.now(), Duration::from_millis(5));
    /// ```
    pub fn advance(&self, span: Duration) {
        if let ClockSource::Manual(millis) = &self.source {
            millis.fetch_add(span.as_millis() as u64, Ordering::SeqCst);
        }
    }
}
