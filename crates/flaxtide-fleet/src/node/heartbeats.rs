//! Building and handling of heartbeats and their replies.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{SIGHTING_BOUND, rendezvous_order, rendezvous_owner};

use super::{FleetNode, NodeEvent, OutgoingHeartbeat};
use crate::info::PeerInfo;
use crate::key::{FleetKey, fleet_key};
use crate::peer::PeerRecord;
use crate::wire::{FleetHeartbeat, HeartbeatReply, UsageCount};

impl FleetNode {
    /// Returns the heartbeats that are due: when the period is over, or sooner if there are
    /// urgent changes and the traffic budget allows an early round.
    pub fn due_heartbeats(&mut self, now: Duration) -> Vec<OutgoingHeartbeat> {
        if self.last_round_at.is_some_and(|at| now < at + self.period())
            && !self.may_send_early(now)
        {
            return vec![];
        }
        // A token bucket in units of time: each round uses up `cost`, and the allowance for at most
        // `early_round_burst` rounds is saved up.
        let cost = self.timing.early_round_cost_per_instance * self.known_group_size();
        let burst_start = now.saturating_sub(cost * self.timing.early_round_burst);
        self.early_round_allowed_at = self.early_round_allowed_at.max(burst_start) + cost;
        self.has_urgent_changes = false;
        let last_round_at = self.last_round_at.replace(now).unwrap_or_default();
        self.rounds += 1;
        self.begin_engine_round(now.saturating_sub(last_round_at), now);
        self.forget_expired_peers(now);
        self.update_live(now);
        self.heartbeats()
    }

    /// Returns whether there are urgent changes and the traffic budget allows an early round.
    fn may_send_early(&self, now: Duration) -> bool {
        self.has_urgent_changes && self.early_round_allowed_at <= now
    }

    /// Returns heartbeats to all recipients and marks the usage counts in them as sent.
    pub fn heartbeats(&mut self) -> Vec<OutgoingHeartbeat> {
        let heartbeats = self.build_heartbeats();
        self.unsent_usage.clear();
        heartbeats
    }

    /// Returns the heartbeats of a requested round, which announce a new settings version or
    /// that this instance is stopping. Peers that are known to have the version are left out:
    /// otherwise each instance that fetches it from a peer would announce it to all others.
    pub fn requested_heartbeats(&mut self) -> Vec<OutgoingHeartbeat> {
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

    /// Builds the heartbeats to all peers of the group and, without digests, to one instance of
    /// each other data centre.
    fn build_heartbeats(&self) -> Vec<OutgoingHeartbeat> {
        let mut usage: BTreeMap<usize, Vec<UsageCount>> = BTreeMap::new();
        for (organisation, count) in &self.unsent_usage {
            let owner = rendezvous_owner(u64::from(*organisation), &self.live);
            let count = u16::try_from(*count).unwrap_or(u16::MAX);
            let entry = UsageCount { organisation: *organisation, count };
            usage.entry(owner.unwrap_or_default()).or_default().push(entry);
        }
        let queried = self.peer_to_query();
        let in_group = self.peers.values().filter(|peer| self.in_own_group(peer));
        let remote = self.other_data_centre_targets();
        let heartbeats = in_group.chain(remote).map(|peer| OutgoingHeartbeat {
            to: peer.info.clone(),
            heartbeat: self.heartbeat_to(peer, &usage, queried),
        });
        heartbeats.collect()
    }

    /// Handles a peer's heartbeat. Returns the reply and the resulting events.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &FleetHeartbeat,
        now: Duration,
    ) -> (HeartbeatReply, Vec<NodeEvent>) {
        let info = PeerInfo {
            name: heartbeat.from.clone(),
            data_centre: heartbeat.data_centre.clone(),
            address: heartbeat.address,
        };
        let timeout = self.liveness_timeout();
        self.record_duty_holder(heartbeat.duty);
        self.forget_seed(&info);
        self.add_peer(info.clone(), false);
        let mut changed = false;
        if let Some(peer) = self.peers.get_mut(&heartbeat.from) {
            if !peer.listed {
                // For listed peers, the address in the platform's list is used: a peer may not
                // know the address at which it can be reached from here.
                peer.info = info.clone();
            }
            let before = peer.is_alive(now, timeout);
            peer.apply_heartbeat(heartbeat, now);
            changed = before != peer.is_alive(now, timeout);
            peer.record_liveness_change(changed);
        }
        // Peers that fall silent are found with the next status: checking all peers at each
        // heartbeat would take most of the processor time in a large group.
        if changed {
            self.record_heard(&heartbeat.data_centre);
            self.update_live(now);
        }
        let mut events = vec![];
        if self.group.is_single || heartbeat.data_centre == self.own.data_centre {
            events.extend(heartbeat.servers.iter().copied().map(NodeEvent::Load));
            events.push(NodeEvent::PeerLoads(
                heartbeat.from.clone(),
                heartbeat.loads.clone(),
            ));
            if !heartbeat.reads.is_empty() {
                self.reads.record(&heartbeat.reads, now);
                events.push(NodeEvent::PeerReads(heartbeat.reads.clone()));
            }
            let watcher = fleet_key(&heartbeat.from);
            self.engines
                .record(watcher, &heartbeat.engines, &heartbeat.parts, now);
            if !heartbeat.engines.is_empty() {
                let engines = heartbeat.engines.clone();
                events.push(NodeEvent::Engines(watcher, engines, SIGHTING_BOUND));
            }
            if !heartbeat.parts.is_empty() {
                events.push(NodeEvent::PartUpdates(heartbeat.parts.clone()));
            }
            if !heartbeat.unresponsive.is_empty() {
                events.push(NodeEvent::PeerUnresponsive(heartbeat.unresponsive.clone()));
            }
        }
        if heartbeat.version > self.version() {
            events.push(NodeEvent::Version(heartbeat.version, info));
        }
        (self.reply_to(heartbeat, now), events)
    }

