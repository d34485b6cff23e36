//! Responses of the instance itself: refusals and errors, as JSON with a remedy.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// The body of a response: whole, or a stream that is passed on.
pub(crate) type ResponseBody =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, io::Result<Frame<Bytes>>>>>;

/// A response to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// Why the instance itself responds, instead of passing a server's response on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// The request is malformed.
    Malformed,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body didn't arrive before the deadline.
    BodyTooSlow,
    /// There is no memory for the body.
    NoRoom,
    /// No organisation has the caller's key.
    UnknownKey,
    /// No class matches the host and path.
    UnknownTarget,
    /// The instance has no rules yet.
    NoRules,
    /// The rules in force don't allow the request and may be outdated, or are overdue.
    OutdatedRules,
    /// The instance has too many requests that peers have forwarded.
    TooManyForwarded,
    /// The request continues a stream, and it isn't known which version of the service began it.
    VersionUnknown,
    /// The instance will stop before the request could be completed.
    Stopping,
    /// No server is available.
    NoServer,
    /// The request waited too long for a server, or would have to; no server has run it.
    TooLate,
    /// Servers exit when they run the request, so it is sent to none.
    Quarantined,
    /// Servers exited while they ran the request and others that came as often, so it is sent to
    /// none until it is known which of these they exit by.
    Suspected,
    /// A server failed, and may have run the request.
    ServerFailed,
    /// The deadline has passed, and a server may have run the request.
    TimedOut,
}

impl LocalReply {
    /// All replies.
    const ALL: [Self; 17] = [
        Self::Malformed,
        Self::BodyTooLarge,
        Self::BodyTooSlow,
        Self::NoRoom,
        Self::UnknownKey,
        Self::UnknownTarget,
        Self::NoRules,
        Self::OutdatedRules,
        Self::TooManyForwarded,
        Self::VersionUnknown,
        Self::Stopping,
        Self::NoServer,
        Self::TooLate,
        Self::Quarantined,
        Self::Suspected,
        Self::ServerFailed,
        Self::TimedOut,
    ];

    /// Replaces a rejection that newer rules might lift by a temporary one, if the rules in
    /// force may be outdated: callers don't retry after a permanent rejection.
    pub(crate) fn defer_to_newer_rules(self, maybe_outdated: bool) -> Self {
        match self {
            Self::UnknownKey | Self::UnknownTarget if maybe_outdated => {
                Self::OutdatedRules
            }
            reply => reply,
        }
    }

    /// Returns the status. Only refusals have one that means "not run".
    fn status(self) -> StatusCode {
        match self {
            // Callers don't retry after status 400, and neither would ever succeed.
            Self::Malformed | Self::Quarantined => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownTarget => StatusCode::NOT_FOUND,
            Self::NoRoom
            | Self::NoRules
            | Self::OutdatedRules
            | Self::TooManyForwarded
            | Self::VersionUnknown
            | Self::Stopping
            | Self::NoServer
            | Self::TooLate
            | Self::Suspected => StatusCode::SERVICE_UNAVAILABLE,
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the short name used in responses, logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoRoom => "no_room",
            Self::UnknownKey => "unknown_key",
            Self::UnknownTarget => "unknown_target",
            Self::NoRules => "no_rules",
            Self::OutdatedRules => "old_rules",
            Self::TooManyForwarded => "too_many_forwarded",
            Self::VersionUnknown => "version_unknown",
            Self::Stopping => "stopping",
            Self::NoServer => "no_server",
            Self::TooLate => "too_late",
            Self::Quarantined => "quarantined",
            Self::Suspected => "suspected",
            Self::ServerFailed => "server_failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the reply with a name.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reply| reply.name() == name)
    }

    /// Returns whether a server may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::ServerFailed | Self::TimedOut)
    }

    /// Returns whether the request may have been sent to servers before, even if none has run it.
    pub(crate) fn may_follow_sends(self) -> bool {
        matches!(
            self,
            Self::NoServer
                | Self::TooLate
                | Self::Quarantined
                | Self::Suspected
                | Self::ServerFailed
                | Self::TimedOut
        )
    }

    /// Returns what the caller can do.
    fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "send one body, with a length or in chunks, not both",
            Self::BodyTooLarge => "send a smaller body",
            Self::BodyTooSlow => "it hasn't run; send the whole body in time",
            Self::UnknownKey => "send a key that is in force",
            Self::UnknownTarget => "check the host and the path",
            Self::NoRoom
            | Self::NoRules
            | Self::OutdatedRules
            | Self::TooManyForwarded
            | Self::Stopping
            | Self::NoServer
            | Self::TooLate
            | Self::Suspected => "it hasn't run; come back after the time in Retry-After",
            Self::VersionUnknown => {
                "it hasn't run; come back after the time in Retry-After, or begin the stream \
                 anew"
            }
            Self::Quarantined => {
                "don't repeat it: servers ended each time they ran this path and body"
            }
            Self::ServerFailed | Self::TimedOut => {
                "it may have run; repeat it only if that does no harm"
            }
        }
    }

    /// Builds the response.
    pub(crate) fn into_response(self, retry_after: Option<Duration>) -> CallerResponse {
        let status = self.status();
        let ran = match status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "no",
        };
        let body = json!({ "ran": ran, "reason": self.name(), "remedy": self.remedy() });
        let mut response = Response::new(full_body(Bytes::from(body.to_string())));
        *response.status_mut() = status;
        response.extensions_mut().insert(self);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(delay) = retry_after
            && let Ok(value) =
                HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if matches!(
            self,
            Self::Malformed | Self::BodyTooLarge | Self::BodyTooSlow | Self::NoRoom
        ) {
            // The rest of the request isn't read.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Makes a body of content that is complete.
pub(crate) fn full_body(content: Bytes) -> ResponseBody {
    Either::Left(Full::new(content))
}
