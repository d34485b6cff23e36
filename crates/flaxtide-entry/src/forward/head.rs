//! The headers of requests that a peer forwards, and of their responses. Both are exchanged
//! between instances only: callers and servers never see them.

use std::time::Duration;

use flaxtide_core::SettingsVersion;
use flaxtide_policy::VersionKey;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::reply::LocalReply;

/// `VERSION,RUNS` or `VERSION,RUNS,BOUND`: the version of the rules under which the request was
/// accepted, how many servers it may still run on, and the key of the only version of a server
/// that may get it. A peer declines a request with more parts than it knows.
const FORWARD: HeaderName = HeaderName::from_static("x-flaxtide-forward");

/// The name of the [`LocalReply`] with which the peer itself responds.
const REPLY: HeaderName = HeaderName::from_static("x-flaxtide-reply");

/// How many servers the peer that responds itself has sent the request to.
const SERVER_SENDS: HeaderName = HeaderName::from_static("x-flaxtide-sends");

/// The key of the version of the server that responds, in the response to a forwarded request.
const SERVER_VERSION: HeaderName = HeaderName::from_static("x-flaxtide-version");

/// What an instance tells the peer that it forwards a request to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ForwardHead {
    /// The version of the rules under which the request was accepted. A peer with older rules
    /// doesn't take it.
    pub(crate) rules_version: SettingsVersion,
    /// The number of servers that the request may still run on.
    pub(crate) run_limit: u32,
    /// The only version of a server that may get the request, because it continues a stream.
    pub(crate) bound_version: Option<VersionKey>,
}

impl ForwardHead {
    /// Removes the header from a request and decodes it.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(FORWARD)?;
        let mut parts = value.to_str().ok()?.split(',');
        let (version, runs) = (parts.next()?, parts.next()?);
        let bound = parts.next().map(str::parse).transpose().ok()?;
        if parts.next().is_some() {
            return None;
        }
        Some(Self {
            rules_version: version.parse().ok()?,
            run_limit: runs.parse().ok()?,
            bound_version: bound,
        })
    }

    /// Adds the header to a request, in place of one that the caller sent.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let mut text = format!("{},{}", self.rules_version, self.run_limit);
        if let Some(version) = self.bound_version {
            text.push_str(&format!(",{version}"));
        }
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(FORWARD, value);
        }
    }
}

/// States the version of the server that responds to a forwarded request.
pub(crate) fn write_server_version(headers: &mut HeaderMap, version: VersionKey) {
    headers.insert(SERVER_VERSION, HeaderValue::from(version));
}

/// Removes and returns the version of the server that responds to a forwarded request. A peer
/// of an older version of this program doesn't state it.
pub(crate) fn take_server_version(headers: &mut HeaderMap) -> Option<VersionKey> {
    headers.remove(SERVER_VERSION)?.to_str().ok()?.parse().ok()
}

/// How many servers a request was sent to before this instance responded itself. It is kept in the
/// extensions of the response; without it, there were none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ServerSends(pub(crate) u32);

/// The response of a peer itself to a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PeerReply {
    /// Why the peer responds.
    pub(crate) reply: LocalReply,
    /// How many servers it has sent the request to.
    pub(crate) server_sends: ServerSends,
    /// When the caller should come back.
    pub(crate) retry_after: Option<Duration>,
}

impl PeerReply {
    /// Marks a response as that of this instance itself.
    pub(crate) fn mark(
        reply: LocalReply,
        server_sends: ServerSends,
        headers: &mut HeaderMap,
    ) {
        headers.insert(REPLY, HeaderValue::from_static(reply.name()));
        headers.insert(SERVER_SENDS, HeaderValue::from(server_sends.0));
    }

    /// Decodes the headers of a response; `None` if it is that of a server.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let name = headers.get(REPLY)?.to_str().ok()?;
        let retry_after = headers.get(RETRY_AFTER).and_then(|value| {
            let seconds: f64 = value.to_str().ok()?.parse().ok()?;
            Duration::try_from_secs_f64(seconds).ok()
        });
        // A name of a later version comes without a promise.
        let reply = LocalReply::from_name(name).unwrap_or(LocalReply::ServerFailed);
        let stated = headers
            .get(SERVER_SENDS)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        // A peer of an older version of this program doesn't state it.
        let assumed = u32::from(reply.may_follow_sends());
        let server_sends = ServerSends(stated.unwrap_or(assumed));
        Some(Self { reply, server_sends, retry_after })
    }
}
