//! The contracts with the platform.
//!
//! The platform is operated by the users of flaxtide; these traits specify what flaxtide relies
//! on. Each has a contract test that runs against `flaxtide-standin`.

use std::net::SocketAddr;

use flaxtide_core::{DataCentreName, InstanceName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PlatformError;

/// A transactional table of JSON rows by key.
pub trait TableService: Send + Sync {
    /// Commits several transactions in one write. Each is atomic and succeeds or fails
    /// independently of the others. Returns one result for each, in order.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotDone`] guarantees that nothing was committed. After
    /// [`PlatformError::NoAnswer`], each transaction may have been committed, or may still be.
    fn commit(
        &self,
        transactions: &[TableTransaction],
    ) -> Result<Vec<CommitResult>, PlatformError>;

    /// Reads a row; `None` if the table has none with this key.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; reading has no effect.
    fn read(&self, key: &str) -> Result<Option<TableRow>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in
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

/// An object store, for data that is too large for a row.
pub trait ObjectStore: Send + Sync {
    /// Stores an object. Objects are immutable: a key must always be written with the same
    /// content.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; it is safe to store the object again.
    fn put(&self, key: &str, content: &[u8]) -> Result<(), PlatformError>;

    /// Reads an object; `None` if the store has none with this key.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;
}

/// The platform's list of live and leaving instances, which may be out of date.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn list(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key of the row.
    pub key: String,
    /// The version, assigned by the write that stored the row. Each later write has a higher one.
    pub version: u64,
    /// The content, as JSON.
    pub value: Value,
}

/// A transaction, which writes all its rows if all its conditions hold, and nothing otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// The conditions that must all hold.
    pub conditions: Vec<RowCondition>,
    /// The rows to write.
    pub puts: Vec<RowPut>,
}

/// A condition on the version of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have; `None` if the row must not exist.
    pub version: Option<u64>,
}

/// A row to write, in place of any row with the same key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowPut {
    /// The key of the row.
    pub key: String,
    /// The new content, as JSON.
    pub value: Value,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitResult {
    /// The transaction was committed.
    Committed {
        /// The version of all rows that it wrote.
        version: u64,
    },
    /// A condition didn't hold, so nothing was written.
    Conflict {
        /// The current rows of the conditions, in their order; `None` for one that doesn't exist.
        rows: Vec<Option<TableRow>>,
    },
}

/// The role of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceRole {
    /// An entry instance of flaxtide.
    Entry,
    /// A backend server.
    Backend,
}

/// The state of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance may be sent work.
    Live,
    /// The instance is to be stopped soon and gets no new work.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name; for a backend server, its name in the settings.
    pub name: InstanceName,
    /// The data centre in which the instance runs.
    pub data_centre: DataCentreName,
    /// Whether it is an entry instance or a backend server.
    pub role: InstanceRole,
    /// Whether it may be sent new work.
    pub state: InstanceState,
    /// The address on which an entry instance receives messages from its peers.
    pub address: SocketAddr,
}
