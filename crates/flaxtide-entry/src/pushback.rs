//! What servers say of themselves in their answers, handled on the traffic thread.

use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::{ServerStatement, StatedRate, StatementNote};

use crate::state::TrafficState;

/// Handles what a server states in an answer to a request that was sent at `sent`.
pub(crate) fn hear_statement(
    state: &TrafficState,
    server: ServerId,
    statement: ServerStatement,
    sent: Duration,
) {
    if statement.rate == StatedRate::Unreadable {
        state.metrics.statements_ignored.inc();
    }
    let note = state.ask(|core, now| core.hear_statement(server, statement, sent, now));
    if let Some(StatementNote { rate, part }) = note {
        log::info!(
            server = state.server_name(server).unwrap_or_default(),
            rate = rate.map_or(-1.0, |rate| rate.per_second()),
            part = part.unwrap_or(-1.0);
            "server states"
        );
    }
}
