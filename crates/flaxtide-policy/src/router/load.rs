//! Requests at a backend server: this instance's own, and what its peers tell.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxtide_core::{RequestId, ServerId};

use super::call::{CallPlace, RoutedCall};
use super::options::RouteOptions;

/// What this instance has at a server, as peers are told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerId,
    /// Its requests there whose prompts aren't long.
    pub short: u32,
    /// Its requests there with long prompts.
    pub long: u32,
    /// Prompt tokens of them that are still to be read, by the level of their class.
    pub pending_prefill: LevelTokens,
}

impl ServerLoad {
    /// Returns its requests there, whatever their prompts.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.short + self.long
    }
}

/// How many levels of classes are told apart; less urgent ones count as the last.
pub const URGENCY_LEVELS: usize = 3;

/// Prompt tokens by the level of their class.
pub type LevelTokens = [u32; URGENCY_LEVELS];

/// Returns the place of a level.
fn level_place(level: u8) -> usize {
    usize::from(level).min(URGENCY_LEVELS - 1)
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
    /// How many of them have long prompts.
    own_long: usize,
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
        long: bool,
        calls: &HashMap<RequestId, RoutedCall>,
        now: Duration,
    ) {
        if self.unanswered(calls).next().is_none() {
            self.reading_since = now;
        }
        if self.own.insert(request) && long {
            self.own_long += 1;
        }
    }

    /// Records that a prompt has been read: the server goes on with the next.
    pub(crate) fn read(&mut self, now: Duration) {
        self.reading_since = now;
    }

    /// Records a request that has ended.
    pub(crate) fn end(&mut self, request: RequestId, long: bool) {
        if self.own.remove(&request) && long {
            self.own_long -= 1;
        }
    }

    /// Returns since when the oldest of them waits.
    pub(crate) fn waiting_since(
        &self,
        calls: &HashMap<RequestId, RoutedCall>,
    ) -> Option<Duration> {
        let since = self.unanswered(calls).filter_map(|call| match call.place {
            CallPlace::Running { since, .. } => Some(since),
            CallPlace::Waiting => None,
        });
        since.min()
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
        let peers = self.heard(options, now).map(|(load, _)| load.running());
        self.own.len() as u32 + peers.sum::<u32>()
    }

    /// Returns how many of this instance's requests are at the server.
    pub(crate) fn own_running(&self) -> u32 {
        self.own.len() as u32
    }

    /// Returns how many requests at the server have prompts that aren't long.
    pub(crate) fn short_running(&self, options: &RouteOptions, now: Duration) -> u32 {
        let peers = self.heard(options, now).map(|(load, _)| load.short);
        (self.own.len() - self.own_long) as u32 + peers.sum::<u32>()
    }

    /// Returns the prompt tokens that are still to be read there before those of a new
    /// request of a level.
    pub(crate) fn unread(
        &self,
        level: u8,
        calls: &HashMap<RequestId, RoutedCall>,
        rate: f64,
        options: &RouteOptions,
        now: Duration,
    ) -> f64 {
        let mut told = 0.0;
        let mut ages = 0.0;
        let mut count = 0.0f64;
        for (load, age) in self.heard(options, now) {
            let urgent = &load.pending_prefill[..=level_place(level)];
            told += urgent.iter().copied().map(f64::from).sum::<f64>();
            ages += age.as_secs_f64() * 1000.0;
            count += 1.0;
        }
        // The server has gone on reading since, for all of them together.
        let read = ages / count.max(1.0) * rate;
        let own = self.own_unread(calls, rate, now);
        own[..=level_place(level)].iter().sum::<f64>() + (told - read).max(0.0)
    }

    /// Returns what this instance has there.
    pub(crate) fn own_summary(
        &self,
        server: ServerId,
        calls: &HashMap<RequestId, RoutedCall>,
        rate: f64,
        now: Duration,
    ) -> ServerLoad {
        let unread = self.own_unread(calls, rate, now);
        ServerLoad {
            server,
            short: (self.own.len() - self.own_long) as u32,
            long: self.own_long as u32,
            pending_prefill: unread.map(|tokens| tokens as u32),
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
    ) -> [f64; URGENCY_LEVELS] {
        // An engine reads one prompt after the other, about, in the order of requests.
        let mut unread = [0.0; URGENCY_LEVELS];
        let mut waiting: Vec<&RoutedCall> = self.unanswered(calls).collect();
        // The most urgent class first, and in it the request that came first.
        waiting.sort_by_key(|call| call.call.level);
        let elapsed = now.saturating_sub(self.reading_since).as_secs_f64() * 1000.0;
        let mut read = elapsed * tokens_per_ms;
        for call in waiting {
            let tokens = f64::from(call.uncached);
            unread[level_place(call.call.level)] += (tokens - read).max(0.0);
            // The end of the first prompt would have been heard.
            read = 0.0;
        }
        unread
    }
}
