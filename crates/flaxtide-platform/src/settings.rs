//! Storage of settings versions in the platform's table, with an audit trail.
//!
//! One transaction creates a version: it advances the head row, replaces the tree and adds an
//! audit record. The audit records hold the edits, so that an instance that is a few versions
//! behind reads those instead of the whole tree.

use std::sync::Arc;

use derive_more::{Display, Error};
use flaxtide_core::{EditId, SettingsEdit, SettingsTree, SettingsVersion};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::contract::{
    CommitResult, RowCondition, RowPut, TableRow, TableService, TableTransaction,
};
use crate::error::PlatformError;

/// The key of the row that holds the number of the newest version.
const HEAD_KEY: &str = "settings/head";

/// The key of the row that holds the newest tree.
const TREE_KEY: &str = "settings/tree";

/// The prefix of the keys of audit records.
const AUDIT_PREFIX: &str = "settings/audit/";

/// The number of attempts to commit a change whose outcome is unknown.
const COMMIT_ATTEMPTS: usize = 3;

/// The content of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsHead {
    /// The number of the newest version; 0 if there is none yet.
    pub version: SettingsVersion,
}

/// A settings tree with its version number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsVersioned {
    /// The number of the version, as in the head row.
    pub version: SettingsVersion,
    /// The whole tree of this version.
    pub tree: SettingsTree,
}

/// The audit record of one change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The version that the change created.
    pub version: SettingsVersion,
    /// The id of the edit, which tells whether a change with a lost answer was committed.
    pub edit: EditId,
    /// The name of the operator who made the change.
    pub operator: String,
    /// The time of the change in milliseconds since 1970, by the clock of the instance that
    /// received it.
    pub at_unix_ms: u64,
    /// The edits that make up the change; one with an empty path replaces the whole tree.
    pub edits: Vec<SettingsEdit>,
}

/// The reason why a commit of a change failed.
#[derive(Debug, Display, Error)]
pub enum CommitFault {
    /// Another change was committed first, so this one wasn't made.
    #[display(
        "the settings are at version {current} by now, changed by {}; look at `flaxctl settings diff` and repeat your edit on the new version",
        operator_names(between)
    )]
    Conflict {
        /// The number of the newest version.
        current: SettingsVersion,
        /// The changes since the version that the edit was based on, oldest first.
        between: Vec<AuditRecord>,
    },
    /// The change wasn't made.
    #[display("the settings weren't changed: {cause}")]
    NotDone {
        /// The platform's error.
        cause: PlatformError,
    },
    /// The change may have been made.
    #[display(
        "the settings may have been changed: {cause}; see `flaxctl settings history`"
    )]
    Unknown {
        /// The platform's error that left the outcome unknown.
        cause: PlatformError,
    },
}

/// Reads and commits settings versions in the platform's table.
#[derive(Clone)]
pub struct SettingsStore {
    /// The table service that holds the settings.
    table: Arc<dyn TableService>,
}

