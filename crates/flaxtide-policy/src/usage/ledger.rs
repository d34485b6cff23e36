//! What one instance counts.

use std::collections::BTreeMap;

use super::{UsageCounts, UsageKey, WINDOWS_KEPT, WindowCounts, WindowNumber};

/// What one instance has counted since its start, by window.
///
/// ```
/// use flaxtide_policy::UsageLedger;
/// let mut ledger = UsageLedger::default();
/// ledger.record(7, 3);
/// let (news, mark) = ledger.unconfirmed(1);
/// assert_eq!(news[0].counts, [(7, 1)]);
/// ledger.confirm(1, mark);
/// assert!(ledger.unconfirmed(1).0.is_empty(), "told already");
/// assert_eq!(ledger.unconfirmed(2).0.len(), 1, "a new holder hears all");
/// ```
#[derive(Debug, Clone, Default)]
pub struct UsageLedger {
    /// The windows.
    windows: BTreeMap<WindowNumber, LedgerWindow>,
    /// How many requests have been counted.
    mark: u64,
    /// The fencing number of the holder that was last told, and what it knows.
    told: (u64, u64),
}

/// One window.
#[derive(Debug, Clone, Default)]
struct LedgerWindow {
    /// The counts.
    counts: UsageCounts,
    /// How many requests had been counted after the last one of this window.
    mark: u64,
}

impl UsageLedger {
    /// Counts a request of an organisation that began to run in a window.
    pub fn record(&mut self, organisation: UsageKey, window: WindowNumber) {
        self.mark += 1;
        let known = self.windows.entry(window).or_default();
        *known.counts.entry(organisation).or_default() += 1;
        known.mark = self.mark;
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

    /// Returns the windows that the holder with this fencing number doesn't know as they are,
    /// and a mark with which to confirm that it does.
    #[must_use]
    pub fn unconfirmed(&self, fence: u64) -> (Vec<WindowCounts>, u64) {
        let known = if self.told.0 == fence { self.told.1 } else { 0 };
        let changed = self.windows.iter().filter(|(_, window)| window.mark > known);
        let news = changed.map(|(number, window)| WindowCounts {
            window: *number,
            counts: window.counts.iter().map(|(key, count)| (*key, *count)).collect(),
        });
        (news.collect(), self.mark)
    }

    /// Records that a holder has heard the news up to a mark.
    pub fn confirm(&mut self, fence: u64, mark: u64) {
        if self.told.0 == fence {
            self.told.1 = self.told.1.max(mark);
        } else if fence > self.told.0 {
            self.told = (fence, mark);
        }
    }
}
