//! The rate limit of a backend server that is cold: one that has just started, or whose
//! caches and connections aren't warm for another reason.

use std::time::Duration;

use super::limit::RateLimit;
use super::statement::RequestRate;

/// How a backend server of a service starts, and how long it is known to be cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// The rate that a cold server accepts from all instances together.
    pub rate: RequestRate,
    /// How long a server stays cold after its start.
    pub span: Duration,
    /// Until when the server is known to be cold; in the past if it is warm.
    pub until: Duration,
}

/// The limit of a cold server.
#[derive(Debug, Clone)]
pub(crate) struct ColdLimit {
    /// This instance's share of the rate.
    pub(crate) limit: RateLimit,
    /// When the limit ends.
    pub(crate) until: Duration,
}

impl ColdLimit {
    /// Returns whether the limit is in force.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.is_active(now) || self.limit.is_ready(now)
    }

    /// Returns when the next request may be sent.
    pub(crate) fn ready_at(&self, now: Duration) -> Duration {
        if !self.is_active(now) {
            return now;
        }
        self.limit
            .ready_at(now)
            .map_or(self.until, |ready| ready.min(self.until))
    }

    /// Takes a token while the limit is in force. Returns whether a request may be sent.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        !self.is_active(now) || self.limit.take(now)
    }
}
