//! What happens, in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

/// Something that happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LabEvent {
    /// A request comes to an instance drawn for it.
    Arrive,
    /// A request reaches a server.
    Reach(Sending),
    /// A server has done a request.
    Done(Sending),
    /// An instance hears how a request went.
    Hear(Sending, ServerAnswer),
    /// An instance tells what it has at servers.
    Tell(u32),
    /// An instance asks for the sums of other groups.
    Ask(u32),
    /// An instance looks after requests that wait.
    Tick(u32),
}

/// A request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Sending {
    /// The instance.
    pub(crate) instance: u32,
    /// The request.
    pub(crate) request: RequestId,
    /// The server.
    pub(crate) server: ServerId,
}

/// What a server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ServerAnswer {
    /// The request is done.
    Done,
    /// There is no room: it hasn't run.
    Full,
}

/// What is still to happen.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    /// The events, with their times and numbers: at one time in the order of their making.
    heap: BinaryHeap<Reverse<(Duration, u64, LabEvent)>>,
    /// The number of the next event.
    next: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: Duration, event: LabEvent) {
        self.heap.push(Reverse((at, self.next, event)));
        self.next += 1;
    }

    /// Takes the next event.
    pub(crate) fn pop(&mut self) -> Option<(Duration, LabEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
