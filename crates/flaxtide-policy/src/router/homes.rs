//! Where prompts with a shared part belong: the homes of the part, by rendezvous hashing
//! over the members of the pool, and how many of them its demand needs.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::{PartKey, PromptPart};
use super::server::ServerState;
use crate::estimate::DecayedMean;
use crate::rendezvous::rendezvous_weight;

/// The fraction of an engine's prefill rate that the prompts with one part may take at one
/// home. An engine is the home of several parts, and generates output as well.
const HOME_SHARE: f64 = 0.5;

/// The fraction of the demand that more homes than needed must have fallen to before one is
/// given up. Reports of prefills come in batches, so that the measured demand varies by a
/// third.
const KEPT_SHARE: f64 = 0.6;

/// The time over which the demand for a part is averaged: several heartbeats.
const DEMAND_SPAN: Duration = Duration::from_secs(3);

/// The maximum number of parts whose demand is known; a pool with more shared parts has
/// little demand for most of them.
const MAX_DEMANDED_PARTS: usize = 4096;

/// What a server is to the prompts with a shared part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartPlace {
    /// A home of the part.
    Home,
    /// A server that stands in for a home that can't get the request.
    Successor,
    /// The server that would become the next home.
    Next,
    /// Any other server.
    Elsewhere,
}

/// The homes of a shared part, as far as they can get a request.
#[derive(Debug, Default)]
pub(crate) struct PartHomes {
    /// The homes.
    homes: Vec<ServerId>,
    /// The servers that stand in for homes that can't get the request.
    successors: Vec<ServerId>,
    /// The server that comes after those.
    next: Option<ServerId>,
}

impl PartHomes {
    /// Finds the homes of a part among the members of a pool, which are the same on all
    /// instances. `is_preferred` tells which members the prompt prefers; the others come
    /// after them. `is_eligible` tells which can get the request now: the order doesn't
    /// depend on it, so a part returns to its home.
    pub(crate) fn find(
        part: &PromptPart,
        members: &[&ServerState],
        count: usize,
        is_preferred: impl Fn(ServerId) -> bool,
        is_eligible: impl Fn(ServerId) -> bool,
    ) -> Self {
        let ranks = members.iter().map(|member| {
            let server = member.listing.server;
            let weight = rendezvous_weight(part.key, member.listing.name_hash);
            (!is_preferred(server), Reverse((weight, server)))
        });
        let mut ranks: Vec<(bool, Reverse<(u64, ServerId)>)> = ranks.collect();
        ranks.sort_unstable();
        let order = ranks.iter().map(|(_, Reverse((_, server)))| *server);
        let mut found = Self::default();
        for (place, server) in order.enumerate() {
            if !is_eligible(server) {
                continue;
            }
            if place < count {
                found.homes.push(server);
            } else if found.homes.len() + found.successors.len() < count {
                found.successors.push(server);
            } else {
                found.next = Some(server);
                break;
            }
        }
        found
    }

    /// Returns what a server is to the part.
    pub(crate) fn place(&self, server: ServerId) -> PartPlace {
        if self.homes.contains(&server) {
            PartPlace::Home
        } else if self.successors.contains(&server) {
            PartPlace::Successor
        } else if self.next == Some(server) {
            PartPlace::Next
        } else {
            PartPlace::Elsewhere
        }
    }
}

/// The demand for a shared part.
#[derive(Debug, Default)]
struct PartDemand {
    /// The decayed rate of the tokens to be read, in tokens per millisecond.
    tokens_per_ms: f64,
    /// When the rate was last updated.
    updated_at: Duration,
    /// The mean number of tokens that prompts have besides the shared ones.
    own_tokens: DecayedMean,
    /// The number of homes that the part has had.
    homes: usize,
}

impl PartDemand {
    /// Returns the rate of the tokens to be read, in tokens per millisecond.
    fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens_per_ms * (-age / DEMAND_SPAN.as_secs_f64()).exp()
    }

    /// Adds a prompt of which `tokens` are to be read at a home that prefills
    /// `home_rate` tokens per millisecond.
    fn add(&mut self, tokens: f64, home_rate: f64, now: Duration) {
        // The number falls with time as well, and must have fallen before a rise is counted
        // from it; else what was needed long ago would be kept.
        self.homes = self.homes(home_rate, now);
        let span_ms = DEMAND_SPAN.as_secs_f64() * 1000.0;
        self.tokens_per_ms = self.rate(now) + tokens / span_ms;
        self.updated_at = now;
        self.homes = self.homes(home_rate, now);
    }

    /// Returns the number of homes. It rises as soon as the demand needs more, and falls
    /// once the demand is well below what fewer can serve.
    fn homes(&self, home_rate: f64, now: Duration) -> usize {
        let needed = self.rate(now) / (home_rate * HOME_SHARE);
        let most = (needed / KEPT_SHARE).ceil() as usize;
        self.homes.clamp(needed.ceil() as usize, most).max(1)
    }
}

/// The demand for the shared parts of a pool, by this instance's prefills and those that
/// peers report.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    /// The demand by part.
    parts: HashMap<PartKey, PartDemand>,
    /// The mean number of tokens that prompts have besides the shared ones.
    own_tokens: DecayedMean,
}

impl DemandTable {
    /// Records that an engine has prefilled a prompt with a part, and `own_tokens` besides
    /// the shared ones. `home_rate` is the mean rate of the pool's engines, whichever of
    /// them it was: any may become a home.
    pub(crate) fn record_prefill(
        &mut self,
        part: PartKey,
        own_tokens: u32,
        home_rate: f64,
        now: Duration,
    ) {
        let own_tokens = f64::from(own_tokens);
        self.own_tokens.add(own_tokens);
        let demand = self.demand_mut(part, now);
        demand.own_tokens.add(own_tokens);
        demand.add(own_tokens, home_rate, now);
    }

    /// Records that an engine has prefilled a prompt with a part for a peer. Peers don't
    /// tell how long the prompts are, so they are taken to be like this instance's own.
    pub(crate) fn record_peer_prefill(
        &mut self,
        part: PartKey,
        home_rate: f64,
        now: Duration,
    ) {
        let usual = self.own_tokens.get();
        let demand = self.demand_mut(part, now);
        let Some(tokens) = demand.own_tokens.get().or(usual) else { return };
        demand.add(tokens, home_rate, now);
    }

    /// Returns how many homes a part needs if engines prefill `home_rate` tokens per
    /// millisecond on average.
    pub(crate) fn homes(&self, part: PartKey, home_rate: f64, now: Duration) -> usize {
        self.parts.get(&part).map_or(1, |demand| demand.homes(home_rate, now))
    }

    /// Returns the demand for a part. If there are too many parts, those that nobody has
    /// asked for lately are dropped, else all: a part in demand is soon known again.
    fn demand_mut(&mut self, part: PartKey, now: Duration) -> &mut PartDemand {
        if self.parts.len() >= MAX_DEMANDED_PARTS && !self.parts.contains_key(&part) {
            self.parts.retain(|_, demand| now < demand.updated_at + DEMAND_SPAN);
            if self.parts.len() >= MAX_DEMANDED_PARTS {
                self.parts.clear();
            }
        }
        self.parts.entry(part).or_default()
    }
}
