//! What servers say of themselves in their answers: every request passes this gate right before
//! it is written to a server.

use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

use super::call::{CallPlace, RoutedCall};
use super::server::RoutedServer;
use super::{RefusalCause, RouteAction, RouteCore, find_server};
use crate::pushback::{InstanceGroup, ReportEffect, RequestRate, ServerStatement};
use crate::rendezvous::rendezvous_weight;

/// The part of the time until a server may be sent a request by which callers are spread that
/// are asked to come back then.
const RETURN_SPREAD: f64 = 0.25;

/// What was learnt from what a server states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementChange {
    /// The rate that it takes from all instances.
    pub rate: Option<RequestRate>,
    /// This instance's part of it, in requests a second.
    pub share: Option<f64>,
    /// Whether the rate is another one than before.
    pub rate_changed: bool,
    /// For how long it wants nothing from this instance, if that is new.
    pub new_backoff: Option<Duration>,
}

/// How many servers ask for less.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PushbackCount {
    /// Servers that state a rate.
    pub limited: usize,
    /// Servers that want nothing from this instance now.
    pub backing_off: usize,
}

impl RouteCore {
    /// Sets which instances are seen alive. To be called often: larger parts of rates are taken
    /// with a delay.
    pub fn set_group(&mut self, group: Arc<InstanceGroup>, now: Duration) {
        let known = self.group.as_ref() == Some(&group);
        for server in self.pools.values_mut().flat_map(|pool| pool.servers.values_mut()) {
            if known {
                server.pushback.tick(now);
                continue;
            }
            let facts = &server.facts;
            let part = |rate| group.rate_share(facts.name_hash, facts.data_centre, rate);
            server.pushback.update_share(part, now);
        }
        self.group = Some(group);
    }

    /// Records what a server states in an answer to a request that was sent at `sent`. Returns
    /// what is new, if anything is.
    pub fn record_statement(
        &mut self,
        server: ServerId,
        statement: ServerStatement,
        sent: Duration,
        now: Duration,
    ) -> Option<StatementChange> {
        let group = self.group.as_deref();
        let server = find_server(&mut self.pools, server)?;
        let part = |rate| own_part(group, &server.facts, rate);
        let pushback = &mut server.pushback;
        let rest = statement.backoff.map(|rest| rest.min(self.options.longest_rest));
        let new_backoff = rest.filter(|rest| pushback.back_off(*rest, now));
        let rate_changed = pushback.apply_statement(statement.rate, part, sent, now);
        let (rate, share) = (pushback.rate(), pushback.share());
        (rate_changed || new_backoff.is_some()).then_some(StatementChange {
            rate,
            share,
            rate_changed,
            new_backoff,
        })
    }

    /// Records that a peer heard a server state a rate, or none, at `heard`. Returns what that
    /// does to what is known; nothing if the server isn't known.
    pub fn record_peer_rate(
        &mut self,
        server: ServerId,
        rate: Option<RequestRate>,
        heard: Duration,
        now: Duration,
    ) -> Option<ReportEffect> {
        let group = self.group.as_deref();
        let server = find_server(&mut self.pools, server)?;
        let part = |rate| own_part(group, &server.facts, rate);
        Some(server.pushback.apply_report(rate, part, heard, now))
    }

    /// Returns the rate that a server states, or none, and when that was last heard; nothing if
    /// the server isn't known.
    #[must_use]
    pub fn stated_rate(
        &self,
        server: ServerId,
    ) -> Option<(Option<RequestRate>, Duration)> {
        let mut pools = self.pools.values();
        let server = pools.find_map(|pool| pool.servers.get(&server))?;
        Some((server.pushback.rate(), server.pushback.rate_heard_at()))
    }

