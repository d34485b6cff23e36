//! When peers are told of what servers state.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;

use super::statement::StatedRate;

/// How often peers are told again of a rate that a server goes on stating.
const RENEWAL: Duration = Duration::from_secs(30);

/// How long after the end of a rate it is told once more. A report of the rate that was on its way
/// then counts as later than its end where it comes late, and an instance that sends nothing to the
/// server would go on believing it.
const CONFIRMATION: Duration = Duration::from_secs(3);

/// When peers are told of what servers state.
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
    /// When the next report of a server is due, if it states the same until then.
    next: HashMap<ServerId, NextReport>,
}

/// The next report of a server.
#[derive(Debug, Clone, Copy)]
struct NextReport {
    /// What peers have been told.
    told: StatedRate,
    /// When it is due; nothing if it isn't told again.
    due: Option<Duration>,
}

impl ReportSchedule {
    /// Returns whether peers are to be told of a server that states the same as before.
    #[must_use]
    pub fn is_due(&self, server: ServerId, stated: StatedRate, now: Duration) -> bool {
        match (self.next.get(&server), stated) {
            (Some(next), _) => {
                next.told == stated && next.due.is_some_and(|due| now >= due)
            }
            // A rate that peers told of, not this instance.
            (None, StatedRate::Limited(_)) => true,
            (None, _) => false,
        }
    }

    /// Records that peers are told what a server states, as news or as it was due.
    pub fn record_sent(&mut self, server: ServerId, stated: StatedRate, now: Duration) {
        let again = self.next.get(&server).is_some_and(|next| next.told == stated);
        let due = match stated {
            StatedRate::Limited(_) => Some(now + RENEWAL),
            _ => (!again).then_some(now + CONFIRMATION),
        };
        self.next.insert(server, NextReport { told: stated, due });
    }

    /// Forgets servers of which nothing has been due for long.
    pub fn expire(&mut self, now: Duration) {
        self.next
            .retain(|_, next| next.due.is_some_and(|due| now < due + RENEWAL));
    }
}
