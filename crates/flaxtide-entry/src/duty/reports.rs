//! Reports of usage: one for each window.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{UsageCounts, WindowNumber, window_end, window_of};

use super::shared::SharedDuties;
use crate::contract::{DutyRow, UsageReport};

/// How long after its end a window may be settled: instances tell once a second.
const SETTLE_AFTER: Duration = Duration::from_millis(1500);

/// The part of the time within which a report is due after which a window is settled though
/// not everyone has told.
const INCOMPLETE_SETTLE_FRACTION: f64 = 0.7;

/// The part after which a new holder doesn't wait for instances to find it any more.
const FORCED_SETTLE_FRACTION: f64 = 0.93;

/// How long a new holder waits for instances to find it.
const DISCOVERY_WAIT: Duration = Duration::from_millis(3500);

/// How long the windows of a holder that nobody follows are kept.
const KEPT_WINDOWS: u64 = 8;

/// How soon a report is sent again that wasn't taken.
const RETRY_PERIOD: Duration = Duration::from_millis(400);

/// The holder's part in reports.
#[derive(Debug)]
pub(super) struct ReportDuty {
    /// The length of a window.
    window: Duration,
    /// Within what time after its end a window is to be reported.
    due_within: Duration,
    /// The last report that is settled, as the row says.
    settled: Option<UsageReport>,
    /// Whether the platform has acknowledged it.
    pub(super) acknowledged: bool,
    /// What the next write of the row is to settle.
    next_report: Option<UsageReport>,
    /// No window before this one is reported.
    owed_from: WindowNumber,
    /// What the row last said of windows that aren't settled.
    drafts: BTreeMap<WindowNumber, UsageCounts>,
    /// Since when this instance holds the duties.
    held_since: Duration,
    /// When a report may be sent again.
    retry_at: Duration,
}

impl ReportDuty {
    /// Starts with nothing known.
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

    /// Records what the row says.
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

    /// Takes the duty over. `renewed_store` tells that the store has come back from an older copy
    /// since the row was written: which windows were reported isn't known then, and what may have
    /// been reported isn't again.
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

    /// Writes what is settled into a row.
    pub(super) fn fill(&self, row: &mut DutyRow, duties: &SharedDuties, holds: bool) {
        row.settled = self.next_report.clone().or_else(|| self.settled.clone());
        row.acknowledged = self.acknowledged && self.next_report.is_none();
        row.owed_from = self.owed_from;
        row.drafts = if holds { duties.drafts() } else { self.drafts.clone() };
    }

    /// Returns the report that is to be sent now.
    pub(super) fn due(&self, now: Duration) -> Option<UsageReport> {
        let due = !self.acknowledged && now >= self.retry_at;
        due.then(|| self.settled.clone()).flatten()
    }

    /// Puts off a report that wasn't taken.
    pub(super) fn postpone(&mut self, now: Duration) {
        self.retry_at = now + RETRY_PERIOD;
    }

    /// Prepares the next report, once its window is over and told. Returns whether the row is to
    /// be written for it.
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
        let may_be_incomplete =
            is_forced || elapsed >= self.due_within.mul_f64(INCOMPLETE_SETTLE_FRACTION);
        let (total, complete) = duties.window_total(window);
        if !may_be_incomplete && !complete {
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

    /// Returns the window that is to be reported next.
    fn next_window(&self, duties: &SharedDuties) -> WindowNumber {
        let current = window_of(duties.wall_time(), self.window);
        let next = self.settled.as_ref().map_or(0, |report| report.window + 1);
        next.max(self.owed_from).max(current.saturating_sub(KEPT_WINDOWS))
    }
}
