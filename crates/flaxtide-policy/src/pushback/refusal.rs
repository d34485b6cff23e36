//! How many requests a backend server can refuse for lack of room before it fails.

use std::time::Duration;

use super::report::ReportEffect;

/// How many requests a server can refuse.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RefusalLimit {
    /// The number of refusals a second, for all instances together.
    pub(crate) per_second: u32,
    /// Since when other servers of the pool state the number, if this one hasn't stated it
    /// itself.
    inherited_since: Option<Duration>,
    /// How many of the server's slots only this instance uses.
    pub(crate) slot_share: u32,
}

impl RefusalLimit {
    /// Creates a limit of which this instance has no share yet.
    fn new(per_second: u32, inherited_since: Option<Duration>) -> Self {
        Self { per_second, inherited_since, slot_share: 0 }
    }

    /// Returns whether the server itself states the number.
    pub(crate) fn is_own(&self) -> bool {
        self.inherited_since.is_none()
    }
}

/// What is known of the refusals that one incarnation of a server can make.
#[derive(Debug, Default)]
pub(crate) struct RefusalState {
    /// The limit; `None` if there is none.
    limit: Option<RefusalLimit>,
    /// When any instance last heard the server state the number, or none.
    heard_at: Duration,
}

impl RefusalState {
    /// Returns the limit, if there is one.
    pub(crate) fn limit(&self) -> Option<&RefusalLimit> {
        self.limit.as_ref()
    }

    /// Returns the number that the server itself states, if any, and when it was heard.
    pub(crate) fn stated(&self) -> (Option<u32>, Duration) {
        let own = self.limit.filter(RefusalLimit::is_own);
        (own.map(|limit| limit.per_second), self.heard_at)
    }

    /// Applies what the server states in the response to a request that was sent at `sent`.
    /// A response that vouches for the server and states no number ends the limit. Returns
    /// whether what the server itself states has changed.
    pub(crate) fn apply_statement(
        &mut self,
        per_second: Option<u32>,
        is_vouched: bool,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let inherited_since = self.limit.and_then(|limit| limit.inherited_since);
        let ends =
            is_vouched && sent > self.heard_at.max(inherited_since.unwrap_or_default());
        if per_second.is_none() && !ends {
            return false;
        }
        self.heard_at = now;
        self.set_stated(per_second)
    }

    /// Applies the report of a peer that heard the server at `heard`. Returns how the
    /// report relates to what is known.
    pub(crate) fn apply_report(
        &mut self,
        per_second: Option<u32>,
        heard: Duration,
    ) -> ReportEffect {
        if heard <= self.heard_at && per_second != self.stated().0 {
            return ReportEffect::Outdated;
        }
        self.heard_at = self.heard_at.max(heard);
        match self.set_stated(per_second) {
            true => ReportEffect::Changed,
            false => ReportEffect::Known,
        }
    }

    /// Takes over the limit of other servers of the pool, which state it since `since`,
    /// unless something was heard from this one since.
    pub(crate) fn inherit(&mut self, per_second: u32, since: Duration) {
        if self.limit.is_none() && self.heard_at <= since {
            self.limit = Some(RefusalLimit::new(per_second, Some(since)));
        }
    }

    /// Ends the limit.
    pub(crate) fn end(&mut self) {
        self.limit = None;
    }

    /// Sets how many of the server's slots only this instance uses.
    pub(crate) fn set_share(&mut self, slots: u32) {
        if let Some(limit) = &mut self.limit {
            limit.slot_share = slots;
        }
    }

    /// Sets the number that the server itself states. Returns whether it has changed.
    fn set_stated(&mut self, per_second: Option<u32>) -> bool {
        let before = self.stated().0;
        let known = self.limit.take();
        self.limit = per_second.map(|per_second| {
            let known = known.unwrap_or(RefusalLimit::new(per_second, None));
            RefusalLimit { per_second, inherited_since: None, ..known }
        });
        before != per_second
    }
}
