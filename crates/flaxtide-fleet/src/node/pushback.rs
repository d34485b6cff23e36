//! What backend servers have said of themselves: news go to peers at once and are told again
//! until they have arrived; an instance that starts or comes back is told all.

use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{IncarnationKey, PushbackLog, PushbackReport, ReportEffect};

use super::{FleetNode, FleetNotice};
use crate::contact::PendingNotice;
use crate::info::PeerInfo;
use crate::news::NewsQueue;
use crate::wire::PushbackNotice;

/// The most reports in one message: 14 KB.
const MOST_REPORTS: usize = 1024;

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
    news: NewsQueue<IncarnationKey>,
}

impl FleetNode {
    /// Records what servers have said to this instance.
    pub fn record_pushback(&mut self, reports: &[PushbackReport], now: Duration) {
        for report in reports {
            self.pushback.log.apply(report, now);
            self.pushback.news.push(report.server);
        }
    }

    /// Returns the notices of what servers have said that are due.
    pub fn due_pushback(&mut self, now: Duration) -> Vec<OutgoingPushback> {
        let last = self.pushback.news.last();
        if last == 0 && self.pushback.log.is_empty() {
            return vec![];
        }
        let told =
            self.told_peers(now, |peer| &peer.pushback, |contact| contact.has_due(last));
        let mut due = vec![];
        for name in told {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let PushbackState { log, news } = &self.pushback;
            let contact = &mut peer.pushback;
            let mut reports: Vec<PushbackReport> = news
                .after(contact.told)
                .filter_map(|server| log.report_of(server, now))
                .collect();
            if contact.tell_all {
                let known = log.reports(MOST_REPORTS, now);
                let missing = known.into_iter().filter(|report| {
                    !reports.iter().any(|other| other.server == report.server)
                });
                let missing: Vec<PushbackReport> = missing.collect();
                reports.extend(missing);
            }
            let tells_all = contact.tell_all;
            contact.send(PendingNotice {
                at: now,
                told: last,
                compares: false,
                tells_all,
            });
            if reports.is_empty() {
                contact.answer();
                continue;
            }
            let (from, to_all) = (self.own.clone(), self.group.joint);
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
        let passes_on = !notice.to_all && !self.is_home(&notice.from);
        let mut news = vec![];
        for report in &notice.reports {
            match self.pushback.log.apply(report, now) {
                ReportEffect::Known => {}
                // The peer lacks what the server has said since, and is told.
                ReportEffect::Outdated => self.pushback.news.push(report.server),
                ReportEffect::Changed => {
                    news.push(*report);
                    if passes_on {
                        self.pushback.news.push(report.server);
                    }
                }
            }
        }
        if news.is_empty() { vec![] } else { vec![FleetNotice::Pushback(news)] }
    }

    /// Records that a peer has got the last notice.
    pub fn handle_pushback_reply(&mut self, from: &InstanceName) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.pushback.answer();
        }
    }

    /// Records that there was no link for a notice to a peer.
    pub fn handle_pushback_miss(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.pushback.miss(now);
        }
    }

    /// Records that a notice broke the link to a peer.
    pub fn handle_pushback_break(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.pushback.break_off(now);
        }
    }
}
