//! The requests on a backend server: this instance's own, and those that its peers
//! report.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

use super::call::{CallPhase, RoutedCall};
use super::liveness::stream_gap;
use super::options::RouteOptions;

/// The load of one instance on a server, in the form in which peers are told of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerId,
    /// The number of requests whose prompts aren't long.
    pub short: u32,
    /// The number of requests with long prompts.
    pub long: u32,
    /// The prompt tokens that still have to be prefilled, by urgency level.
    pub pending_prefill: LevelTokens,
}

impl ServerLoad {
    /// Returns the number of all requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.short + self.long
    }
}

/// The number of urgency levels that are distinguished; less urgent classes share the
/// last one.
pub const URGENCY_LEVELS: usize = 3;

/// Numbers of prompt tokens by urgency level, the most urgent first.
pub type LevelTokens = [u32; URGENCY_LEVELS];

/// Returns the index of an urgency level in [`LevelTokens`].
fn level_index(level: u8) -> usize {
    usize::from(level).min(URGENCY_LEVELS - 1)
}

/// The load of a peer on a server; the same form as this instance's own.
pub type PeerLoad = ServerLoad;

/// A hash of a peer's name.
pub type PeerKey = u32;

/// Tracks the requests on one server.
#[derive(Debug, Default)]
pub(crate) struct LoadTracker {
    /// This instance's requests.
    own: BTreeSet<RequestId>,
    /// The number of this instance's requests that have long prompts.
    own_long: usize,
    /// Since when the server has been prefilling the first of this instance's unanswered
    /// prompts.
    prefill_since: Duration,
    /// The last reported load of each peer, and when it was reported.
    peers: BTreeMap<PeerKey, (PeerLoad, Duration)>,
}

impl LoadTracker {
    /// Records that a request was sent to the server.
    pub(crate) fn start(
        &mut self,
        request: RequestId,
        long: bool,
        calls: &HashMap<RequestId, RoutedCall>,
        now: Duration,
    ) {
        if self.unanswered(calls).next().is_none() {
            self.prefill_since = now;
        }
        if self.own.insert(request) && long {
            self.own_long += 1;
        }
    }

    /// Records that the server has prefilled a prompt, and restarts the clock for the
    /// next.
    pub(crate) fn start_next_prefill(&mut self, now: Duration) {
        self.prefill_since = now;
    }

    /// Records that a request has ended.
    pub(crate) fn end(&mut self, request: RequestId, long: bool) {
        if self.own.remove(&request) && long {
            self.own_long -= 1;
        }
    }

    /// Returns when the oldest unanswered request was sent.
    pub(crate) fn waiting_since(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
    ) -> Option<Duration> {
        let since = self.unanswered(calls).filter_map(|call| match call.phase {
            CallPhase::Running { since, .. } => Some(since),
            CallPhase::Waiting => None,
        });
        since.min()
    }

