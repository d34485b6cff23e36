//! Evidence of requests that crash backend servers: news go to peers at once and are told
//! again until they have arrived; logs are compared with peers that start or come back.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{CrashLog, CrashReport, Fingerprint, rendezvous_order};

use super::{FleetNode, FleetNotice};
use crate::changes::ChangeQueue;
use crate::info::PeerInfo;
use crate::notice::{NoticeState, PendingNotice};
use crate::peer::PeerRecord;
use crate::wire::{CrashNotice, CrashReply};

/// How often the log is compared with a peer's, in turn: what got lost with an instance that
/// ended is found then.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// With how many peers the log is compared side by side, as each may answer with all of its own.
const MAX_PARALLEL_COMPARISONS: usize = 3;

/// How many contacts in each other data centre get news: a second one if the first is lost.
const NOTIFIED_CONTACTS: usize = 2;

/// The most reports in one message: 34 KB.
const MAX_REPORTS: usize = 1024;

/// A notice of crashes on its way to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingCrashes {
    /// The peer.
    pub to: PeerInfo,
    /// The notice.
    pub notice: CrashNotice,
}

/// What this instance knows of servers that ended under requests.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    /// All of it.
    log: CrashLog,
    /// The requests of which this instance has news for its group.
    changes: ChangeQueue<Fingerprint>,
    /// When the log was last compared in turn, and how often.
    compared: (Duration, u64),
    /// Whether a peer has answered a comparison since the start.
    has_synced: bool,
}

impl CrashState {
    /// Returns the reports that are news after a number.
    fn changed_reports(&self, told: u64, now: Duration) -> Vec<CrashReport> {
        let news = self.changes.after(told);
        let reports = news.flat_map(|request| self.log.reports_of(request, now));
        reports.take(MAX_REPORTS).collect()
    }
}

impl FleetNode {
    /// Records what this instance has found out of servers that ended under requests.
    pub fn record_crashes(&mut self, reports: &[CrashReport], now: Duration) {
        for report in reports {
            self.crashes.log.apply(report, now);
            self.crashes.changes.push(report.fingerprint);
        }
    }

    /// Returns whether a peer has told this instance what it knows of such servers.
    #[must_use]
    pub fn has_synced_crashes(&self) -> bool {
        self.crashes.has_synced
    }

    /// Returns the notices of crashes that are due.
    pub fn due_crashes(&mut self, now: Duration) -> Vec<OutgoingCrashes> {
        self.schedule_comparison(now);
        let last = self.crashes.changes.last();
        let told = self.peers_to_notify(
            now,
            |peer| &peer.crash_notices,
            |state| state.is_due(last),
        );
        if told.is_empty() {
            return vec![];
        }
        let comparing = self
            .peers
            .values()
            .filter(|peer| peer.crash_notices.is_comparing(now))
            .count();
        let mut free = MAX_PARALLEL_COMPARISONS.saturating_sub(comparing);
        let mut due = vec![];
        for name in told {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let state = &mut peer.crash_notices;
            let compares = state.needs_comparison && free > 0;
            let has_news = state.acknowledged < last || state.needs_all;
            if !(compares || has_news) {
                continue;
            }
            let reports = if state.needs_all {
                self.crashes.log.reports(MAX_REPORTS, now)
            } else {
                self.crashes.changed_reports(state.acknowledged, now)
            };
            free -= usize::from(compares);
            let sends_all = state.needs_all;
            state.record_sent(PendingNotice {
                sent_at: now,
                last_change: last,
                compares,
                sends_all,
            });
            let digest = compares.then(|| self.crashes.log.digest());
            let (from, to_all) = (self.own.clone(), self.group.is_single);
            let notice = CrashNotice { from, reports, to_all, digest };
            due.push(OutgoingCrashes { to: peer.info.clone(), notice });
        }
        due
    }

    /// Handles a peer's notice. Returns the answer, and what is news.
    pub fn handle_crashes(
        &mut self,
        notice: &CrashNotice,
        now: Duration,
    ) -> (CrashReply, Vec<FleetNotice>) {
        let forwards = !notice.to_all && !self.in_own_data_centre(&notice.from);
        let news = self.apply_crash_reports(&notice.reports, forwards, now);
        let digest = self.crashes.log.digest();
        let differs = notice.digest.is_some_and(|other| other != digest);
        let reports =
            if differs { self.crashes.log.reports(MAX_REPORTS, now) } else { vec![] };
        (CrashReply { reports, digest }, news)
    }

