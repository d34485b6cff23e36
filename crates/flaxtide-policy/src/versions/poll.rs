//! What the answers of peers say of the version of a stream.

use std::time::Duration;

use super::book::{VersionAnswer, VersionView};
use crate::router::VersionKey;

/// At which version a stream may be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionDecision {
    /// At this version, which began it.
    Bound(VersionKey),
    /// At none: it isn't known which version began it.
    Unknown,
}

/// A question to peers for the version of a stream, with the answers so far.
///
/// A version is certain if an instance has noted it, or if an instance whose list is current
/// has listed no other for as long as streams are taken up again. Without certainty, such as
/// while nobody reads the list or after all instances have restarted, it counts that no other
/// version is known to this instance and to at least half of the peers: a part of the fleet
/// that is cut off may not know of a new version.
#[derive(Debug)]
pub struct VersionPoll {
    /// For how long a version must have been the only one to be certain.
    window: Duration,
    /// The number of peers that would answer if all could be reached.
    peers: usize,
    /// The number of answers of peers.
    answered: usize,
    /// The only version that any answer names, or `None` before one.
    only: Option<VersionKey>,
    /// Whether an answer names several versions, or another than the others.
    differs: bool,
    /// What is certain.
    certain: Option<VersionKey>,
}

impl VersionPoll {
    /// Begins with the answer of this instance itself, which asks `peers` peers.
    #[must_use]
    pub fn new(own: VersionAnswer, window: Duration, peers: usize) -> Self {
        let mut poll = Self {
            window,
            peers,
            answered: 0,
            only: None,
            differs: false,
            certain: None,
        };
        poll.read(own);
        poll
    }

    /// Adds the answer of a peer.
    pub fn add(&mut self, answer: VersionAnswer) {
        self.answered += 1;
        self.read(answer);
    }

    /// Returns the decision if no further answer can change it.
    #[must_use]
    pub fn certain(&self) -> Option<VersionDecision> {
        self.certain.map(VersionDecision::Bound)
    }

    /// Returns the decision if no further answer comes.
    #[must_use]
    pub fn finish(&self) -> VersionDecision {
        if let Some(decision) = self.certain() {
            return decision;
        }
        let is_quorum = self.answered * 2 >= self.peers;
        match self.only {
            Some(version) if is_quorum && !self.differs => {
                VersionDecision::Bound(version)
            }
            _ => VersionDecision::Unknown,
        }
    }

    /// Reads an answer.
    fn read(&mut self, answer: VersionAnswer) {
        if answer.noted.is_some() {
            self.certain = answer.noted;
            return;
        }
        match answer.view {
            VersionView::Unlisted => {}
            VersionView::Several => self.differs = true,
            VersionView::Sole(version, known_ms) => {
                self.differs |= self.only.is_some_and(|only| only != version);
                self.only = Some(version);
                let is_long = Duration::from_millis(known_ms.into()) >= self.window;
                if is_long && answer.is_current {
                    self.certain = self.certain.or(Some(version));
                }
            }
        }
    }
}
