//! The recent number of open requests.

use std::collections::VecDeque;
use std::time::Duration;

/// The minimum span over which a mean is computed.
const MIN_MEAN_SPAN: Duration = Duration::from_millis(600);

/// How long samples are kept.
const HISTORY: Duration = Duration::from_secs(60);

/// The recent demand for the servers of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct DemandLog {
    /// The number of requests that were running or waiting, with the time of the sample;
    /// the newest last.
    samples: VecDeque<(Duration, u32)>,
}

impl DemandLog {
    /// Records the number of requests that are running or waiting.
    pub(super) fn record(&mut self, open: u32, now: Duration) {
        self.samples.push_back((now, open));
        while self.samples.front().is_some_and(|(at, _)| now >= *at + HISTORY) {
            self.samples.pop_front();
        }
    }

    /// Returns the maximum number of open requests within a span.
    pub(super) fn peak(&self, span: Duration, now: Duration) -> u32 {
        self.within(span, now).max().unwrap_or_default()
    }

    /// Returns the mean number of open requests within a span, but not from before the
    /// first request.
    pub(super) fn mean(&self, span: Duration, now: Duration) -> f64 {
        let busy = self.busy_since().map_or(Duration::ZERO, |since| now - since);
        let (sum, count) = self
            .within(span.min(busy + MIN_MEAN_SPAN), now)
            .fold((0.0, 0u32), |(sum, count), open| (sum + f64::from(open), count + 1));
        sum / f64::from(count.max(1))
    }

    /// Returns when the first request was recorded, as far as samples are kept.
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
