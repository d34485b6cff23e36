//! What servers have said that the platform doesn't list just now. The row of a server that is
//! there may lapse and come back.

use std::collections::VecDeque;

use flaxtide_core::ServerId;

use super::server::ServerPushback;

/// Of how many servers it is kept.
const MAX_SERVERS: usize = 1024;

/// What servers have said that the platform doesn't list just now, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct UnlistedPushback {
    /// What each has said.
    servers: VecDeque<(ServerId, ServerPushback)>,
}

impl UnlistedPushback {
    /// Keeps what servers have said that aren't listed any more.
    pub(crate) fn keep(
        &mut self,
        servers: impl Iterator<Item = (ServerId, ServerPushback)>,
    ) {
        self.servers.extend(servers);
        let surplus = self.servers.len().saturating_sub(MAX_SERVERS);
        self.servers.drain(..surplus);
    }

    /// Returns what a server has said that is listed again, or is new.
    pub(crate) fn take(&mut self, server: ServerId) -> ServerPushback {
        let index = self.servers.iter().position(|(id, _)| *id == server);
        let kept = index.and_then(|index| self.servers.remove(index));
        kept.map(|(_, pushback)| pushback).unwrap_or_default()
    }
}
