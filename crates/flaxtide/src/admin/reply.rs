//! Replies of the administration API.

use serde::Serialize;
use serde_json::Value;
use tiny_http::{Header, Request, Response};

use super::fault_json;

/// A reply to an operator.
pub(crate) struct AdminReply {
    /// The HTTP status.
    status: u16,
    /// The type of the body.
    content_type: &'static str,
    /// The body.
    body: String,
    /// The settings version, where the reply is about one.
    version: Option<u64>,
}

impl AdminReply {
    /// Makes a reply of JSON.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_string(body).unwrap_or_default();
        Self {
            status,
            content_type: "application/json",
            body,
            version: None,
        }
    }

    /// Makes a reply of text.
    pub(crate) fn text(body: &str) -> Self {
        let content_type = "text/plain; version=0.0.4";
        Self {
            status: 200,
            content_type,
            body: body.to_owned(),
            version: None,
        }
    }

    /// Makes a reply that says what is wrong and what to do.
    pub(crate) fn fault(status: u16, message: &str, remedy: &str) -> Self {
        Self::json(status, &fault_json(message, remedy))
    }

    /// Makes a reply that says what is wrong, with more about it.
    pub(crate) fn detailed(status: u16, message: &str, detail: Value) -> Self {
        let mut body = fault_json(message, "");
        if let (Some(body), Value::Object(detail)) = (body.as_object_mut(), detail) {
            body.shift_remove("remedy");
            body.extend(detail);
        }
        Self::json(status, &body)
    }

    /// Names the settings version that the reply is about.
    pub(crate) fn with_version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Sends the reply.
    pub(crate) fn send(self, request: Request) {
        let mut response = Response::from_string(self.body).with_status_code(self.status);
        let version = self.version.map(|version| format!("\"{version}\""));
        let fields =
            [("Content-Type", Some(self.content_type.to_owned())), ("ETag", version)];
        for (name, value) in fields {
            let Some(value) = value else { continue };
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        // An operator who has gone needs no answer.
        let _ = request.respond(response);
    }
}
