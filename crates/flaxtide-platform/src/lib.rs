//! The services of the platform that flaxtide uses, and the data that it stores there.
//!
//! The traits [`TableService`], [`ObjectStore`] and [`InstanceList`] are the contracts.
//! [`PlatformClient`] implements all three over HTTP. Three stores use the table:
//! [`SettingsStore`] holds the settings with their audit trail, [`ClaimStore`] the claims that
//! let a request run at most once, and [`LeaseStore`] the leases.

mod body;
mod claims;
mod client;
mod contract;
mod error;
mod lease;
mod settings;

pub use self::body::read_whole_body;
pub use self::claims::{ClaimStore, claim_key};
pub use self::client::PlatformClient;
pub use self::contract::{
    CommitResult, InstanceList, InstanceRole, InstanceState, ListedInstance, ObjectStore,
    RowCondition, RowPut, TableRow, TableService, TableTransaction,
};
pub use self::error::PlatformError;
pub use self::lease::LeaseStore;
pub use self::settings::{
    AuditRecord, CommitFault, SettingsHead, SettingsStore, SettingsVersioned,
};
