//! When peers are told what servers state.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::statement::StatedRate;

/// How often peers are told again of a rate that a server keeps stating.
const RENEWAL_PERIOD: Duration = Duration::from_secs(30);

/// How long after a server stops stating a rate peers are told so a second time. A report
/// of the rate that was delayed on the way seems newer than it is, so it can override the
/// first notice. An instance that sends nothing to the server would then keep the rate
/// for good.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(3);

/// Decides when peers are told what servers state.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{ReportSchedule, StatedRate};
/// let mut schedule = ReportSchedule::default();
/// schedule.record_sent(1, StatedRate::Unlimited, Duration::ZERO);
/// let due = |second| schedule.is_due(1, StatedRate::Unlimited, Duration::from_secs(second));
/// assert!(!due(2));
/// assert!(due(3));
/// ```
#[derive(Debug, Default)]
pub struct ReportSchedule {
    /// The next report of each server, if its statement doesn't change before.
    next: HashMap<ServerId, NextReport>,
}

/// The last and next report of a server.
#[derive(Debug, Clone, Copy)]
struct NextReport {
    /// What peers were told last.
    sent: StatedRate,
    /// When peers are told again; `None` if they aren't.
    due_at: Option<Duration>,
}

impl ReportSchedule {
    /// Returns whether peers should be told of a server whose statement hasn't changed.
    #[must_use]
    pub fn is_due(&self, server: ServerId, stated: StatedRate, now: Duration) -> bool {
        match (self.next.get(&server), stated) {
            (Some(next), _) => {
                next.sent == stated && next.due_at.is_some_and(|due_at| now >= due_at)
            }
            // This instance has only learnt the rate from peers, and now hears it from
            // the server.
            (None, StatedRate::Limited(_)) => true,
            (None, _) => false,
        }
    }

    /// Records that peers are told what a server states, because it changed or was due.
    pub fn record_sent(&mut self, server: ServerId, stated: StatedRate, now: Duration) {
        let repeated = self.next.get(&server).is_some_and(|next| next.sent == stated);
        let due_at = match stated {
            StatedRate::Limited(_) => Some(now + RENEWAL_PERIOD),
            _ => (!repeated).then_some(now + CONFIRMATION_DELAY),
        };
        self.next.insert(server, NextReport { sent: stated, due_at });
    }

    /// Drops servers without a scheduled report, and those whose report is long overdue.
    pub fn expire(&mut self, now: Duration) {
        self.next.retain(|_, next| {
            next.due_at.is_some_and(|due_at| now < due_at + RENEWAL_PERIOD)
        });
    }
}
