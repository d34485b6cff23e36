//! What servers say of themselves in their answers, and what peers have heard them say, on the
//! traffic thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_fleet::FleetKey;
use flaxtide_policy::{
    PushbackReport, ReportEffect, ReportSchedule, RequestRate, ServerStatement,
    StatedRate, StatementChange,
};

use crate::state::TrafficState;

/// Of how many servers it is kept that peers reported before the platform listed them, and how
/// many reports wait for the fleet thread.
const MOST_KEPT: usize = 1024;

/// What is exchanged with peers of what servers say.
#[derive(Debug, Default)]
pub(crate) struct PushbackExchange {
    /// Reports that the fleet thread hasn't taken, and when they were made.
    unsent: RefCell<Vec<(Duration, PushbackReport)>>,
    /// Reports of servers that aren't listed yet, and when they came.
    unplaced: RefCell<HashMap<FleetKey, (Duration, PushbackReport)>>,
    /// When peers are told again of each server.
    schedule: RefCell<ReportSchedule>,
}

impl PushbackExchange {
    /// Handles what a server states in an answer to a request that was sent at `sent`.
    pub(crate) fn apply_statement(
        &self,
        state: &TrafficState,
        server: ServerId,
        statement: ServerStatement,
        sent: Duration,
    ) {
        if statement.rate == StatedRate::Unreadable {
            state.metrics.statements_ignored.inc();
        }
        if statement.leaving && state.mark_leaving(server) {
            log_leaving(state, server, "server");
            self.tell(state, server);
        }
        let note = state
            .with_router(|core, now| core.record_statement(server, statement, sent, now));
        if let Some(span) = note.and_then(|note| note.new_backoff) {
            log_rest(state, server, span);
        }
        let due = self.schedule.borrow().is_due(server, statement.rate, state.now());
        match note.filter(|note| note.rate_changed) {
            Some(StatementChange { rate, share, .. }) => {
                log_rate(state, server, rate, share, "server");
                self.tell(state, server);
            }
            None if due => self.tell(state, server),
            None => {}
        }
    }

    /// Handles what peers have heard servers say.
    pub(crate) fn apply_reports(&self, state: &TrafficState, reports: &[PushbackReport]) {
        for report in reports {
            self.hear_peer(state, report, state.now());
        }
    }

    /// Handles a report that came at `came`.
    fn hear_peer(&self, state: &TrafficState, report: &PushbackReport, came: Duration) {
        let server = state.server_with_key(report.server);
        if report.leaving && server.is_some_and(|server| state.mark_leaving(server)) {
            log_leaving(state, server.unwrap_or_default(), "peer");
        }
        let effect = server.and_then(|server| {
            let heard = report.heard_at(came);
            state.with_router(|core, now| {
                core.record_peer_rate(server, report.rate, heard, now)
            })
        });
        match (server, effect) {
            (Some(server), Some(ReportEffect::Changed)) => {
                log_rate(state, server, report.rate, None, "peer");
            }
            // The server has told this instance something else since.
            (Some(server), Some(ReportEffect::Outdated)) => self.tell(state, server),
            (Some(_), Some(ReportEffect::Known)) => {}
            _ => self.keep_unplaced(*report, came),
        }
    }

    /// Keeps a report until its server is listed. The oldest goes if there are too many: its server
    /// may have left before this instance started.
    fn keep_unplaced(&self, report: PushbackReport, came: Duration) {
        let mut unplaced = self.unplaced.borrow_mut();
        unplaced.insert(report.server, (came, report));
        if unplaced.len() > MOST_KEPT {
            let oldest = unplaced.iter().min_by_key(|(_, (came, _))| *came);
            let oldest = oldest.map(|(server, _)| *server);
            oldest.and_then(|server| unplaced.remove(&server));
        }
    }

    /// Applies the reports of servers that are listed by now.
    pub(crate) fn place(&self, state: &TrafficState) {
        for (came, report) in self.unplaced.take().into_values() {
            self.hear_peer(state, &report, came);
        }
    }

    /// Tells the fleet thread what it hasn't taken. To be called often.
    pub(crate) fn maintain(&self, state: &TrafficState) {
        for (at, report) in self.unsent.take() {
            self.send(state, at, report);
        }
        self.schedule.borrow_mut().expire(state.now());
    }

    /// Tells peers what a server has said.
    fn tell(&self, state: &TrafficState, server: ServerId) {
        let known = state.with_router(|core, _| core.stated_rate(server));
        let (Some(key), Some((rate, heard))) = (state.server_key(server), known) else {
            return;
        };
        let stated = rate.map_or(StatedRate::Unlimited, StatedRate::Limited);
        self.schedule.borrow_mut().record_sent(server, stated, state.now());
        let leaving = state.is_leaving(server);
        let report = PushbackReport { server: key, rate, age_ms: 0, leaving };
        self.send(state, heard, report);
    }

    /// Hands a report to the fleet thread, or keeps it until it takes more.
    fn send(&self, state: &TrafficState, at: Duration, report: PushbackReport) {
        if !state.fleet.report_pushback(report, &state.clock, at) {
            let mut unsent = self.unsent.borrow_mut();
            unsent.push((at, report));
            let surplus = unsent.len().saturating_sub(MOST_KEPT);
            unsent.drain(..surplus);
        }
    }
}

/// Shows how many servers ask for less.
pub(crate) fn show_pushback(state: &TrafficState) {
    let count = state.with_router(|core, now| core.count_pushback(now));
    for (kind, count) in [("limited", count.limited), ("resting", count.backing_off)] {
        state.metrics.pushback.with_label_values(&[kind]).set(count as i64);
    }
}

/// Logs that a server says that it leaves.
fn log_leaving(state: &TrafficState, server: ServerId, source: &'static str) {
    let name = state.server_name(server).unwrap_or_default();
    log::info!(server = name, source; "server says that it leaves");
}

/// Logs that a server wants nothing from this instance for a while.
fn log_rest(state: &TrafficState, server: ServerId, span: Duration) {
    let name = state.server_name(server).unwrap_or_default();
    log::info!(server = name, rest_ms = span.as_millis() as u64; "server asks for rest");
}

/// Logs what rate a server states.
fn log_rate(
    state: &TrafficState,
    server: ServerId,
    rate: Option<RequestRate>,
    part: Option<f64>,
    source: &'static str,
) {
    log::info!(
        server = state.server_name(server).unwrap_or_default(), source,
        rate = rate.map_or(-1.0, RequestRate::per_second), part = part.unwrap_or(-1.0);
        "server states"
    );
}
