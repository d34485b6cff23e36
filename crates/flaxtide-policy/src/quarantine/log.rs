//! Which servers crashed while they ran which requests and prompt parts, and which of these
//! are quarantined for it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::fingerprint::{Fingerprint, part_fingerprint, part_of};
use super::report::{CrashReport, IncarnationKey};
use super::suspect::{Suspect, SuspicionScore};
use crate::router::CallProgress;

/// A request or part is quarantined once this many independent crashes have no better
/// explanation. Two may be a coincidence where a server runs dozens of requests at once,
/// and each further crash costs all requests that run there.
pub(super) const CRASH_LIMIT: usize = 3;

/// A request or part with this many independent crashes is quarantined even if others
/// explain them: an innocent one doesn't meet so many by chance.
const UNCONDITIONAL_CRASH_LIMIT: usize = 5;

/// How long a request is remembered after it was last seen. Longer than callers wait
/// between two tries of the same request.
const RETENTION: Duration = Duration::from_secs(600);

/// How often instances tell each other that a quarantined request still arrives. Much
/// shorter than [`RETENTION`], so that the quarantine ends at about the same time
/// everywhere.
const RENEWAL_PERIOD: Duration = Duration::from_secs(60);

/// The most requests and parts that are remembered. They take 0.3 MB, and are more than run
/// on twenty engines at once.
const MAX_SUSPECTS: usize = 1024;

/// The crashes of servers and the requests that were running.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{CallProgress, CrashLog};
/// let mut log = CrashLog::default();
/// for (second, server) in [(1, 71), (2, 72), (3, 73)] {
///     let now = Duration::from_secs(second);
///     log.record(7, server, CallProgress { sent: now, begun: false }, now);
/// }
/// assert!(log.is_quarantined(7));
/// assert!(!log.is_quarantined(8));
/// ```
#[derive(Debug, Default)]
pub struct CrashLog {
    /// The requests that were running when servers crashed.
    suspects: HashMap<Fingerprint, Suspect>,
    /// The requests that were running in the crash of each server.
    suspects_by_server: HashMap<IncarnationKey, Vec<Fingerprint>>,
}

impl CrashLog {
    /// Records that a server crashed while it ran a request. Returns the report for
    /// peers, or `None` if the crash was known.
    pub fn record(
        &mut self,
        fingerprint: Fingerprint,
        server: IncarnationKey,
        progress: CallProgress,
        now: Duration,
    ) -> Option<CrashReport> {
        let ran = now.saturating_sub(progress.sent).as_millis();
        let report = CrashReport {
            fingerprint,
            server,
            age_ms: 0,
            ran_ms: u32::try_from(ran).unwrap_or(u32::MAX),
            idle_ms: 0,
            begun: progress.begun,
            cleared: false,
        };
        self.apply(&report, now).then_some(report)
    }

    /// Merges a peer's report. Returns whether it was new.
    pub fn apply(&mut self, report: &CrashReport, now: Duration) -> bool {
        if u128::from(report.idle_ms) >= RETENTION.as_millis() {
            return false;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        let is_new = suspect.add(report, now);
        let fingerprints = self.suspects_by_server.entry(report.server).or_default();
        if !fingerprints.contains(&report.fingerprint) {
            fingerprints.push(report.fingerprint);
        }
        self.evict_lowest_score();
        is_new
    }

    /// Records that a server has sent a complete response to a request, which therefore
    /// didn't cause the crashes in which it ran. Returns the reports for peers; none if
    /// no crashes were held against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) -> Vec<CrashReport> {
        self.clear_before(fingerprint, now, now)
    }

    /// Records that a server has responded to a request with a part that was sent at `sent`,
    /// so that the part didn't cause the crashes before. One that has become harmful since
    /// may still be in responses that began earlier. Returns the reports for peers.
    pub fn clear_part(
        &mut self,
        part: u64,
        sent: Duration,
        now: Duration,
    ) -> Vec<CrashReport> {
        self.clear_before(part_fingerprint(part), sent, now)
    }

