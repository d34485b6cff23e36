//! What the core keeps about an open request.

use std::time::Duration;

use flaxtide_core::{ServerId, TierRank};

use crate::event::CallArrival;

/// A request that is waiting or at a server.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    /// The request as it arrived.
    pub(crate) arrival: CallArrival,
    /// The tier of the request's class at arrival.
    pub(crate) tier: TierRank,
    /// When the request arrived.
    pub(crate) arrived: Duration,
    /// When the request is given up if it still waits.
    pub(crate) expiry: Duration,
    /// Where the request is now.
    pub(crate) state: CallState,
    /// The number of times that the request has been dispatched.
    pub(crate) attempts: u8,
    /// Servers that have failed the request; its retries avoid them.
    pub(crate) excluded: Vec<ServerId>,
    /// Whether a server may have run any of the request.
    pub(crate) may_have_run: bool,
}

/// Where an open request is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CallState {
    /// Waiting in its pool's queue.
    Queued,
    /// Waiting among its pool's retries.
    Retrying,
    /// At a server.
    Running(RunningCall),
}

/// A request at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunningCall {
    /// The server that the request was sent to.
    pub(crate) server: ServerId,
    /// The tier whose slot the request uses: the top tier for one of a starved class.
    pub(crate) tier: TierRank,
    /// When the request was dispatched.
    pub(crate) dispatched_at: Duration,
    /// When the first token arrived; `None` before.
    pub(crate) first_token: Option<Duration>,
}

impl CallRecord {
    /// Returns the current attempt if the request is at a server.
    pub(crate) fn running(&self) -> Option<RunningCall> {
        match self.state {
            CallState::Running(running) => Some(running),
            CallState::Queued | CallState::Retrying => None,
        }
    }
}
