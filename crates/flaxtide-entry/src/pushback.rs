//! The statements of servers, and their exchange with peers; on the traffic thread. A statement
//! is the rate limit, the backoff, the refusals that it can make or the departure that a server
//! announces in the headers of a response. A report passes it on to peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_fleet::FleetKey;
use flaxtide_policy::{
    PushbackReport, ReportEffect, ReportSchedule, RequestRate, ServerStatement,
    StatedRate, StatementChange, refusal_key,
};

use crate::state::TrafficState;

/// The maximum number of reports kept for servers that aren't listed yet, and of reports that
/// wait for the fleet thread.
const MAX_KEPT_REPORTS: usize = 1024;

/// Applies the statements of servers and exchanges them with peers.
#[derive(Debug, Default)]
pub(crate) struct PushbackExchange {
    /// Reports that the fleet thread hasn't accepted yet, and when they were made.
    unsent: RefCell<Vec<(Duration, PushbackReport)>>,
    /// Reports about servers that aren't listed yet, and when they were received.
    pending: RefCell<HashMap<FleetKey, (Duration, PushbackReport)>>,
    /// When each server's statement is due to be reported to peers again.
    schedule: RefCell<ReportSchedule>,
    /// The same for the refusals that servers can make.
    refusal_schedule: RefCell<ReportSchedule>,
}

impl PushbackExchange {
    /// Applies what a server states in a response to a request that was sent at `sent`.
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
            self.publish(state, server);
        }
        let change = state
            .with_router(|core, now| core.record_statement(server, statement, sent, now));
        if let Some(duration) = change.and_then(|change| change.new_backoff) {
            log_backoff(state, server, duration);
        }
        self.report_refusals(state, server, statement, change);
        let due = self.schedule.borrow().is_due(server, statement.rate, state.now());
        match change.filter(|change| change.rate_changed) {
            Some(StatementChange { rate, share, .. }) => {
                log_rate(state, server, rate, share, "server");
                self.publish(state, server);
            }
            None if due => self.publish(state, server),
            None => {}
        }
    }

    /// Reports to peers how many requests a server can refuse, if that has changed or is due.
    fn report_refusals(
        &self,
        state: &TrafficState,
        server: ServerId,
        statement: ServerStatement,
        change: Option<StatementChange>,
    ) {
        if let Some(change) = change.filter(|change| change.refusals_changed) {
            log_refusals(state, server, change.refusals, "server");
            return self.publish_refusals(state, server);
        }
        let stated = match statement.refusal_limit {
            None if statement.rate == StatedRate::Unstated => return,
            limit => to_rate(limit),
        };
        if self.refusal_schedule.borrow().is_due(server, stated, state.now()) {
            self.publish_refusals(state, server);
        }
    }

    /// Applies reports from peers.
    pub(crate) fn apply_reports(&self, state: &TrafficState, reports: &[PushbackReport]) {
        for report in reports {
            self.apply_report(state, report, state.now());
        }
    }

    /// Applies a report that was received at `received_at`.
    fn apply_report(
        &self,
        state: &TrafficState,
        report: &PushbackReport,
        received_at: Duration,
    ) {
        if let Some(server) = state.server_with_key(refusal_key(report.server)) {
            return self.apply_refusals(state, server, report, received_at);
        }
        let server = state.server_with_key(report.server);
        if report.leaving && server.is_some_and(|server| state.mark_leaving(server)) {
            log_leaving(state, server.unwrap_or_default(), "peer");
        }
        let effect = server.and_then(|server| {
            let stated_at = report.heard_at(received_at);
            state.with_router(|core, now| {
                core.record_peer_rate(server, report.rate, stated_at, now)
            })
        });
        match (server, effect) {
            (Some(server), Some(ReportEffect::Changed)) => {
                log_rate(state, server, report.rate, None, "peer");
            }
            // This instance has a newer statement of the server, which the peer lacks.
            (Some(server), Some(ReportEffect::Outdated)) => self.publish(state, server),
            (Some(_), Some(ReportEffect::Known)) => {}
            _ => self.keep_pending(*report, received_at),
        }
    }

    /// Applies a report of how many requests a server can refuse.
    fn apply_refusals(
        &self,
        state: &TrafficState,
        server: ServerId,
        report: &PushbackReport,
        received_at: Duration,
    ) {
        let refusals = report.rate.map(|rate| rate.per_second().round() as u32);
        let heard_at = report.heard_at(received_at);
        let effect = state.with_router(|core, now| {
            core.record_peer_refusals(server, refusals, heard_at, now)
        });
        match effect {
            Some(ReportEffect::Outdated) => return self.publish_refusals(state, server),
            Some(ReportEffect::Changed) => log_refusals(state, server, refusals, "peer"),
            Some(ReportEffect::Known) | None => {}
        }
        if refusals.is_some() {
            // Peers have just been told, so this instance needn't tell them yet.
            let mut schedule = self.refusal_schedule.borrow_mut();
            schedule.record_sent(server, to_rate(refusals), state.now());
        }
    }

    /// Keeps a report until its server is listed. If there are too many, the oldest is dropped:
    /// its server may have left before this instance started.
    fn keep_pending(&self, report: PushbackReport, received_at: Duration) {
        let mut pending = self.pending.borrow_mut();
        pending.insert(report.server, (received_at, report));
        if pending.len() > MAX_KEPT_REPORTS {
            let oldest = pending.iter().min_by_key(|(_, (received_at, _))| *received_at);
            let oldest = oldest.map(|(server, _)| *server);
            oldest.and_then(|server| pending.remove(&server));
        }
    }

    /// Applies the reports about servers that have been listed since.
    pub(crate) fn apply_pending(&self, state: &TrafficState) {
        for (received_at, report) in self.pending.take().into_values() {
            self.apply_report(state, &report, received_at);
        }
    }

    /// Retries unsent reports. Called periodically.
    pub(crate) fn maintain(&self, state: &TrafficState) {
        for (at, report) in self.unsent.take() {
            self.send(state, at, report);
        }
        self.schedule.borrow_mut().expire(state.now());
        self.refusal_schedule.borrow_mut().expire(state.now());
    }

    /// Publishes the latest statement of a server to peers, and whether it is leaving.
    pub(crate) fn publish(&self, state: &TrafficState, server: ServerId) {
        let known = state.with_router(|core, _| core.stated_rate(server));
        let (Some(key), Some((rate, stated_at))) = (state.server_key(server), known)
        else {
            return;
        };
        let stated = rate.map_or(StatedRate::Unlimited, StatedRate::Limited);
        self.schedule.borrow_mut().record_sent(server, stated, state.now());
        let leaving = state.is_leaving(server);
        let report = PushbackReport { server: key, rate, age_ms: 0, leaving };
        self.send(state, stated_at, report);
    }

    /// Publishes to peers how many requests a server can refuse.
    fn publish_refusals(&self, state: &TrafficState, server: ServerId) {
        let known = state.with_router(|core, _| core.stated_refusals(server));
        let (Some(key), Some((refusals, heard_at))) = (state.server_key(server), known)
        else {
            return;
        };
        let stated = to_rate(refusals);
        let mut schedule = self.refusal_schedule.borrow_mut();
        schedule.record_sent(server, stated, state.now());
        let rate = match stated {
            StatedRate::Limited(rate) => Some(rate),
            _ => None,
        };
        let server = refusal_key(key);
        let report = PushbackReport { server, rate, age_ms: 0, leaving: false };
        self.send(state, heard_at, report);
    }

    /// Passes a report to the fleet thread, or keeps it for later if its queue is full.
    fn send(&self, state: &TrafficState, at: Duration, report: PushbackReport) {
        if !state.fleet.report_pushback(report, &state.clock, at) {
            let mut unsent = self.unsent.borrow_mut();
            unsent.push((at, report));
            let surplus = unsent.len().saturating_sub(MAX_KEPT_REPORTS);
            unsent.drain(..surplus);
        }
    }
}

