//! Claims: table rows that let a request with an idempotency key run at most once.

use std::sync::Arc;

use flaxtide_policy::{ClaimRow, TableReply};

use crate::contract::{
    CommitResult, RowCondition, RowPut, TableRow, TableService, TableTransaction,
};
use crate::error::PlatformError;

/// Reads and writes claims in the platform's table.
#[derive(Clone)]
pub struct ClaimStore {
    /// The table service that holds the claims.
    table: Arc<dyn TableService>,
}

impl ClaimStore {
    /// Creates a store that uses `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Writes several claims in one group commit, and returns one reply for each. A claim is
    /// given with its key and the row version that it expects, `None` for no row.
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
            // An answer with another number of results doesn't tell which claims were written.
            Ok(_) => vec![TableReply::NoAnswer; claims.len()],
            Err(PlatformError::NotDone { .. }) => vec![TableReply::NotDone; claims.len()],
            Err(_) => vec![TableReply::NoAnswer; claims.len()],
        }
    }

    /// Reads a claim. A row that isn't a claim counts as absent.
    #[must_use]
    pub fn read(&self, key: &str) -> TableReply {
        match self.table.read(key) {
            Ok(row) => TableReply::Found(row.and_then(parse_claim)),
            Err(PlatformError::NotDone { .. }) => TableReply::NotDone,
            Err(_) => TableReply::NoAnswer,
        }
    }
}

/// Returns the table key of the claim for an organisation's idempotency key.
///
/// ```
/// assert_eq!(flaxtide_platform::claim_key("arica", "k1"), "claims/arica/k1");
/// ```
#[must_use]
pub fn claim_key(organisation: &str, idempotency_key: &str) -> String {
    format!("claims/{organisation}/{idempotency_key}")
}

/// Builds the transaction that writes a claim if its row has the expected version.
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

/// Converts the result of a claim's transaction.
fn table_reply(result: CommitResult) -> TableReply {
    match result {
        CommitResult::Committed { version } => TableReply::Written { version },
        CommitResult::Conflict { mut rows } => {
            TableReply::Found(rows.pop().flatten().and_then(parse_claim))
        }
    }
}

/// Parses a claim from a row, and returns it with the row's version. Returns `None` if the row
/// isn't a claim.
fn parse_claim(row: TableRow) -> Option<(ClaimRow, u64)> {
    let claim = serde_json::from_value(row.value).ok()?;
    Some((claim, row.version))
}
