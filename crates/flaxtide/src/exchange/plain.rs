//! An exchange with a server of a plain service.

use attohttpc::header::CONTENT_TYPE;
use attohttpc::{Method, RequestBuilder};
use flaxtide_core::format_request_id;
use flaxtide_policy::ServerFault;

use super::{AttemptEnd, ServerAttempt, connect_fault, read_fault, refusal_of};
use crate::link::{FullResponse, REQUEST_ID_HEADER};
use crate::request::{KEY_HEADER, PlainPayload};

/// Sends a call to a server and reads its whole answer.
pub(crate) fn exchange_plain(
    attempt: &ServerAttempt<'_>,
    payload: &PlainPayload,
    key: Option<&str>,
) -> AttemptEnd {
    let Ok(method) = Method::from_bytes(payload.method.as_bytes()) else {
        return AttemptEnd::Fault(ServerFault::Broken);
    };
    let url = format!("http://{}{}", attempt.address, payload.path);
    let id = format_request_id(attempt.request);
    let mut request = RequestBuilder::new(method, url).header(REQUEST_ID_HEADER, &id);
    if let Some(kind) = &payload.content_type {
        request = request.header("Content-Type", kind);
    }
    if let Some(key) = key {
        request = request.header(KEY_HEADER, key);
    }
    let request = attempt.prepare(request.bytes(&payload.body));
    let response = match request.send() {
        Ok(response) => response,
        Err(cause) => return AttemptEnd::Fault(connect_fault(&cause)),
    };
    if let Some(fault) = refusal_of(&response) {
        return AttemptEnd::Fault(fault);
    }
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    // A server that names the request's id must name the right one.
    let named = response.headers().get(REQUEST_ID_HEADER);
    if named.is_some_and(|named| named.as_bytes() != id.as_bytes()) {
        return AttemptEnd::Fault(ServerFault::Broken);
    }
    match response.bytes() {
        Ok(body) => AttemptEnd::Whole(FullResponse { status, content_type, body }),
        Err(cause) => AttemptEnd::Fault(body_fault(&cause)),
    }
}

/// Sorts a fault in the body of an answer: the call has been run.
fn body_fault(cause: &attohttpc::Error) -> ServerFault {
    match cause.kind() {
        attohttpc::ErrorKind::Io(error) => read_fault(error),
        _ => ServerFault::Broken,
    }
}
