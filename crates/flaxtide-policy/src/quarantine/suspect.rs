//! The crashes in which one request, or one prompt part, was running.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::{CrashReport, IncarnationKey};

/// Crashes this close in time, of servers that each ran a copy of the request, may have a
/// common cause, such as a power loss in their rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(40);

/// How much later than it happened a peer's crash may appear here, because its report
/// takes time.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// The crash of a server that was running the request.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServerCrash {
    /// When the request was sent to the server.
    sent: Duration,
    /// When the server crashed.
    at: Duration,
    /// Whether the server had begun to respond.
    begun: bool,
    /// Whether the request has got a complete response from another server since.
    cleared: bool,
}

impl ServerCrash {
    /// Returns whether this crash may have the same cause as an earlier one. If the
    /// request was sent to this server only after the earlier crash, the two crashes are
    /// independent.
    fn may_share_cause(&self, earlier: &ServerCrash) -> bool {
        self.at < earlier.at + COMMON_CAUSE_WINDOW
            && self.sent + REPORT_DELAY < earlier.at
    }
}

/// The evidence that a request causes crashes: the number of crashed servers that ran it,
/// then how many of these hadn't begun to respond to it. A request that crashes servers
/// does so on each, and mostly before the first token.
pub(super) type SuspicionScore = (usize, usize);

/// A request or part that was running when servers crashed.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// The crash of each server.
    crashes: BTreeMap<IncarnationKey, ServerCrash>,
    /// When the request was last seen.
    last_seen: Duration,
}

impl Suspect {
    /// Merges a report. Returns whether it was new.
    pub(super) fn add(&mut self, report: &CrashReport, now: Duration) -> bool {
        let ago = |millis: u32| now.saturating_sub(Duration::from_millis(millis.into()));
        self.last_seen = self.last_seen.max(ago(report.idle_ms));
        let reported = ServerCrash {
            sent: ago(report.age_ms.saturating_add(report.ran_ms)),
            at: ago(report.age_ms),
            begun: report.begun,
            cleared: report.cleared,
        };
        let mut is_new = false;
        let known = self.crashes.entry(report.server).or_insert_with(|| {
            is_new = true;
            reported
        });
        is_new |= report.cleared && !known.cleared;
        known.cleared |= report.cleared;
        is_new
    }

    /// Records that the request arrived again.
    pub(super) fn touch(&mut self, now: Duration) {
        self.last_seen = self.last_seen.max(now);
    }

    /// Returns when the request was last seen.
    pub(super) fn last_seen(&self) -> Duration {
        self.last_seen
    }

    /// Clears the request of all crashes before a time. Returns whether any wasn't cleared
    /// yet.
    pub(super) fn clear_before(&mut self, before: Duration) -> bool {
        let mut is_new = false;
        for crash in self.crashes.values_mut().filter(|crash| crash.at <= before) {
            is_new |= !std::mem::replace(&mut crash.cleared, true);
        }
        is_new
    }

    /// Returns the servers whose crashes it isn't cleared of.
    pub(super) fn open_servers(&self) -> impl Iterator<Item = IncarnationKey> + '_ {
        let open = self.crashes.iter().filter(|(_, crash)| !crash.cleared);
        open.map(|(server, _)| *server)
    }

    /// Returns the last crash that it isn't cleared of: the server, and when it crashed.
    pub(super) fn last_crash(&self) -> Option<(IncarnationKey, Duration)> {
        let open = self.crashes.iter().filter(|(_, crash)| !crash.cleared);
        let open = open.map(|(server, crash)| (*server, crash.at));
        open.max_by_key(|(server, at)| (*at, *server))
    }

    /// Returns whether it isn't cleared of the crash of a server.
    pub(super) fn has_open_crash(&self, server: IncarnationKey) -> bool {
        self.crashes.get(&server).is_some_and(|crash| !crash.cleared)
    }

    /// Returns the servers that crashed while they ran the request.
    pub(super) fn servers(&self) -> impl Iterator<Item = IncarnationKey> + '_ {
        self.crashes.keys().copied()
    }

    /// Returns the crashed servers, and whether the request was cleared of each crash.
    pub(super) fn crash_marks(
        &self,
    ) -> impl Iterator<Item = (IncarnationKey, bool)> + '_ {
        self.crashes.iter().map(|(server, crash)| (*server, crash.cleared))
    }

    /// Returns the score from the crashes that aren't cleared.
    pub(super) fn score(&self) -> SuspicionScore {
        let open = self.crashes.values().filter(|crash| !crash.cleared);
        let counts = open.map(|crash| (1, usize::from(!crash.begun)));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Returns the number of independent crashes that are neither cleared nor
    /// `explained`.
    pub(super) fn independent_crashes(
        &self,
        explained: impl Fn(IncarnationKey) -> bool,
    ) -> usize {
        let open = self.crashes.iter().filter(|(_, crash)| !crash.cleared);
        let open = open.filter(|(server, _)| !explained(**server));
        let mut crashes: Vec<&ServerCrash> = open.map(|(_, crash)| crash).collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut last: Option<&ServerCrash> = None;
        let mut count = 0;
        for crash in crashes {
            if last.is_none_or(|last| !crash.may_share_cause(last)) {
                count += 1;
                last = Some(crash);
            }
        }
        count
    }

    /// Returns a report of each crash.
    pub(super) fn reports(
        &self,
        fingerprint: u128,
        now: Duration,
    ) -> impl Iterator<Item = CrashReport> + '_ {
        let idle_ms = millis_since(self.last_seen, now);
        self.crashes.iter().map(move |(server, crash)| CrashReport {
            fingerprint,
            server: *server,
            age_ms: millis_since(crash.at, now),
            ran_ms: millis_since(crash.sent, crash.at),
            idle_ms,
            begun: crash.begun,
            cleared: crash.cleared,
        })
    }
}

/// Returns the time since `at`, in milliseconds.
fn millis_since(at: Duration, now: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
