//! Duties at the platform that one instance has for all, under a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flaxtide_core::{InstanceName, OrganisationName, StoreVersion};
use flaxtide_policy::{LeaseRow, ServerOrder, UsageCounts, WindowNumber};
use serde::{Deserialize, Serialize};

use super::feed::FeedError;

/// The platform's part in the duties. Calls block.
pub trait DutyPlatform: Send + Sync {
    /// Reads the row of the duties, with its version.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn read_row(&self) -> Result<DutyRead, FeedError>;

    /// Writes the row if the one that is there has a version; nothing means no row. Returns the
    /// new version, or nothing if another row is there.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]; after [`FeedError::NoAnswer`] it may be written yet.
    fn write_row(
        &self,
        expected: Option<StoreVersion>,
        row: &DutyRow,
    ) -> Result<Option<StoreVersion>, FeedError>;

    /// Reports the usage of a window.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]; after [`FeedError::NoAnswer`] it may be carried out yet.
    fn report_usage(
        &self,
        token: &FencingToken,
        report: &UsageReport,
    ) -> Result<DutyAnswer, FeedError>;

    /// Orders backend servers of a service.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`]; after [`FeedError::NoAnswer`] it may be carried out yet, after newer
    /// orders.
    fn order_servers(
        &self,
        token: &FencingToken,
        service: &str,
        order: &ServerOrder,
    ) -> Result<DutyAnswer, FeedError>;
}

/// What was read of the row of the duties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyRead {
    /// The row and its version; nothing if there is none.
    pub row: Option<(DutyRow, StoreVersion)>,
    /// The era of the store.
    pub era: u64,
}

/// The row of the duties in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// Who holds them.
    pub lease: LeaseRow,
    /// Where the holder hears its peers.
    pub address: SocketAddr,
    /// The era of the store in which this was written.
    pub era: u64,
    /// The last report that is settled: its window is reported with these counts only.
    pub settled: Option<UsageReport>,
    /// Whether the platform has acknowledged it.
    pub acknowledged: bool,
    /// No window before this one is owed.
    pub owed_from: WindowNumber,
    /// What instances had told of windows that weren't settled.
    pub drafts: BTreeMap<WindowNumber, UsageCounts>,
}

/// Who makes a call, under which fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencingToken {
    /// The instance.
    pub holder: InstanceName,
    /// The fencing number.
    pub fence: u64,
}

/// How many requests of each organisation began to run in a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// The requests.
    pub counts: BTreeMap<OrganisationName, u32>,
}

/// What the platform answers a call of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It is carried out.
    Taken,
    /// A higher fencing number was used, or what is ordered isn't to be had now.
    Refused,
    /// There are too many calls; nothing was done.
    Busy,
}
