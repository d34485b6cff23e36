//! The exchange with a server of a plain service.

use attohttpc::header::CONTENT_TYPE;
use attohttpc::{Method, RequestBuilder};
use flaxtide_core::format_request_id;
use flaxtide_platform::read_whole_body;
use flaxtide_policy::ServerFault;

use super::{
    AttemptOutcome, ServerAttempt, classify_read_error, classify_send_error,
    mismatch_fault, refusal_fault, status_fault,
};
use crate::link::{CompleteResponse, REQUEST_ID_HEADER};
use crate::request::{KEY_HEADER, PlainPayload};

/// The longest body of a response that is passed on, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Sends a request to a server and reads the complete response.
pub(crate) fn exchange_plain(
    attempt: &ServerAttempt<'_>,
    payload: &PlainPayload,
    key: Option<&str>,
) -> AttemptOutcome {
    let Ok(method) = Method::from_bytes(payload.method.as_bytes()) else {
        return AttemptOutcome::Fault(ServerFault::Broken);
    };
    let is_head = method == Method::HEAD;
    let url = format!("http://{}{}", attempt.address, payload.path);
    let id = format_request_id(attempt.request_id);
    let mut request = RequestBuilder::new(method, url).header(REQUEST_ID_HEADER, &id);
    if let Some(content_type) = &payload.content_type {
        request = request.header("Content-Type", content_type);
    }
    if let Some(key) = key {
        request = request.header(KEY_HEADER, key);
    }
    let request = attempt.prepare(request.bytes(&payload.body));
    let response = match request.send() {
        Ok(response) => response,
        Err(cause) => return AttemptOutcome::Fault(classify_send_error(&cause)),
    };
    let fault = status_fault(&response)
        .or_else(|| mismatch_fault(&response, &id))
        .or_else(|| refusal_fault(&response));
    if let Some(fault) = fault {
        return AttemptOutcome::Fault(fault);
    }
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let body = match is_head {
        // It has no body, and states the length that another one would have.
        true => Ok(vec![]),
        false => read_whole_body(response, MAX_BODY_BYTES),
    };
    match body {
        Ok(body) => {
            AttemptOutcome::Complete(CompleteResponse { status, content_type, body })
        }
        Err(cause) => AttemptOutcome::Fault(classify_body_error(attempt, &cause)),
    }
}

/// Classifies an error in the body of a response, whose request has already run.
fn classify_body_error(
    attempt: &ServerAttempt<'_>,
    cause: &attohttpc::Error,
) -> ServerFault {
    match cause.kind() {
        attohttpc::ErrorKind::Io(error) => classify_read_error(attempt, error),
        _ => ServerFault::Broken,
    }
}
