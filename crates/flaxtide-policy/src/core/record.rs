//! What the core remembers of a request.

use std::time::Duration;

use flaxtide_core::{ServerId, TierRank};

use crate::event::CallArrival;

/// A request that has neither been answered nor given up.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    /// What came.
    pub(crate) arrival: CallArrival,
    /// The tier of its class.
    pub(crate) tier: TierRank,
    /// When it came.
    pub(crate) arrived: Duration,
    /// When it is given up if it still waits.
    pub(crate) expiry: Duration,
    /// Where it is.
    pub(crate) state: CallState,
    /// How often it has been dispatched.
    pub(crate) attempts: u8,
    /// The servers that have failed it.
    pub(crate) excluded: Vec<ServerId>,
    /// Whether any of its bytes may have reached a server.
    pub(crate) may_have_run: bool,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CallState {
    /// In its pool's queue.
    Queued,
    /// Among its pool's retries.
    Retrying,
    /// At a server.
    Running(RunningCall),
}

/// A request at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunningCall {
    /// The server.
    pub(crate) server: ServerId,
    /// The tier whose slot it uses.
    pub(crate) tier: TierRank,
    /// When it was dispatched.
    pub(crate) dispatched_at: Duration,
    /// When the first token came.
    pub(crate) first_token: Option<Duration>,
}

impl CallRecord {
    /// Returns where the request runs, if it does.
    pub(crate) fn running(&self) -> Option<RunningCall> {
        match self.state {
            CallState::Running(running) => Some(running),
            CallState::Queued | CallState::Retrying => None,
        }
    }
}
