//! Who holds the duties that one instance has for all, as instances pass it on, and who stands
//! for them.

use std::time::Duration;

use super::FleetNode;
use crate::duty::UnsentUsage;
use crate::wire::{DutyHolder, UsageNotice};

/// How many instances stand for the duties if all are one group. If each data centre is one,
/// one instance of each does.
const CANDIDATES: usize = 3;

/// How long an instance that has just started waits before it stands for the duties: until it
/// has met its peers, and knows that others do.
const SETTLING: Duration = Duration::from_millis(1500);

impl FleetNode {
    /// Records who holds the duties, if that is news: of two holders, the one with the higher
    /// fencing number is the newer.
    pub fn record_duty_holder(&mut self, holder: Option<DutyHolder>) {
        if holder > self.duty {
            self.duty = holder;
            self.has_updates = true;
        }
    }

    /// Returns who holds the duties, as far as is known.
    #[must_use]
    pub fn duty_holder(&self) -> Option<DutyHolder> {
        self.duty
    }

    /// Returns whether this instance stands for the duties: few do, so that the platform isn't
    /// asked by all of them whether the duties are free. No vote is taken; one too many or too
    /// few for a while is harmless.
    #[must_use]
    pub fn is_duty_candidate(&self, now: Duration) -> bool {
        if self.leaving || now < SETTLING {
            return false;
        }
        let places = if self.group.joint { CANDIDATES } else { 1 };
        let end = places.min(self.list_order.len());
        let first = self.list_order[..end].iter();
        self.list_order.is_empty()
            || first.into_iter().any(|place| self.live[*place] == self.own.name)
    }

    /// Makes a notice of what this instance has counted.
    pub(crate) fn usage_notice(&self, news: UnsentUsage) -> UsageNotice {
        UsageNotice {
            from: self.own.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            told_until_ms: news.told_until_ms,
            windows: news.windows,
            open: news.open,
        }
    }
}
