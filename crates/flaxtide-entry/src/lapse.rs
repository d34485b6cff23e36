//! How long a server stays in use after its row has disappeared from the platform's list.
//!
//! The row of a server that has left is gone for good. That of a server that couldn't renew it,
//! because the platform was unavailable, comes back within about two seconds.

use std::collections::HashMap;
use std::time::Duration;

use flaxtide_fleet::AnswerSpan;

use crate::budget::{LeaveBudget, MAX_AGE_FRACTION};

/// How long a server whose row is missing stays in use if nothing points to an outage, as a
/// fraction of `leave_within`, the time within which a leaving server must get no more
/// requests. A leaving server serves for longer than this, so requests sent to it meanwhile
/// aren't lost, and the remaining servers take over its work.
const REMOVAL_GRACE_FRACTION: f64 = 0.4;

/// The longest time for which a server stays in use whose row disappears while the platform
/// answers, even after an outage; as a fraction of `leave_within`. The sum of this, of the pause
/// between calls and of the period in which rows are checked stays below `leave_within`.
const MAX_GRACE_FRACTION: f64 = 0.55;

/// How long servers have to rewrite their rows after the platform returns: they do so within
/// two seconds. An instance may read them later by [`MAX_AGE_FRACTION`] of `leave_within`.
/// Records of an outage that are no further apart belong to one outage.
const RECOVERY_GRACE: Duration = Duration::from_millis(2200);

/// Rows found missing this soon after the platform returns disappeared during the outage.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);

/// Rows that disappear within this time of each other count as disappearing together.
const MASS_LAPSE_WINDOW: Duration = Duration::from_millis(1500);

/// If at least this fraction of a service's rows, and at least two, disappear together, they
/// may not have been renewed in time. The servers stay in use for as long as is allowed for
/// servers that have left.
const MASS_LAPSE_FRACTION: f64 = 0.34;

/// The times at which an outage of the platform was recorded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutageSpan {
    /// When it was first recorded.
    since: Duration,
    /// When it was last recorded.
    last: Duration,
}

impl OutageSpan {
    /// Extends the last outage to `now`, or begins another one.
    pub(crate) fn extend(last: Option<Self>, now: Duration) -> Self {
        let last = last.filter(|outage| now <= outage.last + RECOVERY_GRACE);
        Self {
            since: last.map_or(now, |outage| outage.since),
            last: now,
        }
    }

    /// Returns an outage that may have ended when the platform began to answer; it may not have been
    /// noticed. Without answers, it may have ended just before the row was found missing.
    pub(crate) fn unnoticed(answers: Option<AnswerSpan>, row: MissingRow) -> Self {
        let last = answers.map_or(row.noticed_at, |answers| answers.since);
        Self { since: Duration::ZERO, last }
    }

    /// Returns the outage that was recorded last.
    pub(crate) fn latest(self, other: Option<Self>) -> Self {
        other.filter(|other| other.last > self.last).unwrap_or(self)
    }
}

/// The times that are known about a missing row.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MissingRow {
    /// When this instance noticed that the row was missing.
    pub(crate) noticed_at: Duration,
    /// The last time at which the row was known to be listed.
    pub(crate) last_seen_at: Duration,
}

impl MissingRow {
    /// Returns whether the row was found missing when the platform had been answering instances for
    /// so long that it would have been back, had it lapsed in an outage. `max_gap` is the longest
    /// gap between two answers that isn't an outage.
    pub(crate) fn is_gone(
        self,
        answers: AnswerSpan,
        max_gap: Duration,
        leave_within: Duration,
    ) -> bool {
        let read_age = leave_within.mul_f64(MAX_AGE_FRACTION);
        answers.since + RECOVERY_GRACE + read_age <= self.noticed_at
            && self.noticed_at <= answers.until + max_gap
    }
}

/// How many rows of a service disappeared together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LapseExtent {
    /// A few rows.
    Few,
    /// Many rows.
    Many,
    /// The rows of all servers.
    All,
}

/// The missing rows of all services.
#[derive(Debug)]
pub(crate) struct ServiceLapses<'a> {
    /// When the rows of each service were noticed to be missing, in order.
    noticed_at: HashMap<&'a str, Vec<Duration>>,
    /// The number of servers of each service.
    sizes: &'a HashMap<String, usize>,
}

impl<'a> ServiceLapses<'a> {
    /// Sorts the missing rows of services by time.
    pub(crate) fn new(
        rows: impl Iterator<Item = (&'a str, MissingRow)>,
        sizes: &'a HashMap<String, usize>,
    ) -> Self {
        let mut noticed_at: HashMap<&str, Vec<Duration>> = HashMap::new();
        for (service, row) in rows {
            noticed_at.entry(service).or_default().push(row.noticed_at);
        }
        noticed_at.values_mut().for_each(|times| times.sort_unstable());
        Self { noticed_at, sizes }
    }

    /// Returns how many rows of a service disappeared together with `row`.
    pub(crate) fn extent(&self, service: &str, row: MissingRow) -> LapseExtent {
        let times = self.noticed_at.get(service).map_or(&[][..], Vec::as_slice);
        let servers = self.sizes.get(service).copied().unwrap_or_default();
        let at = row.noticed_at;
        let first = times.partition_point(|other| *other + MASS_LAPSE_WINDOW <= at);
        let end = times.partition_point(|other| *other < at + MASS_LAPSE_WINDOW);
        let together = end - first;
        if together < 2 || (together as f64) < MASS_LAPSE_FRACTION * servers as f64 {
            LapseExtent::Few
        } else if together < servers {
            LapseExtent::Many
        } else {
            LapseExtent::All
        }
    }
}

/// Returns until when a server stays in use whose row has disappeared. `leave_within` is the
/// time within which a leaving server must get no more requests. Only rows that may have
/// disappeared in an outage may keep servers for longer than [`LeaveBudget`] allows.
pub(crate) fn grace_end(
    row: MissingRow,
    extent: LapseExtent,
    outage: Option<OutageSpan>,
    leave_within: Duration,
) -> Duration {
    let noticed_at = row.noticed_at;
    let scaled = |fraction| leave_within.mul_f64(fraction);
    let latest_end = row.last_seen_at + LeaveBudget::new(leave_within).latest_removal();
    let normal_end = match extent {
        LapseExtent::Many | LapseExtent::All => latest_end,
        LapseExtent::Few => (noticed_at + scaled(REMOVAL_GRACE_FRACTION)).min(latest_end),
    };
    // A row that disappeared while the platform answered means that the server has left, even
    // if an outage has begun since.
    let Some(outage) = outage.filter(|outage| noticed_at >= outage.since) else {
        return normal_end;
    };
    let recovery_end = outage.last + RECOVERY_GRACE + scaled(MAX_AGE_FRACTION);
    if noticed_at <= outage.last + RECOVERY_WINDOW {
        let was_seen_since = row.last_seen_at > outage.last;
        return if was_seen_since { recovery_end.min(latest_end) } else { recovery_end };
    }
    recovery_end
        .max(normal_end)
        .min(noticed_at + scaled(MAX_GRACE_FRACTION))
        .min(latest_end)
}
