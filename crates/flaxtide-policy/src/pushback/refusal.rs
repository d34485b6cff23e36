//! How many requests a backend server can refuse for lack of room before it fails, and
//! this instance's part in keeping the refusals below that.

use std::time::Duration;

use super::report::ReportEffect;

/// The fraction of the stated refusals that instances allow themselves.
pub(crate) const REFUSAL_FRACTION: f64 = 0.5;

/// The number of requests that all instances together try to send beyond the slots, as a
/// fraction of the stated refusals. Each may be refused, and displace one within the slots.
const TRIED_FRACTION: f64 = 0.25;

/// How long an instance keeps to its share of a server's slots after the server has refused
/// a request beyond it.
const SHARE_PERIOD: Duration = Duration::from_secs(5);

/// How many requests a server can refuse.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RefusalLimit {
    /// The number of refusals a second, for all instances together.
    pub(crate) per_second: u32,
    /// Since when other servers of the pool state the number, if this one hasn't stated it
    /// itself.
    inherited_since: Option<Duration>,
    /// How many of the server's slots only this instance uses.
    slot_share: u32,
    /// The same with this instance's share of the requests that all instances together try
    /// to send beyond the slots, as some may wait at the server.
    tried_share: u32,
    /// Until when this instance sends nothing, because the server refused a request.
    paused_until: Duration,
    /// Until when this instance keeps to its share, because the server refused a request
    /// beyond it.
    keeps_share_until: Duration,
}

impl RefusalLimit {
    /// Creates a limit of a server that hasn't refused any request.
    fn new(per_second: u32, inherited_since: Option<Duration>) -> Self {
        Self {
            per_second,
            inherited_since,
            slot_share: 0,
            tried_share: 0,
            paused_until: Duration::ZERO,
            keeps_share_until: Duration::ZERO,
        }
    }

    /// Returns how many requests all instances together try to send beyond the slots. They
    /// may all be refused within a second.
    pub(crate) fn tried_slots(&self) -> u32 {
        (f64::from(self.per_second) * TRIED_FRACTION) as u32
    }

    /// Returns how many requests this instance may have at the server, whatever the others
    /// have there.
    pub(crate) fn usable_share(&self, now: Duration) -> u32 {
        if now < self.keeps_share_until { self.slot_share } else { self.tried_share }
    }

    /// Returns whether the server itself states the number.
    pub(crate) fn is_own(&self) -> bool {
        self.inherited_since.is_none()
    }

    /// Returns whether the server gets nothing because it refused a request.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
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

    /// Sets this instance's share of the slots, without and with those that are tried.
    pub(crate) fn set_share(&mut self, slots: u32, with_tried: u32) {
        if let Some(limit) = &mut self.limit {
            (limit.slot_share, limit.tried_share) = (slots, with_tried);
        }
    }

    /// Records that the server refused one of `own` requests that this instance had there.
    /// One beyond its share shows that there are no slots besides; else others use this
    /// instance's slots, and it sends nothing for `pause`.
    pub(crate) fn record_refusal(&mut self, own: u32, pause: Duration, now: Duration) {
        let Some(limit) = &mut self.limit else { return };
        if own > limit.slot_share {
            limit.keeps_share_until = now + SHARE_PERIOD;
        } else {
            limit.paused_until = limit.paused_until.max(now + pause);
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
