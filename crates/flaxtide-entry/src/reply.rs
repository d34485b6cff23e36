//! Answers of the instance's own: refusals and faults, as JSON, with a remedy.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// The body of an answer: whole, or passed on as it comes.
pub(crate) type ResponseBody =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, io::Result<Frame<Bytes>>>>>;

/// An answer to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// Why the instance itself answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// The request isn't right.
    Malformed,
    /// Its body is too large.
    BodyTooLarge,
    /// Its body didn't come in time.
    BodyTooSlow,
    /// Nobody holds its key.
    UnknownKey,
    /// No class has its host and path.
    UnknownTarget,
    /// There are no rules yet.
    NoRules,
    /// The rules in force don't allow it, but there are newer ones, which may.
    OldRules,
    /// The instance stops before it could be answered.
    Stopping,
    /// No server can take it.
    NoServer,
    /// It would be too late for its caller.
    TooLate,
    /// Servers end when they run it, so it is sent to none.
    Quarantined,
    /// A server failed it, and it may have run.
    ServerFailed,
    /// Its time is over, and it may have run.
    TimedOut,
}

impl LocalReply {
    /// Returns what is true if newer rules than those in force are known to exist: what they
    /// may allow isn't denied for good, which callers wouldn't try again.
    pub(crate) fn under_rules(self, behind: bool) -> Self {
        match self {
            Self::UnknownKey | Self::UnknownTarget if behind => Self::OldRules,
            reply => reply,
        }
    }

    /// Returns the status. Only refusals have one that says "not run".
    fn status(self) -> StatusCode {
        match self {
            // Callers repeat neither: no server will ever run it.
            Self::Malformed | Self::Quarantined => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownTarget => StatusCode::NOT_FOUND,
            Self::NoRules
            | Self::OldRules
            | Self::Stopping
            | Self::NoServer
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns a short name, for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::UnknownKey => "unknown_key",
            Self::UnknownTarget => "unknown_target",
            Self::NoRules => "no_rules",
            Self::OldRules => "old_rules",
            Self::Stopping => "stopping",
            Self::NoServer => "no_server",
            Self::TooLate => "too_late",
            Self::Quarantined => "quarantined",
            Self::ServerFailed => "server_failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns what the caller can do.
    fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "send one body, with a length or in chunks, not both",
            Self::BodyTooLarge => "send a smaller body",
            Self::BodyTooSlow => "it hasn't run; send the whole body in time",
            Self::UnknownKey => "send a key that is in force",
            Self::UnknownTarget => "check the host and the path",
            Self::NoRules
            | Self::OldRules
            | Self::Stopping
            | Self::NoServer
            | Self::TooLate => "it hasn't run; come back after the time in Retry-After",
            Self::Quarantined => {
                "don't repeat it: servers ended each time they ran this path and body"
            }
            Self::ServerFailed | Self::TimedOut => {
                "it may have run; repeat it only if that does no harm"
            }
        }
    }

    /// Makes the answer.
    pub(crate) fn answer(self, retry_after: Option<Duration>) -> CallerResponse {
        let status = self.status();
        let ran = match status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "no",
        };
        let body = json!({ "ran": ran, "reason": self.name(), "remedy": self.remedy() });
        let mut answer = Response::new(whole(Bytes::from(body.to_string())));
        *answer.status_mut() = status;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(span) = retry_after
            && let Ok(value) =
                HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if matches!(self, Self::Malformed | Self::BodyTooLarge | Self::BodyTooSlow) {
            // What is left of the request isn't read.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// Makes a whole body.
pub(crate) fn whole(content: Bytes) -> ResponseBody {
    Either::Left(Full::new(content))
}
