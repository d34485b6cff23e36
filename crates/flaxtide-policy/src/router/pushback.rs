//! Pushback in the router: applies the rate limits and backoffs that servers state in
//! their responses, and checks every request against them right before it is sent.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

use super::call::{CallPhase, RoutedCall};
use super::server::RoutedServer;
use super::{RefusalCause, RouteAction, RouteCore, find_server};
use crate::pushback::{
    DataCentreKey, InstanceGroup, ReportEffect, RequestRate, ServerStatement, StatedRate,
};
use crate::rendezvous::rendezvous_weight;

/// The maximum random extension of a retry-after time, as a fraction of it. It keeps the
/// callers that wait for the same server from returning at once.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// What a server's statement changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementChange {
    /// The rate that the server accepts from all instances together, or `None` if it
    /// states no limit.
    pub rate: Option<RequestRate>,
    /// This instance's share of the rate, in requests per second.
    pub share: Option<f64>,
    /// Whether the rate differs from the one before.
    pub rate_changed: bool,
    /// How many requests a second the server can refuse before it fails, or `None` if it
    /// states no number.
    pub refusals: Option<u32>,
    /// Whether that differs from what was known before.
    pub refusals_changed: bool,
    /// How long the server asks this instance to send nothing, if that extends its
    /// backoff.
    pub new_backoff: Option<Duration>,
}

/// The numbers of servers that limit the rate or ask for a backoff.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PushbackCount {
    /// Servers that state a rate.
    pub limited: usize,
    /// Servers that currently ask this instance to send nothing.
    pub backing_off: usize,
    /// Servers that are taken to be cold.
    pub cold: usize,
    /// Servers that can refuse only a limited number of requests.
    pub refusing: usize,
}

impl RouteCore {
    /// Sets the instances that are alive, for the shares of rates. Must be called
    /// periodically: a larger share takes effect after a delay, which is checked in this
    /// call.
    pub fn set_group(&mut self, group: Arc<InstanceGroup>, now: Duration) {
        let unchanged = self.group.as_ref() == Some(&group);
        for pool in self.pools.values_mut() {
            pool.servers.update_active(|server| {
                if unchanged {
                    server.pushback.tick(now);
                } else {
                    server.update_shares(Some(&group), now);
                }
            });
        }
        self.group = Some(group);
        self.end_old_refusals(now);
    }

    /// Returns whether this instance, of all that are alive, is the one to which a key belongs;
    /// none is until membership is known.
    #[must_use]
    pub fn owns(&self, key: u64) -> bool {
        self.group.as_ref().is_some_and(|group| group.owns(key))
    }

    /// Applies the statement in a server's response to a request that was sent at `sent`.
    /// Returns what changed, if anything.
    pub fn record_statement(
        &mut self,
        server: ServerId,
        statement: ServerStatement,
        sent: Duration,
        now: Duration,
    ) -> Option<StatementChange> {
        let group = self.group.as_deref();
        let server = find_server(&mut self.pools, server)?;
        if let Some(span) = statement.cold {
            server.limit_while_cold(now.saturating_add(span), group, self.seed, now);
        }
        let rate_share =
            |rate| own_share(group, &server.listing, rate, InstanceGroup::rate_share);
        let pushback = &mut server.pushback;
        let is_vouched = statement.rate != StatedRate::Unstated;
        let limit = statement.refusal_limit;
        let refusals_changed =
            pushback.refusals.apply_statement(limit, is_vouched, sent, now);
        let refusals = pushback.refusals.stated().0;
        let backoff = statement.backoff.map(|span| span.min(self.options.longest_rest));
        let new_backoff = backoff.filter(|span| pushback.back_off(*span, now));
        let rate_changed =
            pushback.apply_statement(statement.rate, rate_share, sent, now);
        let (rate, share) = (pushback.rate(), pushback.share());
        if refusals_changed || limit.is_some() {
            server.update_slot_share(group);
            let id = server.listing.server;
            self.update_pool_refusals(id, now);
        }
        let is_change = rate_changed || refusals_changed || new_backoff.is_some();
        is_change.then_some(StatementChange {
            rate,
            share,
            rate_changed,
            refusals,
            refusals_changed,
            new_backoff,
        })
    }

    /// Applies the rate, or the absence of one, that a peer received from a server at
    /// `heard_at`. Returns `None` if the server isn't known.
    pub fn record_peer_rate(
        &mut self,
        server: ServerId,
        rate: Option<RequestRate>,
        heard_at: Duration,
        now: Duration,
    ) -> Option<ReportEffect> {
        let group = self.group.as_deref();
        let server = find_server(&mut self.pools, server)?;
        let rate_share =
            |rate| own_share(group, &server.listing, rate, InstanceGroup::rate_share);
        Some(server.pushback.apply_report(rate, rate_share, heard_at, now))
    }

