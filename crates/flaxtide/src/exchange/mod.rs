//! Exchanges with backend servers: one attempt at one server.

mod completion;
mod event;
mod plain;

use std::io::ErrorKind as IoKind;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response};
use flaxtide_core::RequestId;
use flaxtide_policy::ServerFault;

pub(crate) use self::completion::{ResponseProgress, exchange_completion};
pub(crate) use self::plain::exchange_plain;
use crate::link::FullResponse;
use crate::shared::SharedState;

/// How long a connection to a backend server may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a server may be silent when the request can't go elsewhere.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The header by which a server says that it refused a request without running it.
const REFUSED_HEADER: &str = "X-Refused";

/// One attempt of a request at one server.
pub(crate) struct ServerAttempt<'a> {
    /// What all threads share.
    pub(crate) shared: &'a SharedState,
    /// The request.
    pub(crate) request_id: RequestId,
    /// Where the server listens.
    pub(crate) address: SocketAddr,
    /// The priority for the engine; lower numbers first.
    pub(crate) priority: u8,
    /// How long the server may be silent.
    pub(crate) silence_timeout: Option<Duration>,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The whole answer is there.
    Complete(FullResponse),
    /// The whole answer has been passed on as a stream.
    Streamed,
    /// The server failed.
    Fault(ServerFault),
    /// The caller has gone.
    CallerGone,
}

impl ServerAttempt<'_> {
    /// Prepares a request to the server.
    fn prepare<B>(&self, builder: RequestBuilder<B>) -> RequestBuilder<B> {
        // The timeout for a whole request isn't used: it costs a thread, and the deadline
        // is kept by the decision core. This one bounds each silence.
        builder
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(self.silence_timeout.unwrap_or(DEFAULT_SILENCE_TIMEOUT))
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
    }
}

/// Sorts a fault before an answer by whether the request can have reached the server.
///
/// Only a refused connection, or one that didn't open in time, can't have carried it. A
/// read that times out reports `WouldBlock` here, so `TimedOut` comes from connecting.
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

/// Sorts a fault in mid-answer.
fn classify_read_error(cause: &std::io::Error) -> ServerFault {
    match cause.kind() {
        IoKind::WouldBlock | IoKind::TimedOut => ServerFault::Stalled,
        _ => ServerFault::Broken,
    }
}

/// Returns how a server refused a request without running it, if it did.
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
