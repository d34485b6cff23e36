//! Answers that are being written: from when they are handed to hyper until their last byte has
//! been handed to the kernel.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use http_body_util::Either;
use hyper::body::{Body, Frame, SizeHint};

use crate::reply::ResponseBody;

/// How many answers an instance is still writing. A stream counts once its last event has been
/// taken by hyper, as its call is open until then.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnwrittenAnswers(Rc<Cell<usize>>);

impl UnwrittenAnswers {
    /// Returns how many there are.
    pub(crate) fn count(&self) -> usize {
        self.0.get()
    }
}

/// The answer that a connection is writing. There is one at a time: hyper reads the next request
/// once the answer before it is written.
#[derive(Debug)]
pub(crate) struct ConnectionAnswer {
    /// The answers of all connections.
    all: UnwrittenAnswers,
    /// Whether hyper still takes parts of the body.
    has_body: Cell<bool>,
    /// Whether it is counted.
    counted: Cell<bool>,
}

impl ConnectionAnswer {
    /// Creates the state of a connection that writes no answer.
    pub(crate) fn new(all: &UnwrittenAnswers) -> Self {
        Self {
            all: all.clone(),
            has_body: Cell::default(),
            counted: Cell::default(),
        }
    }

    /// Returns whether an answer is being written.
    pub(crate) fn is_open(&self) -> bool {
        self.has_body.get() || self.counted.get()
    }

    /// Records that nothing is left of what hyper has taken.
    pub(crate) fn record_flush(&self) {
        if !self.has_body.get() && self.counted.replace(false) {
            self.all.0.set(self.all.count() - 1);
        }
    }

    /// Counts the answer.
    fn count(&self) {
        if !self.counted.replace(true) {
            self.all.0.set(self.all.count() + 1);
        }
    }
}

impl Drop for ConnectionAnswer {
    fn drop(&mut self) {
        self.has_body.set(false);
        self.record_flush();
    }
}

/// The body of an answer whose writing is tracked.
pub(crate) struct TrackedBody {
    /// The body.
    body: ResponseBody,
    /// The answer.
    answer: Rc<ConnectionAnswer>,
}

impl TrackedBody {
    /// Begins an answer.
    pub(crate) fn new(body: ResponseBody, answer: Rc<ConnectionAnswer>) -> Self {
        answer.has_body.set(true);
        if matches!(body, Either::Left(_)) {
            answer.count();
        }
        Self { body, answer }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.answer.count();
        self.answer.has_body.set(false);
    }
}

impl Body for TrackedBody {
    type Data = <ResponseBody as Body>::Data;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
