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
/// use flaxtide_entry::PeerPauses;
/// let mut pauses = PeerPauses::new(Duration::from_millis(400));
/// let peer = ([10, 0, 0, 1], 7000).into();
/// pauses.record_unable(peer, Duration::ZERO);
/// assert!(!pauses.may_ask(peer, Duration::from_millis(399)));
/// assert!(pauses.may_ask(peer, Duration::from_millis(400)));
/// ```
#[derive(Debug)]
pub struct PeerPauses {
    /// The first pause of a peer that answers that it can't tell; it doubles with each.
    first: Duration,
    /// The pauses.
    pauses: HashMap<SocketAddr, PeerPause>,
    /// When the peers that are asked were last drawn.
    drawn: Option<Duration>,
}

/// The pause of one peer.
#[derive(Debug, Clone, Copy)]
struct PeerPause {
    /// Whether the peer has answered.
    answers: bool,
    /// How long it is.
    span: Duration,
    /// When it ends.
    until: Duration,
}

impl PeerPauses {
    /// Starts without any.
    #[must_use]
    pub fn new(first: Duration) -> Self {
        Self { first, pauses: HashMap::new(), drawn: None }
    }

    /// Returns whether a peer may be asked.
    #[must_use]
    pub fn may_ask(&self, peer: SocketAddr, now: Duration) -> bool {
        self.pauses.get(&peer).is_none_or(|pause| now >= pause.until)
    }

    /// Returns whether a peer has answered that it can't tell, since one last told.
    #[must_use]
    pub fn any_answers(&self) -> bool {
        self.pauses.values().any(|pause| pause.answers)
    }

    /// Returns whether the platform seems to be in trouble: a peer that should know has answered
    /// that it can't tell.
    #[must_use]
    pub fn show_trouble(&self, now: Duration) -> bool {
        let settled = self.drawn.is_none_or(|at| now >= at + DRAWN_LATELY);
        settled && self.any_answers()
    }

    /// Forgets all peers but these, which are asked from now on.
    pub fn draw(&mut self, peers: &[SocketAddr], now: Duration) {
        self.pauses.retain(|peer, _| peers.contains(peer));
        self.drawn = Some(now);
    }

    /// Records that a peer has told. What others couldn't before says nothing of the next time
    /// that nobody tells.
    pub fn record_told(&mut self, peer: SocketAddr) {
        self.pauses.retain(|other, pause| *other != peer && !pause.answers);
    }

    /// Records that a peer has answered that it can't tell.
    pub fn record_unable(&mut self, peer: SocketAddr, now: Duration) {
        let before = self.pauses.get(&peer).filter(|pause| pause.answers);
        let span = before.map_or(self.first, |pause| pause.span * 2);
        self.pause(peer, true, span.min(LONGEST_PAUSE), now);
    }

    /// Records that no answer came from a peer.
    pub fn record_unreachable(&mut self, peer: SocketAddr, now: Duration) {
        self.pause(peer, false, LONGEST_PAUSE, now);
    }

    /// Begins a pause.
    fn pause(&mut self, peer: SocketAddr, answers: bool, span: Duration, now: Duration) {
        self.pauses
            .insert(peer, PeerPause { answers, span, until: now + span });
    }
}
