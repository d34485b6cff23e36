//! The life cycle of a call, encoded in types.
//!
//! A call of which nothing was sent to a backend server can be refused, which promises the
//! caller that it hasn't run. A [`Dispatched`] call has no `refuse` method: without a whole
//! answer it ends in [`Call::fail`], which reports that it may have run, unless
//! [`Call::requeue`] puts it back because the server is known not to have run it. A refusal
//! directly after dispatch doesn't compile:
//!
//! ```compile_fail
//! use flaxtide_core::{Call, FailureReason};
//! let call = Call::receive(1).queue().dispatch();
//! call.refuse(FailureReason::Overloaded, "late", None); // no such method
//! ```
//!
//! A call that has claimed its idempotency key can still be refused:
//!
//! ```
//! use flaxtide_core::{Call, FailureReason, RanState};
//! let body = Call::receive(1).queue().claim(7).refuse(FailureReason::Stopping, "x", None);
//! assert_eq!(body.body.ran, RanState::No);
//! ```

use std::time::Duration;

use crate::{
    AttemptId, FailureBody, FailureReason, RanState, RequestId, format_request_id,
};

/// One request on its way through an entry instance, in a given state of its life cycle.
#[derive(Debug)]
pub struct Call<State> {
    /// The id of the request.
    request_id: RequestId,
    /// The state with its data.
    state: State,
}

/// State: the request has been read and isn't in the queue yet.
#[derive(Debug)]
pub struct Received;

/// State: the request waits in this instance's queue for a backend server.
#[derive(Debug)]
pub struct Queued;

/// State: the row for the request's idempotency key is in the platform's table, so that only
/// this attempt may run the request.
#[derive(Debug)]
pub struct Claimed {
    /// The id of the attempt that the row names as its holder.
    attempt_id: AttemptId,
}

/// State: bytes of the request may have been sent to a backend server.
#[derive(Debug)]
pub struct Dispatched;

/// State: the whole answer has been forwarded to the caller.
#[derive(Debug)]
pub struct Answered;

/// State: the call ended without a whole answer, by refusal or by failure.
#[derive(Debug)]
pub struct Failed {
    /// The body that is sent to the caller.
    pub body: FailureBody,
}

/// How a call ended; each call ends in exactly one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer was forwarded to the caller.
    Answered,
    /// The call was refused: this attempt hasn't run, though another one under the same
    /// idempotency key may have.
    Refused,
    /// The call failed after dispatch: it may have run.
    Failed,
}

impl Call<Received> {
    /// Creates the call of a request that has been read.
    #[must_use]
    pub fn receive(request_id: RequestId) -> Self {
        Self { request_id, state: Received }
    }

    /// Puts the call in the queue.
    #[must_use]
    pub fn queue(self) -> Call<Queued> {
        Call { request_id: self.request_id, state: Queued }
    }
}

impl Call<Queued> {
    /// Records that the claim for the idempotency key is in the table, held by `attempt_id`.
    #[must_use]
    pub fn claim(self, attempt_id: AttemptId) -> Call<Claimed> {
        Call {
            request_id: self.request_id,
            state: Claimed { attempt_id },
        }
    }

    /// Marks a call that may run more than once as dispatched. Must be called before the
    /// first byte is sent to a backend server.
    #[must_use]
    pub fn dispatch(self) -> Call<Dispatched> {
        Call { request_id: self.request_id, state: Dispatched }
    }
}

impl Call<Claimed> {
    /// Returns the id of the attempt that holds the claim.
    #[must_use]
    pub fn attempt_id(&self) -> AttemptId {
        self.state.attempt_id
    }

    /// Marks the call as dispatched. Must be called before the first byte is sent to a
    /// backend server.
    #[must_use]
    pub fn dispatch(self) -> Call<Dispatched> {
        Call { request_id: self.request_id, state: Dispatched }
    }
}

impl Call<Dispatched> {
    /// Puts the call back in the queue. Only allowed if the backend server is known not to
    /// have run it: the connection was refused, or the server reported so.
    #[must_use]
    pub fn requeue(self) -> Call<Queued> {
        Call { request_id: self.request_id, state: Queued }
    }

    /// Ends the call with a whole answer.
    #[must_use]
    pub fn answer(self) -> Call<Answered> {
        Call { request_id: self.request_id, state: Answered }
    }

    /// Ends the call without a whole answer. The caller is told that it may have run.
    #[must_use]
    pub fn fail(
        self,
        reason: FailureReason,
        message: &str,
        retry_after: Option<Duration>,
    ) -> Failed {
        build_failure(self.request_id, RanState::Unknown, reason, message, retry_after)
    }
}

/// A state in which the call is known not to have run.
trait Unsent {}

impl Unsent for Received {}

impl Unsent for Queued {}

impl Unsent for Claimed {}

#[expect(private_bounds, reason = "the set of unsent states is closed")]
impl<State: Unsent> Call<State> {
    /// Ends the call and promises the caller that it hasn't run.
    #[must_use]
    pub fn refuse(
        self,
        reason: FailureReason,
        message: &str,
        retry_after: Option<Duration>,
    ) -> Failed {
        build_failure(self.request_id, RanState::No, reason, message, retry_after)
    }

    /// Ends the call without a promise that the request hasn't run. This attempt hasn't, but
    /// another attempt under the same idempotency key may have.
    #[must_use]
    pub fn refuse_unverified(
        self,
        reason: FailureReason,
        message: &str,
        retry_after: Option<Duration>,
    ) -> Failed {
        build_failure(self.request_id, RanState::Unknown, reason, message, retry_after)
    }
}

impl<State> Call<State> {
    /// Returns the id of the request.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }
}

/// Builds the end of a call without a whole answer, with the body for the caller.
fn build_failure(
    request_id: RequestId,
    ran: RanState,
    reason: FailureReason,
    message: &str,
    retry_after: Option<Duration>,
) -> Failed {
    Failed {
        body: FailureBody {
            reason,
            ran,
            message: message.to_owned(),
            remedy: reason.remedy().to_owned(),
            request_id: format_request_id(request_id),
            retry_after_ms: retry_after.map(|span| span.as_millis() as u64),
        },
    }
}
