//! The choice of a server for one request.

use std::time::Duration;

use flaxtide_core::{PoolId, RequestId, ServerId};

use super::RouteCore;
use super::call::PromptShape;
use super::health::FAILING_PART;
use super::lane::{LaneSplit, PromptLane, in_lane};
use super::server::ServerState;
use crate::rendezvous::rendezvous_weight;

/// What a server that isn't listed just now costs more, in milliseconds.
const LAPSED_COST_MS: f64 = 500.0;

/// The time of a plain call before any is known, in milliseconds.
const PLAIN_CALL_MS: f64 = 60.0;

/// Over how many milliseconds of cost calls of plain services are spread. More than a server of
/// another data centre costs, so that a data centre with few servers isn't crowded: 295
/// instances before nine servers at 85 % of what these can do answer .98 of the calls in
/// time, and .80 if each takes the first of those that seem alike (`flaxtide-lab`).
const PLAIN_SPREAD_MS: f64 = 4.0;

/// The seed of the order in which engines are given to long prompts.
const LANE_SEED: u64 = 0x6c61_6e65;

/// A chosen server.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// The server.
    pub server: ServerId,
    /// Why.
    pub reason: RouteReason,
    /// Its predicted cost, in milliseconds.
    pub cost_ms: f64,
    /// How long until the first token or the answer, about.
    pub expected: Duration,
    /// How many prompt tokens it must read, about.
    pub uncached: u32,
    /// The engine from which it takes over what it hasn't read, and how many tokens.
    pub fetch: Option<PartFetch>,
    /// The requests known to be at it.
    pub running: u32,
    /// How many servers could have been chosen.
    pub eligible: usize,
    /// How many prompt tokens it reads before the first token, about.
    pub ahead: f64,
}

/// A part of a prompt that an engine takes over from another's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartFetch {
    /// The engine that keeps it.
    pub from: ServerId,
    /// How many tokens it keeps beyond what the other does.
    pub tokens: u32,
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It has read a part of the prompt.
    Cached,
    /// It is where the shared part of the prompt belongs.
    Home,
    /// It costs least.
    Cheapest,
    /// All others are kept from work.
    LastResort,
}

/// A server with its predicted cost.
struct Candidate<'a> {
    /// The server.
    server: &'a ServerState,
    /// Its cost, in milliseconds.
    cost_ms: f64,
    /// How many prompt tokens it must read.
    uncached: u32,
    /// What it takes over from another.
    fetch: Option<PartFetch>,
    /// How long until the first token, in milliseconds.
    expected_ms: f64,
    /// The requests known to be at it.
    running: u32,
    /// How many prompt tokens it reads before the first token.
    ahead: f64,
}

impl RouteCore {
    /// Chooses a server for a request, if there is room for it at one.
    pub(super) fn choose(
        &self,
        pool: PoolId,
        request: RequestId,
        now: Duration,
    ) -> Option<RouteChoice> {
        let call = self.calls.get(&request)?;
        let state = self.pools.get(&pool)?;
        let staying: Vec<&ServerState> = self.staying(pool);
        let usable: Vec<&ServerState> = staying
            .iter()
            .copied()
            .filter(|server| !call.excluded.contains(&server.facts.server))
            .filter(|server| server.pushback.is_ready(now))
            .collect();
        let lane = state.split.lane(call.call.prompt.tokens, &self.options, now);
        let well = self.well(&usable, now);
        let laned = self.laned(&staying, &well, &state.split, lane, now);
        for group in [&laned, &well] {
            let best = self.cheapest(group, &well, request, now);
            if let Some((best, reason)) = best {
                return Some(answer(&best, reason, group.len()));
            }
        }
        if !well.is_empty() {
            return None;
        }
        let (best, _) = self.cheapest(&usable, &[], request, now)?;
        Some(answer(&best, RouteReason::LastResort, usable.len()))
    }

    /// Returns the servers of a pool that may get work, in the order that all instances
    /// agree on.
    pub(super) fn staying(&self, pool: PoolId) -> Vec<&ServerState> {
        let Some(state) = self.pools.get(&pool) else { return vec![] };
        let servers = state.servers.values();
        let mut staying: Vec<&ServerState> =
            servers.filter(|server| server.facts.in_service()).collect();
        staying
            .sort_by_key(|server| rendezvous_weight(LANE_SEED, server.facts.name_hash));
        staying
    }

