//! Statements of servers that the platform doesn't list at the moment. The row of a
//! running server may expire and come back.

use std::collections::VecDeque;

use flaxtide_core::ServerId;

use super::server::ServerPushback;

/// The most servers whose statements are kept.
const MAX_SERVERS: usize = 1024;

/// The statements of unlisted servers, oldest first.
#[derive(Debug, Default)]
pub(crate) struct UnlistedPushback {
    /// The servers and what they stated.
    servers: VecDeque<(ServerId, ServerPushback)>,
}

impl UnlistedPushback {
    /// Keeps the statements of servers that aren't listed any more.
    pub(crate) fn keep(
        &mut self,
        servers: impl Iterator<Item = (ServerId, ServerPushback)>,
    ) {
        self.servers.extend(servers);
        let surplus = self.servers.len().saturating_sub(MAX_SERVERS);
        self.servers.drain(..surplus);
    }

    /// Removes and returns the statements of a server that is listed again. Returns empty
    /// ones if none are kept.
    pub(crate) fn take(&mut self, server: ServerId) -> ServerPushback {
        let index = self.servers.iter().position(|(id, _)| *id == server);
        let kept = index.and_then(|index| self.servers.remove(index));
        kept.map(|(_, pushback)| pushback).unwrap_or_default()
    }
}
