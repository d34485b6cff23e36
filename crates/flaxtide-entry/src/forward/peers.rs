//! The peers that take forwarded requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxtide_core::{DataCentreName, InstanceName, PoolId, ServerId};
use flaxtide_fleet::{PeerInfo, ReachDigest, ReachReply, ReachRequest, fleet_key};
use flaxtide_policy::{ForwardPeer, PoolReach};
use tokio::sync::mpsc;

use crate::feed::FeedEvent;
use crate::state::{ShutdownPhase, TrafficState};

/// How often peers are asked while they should forward requests.
const ASK_PERIOD: Duration = Duration::from_millis(300);

/// How long the answer of a peer counts. A peer that is frozen or cut off drops out after it.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1500);

/// How long a peer's address is remembered after its last answer. Its requests may still run.
const RETENTION: Duration = Duration::from_secs(60);

/// The peers that have told what they reach.
#[derive(Debug, Default)]
pub(crate) struct ForwardPeers {
    /// The peers, by the identifier under which the router knows them.
    peers: RefCell<HashMap<ServerId, KnownPeer>>,
    /// The number of identifiers given to peers.
    ids_given: Cell<ServerId>,
    /// When peers were last asked.
    asked_at: Cell<Option<Duration>>,
    /// The number of times that peers were asked.
    rounds: Cell<u64>,
}

/// A peer and its last answer.
#[derive(Debug)]
struct KnownPeer {
    /// The address at which the peer takes requests.
    address: SocketAddr,
    /// The peer's name.
    name: InstanceName,
    /// The peer's data centre.
    data_centre: DataCentreName,
    /// What the peer reaches.
    pools: Vec<ReachDigest>,
    /// When the peer answered.
    answered_at: Duration,
}

impl KnownPeer {
    /// Returns what the peer reaches of a pool, if its answer still counts.
    fn reach(&self, pool: u32, now: Duration) -> Option<PoolReach> {
        if now >= self.answered_at + ANSWER_VALIDITY {
            return None;
        }
        let digest = self.pools.iter().find(|digest| digest.pool == pool)?;
        Some(PoolReach {
            reached: digest.reached.into(),
            failed: digest.failed.into(),
            untried: 0,
        })
    }
}

impl ForwardPeers {
    /// Returns the address of a peer that the router has chosen, and its name.
    pub(crate) fn find(&self, id: ServerId) -> Option<(SocketAddr, InstanceName)> {
        let peers = self.peers.borrow();
        let peer = peers.get(&id)?;
        Some((peer.address, peer.name.clone()))
    }

    /// Records the answer of a peer.
    pub(crate) fn record(&self, info: PeerInfo, reply: ReachReply, now: Duration) {
        let Some(address) = reply.address else { return };
        let mut peers = self.peers.borrow_mut();
        let known = peers.iter().find(|(_, peer)| peer.address == address);
        let id = known.map_or_else(|| self.next_id(), |(id, _)| *id);
        let peer = KnownPeer {
            address,
            name: info.name,
            data_centre: info.data_centre,
            pools: reply.pools,
            answered_at: now,
        };
        peers.insert(id, peer);
        peers.retain(|_, peer| now < peer.answered_at + RETENTION);
    }

    /// Returns the identifier for a new peer. Servers are numbered from 0.
    fn next_id(&self) -> ServerId {
        self.ids_given.set(self.ids_given.get() + 1);
        ServerId::MAX - self.ids_given.get()
    }

    /// Asks peers if they should forward requests of a service, and tells the router who can be used.
    pub(crate) fn maintain(
        &self,
        state: &TrafficState,
        events: &mpsc::Sender<FeedEvent>,
    ) {
        let pools = state.with_router(|core, _| core.forwarding_pools());
        if pools.is_empty() {
            return;
        }
        let now = state.now();
        if self.asked_at.get().is_none_or(|at| now >= at + ASK_PERIOD) {
            self.asked_at.set(Some(now));
            self.rounds.set(self.rounds.get() + 1);
            state.fleet.ask_reach(ReachRequest {
                round: self.rounds.get(),
                answer: answer_handler(events),
            });
        }
        for pool in pools {
            self.update_router(state, pool);
        }
    }

    /// Tells the router which peers can be used for a pool.
    pub(crate) fn update_router(&self, state: &TrafficState, pool: PoolId) {
        let Some(service) = state.pool_name(pool) else { return };
        let (key, now) = (fleet_key(&service), state.now());
        let own = state.config().data_centre.clone();
        let peers = self.peers.borrow();
        let usable = peers.iter().filter_map(|(id, peer)| {
            Some(ForwardPeer {
                peer: *id,
                local: peer.data_centre == own,
                reach: peer.reach(key, now)?,
            })
        });
        let usable: Vec<ForwardPeer> = usable.collect();
        drop(peers);
        state.run_router(|core, now| core.set_forward_peers(pool, &usable, now));
    }
}

/// Returns the handler that passes the answers of peers to the traffic thread.
fn answer_handler(events: &mpsc::Sender<FeedEvent>) -> flaxtide_fleet::ReachHandler {
    let events = events.clone();
    Arc::new(move |info, reply| {
        // A dropped answer is repeated with the next request.
        let _ = events.try_send(FeedEvent::PeerReach(info, reply));
    })
}

/// Returns what this instance offers to peers: nothing while it stops or has no room.
pub(crate) fn offer(state: &TrafficState) -> ReachReply {
    let config = state.config();
    let is_open = state.phase() == ShutdownPhase::Serving && state.carried.has_room();
    let pools = state.with_router(|core, _| core.offered_pools());
    let digests = pools.into_iter().filter_map(|(pool, reach)| {
        Some(ReachDigest {
            pool: fleet_key(&state.pool_name(pool)?),
            reached: u16::try_from(reach.reached).unwrap_or(u16::MAX),
            failed: u16::try_from(reach.failed).unwrap_or(u16::MAX),
        })
    });
    ReachReply {
        address: config.forward.filter(|_| is_open),
        pools: digests.collect(),
    }
}
