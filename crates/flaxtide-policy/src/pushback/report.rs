//! What instances tell each other of what backend servers have said.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::statement::RequestRate;
use crate::quarantine::IncarnationKey;

/// How long it is remembered what a server said: longer than the time after which instances
/// that still hear it say so again.
const LIFE: Duration = Duration::from_secs(120);

/// The most servers of which it is remembered.
const MOST_SERVERS: usize = 4096;

/// What one start of a server has said, as an instance tells its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushbackReport {
    /// The server.
    pub server: IncarnationKey,
    /// The rate that it takes from all instances; nothing if it takes what it can.
    pub rate: Option<RequestRate>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
    /// Whether it has ever said that it is leaving.
    pub leaving: bool,
}

/// What a report does to what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// It is news.
    Changed,
    /// It says what is known.
    Known,
    /// The server has said something else since, which the reporter is to be told.
    Outdated,
}

/// What servers have said, as far as instances have told each other.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{PushbackLog, PushbackReport, ReportEffect, RequestRate};
/// let mut log = PushbackLog::default();
/// let now = Duration::from_secs(9);
/// let rate = RequestRate::from_per_second(2.0);
/// let limited = PushbackReport { server: 1, rate, age_ms: 10, leaving: false };
/// let older = PushbackReport { rate: None, age_ms: 500, ..limited };
/// assert_eq!(log.apply(&limited, now), ReportEffect::Changed);
/// assert_eq!(log.apply(&older, now), ReportEffect::Outdated);
/// ```
#[derive(Debug, Default)]
pub struct PushbackLog {
    /// What each server said last.
    words: HashMap<IncarnationKey, ServerWord>,
}

/// What a server said last.
#[derive(Debug, Clone, Copy)]
struct ServerWord {
    /// The rate that it takes from all instances.
    rate: Option<RequestRate>,
    /// When an instance heard it.
    heard: Duration,
    /// Whether it has ever said that it is leaving.
    leaving: bool,
    /// When a report last told something newer.
    learnt: Duration,
}

impl PushbackLog {
    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Adds a report. Returns what it does to what is known.
    pub fn apply(&mut self, report: &PushbackReport, now: Duration) -> ReportEffect {
        let PushbackReport { rate, leaving, .. } = *report;
        let heard = report.heard_at(now);
        let Some(word) = self.words.get_mut(&report.server) else {
            self.make_place(now);
            self.words
                .insert(report.server, ServerWord { rate, heard, leaving, learnt: now });
            return ReportEffect::Changed;
        };
        // Leaving is for good, so it needs no time.
        let leaves = leaving && !word.leaving;
        if leaves || heard > word.heard {
            word.learnt = now;
        }
        word.leaving |= leaving;
        let outdated = rate != word.rate && heard <= word.heard;
        let changes = rate != word.rate && !outdated;
        if !outdated {
            word.rate = rate;
            word.heard = heard.max(word.heard);
        }
        match (leaves || changes, outdated) {
            (true, _) => ReportEffect::Changed,
            (false, true) => ReportEffect::Outdated,
            (false, false) => ReportEffect::Known,
        }
    }

    /// Returns the report of a server.
    #[must_use]
    pub fn report_of(
        &self,
        server: IncarnationKey,
        now: Duration,
    ) -> Option<PushbackReport> {
        let word = self.words.get(&server)?;
        let age = now.saturating_sub(word.heard).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        let ServerWord { rate, leaving, .. } = *word;
        Some(PushbackReport { server, rate, age_ms, leaving })
    }

    /// Returns the reports of all servers that state a rate or leave, up to so many.
    #[must_use]
    pub fn reports(&self, most: usize, now: Duration) -> Vec<PushbackReport> {
        let recent = |word: &ServerWord| now < word.learnt + LIFE;
        let said = self
            .words
            .iter()
            .filter(|(_, word)| (word.rate.is_some() || word.leaving) && recent(word));
        let reports = said.filter_map(|(server, _)| self.report_of(*server, now));
        reports.take(most).collect()
    }

    /// Forgets what is old, and the oldest if there is no place for one more.
    fn make_place(&mut self, now: Duration) {
        if self.words.len() < MOST_SERVERS {
            return;
        }
        self.words.retain(|_, word| now < word.learnt + LIFE);
        let oldest = self.words.iter().min_by_key(|(_, word)| word.learnt);
        let oldest = oldest.map(|(server, _)| *server);
        if let Some(server) = oldest.filter(|_| self.words.len() >= MOST_SERVERS) {
            self.words.remove(&server);
        }
    }
}

impl PushbackReport {
    /// Returns when the server said so.
    #[must_use]
    pub fn heard_at(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(u64::from(self.age_ms)))
    }
}
