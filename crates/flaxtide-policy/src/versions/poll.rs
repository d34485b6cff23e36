//! What the answers of peers say of the version of a stream.

use std::time::Duration;

use super::registry::{VersionAnswer, VersionView};
use crate::router::VersionKey;

/// At which version a stream may be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionDecision {
    /// At this version, which has certainly begun it.
    Bound(VersionKey),
    /// At this version: nothing is certain, but nobody knows another.
    Agreed(VersionKey),
    /// At none: it isn't known which version began it.
    Unknown,
}

impl VersionDecision {
    /// Returns the version, if there is one.
    #[must_use]
    pub fn version(self) -> Option<VersionKey> {
        match self {
            Self::Bound(version) | Self::Agreed(version) => Some(version),
            Self::Unknown => None,
        }
    }
}

/// A number of peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AskedPeers {
    /// All peers.
    pub all: usize,
    /// Those in the own data centre.
    pub near: usize,
}

/// A question to peers for the version of a stream, with the answers so far.
///
/// A version is certain if an instance has noted it, or if an instance whose list is current
/// has listed no other for as long as streams are taken up again. Without certainty, such as
/// while nobody can read the list, a version counts if neither this instance nor any peer of its
/// data centre knows another: callers come back to the data centre where they were before. If one
/// of these peers doesn't answer, it may have begun streams at a version that this instance can't
/// know of. Instances that have known their version for a shorter time, such as after a restart,
/// count as if they hadn't answered.
#[derive(Debug)]
pub struct VersionPoll {
    /// For how long a version must have been the only one to be certain.
    window: Duration,
    /// The peers that would answer if all could be reached.
    asked: AskedPeers,
    /// How many peers have answered.
    answered: usize,
    /// The peers that have answered and know enough.
    informed: AskedPeers,
    /// Whether this instance or any peer knows enough.
    is_informed: bool,
    /// The only version that any answer names, or `None` before one.
    only: Option<VersionKey>,
    /// Whether an answer names several versions, or another than the others.
    differs: bool,
    /// The version that an instance has noted.
    noted: Option<VersionKey>,
    /// The only version that an instance with a current list has listed for as long as streams are
    /// taken up again. If others list several, a note may say otherwise.
    sole: Option<VersionKey>,
}

impl VersionPoll {
    /// Begins with the answer of this instance itself.
    #[must_use]
    pub fn new(own: VersionAnswer, window: Duration, asked: AskedPeers) -> Self {
        let mut poll = Self {
            window,
            asked,
            answered: 0,
            informed: AskedPeers::default(),
            is_informed: false,
            only: None,
            differs: false,
            noted: None,
            sole: None,
        };
        poll.read(own);
        poll
    }

    /// Adds the answer of a peer. `is_near` tells whether it is in the own data centre.
    pub fn add(&mut self, answer: VersionAnswer, is_near: bool) {
        self.answered += 1;
        if self.read(answer) {
            self.informed.all += 1;
            self.informed.near += usize::from(is_near);
        }
    }

    /// Returns how many peers have answered.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Returns the decision if no further answer can change it.
    #[must_use]
    pub fn certain(&self) -> Option<VersionDecision> {
        let sole = self.sole.filter(|_| !self.differs);
        self.noted.or(sole).map(VersionDecision::Bound)
    }

    /// Returns the decision if no further answer comes.
    #[must_use]
    pub fn finish(&self) -> VersionDecision {
        if let Some(version) = self.noted.or(self.sole) {
            return VersionDecision::Bound(version);
        }
        let is_quorum = match self.asked.near {
            0 => self.informed.all * 2 >= self.asked.all,
            near => self.informed.near >= near,
        };
        let is_quorum = is_quorum && self.is_informed;
        match self.only {
            Some(version) if is_quorum && !self.differs => {
                VersionDecision::Agreed(version)
            }
            _ => VersionDecision::Unknown,
        }
    }

    /// Reads an answer. Returns whether it is based on knowledge of the whole time in which
    /// streams that are taken up may have begun.
    fn read(&mut self, answer: VersionAnswer) -> bool {
        if answer.noted.is_some() {
            self.noted = answer.noted;
            return true;
        }
        let is_informed = match answer.view {
            VersionView::Unlisted => false,
            VersionView::Several => {
                self.differs = true;
                true
            }
            VersionView::Sole(version, known_ms) => {
                self.differs |= self.only.is_some_and(|only| only != version);
                self.only = Some(version);
                let is_long = Duration::from_millis(known_ms.into()) >= self.window;
                if is_long && answer.is_current {
                    self.sole = self.sole.or(Some(version));
                }
                is_long
            }
        };
        self.is_informed |= is_informed;
        is_informed
    }
}
