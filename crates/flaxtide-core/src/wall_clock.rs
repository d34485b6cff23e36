//! The time of day, as far as a machine knows it.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::MilliClock;

/// How many differences between the time of day and the steady clock are remembered.
const SAMPLES: usize = 31;

/// The time of day, counted from the start of 1970, that steps for a short while don't move.
///
/// The machine's time of day may jump, and jump back. What counts is the median of its
/// difference from the steady clock over the last samples: a jump moves this clock only
/// once it has lasted for half of them.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_core::{MilliClock, WallClock};
/// let steady = MilliClock::manual();
/// let mut wall = WallClock::new(steady.clone());
/// let noon = Duration::from_secs(1_000_000);
/// (0..5).for_each(|_| wall.sample(noon));
/// wall.sample(noon + Duration::from_secs(7));
/// assert_eq!(wall.now(), noon, "one sample isn't believed");
/// ```
#[derive(Debug, Clone)]
pub struct WallClock {
    /// The steady clock.
    steady: MilliClock,
    /// The differences, in milliseconds, the oldest first.
    samples: VecDeque<i64>,
    /// Their median.
    offset: i64,
}

impl WallClock {
    /// Starts without a sample: until there is one, its time is that of the steady clock.
    #[must_use]
    pub fn new(steady: MilliClock) -> Self {
        Self { steady, samples: VecDeque::new(), offset: 0 }
    }

    /// Samples the machine's time of day.
    pub fn sample_system(&mut self) {
        // A time of day before 1970 is as wrong as any other jump.
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.sample(time);
    }

    /// Records the time of day as it is now.
    pub fn sample(&mut self, time: Duration) {
        let difference = time.as_millis() as i64 - self.steady.now().as_millis() as i64;
        self.samples.push_back(difference);
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
        let mut sorted: Vec<i64> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.offset = sorted[(sorted.len() - 1) / 2];
    }

    /// Returns the time of day.
    #[must_use]
    pub fn now(&self) -> Duration {
        let steady = self.steady.now().as_millis() as i64;
        let millis = steady.saturating_add(self.offset);
        Duration::from_millis(u64::try_from(millis).unwrap_or_default())
    }
}