    /// Returns this instance's requests for which no response data has arrived.
    pub(crate) fn unanswered<'a>(
        &'a self,
        calls: &'a HashMap<RequestId, RoutedCall>,
    ) -> impl Iterator<Item = &'a RoutedCall> {
        let own = self.own.iter().filter_map(|request| calls.get(request));
        own.filter(|call| !call.has_data())
    }

    /// Sets the load of a peer; `None` if the peer has no requests on this server.
    pub(crate) fn set_peer(
        &mut self,
        peer: PeerKey,
        load: Option<PeerLoad>,
        now: Duration,
    ) {
        match load {
            Some(load) => {
                self.peers.insert(peer, (load, now));
            }
            None => {
                self.peers.remove(&peer);
            }
        }
    }

    /// Returns whether response data has arrived for any of this instance's running
    /// requests.
    pub(crate) fn has_streams(&self, calls: &HashMap<RequestId, RoutedCall>) -> bool {
        let mut own = self.own.iter().filter_map(|request| calls.get(request));
        own.any(RoutedCall::has_data)
    }

    /// Returns the shortest time for which a response to one of this instance's running
    /// requests may pause; `None` if data has arrived for none.
    pub(crate) fn stream_gap(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
    ) -> Option<Duration> {
        let own = self.own.iter().filter_map(|request| calls.get(request));
        own.filter(|call| call.has_data()).map(stream_gap).min()
    }

    /// Returns the number of requests on the server, including those of peers.
    pub(crate) fn running(&self, options: &RouteOptions, now: Duration) -> u32 {
        let peers = self.fresh_peers(options, now).map(|(load, _)| load.running());
        self.own.len() as u32 + peers.sum::<u32>()
    }

    /// Returns the number of this instance's requests on the server.
    pub(crate) fn own_running(&self) -> u32 {
        self.own.len() as u32
    }

    /// Returns the number of requests on the server whose prompts aren't long, including
    /// those of peers.
    pub(crate) fn short_running(&self, options: &RouteOptions, now: Duration) -> u32 {
        let peers = self.fresh_peers(options, now).map(|(load, _)| load.short);
        (self.own.len() - self.own_long) as u32 + peers.sum::<u32>()
    }

    /// Returns the prompt tokens that the server still has to prefill before those of a
    /// new request of an urgency level.
    pub(crate) fn pending_prefill(
        &self,
        level: u8,
        calls: &HashMap<RequestId, RoutedCall>,
        rate: f64,
        options: &RouteOptions,
        now: Duration,
    ) -> f64 {
        let mut reported = 0.0;
        let mut ages = 0.0;
        let mut count = 0.0f64;
        for (load, age) in self.fresh_peers(options, now) {
            let urgent = &load.pending_prefill[..=level_index(level)];
            reported += urgent.iter().copied().map(f64::from).sum::<f64>();
            ages += age.as_secs_f64() * 1000.0;
            count += 1.0;
        }
        // The server has continued to prefill since the reports. This subtracts what it
        // prefills in their mean age; the rate is that of the whole server, not per peer.
        let prefilled = ages / count.max(1.0) * rate;
        let own = self.own_pending_prefill(calls, rate, now);
        own[..=level_index(level)].iter().sum::<f64>() + (reported - prefilled).max(0.0)
    }

    /// Returns the load of this instance in the form in which peers are told of it.
    pub(crate) fn own_summary(
        &self,
        server: ServerId,
        calls: &HashMap<RequestId, RoutedCall>,
        rate: f64,
        now: Duration,
    ) -> ServerLoad {
        let pending = self.own_pending_prefill(calls, rate, now);
        ServerLoad {
            server,
            short: (self.own.len() - self.own_long) as u32,
            long: self.own_long as u32,
            pending_prefill: pending.map(|tokens| tokens as u32),
        }
    }

    /// Returns the loads that peers have recently reported, with their ages.
    fn fresh_peers(
        &self,
        options: &RouteOptions,
        now: Duration,
    ) -> impl Iterator<Item = (PeerLoad, Duration)> {
        let life = options.peer_life;
        let peers = self.peers.values();
        peers
            .map(move |(load, at)| (*load, now.saturating_sub(*at)))
            .filter(move |(_, age)| *age < life)
    }

    /// Returns this instance's prompt tokens that still have to be prefilled, by urgency
    /// level.
    fn own_pending_prefill(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
        tokens_per_ms: f64,
        now: Duration,
    ) -> [f64; URGENCY_LEVELS] {
        // An engine prefills prompts roughly one after the other, in the order of
        // arrival.
        let mut pending = [0.0; URGENCY_LEVELS];
        let mut waiting: Vec<&RoutedCall> = self.unanswered(calls).collect();
        // The most urgent class comes first. The sort is stable, so requests of a class
        // stay in the order of their identifiers.
        waiting.sort_by_key(|call| call.details.level);
        let elapsed = now.saturating_sub(self.prefill_since).as_secs_f64() * 1000.0;
        let mut prefilled = elapsed * tokens_per_ms;
        for call in waiting {
            let tokens = f64::from(call.uncached);
            pending[level_index(call.details.level)] += (tokens - prefilled).max(0.0);
            // All elapsed time belongs to the first prompt: once it is prefilled,
            // `start_next_prefill` restarts the clock.
            prefilled = 0.0;
        }
        pending
    }
}
