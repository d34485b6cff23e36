//! The monotonic clock that all packages use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A clock that counts milliseconds since its start.
///
/// Times that are compared with each other must come from the same clock. Clones of
/// a clock show the same time. A manual clock moves only on [`advance`](Self::advance), which
/// makes tests and replays deterministic.
#[derive(Debug, Clone)]
pub struct MilliClock {
    /// Where the time comes from.
    source: ClockSource,
}

/// Where a clock takes its time from.
#[derive(Debug, Clone)]
enum ClockSource {
    /// The system's time since boot, counted from the given start.
    Real(Duration),
    /// The same, plus a counter of milliseconds that only [`MilliClock::advance`] moves.
    Jumping(Duration, Arc<AtomicU64>),
    /// A counter of milliseconds that only [`MilliClock::advance`] moves.
    Manual(Arc<AtomicU64>),
}

impl MilliClock {
    /// Starts a clock that follows the time since boot. Unlike `CLOCK_MONOTONIC`, it includes the
    /// time for which the machine is suspended, so that data received before a suspension counts
    /// as that much older afterwards, and waits and deadlines go on during it.
    ///
    /// ```
    /// let clock = flaxtide_core::MilliClock::real();
    /// assert!(clock.now() < std::time::Duration::from_secs(60));
    /// ```
    #[must_use]
    pub fn real() -> Self {
        Self { source: ClockSource::Real(since_boot()) }
    }

    /// Starts a clock like [`real`](Self::real) that [`advance`](Self::advance) can also move
    /// forward, to simulate a suspension of the machine.
    #[must_use]
    pub fn jumping() -> Self {
        Self {
            source: ClockSource::Jumping(since_boot(), Arc::default()),
        }
    }

    /// Starts a clock at zero that only [`advance`](Self::advance) moves.
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
            ClockSource::Real(start) => millis_since(*start),
            ClockSource::Jumping(start, jumped) => {
                millis_since(*start) + jumped.load(Ordering::SeqCst)
            }
            ClockSource::Manual(millis) => millis.load(Ordering::SeqCst),
        };
        Duration::from_millis(millis)
    }

    /// Moves a manual or jumping clock forward by `span`. Has no effect on a real clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// let clock = flaxtide_core::MilliClock::manual();
    /// clock.advance(Duration::from_millis(5));
    /// assert_eq!(clock.now(), Duration::from_millis(5));
    /// ```
    pub fn advance(&self, span: Duration) {
        if let ClockSource::Manual(millis) | ClockSource::Jumping(_, millis) =
            &self.source
        {
            millis.fetch_add(span.as_millis() as u64, Ordering::SeqCst);
        }
    }
}

/// Returns the time since boot, suspensions included.
fn since_boot() -> Duration {
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // Every supported kernel has CLOCK_BOOTTIME; the fallback keeps the clock moving elsewhere.
    let time = boot.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map_or(Duration::ZERO, Duration::from)
}

/// Returns the milliseconds that have passed since `start`, a time since boot.
fn millis_since(start: Duration) -> u64 {
    since_boot().saturating_sub(start).as_millis() as u64
}
