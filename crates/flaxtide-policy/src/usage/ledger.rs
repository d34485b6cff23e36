//! The usage counts of one instance.

use std::collections::BTreeMap;

use super::{UsageCounts, UsageKey, WINDOWS_KEPT, WindowCounts, WindowNumber};

/// The requests that one instance has counted since its start, by window.
///
/// ```
/// use flaxtide_policy::UsageLedger;
/// let mut ledger = UsageLedger::default();
/// ledger.record(7, 3);
/// let (changed, sequence) = ledger.unconfirmed(1);
/// assert_eq!(changed[0].counts, [(7, 1)]);
/// ledger.confirm(1, sequence);
/// assert!(ledger.unconfirmed(1).0.is_empty(), "already acknowledged");
/// assert_eq!(ledger.unconfirmed(2).0.len(), 1, "a new holder gets everything");
/// ```
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    /// The counts by window.
    windows: BTreeMap<WindowNumber, LedgerWindow>,
    /// The number of requests counted so far. It identifies a state of the ledger.
    sequence: u64,
    /// The fencing token of the last holder that confirmed a report, and the sequence
    /// number up to which it did.
    acknowledged: (u64, u64),
}

/// The counts of one window.
#[derive(Debug, Clone, Default)]
struct LedgerWindow {
    /// The number of requests by organisation.
    counts: UsageCounts,
    /// The value of [`UsageLedger::sequence`] after the last request of this window.
    sequence: u64,
}

impl UsageLedger {
    /// Counts a request of an organisation that started to run in a window.
    pub fn record(&mut self, organisation: UsageKey, window: WindowNumber) {
        self.sequence += 1;
        let known = self.windows.entry(window).or_default();
        *known.counts.entry(organisation).or_default() += 1;
        known.sequence = self.sequence;
        let newest = self.windows.last_key_value().map_or(window, |(newest, _)| *newest);
        let oldest = newest.saturating_sub(WINDOWS_KEPT);
        while self
            .windows
            .first_key_value()
            .is_some_and(|(first, _)| *first < oldest)
        {
            self.windows.pop_first();
        }
    }

    /// Returns the windows that have changed since the last report which the holder with
    /// this fencing token confirmed, and the sequence number to confirm them with.
    #[must_use]
    pub fn unconfirmed(&self, fence: u64) -> (Vec<WindowCounts>, u64) {
        let known = if self.acknowledged.0 == fence { self.acknowledged.1 } else { 0 };
        let changed = self.windows.iter().filter(|(_, window)| window.sequence > known);
        let changed = changed.map(|(number, window)| WindowCounts {
            window: *number,
            counts: window.counts.iter().map(|(key, count)| (*key, *count)).collect(),
        });
        (changed.collect(), self.sequence)
    }

    /// Records that a holder has received all windows up to a sequence number.
    pub fn confirm(&mut self, fence: u64, sequence: u64) {
        if self.acknowledged.0 == fence {
            self.acknowledged.1 = self.acknowledged.1.max(sequence);
        } else if fence > self.acknowledged.0 {
            self.acknowledged = (fence, sequence);
        }
    }
}
