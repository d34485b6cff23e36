//! The contracts with the platform.
//!
//! The platform is run by the users; these traits say what flaxtide relies on. Each has a
//! contract test that runs against the stand-in.

use std::net::SocketAddr;

use flaxtide_core::{DataCentreName, InstanceName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PlatformError;

/// The transactional table service.
pub trait TableService: Send + Sync {
    /// Commits each transaction as a whole or not at all, independently of the others,
    /// in one write.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotDone`] promises that nothing was committed;
    /// [`PlatformError::NoAnswer`] says that each may have been, or may still be.
    fn commit(
        &self,
        transactions: &[TableTransaction],
    ) -> Result<Vec<CommitResult>, PlatformError>;

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; reading has no effect.
    fn read(&self, key: &str) -> Result<Option<TableRow>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`, in
    /// the order of their keys.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; reading has no effect.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError>;
}

/// The object store, for what is too large for a row.
pub trait ObjectStore: Send + Sync {
    /// Stores an object under a key that is never written with another content.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; storing again is harmless.
    fn put(&self, key: &str, content: &[u8]) -> Result<(), PlatformError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;
}

/// The list of live and leaving instances. It lags.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn list(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The number of the write that made it. Each write gets a higher one.
    pub version: u64,
    /// What it holds.
    pub value: Value,
}

/// A transaction: if every condition holds, every row is put.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What is then written.
    pub puts: Vec<RowPut>,
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: String,
    /// The version that it must have; nothing if there must be no row.
    pub version: Option<u64>,
}

/// A row to be written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowPut {
    /// The row's key.
    pub key: String,
    /// What it is to hold.
    pub value: Value,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitResult {
    /// It was committed; its rows have this version.
    Committed {
        /// The version.
        version: u64,
    },
    /// A condition didn't hold; nothing was written.
    Conflict {
        /// The rows that the conditions name, as they are.
        rows: Vec<Option<TableRow>>,
    },
}

/// What an instance in the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceRole {
    /// An entry instance of flaxtide.
    Entry,
    /// A backend server.
    Backend,
}

/// Whether an instance in the list is to get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It is.
    Live,
    /// It is to be stopped soon.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its name; a backend server's is that of the settings.
    pub name: InstanceName,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// What it is.
    pub role: InstanceRole,
    /// Whether it is to get work.
    pub state: InstanceState,
    /// Where an entry instance hears its peers.
    pub address: SocketAddr,
}
