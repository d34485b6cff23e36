//! Usage by organisation and window of time: what an instance counts ([`UsageLedger`]) and
//! what the one that reports adds up ([`UsageTally`]).
//!
//! Counts are cumulative for each instance, start of it, and window. A message that is lost,
//! doubled, late or out of order changes nothing.

mod ledger;
mod tally;

pub use self::ledger::UsageLedger;
pub use self::tally::{UsageSource, UsageTally, WindowTotal};

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of a window: so many whole windows have passed since the start of 1970.
pub type WindowNumber = u64;

/// What stands for an organisation's name.
pub type UsageKey = u32;

/// How many requests of each organisation began to run.
pub type UsageCounts = BTreeMap<UsageKey, u32>;

/// For how many windows counts are kept after their end.
pub(crate) const WINDOWS_KEPT: u64 = 8;

/// The counts of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowNumber,
    /// How many requests of each organisation began to run in it.
    pub counts: Vec<(UsageKey, u32)>,
}

/// Returns the window in which a moment lies, counted from the start of 1970.
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

/// Returns when a window ends, counted from the start of 1970.
#[must_use]
pub fn window_end(window: WindowNumber, length: Duration) -> Duration {
    Duration::from_millis((window + 1) * length.as_millis() as u64)
}
