//! Heartbeats and replies: how a node builds and handles them.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{rendezvous_order, rendezvous_owner};

use super::{FleetNode, FleetNotice, OutgoingHeartbeat};
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::wire::{FleetHeartbeat, HeartbeatReply, UsageCount};

impl FleetNode {
    /// Returns the heartbeats that are due.
    pub fn due_heartbeats(&mut self, now: Duration) -> Vec<OutgoingHeartbeat> {
        if self.heartbeat_at.is_some_and(|at| now < at + self.period())
            && !self.may_send_updates(now)
        {
            return vec![];
        }
        let cost = self.timing.update_cost_per_instance * self.known_near();
        let saved = now.saturating_sub(cost * self.timing.update_burst);
        self.paid_until = self.paid_until.max(saved) + cost;
        self.has_updates = false;
        self.heartbeat_at = Some(now);
        self.rounds += 1;
        self.forget_lost(now);
        self.refresh(now);
        self.heartbeats()
    }

    /// Returns whether there are updates, and enough time is saved up to tell them now.
    fn may_send_updates(&self, now: Duration) -> bool {
        self.has_updates && self.paid_until <= now
    }

    /// Returns heartbeats to everyone who should hear at once, such as of a server that is
    /// leaving or a new settings version.
    pub fn heartbeats(&mut self) -> Vec<OutgoingHeartbeat> {
        let heartbeats = self.build_heartbeats();
        self.untold.clear();
        heartbeats
    }

    /// Returns heartbeats to those who should hear at once of a new settings version, or that
    /// this instance is stopping. Peers that are known to have the version aren't told: each
    /// instance that gets it from a peer would tell all the others.
    pub fn urgent_heartbeats(&mut self) -> Vec<OutgoingHeartbeat> {
        if self.leaving || !self.uses_digests() {
            return self.heartbeats();
        }
        let mut heartbeats = self.build_heartbeats();
        let version = self.version();
        heartbeats.retain(|heartbeat| {
            let peer = self.peers.get(&heartbeat.to.name);
            peer.is_some_and(|peer| peer.version < version)
        });
        heartbeats
    }

    /// Builds the heartbeats to all peers of the data centre, and to one of each other.
    fn build_heartbeats(&self) -> Vec<OutgoingHeartbeat> {
        let mut usage: BTreeMap<usize, Vec<UsageCount>> = BTreeMap::new();
        for (organisation, count) in &self.untold {
            let keeper = rendezvous_owner(u64::from(*organisation), &self.live);
            let count = u16::try_from(*count).unwrap_or(u16::MAX);
            let told = UsageCount { organisation: *organisation, count };
            usage.entry(keeper.unwrap_or_default()).or_default().push(told);
        }
        let asked = self.asked();
        let near = self.peers.values().filter(|peer| self.is_near(peer));
        let far = self.far_peers();
        let heartbeats = near.chain(far).map(|peer| OutgoingHeartbeat {
            to: peer.info.clone(),
            heartbeat: self.heartbeat_to(peer, &usage, asked),
        });
        heartbeats.collect()
    }

