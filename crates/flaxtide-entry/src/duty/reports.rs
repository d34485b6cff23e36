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
const SETTLE_PART: f64 = 0.7;

/// The part after which a new holder doesn't wait for instances to find it any more.
const LATEST_PART: f64 = 0.93;

/// How long a new holder waits for instances to find it.
const GATHERING: Duration = Duration::from_millis(3500);

/// How long the windows of a holder that nobody follows are kept.
const WINDOWS_KEPT: u64 = 8;

/// How soon a report is sent again that wasn't taken.
const RETRY_PERIOD: Duration = Duration::from_millis(400);

/// The holder's part in reports.
#[derive(Debug)]
pub(super) struct ReportDuty {
    /// The length of a window.
    window: Duration,
    /// Within what time after its end a window is to be reported.
    within: Duration,
    /// The last report that is settled, as the row says.
    settled: Option<UsageReport>,
    /// Whether the platform has acknowledged it.
    pub(super) acknowledged: bool,
    /// What the next write of the row is to settle.
    next: Option<UsageReport>,
    /// No window before this one is reported.
    first: WindowNumber,
    /// What the row last said of windows that aren't settled.
    drafts: BTreeMap<WindowNumber, UsageCounts>,
    /// Since when this instance holds the duties.
    since: Duration,
    /// When a report may be sent again.
    retry_at: Duration,
}

impl ReportDuty {
    /// Starts with nothing known.
    pub(super) fn new(window: Duration, within: Duration) -> Self {
        Self {
            window,
            within,
            settled: None,
            acknowledged: true,
            next: None,
            first: 0,
            drafts: BTreeMap::new(),
            since: Duration::ZERO,
            retry_at: Duration::ZERO,
        }
    }

    /// Records what the row says.
    pub(super) fn take_row(&mut self, row: &DutyRow) {
        let same = self.settled == row.settled;
        self.acknowledged = row.acknowledged || (same && self.acknowledged);
        self.settled.clone_from(&row.settled);
        self.drafts.clone_from(&row.drafts);
        self.first = self.first.max(row.owed_from);
        let settled = self.settled.as_ref().map(|report| report.window);
        if self.next.as_ref().is_some_and(|next| settled >= Some(next.window)) {
            self.next = None;
        }
    }

    /// Takes the duty over. `renewed_store` tells that the store has come back from an older copy
    /// since the row was written: which windows were reported isn't known then, and what may have
    /// been reported isn't again.
    pub(super) fn begin(
        &mut self,
        board: &SharedDuties,
        renewed_store: bool,
        now: Duration,
    ) {
        self.since = now;
        let current = window_of(board.wall_time(), self.window);
        if renewed_store || self.first == 0 {
            self.first = self.first.max(current);
        }
        board.begin_holding(self.drafts.clone(), self.next_window(board));
    }

    /// Writes what is settled into a row.
    pub(super) fn fill(&self, row: &mut DutyRow, board: &SharedDuties, holds: bool) {
        row.settled = self.next.clone().or_else(|| self.settled.clone());
        row.acknowledged = self.acknowledged && self.next.is_none();
        row.owed_from = self.first;
        row.drafts = if holds { board.drafts() } else { self.drafts.clone() };
    }

    /// Returns the report that is to be sent now.
    pub(super) fn due(&self, now: Duration) -> Option<UsageReport> {
        let due = !self.acknowledged && now >= self.retry_at;
        due.then(|| self.settled.clone()).flatten()
    }

    /// Puts off a report that wasn't taken.
    pub(super) fn put_off(&mut self, now: Duration) {
        self.retry_at = now + RETRY_PERIOD;
    }

    /// Prepares the next report, once its window is over and told. Returns whether the row is to
    /// be written for it.
    pub(super) fn settle_next(&mut self, board: &SharedDuties, now: Duration) -> bool {
        if !self.acknowledged || self.next.is_some() {
            return false;
        }
        let window = self.next_window(board);
        let over = board.wall_time().checked_sub(window_end(window, self.window));
        let Some(over) = over else { return false };
        let gathered = now >= self.since + GATHERING;
        let latest = over >= self.within.mul_f64(LATEST_PART);
        if !latest && (over < SETTLE_AFTER || !gathered) {
            return false;
        }
        let late = latest || over >= self.within.mul_f64(SETTLE_PART);
        let (total, complete) = board.window_total(window);
        if !late && !complete {
            return false;
        }
        let names = board.view().organisations;
        let named = total.counts.iter().filter_map(|(organisation, count)| {
            Some((names.get(organisation)?.clone(), *count))
        });
        let counts: BTreeMap<String, u32> = named.collect();
        log::info!(
            window, requests = counts.values().sum::<u32>(), estimated = total.estimated,
            instances = total.sources, missing = total.missing, over_ms = over.as_millis() as u64;
            "usage settled"
        );
        self.next = Some(UsageReport { window, counts });
        true
    }

    /// Returns the window that is to be reported next.
    fn next_window(&self, board: &SharedDuties) -> WindowNumber {
        let current = window_of(board.wall_time(), self.window);
        let next = self.settled.as_ref().map_or(0, |report| report.window + 1);
        next.max(self.first).max(current.saturating_sub(WINDOWS_KEPT))
    }
}