    /// Handles the answer to a notice. Returns what is news.
    pub fn handle_crash_reply(
        &mut self,
        from: &InstanceName,
        reply: &CrashReply,
        now: Duration,
    ) -> Vec<FleetNotice> {
        let Some(peer) = self.peers.get_mut(from) else { return vec![] };
        let Some(notice) = peer.crash_notices.record_answer() else { return vec![] };
        let info = peer.info.clone();
        let forwards = !self.group.is_single && !self.in_own_data_centre(&info);
        let news = self.apply_crash_reports(&reply.reports, forwards, now);
        if notice.compares {
            self.crashes.has_synced = true;
            let lacks_some = self.crashes.log.digest() != reply.digest;
            if let Some(peer) = self.peers.get_mut(from) {
                peer.crash_notices.needs_all = lacks_some;
            }
        }
        news
    }

    /// Records that there was no link for a notice to a peer.
    pub fn handle_crash_no_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.crash_notices.record_no_link(now);
        }
    }

    /// Records that a notice broke the link to a peer.
    pub fn handle_crash_broken_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.crash_notices.record_broken_link(now);
        }
    }

    /// Adds what a peer reports. Returns what is news. `forwards` tells whether that is news for
    /// others as well, as where another data centre reports it to a few of this one.
    fn apply_crash_reports(
        &mut self,
        reports: &[CrashReport],
        forwards: bool,
        now: Duration,
    ) -> Vec<FleetNotice> {
        let mut news = vec![];
        for report in reports {
            if !self.crashes.log.apply(report, now) {
                continue;
            }
            news.push(*report);
            if forwards {
                self.crashes.changes.push(report.fingerprint);
            }
        }
        if news.is_empty() { vec![] } else { vec![FleetNotice::Crashes(news)] }
    }

    /// Has one peer of the group and one of the others compared with, now and then.
    fn schedule_comparison(&mut self, now: Duration) {
        let (at, turn) = self.crashes.compared;
        if now < at + COMPARE_PERIOD || self.crashes.log.is_empty() {
            return;
        }
        self.crashes.compared = (now, turn + 1);
        self.crashes.log.expire(now);
        let names = self.peers_to_notify(now, |peer| &peer.crash_notices, |_| true);
        if names.is_empty() {
            return;
        }
        let name = &names[turn as usize % names.len()];
        if let Some(peer) = self.peers.get_mut(name) {
            peer.crash_notices.needs_comparison = true;
        }
    }

    /// Returns which peers get notices of a kind: those of the group, and a few of each other, as
    /// far as something is due to them.
    pub(super) fn peers_to_notify(
        &self,
        now: Duration,
        state: impl Fn(&PeerRecord) -> &NoticeState,
        is_due: impl Fn(&NoticeState) -> bool,
    ) -> Vec<InstanceName> {
        let timeout = self.liveness_timeout();
        let near = self.peers.values().filter(|peer| {
            self.in_own_group(peer)
                && is_due(state(peer))
                && peer.heard_within(now, timeout)
        });
        let far = self.contacts_to_notify(now).into_iter();
        let far = far.filter(|peer| is_due(state(peer)));
        let told = near.chain(far).filter(|peer| state(peer).may_send(now));
        told.map(|peer| peer.info.name.clone()).collect()
    }

    /// Returns the contacts in each other data centre that get notices. Each instance has
    /// an order of its own, so that not all tell the same ones.
    fn contacts_to_notify(&self, now: Duration) -> Vec<&PeerRecord> {
        let timeout = self.contact_liveness_timeout();
        let far = self
            .peers
            .values()
            .filter(|peer| !self.in_own_group(peer) && peer.heard_within(now, timeout));
        let far: Vec<&PeerRecord> = far.collect();
        let names: Vec<&str> = far.iter().map(|peer| peer.info.name.as_str()).collect();
        let order = rendezvous_order(u64::from(self.own_key()), &names);
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let ordered = order.into_iter().map(|place| far[place]);
        let told = ordered.filter(|peer| {
            let count = counts.entry(&peer.info.data_centre).or_default();
            *count += 1;
            *count <= NOTIFIED_CONTACTS
        });
        told.collect()
    }
}
