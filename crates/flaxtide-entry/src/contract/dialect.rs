//! The words of requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use flaxtide_core::TierRank;
use flaxtide_policy::{PromptShape, ServerStatement};
use hyper::header::HeaderMap;

/// Translates between headers and what they say.
pub trait WireDialect: Send + Sync {
    /// Reads what the headers of a caller's request say.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Takes away what a caller may not tell a server, and adds what the server is told.
    fn write_request(&self, headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Reads what the headers of a server's answer say.
    fn read_response(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Has a server go on after the event with this number.
    fn write_resume(&self, headers: &mut HeaderMap, last_event: u64);
}

/// What the headers of a caller's request say.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHead {
    /// What identifies the request; the caller's next try has another.
    pub attempt_id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, for a request to a model.
    pub prompt: PromptShape,
}

/// What a server is told beside the caller's own headers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamHead<'a> {
    /// How long the server may take.
    pub time_left: Duration,
    /// The name of the server that is meant.
    pub server: &'a str,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
    /// The tier, for an engine.
    pub tier: Option<TierRank>,
    /// Where another engine keeps what the prompt shares with others.
    pub fetch_from: Option<SocketAddr>,
}

/// What the headers of a server's answer say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request that it answers.
    pub attempt_id: Option<String>,
    /// Whether the server vouches for it.
    pub sealed: bool,
    /// Whether the server says that the request hasn't run.
    pub not_run: bool,
    /// Whether another server has the address.
    pub replaced: bool,
    /// For how long the server keeps the connection open.
    pub keep_alive: Option<Duration>,
    /// What the server states of itself.
    pub statement: ServerStatement,
}
