//! Which quarantined requests may be sent once more, to find out whether they crash servers.
//!
//! Requests that ran at the same crashes can't be told apart by these. All of them are
//! quarantined, so one that is sent again runs without the others: it is either answered,
//! which clears it, or accused by a crash of its own.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::fingerprint::{Fingerprint, part_of};
use super::log::{CRASH_LIMIT, CrashLog};
use super::report::IncarnationKey;
use super::suspect::Suspect;

/// How long after a crash all instances know which requests ran there. No trial begins, and
/// no verdict is final before.
const EVIDENCE_DELAY: Duration = Duration::from_secs(1);

/// The range of the random delay of each trial besides, so that requests which can't be told
/// apart aren't tried at the same time.
const TRIAL_SPREAD: Duration = Duration::from_secs(2);

impl CrashLog {
    /// Returns from when on a quarantined request may be sent to one server by one instance,
    /// or `None` if it may not: one of its crashes has no other explanation.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flaxtide_policy::{CallProgress, CrashLog};
    /// let mut log = CrashLog::default();
    /// let mut crash = |request, server, second| {
    ///     let now = Duration::from_secs(second);
    ///     log.record(request, server, CallProgress { sent: now, begun: false }, now);
    /// };
    /// for server in 1..=3 {
    ///     crash(7, server, 1);
    ///     crash(8, server, 1);
    /// }
    /// assert!(log.trial_due(7).is_some());
    /// log.record(
    ///     7,
    ///     4,
    ///     CallProgress { sent: Duration::from_secs(5), begun: false },
    ///     Duration::from_secs(5),
    /// );
    /// assert!(log.trial_due(7).is_none());
    /// ```
    #[must_use]
    pub fn trial_due(&self, fingerprint: Fingerprint) -> Option<Duration> {
        if !self.is_ambiguous(fingerprint) {
            return None;
        }
        let (last, at) = self.suspect(fingerprint)?.last_crash()?;
        let mut bytes = [0; 20];
        bytes[..16].copy_from_slice(&fingerprint.to_le_bytes());
        bytes[16..].copy_from_slice(&last.to_le_bytes());
        let draw = xxh3_64(&bytes) as f64 / u64::MAX as f64;
        Some(at + EVIDENCE_DELAY + TRIAL_SPREAD.mul_f64(draw))
    }

    /// Returns whether the crashes of a quarantined request accuse it alone. While there are
    /// other suspects, these may turn out to have run at its last crash too.
    #[must_use]
    pub fn is_conclusive(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let last = self.suspect(fingerprint).and_then(Suspect::last_crash);
        let is_settled = last.is_some_and(|(_, at)| now >= at + EVIDENCE_DELAY);
        !self.is_ambiguous(fingerprint)
            && (is_settled || !self.has_other_suspects(fingerprint))
    }

    /// Returns whether each crash in which a request ran may have been caused by another one.
    pub(super) fn is_ambiguous(&self, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspect(fingerprint) else { return false };
        let mut servers = suspect.open_servers();
        part_of(fingerprint).is_none()
            && servers.all(|server| self.has_other_cause(fingerprint, server))
    }

    /// Returns whether a server may have crashed by another request: one that isn't cleared of
    /// it either, and that ran at enough crashes to be quarantined.
    fn has_other_cause(&self, fingerprint: Fingerprint, server: IncarnationKey) -> bool {
        self.suspects_of(server).any(|(other, suspect)| {
            other != fingerprint
                && part_of(other).is_none()
                && suspect.score().0 >= CRASH_LIMIT
                && suspect.has_open_crash(server)
        })
    }
}
