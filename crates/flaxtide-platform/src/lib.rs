//! What flaxtide needs of the platform, and what it keeps there.
//!
//! The contracts are traits: [`TableService`], [`ObjectStore`] and [`InstanceList`].
//! [`PlatformClient`] speaks all three over HTTP. On top stand [`SettingsStore`], the
//! versions of the settings with their audit trail, and [`ClaimStore`], the rows by which
//! a request runs at most once.

mod claims;
mod client;
mod contract;
mod error;
mod lease;
mod settings;

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
