//! The time of day, as far as a machine knows it.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::MilliClock;

/// How many differences between the time of day and the steady clock are remembered.
const SAMPLE_COUNT: usize = 31;

/// The time of day, counted from the start of 1970, that steps for a short while don't move.
///
/// The machine's time of day may jump, and jump back. What counts is the median of its
/// difference from the steady clock over the last samples: a jump moves this clock only
/// once it has lasted for half of them.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_core::{MilliClock, WallClock};
/// let monotonic = MilliClock::manual();
/// let mut wall = WallClock::new(monotonic.clone());
/// let noon = Duration::from_secs(1_000_000);
/// (0..5).for_each(|_| wall.sample(noon));
/// wall.sample(noon + Duration::from_secs(7));
/// assert_eq!(wall.now(), noon, "one sample isn't believed");
/// ```
#[derive(Debug, Clone)]
pub struct WallClock {
    /// The steady clock.
    monotonic: MilliClock,
    /// The differences, in milliseconds, the oldest first.
    offsets: VecDeque<i64>,
    /// Their median.
    median_offset: i64,
}

impl WallClock {
    /// Starts without a sample: until there is one, its time is that of the steady clock.
    #[must_use]
    pub fn new(monotonic: MilliClock) -> Self {
        Self {
            monotonic,
            offsets: VecDeque::new(),
            median_offset: 0,
        }
    }

    /// Samples the machine's time of day.
    pub fn sample_system(&mut self) {
        // A time of day before 1970 is as wrong as any other jump.
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.sample(time);
    }

    /// Records the time of day as it is now.
    pub fn sample(&mut self, time: Duration) {
        let offset = time.as_millis() as i64 - self.monotonic.now().as_millis() as i64;
        self.offsets.push_back(offset);
        if self.offsets.len() > SAMPLE_COUNT {
            self.offsets.pop_front();
        }
        let mut sorted: Vec<i64> = self.offsets.iter().copied().collect();
        sorted.sort_unstable();
        self.median_offset = sorted[(sorted.len() - 1) / 2];
    }

    /// Returns the time of day.
    #[must_use]
    pub fn now(&self) -> Duration {
        let monotonic = self.monotonic.now().as_millis() as i64;
        let millis = monotonic.saturating_add(self.median_offset);
        Duration::from_millis(u64::try_from(millis).unwrap_or_default())
    }
}
