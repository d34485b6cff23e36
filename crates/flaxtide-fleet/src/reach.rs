//! Requests to peers for the servers that they reach.

use std::sync::Arc;

use tarpc::context::Context;

use crate::info::PeerInfo;
use crate::shared::{ANSWER_TIMEOUT, FleetShared};
use crate::wire::{PeerLinkClient, ReachReply};

/// Receives the answer of a peer.
pub type ReachHandler = Arc<dyn Fn(PeerInfo, ReachReply) + Send + Sync>;

/// A request to some peers for the servers that they reach.
pub struct ReachRequest {
    /// The number of the request; each number asks other peers.
    pub round: u64,
    /// The callback that receives each answer.
    pub answer: ReachHandler,
}

impl std::fmt::Debug for ReachRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ReachRequest {}", self.round)
    }
}

/// Asks peers which servers they reach.
pub(crate) fn ask_reach(shared: &Arc<FleetShared>, request: &ReachRequest) {
    let now = shared.clock.now();
    let candidates = shared.node().reach_candidates(request.round, now);
    for peer in candidates {
        tokio::spawn(ask_peer(shared.clone(), peer, request.answer.clone()));
    }
}

/// Asks a peer which servers it reaches. Without an answer, the callback isn't called.
async fn ask_peer(shared: Arc<FleetShared>, peer: PeerInfo, answer: ReachHandler) {
    let ask = |client: PeerLinkClient, context: Context| async move {
        client.reach(context).await
    };
    if let Some(reply) = shared.call_peer(&peer, ANSWER_TIMEOUT, ask).await {
        answer(peer, reply);
    }
}
