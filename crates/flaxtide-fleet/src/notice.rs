//! What one peer has been told by notices of one kind, and what it is owed.

use std::time::Duration;

use crate::links::RECONNECT_PAUSE;

/// How long a peer may take to answer a notice before it is told again.
const RESEND_AFTER: Duration = Duration::from_millis(1200);

/// After so many notices in a row that broke their link the peer is left alone for a while: it
/// may be of a version that doesn't know them, and its link carries heartbeats too.
const MAX_LINK_BREAKS: u32 = 3;

/// For how long.
const BREAK_PAUSE: Duration = Duration::from_secs(30);

/// What one peer has been told, and whether it is to be compared with.
#[derive(Debug, Clone)]
pub(crate) struct NoticeState {
    /// Up to which news it has been told.
    pub(crate) acknowledged: u64,
    /// Whether what it knows is to be compared with what this instance knows: it has started,
    /// or wasn't heard for a while.
    pub(crate) needs_comparison: bool,
    /// Whether it is to be told everything.
    pub(crate) needs_all: bool,
    /// The notice that it hasn't answered yet.
    pub(crate) pending: Option<PendingNotice>,
    /// How many notices in a row broke their link.
    link_breaks: u32,
    /// Until when it isn't told anything.
    paused_until: Duration,
}

/// A notice without an answer yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingNotice {
    /// When it was sent.
    pub(crate) sent_at: Duration,
    /// Up to which news it tells.
    pub(crate) last_change: u64,
    /// Whether it asks for a comparison.
    pub(crate) compares: bool,
    /// Whether it tells everything.
    pub(crate) sends_all: bool,
}

impl NoticeState {
    /// Starts with a peer that is to be compared with.
    pub(crate) fn needing_comparison() -> Self {
        Self { needs_comparison: true, ..Self::new() }
    }

    /// Starts with a peer that is to be told everything.
    pub(crate) fn needing_all() -> Self {
        Self { needs_all: true, ..Self::new() }
    }

    /// Starts with a peer that has been told nothing.
    fn new() -> Self {
        Self {
            acknowledged: 0,
            needs_comparison: false,
            needs_all: false,
            pending: None,
            link_breaks: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Returns whether it is to be told anything, if the last news have this number.
    pub(crate) fn is_due(&self, last: u64) -> bool {
        self.needs_comparison || self.needs_all || self.acknowledged < last
    }

    /// Returns whether a notice may be sent now.
    pub(crate) fn may_send(&self, now: Duration) -> bool {
        let waits =
            self.pending.is_some_and(|notice| now < notice.sent_at + RESEND_AFTER);
        !waits && now >= self.paused_until
    }

    /// Returns whether it is being compared with.
    pub(crate) fn is_comparing(&self, now: Duration) -> bool {
        let pending = self.pending.filter(|notice| now < notice.sent_at + RESEND_AFTER);
        pending.is_some_and(|notice| notice.compares)
    }

    /// Records that a notice has been sent.
    pub(crate) fn record_sent(&mut self, notice: PendingNotice) {
        self.pending = Some(notice);
    }

    /// Records the answer to the last notice. Returns that notice.
    pub(crate) fn record_answer(&mut self) -> Option<PendingNotice> {
        let notice = self.pending.take()?;
        self.link_breaks = 0;
        self.acknowledged = self.acknowledged.max(notice.last_change);
        if notice.compares {
            self.needs_comparison = false;
        }
        if notice.sends_all {
            self.needs_all = false;
        }
        Some(notice)
    }

    /// Records that there was no link for the last notice. It is sent again as soon as one may be
    /// opened, and not only when an answer would be overdue.
    pub(crate) fn record_no_link(&mut self, now: Duration) {
        self.pending = None;
        self.paused_until = self.paused_until.max(now + RECONNECT_PAUSE);
    }

    /// Records that the last notice broke its link.
    pub(crate) fn record_broken_link(&mut self, now: Duration) {
        self.pending = None;
        self.link_breaks += 1;
        if self.link_breaks >= MAX_LINK_BREAKS {
            self.link_breaks = 0;
            self.paused_until = now + BREAK_PAUSE;
        }
    }
}
