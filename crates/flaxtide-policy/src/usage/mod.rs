//! Usage counts by organisation and time window: each instance counts its own requests
//! ([`UsageLedger`]), and the instance that holds the usage duty adds them up
//! ([`UsageTally`]).
//!
//! Counts are cumulative for each window and each start of an instance. A report that is
//! lost, duplicated, delayed or reordered therefore doesn't distort the totals.

mod ledger;
mod tally;

pub use self::ledger::UsageLedger;
pub use self::tally::{UsageSource, UsageTally, WindowTotal};

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of a window: how many whole windows lie between the Unix epoch and its
/// start.
pub type WindowNumber = u64;

/// A hash of an organisation's name.
pub type UsageKey = u32;

/// The number of requests that started to run, by organisation.
pub type UsageCounts = BTreeMap<UsageKey, u32>;

/// The number of windows for which counts are kept after their end.
pub(crate) const WINDOWS_KEPT: u64 = 8;

/// The counts of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowNumber,
    /// The number of requests that started to run in the window, by organisation.
    pub counts: Vec<(UsageKey, u32)>,
}

/// Returns the window that contains a moment, which is given as the time since the Unix
/// epoch.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::window_of;
/// assert_eq!(window_of(Duration::from_secs(14), Duration::from_secs(5)), 2);
/// ```
#[must_use]
pub fn window_of(moment: Duration, length: Duration) -> WindowNumber {
    let length = length.as_millis().max(1);
    (moment.as_millis() / length) as WindowNumber
}

/// Returns the end of a window as the time since the Unix epoch.
#[must_use]
pub fn window_end(window: WindowNumber, length: Duration) -> Duration {
    Duration::from_millis((window + 1) * length.as_millis() as u64)
}
