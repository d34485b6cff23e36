//! The last statement of one incarnation of a backend server, and whether a request may
//! be sent to it.

use std::time::Duration;

use super::cold::ColdLimit;
use super::limit::RateLimit;
use super::refusal::RefusalState;
use super::report::ReportEffect;
use super::statement::{RequestRate, StatedRate};

/// The time in which the bucket of a stated rate is filled.
const STATED_BURST: Duration = Duration::from_millis(250);

/// The time in which the bucket of a cold server's rate is filled: the period in which
/// waiting requests are dispatched.
const COLD_BURST: Duration = Duration::from_millis(100);

/// What one incarnation of a backend server has stated, and this instance's share of it.
#[derive(Debug, Default)]
pub(crate) struct ServerPushback {
    /// The limit from the rate that the server states; `None` if it states none.
    limit: Option<Box<RateLimit>>,
    /// When any instance last heard the rate, or its absence, from the server.
    rate_heard_at: Duration,
    /// Until when the server has asked this instance not to send requests.
    backoff_until: Duration,
    /// The limit while the server is cold; `None` if it hasn't been.
    cold: Option<Box<ColdLimit>>,
    /// How many requests the server can refuse.
    pub(crate) refusals: RefusalState,
}

impl ServerPushback {
    /// Returns the rate that the server states for all instances.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.limit.as_ref().map(|limit| limit.rate)
    }

    /// Returns this instance's share of the rate, in requests a second.
    pub(crate) fn share(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.share())
    }

    /// Applies the rate stated in the response to a request that was sent at `sent`.
    /// Responses can arrive out of order, so the rate is only raised by a response to a
    /// request that was sent after the rate was last heard. Returns whether the rate
    /// changed.
    pub(crate) fn apply_statement(
        &mut self,
        stated: StatedRate,
        share: impl FnOnce(RequestRate) -> f64,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let rate = match stated {
            StatedRate::Unreadable | StatedRate::Unstated => return false,
            StatedRate::Unlimited => None,
            StatedRate::Limited(rate) => Some(rate),
        };
        if sent <= self.rate_heard_at && is_increase(self.rate(), rate) {
            return false;
        }
        self.rate_heard_at = now;
        self.set_rate(rate, share, now)
    }

    /// Applies the report of a peer that heard the server state `rate` at `heard`.
    /// Returns how the report relates to what is known.
    pub(crate) fn apply_report(
        &mut self,
        rate: Option<RequestRate>,
        share: impl FnOnce(RequestRate) -> f64,
        heard: Duration,
        now: Duration,
    ) -> ReportEffect {
        if heard <= self.rate_heard_at && rate != self.rate() {
            return ReportEffect::Outdated;
        }
        self.rate_heard_at = self.rate_heard_at.max(heard);
        if self.set_rate(rate, share, now) {
            ReportEffect::Changed
        } else {
            ReportEffect::Known
        }
    }

    /// Returns when the rate, or its absence, was last heard.
    pub(crate) fn rate_heard_at(&self) -> Duration {
        self.rate_heard_at
    }

    /// Sets the rate. Returns whether it changed.
    fn set_rate(
        &mut self,
        rate: Option<RequestRate>,
        share: impl FnOnce(RequestRate) -> f64,
        now: Duration,
    ) -> bool {
        if rate == self.rate() {
            return false;
        }
        match (&mut self.limit, rate) {
            (limit, None) => *limit = None,
            (Some(limit), Some(rate)) => limit.set(rate, share(rate), now),
            (limit, Some(rate)) => {
                *limit =
                    Some(Box::new(RateLimit::new(rate, share(rate), STATED_BURST, now)));
            }
        }
        true
    }

    /// Records that the server asked this instance to send nothing for `span`. Later
    /// statements can extend the backoff but not shorten it. Returns whether it was
    /// extended.
    pub(crate) fn back_off(&mut self, span: Duration, now: Duration) -> bool {
        let until = now + span;
        let extended = until > self.backoff_until;
        self.backoff_until = self.backoff_until.max(until);
        extended
    }

    /// Limits the requests to the server until `until`, because it is cold. A limit that
    /// is in force is extended but never shortened.
    pub(crate) fn limit_while_cold(
        &mut self,
        rate: RequestRate,
        share: impl FnOnce(RequestRate) -> f64,
        until: Duration,
        now: Duration,
    ) {
        if now >= until {
            return;
        }
        match &mut self.cold {
            Some(cold) if cold.is_active(now) => cold.until = cold.until.max(until),
            cold => {
                let limit = RateLimit::new(rate, share(rate), COLD_BURST, now);
                *cold = Some(Box::new(ColdLimit { limit, until }));
            }
        }
    }

    /// Returns whether the server is taken to be cold.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_active(now))
    }

    /// Returns whether the server limits requests or refusals, or has asked for a backoff.
    pub(crate) fn is_restricted(&self, now: Duration) -> bool {
        let limits_refusals = self.refusals.limit().is_some();
        limits_refusals || self.is_limited(now) || self.is_backing_off(now)
    }

    /// Returns whether requests to the server take tokens.
    pub(crate) fn is_limited(&self, now: Duration) -> bool {
        self.limit.is_some() || self.is_cold(now)
    }

    /// Recomputes this instance's shares of the stated rate and of the rate of a cold
    /// server, after the group has changed.
    pub(crate) fn update_shares(
        &mut self,
        stated_share: impl FnOnce(RequestRate) -> f64,
        cold_share: impl FnOnce(RequestRate) -> f64,
        now: Duration,
    ) {
        if let Some(limit) = &mut self.limit {
            limit.set(limit.rate, stated_share(limit.rate), now);
        }
        self.cold.take_if(|cold| !cold.is_active(now));
        if let Some(cold) = &mut self.cold {
            let limit = &mut cold.limit;
            limit.set(limit.rate, cold_share(limit.rate), now);
        }
    }

    /// Starts to use a larger share of the rate once it has been pending for long enough.
    pub(crate) fn tick(&mut self, now: Duration) {
        if let Some(limit) = &mut self.limit {
            limit.apply_increase(now);
        }
        if let Some(cold) = &mut self.cold {
            cold.limit.apply_increase(now);
        }
    }

    /// Returns whether the backoff that the server asked for is still in force.
    pub(crate) fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.is_backing_off(now)
            && self.limit.as_ref().is_none_or(|limit| limit.is_ready(now))
            && self.cold.as_ref().is_none_or(|cold| cold.is_ready(now))
    }

    /// Returns when the next request may be sent; `None` if the share of the rate is zero
    /// or so low that the time can't be represented.
    pub(crate) fn ready_at(&self, now: Duration) -> Option<Duration> {
        let ready = self.limit.as_ref().map_or(Some(now), |limit| limit.ready_at(now))?;
        let cold_ready = self.cold.as_ref().map_or(now, |cold| cold.ready_at(now));
        Some(ready.max(self.backoff_until).max(cold_ready))
    }

    /// Takes a token of each limit for one request. Returns whether there were tokens;
    /// doesn't check the backoff.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        let cold_ready = self.cold.as_ref().is_none_or(|cold| cold.is_ready(now));
        cold_ready
            && self.limit.as_mut().is_none_or(|limit| limit.take(now))
            && self.cold.as_mut().is_none_or(|cold| cold.take(now))
    }
}

/// Returns whether `to` allows more than `from`, where `None` is unlimited.
fn is_increase(from: Option<RequestRate>, to: Option<RequestRate>) -> bool {
    match (from, to) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(from), Some(to)) => to > from,
    }
}