/// Updates the metrics of servers that push back.
pub(crate) fn update_pushback_metrics(state: &TrafficState) {
    let count = state.with_router(|core, now| core.count_pushback(now));
    let counts = [
        ("limited", count.limited),
        ("resting", count.backing_off),
        ("cold", count.cold),
        ("refusing", count.refusing),
    ];
    for (kind, count) in counts {
        state.metrics.pushback.with_label_values(&[kind]).set(count as i64);
    }
}

/// Logs that a server announces that it is leaving.
fn log_leaving(state: &TrafficState, server: ServerId, source: &'static str) {
    let name = state.server_name(server).unwrap_or_default();
    log::info!(server = name, source; "server is leaving");
}

/// Logs that a server asks not to be sent requests for a while.
fn log_backoff(state: &TrafficState, server: ServerId, duration: Duration) {
    let name = state.server_name(server).unwrap_or_default();
    log::info!(server = name, rest_ms = duration.as_millis() as u64; "server asks for backoff");
}

/// Returns a number of refusals a second in the form of a rate, in which peers are told of it.
fn to_rate(refusals: Option<u32>) -> StatedRate {
    let rate = refusals.and_then(|number| RequestRate::from_per_second(number.into()));
    rate.map_or(StatedRate::Unlimited, StatedRate::Limited)
}

/// Logs a change of the number of requests that a server can refuse in a second. It is -1 if the
/// server states none.
fn log_refusals(
    state: &TrafficState,
    server: ServerId,
    refusals: Option<u32>,
    source: &'static str,
) {
    let name = state.server_name(server).unwrap_or_default();
    let refusals = refusals.map_or(-1, i64::from);
    log::info!(server = name, source, refusals; "stated refusals changed");
}

/// Logs a change of the request rate that a server states. `rate` is -1 if there is no limit;
/// `part` is this instance's share of it, or -1 if that is unknown.
fn log_rate(
    state: &TrafficState,
    server: ServerId,
    rate: Option<RequestRate>,
    share: Option<f64>,
    source: &'static str,
) {
    log::info!(
        server = state.server_name(server).unwrap_or_default(), source,
        rate = rate.map_or(-1.0, RequestRate::per_second), part = share.unwrap_or(-1.0);
        "stated request rate changed"
    );
}
