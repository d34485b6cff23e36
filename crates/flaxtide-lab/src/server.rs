//! A plain server with slots and a short queue.

use std::collections::VecDeque;

use crate::event::Sending;

/// A plain server.
#[derive(Debug, Default)]
pub(crate) struct PlainServer {
    /// How many requests it works on.
    busy: usize,
    /// The requests that wait in it.
    waiting: VecDeque<Sending>,
}

/// What becomes of a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is worked on at once.
    Runs,
    /// It waits.
    Waits,
    /// It is turned away.
    TurnedAway,
}

impl PlainServer {
    /// Handles a request that reaches the server.
    pub(crate) fn admit(
        &mut self,
        sending: Sending,
        slots: usize,
        queue: usize,
    ) -> Admission {
        if self.busy < slots {
            self.busy += 1;
            return Admission::Runs;
        }
        if self.waiting.len() < queue {
            self.waiting.push_back(sending);
            return Admission::Waits;
        }
        Admission::TurnedAway
    }

    /// Ends a request. Returns the one that is worked on next.
    pub(crate) fn end(&mut self) -> Option<Sending> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}
