//! A wall clock that ignores short jumps of the machine's time of day.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::MilliClock;

/// The number of offsets between the time of day and the monotonic clock that are kept. Once
/// that many are kept, a jump moves the median after about half of them show it.
const SAMPLE_COUNT: usize = 31;

/// A clock of the time since the start of 1970 that ignores short jumps.
///
/// The machine's time of day may jump, and jump back. This clock adds the median of the last
/// sampled offsets to a monotonic clock, so that a jump moves it only once the jump has
/// lasted for half of the samples.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_core::{MilliClock, WallClock};
/// let monotonic = MilliClock::manual();
/// let mut wall = WallClock::new(monotonic.clone());
/// let noon = Duration::from_secs(1_000_000);
/// (0..5).for_each(|_| wall.sample(noon));
/// wall.sample(noon + Duration::from_secs(7));
/// assert_eq!(wall.now(), noon, "one deviating sample doesn't move the clock");
/// ```
#[derive(Debug, Clone)]
pub struct WallClock {
    /// The clock that the offset is added to.
    monotonic: MilliClock,
    /// The last offsets of the time of day from `monotonic`, in milliseconds, oldest first.
    offsets: VecDeque<i64>,
    /// The median of `offsets`, in milliseconds.
    median_offset: i64,
}

impl WallClock {
    /// Creates a clock without samples. Until the first sample, it returns the time of
    /// `monotonic`.
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
        // A time of day before 1970 counts as 1970; the median treats it like any other jump.
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.sample(time);
    }

    /// Records a sample, with `time` as the current time of day.
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

    /// Returns the time of day, as the time since the start of 1970.
    #[must_use]
    pub fn now(&self) -> Duration {
        let monotonic = self.monotonic.now().as_millis() as i64;
        let millis = monotonic.saturating_add(self.median_offset);
        Duration::from_millis(u64::try_from(millis).unwrap_or_default())
    }
}
