//! What servers say of themselves in their answers, handled on the traffic thread.

use flaxtide_core::ServerId;
use flaxtide_policy::{ServerStatement, StatedRate};

use crate::state::TrafficState;

/// Handles what a server states in an answer.
pub(crate) fn hear_statement(
    state: &TrafficState,
    server: ServerId,
    statement: ServerStatement,
) {
    if statement.rate == StatedRate::Unreadable {
        state.metrics.statements_ignored.inc();
    }
    if !state.ask(|core, _| core.hear_statement(server, statement)) {
        return;
    }
    let ServerStatement { rate, leaving, rest } = statement;
    log::info!(
        server = state.server_name(server).unwrap_or_default(), rate:?, leaving,
        rest_ms = rest.map_or(0, |rest| rest.as_millis() as u64);
        "server states"
    );
}
