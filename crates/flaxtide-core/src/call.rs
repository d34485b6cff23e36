//! The life cycle of a call, as types.
//!
//! A call that no backend server has seen can be refused, which promises "not run". From
//! [`Dispatched`] on there is no `refuse`: the only way out without an answer is
//! [`Call::fail`], which says "may have run". An untrue refusal doesn't compile:
//!
//! ```compile_fail
//! use flaxtide_core::{Call, FailureReason};
//! let call = Call::receive(1).queue().dispatch();
//! call.refuse(FailureReason::Overloaded, "late", None); // no such method
//! ```
//!
//! Only a claimed call keeps its attempt for the row in the table:
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

/// One request on its way through an entry instance, in one state of its life.
#[derive(Debug)]
pub struct Call<State> {
    /// The request's id.
    request_id: RequestId,
    /// The state, with what belongs to it.
    state: State,
}

/// The request has been read; nothing has been decided.
#[derive(Debug)]
pub struct Received;

/// The request waits at this instance for a backend server.
#[derive(Debug)]
pub struct Queued;

/// The row that lets this attempt alone run the request is in the table.
#[derive(Debug)]
pub struct Claimed {
    /// The attempt that the row names.
    attempt_id: AttemptId,
}

/// Bytes of the request may have gone to a backend server.
#[derive(Debug)]
pub struct Dispatched;

/// The whole answer has been passed on.
#[derive(Debug)]
pub struct Answered;

/// The call ended without a whole answer.
#[derive(Debug)]
pub struct Failed {
    /// What the caller is told.
    pub body: FailureBody,
}

/// How a call ended; each call ends in exactly one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer has been passed on.
    Answered,
    /// Refused: no backend server has seen it.
    Refused,
    /// Failed after dispatch: it may have run.
    Failed,
}

impl Call<Received> {
    /// Starts the life of a call.
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
    /// Records that the table holds a row for `attempt_id`.
    #[must_use]
    pub fn claim(self, attempt_id: AttemptId) -> Call<Claimed> {
        Call {
            request_id: self.request_id,
            state: Claimed { attempt_id },
        }
    }

    /// Sends a call that may be repeated to a backend server. Must come before the
    /// first byte.
    #[must_use]
    pub fn dispatch(self) -> Call<Dispatched> {
        Call { request_id: self.request_id, state: Dispatched }
    }
}

impl Call<Claimed> {
    /// Returns the attempt that holds the row.
    #[must_use]
    pub fn attempt_id(&self) -> AttemptId {
        self.state.attempt_id
    }

    /// Sends the call to a backend server. Must come before the first byte.
    #[must_use]
    pub fn dispatch(self) -> Call<Dispatched> {
        Call { request_id: self.request_id, state: Dispatched }
    }
}

impl Call<Dispatched> {
    /// Takes the call back into the queue. Only right where the backend server is known
    /// not to have run it: the connection was refused, or the server said so.
    #[must_use]
    pub fn requeue(self) -> Call<Queued> {
        Call { request_id: self.request_id, state: Queued }
    }

    /// Ends the call with a whole answer.
    #[must_use]
    pub fn answer(self) -> Call<Answered> {
        Call { request_id: self.request_id, state: Answered }
    }

    /// Ends the call without a whole answer. It may have run.
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

/// States in which no byte has gone to a backend server.
trait Unsent {}

impl Unsent for Received {}

impl Unsent for Queued {}

impl Unsent for Claimed {}

#[expect(private_bounds, reason = "the set of unsent states is closed")]
impl<State: Unsent> Call<State> {
    /// Ends the call with the promise that it hasn't run.
    #[must_use]
    pub fn refuse(
        self,
        reason: FailureReason,
        message: &str,
        retry_after: Option<Duration>,
    ) -> Failed {
        build_failure(self.request_id, RanState::No, reason, message, retry_after)
    }

    /// Ends the call, which hasn't run itself, where another attempt under the same
    /// idempotency key may have.
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
    /// Returns the request's id.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }
}

/// Builds the final word on a call.
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
