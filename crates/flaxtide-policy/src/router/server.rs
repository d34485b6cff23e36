//! What the router knows of a backend server.

use std::time::Duration;

use flaxtide_core::ServerId;

use super::call::{PartKey, PromptShape, RegionKey, RouteCall, VersionKey};
use super::health::ServerHealth;
use super::lane::lane_rank;
use super::load::LoadTracker;
use super::parts::{CacheLife, CachedParts};
use super::prefill_rate::PrefillRate;
use super::pushback::own_share;
use crate::engine::EngineSightings;
use crate::pushback::{ColdStart, DataCentreKey, InstanceGroup, ServerPushback};
use crate::rendezvous::rendezvous_weight;

/// The time over which instances end the limit of a server that has become warm, as a
/// fraction of the time for which servers stay cold.
const COLD_RAMP_FRACTION: f64 = 0.5;

/// The longest time for which a server is taken to be cold, whatever it states.
const MAX_COLD_SPAN: Duration = Duration::from_secs(600);

/// A backend server as listed by the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutedServer {
    /// The identifier of the server.
    pub server: ServerId,
    /// A hash of the server's name, which is the same on every instance.
    pub name_hash: u64,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The properties of the server's engine, or `None` for a plain service.
    pub engine: Option<EngineShape>,
    /// The data centre of the server.
    pub data_centre: DataCentreKey,
    /// The version of the server's software.
    pub version: VersionKey,
    /// Whether other instances may not know the version yet, so that no streams begin at it.
    pub settling: bool,
    /// The region of the server, if it is known.
    pub region: Option<RegionKey>,
    /// Whether the server is in the same data centre as this instance.
    pub local: bool,
    /// Whether the server gets no new requests, because it is leaving or its data centre
    /// is evacuated.
    pub leaving: bool,
    /// Whether the server is still kept although its row is missing from the newest list
    /// and it hasn't been reported as leaving.
    pub row_missing: bool,
    /// How the server starts, if it is slow at first; `None` if it isn't.
    pub cold: Option<ColdStart>,
}

impl RoutedServer {
    /// Returns whether the server may get new requests.
    #[must_use]
    pub fn in_service(&self) -> bool {
        !self.leaving
    }

    /// Returns whether a request may be sent to the server: it is in service, in one of the
    /// request's regions if these are limited, of its version if it continues a stream, and of
    /// a version that other instances know if it begins one.
    #[must_use]
    pub fn accepts(&self, call: &RouteCall) -> bool {
        let in_region = call.regions.as_ref().is_none_or(|regions| {
            self.region.is_some_and(|region| regions.contains(&region))
        });
        let has_version = match call.version {
            Some(version) => version == self.version,
            None => !(call.begins_stream && self.settling),
        };
        self.in_service() && in_region && has_version
    }
}

/// The properties of an inference engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineShape {
    /// The number of prompt and output tokens that fit in the engine's memory.
    pub memory_tokens: u32,
    /// How many cached tokens the engine fetches from another engine per millisecond, or
    /// `None` if it can't fetch any.
    pub fetch_tokens_per_ms: Option<f64>,
}

/// A backend server with everything that this instance has recorded of it.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// The server as listed by the platform.
    pub(crate) listing: RoutedServer,
    /// The requests on the server.
    pub(crate) load: LoadTracker,
    /// Its recent responses and faults.
    pub(crate) health: ServerHealth,
    /// The rate limit and the backoff that it has stated.
    pub(crate) pushback: ServerPushback,
    /// How fast it prefills prompts.
    pub(crate) prefill_rate: PrefillRate,
    /// Whether [`RouteCore::health_changes`](super::RouteCore::health_changes) last
    /// reported it as healthy.
    pub(crate) reported_healthy: bool,
    /// Its place in the order in which engines are assigned to long prompts.
    pub(crate) lane_rank: u64,
    /// What its watchers have seen of it, if it is an engine.
    pub(crate) sightings: EngineSightings,
    /// The prompt parts that it has cached.
    parts: CachedParts,
}

