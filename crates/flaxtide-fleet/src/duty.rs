//! What instances tell the one that holds the duties.

use flaxtide_policy::WindowCounts;

use crate::key::FleetKey;
use crate::wire::UsageNotice;

/// What an instance has to tell a holder.
#[derive(Debug, Clone, PartialEq)]
pub struct UnsentUsage {
    /// Up to when this is everything, in milliseconds since the start of 1970.
    pub told_until_ms: u64,
    /// The windows that have changed.
    pub windows: Vec<WindowCounts>,
    /// How many of its requests run or wait, by service.
    pub open: Vec<(FleetKey, u32)>,
    /// With what it is confirmed that the holder has heard this.
    pub mark: u64,
}

/// Gives what this instance has counted, and takes what peers have.
pub trait UsageExchange: Send + Sync {
    /// Returns what the holder with a fencing number hasn't heard.
    fn unsent(&self, fence: u64) -> UnsentUsage;

    /// Records that it has heard the news with a mark.
    fn confirm(&self, fence: u64, mark: u64);

    /// Takes what a peer has counted. Returns whether this instance holds the duties.
    fn receive(&self, notice: UsageNotice) -> bool;
}
