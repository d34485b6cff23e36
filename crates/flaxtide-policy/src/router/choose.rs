//! The choice of a server for a request: every usable server gets a cost, and the
//! cheapest wins.

use std::collections::HashSet;
use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId};

use super::call::RoutedCall;
use super::homes::PartPlace;
use super::lane::{LaneDemand, PromptLane, in_lane};
use super::part_scope::{PartScope, fetch_ms};
use super::server::ServerState;
use super::{RouteCore, RoutePool};
use crate::rendezvous::rendezvous_weight;

/// The additional cost of a server whose row is missing from the newest list, in
/// milliseconds. It is high enough that such a server is chosen only if the others are
/// heavily loaded.
const ROW_MISSING_COST_MS: f64 = 500.0;

/// The assumed time of a call to a plain server, in milliseconds.
const PLAIN_CALL_GUESS_MS: f64 = 60.0;

/// The range of the random cost that spreads calls over plain servers, in milliseconds.
/// It exceeds the default cost of a server in another data centre, so that a data centre
/// with few servers isn't overloaded. Without the jitter, 295 instances that rank nine
/// servers alike overload the first few: at 85 % of the servers' capacity, 80 % of the
/// calls met their deadline instead of 98 % (`flaxtide-lab`).
const PLAIN_JITTER_MS: f64 = 4.0;

/// The server chosen for a request, with the estimates behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// The chosen server.
    pub server: ServerId,
    /// The reason for the choice.
    pub reason: RouteReason,
    /// The predicted cost in milliseconds.
    pub cost_ms: f64,
    /// The expected time to the first token, or to the response of a plain server.
    pub expected: Duration,
    /// An estimate of the prompt tokens that the server has to prefill.
    pub uncached: u32,
    /// The cached prompt part that the server fetches from another engine, if any.
    pub fetch: Option<PartFetch>,
    /// The number of requests known to be running on the server.
    pub running: u32,
    /// The number of servers that were considered, including those without room.
    pub eligible: usize,
    /// An estimate of the prompt tokens that are prefilled before the first output token.
    pub tokens_ahead: f64,
}

/// A prompt part that an engine fetches from the cache of another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartFetch {
    /// The engine that has the part cached.
    pub from: ServerId,
    /// The number of tokens to fetch: those that the fetching engine hasn't cached
    /// itself.
    pub tokens: u32,
}

/// The reason why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// The server has a part of the prompt cached or fetches one from another engine.
    Cached,
    /// Rendezvous hashing ranks the server first for the shared part of the prompt.
    Home,
    /// The server has the lowest cost.
    Cheapest,
    /// No healthy server is left.
    LastResort,
    /// The path to the servers is in doubt, or other instances have all their slots: a peer
    /// forwards the request.
    Forwarded,
}

/// A server with its predicted cost.
struct Candidate<'a> {
    /// The server.
    server: &'a ServerState,
    /// The predicted cost in milliseconds.
    cost_ms: f64,
    /// The prompt tokens that the server has to prefill.
    uncached: u32,
    /// The part that the server fetches from another engine.
    fetch: Option<PartFetch>,
    /// The expected time to the first token, in milliseconds.
    expected_ms: f64,
    /// The number of requests known to be running on the server.
    running: u32,
    /// The prompt tokens that are prefilled before the first output token.
    tokens_ahead: f64,
}

impl RouteCore {
    /// Chooses a server for a request, or returns `None` if no server can take it now.
    pub(super) fn choose(
        &self,
        pool: PoolId,
        request: RequestId,
        now: Duration,
    ) -> Option<RouteChoice> {
        let call = self.calls.get(&request)?;
        let state = self.pools.get(&pool)?;
        let forwarded = self.choose_forward_peer(state, call, now);
        if forwarded.is_some() {
            return forwarded;
        }
        let shared = call.details.prompt.last_shared_part();
        let key = shared.map_or(request ^ self.seed, |part| part.key);
        (0..state.servers.arc_count()).find_map(|arc| {
            let accepts = |server: &ServerState| server.listing.accepts(&call.details);
            let version = call.details.version;
            let candidates = state.servers.candidates(key, arc, version, accepts);
            self.choose_among(&candidates, call, state, now)
        })
    }

