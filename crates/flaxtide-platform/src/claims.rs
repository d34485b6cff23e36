//! The rows by which a request with an idempotency key runs at most once.

use std::sync::Arc;

use flaxtide_policy::{ClaimRow, TableReply};

use crate::contract::{
    CommitResult, RowCondition, RowPut, TableRow, TableService, TableTransaction,
};
use crate::error::PlatformError;

/// The claims in the platform's table.
#[derive(Clone)]
pub struct ClaimStore {
    /// The table.
    table: Arc<dyn TableService>,
}

impl ClaimStore {
    /// Makes a store over a table.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Writes several claims in one group commit. Each names its key, the version that it
    /// expects and its row.
    #[must_use]
    pub fn write(&self, claims: &[(String, Option<u64>, ClaimRow)]) -> Vec<TableReply> {
        let transactions: Vec<_> = claims
            .iter()
            .map(|(key, expected, row)| claim_transaction(key, *expected, row))
            .collect();
        match self.table.commit(&transactions) {
            Ok(results) if results.len() == claims.len() => {
                results.into_iter().map(table_reply).collect()
            }
            Ok(_) => vec![TableReply::NoAnswer; claims.len()],
            Err(PlatformError::NotDone { .. }) => vec![TableReply::NotDone; claims.len()],
            Err(_) => vec![TableReply::NoAnswer; claims.len()],
        }
    }

    /// Reads a claim.
    #[must_use]
    pub fn read(&self, key: &str) -> TableReply {
        match self.table.read(key) {
            Ok(row) => TableReply::Found(row.and_then(parse_claim)),
            Err(PlatformError::NotDone { .. }) => TableReply::NotDone,
            Err(_) => TableReply::NoAnswer,
        }
    }
}

/// Returns the key of the row for an organisation's idempotency key.
///
/// ```
/// assert_eq!(flaxtide_platform::claim_key("arica", "k1"), "claims/arica/k1");
/// ```
#[must_use]
pub fn claim_key(organisation: &str, idempotency_key: &str) -> String {
    format!("claims/{organisation}/{idempotency_key}")
}

/// Builds the transaction that writes one claim.
fn claim_transaction(
    key: &str,
    expected: Option<u64>,
    row: &ClaimRow,
) -> TableTransaction {
    let value = serde_json::to_value(row).unwrap_or_default();
    TableTransaction {
        conditions: vec![RowCondition { key: key.to_owned(), version: expected }],
        puts: vec![RowPut { key: key.to_owned(), value }],
    }
}

/// Turns what became of a transaction into the reply to an attempt.
fn table_reply(result: CommitResult) -> TableReply {
    match result {
        CommitResult::Committed { version } => TableReply::Written { version },
        CommitResult::Conflict { mut rows } => {
            TableReply::Found(rows.pop().flatten().and_then(parse_claim))
        }
    }
}

/// Reads a claim out of a row.
fn parse_claim(row: TableRow) -> Option<(ClaimRow, u64)> {
    let claim = serde_json::from_value(row.value).ok()?;
    Some((claim, row.version))
}
