//! What backend servers have said of themselves: news go to peers at once and are told again
//! until they have arrived; an instance that starts or comes back is told all.

use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{PushbackLog, PushbackReport, ReportEffect, ServerStart};

use super::{FleetNode, FleetNotice};
use crate::changes::ChangeQueue;
use crate::info::PeerInfo;
use crate::notice::PendingNotice;
use crate::wire::PushbackNotice;

/// The most reports in one message: 14 KB.
const MAX_REPORTS: usize = 1024;

/// A notice of what servers have said, on its way to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingPushback {
    /// The peer.
    pub to: PeerInfo,
    /// The notice.
    pub notice: PushbackNotice,
}

/// What this instance knows of what servers have said.
#[derive(Debug, Default)]
pub(super) struct PushbackState {
    /// All of it.
    log: PushbackLog,
    /// The servers of which this instance has news for its peers.
    changes: ChangeQueue<ServerStart>,
}

impl FleetNode {
    /// Records what servers have said to this instance.
    pub fn record_pushback(&mut self, reports: &[PushbackReport], now: Duration) {
        for report in reports {
            self.pushback.log.apply(report, now);
            self.pushback.changes.push(report.server);
        }
    }

    /// Returns the notices of what servers have said that are due.
    pub fn due_pushback(&mut self, now: Duration) -> Vec<OutgoingPushback> {
        let last = self.pushback.changes.last();
        if last == 0 && self.pushback.log.is_empty() {
            return vec![];
        }
        let told = self.peers_to_notify(
            now,
            |peer| &peer.pushback_notices,
            |state| state.is_due(last),
        );
        let mut due = vec![];
        for name in told {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let PushbackState { log, changes } = &self.pushback;
            let state = &mut peer.pushback_notices;
            let mut reports: Vec<PushbackReport> = changes
                .after(state.acknowledged)
                .filter_map(|server| log.report_of(server, now))
                .collect();
            if state.needs_all {
                let known = log.reports(MAX_REPORTS, now);
                let missing = known.into_iter().filter(|report| {
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
            if reports.is_empty() {
                state.record_answer();
                continue;
            }
            let (from, to_all) = (self.own.clone(), self.group.is_single);
            let notice = PushbackNotice { from, reports, to_all };
            due.push(OutgoingPushback { to: peer.info.clone(), notice });
        }
        due
    }

    /// Handles a peer's notice. Returns what is news.
    pub fn handle_pushback(
        &mut self,
        notice: &PushbackNotice,
        now: Duration,
    ) -> Vec<FleetNotice> {
        let forwards = !notice.to_all && !self.in_own_data_centre(&notice.from);
        let mut news = vec![];
        for report in &notice.reports {
            match self.pushback.log.apply(report, now) {
                ReportEffect::Known => {}
                // The peer lacks what the server has said since, and is told.
                ReportEffect::Outdated => self.pushback.changes.push(report.server),
                ReportEffect::News => {
                    news.push(*report);
                    if forwards {
                        self.pushback.changes.push(report.server);
                    }
                }
            }
        }
        if news.is_empty() { vec![] } else { vec![FleetNotice::Pushback(news)] }
    }

    /// Records that a peer has got the last notice.
    pub fn handle_pushback_reply(&mut self, from: &InstanceName) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.pushback_notices.record_answer();
        }
    }

    /// Records that there was no link for a notice to a peer.
    pub fn handle_pushback_no_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.pushback_notices.record_no_link(now);
        }
    }

    /// Records that a notice broke the link to a peer.
    pub fn handle_pushback_broken_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.pushback_notices.record_broken_link(now);
        }
    }
}
