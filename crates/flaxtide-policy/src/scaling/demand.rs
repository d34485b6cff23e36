//! How many requests were open at once lately.

use std::collections::VecDeque;
use std::time::Duration;

/// The shortest span over which a mean is taken.
const MIN_MEAN_SPAN: Duration = Duration::from_millis(600);

/// For how long demand is remembered.
const HISTORY: Duration = Duration::from_secs(60);

/// The demand for the servers of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct DemandLog {
    /// How many requests ran or waited, and when; the newest last.
    samples: VecDeque<(Duration, u32)>,
}

impl DemandLog {
    /// Records how many requests run or wait.
    pub(super) fn record(&mut self, open: u32, now: Duration) {
        self.samples.push_back((now, open));
        while self.samples.front().is_some_and(|(at, _)| now >= *at + HISTORY) {
            self.samples.pop_front();
        }
    }

    /// Returns the most requests at once within a span.
    pub(super) fn peak(&self, span: Duration, now: Duration) -> u32 {
        self.within(span, now).max().unwrap_or_default()
    }

    /// Returns how many requests were open on average within a span, since the first one.
    pub(super) fn mean(&self, span: Duration, now: Duration) -> f64 {
        let busy = self.busy_since().map_or(Duration::ZERO, |since| now - since);
        let (sum, count) = self
            .within(span.min(busy + MIN_MEAN_SPAN), now)
            .fold((0.0, 0u32), |(sum, count), open| (sum + f64::from(open), count + 1));
        sum / f64::from(count.max(1))
    }

    /// Returns when the first request was seen that is remembered.
    pub(super) fn busy_since(&self) -> Option<Duration> {
        self.samples.iter().find(|(_, open)| *open > 0).map(|(at, _)| *at)
    }

    /// Returns the samples of a span, the newest first.
    fn within(&self, span: Duration, now: Duration) -> impl Iterator<Item = u32> {
        let newest = self.samples.iter().rev();
        newest
            .take_while(move |(at, _)| now < *at + span)
            .map(|(_, open)| *open)
    }
}