    /// Chooses one of the candidates for a request, or returns `None` if none can take it
    /// now.
    fn choose_among(
        &self,
        in_service: &[&ServerState],
        call: &RoutedCall,
        state: &RoutePool,
        now: Duration,
    ) -> Option<RouteChoice> {
        let request = call.details.request;
        let usable: Vec<&ServerState> = in_service
            .iter()
            .copied()
            .filter(|server| !call.excluded.contains(&server.listing.server))
            .filter(|server| server.listing.accepts(&call.details))
            .filter(|server| server.pushback.is_ready(now))
            .collect();
        let lane = state.lane_demand.lane(call.details.prompt.tokens, &self.options, now);
        let healthy = self.healthy_servers(&usable, now);
        let lane_members = self.lane_members(in_service, &state.lane_demand, lane, now);
        let is_preferred =
            |server: &&ServerState| lane_members.contains(&server.listing.server);
        let preferred: Vec<&ServerState> =
            healthy.iter().copied().filter(is_preferred).collect();
        let scope = self.part_scope(call, in_service, lane_members, &healthy, now);
        for group in [&preferred, &healthy] {
            let best = self.cheapest(group, &scope, request, now);
            if let Some((best, reason)) = best {
                return Some(build_choice(&best, reason, group.len()));
            }
        }
        if !healthy.is_empty() {
            return None;
        }
        let scope = PartScope { sources: vec![], ..scope };
        let left = self.not_dead(&usable, now);
        let (best, _) = self.cheapest(&left, &scope, request, now)?;
        Some(build_choice(&best, RouteReason::LastResort, left.len()))
    }

    /// Returns the servers that belong to a lane.
    fn lane_members(
        &self,
        in_service: &[&ServerState],
        lane_demand: &LaneDemand,
        lane: PromptLane,
        now: Duration,
    ) -> HashSet<ServerId> {
        let ids = in_service.iter().map(|server| server.listing.server);
        if lane == PromptLane::Any {
            return ids.collect();
        }
        let count = in_service.len();
        let long_fraction = self.long_fraction(lane_demand, in_service, now);
        ids.enumerate()
            .filter(|(index, _)| in_lane(lane, *index, count, long_fraction))
            .map(|(_, server)| server)
            .collect()
    }

    /// Returns the fraction of the engines that long prompts may use: what the short
    /// prompts leave.
    fn long_fraction(
        &self,
        lane_demand: &LaneDemand,
        in_service: &[&ServerState],
        now: Duration,
    ) -> f64 {
        let short = |server: &&ServerState| server.load.short_running(&self.options, now);
        let short: u32 = in_service.iter().map(short).sum();
        let slots: u32 = in_service.iter().map(|server| server.listing.slots).sum();
        let short_capacity = f64::from(slots.max(1)) * self.options.short_fill;
        let left = 1.0 - f64::from(short) / short_capacity;
        // Other requests slow prefilling down, so the highest rate is closest to that of
        // an idle engine.
        let rates =
            in_service.iter().map(|server| server.prefill_rate.tokens_per_ms(now));
        let fastest = rates.fold(0.0, f64::max);
        let most = lane_demand.max_long_part(fastest, &self.options);
        let usual = left.clamp(self.options.least_long_part.min(most), most);
        usual.max(self.needed_long_fraction(in_service, short, slots, now))
    }

    /// Returns the fraction of the engines that the long prompts running now need,
    /// limited by what the short prompts can spare.
    fn needed_long_fraction(
        &self,
        in_service: &[&ServerState],
        short: u32,
        slots: u32,
        now: Duration,
    ) -> f64 {
        if self.options.long_fill <= 0.0 {
            return 0.0;
        }
        let running = |server: &&ServerState| server.load.running(&self.options, now);
        let running: u32 = in_service.iter().map(running).sum();
        let slots = f64::from(slots.max(1));
        let needed = f64::from(running - short) / (slots * self.options.long_fill);
        let left = 1.0 - f64::from(short) / (slots * self.options.short_most_fill);
        needed.min(left)
    }

