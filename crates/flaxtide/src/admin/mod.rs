//! The administration API: its own port, its own keys.
//!
//! | request | answer |
//! |---|---|
//! | `GET /settings` | the tree with its version; `ETag` is the version |
//! | `PUT /settings` | replaces the tree; `If-Match` names the version that it was made from |
//! | `POST /settings/edits` | changes places; `If-Match` as above |
//! | `GET /settings/effective?path=P` | values in force and where they come from |
//! | `GET /settings/history?after=V` | audit records |
//! | `GET /status` | how the instance stands |
//! | `GET /decisions?count=N`, `GET /decisions/ID` | why requests were served, delayed or refused |
//! | `GET /metrics` | metrics for Prometheus, without a key |

mod reply;
mod settings;
mod status;

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{OperatorAccess, parse_request_id};
use serde_json::json;
use tiny_http::{Method, Request, Server};

use self::reply::AdminReply;
pub use self::settings::{EditBody, HistoryBody};
pub use self::status::{InstanceStatus, PoolStatus, ServerStatus};
use crate::request::{key_hash, split_url};
use crate::shared::SharedState;

/// How often the thread looks whether it is to end.
const STOP_PERIOD: Duration = Duration::from_millis(200);

/// How many decisions are shown when no count is named.
const SHOWN_DECISIONS: usize = 50;

/// Runs the admin thread until the instance stops.
pub(crate) fn administrate(shared: &Arc<SharedState>, server: &Server) {
    while !shared.stopped() {
        if let Ok(Some(request)) = server.recv_timeout(STOP_PERIOD) {
            answer(shared, request);
        }
    }
}

/// Answers one request.
fn answer(shared: &SharedState, mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = split_url(&url);
    if path == "/metrics" {
        status::refresh(shared);
        return AdminReply::text(&shared.metrics.render()).send(request);
    }
    let Some((operator, access)) = authenticate(shared, &request) else {
        let remedy = "send `Authorization: Bearer KEY` with an operator's key";
        return AdminReply::fault(401, "no operator has this key", remedy).send(request);
    };
    let writes = !matches!(request.method(), Method::Get | Method::Head);
    if writes && access != OperatorAccess::Write {
        let remedy = "have `access: write` set for you in the settings";
        return AdminReply::fault(403, "you may look only", remedy).send(request);
    }
    let reply = match (request.method(), path) {
        (Method::Get, "/settings") => settings::show(shared),
        (Method::Put, "/settings") => settings::replace(shared, &mut request, &operator),
        (Method::Post, "/settings/edits") => {
            settings::edit(shared, &mut request, &operator)
        }
        (Method::Get, "/settings/effective") => settings::effective(shared, query),
        (Method::Get, "/settings/history") => settings::history(shared, query),
        (Method::Get, "/status") => AdminReply::json(200, &status::status(shared)),
        (Method::Get, "/decisions") => {
            let count = param(query, "count").and_then(|text| text.parse().ok());
            let records = shared.log.newest(count.unwrap_or(SHOWN_DECISIONS));
            AdminReply::json(200, &records)
        }
        (Method::Get, _) if path.starts_with("/decisions/") => decision(shared, path),
        _ => {
            AdminReply::fault(404, "no such path", "see docs/OPERATING.md for the paths")
        }
    };
    reply.send(request);
}

/// Finds the operator of a request's key.
fn authenticate(
    shared: &SharedState,
    request: &Request,
) -> Option<(String, OperatorAccess)> {
    let hash = key_hash(request)?;
    if shared.config.operator_key_hashes.contains(&hash) {
        return Some(("instance-file".into(), OperatorAccess::Write));
    }
    let view = shared.view();
    let (name, access) = view.operator(&hash)?;
    Some((name.to_owned(), access))
}

/// Shows the record of one request.
fn decision(shared: &SharedState, path: &str) -> AdminReply {
    let text = path.trim_start_matches("/decisions/");
    let Some(request) = parse_request_id(text) else {
        let remedy = "give the sixteen digits of X-Request-Id";
        return AdminReply::fault(400, "not a request id", remedy);
    };
    match shared.log.get(request) {
        Some(record) => AdminReply::json(200, &record),
        None => {
            let remedy = "ask the instance that took the request, soon after";
            AdminReply::fault(404, "no record of this request", remedy)
        }
    }
}

/// Returns a parameter of a query.
fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Builds the JSON of a fault.
fn fault_json(message: &str, remedy: &str) -> serde_json::Value {
    json!({ "message": message, "remedy": remedy })
}
