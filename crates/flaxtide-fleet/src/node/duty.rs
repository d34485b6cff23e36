//! Tracks which instance holds the fleet-wide duties, and which instances are candidates for
//! them.

use std::time::Duration;

use super::FleetNode;
use crate::duty::UnconfirmedUsage;
use crate::wire::{DutyHolder, UsageNotice};

/// The number of candidates in a single group. If each data centre is a group, each has one
/// candidate.
const SINGLE_GROUP_CANDIDATES: usize = 3;

/// How long after its start an instance isn't a candidate: until it knows its peers, and that
/// some of them are candidates.
const CANDIDACY_DELAY: Duration = Duration::from_millis(1500);

impl FleetNode {
    /// Records the holder of the duties unless the known one has a higher or equal fencing
    /// token.
    pub fn record_duty_holder(&mut self, holder: Option<DutyHolder>) {
        if holder > self.duty {
            self.duty = holder;
            self.has_urgent_changes = true;
        }
    }

    /// Returns the known holder of the duties.
    #[must_use]
    pub fn duty_holder(&self) -> Option<DutyHolder> {
        self.duty
    }

    /// Returns whether this instance is a candidate for the duties. Few are, so that not all
    /// instances poll the platform for the lease. There is no vote, because a candidate too
    /// many or too few for a while is harmless.
    #[must_use]
    pub fn is_duty_candidate(&self, now: Duration) -> bool {
        if self.leaving || now < CANDIDACY_DELAY {
            return false;
        }
        let count = if self.group.is_single { SINGLE_GROUP_CANDIDATES } else { 1 };
        let end = count.min(self.reader_order.len());
        let candidates = self.reader_order[..end].iter();
        self.reader_order.is_empty()
            || candidates.into_iter().any(|index| self.live[*index] == self.own.name)
    }

    /// Builds a notice of the usage that this instance has counted.
    pub(crate) fn usage_notice(&self, unconfirmed: UnconfirmedUsage) -> UsageNotice {
        UsageNotice {
            from: self.own.clone(),
            epoch: self.epoch,
            leaving: self.leaving,
            told_until_ms: unconfirmed.told_until_ms,
            windows: unconfirmed.windows,
            open: unconfirmed.open,
        }
    }
}
