//! What one start of a backend server has said of itself.

use super::statement::{ServerStatement, StatedRate};

/// What one start of a backend server has said of itself.
#[derive(Debug, Default)]
pub(crate) struct ServerPushback {
    /// What it said last.
    stated: ServerStatement,
}

impl ServerPushback {
    /// Records what an answer states. Returns whether that is something else than before.
    pub(crate) fn hear(&mut self, mut statement: ServerStatement) -> bool {
        if statement.rate == StatedRate::Unreadable {
            statement.rate = self.stated.rate;
        }
        let changes = statement.rest.is_some() || statement != self.stated;
        self.stated = statement;
        changes
    }
}
