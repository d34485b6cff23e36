//! The shared parts of a prompt in the choice of a server: where they belong, where they
//! are cached, where they can be fetched from, and what that adds to the cost of a server.

use std::collections::HashSet;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::RouteCore;
use super::call::{PromptPart, PromptShape, RouteCall, RoutedCall};
use super::choose::PartFetch;
use super::homes::{PartHomes, PartPlace};
use super::server::ServerState;
use crate::rendezvous::rendezvous_weight;

/// How many transfers it may take to restore the homes of parts after a part was used away
/// from its home: its own, and that of the part that it displaced.
const AWAY_TRANSFERS: f64 = 2.0;

/// What is known of a prompt's shared parts when a server is chosen.
pub(crate) struct PartScope<'a> {
    /// The prompt.
    pub(crate) prompt: &'a PromptShape,
    /// The servers that may have homes: those in service that the request may be sent to.
    pub(crate) members: Vec<&'a ServerState>,
    /// The members of the prompt's lane.
    pub(crate) lane_members: HashSet<ServerId>,
    /// Whether any of the servers is watched.
    pub(crate) watched: bool,
    /// The servers that the shared parts can be fetched from, the best first.
    pub(crate) sources: Vec<FetchSource<'a>>,
}

/// A server that shared parts can be fetched from.
pub(crate) struct FetchSource<'a> {
    /// The server.
    pub(crate) server: &'a ServerState,
    /// The number of tokens that it has cached.
    pub(crate) tokens: u32,
}

impl RouteCore {
    /// Collects what is known of a request's shared prompt parts. `healthy` are the servers
    /// that may get the request.
    pub(super) fn part_scope<'a>(
        &self,
        call: &'a RoutedCall,
        in_service: &[&'a ServerState],
        lane_members: HashSet<ServerId>,
        healthy: &[&'a ServerState],
        now: Duration,
    ) -> PartScope<'a> {
        let details = &call.details;
        let watched = in_service.iter().any(|server| server.sightings.is_watched(now));
        let members = in_service.iter().copied();
        let members = members.filter(|server| server.listing.accepts(details));
        let sources = match watched {
            true => self.fetch_sources(call, in_service, healthy, now),
            false => {
                self.fetch_source(&details.prompt, healthy, now).into_iter().collect()
            }
        };
        PartScope {
            prompt: &details.prompt,
            members: members.collect(),
            lane_members,
            watched,
            sources,
        }
    }

    /// Returns the homes of a request's shared parts among `servers`, of which those
    /// `with_room` can get it now.
    pub(super) fn part_homes(
        &self,
        details: &RouteCall,
        servers: &[&ServerState],
        with_room: &[&ServerState],
        scope: &PartScope<'_>,
        now: Duration,
    ) -> PartHomes {
        let Some(part) = details.prompt.last_shared_part() else {
            return PartHomes::default();
        };
        if !scope.watched {
            // Nothing is known of what engines evict, so parts don't stay for long, and
            // the first of the servers that may get the request is as good as any.
            return PartHomes::find(part, servers, 1, |_| true, |_| true);
        }
        let eligible: HashSet<ServerId> =
            with_room.iter().map(|server| server.listing.server).collect();
        PartHomes::find(
            part,
            &scope.members,
            self.home_count(details, part, now),
            |server| scope.lane_members.contains(&server),
            |server| eligible.contains(&server),
        )
    }

    /// Returns how many homes a part has.
    fn home_count(&self, details: &RouteCall, part: &PromptPart, now: Duration) -> usize {
        let Some(state) = self.pools.get(&details.pool) else { return 1 };
        let Some(rate) = state.pace.mean_rate() else { return 1 };
        state.part_demand.homes(part.short_key(), rate, now)
    }

    /// Returns how many tokens of a prompt a server has cached.
    fn cached_tokens(
        &self,
        prompt: &PromptShape,
        server: &ServerState,
        now: Duration,
    ) -> u32 {
        server.cached_tokens(prompt, self.options.cache_life, now)
    }

