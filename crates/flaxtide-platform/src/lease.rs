//! Storage of leases in the platform's table.

use std::sync::Arc;

use flaxtide_policy::LeaseRow;

use crate::contract::{
    CommitResult, RowCondition, RowPut, TableService, TableTransaction,
};
use crate::error::PlatformError;

/// Reads and writes leases in the platform's table.
#[derive(Clone)]
pub struct LeaseStore {
    /// The table service that holds the leases.
    table: Arc<dyn TableService>,
}

impl LeaseStore {
    /// Creates a store that uses `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Reads a lease with the version of its row; `None` if there is no row.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub fn read(&self, key: &str) -> Result<Option<(LeaseRow, u64)>, PlatformError> {
        let Some(row) = self.table.read(key)? else { return Ok(None) };
        let lease = serde_json::from_value(row.value).map_err(|cause| {
            PlatformError::BadAnswer { message: format!("row {key}: {cause}") }
        })?;
        Ok(Some((lease, row.version)))
    }

    /// Writes a lease if its row still has the `expected` version, or doesn't exist for `None`.
    /// Returns the new version, or `None` if the condition didn't hold.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; after [`PlatformError::NoAnswer`], the write may still take effect.
    pub fn write(
        &self,
        key: &str,
        expected: Option<u64>,
        lease: &LeaseRow,
    ) -> Result<Option<u64>, PlatformError> {
        let value = serde_json::to_value(lease).unwrap_or_default();
        let transaction = TableTransaction {
            conditions: vec![RowCondition { key: key.to_owned(), version: expected }],
            puts: vec![RowPut { key: key.to_owned(), value }],
        };
        match self.table.commit(&[transaction])?.first() {
            Some(CommitResult::Committed { version }) => Ok(Some(*version)),
            _ => Ok(None),
        }
    }
}