    /// Handles a peer's reply and returns the resulting events.
    pub fn handle_reply(
        &mut self,
        from: &InstanceName,
        reply: &HeartbeatReply,
        now: Duration,
    ) -> Vec<NodeEvent> {
        self.record_duty_holder(reply.duty);
        for info in &reply.peers {
            self.forget_seed(info);
            self.add_peer(info.clone(), false);
        }
        let timeout = self.liveness_timeout();
        let until = now + timeout;
        let Some(peer) = self.peers.get_mut(from) else { return vec![] };
        let before = peer.is_alive(now, timeout);
        peer.record_alive(reply.epoch, reply.leaving, reply.version, now);
        let changed = before != peer.is_alive(now, timeout);
        peer.record_liveness_change(changed);
        let info = peer.info.clone();
        if changed {
            self.record_heard(&info.data_centre);
        }
        let shares = reply.shares.iter().map(|share| NodeEvent::Share(*share, until));
        let rate_shares = reply.parts.iter().map(|share| NodeEvent::Rate(*share, until));
        let mut events: Vec<_> = shares.chain(rate_shares).collect();
        if reply.version > self.version() {
            events.push(NodeEvent::Version(reply.version, info));
        }
        if changed || !reply.peers.is_empty() {
            self.update_live(now);
        }
        events
    }

    /// Builds the heartbeat to a peer.
    fn heartbeat_to(
        &self,
        peer: &PeerRecord,
        usage: &BTreeMap<usize, Vec<UsageCount>>,
        queried: Option<&InstanceName>,
    ) -> FleetHeartbeat {
        let in_group = self.in_own_group(peer);
        let index = self.live.binary_search(&peer.info.name).ok();
        let counts = index.and_then(|index| usage.get(&index));
        FleetHeartbeat {
            from: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            address: self.own.address,
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            demands: if in_group { self.status.demands.clone() } else { vec![] },
            servers: if in_group { self.status.servers.clone() } else { vec![] },
            loads: if in_group { self.status.loads.clone() } else { vec![] },
            reads: if in_group { self.status.reads.clone() } else { vec![] },
            unresponsive: if in_group {
                self.status.unresponsive.clone()
            } else {
                vec![]
            },
            usage: counts.cloned().unwrap_or_default(),
            wants_peers: self.list_failed
                && (peer.heard_at.is_none() || queried == Some(&peer.info.name)),
            duty: self.duty,
            engines: if in_group { self.heartbeat_engines() } else { vec![] },
            parts: if in_group { self.heartbeat_parts() } else { vec![] },
        }
    }

    /// Returns the one peer, besides those not heard from yet, that is queried for its list of
    /// peers in this round. Asking all of them each time would make these lists most of the
    /// traffic.
    fn peer_to_query(&self) -> Option<&InstanceName> {
        let can_query =
            |peer: &&PeerRecord| !self.uses_digests() || self.in_own_group(peer);
        let peers = || self.peers.values().filter(can_query);
        let index = self.rounds % peers().count().max(1) as u64;
        peers().nth(index as usize).map(|peer| &peer.info.name)
    }

    /// Builds the reply to a heartbeat.
    fn reply_to(&self, heartbeat: &FleetHeartbeat, now: Duration) -> HeartbeatReply {
        let same_data_centre = heartbeat.data_centre == self.own.data_centre;
        // In a divided fleet, heartbeats don't cross data centres.
        let is_undivided =
            !same_data_centre && self.uses_digests() && !self.group.is_single;
        let organisations: Vec<FleetKey> =
            heartbeat.usage.iter().map(|usage| usage.organisation).collect();
        let from = &heartbeat.from;
        HeartbeatReply {
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            shares: if same_data_centre { self.shares_of(from) } else { vec![] },
            parts: if same_data_centre {
                self.rate_shares_of(from, &organisations)
            } else {
                vec![]
            },
            peers: if heartbeat.wants_peers || is_undivided {
                self.peers_for(&heartbeat.data_centre, is_undivided, now)
            } else {
                vec![]
            },
            duty: self.duty,
            answers: self.status.answers.map(|answers| answers.ages(now)),
        }
    }

    /// Returns one peer of each other data centre, a different one in each round; none where
    /// data centres exchange digests.
    fn other_data_centre_targets(&self) -> impl Iterator<Item = &PeerRecord> {
        let mut by_data_centre: BTreeMap<&str, Vec<&PeerRecord>> = BTreeMap::new();
        let remote =
            |peer: &&PeerRecord| !self.uses_digests() && !self.in_own_group(peer);
        for peer in self.peers.values().filter(remote) {
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
