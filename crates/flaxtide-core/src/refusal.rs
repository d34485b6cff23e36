//! Refusals and failures: what a caller receives in place of a backend server's answer.

use serde::{Deserialize, Serialize};

/// Whether a backend server has run a request, as far as flaxtide knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// The request has not run. This is guaranteed, since no byte of it was sent to a backend
    /// server, or the server itself reported that it didn't run it.
    No,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused or failed.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The request is malformed or invalid.
    BadRequest,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The class, model or service isn't in the settings, or the caller may not use it.
    UnknownTarget,
    /// The body is longer than the settings allow.
    BodyTooLong,
    /// The latency target couldn't be met even if all work of lower tiers were evicted.
    Overloaded,
    /// The queue is full, and all requests in it are of the same or a higher tier.
    QueueFull,
    /// The queue was full, and a request of a higher tier replaced this one.
    Evicted,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The organisation has exceeded one of its limits.
    LimitReached,
    /// No backend server of the pool is in service.
    NoServer,
    /// The instance is stopping.
    Stopping,
    /// The instance has no settings yet.
    NotReady,
    /// The claim for the idempotency key couldn't be written, as the platform didn't answer.
    ClaimUnavailable,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// Another attempt under the same idempotency key is running, or its outcome is unknown.
    InProgress,
    /// A backend server failed after the request had been sent to it.
    ServerFailed,
    /// The caller closed the connection.
    CallerGone,
}

impl FailureReason {
    /// Returns the HTTP status for the reason (RFC 9110, apart from the common but
    /// unregistered 499 for a caller that closed the connection).
    ///
    /// ```
    /// use flaxtide_core::FailureReason;
    /// assert_eq!(FailureReason::Overloaded.status(), 503);
    /// ```
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::UnknownTarget => 404,
            Self::BodyTooLong => 413,
            Self::LimitReached => 429,
            Self::InProgress => 409,
            Self::KeyReused => 422,
            Self::ServerFailed => 502,
            Self::CallerGone => 499,
            Self::DeadlinePassed
            | Self::Overloaded
            | Self::QueueFull
            | Self::Evicted
            | Self::NoServer
            | Self::Stopping
            | Self::NotReady
            | Self::ClaimUnavailable => 503,
        }
    }

    /// Returns the remedy that the caller is told, as it is sent in [`FailureBody::remedy`].
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => {
                "correct the request as the message says and send it again"
            }
            Self::UnknownKey => {
                "send `Authorization: Bearer KEY` with a key of your organisation"
            }
            Self::UnknownTarget => {
                "use a name that the settings hold for your organisation"
            }
            Self::BodyTooLong => {
                "shorten the body below the length that the message names"
            }
            Self::Overloaded | Self::QueueFull | Self::Evicted => {
                "send the request again after the time in Retry-After"
            }
            Self::DeadlinePassed => {
                "send the request again after the time in Retry-After, or allow it more time"
            }
            Self::LimitReached => {
                "send the request again after the time in Retry-After, or have the limit raised"
            }
            Self::NoServer => {
                "send the request again after the time in Retry-After; operators: see `flaxctl status`"
            }
            Self::Stopping | Self::NotReady => {
                "send the request again at once; another instance will take it"
            }
            Self::ClaimUnavailable => {
                "send the request again with the same Idempotency-Key after the time in Retry-After"
            }
            Self::KeyReused => "use a new Idempotency-Key for a new request",
            Self::InProgress => {
                "ask again with the same Idempotency-Key and body after the time in Retry-After"
            }
            Self::ServerFailed => {
                "check whether the request took effect before you send it under a new Idempotency-Key"
            }
            Self::CallerGone => "none: nobody is waiting for this answer",
        }
    }

    /// Returns the name of the reason in response bodies, metrics and logs.
    ///
    /// ```
    /// assert_eq!(flaxtide_core::FailureReason::NoServer.name(), "no_server");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownKey => "unknown_key",
            Self::UnknownTarget => "unknown_target",
            Self::BodyTooLong => "body_too_long",
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue_full",
            Self::Evicted => "evicted",
            Self::DeadlinePassed => "deadline_passed",
            Self::LimitReached => "limit_reached",
            Self::NoServer => "no_server",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::KeyReused => "key_reused",
            Self::InProgress => "in_progress",
            Self::ServerFailed => "server_failed",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// The JSON body of a refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureBody {
    /// Why the request wasn't answered.
    pub reason: FailureReason,
    /// Whether the request has run.
    pub ran: RanState,
    /// A description of what happened, for people to read.
    pub message: String,
    /// What the caller can do about it; see [`FailureReason::remedy`].
    pub remedy: String,
    /// The request's id in hexadecimal digits, to pass to `flaxctl explain`.
    pub request_id: String,
    /// The time in milliseconds after which to retry; `None` if no wait is suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
