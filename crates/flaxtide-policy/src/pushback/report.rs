//! Reports between instances of what backend servers have stated.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::statement::RequestRate;
use crate::quarantine::IncarnationKey;

/// How long the statement of a server is kept without a newer report. Longer than the
/// period after which instances that still hear the statement report it again.
const RETENTION: Duration = Duration::from_secs(120);

/// The most servers whose statements are kept.
const MAX_SERVERS: usize = 4096;

/// The last statement of one incarnation of a server, as one instance reports it to
/// others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushbackReport {
    /// The incarnation of the server.
    pub server: IncarnationKey,
    /// The rate that the server states for all instances; `None` if it states no limit.
    pub rate: Option<RequestRate>,
    /// How long before this report the statement was heard, in milliseconds.
    pub age_ms: u32,
    /// Whether the server has ever stated that it is leaving.
    pub leaving: bool,
}

/// How a report relates to what is known of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report changes what is known.
    Changed,
    /// The report agrees with what is known.
    Known,
    /// The server has stated something else since, and the reporter should be told.
    Outdated,
}

/// The last statement of each server, merged from reports.
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
    /// The last statement of each incarnation of a server.
    statements: HashMap<IncarnationKey, LastStatement>,
}

/// The last known statement of a server.
#[derive(Debug, Clone, Copy)]
struct LastStatement {
    /// The rate for all instances; `None` if the server states no limit.
    rate: Option<RequestRate>,
    /// When an instance heard the statement from the server.
    heard_at: Duration,
    /// Whether the server has ever stated that it is leaving.
    leaving: bool,
    /// When a report last brought a newer statement.
    updated_at: Duration,
}

impl PushbackLog {
    /// Returns whether the log has no statements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Merges a report into the log. Returns how it relates to what was known.
    pub fn apply(&mut self, report: &PushbackReport, now: Duration) -> ReportEffect {
        let PushbackReport { rate, leaving, .. } = *report;
        let heard = report.heard_at(now);
        let Some(statement) = self.statements.get_mut(&report.server) else {
            self.evict_if_full(now);
            self.statements.insert(
                report.server,
                LastStatement { rate, heard_at: heard, leaving, updated_at: now },
            );
            return ReportEffect::Changed;
        };
        // A server that is leaving stays so, whichever report is newer.
        let starts_leaving = leaving && !statement.leaving;
        if starts_leaving || heard > statement.heard_at {
            statement.updated_at = now;
        }
        statement.leaving |= leaving;
        let outdated = rate != statement.rate && heard <= statement.heard_at;
        let changes = rate != statement.rate && !outdated;
        if !outdated {
            statement.rate = rate;
            statement.heard_at = heard.max(statement.heard_at);
        }
        match (starts_leaving || changes, outdated) {
            (true, _) => ReportEffect::Changed,
            (false, true) => ReportEffect::Outdated,
            (false, false) => ReportEffect::Known,
        }
    }

    /// Returns a report of what is known of a server.
    #[must_use]
    pub fn report_of(
        &self,
        server: IncarnationKey,
        now: Duration,
    ) -> Option<PushbackReport> {
        let statement = self.statements.get(&server)?;
        let age = now.saturating_sub(statement.heard_at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        let LastStatement { rate, leaving, .. } = *statement;
        Some(PushbackReport { server, rate, age_ms, leaving })
    }

    /// Returns reports of servers that state a rate or are leaving, at most `max`.
    /// Statements without a newer report within two minutes are left out.
    #[must_use]
    pub fn reports(&self, max: usize, now: Duration) -> Vec<PushbackReport> {
        let recent = |statement: &LastStatement| now < statement.updated_at + RETENTION;
        let relevant = self.statements.iter().filter(|(_, statement)| {
            (statement.rate.is_some() || statement.leaving) && recent(statement)
        });
        let reports = relevant.filter_map(|(server, _)| self.report_of(*server, now));
        reports.take(max).collect()
    }

    /// If the log is full, drops expired statements, and the least recently updated one
    /// if that doesn't make space.
    fn evict_if_full(&mut self, now: Duration) {
        if self.statements.len() < MAX_SERVERS {
            return;
        }
        self.statements
            .retain(|_, statement| now < statement.updated_at + RETENTION);
        let oldest = self
            .statements
            .iter()
            .min_by_key(|(_, statement)| statement.updated_at);
        let oldest = oldest.map(|(server, _)| *server);
        if let Some(server) = oldest.filter(|_| self.statements.len() >= MAX_SERVERS) {
            self.statements.remove(&server);
        }
    }
}

/// Set in the key under which the refusals that a server can make are reported.
const REFUSAL_MASK: IncarnationKey = 0x5245_4655;

/// Returns the key under which the refusals that a server can make are reported, and the
/// other way round. These reports have the form of those of rates, so that instances of
/// earlier versions store them and hand them on.
///
/// ```
/// use flaxtide_policy::refusal_key;
/// assert_ne!(refusal_key(7), 7);
/// assert_eq!(refusal_key(refusal_key(7)), 7);
/// ```
#[must_use]
pub fn refusal_key(server: IncarnationKey) -> IncarnationKey {
    server ^ REFUSAL_MASK
}

impl PushbackReport {
    /// Returns when the statement was heard, for a report received at `now`.
    #[must_use]
    pub fn heard_at(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(u64::from(self.age_ms)))
    }
}
