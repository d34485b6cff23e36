//! Exchange of crash reports: evidence of requests that crash backend servers. New reports are
//! sent to peers at once and resent until they are acknowledged. Logs are compared with peers
//! that start or come back.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::InstanceName;
use flaxtide_policy::{CrashLog, CrashReport, Fingerprint, rendezvous_order};

use super::{FleetNode, NodeEvent};
use crate::changes::ChangeQueue;
use crate::info::PeerInfo;
use crate::notice::{NoticeState, PendingNotice};
use crate::peer::PeerRecord;
use crate::wire::{CrashNotice, CrashReply};

/// The interval at which the log is compared with the next peer's. This finds reports that an
/// instance failed to send on before it ended.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);

/// The most peers with which the log is compared at the same time: each may answer with its
/// whole log.
const MAX_PARALLEL_COMPARISONS: usize = 3;

/// How many contacts in each other data centre are sent new reports. The second one covers the
/// loss of the first.
const NOTIFIED_CONTACTS: usize = 2;

/// The most reports in a message, about 34 KB.
const MAX_REPORTS: usize = 1024;

/// A crash notice to be sent to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingCrashes {
    /// The peer that receives it.
    pub to: PeerInfo,
    /// The message.
    pub notice: CrashNotice,
}

/// The known server crashes, and which of them peers still need.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    /// All known reports.
    log: CrashLog,
    /// The requests with new reports for peers, in order.
    changes: ChangeQueue<Fingerprint>,
    /// When a comparison was last scheduled, and how many have been scheduled.
    last_comparison: (Duration, u64),
    /// Whether a peer has answered a comparison since the start.
    has_synced: bool,
}

impl CrashState {
    /// Returns the reports of requests that changed after a change number.
    fn changed_reports(&self, acknowledged: u64, now: Duration) -> Vec<CrashReport> {
        let requests = self.changes.after(acknowledged);
        let reports = requests.flat_map(|request| self.log.reports_of(request, now));
        reports.take(MAX_REPORTS).collect()
    }
}

impl FleetNode {
    /// Records crashes that this instance has observed, and queues them for its peers.
    pub fn record_crashes(&mut self, reports: &[CrashReport], now: Duration) {
        for report in reports {
            self.crashes.log.apply(report, now);
            self.crashes.changes.push(report.fingerprint);
        }
    }

    /// Returns whether a peer has sent this instance the crashes that it knows of.
    #[must_use]
    pub fn has_synced_crashes(&self) -> bool {
        self.crashes.has_synced
    }

    /// Returns the crash notices that are due.
    pub fn due_crashes(&mut self, now: Duration) -> Vec<OutgoingCrashes> {
        self.schedule_comparison(now);
        let last = self.crashes.changes.last();
        let recipients = self.peers_to_notify(
            now,
            |peer| &peer.crash_notices,
            |state| state.is_due(last),
        );
        if recipients.is_empty() {
            return vec![];
        }
        let comparing = self
            .peers
            .values()
            .filter(|peer| peer.crash_notices.is_comparing(now))
            .count();
        let mut free = MAX_PARALLEL_COMPARISONS.saturating_sub(comparing);
        let mut due = vec![];
        for name in recipients {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let state = &mut peer.crash_notices;
            let compares = state.needs_comparison && free > 0;
            let has_reports = state.acknowledged < last || state.needs_all;
            if !(compares || has_reports) {
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

    /// Handles a peer's notice. Returns the reply, and an event with the reports that are new.
    pub fn handle_crashes(
        &mut self,
        notice: &CrashNotice,
        now: Duration,
    ) -> (CrashReply, Vec<NodeEvent>) {
        let forwards = !notice.to_all && !self.in_own_data_centre(&notice.from);
        let events = self.apply_crash_reports(&notice.reports, forwards, now);
        let digest = self.crashes.log.digest();
        let differs = notice.digest.is_some_and(|other| other != digest);
        let reports =
            if differs { self.crashes.log.reports(MAX_REPORTS, now) } else { vec![] };
        let evacuations = self.evacuations.records();
        (CrashReply { reports, digest, evacuations }, events)
    }

    /// Handles the reply to a notice. Returns events with what is new in it.
    pub fn handle_crash_reply(
        &mut self,
        from: &InstanceName,
        reply: &CrashReply,
        now: Duration,
    ) -> Vec<NodeEvent> {
        let Some(peer) = self.peers.get_mut(from) else { return vec![] };
        let Some(notice) = peer.crash_notices.record_answer() else { return vec![] };
        let info = peer.info.clone();
        let forwards = !self.group.is_single && !self.in_own_data_centre(&info);
        let mut events = self.apply_crash_reports(&reply.reports, forwards, now);
        events.extend(self.apply_evacuations(&reply.evacuations, forwards));
        if notice.compares {
            self.crashes.has_synced = true;
            let logs_differ = self.crashes.log.digest() != reply.digest;
            if let Some(peer) = self.peers.get_mut(from) {
                peer.crash_notices.needs_all = logs_differ;
            }
        }
        events
    }

    /// Records that a notice couldn't be sent because there is no link to the peer.
    pub fn handle_crash_no_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.crash_notices.record_no_link(now);
        }
    }

    /// Records that the link to a peer broke while a notice was in flight.
    pub fn handle_crash_broken_link(&mut self, to: &InstanceName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.crash_notices.record_broken_link(now);
        }
    }

