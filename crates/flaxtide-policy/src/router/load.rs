//! Requests at a backend server: this instance's own, and what its peers tell.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

use super::call::RoutedCall;

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

/// What one peer has at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerLoad {
    /// The server.
    pub server: ServerId,
    /// The peer's requests there.
    pub running: u32,
    /// Prompt tokens of them that are still to be read.
    pub unread: u32,
    /// When that was true, on this instance's clock.
    pub at: Duration,
}

/// The requests at one server.
#[derive(Debug, Default)]
pub(crate) struct LoadCount {
    /// This instance's requests.
    own: BTreeSet<RequestId>,
    /// What the peers have.
    peers: Vec<PeerLoad>,
}

impl LoadCount {
    /// Records a request that is sent.
    pub(crate) fn start(&mut self, request: RequestId) {
        self.own.insert(request);
    }

    /// Records a request that has ended.
    pub(crate) fn end(&mut self, request: RequestId) {
        self.own.remove(&request);
    }

    /// Forgets what peers have told.
    pub(crate) fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Takes in what a peer has.
    pub(crate) fn add_peer(&mut self, load: &PeerLoad, now: Duration) {
        if load.at <= now {
            self.peers.push(*load);
        }
    }

    /// Tells whether any of this instance's requests there has begun to be answered.
    pub(crate) fn streams(&self, calls: &HashMap<RequestId, RoutedCall>) -> bool {
        let mut own = self.own.iter().filter_map(|request| calls.get(request));
        own.any(RoutedCall::begun)
    }

    /// Returns how many requests are at the server.
    pub(crate) fn running(&self) -> u32 {
        let peers: u32 = self.peers.iter().map(|load| load.running).sum();
        self.own.len() as u32 + peers
    }

    /// Returns the prompt tokens that are still to be read there.
    pub(crate) fn unread(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
        tokens_per_ms: f64,
        now: Duration,
    ) -> f64 {
        let peers = self.peers.iter().map(|load| {
            let age = now.saturating_sub(load.at).as_secs_f64() * 1000.0;
            (f64::from(load.unread) - age * tokens_per_ms).max(0.0)
        });
        self.own_unread(calls, tokens_per_ms, now) + peers.sum::<f64>()
    }

    /// Returns this instance's prompt tokens that are still to be read there.
    fn own_unread(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
        tokens_per_ms: f64,
        now: Duration,
    ) -> f64 {
        let own = self.own.iter().filter_map(|request| calls.get(request));
        own.map(|call| call.unread(tokens_per_ms, now)).sum()
    }

    /// Returns what this instance has there.
    pub(crate) fn own_summary(
        &self,
        server: ServerId,
        calls: &HashMap<RequestId, RoutedCall>,
        tokens_per_ms: f64,
        now: Duration,
    ) -> ServerLoad {
        ServerLoad {
            server,
            running: self.own.len() as u32,
            unread: self.own_unread(calls, tokens_per_ms, now) as u32,
        }
    }
}
