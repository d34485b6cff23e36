//! Exchange of pushback reports: the limits and departures that backend servers announce. The
//! notices also have the evacuations of data centres. New reports are sent to peers at once and
//! resent until they are acknowledged. An instance that starts or comes back is sent all reports.

use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{IncarnationKey, PushbackLog, PushbackReport, ReportEffect};

use super::{FleetNode, NodeEvent};
use crate::changes::ChangeQueue;
use crate::info::PeerInfo;
use crate::notice::PendingNotice;
use crate::wire::PushbackNotice;

/// The most reports in a message, about 14 KB.
const MAX_REPORTS: usize = 1024;

/// A pushback notice to be sent to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingPushback {
    /// The peer that receives it.
    pub to: PeerInfo,
    /// The message.
    pub notice: PushbackNotice,
}

/// The known pushback reports, and which of them peers still need.
#[derive(Debug, Default)]
pub(super) struct PushbackState {
    /// All known reports.
    log: PushbackLog,
    /// What peers don't know yet, in order.
    changes: ChangeQueue<NoticeTopic>,
}

/// What a change that peers are told of is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoticeTopic {
    /// The announcements of an incarnation of a server.
    Server(IncarnationKey),
    /// The evacuations of data centres.
    Evacuations,
}

impl NoticeTopic {
    /// Returns the server that the change is about, if it is about one.
    fn server(self) -> Option<IncarnationKey> {
        match self {
            Self::Server(server) => Some(server),
            Self::Evacuations => None,
        }
    }
}

impl PushbackState {
    /// Queues the evacuations of data centres for all peers.
    pub(super) fn queue_evacuations(&mut self) {
        self.changes.push(NoticeTopic::Evacuations);
    }
}

impl FleetNode {
    /// Records what servers have announced to this instance, and queues it for its peers.
    pub fn record_pushback(&mut self, reports: &[PushbackReport], now: Duration) {
        for report in reports {
            self.pushback.log.apply(report, now);
            self.pushback.changes.push(NoticeTopic::Server(report.server));
        }
    }

    /// Returns the pushback notices that are due.
    pub fn due_pushback(&mut self, now: Duration) -> Vec<OutgoingPushback> {
        let last = self.pushback.changes.last();
        let evacuations = self.evacuations.records();
        if last == 0 && self.pushback.log.is_empty() && evacuations.is_empty() {
            return vec![];
        }
        let recipients = self.peers_to_notify(
            now,
            |peer| &peer.pushback_notices,
            |state| state.is_due(last),
        );
        let mut due = vec![];
        for name in recipients {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let PushbackState { log, changes } = &self.pushback;
            let state = &mut peer.pushback_notices;
            let mut reports: Vec<PushbackReport> = changes
                .after(state.acknowledged)
                .filter_map(NoticeTopic::server)
                .filter_map(|server| log.report_of(server, now))
                .collect();
            if state.needs_all {
                let all = log.reports(MAX_REPORTS, now);
                let missing = all.into_iter().filter(|report| {
                    !reports.iter().any(|other| other.server == report.server)
                });
                let missing: Vec<PushbackReport> = missing.collect();
                reports.extend(missing);
            }
            let sends_all = state.needs_all;
            state.record_sent(PendingNotice {
                sent_at: now,
                last_change: last,
                compares: false,
                sends_all,
            });
            if reports.is_empty() && evacuations.is_empty() {
                state.record_answer();
                continue;
            }
            let (from, to_all) = (self.own.clone(), self.group.is_single);
            let evacuations = evacuations.clone();
            let notice = PushbackNotice { from, reports, to_all, evacuations };
            due.push(OutgoingPushback { to: peer.info.clone(), notice });
        }
        due
    }

    /// Handles a peer's notice. Returns events with what is new in it.
    pub fn handle_pushback(
        &mut self,
        notice: &PushbackNotice,
        now: Duration,
    ) -> Vec<NodeEvent> {
        let forwards = !notice.to_all && !self.in_own_data_centre(&notice.from);
        let mut new_reports = vec![];
        for report in &notice.reports {
            match self.pushback.log.apply(report, now) {
                ReportEffect::Known => {}
                // This instance has a newer report than the peer, and sends it.
                ReportEffect::Outdated => {
                    self.pushback.changes.push(NoticeTopic::Server(report.server));
                }
                ReportEffect::Changed => {
                    new_reports.push(*report);
                    if forwards {
                        let topic = NoticeTopic::Server(report.server);
                        self.pushback.changes.push(topic);
                    }
                }
            }
        }
        let mut events = self.apply_evacuations(&notice.evacuations, forwards);
        if !new_reports.is_empty() {
            events.push(NodeEvent::Pushback(new_reports));
        }
        events
    }

    /// Records that a peer has acknowledged the last notice.
    pub fn handle_pushback_reply(&mut self, from: &InstanceName) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.pushback_notices.record_answer();
        }
    }

    /// Records that a notice couldn't be sent because there is no link to the peer.
    pub fn handle_pushback_no_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.pushback_notices.record_no_link(now);
        }
    }

    /// Records that the link to a peer broke while a notice was in flight.
    pub fn handle_pushback_broken_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.pushback_notices.record_broken_link(now);
        }
    }
}