    /// Records a peer's heartbeat. Returns the reply, and what it has told.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &FleetHeartbeat,
        now: Duration,
    ) -> (HeartbeatReply, Vec<FleetNotice>) {
        let info = PeerInfo {
            name: heartbeat.from.clone(),
            data_centre: heartbeat.data_centre.clone(),
            address: heartbeat.address,
        };
        let timeout = self.liveness_timeout();
        self.record_duty_holder(heartbeat.duty);
        self.forget_seed(&info);
        self.add_peer(info.clone(), false);
        let mut changes = false;
        if let Some(peer) = self.peers.get_mut(&heartbeat.from) {
            if !peer.listed {
                // The platform knows best where a listed peer is reached from here.
                peer.info = info.clone();
            }
            let before = peer.alive(now, timeout);
            peer.apply_heartbeat(heartbeat, now);
            changes = before != peer.alive(now, timeout);
            peer.record_return(changes);
        }
        // Who falls silent is found with the next demand: a walk over all peers for each
        // heartbeat would cost most of the processor time of a large group.
        if changes {
            self.refresh(now);
        }
        let mut notices = vec![];
        if self.group.joint || heartbeat.data_centre == self.own.data_centre {
            notices.extend(heartbeat.servers.iter().copied().map(FleetNotice::Load));
            notices.push(FleetNotice::PeerLoads(
                heartbeat.from.clone(),
                heartbeat.loads.clone(),
            ));
            if !heartbeat.reads.is_empty() {
                self.reads.record(&heartbeat.reads, now);
                notices.push(FleetNotice::PeerReads(heartbeat.reads.clone()));
            }
            if !heartbeat.unresponsive.is_empty() {
                notices
                    .push(FleetNotice::PeerUnresponsive(heartbeat.unresponsive.clone()));
            }
        }
        if heartbeat.version > self.version() {
            notices.push(FleetNotice::Version(heartbeat.version, info));
        }
        (self.reply_to(heartbeat, now), notices)
    }

    /// Records a peer's reply. Returns what it has told.
    pub fn handle_reply(
        &mut self,
        from: &InstanceName,
        reply: &HeartbeatReply,
        now: Duration,
    ) -> Vec<FleetNotice> {
        self.record_duty_holder(reply.duty);
        for info in &reply.peers {
            self.forget_seed(info);
            self.add_peer(info.clone(), false);
        }
        let timeout = self.liveness_timeout();
        let until = now + timeout;
        let Some(peer) = self.peers.get_mut(from) else { return vec![] };
        let before = peer.alive(now, timeout);
        peer.hear(reply.epoch, reply.leaving, reply.version, now);
        let changes = before != peer.alive(now, timeout);
        peer.record_return(changes);
        let info = peer.info.clone();
        let shares = reply.shares.iter().map(|share| FleetNotice::Share(*share, until));
        let parts = reply.parts.iter().map(|part| FleetNotice::Rate(*part, until));
        let mut notices: Vec<_> = shares.chain(parts).collect();
        if reply.version > self.version() {
            notices.push(FleetNotice::Version(reply.version, info));
        }
        if changes || !reply.peers.is_empty() {
            self.refresh(now);
        }
        notices
    }

    /// Builds the heartbeat to a peer.
    fn heartbeat_to(
        &self,
        peer: &PeerRecord,
        usage: &BTreeMap<usize, Vec<UsageCount>>,
        asked: Option<&InstanceName>,
    ) -> FleetHeartbeat {
        let near = self.is_near(peer);
        let place = self.live.binary_search(&peer.info.name).ok();
        let kept = place.and_then(|place| usage.get(&place));
        FleetHeartbeat {
            from: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            address: self.own.address,
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            demands: if near { self.status.demands.clone() } else { vec![] },
            servers: if near { self.status.servers.clone() } else { vec![] },
            loads: if near { self.status.loads.clone() } else { vec![] },
            reads: if near { self.status.reads.clone() } else { vec![] },
            unresponsive: if near { self.status.unresponsive.clone() } else { vec![] },
            usage: kept.cloned().unwrap_or_default(),
            wants_peers: self.list_failed
                && (peer.heard.is_none() || asked == Some(&peer.info.name)),
            duty: self.duty,
        }
    }

    /// Returns which peer, of those that have been heard, is to tell this round whom it
    /// knows. Everyone's answer, every time, would be most of the traffic.
    fn asked(&self) -> Option<&InstanceName> {
        let askable = |peer: &&PeerRecord| !self.uses_digests() || self.is_near(peer);
        let peers = || self.peers.values().filter(askable);
        let turn = self.rounds % peers().count().max(1) as u64;
        peers().nth(turn as usize).map(|peer| &peer.info.name)
    }

    /// Builds the reply to a heartbeat.
    fn reply_to(&self, heartbeat: &FleetHeartbeat, now: Duration) -> HeartbeatReply {
        let near = heartbeat.data_centre == self.own.data_centre;
        let used: Vec<FleetKey> =
            heartbeat.usage.iter().map(|usage| usage.organisation).collect();
        let from = &heartbeat.from;
        HeartbeatReply {
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            shares: if near { self.shares_of(from) } else { vec![] },
            parts: if near { self.parts_of(from, &used) } else { vec![] },
            peers: if heartbeat.wants_peers {
                self.peers_for(&heartbeat.data_centre, now)
            } else {
                vec![]
            },
            duty: self.duty,
        }
    }

    /// Returns one peer of each other data centre, another one each round; none where
    /// digests do that duty.
    fn far_peers(&self) -> impl Iterator<Item = &PeerRecord> {
        let mut by_data_centre: BTreeMap<&str, Vec<&PeerRecord>> = BTreeMap::new();
        let far = |peer: &&PeerRecord| !self.uses_digests() && !self.is_near(peer);
        for peer in self.peers.values().filter(far) {
            by_data_centre.entry(&peer.info.data_centre).or_default().push(peer);
        }
        let key = self.rounds ^ u64::from(self.epoch);
        by_data_centre.into_values().filter_map(move |peers| {
            let names: Vec<&str> =
                peers.iter().map(|peer| peer.info.name.as_str()).collect();
            rendezvous_order(key, &names).first().map(|index| peers[*index])
        })
    }
}