    /// Returns the servers that answer as their pool does. Servers that fail more than
    /// others are used all the same where too many do.
    pub(super) fn well<'a>(
        &self,
        usable: &[&'a ServerState],
        now: Duration,
    ) -> Vec<&'a ServerState> {
        let answering: Vec<&ServerState> = usable
            .iter()
            .copied()
            .filter(|server| self.answers(server, now))
            .collect();
        let mut failures: Vec<f64> =
            answering.iter().map(|server| server.health.failures()).collect();
        failures.sort_by(f64::total_cmp);
        let typical = failures.get(failures.len() / 2).copied().unwrap_or_default();
        let right: Vec<&ServerState> = answering
            .iter()
            .copied()
            .filter(|server| server.health.failures() <= typical + FAILING_PART)
            .collect();
        let least = usable.len() as f64 * (1.0 - self.options.ejected_part);
        if (right.len() as f64) < least { answering } else { right }
    }

    /// Tells whether a server answers at all.
    fn answers(&self, server: &ServerState, now: Duration) -> bool {
        let expected =
            Duration::from_secs_f64(self.backlog_ms(server, u8::MAX, now) / 1000.0);
        let streams = server.load.streams(&self.calls);
        let waiting = server.load.waiting_since(&self.calls);
        server.health.is_well(streams, waiting, expected, now, &self.options)
    }

    /// Returns those servers that belong to a lane.
    fn laned<'a>(
        &self,
        staying: &[&'a ServerState],
        well: &[&'a ServerState],
        split: &LaneSplit,
        lane: PromptLane,
        now: Duration,
    ) -> Vec<&'a ServerState> {
        if lane == PromptLane::Any {
            return well.to_vec();
        }
        let count = staying.len();
        let part = self.long_part(split, staying, now);
        let places = staying.iter().enumerate();
        let members = places.filter(|(place, _)| in_lane(lane, *place, count, part));
        let wells = |server: &ServerState| {
            well.iter().any(|other| other.facts.server == server.facts.server)
        };
        members
            .map(|(_, server)| *server)
            .filter(|server| wells(server))
            .collect()
    }

    /// Returns the part of the engines that long prompts are kept to: what the short ones
    /// leave.
    fn long_part(
        &self,
        split: &LaneSplit,
        staying: &[&ServerState],
        now: Duration,
    ) -> f64 {
        let short = |server: &&ServerState| server.load.short_running(&self.options, now);
        let short: u32 = staying.iter().map(short).sum();
        let slots: u32 = staying.iter().map(|server| server.facts.slots).sum();
        let meant = f64::from(slots.max(1)) * self.options.short_fill;
        let left = 1.0 - f64::from(short) / meant;
        // The fastest is the one that reads least beside others.
        let paces = staying.iter().map(|server| server.pace.get(now));
        let pace = paces.fold(0.0, f64::max);
        let most = split.most_long(pace, &self.options);
        let usual = left.clamp(self.options.least_long_part.min(most), most);
        usual.max(self.burst_part(staying, short, slots, now))
    }

    /// Returns the part of the engines that long prompts need for those that are at engines now,
    /// as far as the short ones can do with the rest.
    fn burst_part(
        &self,
        staying: &[&ServerState],
        short: u32,
        slots: u32,
        now: Duration,
    ) -> f64 {
        if self.options.long_fill <= 0.0 {
            return 0.0;
        }
        let running = |server: &&ServerState| server.load.running(&self.options, now);
        let running: u32 = staying.iter().map(running).sum();
        let slots = f64::from(slots.max(1));
        let needed = f64::from(running - short) / (slots * self.options.long_fill);
        let left = 1.0 - f64::from(short) / (slots * self.options.short_most_fill);
        needed.min(left)
    }

    /// Returns the cheapest server with room among some, where it may take shared parts
    /// over from `sources`.
    fn cheapest<'a>(
        &self,
        servers: &[&'a ServerState],
        sources: &[&'a ServerState],
        request: RequestId,
        now: Duration,
    ) -> Option<(Candidate<'a>, RouteReason)> {
        let call = &self.calls.get(&request)?.call;
        let homes = homes(&call.prompt, servers);
        let holder = self.holder(&call.prompt, sources, now);
        let span_ms = self.span_ms(call.pool);
        let refusal_ms = self.refusal_ms(call.pool, now);
        let shared = call.prompt.shared_tokens();
        let own = call.prompt.tokens.saturating_sub(shared);
        let candidates =
            servers
                .iter()
                .filter(|server| self.has_room(server, now))
                .map(|server| {
                    let kept = self.kept(&call.prompt, server, now);
                    let fetch = self.fetch(server, kept, holder);
                    let taken = fetch.map_or(0, |fetch| fetch.tokens);
                    let uncached = call.prompt.tokens.saturating_sub(kept + taken);
                    let mut candidate =
                        self.candidate(server, uncached, fetch, call.level, span_ms, now);
                    // What shares a prompt's parts goes to the same homes, from all instances.
                    let again = match homes
                        .iter()
                        .position(|home| *home == server.facts.server)
                    {
                        Some(0) => 0,
                        Some(_) => uncached.saturating_sub(own).min(shared / 2),
                        None => uncached.saturating_sub(own),
                    };
                    candidate.cost_ms += self.spread_ms(server, request);
                    if refusal_ms > 0.0 {
                        let strangeness = server.health.strangeness(now, &self.options);
                        candidate.cost_ms += refusal_ms * strangeness;
                    }
                    let again_ms = f64::from(again) / server.pace.get(now);
                    candidate.cost_ms += self.options.reread_weight * again_ms;
                    candidate
                });
        let best =
            candidates.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))?;
        let reason = if homes.first() == Some(&best.server.facts.server) {
            RouteReason::Home
        } else if best.uncached < call.prompt.tokens {
            RouteReason::Cached
        } else {
            RouteReason::Cheapest
        };
        Some((best, reason))
    }

    /// Returns how many tokens of a prompt a server is known to keep.
    fn kept(&self, prompt: &PromptShape, server: &ServerState, now: Duration) -> u32 {
        server.kept_tokens(prompt, self.options.cache_life, now)
    }

    /// Returns which server keeps most of a prompt's shared parts, and how many tokens.
    fn holder(
        &self,
        prompt: &PromptShape,
        servers: &[&ServerState],
        now: Duration,
    ) -> Option<PartFetch> {
        let shared = prompt.shared_tokens();
        let kept = servers.iter().map(|server| PartFetch {
            from: server.facts.server,
            tokens: self.kept(prompt, server, now).min(shared),
        });
        let most = kept.max_by_key(|fetch| fetch.tokens)?;
        (most.tokens >= self.options.least_fetch).then_some(most)
    }

    /// Returns what a server that keeps so many tokens would take over from the one that
    /// keeps most.
    fn fetch(
        &self,
        server: &ServerState,
        kept: u32,
        holder: Option<PartFetch>,
    ) -> Option<PartFetch> {
        server.facts.engine?.fetch_tokens_per_ms?;
        let holder = holder?;
        let tokens = holder.tokens.saturating_sub(kept);
        (tokens >= self.options.least_fetch)
            .then_some(PartFetch { from: holder.from, tokens })
    }

    /// Works out what a server costs that must read so many tokens.
    fn candidate<'a>(
        &self,
        server: &'a ServerState,
        uncached: u32,
        fetch: Option<PartFetch>,
        level: u8,
        span_ms: f64,
        now: Duration,
    ) -> Candidate<'a> {
        let count = self.running(server, now);
        let running = f64::from(count);
        let mut cost_ms = 0.0;
        let mut ahead = 0.0;
        if !server.facts.local {
            cost_ms += self.options.far_cost_ms;
        }
        if server.facts.lapsed {
            cost_ms += LAPSED_COST_MS;
        }
        let expected_ms = match server.facts.engine {
            Some(_) => {
                ahead = self.backlog(server, level, now) + f64::from(uncached);
                cost_ms += running * self.options.running_cost_ms;
                let fetch_ms = fetch_ms(server, fetch);
                cost_ms += fetch_ms * (self.options.fetch_weight - 1.0);
                let slots = f64::from(server.facts.slots.max(1));
                let waiting = (running + 1.0 - slots).max(0.0);
                let slot_ms = waiting * span_ms / slots * self.options.slot_wait_weight;
                ahead / server.pace.get(now) + fetch_ms + slot_ms
            }
            None => {
                let slots = f64::from(server.facts.slots.max(1));
                PLAIN_CALL_MS * (running + 1.0) / slots
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
            ahead,
        }
    }

    /// Returns how long a request is at a server of a pool on average, in milliseconds.
    fn span_ms(&self, pool: PoolId) -> f64 {
        let span = self.pools.get(&pool).and_then(|state| state.span.get());
        span.unwrap_or_default() * 1000.0
    }

    /// Returns what it costs on average to send a request to a server of a pool of which nothing
    /// is known, as it may turn the request away, in milliseconds.
    fn refusal_ms(&self, pool: PoolId, now: Duration) -> f64 {
        let odds = self.pools.get(&pool).map_or(0.0, |state| state.shed.get(now));
        odds * self.options.refused_cost_ms
    }

    /// Returns how long a server reads what it was sent before a new request of a level,
    /// in milliseconds.
    fn backlog_ms(&self, server: &ServerState, level: u8, now: Duration) -> f64 {
        self.backlog(server, level, now) / server.pace.get(now)
    }

    /// Returns the prompt tokens that a server reads before a new request of a level.
    fn backlog(&self, server: &ServerState, level: u8, now: Duration) -> f64 {
        let rate = server.pace.get(now);
        server.load.unread(level, &self.calls, rate, &self.options, now)
    }

    /// Tells whether a server has room for one more request.
    fn has_room(&self, server: &ServerState, now: Duration) -> bool {
        let most = f64::from(server.facts.slots) * self.options.fill;
        f64::from(self.running(server, now)) < most.max(1.0)
    }

    /// Returns what a plain server costs more or less for one request than for another, drawn
    /// by each instance for itself.
    fn spread_ms(&self, server: &ServerState, request: RequestId) -> f64 {
        if server.facts.engine.is_some() {
            return 0.0;
        }
        let draw = rendezvous_weight(request ^ self.seed, server.facts.name_hash);
        PLAIN_SPREAD_MS * draw as f64 / u64::MAX as f64
    }

    /// Returns how many requests are taken to be at a server. A plain call is over before a
    /// peer's word of it comes: all who heard the same words would go to the same servers.
    fn running(&self, server: &ServerState, now: Duration) -> u32 {
        match server.facts.engine {
            Some(_) => server.load.running(&self.options, now),
            None => server.load.own_running(),
        }
    }
}

