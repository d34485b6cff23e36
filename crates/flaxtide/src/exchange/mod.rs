//! HTTP exchanges with backend servers, each one attempt of a request at one server.

mod completion;
mod event;
mod plain;

use std::io::ErrorKind as IoKind;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response};
use flaxtide_core::{RequestId, format_request_id, is_final_status};
use flaxtide_policy::ServerFault;

pub(crate) use self::completion::{ResponseProgress, exchange_completion};
pub(crate) use self::plain::exchange_plain;
use crate::link::{CompleteResponse, REQUEST_ID_HEADER};
use crate::shared::SharedState;

/// The timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The silence timeout of attempts for which the decision core sets none, because the
/// request can't be sent to another server.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The header by which a server states that it refused a request without running it.
const REFUSED_HEADER: &str = "X-Refused";

/// One attempt to run a request on a server.
pub(crate) struct ServerAttempt<'a> {
    /// The state that all threads of the instance share.
    pub(crate) shared: &'a SharedState,
    /// The ID of the request.
    pub(crate) request_id: RequestId,
    /// The address on which the server listens.
    pub(crate) address: SocketAddr,
    /// The priority that the engine gives to the request; lower numbers run first.
    pub(crate) priority: u8,
    /// How long the server may send nothing before the attempt fails; `None` for
    /// [`DEFAULT_SILENCE_TIMEOUT`].
    pub(crate) silence_timeout: Option<Duration>,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The complete response has been received and nothing of it sent to the caller.
    Complete(CompleteResponse),
    /// The complete response has been passed on to the caller as a stream.
    Streamed,
    /// The server refused the request or failed.
    Fault(ServerFault),
    /// The caller has disconnected.
    CallerGone,
}

impl ServerAttempt<'_> {
    /// Sets the timeouts and options of a request to the server.
    fn prepare<B>(&self, builder: RequestBuilder<B>) -> RequestBuilder<B> {
        // The read timeout bounds each silence. attohttpc's timeout for whole requests
        // isn't used: it costs a thread, and the decision core enforces the deadline.
        builder
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(self.silence_timeout.unwrap_or(DEFAULT_SILENCE_TIMEOUT))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
    }
}

/// Classifies an error before the response by whether the server can have received the
/// request.
///
/// The server can't have received it in two cases only: the connection was refused, or it
/// didn't open in time. A read that times out is reported as `WouldBlock`, so `TimedOut`
/// can only come from connecting.
fn classify_send_error(cause: &attohttpc::Error) -> ServerFault {
    match cause.kind() {
        ErrorKind::Io(error) => match error.kind() {
            IoKind::ConnectionRefused | IoKind::TimedOut => ServerFault::NotRun,
            IoKind::WouldBlock => ServerFault::Stalled,
            _ => ServerFault::Broken,
        },
        _ => ServerFault::Broken,
    }
}

/// Classifies an error that occurred while the response was read. Logs that the response was too long.
fn classify_read_error(
    attempt: &ServerAttempt<'_>,
    cause: &std::io::Error,
) -> ServerFault {
    match cause.kind() {
        IoKind::WouldBlock | IoKind::TimedOut => ServerFault::Stalled,
        IoKind::InvalidData => {
            log::warn!(
                request_id = format_request_id(attempt.request_id),
                server = attempt.address.to_string();
                "response given up: {cause}"
            );
            ServerFault::Broken
        }
        _ => ServerFault::Broken,
    }
}

/// Returns the fault of a response that names another request, which may be running. A server may
/// omit the request's ID: each attempt has a connection of its own, so nothing came before.
fn mismatch_fault(response: &Response, id: &str) -> Option<ServerFault> {
    let stated = response.headers().get(REQUEST_ID_HEADER)?;
    (stated.as_bytes() != id.as_bytes()).then_some(ServerFault::Broken)
}

/// Returns the fault of a response whose status is that of no final response.
fn status_fault(response: &Response) -> Option<ServerFault> {
    (!is_final_status(response.status().as_u16())).then_some(ServerFault::Broken)
}

/// Returns the fault of a response by which the server refused the request without
/// running it; `None` for any other response.
fn refusal_fault(response: &Response) -> Option<ServerFault> {
    if response.status().as_u16() != 503 {
        return None;
    }
    let value = response.headers().get(REFUSED_HEADER)?;
    if value.as_bytes() == b"leaving" {
        return Some(ServerFault::Leaving);
    }
    Some(ServerFault::NotRun)
}
