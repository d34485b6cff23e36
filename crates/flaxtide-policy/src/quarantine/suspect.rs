//! What is known of one request that ran on servers that ended.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::{CrashReport, IncarnationKey};

/// Servers that end within this time of each other, each with a copy of the request, may end for
/// a common cause, such as the power of their rack.
const SAME_MOMENT: Duration = Duration::from_millis(40);

/// How much later a peer's crash may seem here than it was, for the way of its report.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// A server that ended under a request.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SeenCrash {
    /// When the request had been sent to it.
    sent: Duration,
    /// When it ended.
    at: Duration,
    /// Whether it had begun to answer.
    begun: bool,
    /// Whether another server has answered the request since.
    cleared: bool,
}

impl SeenCrash {
    /// Returns whether an earlier one may have the same cause. A request that was sent after
    /// the earlier server had ended ran alone at the later one.
    fn may_share_cause(&self, earlier: &SeenCrash) -> bool {
        self.at < earlier.at + SAME_MOMENT && self.sent + REPORT_DELAY < earlier.at
    }
}

/// How much speaks against a request: on how many servers that ended it ran, and on how many
/// of these it hadn't been begun to be answered. What crashes servers does so at each, and
/// mostly at once.
pub(super) type Weight = (usize, usize);

/// A request that ran on servers that ended.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// The servers.
    crashes: BTreeMap<IncarnationKey, SeenCrash>,
    /// When the request was last seen.
    seen: Duration,
}

impl Suspect {
    /// Adds what a report tells. Returns whether that is news.
    pub(super) fn add(&mut self, report: &CrashReport, now: Duration) -> bool {
        let ago = |millis: u32| now.saturating_sub(Duration::from_millis(millis.into()));
        self.seen = self.seen.max(ago(report.idle_ms));
        let told = SeenCrash {
            sent: ago(report.age_ms.saturating_add(report.ran_ms)),
            at: ago(report.age_ms),
            begun: report.begun,
            cleared: report.cleared,
        };
        let mut is_new = false;
        let known = self.crashes.entry(report.server).or_insert_with(|| {
            is_new = true;
            told
        });
        is_new |= report.cleared && !known.cleared;
        known.cleared |= report.cleared;
        is_new
    }

    /// Records that the request came again.
    pub(super) fn see(&mut self, now: Duration) {
        self.seen = self.seen.max(now);
    }

    /// Returns when the request was last seen.
    pub(super) fn seen(&self) -> Duration {
        self.seen
    }

    /// Records that a server has answered the request. Returns whether that is news.
    pub(super) fn clear(&mut self) -> bool {
        let mut is_new = false;
        for crash in self.crashes.values_mut() {
            is_new |= !std::mem::replace(&mut crash.cleared, true);
        }
        is_new
    }

    /// Returns the servers that ended under it.
    pub(super) fn servers(&self) -> impl Iterator<Item = IncarnationKey> + '_ {
        self.crashes.keys().copied()
    }

    /// Returns the servers, and whether each end is cleared.
    pub(super) fn marks(&self) -> impl Iterator<Item = (IncarnationKey, bool)> + '_ {
        self.crashes.iter().map(|(server, crash)| (*server, crash.cleared))
    }

    /// Returns how much speaks against it.
    pub(super) fn weight(&self) -> Weight {
        let open = self.crashes.values().filter(|crash| !crash.cleared);
        let counts = open.map(|crash| (1, usize::from(!crash.begun)));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Returns at how many moments servers ended that nothing else explains.
    pub(super) fn moments(&self, explained: impl Fn(IncarnationKey) -> bool) -> usize {
        let open = self.crashes.iter().filter(|(_, crash)| !crash.cleared);
        let open = open.filter(|(server, _)| !explained(**server));
        let mut crashes: Vec<&SeenCrash> = open.map(|(_, crash)| crash).collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut last: Option<&SeenCrash> = None;
        let mut moments = 0;
        for crash in crashes {
            if last.is_none_or(|last| !crash.may_share_cause(last)) {
                moments += 1;
                last = Some(crash);
            }
        }
        moments
    }

    /// Returns its reports.
    pub(super) fn reports(
        &self,
        fingerprint: u128,
        now: Duration,
    ) -> impl Iterator<Item = CrashReport> + '_ {
        let idle_ms = age(self.seen, now);
        self.crashes.iter().map(move |(server, crash)| CrashReport {
            fingerprint,
            server: *server,
            age_ms: age(crash.at, now),
            ran_ms: age(crash.sent, crash.at),
            idle_ms,
            begun: crash.begun,
            cleared: crash.cleared,
        })
    }
}

/// Returns how long ago something was, in milliseconds.
fn age(at: Duration, now: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
