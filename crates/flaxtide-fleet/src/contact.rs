//! What one peer has been told by notices of one kind, and what it is owed.

use std::time::Duration;

use crate::links::TRIED_LATELY;

/// How long a peer may take to answer a notice before it is told again.
const ANSWER_WAIT: Duration = Duration::from_millis(1200);

/// After so many notices in a row that broke their link the peer is left alone for a while: it
/// may be of a version that doesn't know them, and its link carries heartbeats too.
const BREAKS_AT_MOST: u32 = 3;

/// For how long.
const BREAK_PAUSE: Duration = Duration::from_secs(30);

/// What one peer has been told, and whether it is to be compared with.
#[derive(Debug, Clone)]
pub(crate) struct NoticeContact {
    /// Up to which news it has been told.
    pub(crate) told: u64,
    /// Whether what it knows is to be compared with what this instance knows: it has started,
    /// or wasn't heard for a while.
    pub(crate) compare: bool,
    /// Whether it is to be told everything.
    pub(crate) tell_all: bool,
    /// The notice that it hasn't answered yet.
    pub(crate) pending: Option<PendingNotice>,
    /// How many notices in a row broke their link.
    breaks: u32,
    /// Until when it isn't told anything.
    paused_until: Duration,
}

/// A notice without an answer yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingNotice {
    /// When it was sent.
    pub(crate) at: Duration,
    /// Up to which news it tells.
    pub(crate) told: u64,
    /// Whether it asks for a comparison.
    pub(crate) compares: bool,
    /// Whether it tells everything.
    pub(crate) tells_all: bool,
}

impl NoticeContact {
    /// Starts with a peer that is to be compared with.
    pub(crate) fn comparing() -> Self {
        Self { compare: true, ..Self::untold() }
    }

    /// Starts with a peer that is to be told everything.
    pub(crate) fn telling() -> Self {
        Self { tell_all: true, ..Self::untold() }
    }

    /// Starts with a peer that has been told nothing.
    fn untold() -> Self {
        Self {
            told: 0,
            compare: false,
            tell_all: false,
            pending: None,
            breaks: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Returns whether it is to be told anything, if the last news have this number.
    pub(crate) fn has_due(&self, last: u64) -> bool {
        self.compare || self.tell_all || self.told < last
    }

    /// Returns whether a notice may be sent now.
    pub(crate) fn may_be_told(&self, now: Duration) -> bool {
        let waits = self.pending.is_some_and(|notice| now < notice.at + ANSWER_WAIT);
        !waits && now >= self.paused_until
    }

    /// Returns whether it is being compared with.
    pub(crate) fn is_comparing(&self, now: Duration) -> bool {
        let pending = self.pending.filter(|notice| now < notice.at + ANSWER_WAIT);
        pending.is_some_and(|notice| notice.compares)
    }

    /// Records that a notice has been sent.
    pub(crate) fn send(&mut self, notice: PendingNotice) {
        self.pending = Some(notice);
    }

    /// Records the answer to the last notice. Returns that notice.
    pub(crate) fn answer(&mut self) -> Option<PendingNotice> {
        let notice = self.pending.take()?;
        self.breaks = 0;
        self.told = self.told.max(notice.told);
        if notice.compares {
            self.compare = false;
        }
        if notice.tells_all {
            self.tell_all = false;
        }
        Some(notice)
    }

    /// Records that there was no link for the last notice. It is sent again as soon as one may be
    /// opened, and not only when an answer would be overdue.
    pub(crate) fn miss(&mut self, now: Duration) {
        self.pending = None;
        self.paused_until = self.paused_until.max(now + TRIED_LATELY);
    }

    /// Records that the last notice broke its link.
    pub(crate) fn break_off(&mut self, now: Duration) {
        self.pending = None;
        self.breaks += 1;
        if self.breaks >= BREAKS_AT_MOST {
            self.breaks = 0;
            self.paused_until = now + BREAK_PAUSE;
        }
    }
}
