//! The delivery state of the notices of one kind to one peer.

use std::time::Duration;

use crate::links::RECONNECT_PAUSE;

/// How long a peer may take to answer a notice before it is sent another one.
const RESEND_AFTER: Duration = Duration::from_millis(1200);

/// After this many notices in a row that broke the link, notices to the peer pause: it may run
/// a version that doesn't know them, and its link also carries heartbeats.
const MAX_LINK_BREAKS: u32 = 3;

/// How long notices pause after too many broken links.
const BREAK_PAUSE: Duration = Duration::from_secs(30);

/// The delivery state of the notices of one kind to one peer.
#[derive(Debug, Clone)]
pub(crate) struct NoticeState {
    /// The number of the last change that the peer has acknowledged.
    pub(crate) acknowledged: u64,
    /// Whether to compare logs with the peer, because it has started or was silent for a while.
    pub(crate) needs_comparison: bool,
    /// Whether to send all reports to the peer.
    pub(crate) needs_all: bool,
    /// The last notice, until it is answered.
    pub(crate) pending: Option<PendingNotice>,
    /// The number of notices in a row that broke the link.
    link_breaks: u32,
    /// Until when no notices are sent.
    paused_until: Duration,
}

/// A notice that hasn't been answered yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingNotice {
    /// When the notice was sent.
    pub(crate) sent_at: Duration,
    /// The number of the last change in the notice.
    pub(crate) last_change: u64,
    /// Whether the notice asks for a comparison of logs.
    pub(crate) compares: bool,
    /// Whether the notice contains all reports.
    pub(crate) sends_all: bool,
}

impl NoticeState {
    /// Creates the state of a peer to compare logs with.
    pub(crate) fn needing_comparison() -> Self {
        Self { needs_comparison: true, ..Self::new() }
    }

    /// Creates the state of a peer to send all reports to.
    pub(crate) fn needing_all() -> Self {
        Self { needs_all: true, ..Self::new() }
    }

    /// Creates the state of a peer that has received nothing.
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

    /// Returns whether a notice is due, given the number of the last change.
    pub(crate) fn is_due(&self, last: u64) -> bool {
        self.needs_comparison || self.needs_all || self.acknowledged < last
    }

    /// Returns whether a notice may be sent now: none is unanswered, and notices aren't paused.
    pub(crate) fn may_send(&self, now: Duration) -> bool {
        let waits =
            self.pending.is_some_and(|notice| now < notice.sent_at + RESEND_AFTER);
        !waits && now >= self.paused_until
    }

    /// Returns whether a comparison with the peer is in progress.
    pub(crate) fn is_comparing(&self, now: Duration) -> bool {
        let pending = self.pending.filter(|notice| now < notice.sent_at + RESEND_AFTER);
        pending.is_some_and(|notice| notice.compares)
    }

    /// Records that a notice has been sent.
    pub(crate) fn record_sent(&mut self, notice: PendingNotice) {
        self.pending = Some(notice);
    }

    /// Records the answer to the last notice, and returns that notice.
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

    /// Records that there was no link for the last notice. It is resent as soon as a link may
    /// be opened again, without waiting for the answer time-out.
    pub(crate) fn record_no_link(&mut self, now: Duration) {
        self.pending = None;
        self.paused_until = self.paused_until.max(now + RECONNECT_PAUSE);
    }

    /// Records that the last notice broke its link, and pauses notices after too many in a row.
    pub(crate) fn record_broken_link(&mut self, now: Duration) {
        self.pending = None;
        self.link_breaks += 1;
        if self.link_breaks >= MAX_LINK_BREAKS {
            self.link_breaks = 0;
            self.paused_until = now + BREAK_PAUSE;
        }
    }
}