    /// Returns how many tokens of a prompt a server needn't prefill if it gets the request:
    /// those that it has cached, and those of this instance's requests there that are at
    /// least as urgent. An engine prefills such prompts before, so it reads a part only once
    /// for several.
    pub(super) fn usable_tokens(
        &self,
        server: &ServerState,
        level: u8,
        scope: &PartScope<'_>,
        now: Duration,
    ) -> u32 {
        let prompt = scope.prompt;
        let cached = self.cached_tokens(prompt, server, now);
        if !scope.watched {
            return cached;
        }
        let unanswered = server.load.unanswered(&self.calls);
        let sooner = unanswered.filter(|call| call.details.level <= level);
        let coming = sooner.map(|call| prompt.common_tokens(&call.details.prompt));
        coming.fold(cached, u32::max)
    }

    /// Returns the server that has most of a prompt's shared parts cached, with the
    /// number of tokens. `None` if these are too few to be worth a transfer.
    fn fetch_source<'a>(
        &self,
        prompt: &PromptShape,
        servers: &[&'a ServerState],
        now: Duration,
    ) -> Option<FetchSource<'a>> {
        let shared = prompt.shared_tokens();
        let cached = servers.iter().map(|server| FetchSource {
            server,
            tokens: self.cached_tokens(prompt, server, now).min(shared),
        });
        let most = cached.max_by_key(|source| source.tokens)?;
        (most.tokens >= self.options.least_fetch).then_some(most)
    }

    /// Returns the servers that have most of a prompt's shared parts cached. Engines that
    /// get no requests because they are busy are among them, after the healthy ones.
    /// Transfers from one engine queue up, so each request draws an order of its own.
    fn fetch_sources<'a>(
        &self,
        call: &RoutedCall,
        in_service: &[&'a ServerState],
        healthy: &[&'a ServerState],
        now: Duration,
    ) -> Vec<FetchSource<'a>> {
        let details = &call.details;
        let shared = details.prompt.shared_tokens();
        if shared < self.options.least_fetch {
            return vec![];
        }
        let healthy: HashSet<ServerId> =
            healthy.iter().map(|server| server.listing.server).collect();
        let alive = in_service.iter().copied().filter(|server| {
            let id = server.listing.server;
            let answers = match server.sightings.is_watched(now) {
                true => server.sightings.failing_since(now).is_none(),
                false => healthy.contains(&id),
            };
            answers && !call.excluded.contains(&id)
        });
        let cached = alive.map(|server| FetchSource {
            server,
            tokens: self.cached_tokens(&details.prompt, server, now).min(shared),
        });
        let mut sources: Vec<FetchSource<'_>> = cached
            .filter(|source| source.tokens >= self.options.least_fetch)
            .collect();
        let most = sources.iter().map(|source| source.tokens).max().unwrap_or_default();
        sources.retain(|source| source.tokens == most);
        sources.sort_by_cached_key(|source| {
            let listing = &source.server.listing;
            let draw = rendezvous_weight(details.request ^ self.seed, listing.name_hash);
            (!healthy.contains(&listing.server), draw)
        });
        sources
    }

    /// Returns what a server that has `cached` tokens would fetch from another one.
    pub(super) fn fetch(
        &self,
        server: &ServerState,
        cached: u32,
        level: u8,
        scope: &PartScope<'_>,
        now: Duration,
    ) -> Option<PartFetch> {
        server.listing.engine?.fetch_tokens_per_ms?;
        // Bytes between data centres cost money.
        let is_near = |source: &&FetchSource<'_>| {
            source.server.listing.data_centre == server.listing.data_centre
        };
        let source = scope.sources.iter().find(is_near).or(scope.sources.first())?;
        let tokens = source.tokens.saturating_sub(cached);
        let fetch = PartFetch { from: source.server.listing.server, tokens };
        let is_worth = tokens >= self.options.least_fetch
            && (!scope.watched || self.is_sooner(server, fetch, level, now));
        is_worth.then_some(fetch)
    }

    /// Returns whether a server has a part sooner by fetching than by reading it. Before
    /// it reads the part, it reads the prompts that wait there; a transfer doesn't wait for
    /// these.
    fn is_sooner(
        &self,
        server: &ServerState,
        fetch: PartFetch,
        level: u8,
        now: Duration,
    ) -> bool {
        let fetch_ms = fetch_ms(server, Some(fetch));
        let read_ms = f64::from(fetch.tokens) / server.prefill_rate.tokens_per_ms(now);
        fetch_ms <= read_ms
            || fetch_ms <= read_ms + self.pending_prefill_ms(server, level, now)
    }

    /// Returns what the shared parts of a prompt add to the cost of a server with `cached`
    /// tokens, besides the time to prefill and to fetch, in milliseconds.
    pub(super) fn part_cost_ms(
        &self,
        server: &ServerState,
        cached: u32,
        fetch: Option<PartFetch>,
        place: PartPlace,
        scope: &PartScope<'_>,
        now: Duration,
    ) -> f64 {
        let prompt = scope.prompt;
        let shared = prompt.shared_tokens();
        let own = prompt.tokens.saturating_sub(shared);
        let fetched = fetch.map_or(0, |fetch| fetch.tokens);
        let uncached = prompt.tokens.saturating_sub(cached + fetched);
        // Shared tokens that are prefilled again cost extra, so that all instances send
        // prompts with the same parts to the same servers. At the homes none count, at the
        // next one at most half of the shared tokens, at any other server all.
        let reread = match place {
            PartPlace::Home | PartPlace::Successor => 0,
            PartPlace::Next => uncached.saturating_sub(own).min(shared / 2),
            PartPlace::Elsewhere => uncached.saturating_sub(own),
        };
        let reread_ms = f64::from(reread) / server.prefill_rate.tokens_per_ms(now);
        let mut cost_ms = self.options.reread_weight * reread_ms;
        if scope.watched {
            cost_ms += away_cost_ms(server, cached.min(shared), place);
            cost_ms -= self.home_discount_ms(server, fetch, place);
        }
        cost_ms
    }

    /// Returns by how much less a fetch counts at a home, in milliseconds: the part is
    /// meant to be there, so only the time counts. At a successor, which gives the part
    /// back, it counts half as much as elsewhere.
    fn home_discount_ms(
        &self,
        server: &ServerState,
        fetch: Option<PartFetch>,
        place: PartPlace,
    ) -> f64 {
        let extra_ms = fetch_ms(server, fetch) * (self.options.fetch_weight - 1.0);
        match place {
            PartPlace::Home => extra_ms,
            PartPlace::Successor => extra_ms / 2.0,
            PartPlace::Next | PartPlace::Elsewhere => 0.0,
        }
    }
}

/// Returns how long a server takes to fetch a prompt part, in milliseconds.
pub(super) fn fetch_ms(server: &ServerState, fetch: Option<PartFetch>) -> f64 {
    let Some(fetch) = fetch else { return 0.0 };
    let rate = server.listing.engine.and_then(|engine| engine.fetch_tokens_per_ms);
    rate.map_or(0.0, |rate| f64::from(fetch.tokens) / rate)
}

/// Returns the additional cost of using a shared part where it is cached but has no home,
/// in milliseconds. The copy that is kept in use displaces others, and once the home and
/// the owners of those get requests again, they fetch their parts.
fn away_cost_ms(server: &ServerState, cached: u32, place: PartPlace) -> f64 {
    let rate = server.listing.engine.and_then(|engine| engine.fetch_tokens_per_ms);
    let transfer_ms = rate.map_or(0.0, |rate| f64::from(cached) / rate);
    match place {
        PartPlace::Home | PartPlace::Successor => 0.0,
        PartPlace::Next | PartPlace::Elsewhere => transfer_ms * AWAY_TRANSFERS,
    }
}
