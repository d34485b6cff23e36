//! Which call a watcher makes next, and when.

use std::time::Duration;

use derive_more::Display;
use flaxtide_policy::EngineReport;

/// The shortest time between the beginnings of two calls for cache changes. An engine whose
/// cache changes all the time answers them at once.
const MIN_CACHE_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two calls for the report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two calls for the report while the engine's load changes quickly.
const CHANGING_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long no calls for cache changes are made after one that the engine refused, or whose
/// answer couldn't be used.
const CACHE_PAUSE: Duration = Duration::from_secs(5);

/// An engine's load changes quickly if a count changes by more than one part in this many
/// between two reports.
const CHANGE_DIVISOR: u32 = 4;

/// A call of a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WatchCall {
    /// For the engine's report.
    #[display("report")]
    Report,
    /// For changes of the engine's cache.
    #[display("cache")]
    Cache,
}

/// Decides which call a watcher makes next, and when.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::{WatchCall, WatchPace};
/// let mut pace = WatchPace::default();
/// assert_eq!(pace.next_call(true, Duration::ZERO), (WatchCall::Report, Duration::ZERO));
/// pace.begin(WatchCall::Report, Duration::ZERO);
/// let now = Duration::from_millis(10);
/// assert_eq!(pace.next_call(true, now), (WatchCall::Cache, now));
/// ```
#[derive(Debug, Default)]
pub struct WatchPace {
    /// When the last call for cache changes began.
    last_cache_call: Option<Duration>,
    /// When the last call for the report began.
    last_report_call: Option<Duration>,
    /// The number of waiting and of running requests in the last report.
    load: Option<(u32, u32)>,
    /// Whether the load differs much between the last two reports.
    load_changes: bool,
    /// Until when no calls for cache changes are made.
    cache_resumes_at: Duration,
}

impl WatchPace {
    /// Returns the next call and the time at which it begins, which is `now` or later.
    /// `reads_reports` says whether this watcher is to read the engine's reports. While no
    /// calls for cache changes are made, it reads them anyway, as a proof of life.
    #[must_use]
    pub fn next_call(&self, reads_reports: bool, now: Duration) -> (WatchCall, Duration) {
        let is_paused = self.cache_resumes_at > now;
        let earliest = self.last_cache_call.map_or(now, |at| at + MIN_CACHE_INTERVAL);
        let cache_at = earliest.max(self.cache_resumes_at).max(now);
        let report_at = self.report_due_at(reads_reports).max(now);
        if (reads_reports || is_paused) && report_at <= cache_at {
            return (WatchCall::Report, report_at);
        }
        (WatchCall::Cache, cache_at)
    }

    /// Records that a call begins.
    pub fn begin(&mut self, call: WatchCall, now: Duration) {
        match call {
            WatchCall::Report => self.last_report_call = Some(now),
            WatchCall::Cache => self.last_cache_call = Some(now),
        }
    }

    /// Records a report.
    pub fn record_report(&mut self, report: &EngineReport) {
        let load = (report.waiting, report.running);
        self.load_changes = self.load.is_some_and(|last| {
            differs_much(last.0, load.0) || differs_much(last.1, load.1)
        });
        self.load = Some(load);
    }

    /// Stops the calls for cache changes for a while.
    pub fn pause_cache(&mut self, now: Duration) {
        self.cache_resumes_at = now + CACHE_PAUSE;
    }

    /// Returns when the next call for the report is due.
    fn report_due_at(&self, reads_reports: bool) -> Duration {
        let interval = if reads_reports && self.load_changes {
            CHANGING_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        self.last_report_call.map_or(Duration::ZERO, |at| at + interval)
    }
}

/// Returns whether a count has changed by more than one part in [`CHANGE_DIVISOR`].
fn differs_much(before: u32, after: u32) -> bool {
    before.abs_diff(after) > before / CHANGE_DIVISOR
}
