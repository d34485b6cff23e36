//! Requests at a backend server: this instance's own, and what its peers tell.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

use super::call::RoutedCall;
use super::options::RouteOptions;

/// What this instance has at a server, as peers are told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerId,
    /// Its requests there.
    pub running: u32,
    /// Prompt tokens of them that are still to be read.
    pub unread: u32,
}

/// What a peer has at a server.
pub type PeerLoad = ServerLoad;

/// Stands for the name of a peer.
pub type PeerKey = u32;

/// The requests at one server.
#[derive(Debug, Default)]
pub(crate) struct LoadCount {
    /// This instance's requests.
    own: BTreeSet<RequestId>,
    /// Since when the server has read the prompt that it was sent first of those that wait.
    reading_since: Duration,
    /// What each peer has, and when it said so.
    peers: BTreeMap<PeerKey, (PeerLoad, Duration)>,
}

impl LoadCount {
    /// Records a request that is sent.
    pub(crate) fn start(
        &mut self,
        request: RequestId,
        calls: &HashMap<RequestId, RoutedCall>,
        now: Duration,
    ) {
        if self.unanswered(calls).next().is_none() {
            self.reading_since = now;
        }
        self.own.insert(request);
    }

    /// Records that a prompt has been read: the server goes on with the next.
    pub(crate) fn read(&mut self, now: Duration) {
        self.reading_since = now;
    }

    /// Records a request that has ended.
    pub(crate) fn end(&mut self, request: RequestId) {
        self.own.remove(&request);
    }

    /// Returns this instance's requests there of which nothing has come.
    fn unanswered<'a>(
        &'a self,
        calls: &'a HashMap<RequestId, RoutedCall>,
    ) -> impl Iterator<Item = &'a RoutedCall> {
        let own = self.own.iter().filter_map(|request| calls.get(request));
        own.filter(|call| !call.begun())
    }

    /// Takes in what a peer has; nothing if it has nothing here.
    pub(crate) fn hear_peer(
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

    /// Tells whether any of this instance's requests there has begun to be answered.
    pub(crate) fn streams(&self, calls: &HashMap<RequestId, RoutedCall>) -> bool {
        let mut own = self.own.iter().filter_map(|request| calls.get(request));
        own.any(RoutedCall::begun)
    }

    /// Returns how many requests are at the server.
    pub(crate) fn running(&self, options: &RouteOptions, now: Duration) -> u32 {
        let peers = self.heard(options, now).map(|(load, _)| load.running);
        self.own.len() as u32 + peers.sum::<u32>()
    }

    /// Returns the prompt tokens that are still to be read there.
    pub(crate) fn unread(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
        options: &RouteOptions,
        now: Duration,
    ) -> f64 {
        let rate = options.prefill_tokens_per_ms;
        let mut told = 0.0;
        let mut ages = 0.0;
        let mut count = 0.0f64;
        for (load, age) in self.heard(options, now) {
            told += f64::from(load.unread);
            ages += age.as_secs_f64() * 1000.0;
            count += 1.0;
        }
        // The server has gone on reading since, for all of them together.
        let read = ages / count.max(1.0) * rate;
        self.own_unread(calls, rate, now) + (told - read).max(0.0)
    }

    /// Returns what this instance has there.
    pub(crate) fn own_summary(
        &self,
        server: ServerId,
        calls: &HashMap<RequestId, RoutedCall>,
        options: &RouteOptions,
        now: Duration,
    ) -> ServerLoad {
        let unread = self.own_unread(calls, options.prefill_tokens_per_ms, now);
        ServerLoad {
            server,
            running: self.own.len() as u32,
            unread: unread as u32,
        }
    }

    /// Returns what peers have said lately, and how long ago.
    fn heard(
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

    /// Returns this instance's prompt tokens that are still to be read there.
    fn own_unread(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
        tokens_per_ms: f64,
        now: Duration,
    ) -> f64 {
        // An engine reads one prompt after the other, about, in the order of requests.
        let mut waiting = self.unanswered(calls).map(|call| f64::from(call.uncached));
        let Some(first) = waiting.next() else { return 0.0 };
        let elapsed = now.saturating_sub(self.reading_since).as_secs_f64() * 1000.0;
        let read = (elapsed * tokens_per_ms).min(first);
        first - read + waiting.sum::<f64>()
    }
}
