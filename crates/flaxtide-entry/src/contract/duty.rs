//! Calls to the platform for the duties that one instance performs under a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flaxtide_core::{InstanceName, OrganisationName, StoreVersion};
use flaxtide_policy::{LeaseRow, ServerOrder, UsageCounts, WindowNumber};
use serde::{Deserialize, Serialize};

use super::feed::FeedError;

/// The row and the calls of the duties at the platform. All methods block.
pub trait DutyPlatform: Send + Sync {
    /// Reads the duty row with its version.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn read_row(&self) -> Result<DutyRead, FeedError>;

    /// Writes the duty row if its current version is `expected`; `None` means that there
    /// is no row. Returns the new version, or `None` if the current version is another.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]. After [`FeedError::NoAnswer`], it may still be written.
    fn write_row(
        &self,
        expected: Option<StoreVersion>,
        row: &DutyRow,
    ) -> Result<Option<StoreVersion>, FeedError>;

    /// Reports the usage of a window.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]. After [`FeedError::NoAnswer`], it may still be applied.
    fn report_usage(
        &self,
        credentials: &DutyCredentials,
        report: &UsageReport,
    ) -> Result<DutyAnswer, FeedError>;

    /// Orders backend servers for a service.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]. After [`FeedError::NoAnswer`], it may still be applied, even
    /// after newer orders.
    fn order_servers(
        &self,
        credentials: &DutyCredentials,
        service: &str,
        order: &ServerOrder,
    ) -> Result<DutyAnswer, FeedError>;
}

/// The result of reading the duty row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyRead {
    /// The row and its version, or `None` if there is no row.
    pub row: Option<(DutyRow, StoreVersion)>,
    /// The current era of the store.
    pub era: u64,
}

/// The row in the platform's table that records the holder of the duties and their
/// progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// The lease of the holder.
    pub lease: LeaseRow,
    /// The address at which the holder listens to its peers.
    pub address: SocketAddr,
    /// The era of the store in which the row was written.
    pub era: u64,
    /// The last settled report. Its window is never reported with other counts.
    pub settled: Option<UsageReport>,
    /// Whether the platform has acknowledged the settled report.
    pub acknowledged: bool,
    /// The first window that holders have to report.
    pub owed_from: WindowNumber,
    /// The counts that instances have reported for windows that aren't settled.
    pub drafts: BTreeMap<WindowNumber, UsageCounts>,
}

/// Identifies the holder that makes a call, so that the platform refuses calls of earlier
/// holders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCredentials {
    /// The name of the instance.
    pub holder: InstanceName,
    /// The fence, which increases with each holder and after an order with an unknown
    /// outcome.
    pub fence: u64,
}

/// The number of requests of each organisation that began to run in a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The number of the window.
    pub window: WindowNumber,
    /// The number of requests by organisation.
    pub counts: BTreeMap<OrganisationName, u32>,
}

/// The platform's answer to a call of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call was applied.
    Taken,
    /// A higher fence has been used, or the ordered servers aren't available now.
    Refused,
    /// The platform has too many calls. Nothing was done.
    Busy,
}
