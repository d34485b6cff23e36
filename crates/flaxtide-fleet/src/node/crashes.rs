//! Evidence of requests that crash backend servers: news go to peers at once and are told
//! again until they have arrived; logs are compared with peers that start or come back.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{CrashLog, CrashReport, Fingerprint, rendezvous_order};

use super::{FleetNode, FleetNotice};
use crate::contact::{NoticeContact, PendingNotice};
use crate::info::PeerInfo;
use crate::news::NewsQueue;
use crate::peer::PeerRecord;
use crate::wire::{CrashNotice, CrashReply};

/// How often the log is compared with a peer's, in turn: what got lost with an instance that
/// ended is found then.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// With how many peers the log is compared side by side, as each may answer with all of its own.
const COMPARED_AT_ONCE: usize = 3;

/// How many contacts in each other data centre get news: a second one if the first is lost.
const CONTACTS_TOLD: usize = 2;

/// The most reports in one message: 34 KB.
const MOST_REPORTS: usize = 1024;

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
    news: NewsQueue<Fingerprint>,
    /// When the log was last compared in turn, and how often.
    compared: (Duration, u64),
    /// Whether a peer has answered a comparison since the start.
    synced: bool,
}

impl CrashState {
    /// Returns the reports that are news after a number.
    fn news_after(&self, told: u64, now: Duration) -> Vec<CrashReport> {
        let news = self.news.after(told);
        let reports = news.flat_map(|request| self.log.reports_of(request, now));
        reports.take(MOST_REPORTS).collect()
    }
}

impl FleetNode {
    /// Records what this instance has found out of servers that ended under requests.
    pub fn record_crashes(&mut self, reports: &[CrashReport], now: Duration) {
        for report in reports {
            self.crashes.log.apply(report, now);
            self.crashes.news.push(report.fingerprint);
        }
    }

    /// Returns whether a peer has told this instance what it knows of such servers.
    #[must_use]
    pub fn has_synced_crashes(&self) -> bool {
        self.crashes.synced
    }

    /// Returns the notices of crashes that are due.
    pub fn due_crashes(&mut self, now: Duration) -> Vec<OutgoingCrashes> {
        self.compare_in_turn(now);
        let last = self.crashes.news.last();
        let told =
            self.told_peers(now, |peer| &peer.crashes, |contact| contact.has_due(last));
        if told.is_empty() {
            return vec![];
        }
        let comparing = self
            .peers
            .values()
            .filter(|peer| peer.crashes.is_comparing(now))
            .count();
        let mut free = COMPARED_AT_ONCE.saturating_sub(comparing);
        let mut due = vec![];
        for name in told {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let contact = &mut peer.crashes;
            let compares = contact.compare && free > 0;
            let has_news = contact.told < last || contact.tell_all;
            if !(compares || has_news) {
                continue;
            }
            let reports = if contact.tell_all {
                self.crashes.log.reports(MOST_REPORTS, now)
            } else {
                self.crashes.news_after(contact.told, now)
            };
            free -= usize::from(compares);
            let tells_all = contact.tell_all;
            contact.send(PendingNotice { at: now, told: last, compares, tells_all });
            let digest = compares.then(|| self.crashes.log.digest());
            let (from, to_all) = (self.own.clone(), self.group.joint);
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
        let passes_on = !notice.to_all && !self.is_home(&notice.from);
        let news = self.learn_crashes(&notice.reports, passes_on, now);
        let digest = self.crashes.log.digest();
        let differs = notice.digest.is_some_and(|other| other != digest);
        let reports =
            if differs { self.crashes.log.reports(MOST_REPORTS, now) } else { vec![] };
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
        let Some(notice) = peer.crashes.answer() else { return vec![] };
        let info = peer.info.clone();
        let passes_on = !self.group.joint && !self.is_home(&info);
        let news = self.learn_crashes(&reply.reports, passes_on, now);
        if notice.compares {
            self.crashes.synced = true;
            let lacks_some = self.crashes.log.digest() != reply.digest;
            if let Some(peer) = self.peers.get_mut(from) {
                peer.crashes.tell_all = lacks_some;
            }
        }
        news
    }

    /// Records that there was no link for a notice to a peer.
    pub fn handle_crash_miss(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.crashes.miss(now);
        }
    }

    /// Records that a notice broke the link to a peer.
    pub fn handle_crash_break(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.crashes.break_off(now);
        }
    }

    /// Adds what a peer reports. Returns what is news. `passes_on` tells whether that is news for
    /// others as well, as where another data centre reports it to a few of this one.
    fn learn_crashes(
        &mut self,
        reports: &[CrashReport],
        passes_on: bool,
        now: Duration,
    ) -> Vec<FleetNotice> {
        let mut news = vec![];
        for report in reports {
            if !self.crashes.log.apply(report, now) {
                continue;
            }
            news.push(*report);
            if passes_on {
                self.crashes.news.push(report.fingerprint);
            }
        }
        if news.is_empty() { vec![] } else { vec![FleetNotice::Crashes(news)] }
    }

    /// Has one peer of the group and one of the others compared with, now and then.
    fn compare_in_turn(&mut self, now: Duration) {
        let (at, turn) = self.crashes.compared;
        if now < at + COMPARE_PERIOD || self.crashes.log.is_empty() {
            return;
        }
        self.crashes.compared = (now, turn + 1);
        self.crashes.log.expire(now);
        let names = self.told_peers(now, |peer| &peer.crashes, |_| true);
        if names.is_empty() {
            return;
        }
        let name = &names[turn as usize % names.len()];
        if let Some(peer) = self.peers.get_mut(name) {
            peer.crashes.compare = true;
        }
    }

    /// Returns which peers get notices of a kind: those of the group, and a few of each other, as
    /// far as something is due to them.
    pub(super) fn told_peers(
        &self,
        now: Duration,
        contact: impl Fn(&PeerRecord) -> &NoticeContact,
        is_due: impl Fn(&NoticeContact) -> bool,
    ) -> Vec<InstanceName> {
        let timeout = self.liveness_timeout();
        let near = self.peers.values().filter(|peer| {
            self.is_near(peer) && is_due(contact(peer)) && peer.heard_within(now, timeout)
        });
        let far = self.told_contacts(now).into_iter();
        let far = far.filter(|peer| is_due(contact(peer)));
        let told = near.chain(far).filter(|peer| contact(peer).may_be_told(now));
        told.map(|peer| peer.info.name.clone()).collect()
    }

    /// Returns the contacts in each other data centre that get notices. Each instance has
    /// an order of its own, so that not all tell the same ones.
    fn told_contacts(&self, now: Duration) -> Vec<&PeerRecord> {
        let timeout = self.far_liveness_timeout();
        let far = self
            .peers
            .values()
            .filter(|peer| !self.is_near(peer) && peer.heard_within(now, timeout));
        let far: Vec<&PeerRecord> = far.collect();
        let names: Vec<&str> = far.iter().map(|peer| peer.info.name.as_str()).collect();
        let order = rendezvous_order(u64::from(self.key()), &names);
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let ordered = order.into_iter().map(|place| far[place]);
        let told = ordered.filter(|peer| {
            let count = counts.entry(&peer.info.data_centre).or_default();
            *count += 1;
            *count <= CONTACTS_TOLD
        });
        told.collect()
    }
}