    /// Returns the cheapest of `servers` that has room.
    fn cheapest<'a>(
        &self,
        servers: &[&'a ServerState],
        scope: &PartScope<'_>,
        request: RequestId,
        now: Duration,
    ) -> Option<(Candidate<'a>, RouteReason)> {
        let details = &self.calls.get(&request)?.details;
        let has_room = |server: &&ServerState| self.has_room(server, now);
        let with_room: Vec<&ServerState> =
            servers.iter().copied().filter(has_room).collect();
        let homes = self.part_homes(details, servers, &with_room, scope, now);
        let service_ms = self.service_ms(details.pool);
        let expected_refusal_ms = self.expected_refusal_ms(details.pool, now);
        let candidates = with_room.iter().copied().map(|server| {
            let cached = self.usable_tokens(server, details.level, scope, now);
            let fetch = self.fetch(server, cached, details.level, scope, now);
            let fetched = fetch.map_or(0, |fetch| fetch.tokens);
            let uncached = details.prompt.tokens.saturating_sub(cached + fetched);
            let mut candidate =
                self.candidate(server, uncached, fetch, details.level, service_ms, now);
            candidate.cost_ms += self.jitter_ms(server, request);
            if expected_refusal_ms > 0.0 {
                let uncertainty = server.health.uncertainty(now, &self.options);
                candidate.cost_ms += expected_refusal_ms * uncertainty;
            }
            let place = homes.place(server.listing.server);
            candidate.cost_ms +=
                self.part_cost_ms(server, cached, fetch, place, scope, now);
            candidate
        });
        let best =
            candidates.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))?;
        let place = homes.place(best.server.listing.server);
        let reason = if matches!(place, PartPlace::Home | PartPlace::Successor) {
            RouteReason::Home
        } else if best.uncached < details.prompt.tokens {
            RouteReason::Cached
        } else {
            RouteReason::Cheapest
        };
        Some((best, reason))
    }

    /// Computes the cost of a server that has to prefill `uncached` tokens.
    fn candidate<'a>(
        &self,
        server: &'a ServerState,
        uncached: u32,
        fetch: Option<PartFetch>,
        level: u8,
        service_ms: f64,
        now: Duration,
    ) -> Candidate<'a> {
        let count = self.running(server, now);
        let running = f64::from(count);
        let mut cost_ms = 0.0;
        let mut tokens_ahead = 0.0;
        if !server.listing.local {
            cost_ms += self.options.far_cost_ms;
        }
        if server.listing.row_missing {
            cost_ms += ROW_MISSING_COST_MS;
        }
        let expected_ms = match server.listing.engine {
            Some(_) => {
                tokens_ahead =
                    self.pending_prefill(server, level, now) + f64::from(uncached);
                cost_ms += running * self.options.running_cost_ms;
                let fetch_ms = fetch_ms(server, fetch);
                // `expected_ms` contains the fetch time once.
                cost_ms += fetch_ms * (self.options.fetch_weight - 1.0);
                let slots = f64::from(server.listing.slots.max(1));
                let waiting = (running + 1.0 - slots).max(0.0);
                let slot_ms =
                    waiting * service_ms / slots * self.options.slot_wait_weight;
                tokens_ahead / server.prefill_rate.tokens_per_ms(now) + fetch_ms + slot_ms
            }
            None => {
                let slots = f64::from(server.listing.slots.max(1));
                PLAIN_CALL_GUESS_MS * (running + 1.0) / slots
            }
        };
        cost_ms += expected_ms;
        Candidate {
            server,
            cost_ms,
            uncached,
            fetch,
            expected_ms,
            running: count,
            tokens_ahead,
        }
    }

    /// Returns the mean time that requests spend on a server of a pool, in milliseconds.
    fn service_ms(&self, pool: PoolId) -> f64 {
        let span = self.pools.get(&pool).and_then(|state| state.service_time.get());
        span.unwrap_or_default() * 1000.0
    }

    /// Returns the expected cost of sending a request to a server that hasn't responded
    /// recently and may refuse it, in milliseconds.
    fn expected_refusal_ms(&self, pool: PoolId, now: Duration) -> f64 {
        let probability = self.pools.get(&pool).map_or(0.0, |state| state.shed.get(now));
        probability * self.options.refused_cost_ms
    }

    /// Returns how long a server is busy prefilling other prompts before a new request of
    /// an urgency level, in milliseconds.
    pub(super) fn pending_prefill_ms(
        &self,
        server: &ServerState,
        level: u8,
        now: Duration,
    ) -> f64 {
        self.pending_prefill(server, level, now) / server.prefill_rate.tokens_per_ms(now)
    }

    /// Returns the prompt tokens that a server prefills before a new request of an
    /// urgency level.
    fn pending_prefill(&self, server: &ServerState, level: u8, now: Duration) -> f64 {
        let rate = server.prefill_rate.tokens_per_ms(now);
        server
            .load
            .pending_prefill(level, &self.calls, rate, &self.options, now)
    }

    /// Returns the random part of a plain server's cost for a request. Each instance
    /// draws its own.
    fn jitter_ms(&self, server: &ServerState, request: RequestId) -> f64 {
        if server.listing.engine.is_some() {
            return 0.0;
        }
        let draw = rendezvous_weight(request ^ self.seed, server.listing.name_hash);
        PLAIN_JITTER_MS * draw as f64 / u64::MAX as f64
    }

    /// Returns how many requests are assumed to be running on a server. For plain servers
    /// only this instance's own requests count: a plain call ends before a peer's report
    /// of it arrives, and all instances that get the same reports would choose the same
    /// servers.
    pub(super) fn running(&self, server: &ServerState, now: Duration) -> u32 {
        match server.listing.engine {
            Some(_) => server.load.running(&self.options, now),
            None => server.load.own_running(),
        }
    }
}

/// Converts a candidate into a choice.
fn build_choice(
    candidate: &Candidate<'_>,
    reason: RouteReason,
    eligible: usize,
) -> RouteChoice {
    RouteChoice {
        server: candidate.server.listing.server,
        reason,
        cost_ms: candidate.cost_ms,
        expected: Duration::from_secs_f64(candidate.expected_ms / 1000.0),
        uncached: candidate.uncached,
        fetch: candidate.fetch,
        running: candidate.running,
        eligible,
        tokens_ahead: candidate.tokens_ahead,
    }
}