    /// Applies a peer's reports and returns an event with the new ones. `forwards` tells
    /// whether to send these on to the group, because another data centre sends them to only a
    /// few instances here.
    fn apply_crash_reports(
        &mut self,
        reports: &[CrashReport],
        forwards: bool,
        now: Duration,
    ) -> Vec<NodeEvent> {
        let mut new_reports = vec![];
        for report in reports {
            if !self.crashes.log.apply(report, now) {
                continue;
            }
            new_reports.push(*report);
            if forwards {
                self.crashes.changes.push(report.fingerprint);
            }
        }
        if new_reports.is_empty() {
            vec![]
        } else {
            vec![NodeEvent::Crashes(new_reports)]
        }
    }

    /// Marks the next peer for a comparison, and drops expired reports, once the comparison
    /// period is over.
    fn schedule_comparison(&mut self, now: Duration) {
        let (at, round) = self.crashes.last_comparison;
        if now < at + COMPARE_PERIOD || self.crashes.log.is_empty() {
            return;
        }
        self.crashes.last_comparison = (now, round + 1);
        self.crashes.log.expire(now);
        let names = self.peers_to_notify(now, |peer| &peer.crash_notices, |_| true);
        if names.is_empty() {
            return;
        }
        let name = &names[round as usize % names.len()];
        if let Some(peer) = self.peers.get_mut(name) {
            peer.crash_notices.needs_comparison = true;
        }
    }

    /// Returns the peers that are to be sent notices of one kind now: those of the group, and a
    /// few contacts in each other data centre, if a notice is due to them.
    pub(super) fn peers_to_notify(
        &self,
        now: Duration,
        state: impl Fn(&PeerRecord) -> &NoticeState,
        is_due: impl Fn(&NoticeState) -> bool,
    ) -> Vec<InstanceName> {
        let timeout = self.liveness_timeout();
        let in_group = self.peers.values().filter(|peer| {
            self.in_own_group(peer)
                && is_due(state(peer))
                && peer.heard_within(now, timeout)
        });
        let remote = self.contacts_to_notify(now).into_iter();
        let remote = remote.filter(|peer| is_due(state(peer)));
        let recipients = in_group.chain(remote).filter(|peer| state(peer).may_send(now));
        recipients.map(|peer| peer.info.name.clone()).collect()
    }

    /// Returns the contacts in each other data centre that are sent notices. Each instance
    /// orders the candidates differently, so that they don't all notify the same ones.
    fn contacts_to_notify(&self, now: Duration) -> Vec<&PeerRecord> {
        let timeout = self.contact_liveness_timeout();
        let remote = self
            .peers
            .values()
            .filter(|peer| !self.in_own_group(peer) && peer.heard_within(now, timeout));
        let remote: Vec<&PeerRecord> = remote.collect();
        let names: Vec<&str> =
            remote.iter().map(|peer| peer.info.name.as_str()).collect();
        let order = rendezvous_order(u64::from(self.own_key()), &names);
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let ordered = order.into_iter().map(|index| remote[index]);
        let recipients = ordered.filter(|peer| {
            let count = counts.entry(&peer.info.data_centre).or_default();
            *count += 1;
            *count <= NOTIFIED_CONTACTS
        });
        recipients.collect()
    }
}