impl ServerState {
    /// Creates the state of a newly listed server. `guess` is its assumed prefill rate in
    /// tokens per millisecond.
    pub(crate) fn new(listing: RoutedServer, guess: f64, now: Duration) -> Self {
        Self {
            lane_rank: lane_rank(&listing),
            listing,
            load: LoadTracker::default(),
            health: ServerHealth::new(now),
            pushback: ServerPushback::default(),
            prefill_rate: PrefillRate::new(guess, now),
            reported_healthy: true,
            sightings: EngineSightings::default(),
            parts: CachedParts::default(),
        }
    }

    /// Recomputes this instance's shares of the server's rates, after the group has
    /// changed.
    pub(crate) fn update_shares(&mut self, group: Option<&InstanceGroup>, now: Duration) {
        let listing = &self.listing;
        let stated_share =
            |rate| own_share(group, listing, rate, InstanceGroup::rate_share);
        let cold_share =
            |rate| own_share(group, listing, rate, InstanceGroup::cold_share);
        self.pushback.update_shares(stated_share, cold_share, now);
        self.update_slot_share(group);
    }

    /// Recomputes this instance's share of the slots, which is none until membership is known.
    pub(super) fn update_slot_share(&mut self, group: Option<&InstanceGroup>) {
        let Some(limit) = self.pushback.refusals.limit() else { return };
        let tried = limit.tried_slots();
        let RoutedServer { name_hash, data_centre, slots, .. } = self.listing;
        let share = |slots| {
            group.map_or(0, |group| group.slot_share(name_hash, data_centre, slots))
        };
        let with_tried = share(slots.saturating_add(tried));
        self.pushback.refusals.set_share(share(slots), with_tried);
    }

    /// Limits the requests to the server until `until`, if its service has cold starts.
    /// Instances end the limit one after the other, within half of the time for which a
    /// server stays cold: the work of the server rises gradually, and idle servers aren't
    /// sent the work of all instances at the same moment.
    pub(crate) fn limit_while_cold(
        &mut self,
        until: Duration,
        group: Option<&InstanceGroup>,
        seed: u64,
        now: Duration,
    ) {
        let Some(start) = self.listing.cold.filter(|_| until > now) else { return };
        let draw = rendezvous_weight(seed, self.listing.name_hash) as f64;
        let ramp = start.span.mul_f64(COLD_RAMP_FRACTION * draw / u64::MAX as f64);
        let listing = &self.listing;
        let share = |rate| own_share(group, listing, rate, InstanceGroup::cold_share);
        let until = until.min(now + MAX_COLD_SPAN) + ramp.min(MAX_COLD_SPAN);
        self.pushback.limit_while_cold(start.rate, share, until, now);
    }

    /// Records that the server may have started again, because it couldn't be reached.
    pub(crate) fn suspect_restart(
        &mut self,
        group: Option<&InstanceGroup>,
        seed: u64,
        now: Duration,
    ) {
        if let Some(start) = self.listing.cold {
            self.limit_while_cold(now.saturating_add(start.span), group, seed, now);
        }
    }

    /// Records that the server has prefilled a prompt.
    pub(crate) fn record_cached_parts(&mut self, prompt: &PromptShape, now: Duration) {
        self.parts.make_room();
        for part in &prompt.parts {
            self.parts.record_prefill(part.short_key(), now);
        }
    }

    /// Records that the server has prefilled this shared part for a peer.
    pub(crate) fn record_peer_prefill(&mut self, part: PartKey, now: Duration) {
        if self.sightings.is_watched(now) {
            self.parts.make_room();
        }
        if self.parts.has_room() {
            self.parts.record_peer_prefill(part, now);
        }
    }

    /// Records that the server has cached or evicted a part, as it reported itself.
    pub(crate) fn record_part_change(
        &mut self,
        part: PartKey,
        cached: bool,
        now: Duration,
    ) {
        if cached {
            self.parts.make_room();
            self.parts.record_cached(part, now);
        } else {
            self.parts.record_eviction(part, now);
        }
    }

    /// Returns how many tokens of a prompt the server has cached. `life` is how long parts
    /// stay cached on a server that doesn't report evictions.
    pub(crate) fn cached_tokens(
        &self,
        prompt: &PromptShape,
        life: Duration,
        now: Duration,
    ) -> u32 {
        let life = CacheLife::new(life, self.sightings.is_watched(now));
        self.parts.tokens_of(prompt, life, now)
    }
}
