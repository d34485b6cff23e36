//! Reading and changing the settings.

use flaxtide_core::{SettingsEdit, SettingsTree, SettingsVersion};
use flaxtide_platform::{AuditRecord, CommitFault, SettingsVersioned};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::Request;

use super::param;
use super::reply::AdminReply;
use crate::logging::unix_millis;
use crate::request::header;
use crate::settings::apply_change;
use crate::shared::SharedState;

/// How many audit records are shown at once.
const SHOWN_RECORDS: usize = 200;

/// The body of a change of some places.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// The changes, in order.
    pub edits: Vec<SettingsEdit>,
}

/// The body of a history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryBody {
    /// The records, oldest first.
    pub records: Vec<AuditRecord>,
}

/// Shows the tree in force.
pub(super) fn show(shared: &SharedState) -> AdminReply {
    let view = shared.view();
    let (version, tree) = (view.version, view.tree.clone());
    AdminReply::json(200, &SettingsVersioned { version, tree }).with_version(version)
}

/// Shows the values in force at a path.
pub(super) fn effective(shared: &SharedState, query: &str) -> AdminReply {
    let path = param(query, "path").unwrap_or_default();
    match shared.view().tree.effective(path) {
        Some(values) => AdminReply::json(200, &values),
        None => {
            let remedy = "give `classes.NAME` or `organisations.NAME`";
            AdminReply::fault(404, "no such class or organisation", remedy)
        }
    }
}

/// Shows the audit records after a version.
pub(super) fn history(shared: &SharedState, query: &str) -> AdminReply {
    let after = param(query, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
    match shared.settings.audit_after(after, SHOWN_RECORDS) {
        Ok(records) => AdminReply::json(200, &HistoryBody { records }),
        Err(cause) => {
            let remedy = "try again when the platform answers";
            AdminReply::fault(503, &cause.to_string(), remedy)
        }
    }
}

/// Replaces the whole tree.
pub(super) fn replace(
    shared: &SharedState,
    request: &mut Request,
    operator: &str,
) -> AdminReply {
    let value = match read_body::<serde_json::Value>(request) {
        Ok(value) => value,
        Err(reply) => return reply,
    };
    let edit = SettingsEdit { path: String::new(), value: Some(value) };
    commit(shared, request, operator, vec![edit])
}

/// Changes some places of the tree.
pub(super) fn edit(
    shared: &SharedState,
    request: &mut Request,
    operator: &str,
) -> AdminReply {
    match read_body::<EditBody>(request) {
        Ok(body) if !body.edits.is_empty() => {
            commit(shared, request, operator, body.edits)
        }
        Ok(_) => AdminReply::fault(400, "no edits", "send at least one edit"),
        Err(reply) => reply,
    }
}

/// Makes a change on top of the version that `If-Match` names.
fn commit(
    shared: &SharedState,
    request: &Request,
    operator: &str,
    edits: Vec<SettingsEdit>,
) -> AdminReply {
    let Some(base) = base_version(request) else {
        let remedy = "send If-Match with the version that you have read, such as \"7\"; \
                      \"0\" if there are no settings yet";
        return AdminReply::fault(428, "the change names no version", remedy);
    };
    let tree = match tree_at(shared, base) {
        Ok(tree) => tree,
        Err(reply) => return reply,
    };
    let next = match apply_change(&tree, &edits) {
        Ok(next) => next,
        Err(fault) => {
            return AdminReply::detailed(422, &fault.to_string(), json!({}));
        }
    };
    let record = AuditRecord {
        version: base + 1,
        edit: rand::rng().random(),
        operator: operator.to_owned(),
        at_unix_ms: unix_millis(),
        edits,
    };
    match shared.settings.commit(base, &next, &record) {
        Ok(version) => {
            shared.adopt(version, next);
            log::info!(operator = operator, version = version; "settings changed");
            AdminReply::json(200, &json!({ "version": version })).with_version(version)
        }
        Err(fault) => fault_reply(shared, &fault),
    }
}

/// Returns the tree of a version: the one in force, or the newest.
fn tree_at(
    shared: &SharedState,
    base: SettingsVersion,
) -> Result<SettingsTree, AdminReply> {
    let view = shared.view();
    if view.version == base {
        return Ok(view.tree.clone());
    }
    let newest = shared.settings.newest().map_err(|cause| {
        let remedy = "nothing was changed; try again when the platform answers";
        AdminReply::fault(503, &cause.to_string(), remedy)
    })?;
    match newest {
        Some(newest) if newest.version == base => Ok(newest.tree),
        newest => {
            let current = newest.map_or(0, |newest| newest.version);
            let between = shared.settings.audit_after(base, SHOWN_RECORDS);
            let fault =
                CommitFault::Conflict { current, between: between.unwrap_or_default() };
            Err(fault_reply(shared, &fault))
        }
    }
}

/// Tells an operator why a change wasn't made.
fn fault_reply(shared: &SharedState, fault: &CommitFault) -> AdminReply {
    let message = fault.to_string();
    match fault {
        CommitFault::Conflict { current, between } => {
            // The newer version is known to exist: no need to wait for the next poll.
            let _ = shared.settings_news.try_send(*current);
            let detail = json!({ "current": current, "between": between });
            AdminReply::detailed(412, &message, detail)
        }
        CommitFault::NotDone { .. } => {
            AdminReply::detailed(503, &message, json!({ "changed": "no" }))
        }
        CommitFault::Unknown { .. } => {
            AdminReply::detailed(503, &message, json!({ "changed": "unknown" }))
        }
    }
}

/// Reads the version that a change is based on.
fn base_version(request: &Request) -> Option<SettingsVersion> {
    header(request, "If-Match")?.trim_matches('"').parse().ok()
}

/// Reads a body of JSON.
fn read_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, AdminReply> {
    let mut text = String::new();
    let read = request.as_reader().read_to_string(&mut text);
    let remedy = "send JSON as docs/OPERATING.md shows";
    if let Err(cause) = read {
        return Err(AdminReply::fault(400, &cause.to_string(), remedy));
    }
    serde_json::from_str(&text)
        .map_err(|cause| AdminReply::fault(400, &cause.to_string(), remedy))
}