/// How long it takes a server to take a part over, in milliseconds.
fn fetch_ms(server: &ServerState, fetch: Option<PartFetch>) -> f64 {
    let Some(fetch) = fetch else { return 0.0 };
    let rate = server.facts.engine.and_then(|engine| engine.fetch_tokens_per_ms);
    rate.map_or(0.0, |rate| f64::from(fetch.tokens) / rate)
}

/// How many servers are taken to keep the shared parts of a prompt: where it belongs, and
/// where it goes while that one is busy.
const HOMES: usize = 2;

/// Returns the servers to which prompts with the same shared parts go first.
fn homes(prompt: &PromptShape, servers: &[&ServerState]) -> Vec<ServerId> {
    let Some(part) = prompt.shared_part() else { return vec![] };
    let mut ranked: Vec<(u64, ServerId)> = servers
        .iter()
        .map(|server| {
            (rendezvous_weight(part.key, server.facts.name_hash), server.facts.server)
        })
        .collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.truncate(HOMES);
    ranked.into_iter().map(|(_, server)| server).collect()
}

/// Makes the choice of a candidate.
fn answer(
    candidate: &Candidate<'_>,
    reason: RouteReason,
    eligible: usize,
) -> RouteChoice {
    RouteChoice {
        server: candidate.server.facts.server,
        reason,
        cost_ms: candidate.cost_ms,
        expected: Duration::from_secs_f64(candidate.expected_ms / 1000.0),
        uncached: candidate.uncached,
        fetch: candidate.fetch,
        running: candidate.running,
        eligible,
        ahead: candidate.ahead,
    }
}
