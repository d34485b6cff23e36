//! What is known of what one start of a backend server has said of itself, and whether it may be
//! sent a request.

use std::time::Duration;

use super::limit::RateLimit;
use super::report::ReportEffect;
use super::statement::{RequestRate, StatedRate};

/// What one start of a backend server has said of itself.
#[derive(Debug, Default)]
pub(crate) struct ServerPushback {
    /// The rate that it takes from all instances, if it says so.
    limit: Option<RateLimit>,
    /// When that, or that there is none, was last heard from the server by any instance.
    rate_heard_at: Duration,
    /// Until when it wants nothing from this instance.
    backoff_until: Duration,
}

impl ServerPushback {
    /// Returns the rate that the server takes from all instances.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.limit.as_ref().map(|limit| limit.rate)
    }

    /// Returns this instance's part of it, in requests a second.
    pub(crate) fn share(&self) -> Option<f64> {
        self.limit.as_ref().map(RateLimit::part)
    }

    /// Records what an answer to a request says that was sent at `sent`. An answer that the
    /// server may have made before another one that came first doesn't raise the rate. Returns
    /// whether the rate is another one.
    pub(crate) fn apply_statement(
        &mut self,
        stated: StatedRate,
        part: impl FnOnce(RequestRate) -> f64,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let rate = match stated {
            StatedRate::Unreadable | StatedRate::Unstated => return false,
            StatedRate::Unlimited => None,
            StatedRate::Limited(rate) => Some(rate),
        };
        if sent <= self.rate_heard_at && raises(self.rate(), rate) {
            return false;
        }
        self.rate_heard_at = now;
        self.set_rate(rate, part, now)
    }

    /// Records that a peer heard the server state a rate, or none, at `heard`. Returns what that
    /// does to what is known.
    pub(crate) fn apply_report(
        &mut self,
        rate: Option<RequestRate>,
        part: impl FnOnce(RequestRate) -> f64,
        heard: Duration,
        now: Duration,
    ) -> ReportEffect {
        if heard <= self.rate_heard_at && rate != self.rate() {
            return ReportEffect::Outdated;
        }
        self.rate_heard_at = self.rate_heard_at.max(heard);
        if self.set_rate(rate, part, now) {
            ReportEffect::Changed
        } else {
            ReportEffect::Known
        }
    }

    /// Returns when the rate, or that there is none, was last heard.
    pub(crate) fn rate_heard_at(&self) -> Duration {
        self.rate_heard_at
    }

    /// Sets the rate. Returns whether it is another one.
    fn set_rate(
        &mut self,
        rate: Option<RequestRate>,
        part: impl FnOnce(RequestRate) -> f64,
        now: Duration,
    ) -> bool {
        if rate == self.rate() {
            return false;
        }
        match (&mut self.limit, rate) {
            (limit, None) => *limit = None,
            (Some(limit), Some(rate)) => limit.set(rate, part(rate), now),
            (limit, Some(rate)) => *limit = Some(RateLimit::new(rate, part(rate), now)),
        }
        true
    }

    /// Records that the server wants nothing from this instance for a while. Nothing that it
    /// answers meanwhile shortens that. Returns whether that is news.
    pub(crate) fn back_off(&mut self, span: Duration, now: Duration) -> bool {
        let until = now + span;
        let news = until > self.backoff_until;
        self.backoff_until = self.backoff_until.max(until);
        news
    }

    /// Works out anew what this instance's part of the rate is.
    pub(crate) fn update_share(
        &mut self,
        part: impl FnOnce(RequestRate) -> f64,
        now: Duration,
    ) {
        if let Some(limit) = &mut self.limit {
            limit.set(limit.rate, part(limit.rate), now);
        }
    }

    /// Takes a larger part of the rate once it is due.
    pub(crate) fn tick(&mut self, now: Duration) {
        if let Some(limit) = &mut self.limit {
            limit.grow(now);
        }
    }

    /// Returns whether the server wants nothing from this instance now.
    pub(crate) fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.is_backing_off(now)
            && self.limit.as_ref().is_none_or(|limit| limit.is_ready(now))
    }

    /// Returns when a request may be sent; nothing if that can't be told.
    pub(crate) fn ready_at(&self, now: Duration) -> Option<Duration> {
        let ready = self.limit.as_ref().map_or(Some(now), |limit| limit.ready_at(now))?;
        Some(ready.max(self.backoff_until))
    }

    /// Counts a request against what may be sent. Returns whether it may be.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        self.limit.as_mut().is_none_or(|limit| limit.take(now))
    }
}

/// Returns whether a rate is higher than another.
fn raises(from: Option<RequestRate>, to: Option<RequestRate>) -> bool {
    match (from, to) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(from), Some(to)) => to > from,
    }
}
