//! Which servers ended under which requests, and the judgement of a request by that.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::fingerprint::Fingerprint;
use super::report::{CrashReport, IncarnationKey};
use super::suspect::{Suspect, Weight};
use crate::router::CallProgress;

/// A request is sent to no other server once so many have ended under it for which nothing
/// else accounts: two may be chance where a server runs dozens of requests at once, and each
/// further one costs all that run there.
const CRASH_LIMIT: usize = 3;

/// Under so many servers no chance puts an innocent request, whatever else ran there.
const CRASH_LIMIT_IN_COMPANY: usize = 5;

/// How long a request is remembered after it was last seen: longer than callers wait
/// between two tries of the same request.
const LIFE: Duration = Duration::from_secs(600);

/// How often instances tell each other that a request in quarantine still comes. A small
/// part of its life, so that it ends at about the same time everywhere.
const RENEWAL: Duration = Duration::from_secs(60);

/// The most requests that are remembered: 0.3 MB, and more than run on twenty engines.
const MOST_SUSPECTS: usize = 1024;

/// Which servers ended under which requests.
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
    /// The requests that ran on servers that ended.
    suspects: HashMap<Fingerprint, Suspect>,
    /// Which of them ran on each server.
    company: HashMap<IncarnationKey, Vec<Fingerprint>>,
}

impl CrashLog {
    /// Records that a server ended while it ran a request. Returns the report for peers; nothing
    /// if the end is known.
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

    /// Adds what a peer reports. Returns whether that is news.
    pub fn apply(&mut self, report: &CrashReport, now: Duration) -> bool {
        if u128::from(report.idle_ms) >= LIFE.as_millis() {
            return false;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        let is_new = suspect.add(report, now);
        let company = self.company.entry(report.server).or_default();
        if !company.contains(&report.fingerprint) {
            company.push(report.fingerprint);
        }
        self.shrink();
        is_new
    }

    /// Records that a server has answered a request well, so that it is no cause of crashes.
    /// Returns the reports for peers; none if nothing spoke against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) -> Vec<CrashReport> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return vec![] };
        if !suspect.clear() {
            return vec![];
        }
        suspect.reports(fingerprint, now).collect()
    }

    /// Records that a request in quarantine has come again. Returns the reports for peers, if
    /// they haven't been told for long.
    pub fn renew(&mut self, fingerprint: Fingerprint, now: Duration) -> Vec<CrashReport> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return vec![] };
        if now < suspect.seen() + RENEWAL {
            return vec![];
        }
        suspect.see(now);
        suspect.reports(fingerprint, now).collect()
    }

    /// Returns whether a request may be sent to no server.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        let weight = suspect.weight();
        if weight.0 < CRASH_LIMIT {
            return false;
        }
        let moments =
            |explained: &dyn Fn(IncarnationKey) -> bool| suspect.moments(explained);
        moments(&|_| false) >= CRASH_LIMIT_IN_COMPANY
            || moments(&|server| self.explains(server, weight)) >= CRASH_LIMIT
    }

    /// Returns whether more speaks against another request that ran on a server: that one
    /// accounts for the server's end then. Without this, each request that ran beside three
    /// that crash servers would be taken for one of them.
    fn explains(&self, server: IncarnationKey, weight: Weight) -> bool {
        let company = self.company.get(&server).into_iter().flatten();
        let mut suspects = company.filter_map(|other| self.suspects.get(other));
        suspects.any(|other| other.weight() > weight)
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many requests ran on servers that ended.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the requests that may be sent to no server.
    #[must_use]
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        let all = self.suspects.keys().copied();
        all.filter(|fingerprint| self.is_quarantined(*fingerprint)).collect()
    }

    /// Returns everything that is known, at most so many reports, those of the requests that
    /// most speaks against first.
    #[must_use]
    pub fn reports(&self, most: usize, now: Duration) -> Vec<CrashReport> {
        let mut suspects: Vec<(&Fingerprint, &Suspect)> = self.suspects.iter().collect();
        suspects.sort_by_key(|(_, suspect)| {
            std::cmp::Reverse((suspect.weight(), suspect.seen()))
        });
        let reports = suspects
            .into_iter()
            .flat_map(|(fingerprint, suspect)| suspect.reports(*fingerprint, now));
        reports.take(most).collect()
    }

    /// Returns what is known of one request.
    pub fn reports_of(
        &self,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> impl Iterator<Item = CrashReport> + '_ {
        let suspect = self.suspects.get(&fingerprint);
        suspect.into_iter().flat_map(move |it| it.reports(fingerprint, now))
    }

    /// Returns a number that is the same for logs that hold the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let marks = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.marks().map(|mark| (*fingerprint, mark))
        });
        marks.fold(0, |digest, (fingerprint, (server, cleared))| {
            let mut bytes = [0; 21];
            bytes[..16].copy_from_slice(&fingerprint.to_le_bytes());
            bytes[16..20].copy_from_slice(&server.to_le_bytes());
            bytes[20] = u8::from(cleared);
            digest ^ xxh3_64(&bytes)
        })
    }

    /// Forgets requests that haven't been seen for long.
    pub fn expire(&mut self, now: Duration) {
        let old = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now >= suspect.seen() + LIFE);
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in old {
            self.forget(fingerprint);
        }
    }

    /// Forgets the request that least speaks against if there are too many: a caller whose every
    /// request crashes a server doesn't drive out those in quarantine.
    fn shrink(&mut self) {
        if self.suspects.len() <= MOST_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, it)| (it.weight(), it.seen()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.forget(fingerprint);
        }
    }

    /// Forgets a request.
    fn forget(&mut self, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.remove(&fingerprint) else { return };
        for server in suspect.servers() {
            if let Some(company) = self.company.get_mut(&server) {
                company.retain(|other| *other != fingerprint);
                if company.is_empty() {
                    self.company.remove(&server);
                }
            }
        }
    }
}
