//! The usage counts that instances report to the duty holder.

use flaxtide_policy::WindowCounts;

use crate::key::FleetKey;
use crate::wire::UsageNotice;

/// The usage that a duty holder hasn't received yet.
#[derive(Debug, Clone, PartialEq)]
pub struct UnconfirmedUsage {
    /// The time up to which this is complete, in Unix milliseconds.
    pub told_until_ms: u64,
    /// The windows that have changed since the holder's last confirmation.
    pub windows: Vec<WindowCounts>,
    /// The number of the instance's running and waiting requests, by service.
    pub open: Vec<(FleetKey, u32)>,
    /// The value to pass to `confirm` once the holder has received this.
    pub mark: u64,
}

/// Provides the usage that this instance has counted, and receives that of its peers.
pub trait UsageExchange: Send + Sync {
    /// Returns the usage that the holder with this fencing token hasn't received.
    fn unconfirmed(&self, fence: u64) -> UnconfirmedUsage;

    /// Records that the holder has received the usage with this mark.
    fn confirm(&self, fence: u64, mark: u64);

    /// Records the usage that a peer has counted. Returns whether this instance holds the
    /// duties.
    fn receive(&self, notice: UsageNotice) -> bool;
}