    /// Clears a suspect of the crashes before a time. Returns the reports for peers.
    fn clear_before(
        &mut self,
        fingerprint: Fingerprint,
        before: Duration,
        now: Duration,
    ) -> Vec<CrashReport> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return vec![] };
        if !suspect.clear_before(before) {
            return vec![];
        }
        suspect.reports(fingerprint, now).collect()
    }

    /// Records that a quarantined request has arrived again. Returns the reports for
    /// peers, if the request was last seen more than a minute ago.
    pub fn renew(&mut self, fingerprint: Fingerprint, now: Duration) -> Vec<CrashReport> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return vec![] };
        if now < suspect.last_seen() + RENEWAL_PERIOD {
            return vec![];
        }
        suspect.touch(now);
        suspect.reports(fingerprint, now).collect()
    }

    /// Returns what keeps a request with some prompt parts from being sent to any server: its
    /// own fingerprint or that of a part, or `None` if it may be sent.
    #[must_use]
    pub fn find_quarantined(
        &self,
        request: Fingerprint,
        parts: &[u64],
    ) -> Option<Fingerprint> {
        match self.is_quarantined(request) {
            true => Some(request),
            false => self.find_quarantined_part(parts),
        }
    }

    /// Returns which of some prompt parts keeps requests with all of them from being sent to any
    /// server, or `None` if none does.
    #[must_use]
    pub fn find_quarantined_part(&self, parts: &[u64]) -> Option<Fingerprint> {
        let parts = parts.iter().map(|part| part_fingerprint(*part));
        let suspects = parts.clone().filter(|part| self.is_quarantined(*part));
        let suspects: Vec<Fingerprint> = suspects.collect();
        if suspects.is_empty() {
            return None;
        }
        let parts: HashSet<Fingerprint> = parts.collect();
        suspects
            .into_iter()
            .find(|suspect| !self.has_alternative(*suspect, &parts))
    }

    /// Returns whether a part that isn't among those of a request explains all crashes of one
    /// that is. Parts that have always run together can only be told apart by a request that
    /// has one of them.
    fn has_alternative(
        &self,
        fingerprint: Fingerprint,
        parts: &HashSet<Fingerprint>,
    ) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        let Some(first) = suspect.open_servers().next() else { return false };
        let others = self.suspects_by_server.get(&first).into_iter().flatten();
        others.copied().any(|other| {
            part_of(other).is_some()
                && !parts.contains(&other)
                && self.suspects.get(&other).is_some_and(|other| {
                    suspect.open_servers().all(|server| other.has_open_crash(server))
                })
        })
    }

    /// Returns whether a request or a part has the evidence against it that keeps it from
    /// being sent to any server.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        let score = suspect.score();
        if score.0 < CRASH_LIMIT {
            return false;
        }
        let independent_crashes = |explained: &dyn Fn(IncarnationKey) -> bool| {
            suspect.independent_crashes(explained)
        };
        let is_part = part_of(fingerprint).is_some();
        independent_crashes(&|_| false) >= UNCONDITIONAL_CRASH_LIMIT
            || independent_crashes(&|server| {
                self.has_stronger_suspect(server, score, is_part)
            }) >= CRASH_LIMIT
    }

    /// Returns whether another suspect on the server has a higher score than `score`, and so
    /// explains the crash, unless others explain all crashes of that one. Without this check,
    /// a request that ran beside three requests that crash servers would be quarantined with
    /// them. A request that came again and again explains the crashes of its parts: a part
    /// that is to blame has more than any request.
    fn has_stronger_suspect(
        &self,
        server: IncarnationKey,
        score: SuspicionScore,
        is_part: bool,
    ) -> bool {
        self.suspects_of(server).any(|(fingerprint, other)| {
            let is_request = part_of(fingerprint).is_none();
            let is_stronger = other.score() > score
                || (is_part && is_request && other.score() == score);
            // One that comes often runs at the crashes of several others.
            let is_frequent = other.score().0 > score.0 && self.is_ambiguous(fingerprint);
            is_stronger && !is_frequent
        })
    }

    /// Returns a request or part that was running when a server crashed.
    pub(super) fn suspect(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        self.suspects.get(&fingerprint)
    }

    /// Returns whether any other request isn't cleared of a crash.
    pub(super) fn has_other_suspects(&self, fingerprint: Fingerprint) -> bool {
        let mut others = self.suspects.iter();
        others.any(|(other, suspect)| {
            *other != fingerprint
                && part_of(*other).is_none()
                && suspect.open_servers().next().is_some()
        })
    }

    /// Returns the requests and parts that were running when a server crashed.
    pub(super) fn suspects_of(
        &self,
        server: IncarnationKey,
    ) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let fingerprints = self.suspects_by_server.get(&server).into_iter().flatten();
        fingerprints.filter_map(|other| Some((*other, self.suspects.get(other)?)))
    }

    /// Returns whether a server is known to have crashed while it ran a request.
    #[must_use]
    pub fn has_crashed(&self, server: IncarnationKey) -> bool {
        self.suspects_by_server.contains_key(&server)
    }

    /// Returns whether no requests are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns when a suspect was last seen, and how many servers crashed under it that it
    /// isn't cleared of.
    #[must_use]
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<(Duration, usize)> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some((suspect.last_seen(), suspect.score().0))
    }

    /// Returns the number of requests and parts that were running when a server crashed.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the quarantined requests and parts.
    #[must_use]
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        let all = self.suspects.keys().copied();
        all.filter(|fingerprint| self.is_quarantined(*fingerprint)).collect()
    }

    /// Returns at most `max` reports of everything that is remembered, those of the
    /// highest scores first.
    #[must_use]
    pub fn reports(&self, max: usize, now: Duration) -> Vec<CrashReport> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| {
            std::cmp::Reverse((suspect.score(), suspect.last_seen()))
        });
        let reports = suspects
            .into_iter()
            .flat_map(|(fingerprint, suspect)| suspect.reports(*fingerprint, now));
        reports.take(max).collect()
    }

    /// Returns the reports of one request.
    pub fn reports_of(
        &self,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> impl Iterator<Item = CrashReport> + '_ {
        let suspect = self.suspects.get(&fingerprint);
        suspect.into_iter().flat_map(move |it| it.reports(fingerprint, now))
    }

    /// Returns a hash that is equal for logs with equal contents.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let crash_marks = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.crash_marks().map(|mark| (*fingerprint, mark))
        });
        crash_marks.fold(0, |digest, (fingerprint, (server, cleared))| {
            let mut bytes = [0; 21];
            bytes[..16].copy_from_slice(&fingerprint.to_le_bytes());
            bytes[16..20].copy_from_slice(&server.to_le_bytes());
            bytes[20] = u8::from(cleared);
            digest ^ xxh3_64(&bytes)
        })
    }

    /// Drops requests that were last seen more than ten minutes ago.
    pub fn expire(&mut self, now: Duration) {
        let old = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now >= suspect.last_seen() + RETENTION);
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in old {
            self.remove(fingerprint);
        }
    }

    /// If there are too many requests, drops the one with the lowest score. So a caller
    /// whose every request crashes a server can't displace those in quarantine.
    fn evict_lowest_score(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let lowest = self
            .suspects
            .iter()
            .min_by_key(|(_, it)| (it.score(), it.last_seen()));
        if let Some(fingerprint) = lowest.map(|(fingerprint, _)| *fingerprint) {
            self.remove(fingerprint);
        }
    }

    /// Removes a request.
    fn remove(&mut self, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.remove(&fingerprint) else { return };
        for server in suspect.servers() {
            if let Some(fingerprints) = self.suspects_by_server.get_mut(&server) {
                fingerprints.retain(|other| *other != fingerprint);
                if fingerprints.is_empty() {
                    self.suspects_by_server.remove(&server);
                }
            }
        }
    }
}
