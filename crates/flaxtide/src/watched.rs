//! What an instance knows of the backend servers that it and its peers watch.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_policy::LoadReport;

use crate::view::SettingsView;

/// What is known of a server's leaving is told again after this time: a server that
/// refused once as leaving may have come back.
const RETELL_PERIOD: Duration = Duration::from_secs(5);

/// What is known of backend servers, beside the decision core.
#[derive(Debug, Default)]
pub(crate) struct WatchState {
    /// The record.
    record: Mutex<WatchRecord>,
}

/// The record of a [`WatchState`].
#[derive(Debug, Default)]
struct WatchRecord {
    /// The servers that this instance watches; nothing before its peers are known.
    own: Option<BTreeSet<ServerId>>,
    /// The last reports of watched servers.
    reports: BTreeMap<ServerId, LoadReport>,
    /// The servers that the platform's list calls leaving.
    listed: BTreeSet<ServerId>,
    /// The servers that their watcher calls leaving.
    reported: BTreeSet<ServerId>,
    /// What the decision core was told of each server's leaving, and when.
    told: BTreeMap<ServerId, (bool, Duration)>,
}

impl WatchState {
    /// Sets the servers that this instance watches.
    pub(crate) fn set_own(&self, own: BTreeSet<ServerId>) {
        let mut record = self.lock();
        record.reports.retain(|server, _| own.contains(server));
        record.own = Some(own);
    }

    /// Returns the last reports of watched servers.
    pub(crate) fn reports(&self) -> BTreeMap<ServerId, LoadReport> {
        self.lock().reports.clone()
    }

    /// Tells whether a server is leaving, by the list or by its own report.
    pub(crate) fn leaving(&self, server: ServerId) -> bool {
        let record = self.lock();
        record.listed.contains(&server) || record.reported.contains(&server)
    }

    /// Takes in whether a server is leaving, as its watcher or the server itself says.
    pub(crate) fn report_leaving(&self, server: ServerId, leaving: bool) {
        let mut record = self.lock();
        if leaving {
            record.reported.insert(server);
        } else {
            record.reported.remove(&server);
        }
    }

    /// Takes in a server's report of its load.
    pub(crate) fn report_load(&self, report: LoadReport) {
        self.lock().reports.insert(report.server, report);
    }

    /// Takes in which servers the platform's list calls leaving. Returns those that it
    /// calls so now or did before.
    pub(crate) fn list_leaving(
        &self,
        leaving: &BTreeSet<ServerId>,
    ) -> BTreeSet<ServerId> {
        let before = std::mem::replace(&mut self.lock().listed, leaving.clone());
        before.union(leaving).copied().collect()
    }

    /// Works out what the decision core is to be told of a server's leaving. What isn't
    /// news is told again now and then, as the core may have been told otherwise by a
    /// refusal.
    pub(crate) fn leaving_news(&self, server: ServerId, now: Duration) -> LeavingNews {
        let leaving = self.leaving(server);
        let last = self.lock().told.get(&server).copied();
        let changed = last.map_or(leaving, |(told, _)| told != leaving);
        let due = last.is_some_and(|(_, at)| now >= at + RETELL_PERIOD);
        if changed || due || last.is_none() {
            self.lock().told.insert(server, (leaving, now));
        }
        LeavingNews { leaving, changed, tell: changed || due }
    }

    /// Returns the servers to poll.
    pub(crate) fn to_poll(&self, view: &SettingsView) -> Vec<(ServerId, SocketAddr)> {
        let record = self.lock();
        let own = |server: &ServerId| {
            record.own.as_ref().is_none_or(|own| own.contains(server))
        };
        let servers = view.servers.iter().filter(|(server, _)| own(server));
        servers.map(|(server, entry)| (*server, entry.address)).collect()
    }

    /// Locks the record. A panic elsewhere doesn't spoil it.
    fn lock(&self) -> MutexGuard<'_, WatchRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the decision core is to be told of a server's leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeavingNews {
    /// Whether the server is leaving.
    pub(crate) leaving: bool,
    /// Whether that is news.
    pub(crate) changed: bool,
    /// Whether the core is to be told.
    pub(crate) tell: bool,
}
