//! The connection of a watcher to its engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use flaxtide_core::ServerId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};

use super::host::WatchHost;
use crate::upstream::ServerConnection;

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// How an engine has answered a call. Every answer proves that it is alive.
#[derive(Debug)]
pub(super) enum EngineAnswer {
    /// With content.
    Content(Bytes),
    /// With another status than 200.
    Refused(StatusCode),
    /// With something that isn't a response, is too long or broke off.
    Unusable,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum CallFault {
    /// No connection could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke.
    #[display("broken")]
    Broken,
    /// The connection broke that had been opened for the call.
    #[display("reset")]
    Reset,
    /// No answer came in time.
    #[display("unanswered")]
    Unanswered,
}

/// The path, query and headers of a call.
#[derive(Debug)]
pub(super) struct CallHead {
    /// The path and query.
    pub(super) path: String,
    /// The headers.
    pub(super) headers: Vec<(&'static str, String)>,
}

/// The connection of a watcher to its engine.
pub(super) struct EngineLink {
    /// The engine.
    server: ServerId,
    /// The open connection and its address.
    connection: Option<(ServerConnection, SocketAddr)>,
}

impl EngineLink {
    /// Creates a link that isn't connected.
    pub(super) fn new(server: ServerId) -> Self {
        Self { server, connection: None }
    }

    /// Closes the connection.
    fn close(&mut self) {
        self.connection = None;
    }

    /// Makes a call that must be answered within `limit`. The connection is closed unless
    /// the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the fault if there is no answer.
    pub(super) async fn call(
        &mut self,
        host: &impl WatchHost,
        head: &CallHead,
        limit: Duration,
    ) -> Result<EngineAnswer, CallFault> {
        let until = host.now() + limit;
        let sent = host.wait_until(until, self.send(host, head)).await;
        let response = match sent.unwrap_or(Err(CallFault::Unanswered)) {
            Ok(Some(response)) => response,
            Ok(None) => {
                self.close();
                return Ok(EngineAnswer::Unusable);
            }
            Err(fault) => {
                self.close();
                return Err(fault);
            }
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let Some(Ok(body)) = host.wait_until(until, body.collect()).await else {
            self.close();
            return Ok(EngineAnswer::Unusable);
        };
        if status != StatusCode::OK {
            return Ok(EngineAnswer::Refused(status));
        }
        Ok(EngineAnswer::Content(body.to_bytes()))
    }

    /// Sends a call and waits for the head of its response; `None` if what came isn't one.
    /// If the engine had closed the connection before, another one is opened.
    async fn send(
        &mut self,
        host: &impl WatchHost,
        head: &CallHead,
    ) -> Result<Option<Response<Incoming>>, CallFault> {
        loop {
            let reused = self
                .connection
                .as_ref()
                .is_some_and(|(connection, _)| !connection.sender.is_closed());
            if !reused {
                self.close();
                let connected = host.connect(self.server).await;
                self.connection = Some(connected.map_err(|_| CallFault::Unreachable)?);
            }
            let Some((connection, address)) = &mut self.connection else {
                return Err(CallFault::Unreachable);
            };
            let request = build_request(head, *address).ok_or(CallFault::Broken)?;
            connection.limit.record_progress();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Some(response)),
                Err(error) if error.error().is_parse() => return Ok(None),
                // No byte of it was written, because the engine had closed the connection.
                Err(error) if reused && error.message().is_some() => self.close(),
                Err(_) if reused => return Err(CallFault::Broken),
                Err(_) => return Err(CallFault::Reset),
            }
        }
    }
}

/// Builds the request of a call; `None` if its path or headers are invalid.
fn build_request(head: &CallHead, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = head.path.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.insert(name, HeaderValue::from_str(value).ok()?);
    }
    Some(request)
}
