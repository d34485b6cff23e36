//! What a caller is told when a request isn't answered by a backend server.

use serde::{Deserialize, Serialize};

/// Whether a request has run, as far as flaxtide can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// No byte of the request has gone to a backend server. A promise.
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
    /// The request itself is at fault.
    BadRequest,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The class, model or service isn't in the settings, or isn't the caller's.
    UnknownTarget,
    /// The body is longer than the settings allow.
    BodyTooLong,
    /// The target can't be met even with all lower tiers' work gone.
    Overloaded,
    /// The queue is full of work of the same or a higher tier.
    QueueFull,
    /// A higher tier's request took the place in a full queue.
    Evicted,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The organisation is over a limit of its own.
    LimitReached,
    /// No backend server of the pool is in service.
    NoServer,
    /// The instance is stopping.
    Stopping,
    /// The instance has no settings yet.
    NotReady,
    /// The idempotency claim couldn't be made, as the platform didn't answer.
    ClaimUnavailable,
    /// The same idempotency key came with another body.
    KeyReused,
    /// The same idempotency key is being run, or its outcome is not known.
    InProgress,
    /// A backend server failed after the request had been sent to it.
    ServerFailed,
    /// The caller went away.
    CallerGone,
}

impl FailureReason {
    /// Returns the HTTP status that goes with the reason (RFC 9110).
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

    /// Returns what the caller can do about it.
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

    /// Returns the reason's name as bodies, metrics and logs spell it.
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
    /// Whether it has run.
    pub ran: RanState,
    /// What happened, for people.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// The request's id, to ask `flaxctl explain` about.
    pub request_id: String,
    /// When to come back, in milliseconds from now, where that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
