//! Beats and replies: what a node says, and what it takes in.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{rendezvous_order, rendezvous_owner};

use super::{FleetNews, FleetNode, OutgoingBeat};
use crate::info::PeerInfo;
use crate::key::FleetKey;
use crate::peer::PeerRecord;
use crate::wire::{BeatReply, FleetBeat, UsageCount};

impl FleetNode {
    /// Returns the beats that are due.
    pub fn due_beats(&mut self, now: Duration) -> Vec<OutgoingBeat> {
        if self.beat_at.is_some_and(|at| now < at + self.period())
            && !self.tells_news(now)
        {
            return vec![];
        }
        let cost = self.timing.news_cost_per_instance * self.known_near();
        let saved = now.saturating_sub(cost * self.timing.news_burst);
        self.paid_until = self.paid_until.max(saved) + cost;
        self.has_news = false;
        self.beat_at = Some(now);
        self.rounds += 1;
        self.forget_silent(now);
        self.refresh(now);
        self.beats()
    }

    /// Tells whether there are news, and enough time is saved up to tell them now.
    fn tells_news(&self, now: Duration) -> bool {
        self.has_news && self.paid_until <= now
    }

    /// Returns beats to everyone who should hear at once, such as of a server that is
    /// leaving or a new settings version.
    pub fn beats(&mut self) -> Vec<OutgoingBeat> {
        let beats = self.build_beats();
        self.untold.clear();
        beats
    }

    /// Returns beats to those who should hear at once of a new settings version, or that this
    /// instance is stopping. Who is known to have the version isn't told: each instance that
    /// gets it from a peer would tell all the others.
    pub fn urgent_beats(&mut self) -> Vec<OutgoingBeat> {
        if self.leaving || self.timing.joint_limit == 0 {
            return self.beats();
        }
        let mut beats = self.build_beats();
        let version = self.version();
        beats.retain(|beat| {
            let peer = self.peers.get(&beat.to.name);
            peer.is_some_and(|peer| peer.version < version)
        });
        beats
    }

    /// Builds the beats to all peers of the data centre, and to one of each other.
    fn build_beats(&self) -> Vec<OutgoingBeat> {
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
        let beats = near.chain(far).map(|peer| OutgoingBeat {
            to: peer.info.clone(),
            beat: self.beat_to(peer, &usage, asked),
        });
        beats.collect()
    }

    /// Takes in a peer's beat. Returns the reply, and what it has told.
    pub fn hear_beat(
        &mut self,
        beat: &FleetBeat,
        now: Duration,
    ) -> (BeatReply, Vec<FleetNews>) {
        let info = PeerInfo {
            name: beat.from.clone(),
            data_centre: beat.data_centre.clone(),
            address: beat.address,
        };
        let silence = self.silence();
        self.forget_seed(&info);
        self.meet(info.clone(), false);
        let mut joins = false;
        if let Some(peer) = self.peers.get_mut(&beat.from) {
            if !peer.listed {
                // The platform knows best where a listed peer is reached from here.
                peer.info = info.clone();
            }
            let before = peer.alive(now, silence);
            peer.take_beat(beat, now);
            joins = before != peer.alive(now, silence);
        }
        // Who falls silent is found with the next demand: a walk over all peers for each
        // heartbeat would cost most of the processor time of a large group.
        if joins {
            self.refresh(now);
        }
        let mut news = vec![];
        if self.group.joint || beat.data_centre == self.own.data_centre {
            news.extend(beat.servers.iter().copied().map(FleetNews::Load));
            news.push(FleetNews::PeerLoads(beat.from.clone(), beat.loads.clone()));
            if !beat.reads.is_empty() {
                self.reads.record(&beat.reads, now);
                news.push(FleetNews::PeerReads(beat.reads.clone()));
            }
            if !beat.silent.is_empty() {
                news.push(FleetNews::PeerSilent(beat.silent.clone()));
            }
        }
        if beat.version > self.version() {
            news.push(FleetNews::Version(beat.version, info));
        }
        (self.reply_to(beat, now), news)
    }

    /// Takes in a peer's reply. Returns what it has told.
    pub fn hear_reply(
        &mut self,
        from: &InstanceName,
        reply: &BeatReply,
        now: Duration,
    ) -> Vec<FleetNews> {
        for info in &reply.peers {
            self.forget_seed(info);
            self.meet(info.clone(), false);
        }
        let silence = self.silence();
        let until = now + silence;
        let Some(peer) = self.peers.get_mut(from) else { return vec![] };
        let before = peer.alive(now, silence);
        peer.hear(reply.epoch, reply.leaving, reply.version, now);
        let joins = before != peer.alive(now, silence);
        let info = peer.info.clone();
        let shares = reply.shares.iter().map(|share| FleetNews::Share(*share, until));
        let parts = reply.parts.iter().map(|part| FleetNews::Rate(*part, until));
        let mut news: Vec<_> = shares.chain(parts).collect();
        if reply.version > self.version() {
            news.push(FleetNews::Version(reply.version, info));
        }
        if joins || !reply.peers.is_empty() {
            self.refresh(now);
        }
        news
    }

    /// Builds the beat to a peer.
    fn beat_to(
        &self,
        peer: &PeerRecord,
        usage: &BTreeMap<usize, Vec<UsageCount>>,
        asked: Option<&InstanceName>,
    ) -> FleetBeat {
        let near = self.is_near(peer);
        let place = self.live.binary_search(&peer.info.name).ok();
        let kept = place.and_then(|place| usage.get(&place));
        FleetBeat {
            from: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            address: self.own.address,
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            demands: if near { self.demand.demands.clone() } else { vec![] },
            servers: if near { self.demand.servers.clone() } else { vec![] },
            loads: if near { self.demand.loads.clone() } else { vec![] },
            reads: if near { self.demand.reads.clone() } else { vec![] },
            silent: if near { self.demand.silent.clone() } else { vec![] },
            usage: kept.cloned().unwrap_or_default(),
            wants_peers: self.list_failed
                && (peer.heard.is_none() || asked == Some(&peer.info.name)),
        }
    }

    /// Returns which peer, of those that have been heard, is to tell this round whom it
    /// knows. Everyone's answer, every time, would be most of the traffic.
    fn asked(&self) -> Option<&InstanceName> {
        let near = || self.peers.values().filter(|peer| self.is_near(peer));
        let turn = self.rounds % near().count().max(1) as u64;
        near().nth(turn as usize).map(|peer| &peer.info.name)
    }

    /// Builds the reply to a beat.
    fn reply_to(&self, beat: &FleetBeat, now: Duration) -> BeatReply {
        let near = beat.data_centre == self.own.data_centre;
        let used: Vec<FleetKey> =
            beat.usage.iter().map(|usage| usage.organisation).collect();
        let from = &beat.from;
        BeatReply {
            epoch: self.epoch,
            leaving: self.leaving,
            version: self.version(),
            shares: if near { self.shares_of(from) } else { vec![] },
            parts: if near { self.parts_of(from, &used) } else { vec![] },
            peers: if beat.wants_peers {
                self.peers_for(&beat.data_centre, now)
            } else {
                vec![]
            },
        }
    }

    /// Returns one peer of each other data centre, another one each round; none where
    /// digests do that duty.
    fn far_peers(&self) -> impl Iterator<Item = &PeerRecord> {
        let mut by_data_centre: BTreeMap<&str, Vec<&PeerRecord>> = BTreeMap::new();
        let beats = self.timing.joint_limit == 0;
        for peer in self.peers.values().filter(|peer| beats && !self.is_near(peer)) {
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