    /// Returns how many servers state a rate, and how many want nothing from this instance now.
    #[must_use]
    pub fn count_pushback(&self, now: Duration) -> PushbackCount {
        let mut count = PushbackCount::default();
        for server in self.pools.values().flat_map(|pool| pool.servers.values()) {
            count.limited += usize::from(server.pushback.rate().is_some());
            count.backing_off += usize::from(server.pushback.is_backing_off(now));
        }
        count
    }

    /// Returns whether a request may be written now to the server that it was given. Between the
    /// choice of the server and this moment the server may have asked for less.
    pub fn permit_send(&mut self, request: RequestId, now: Duration) -> bool {
        let Some(call) = self.calls.get(&request) else { return false };
        let CallPlace::Running { server, .. } = call.place else { return false };
        let pool = self.pools.get_mut(&call.call.pool);
        let Some(server) = pool.and_then(|pool| pool.servers.get_mut(&server)) else {
            return false;
        };
        if !server.facts.in_service() || server.pushback.is_backing_off(now) {
            return false;
        }
        let counted = call.counted || server.pushback.rate().is_none();
        counted || server.pushback.take(now)
    }

    /// Returns when the first server takes a request.
    fn opens_at(&self, call: &RoutedCall, now: Duration) -> ServerOpening {
        let Some(state) = self.pools.get(&call.call.pool) else {
            return ServerOpening::Now;
        };
        let servers = state.servers.values();
        let usable = servers.filter(|server| {
            let excluded = call.excluded.contains(&server.facts.server);
            server.facts.in_service() && !excluded
        });
        let mut first = None;
        for server in usable {
            let Some(at) = server.pushback.ready_at(now) else { continue };
            if at <= now {
                return ServerOpening::Now;
            }
            first = Some(first.map_or(at, |first: Duration| first.min(at)));
        }
        first.map_or(ServerOpening::Unknown, ServerOpening::At)
    }

    /// Returns whether no server takes a request before a time.
    pub(super) fn opens_after(
        &self,
        call: &RoutedCall,
        time: Duration,
        now: Duration,
    ) -> bool {
        match self.opens_at(call, now) {
            ServerOpening::Now => false,
            ServerOpening::At(at) => at >= time,
            ServerOpening::Unknown => true,
        }
    }

    /// Returns whether no server takes a request that waits before it would be given up.
    pub(super) fn opens_too_late(&self, request: RequestId, now: Duration) -> bool {
        let Some(call) = self.calls.get(&request) else { return false };
        self.opens_after(call, call.call.give_up, now)
    }

    /// Refuses a request that no server takes in time. Its caller is told when one does.
    pub(super) fn refuse_closed(&mut self, request: RequestId, now: Duration) {
        let Some(call) = self.calls.remove(&request) else { return };
        let retry_after = match self.opens_at(&call, now) {
            ServerOpening::At(at) => self.spread(request, at.saturating_sub(now)),
            ServerOpening::Now | ServerOpening::Unknown => self.options.no_server_retry,
        };
        let longest = self.options.longest_retry;
        self.actions.push(RouteAction::Refuse {
            request,
            reason: RefusalCause::NoServer,
            retry_after: retry_after.clamp(self.options.shortest_retry, longest),
            expected: None,
        });
    }

    /// Lengthens a time for some requests, so that their callers don't come back together.
    fn spread(&self, request: RequestId, wait: Duration) -> Duration {
        let draw = rendezvous_weight(request, self.seed) as f64;
        wait.mul_f64(1.0 + RETURN_SPREAD * draw / u64::MAX as f64)
    }
}

/// When the first server of a pool takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerOpening {
    /// One does already, though it may have no room.
    Now,
    /// At this time.
    At(Duration),
    /// That can't be told.
    Unknown,
}

/// Returns this instance's part of a server's rate. One that doesn't know yet who else is there
/// has none.
pub(super) fn own_part(
    group: Option<&InstanceGroup>,
    facts: &RoutedServer,
    rate: RequestRate,
) -> f64 {
    group.map_or(0.0, |group| group.rate_share(facts.name_hash, facts.data_centre, rate))
}
