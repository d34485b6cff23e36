//! Backoff for peers that couldn't answer a question about the server list. A peer is called
//! unable if it responds, but has read too little from the platform lately to answer, and
//! unreachable if it doesn't respond.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest backoff, and the backoff after a question that got no answer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// For this long after the peers to ask were selected or one of them restarted, unable peers don't
/// suggest an outage of the platform: they may not yet know from which version on they can tell changes.
const PEER_SETTLING_TIME: Duration = Duration::from_secs(3);

/// The backoff of each peer that couldn't answer, until a peer answers again.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::PeerBackoff;
/// let mut backoff = PeerBackoff::new(Duration::from_millis(400));
/// let peer = ([10, 0, 0, 1], 7000).into();
/// backoff.record_unable(peer, Duration::ZERO);
/// assert!(!backoff.may_ask(peer, Duration::from_millis(399)));
/// assert!(backoff.may_ask(peer, Duration::from_millis(400)));
/// ```
#[derive(Debug)]
pub struct PeerBackoff {
    /// The backoff after a peer was unable to answer for the first time. It doubles each time.
    initial: Duration,
    /// The peers that couldn't answer.
    entries: HashMap<SocketAddr, BackoffEntry>,
    /// When the peers to ask were last selected.
    peers_set_at: Option<Duration>,
}

/// The backoff of one peer.
#[derive(Debug, Clone, Copy)]
struct BackoffEntry {
    /// Whether the peer responded; it was unable to answer then.
    reachable: bool,
    /// The length of the backoff.
    duration: Duration,
    /// When the backoff ends.
    until: Duration,
}

impl PeerBackoff {
    /// Creates a backoff without entries.
    #[must_use]
    pub fn new(initial: Duration) -> Self {
        Self {
            initial,
            entries: HashMap::new(),
            peers_set_at: None,
        }
    }

    /// Returns whether a peer may be asked now.
    #[must_use]
    pub fn may_ask(&self, peer: SocketAddr, now: Duration) -> bool {
        self.entries.get(&peer).is_none_or(|entry| now >= entry.until)
    }

    /// Returns whether a peer has been unable to answer since the last success.
    #[must_use]
    pub fn is_unable(&self, peer: SocketAddr) -> bool {
        self.entries.get(&peer).is_some_and(|entry| entry.reachable)
    }

    /// Returns whether an outage of the platform is likely: the reader, which should have read from
    /// it, was unable to answer. A standby that is unable to doesn't suggest one, as it only reads
    /// once the reader doesn't answer it.
    #[must_use]
    pub fn suggests_outage(&self, reader: SocketAddr, now: Duration) -> bool {
        let settled = self.peers_set_at.is_none_or(|at| now >= at + PEER_SETTLING_TIME);
        settled && self.is_unable(reader)
    }

    /// Records that the peers to ask have changed or that one has restarted, and removes the entries
    /// of all other peers.
    pub fn retain_peers(&mut self, peers: &[SocketAddr], now: Duration) {
        self.entries.retain(|peer, _| peers.contains(peer));
        self.peers_set_at = Some(now);
    }

    /// Records that a peer has answered. Drops the entries of other unable peers too, because
    /// they say nothing about the platform at the next failure.
    pub fn record_success(&mut self, peer: SocketAddr) {
        self.entries.retain(|other, entry| *other != peer && !entry.reachable);
    }

    /// Records that a peer was unable to answer.
    pub fn record_unable(&mut self, peer: SocketAddr, now: Duration) {
        let before = self.entries.get(&peer).filter(|entry| entry.reachable);
        let duration = before.map_or(self.initial, |entry| entry.duration * 2);
        self.back_off(peer, true, duration.min(MAX_BACKOFF), now);
    }

    /// Records that a peer was unreachable.
    pub fn record_unreachable(&mut self, peer: SocketAddr, now: Duration) {
        self.back_off(peer, false, MAX_BACKOFF, now);
    }

    /// Starts the backoff of a peer.
    fn back_off(
        &mut self,
        peer: SocketAddr,
        reachable: bool,
        duration: Duration,
        now: Duration,
    ) {
        self.entries
            .insert(peer, BackoffEntry { reachable, duration, until: now + duration });
    }
}