impl SettingsStore {
    /// Creates a store that uses `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Reads the number of the newest version; 0 if there is none yet.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub fn head(&self) -> Result<SettingsHead, PlatformError> {
        let row = self.table.read(HEAD_KEY)?;
        row.map_or(Ok(SettingsHead { version: 0 }), parse_row)
    }

    /// Reads the newest tree; `None` if there is no version yet.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub fn newest(&self) -> Result<Option<SettingsVersioned>, PlatformError> {
        self.table.read(TREE_KEY)?.map(parse_row).transpose()
    }

    /// Reads up to `limit` audit records of the versions after `version`, oldest first.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub fn audit_after(
        &self,
        version: SettingsVersion,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, PlatformError> {
        let rows = self.table.scan(AUDIT_PREFIX, &audit_key(version), limit)?;
        rows.into_iter().map(parse_row).collect()
    }

    /// Commits a change of the version `base` that leads to the tree `next`, and returns the
    /// new version.
    ///
    /// If an answer is lost, the audit record of the version after `base` tells whether this
    /// change or another was committed.
    ///
    /// # Errors
    ///
    /// Returns a [`CommitFault`] that tells whether the change may have been made.
    pub fn commit(
        &self,
        base: SettingsVersion,
        next: &SettingsTree,
        record: &AuditRecord,
    ) -> Result<SettingsVersion, CommitFault> {
        // The error of the last attempt that may have been committed, which leaves the outcome
        // in doubt.
        let mut doubt = None;
        for _ in 0..COMMIT_ATTEMPTS {
            let cause = match self.try_commit(base, next, record) {
                Ok(Some(version)) => return Ok(version),
                Ok(None) => return self.resolve_conflict(base, record, doubt.is_some()),
                Err(cause) => cause,
            };
            if !matches!(cause, PlatformError::NotDone { .. }) {
                doubt = Some(cause);
            } else if doubt.is_none() {
                return Err(CommitFault::NotDone { cause });
            }
        }
        // The fallback is never used: the loop runs to its end only with `doubt` set.
        let cause =
            doubt.unwrap_or(PlatformError::NotDone { message: "no tries left".into() });
        Err(CommitFault::Unknown { cause })
    }

    /// Attempts the transaction once. Returns `None` if `base` isn't the newest version any more:
    /// another change was committed first, or this one by an earlier attempt.
    fn try_commit(
        &self,
        base: SettingsVersion,
        next: &SettingsTree,
        record: &AuditRecord,
    ) -> Result<Option<SettingsVersion>, PlatformError> {
        let head = self.table.read(HEAD_KEY)?;
        let row_version = head.as_ref().map(|row| row.version);
        let current = head.map_or(Ok(SettingsHead { version: 0 }), parse_row)?;
        if current.version != base {
            return Ok(None);
        }
        let version = record.version;
        let puts = vec![
            RowPut {
                key: HEAD_KEY.into(),
                value: json!(SettingsHead { version }),
            },
            RowPut {
                key: TREE_KEY.into(),
                value: json!(SettingsVersioned { version, tree: next.clone() }),
            },
            RowPut { key: audit_key(version), value: json!(record) },
        ];
        let head = RowCondition { key: HEAD_KEY.into(), version: row_version };
        let transaction = TableTransaction { conditions: vec![head], puts };
        match self.table.commit(&[transaction])?.first() {
            Some(CommitResult::Committed { .. }) => Ok(Some(version)),
            _ => Ok(None),
        }
    }

    /// Finds out whether the version after `base` is this change or another. `outcome_unknown`
    /// is set if an earlier attempt may have been committed.
    fn resolve_conflict(
        &self,
        base: SettingsVersion,
        record: &AuditRecord,
        outcome_unknown: bool,
    ) -> Result<SettingsVersion, CommitFault> {
        /// The largest number of conflicting changes that are reported.
        const MAX_SHOWN_CHANGES: usize = 100;
        let between = match self.audit_after(base, MAX_SHOWN_CHANGES) {
            Ok(between) => between,
            Err(cause) if outcome_unknown => return Err(CommitFault::Unknown { cause }),
            Err(cause) => return Err(CommitFault::NotDone { cause }),
        };
        if between.first().is_some_and(|first| first.edit == record.edit) {
            return Ok(record.version);
        }
        let current = between.last().map_or(base, |last| last.version);
        Err(CommitFault::Conflict { current, between })
    }
}

/// Returns the key of a version's audit record. Zero padding makes keys sort by version.
fn audit_key(version: SettingsVersion) -> String {
    format!("{AUDIT_PREFIX}{version:020}")
}

/// Deserializes the value of a row.
fn parse_row<T: serde::de::DeserializeOwned>(row: TableRow) -> Result<T, PlatformError> {
    serde_json::from_value(row.value).map_err(|cause| {
        let message = format!("row {}: {cause}", row.key);
        PlatformError::BadAnswer { message }
    })
}

/// Lists the operators who made some changes, without repeating adjacent equal names.
fn operator_names(records: &[AuditRecord]) -> String {
    let mut names: Vec<&str> =
        records.iter().map(|record| record.operator.as_str()).collect();
    names.dedup();
    names.join(", ")
}