    /// Returns the rate that a server states, if any, and when it was last received.
    /// `None` if the server isn't known.
    #[must_use]
    pub fn stated_rate(
        &self,
        server: ServerId,
    ) -> Option<(Option<RequestRate>, Duration)> {
        let mut pools = self.pools.values();
        let server = pools.find_map(|pool| pool.servers.get(server))?;
        Some((server.pushback.rate(), server.pushback.rate_heard_at()))
    }

    /// Returns how many servers state a rate, and how many currently ask this instance to
    /// send nothing.
    #[must_use]
    pub fn count_pushback(&self, now: Duration) -> PushbackCount {
        let mut count = PushbackCount::default();
        for server in self.pools.values().flat_map(|pool| pool.servers.active()) {
            count.limited += usize::from(server.pushback.rate().is_some());
            count.backing_off += usize::from(server.pushback.is_backing_off(now));
            count.cold += usize::from(server.pushback.is_cold(now));
            let limit = server.pushback.refusals.limit();
            count.refusing += usize::from(limit.is_some());
        }
        count
    }

    /// Returns whether a request may now be written to its chosen server, and counts it
    /// against the server's rate unless that has been done. The server may have lowered its
    /// rate or asked for a backoff since it was chosen.
    pub fn permit_send(&mut self, request: RequestId, now: Duration) -> bool {
        let Some(call) = self.calls.get_mut(&request) else { return false };
        let CallPhase::Running { server, .. } = call.phase else { return false };
        let Some(pool) = self.pools.get_mut(&call.details.pool) else { return false };
        if pool.servers.is_forward_peer(server) {
            // The peer checks what the server accepts.
            return true;
        }
        let Some(server) = pool.servers.get_mut(server) else { return false };
        if !server.listing.accepts(&call.details) || server.pushback.is_backing_off(now) {
            return false;
        }
        if call.rate_counted || !server.pushback.is_limited(now) {
            return true;
        }
        call.rate_counted = server.pushback.take(now);
        call.rate_counted
    }

    /// Returns when the first server that hasn't failed the request accepts one.
    fn next_ready(&self, call: &RoutedCall, now: Duration) -> NextReady {
        let Some(state) = self.pools.get(&call.details.pool) else {
            return NextReady::Now;
        };
        let servers = state.servers.of_version(call.details.version);
        let usable = servers.filter(|server| {
            let excluded = call.excluded.contains(&server.listing.server);
            server.listing.accepts(&call.details) && !excluded
        });
        let mut first = None;
        for server in usable {
            let Some(at) = server.pushback.ready_at(now) else { continue };
            if at <= now {
                return NextReady::Now;
            }
            first = Some(first.map_or(at, |first: Duration| first.min(at)));
        }
        first.map_or(NextReady::Unknown, NextReady::At)
    }

    /// Returns whether no server accepts a request before `time`.
    pub(super) fn no_server_before(
        &self,
        call: &RoutedCall,
        time: Duration,
        now: Duration,
    ) -> bool {
        match self.next_ready(call, now) {
            NextReady::Now => false,
            NextReady::At(at) => at >= time,
            NextReady::Unknown => true,
        }
    }

    /// Returns whether no server accepts a waiting request before its give-up time.
    pub(super) fn no_server_in_time(&self, request: RequestId, now: Duration) -> bool {
        let Some(call) = self.calls.get(&request) else { return false };
        self.no_server_before(call, call.details.give_up, now)
    }

    /// Refuses a request that no server accepts in time. The retry-after time tells the
    /// caller when one does.
    pub(super) fn refuse_unavailable(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.remove(&request) else { return };
        let retry_after = match self.next_ready(&call, now) {
            NextReady::At(at) => self.add_jitter(request, at.saturating_sub(now)),
            NextReady::Now | NextReady::Unknown => self.options.no_server_retry,
        };
        let longest = self.options.longest_retry;
        self.actions.push(RouteAction::Refuse {
            request,
            reason: RefusalCause::NoServer,
            retry_after: retry_after.clamp(self.options.shortest_retry, longest),
            expected: None,
        });
    }

    /// Extends a time by a random amount that depends on the request.
    fn add_jitter(&self, request: RequestId, wait: Duration) -> Duration {
        let draw = rendezvous_weight(request, self.seed) as f64;
        wait.mul_f64(1.0 + RETRY_AFTER_JITTER * draw / u64::MAX as f64)
    }
}

/// When the first server of a pool accepts a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextReady {
    /// A server accepts requests now, though it may have no room.
    Now,
    /// The first server accepts requests at this time.
    At(Duration),
    /// No time is known, or no server is left.
    Unknown,
}

/// Computes an instance's share of a rate of a server, given the hash of the server's name
/// and its data centre.
type ShareRule = fn(&InstanceGroup, u64, DataCentreKey, RequestRate) -> f64;

/// Returns this instance's share of a rate of a server. It is 0 until membership is known.
pub(super) fn own_share(
    group: Option<&InstanceGroup>,
    listing: &RoutedServer,
    rate: RequestRate,
    rule: ShareRule,
) -> f64 {
    group.map_or(0.0, |group| rule(group, listing.name_hash, listing.data_centre, rate))
}
