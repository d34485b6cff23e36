//! What servers say of themselves in their answers.

use flaxtide_core::ServerId;

use super::RouteCore;
use crate::pushback::ServerStatement;

impl RouteCore {
    /// Takes in what a server states in an answer. Returns whether that is something else than
    /// in its answer before.
    pub fn hear_statement(
        &mut self,
        server: ServerId,
        statement: ServerStatement,
    ) -> bool {
        let mut pools = self.pools.values_mut();
        let known = pools.find_map(|pool| pool.servers.get_mut(&server));
        known.is_some_and(|server| server.pushback.hear(statement))
    }
}
