//! Peers that had nothing to tell, and when they are asked again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest pause, and that after a question without an answer.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// For how long after peers have been drawn anew, or one of them has started again, their word
/// that they can't tell isn't taken for trouble of the platform: they may only not know from where to
/// tell.
const DRAWN_LATELY: Duration = Duration::from_secs(3);

/// Peers that had nothing to tell, until one tells again.
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
    /// The first pause of a peer that answers that it can't tell; it doubles with each.
    first: Duration,
    /// The pauses.
    entries: HashMap<SocketAddr, BackoffEntry>,
    /// When the peers that are asked were last drawn.
    peers_set_at: Option<Duration>,
}

/// The pause of one peer.
#[derive(Debug, Clone, Copy)]
struct BackoffEntry {
    /// Whether the peer has answered.
    reachable: bool,
    /// How long it is.
    span: Duration,
    /// When it ends.
    until: Duration,
}

impl PeerBackoff {
    /// Starts without any.
    #[must_use]
    pub fn new(first: Duration) -> Self {
        Self { first, entries: HashMap::new(), peers_set_at: None }
    }

    /// Returns whether a peer may be asked.
    #[must_use]
    pub fn may_ask(&self, peer: SocketAddr, now: Duration) -> bool {
        self.entries.get(&peer).is_none_or(|entry| now >= entry.until)
    }

    /// Returns whether a peer has answered that it can't tell, since one last told.
    #[must_use]
    pub fn any_unable(&self) -> bool {
        self.entries.values().any(|entry| entry.reachable)
    }

    /// Returns whether the platform seems to be in trouble: a peer that should know has answered
    /// that it can't tell.
    #[must_use]
    pub fn suggest_outage(&self, now: Duration) -> bool {
        let settled = self.peers_set_at.is_none_or(|at| now >= at + DRAWN_LATELY);
        settled && self.any_unable()
    }

    /// Forgets all peers but these, which are asked from now on.
    pub fn set_peers(&mut self, peers: &[SocketAddr], now: Duration) {
        self.entries.retain(|peer, _| peers.contains(peer));
        self.peers_set_at = Some(now);
    }

    /// Records that a peer has told. What others couldn't before says nothing of the next time
    /// that nobody tells.
    pub fn record_success(&mut self, peer: SocketAddr) {
        self.entries.retain(|other, entry| *other != peer && !entry.reachable);
    }

    /// Records that a peer has answered that it can't tell.
    pub fn record_unable(&mut self, peer: SocketAddr, now: Duration) {
        let before = self.entries.get(&peer).filter(|entry| entry.reachable);
        let span = before.map_or(self.first, |entry| entry.span * 2);
        self.back_off(peer, true, span.min(LONGEST_PAUSE), now);
    }

    /// Records that no answer came from a peer.
    pub fn record_unreachable(&mut self, peer: SocketAddr, now: Duration) {
        self.back_off(peer, false, LONGEST_PAUSE, now);
    }

    /// Begins a pause.
    fn back_off(
        &mut self,
        peer: SocketAddr,
        reachable: bool,
        span: Duration,
        now: Duration,
    ) {
        self.entries
            .insert(peer, BackoffEntry { reachable, span, until: now + span });
    }
}
