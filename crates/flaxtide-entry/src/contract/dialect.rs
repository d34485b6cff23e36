//! Translation of the headers of requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::TierRank;
use flaxtide_policy::{PromptShape, ServerStatement};
use hyper::header::HeaderMap;

/// Translates between the platform's headers and their meaning.
pub trait WireDialect: Send + Sync {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Removes the headers that callers may not send to servers, and adds those for the
    /// server.
    fn write_request(&self, headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Sets how long the sender of a request waits, in a request that a peer forwards.
    fn write_deadline(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Reads the status and the headers of a server's response.
    fn read_response(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Writes the headers of a health check that only the server with the name `server` may answer
    /// as if it were healthy, and that it rejects if it has queued it for `queue_timeout`.
    fn write_check(&self, headers: &mut HeaderMap, server: &str, queue_timeout: Duration);

    /// Asks a server to continue a stream after the event with the id `last_event`.
    fn write_resume(&self, headers: &mut HeaderMap, last_event: u64);
}

/// The headers of a caller's request, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHead {
    /// The id of the request. A retry by the caller has another one.
    pub attempt_id: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The tokens of the prompt and its parts, for a request to a model.
    pub prompt: PromptShape,
    /// What the caller has of a stream that it takes up again; `None` for a new request.
    pub resumed: Option<ResumedStream>,
}

/// A stream that a caller takes up again after its connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedStream {
    /// The id of the attempt that brought the stream's first event, if the caller names it.
    pub first_attempt: Option<String>,
    /// The id of the last event that the caller has, if it is a number.
    pub last_event: Option<u64>,
}

/// The values of the headers that are added for a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamHead<'a> {
    /// How long the server may take to respond.
    pub time_left: Duration,
    /// The name of the server that the request is meant for.
    pub server: &'a str,
    /// The name of the caller's organisation.
    pub organisation: Option<&'a str>,
    /// The tier of the request, if the server is an engine.
    pub tier: Option<TierRank>,
    /// The address of another engine from which the server can fetch the cached prompt
    /// prefix.
    pub fetch_from: Option<SocketAddr>,
}

/// The headers of a server's response, decoded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request that it responds to.
    pub attempt_id: Option<String>,
    /// The name of the server that responds, if it is stated.
    pub server: Option<String>,
    /// Whether the response has the server's seal, by which the server confirms that it
    /// wrote the response.
    pub sealed: bool,
    /// Whether the server states that it hasn't run the request.
    pub not_run: bool,
    /// Whether the address to which the request was sent now belongs to another server.
    pub replaced: bool,
    /// How long the server keeps the idle connection open.
    pub keep_alive: Option<Duration>,
    /// The server's statement of its load limits and state.
    pub statement: ServerStatement,
}
