//! Versions of the settings in the platform's table, with their audit trail.
//!
//! A version is one transaction: the head moves from the version before, the tree is
//! replaced, and an audit record is added, together. The audit records hold the edits, so
//! that an instance a few versions behind fetches those instead of the whole tree.

use std::sync::Arc;

use derive_more::{Display, Error};
use flaxtide_core::{EditId, SettingsEdit, SettingsTree, SettingsVersion};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::contract::{
    CommitResult, RowCondition, RowPut, TableRow, TableService, TableTransaction,
};
use crate::error::PlatformError;

/// The row that names the newest version.
const HEAD_KEY: &str = "settings/head";

/// The row that holds the newest tree.
const TREE_KEY: &str = "settings/tree";

/// What the keys of audit records start with.
const AUDIT_PREFIX: &str = "settings/audit/";

/// How often a commit is tried when no answer comes.
const COMMIT_ATTEMPTS: usize = 3;

/// The newest version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsHead {
    /// Its number; 0 before there is any.
    pub version: SettingsVersion,
}

/// A settings tree with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsVersioned {
    /// The version.
    pub version: SettingsVersion,
    /// The tree.
    pub tree: SettingsTree,
}

/// The record of one change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The version that the change made.
    pub version: SettingsVersion,
    /// The edit's id.
    pub edit: EditId,
    /// The operator who made it.
    pub operator: String,
    /// When, in milliseconds since 1970 on the clock of the instance that took it.
    pub at_unix_ms: u64,
    /// The changes; one with an empty path replaces the whole tree.
    pub edits: Vec<SettingsEdit>,
}

/// Why a change wasn't made.
#[derive(Debug, Display, Error)]
pub enum CommitFault {
    /// Another change came first.
    #[display(
        "the settings are at version {current} by now, changed by {}; look at `flaxctl settings diff` and repeat your edit on the new version",
        operator_names(between)
    )]
    Conflict {
        /// The newest version.
        current: SettingsVersion,
        /// What was changed since the version that the edit was based on.
        between: Vec<AuditRecord>,
    },
    /// Nothing was changed.
    #[display("the settings weren't changed: {cause}")]
    NotDone {
        /// Why not.
        cause: PlatformError,
    },
    /// The change may have been made.
    #[display(
        "the settings may have been changed: {cause}; see `flaxctl settings history`"
    )]
    Unknown {
        /// Why it isn't known.
        cause: PlatformError,
    },
}

/// The settings in the platform's table.
#[derive(Clone)]
pub struct SettingsStore {
    /// The table.
    table: Arc<dyn TableService>,
}

impl SettingsStore {
    /// Makes a store over a table.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Reads the newest version's number.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub fn head(&self) -> Result<SettingsHead, PlatformError> {
        let row = self.table.read(HEAD_KEY)?;
        row.map_or(Ok(SettingsHead { version: 0 }), parse_row)
    }

    /// Reads the newest tree, if there is any.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub fn newest(&self) -> Result<Option<SettingsVersioned>, PlatformError> {
        self.table.read(TREE_KEY)?.map(parse_row).transpose()
    }

    /// Reads up to `limit` audit records after a version, oldest first.
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

    /// Makes a change on top of `base`: `next` is the tree after it.
    ///
    /// A lost answer is resolved by reading back whose edit became the next version.
    ///
    /// # Errors
    ///
    /// [`CommitFault`] says whether the change may have been made.
    pub fn commit(
        &self,
        base: SettingsVersion,
        next: &SettingsTree,
        record: &AuditRecord,
    ) -> Result<SettingsVersion, CommitFault> {
        let mut unresolved = None;
        for _ in 0..COMMIT_ATTEMPTS {
            let cause = match self.try_commit(base, next, record) {
                Ok(Some(version)) => return Ok(version),
                Ok(None) => {
                    return self.resolve_conflict(base, record, unresolved.is_some());
                }
                Err(cause) => cause,
            };
            if !matches!(cause, PlatformError::NotDone { .. }) {
                unresolved = Some(cause);
            } else if unresolved.is_none() {
                return Err(CommitFault::NotDone { cause });
            }
        }
        let cause = unresolved
            .unwrap_or(PlatformError::NotDone { message: "no tries left".into() });
        Err(CommitFault::Unknown { cause })
    }

    /// Tries the transaction once. Nothing means that another change came first, or that
    /// this one is in already.
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

    /// Finds out whether the version after `base` is this very change.
    fn resolve_conflict(
        &self,
        base: SettingsVersion,
        record: &AuditRecord,
        unresolved: bool,
    ) -> Result<SettingsVersion, CommitFault> {
        /// How many changes the loser of a race is shown.
        const MAX_SHOWN_CHANGES: usize = 100;
        let between = match self.audit_after(base, MAX_SHOWN_CHANGES) {
            Ok(between) => between,
            Err(cause) if unresolved => return Err(CommitFault::Unknown { cause }),
            Err(cause) => return Err(CommitFault::NotDone { cause }),
        };
        if between.first().is_some_and(|first| first.edit == record.edit) {
            return Ok(record.version);
        }
        let current = between.last().map_or(base, |last| last.version);
        Err(CommitFault::Conflict { current, between })
    }
}

/// Returns the key of a version's audit record; keys sort as versions do.
fn audit_key(version: SettingsVersion) -> String {
    format!("{AUDIT_PREFIX}{version:020}")
}

/// Reads a row's value.
fn parse_row<T: serde::de::DeserializeOwned>(row: TableRow) -> Result<T, PlatformError> {
    serde_json::from_value(row.value).map_err(|cause| {
        let message = format!("row {}: {cause}", row.key);
        PlatformError::BadAnswer { message }
    })
}

/// Lists the operators of some changes.
fn operator_names(records: &[AuditRecord]) -> String {
    let mut names: Vec<&str> =
        records.iter().map(|record| record.operator.as_str()).collect();
    names.dedup();
    names.join(", ")
}
