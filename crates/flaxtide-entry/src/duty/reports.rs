//! Reports the usage of each window.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{UsageCounts, WindowNumber, window_end, window_of};

use super::shared::SharedDuties;
use crate::contract::{DutyRow, UsageReport};

/// How long after its end a window is settled at the earliest. Instances report to the
/// holder once a second.
const SETTLE_AFTER: Duration = Duration::from_millis(1500);

/// The fraction of `due_within` after which a window is settled although some instances
/// haven't reported all of it.
const INCOMPLETE_SETTLE_FRACTION: f64 = 0.7;

/// The fraction of `due_within` after which a new holder no longer waits for instances to
/// find it.
const FORCED_SETTLE_FRACTION: f64 = 0.93;

/// How long a new holder waits for instances to find it.
const DISCOVERY_WAIT: Duration = Duration::from_millis(3500);

/// The number of past windows for which reports are still sent. Older ones are skipped.
const KEPT_WINDOWS: u64 = 8;

/// The pause before a report is sent again that the platform didn't accept.
const RETRY_PERIOD: Duration = Duration::from_millis(400);

/// Prepares the reports while this instance holds the duties.
#[derive(Debug)]
pub(super) struct ReportDuty {
    /// The length of a window.
    window: Duration,
    /// The time after its end within which a window must be reported.
    due_within: Duration,
    /// The last settled report, as read from or written to the lease's row.
    settled: Option<UsageReport>,
    /// Whether the platform has acknowledged the settled report.
    pub(super) acknowledged: bool,
    /// The report that the next write of the row settles.
    next_report: Option<UsageReport>,
    /// The first window that this and later holders report.
    owed_from: WindowNumber,
    /// The counts of windows that aren't settled, as last read from or written to the
    /// row.
    drafts: BTreeMap<WindowNumber, UsageCounts>,
    /// When this instance took over the duties.
    held_since: Duration,
    /// When a report may be sent again.
    retry_at: Duration,
}

impl ReportDuty {
    /// Creates the duty before the row has been read. Windows have a length of `window`
    /// and are reported within `due_within` of their end.
    pub(super) fn new(window: Duration, due_within: Duration) -> Self {
        Self {
            window,
            due_within,
            settled: None,
            acknowledged: true,
            next_report: None,
            owed_from: 0,
            drafts: BTreeMap::new(),
            held_since: Duration::ZERO,
            retry_at: Duration::ZERO,
        }
    }

    /// Records the contents of the row.
    pub(super) fn record_row(&mut self, row: &DutyRow) {
        let same = self.settled == row.settled;
        self.acknowledged = row.acknowledged || (same && self.acknowledged);
        self.settled.clone_from(&row.settled);
        self.drafts.clone_from(&row.drafts);
        self.owed_from = self.owed_from.max(row.owed_from);
        let settled = self.settled.as_ref().map(|report| report.window);
        if self
            .next_report
            .as_ref()
            .is_some_and(|next| settled >= Some(next.window))
        {
            self.next_report = None;
        }
    }

    /// Starts reporting as a new holder. `store_restored` says that the store was
    /// restored from a backup after the row was written. It isn't known then which
    /// windows were reported, so past windows are skipped instead of being reported
    /// twice.
    pub(super) fn begin(
        &mut self,
        duties: &SharedDuties,
        store_restored: bool,
        now: Duration,
    ) {
        self.held_since = now;
        let current = window_of(duties.wall_time(), self.window);
        if store_restored || self.owed_from == 0 {
            self.owed_from = self.owed_from.max(current);
        }
        duties.begin_holding(self.drafts.clone(), self.next_window(duties));
    }

    /// Fills in the fields of a row that concern reports. `holds` says whether this
    /// instance holds the duties.
    pub(super) fn fill(&self, row: &mut DutyRow, duties: &SharedDuties, holds: bool) {
        row.settled = self.next_report.clone().or_else(|| self.settled.clone());
        row.acknowledged = self.acknowledged && self.next_report.is_none();
        row.owed_from = self.owed_from;
        row.drafts = if holds { duties.drafts() } else { self.drafts.clone() };
    }

    /// Returns the settled report if it should be sent now.
    pub(super) fn due(&self, now: Duration) -> Option<UsageReport> {
        let due = !self.acknowledged && now >= self.retry_at;
        due.then(|| self.settled.clone()).flatten()
    }

    /// Postpones a report that the platform didn't accept.
    pub(super) fn postpone(&mut self, now: Duration) {
        self.retry_at = now + RETRY_PERIOD;
    }

    /// Prepares the next report once its window has ended and its counts are complete, or
    /// it is late. Returns whether the row must be written to settle it.
    pub(super) fn settle_next(&mut self, duties: &SharedDuties, now: Duration) -> bool {
        if !self.acknowledged || self.next_report.is_some() {
            return false;
        }
        let window = self.next_window(duties);
        let elapsed = duties.wall_time().checked_sub(window_end(window, self.window));
        let Some(elapsed) = elapsed else { return false };
        let discovery_over = now >= self.held_since + DISCOVERY_WAIT;
        let is_forced = elapsed >= self.due_within.mul_f64(FORCED_SETTLE_FRACTION);
        if !is_forced && (elapsed < SETTLE_AFTER || !discovery_over) {
            return false;
        }
        let accept_incomplete =
            is_forced || elapsed >= self.due_within.mul_f64(INCOMPLETE_SETTLE_FRACTION);
        let (total, complete) = duties.window_total(window);
        if !accept_incomplete && !complete {
            return false;
        }
        let names = duties.view().organisations;
        let by_name = total.counts.iter().filter_map(|(organisation, count)| {
            Some((names.get(organisation)?.clone(), *count))
        });
        let counts: BTreeMap<String, u32> = by_name.collect();
        log::info!(
            window, requests = counts.values().sum::<u32>(), estimated = total.estimated,
            instances = total.sources, missing = total.missing, over_ms = elapsed.as_millis() as u64;
            "usage settled"
        );
        self.next_report = Some(UsageReport { window, counts });
        true
    }

    /// Returns the next window to settle.
    fn next_window(&self, duties: &SharedDuties) -> WindowNumber {
        let current = window_of(duties.wall_time(), self.window);
        let next = self.settled.as_ref().map_or(0, |report| report.window + 1);
        next.max(self.owed_from).max(current.saturating_sub(KEPT_WINDOWS))
    }
}
