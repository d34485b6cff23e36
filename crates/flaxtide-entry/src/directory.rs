//! The backend servers that the platform lists, and those whose row is missing.
//!
//! A server's row disappears when the server has left, but also when it couldn't renew the
//! row because the platform was unavailable. In the first case the server must soon get no
//! more requests; in the second it stays in use, so that an outage of the platform doesn't
//! take all servers out of service.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use flaxtide_core::ServerName;
use flaxtide_fleet::AnswerSpan;

use crate::answers::max_answer_gap;
use crate::contract::ServerEntry;
use crate::lapse::{LapseExtent, MissingRow, OutageSpan, ServiceLapses, grace_end};

/// How long a departed server isn't used after a store restored from a backup lists it again, in
/// renewal periods. If the server doesn't renew its row, the row expires after three.
const RESTORED_ROW_HOLD_PERIODS: u32 = 4;

/// By how much the end of a server's cold time, as computed from two of its rows, differs
/// at most because the rows took different times to arrive.
const COLD_SLACK: Duration = Duration::from_millis(300);

/// How long a departed server is remembered: longer than the age of a backup of the store.
const DEPARTED_RETENTION: Duration = Duration::from_secs(300);

/// The servers that may be used.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::ServerDirectory;
/// let mut directory =
///     ServerDirectory::new(Duration::from_secs(3), Duration::from_millis(1200));
/// assert!(!directory.mark_missing("unknown", Duration::ZERO));
/// assert!(directory.expire(Duration::from_secs(60)).is_empty());
/// ```
#[derive(Debug)]
pub struct ServerDirectory {
    /// The servers by name.
    servers: BTreeMap<ServerName, DirectoryEntry>,
    /// The servers whose row is missing.
    missing: BTreeSet<ServerName>,
    /// The number of servers of each service.
    service_sizes: HashMap<String, usize>,
    /// The last outage of the platform, as this instance took its own lack of news for one.
    outage: Option<OutageSpan>,
    /// For how long the platform has been answering instances of the data centre.
    answers: Option<AnswerSpan>,
    /// The time within which a leaving server must get no more requests.
    leave_within: Duration,
    /// How often servers renew their rows.
    renewal_period: Duration,
    /// The era of the store, which increases each time the store is restored from a backup.
    era: u64,
    /// The incarnations of servers that have left recently.
    departed: BTreeMap<ServerName, DepartedServer>,
    /// Departed servers that a restored store lists again, with the time from which they may be
    /// used.
    held: BTreeMap<ServerName, (ServerEntry, Duration)>,
}

/// An incarnation of a server that has left.
#[derive(Debug)]
struct DepartedServer {
    /// When it started, if its row said so.
    started: Option<u64>,
    /// Whether it had announced that it was leaving. Otherwise its row disappeared.
    leaving: bool,
    /// The era of the store at that time.
    era: u64,
    /// When it was removed from the directory.
    left_at: Duration,
}

/// A server, and whether the platform lists it.
#[derive(Debug, Clone)]
pub(crate) struct DirectoryEntry {
    /// The server's row.
    pub(crate) entry: ServerEntry,
    /// When the row disappeared; `None` while it is listed.
    missing: Option<MissingRow>,
    /// When this incarnation of the server was first listed.
    listed_at: Duration,
    /// Until when the server is cold, as its rows say; `None` if they don't.
    cold_until: Option<Duration>,
}

impl DirectoryEntry {
    /// Creates the entry of a server that has just been listed.
    fn new(mut entry: ServerEntry, now: Duration) -> Self {
        let cold_until = entry.cold_left.take().map(|left| now.saturating_add(left));
        Self { entry, missing: None, listed_at: now, cold_until }
    }

    /// Returns whether the server's row is missing.
    pub(crate) fn is_row_missing(&self) -> bool {
        self.missing.is_some()
    }

    /// Returns until when the server is cold, if it stays cold for `span` after its start.
    pub(crate) fn cold_until(&self, span: Duration) -> Duration {
        self.cold_until.unwrap_or(self.listed_at.saturating_add(span))
    }

    /// Applies what a newer row says about how long the server is cold. Returns whether
    /// that is notably longer than known.
    fn update_cold(&mut self, cold_left: Option<Duration>, now: Duration) -> bool {
        let Some(left) = cold_left else { return false };
        let until = now.saturating_add(left);
        let longer = !left.is_zero()
            && self
                .cold_until
                .is_none_or(|known| until > known.saturating_add(COLD_SLACK));
        if longer || self.cold_until.is_none() {
            self.cold_until = Some(until);
        }
        longer
    }
}

impl ServerDirectory {
    /// Creates an empty directory. A leaving server must get no more requests after
    /// `leave_within`; servers renew their rows every `renewal_period`.
    #[must_use]
    pub fn new(leave_within: Duration, renewal_period: Duration) -> Self {
        Self {
            renewal_period,
            servers: BTreeMap::new(),
            missing: BTreeSet::new(),
            service_sizes: HashMap::new(),
            outage: None,
            answers: None,
            leave_within,
            era: 0,
            departed: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Records for how long the platform has been answering instances of the data centre.
    pub fn record_answers(&mut self, answers: AnswerSpan) {
        self.answers = Some(answers);
    }

    /// Records that this instance has had no news of the platform for long, which is an outage
    /// unless the platform has been answering other instances.
    pub fn record_outage(&mut self, now: Duration) {
        self.outage = Some(OutageSpan::extend(self.outage, now));
    }

    /// Records the era of the store that the following rows are from.
    pub(crate) fn enter_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Applies a server's row. Returns whether that changes anything. A server that has
    /// announced that it is leaving gets no more requests, even if a restored store lists
    /// it as ready. Only another incarnation of it is used again.
    pub fn put(&mut self, mut entry: ServerEntry, now: Duration) -> bool {
        let name = entry.name.clone();
        let known = self.servers.get(&name);
        // A row without a start time belongs to the known incarnation.
        entry.started = entry.started.or(known.and_then(|known| known.entry.started));
        entry.leaving |= known.is_some_and(|known| {
            known.entry.leaving && known.entry.started == entry.started
        });
        if !self.servers.contains_key(&name) && self.hold_back_row(&entry, now) {
            return false;
        }
        let Some(known) = self.servers.get_mut(&name) else {
            self.insert(name, DirectoryEntry::new(entry, now));
            return true;
        };
        if known.entry.started != entry.started || known.entry.service != entry.service {
            self.insert(name, DirectoryEntry::new(entry, now));
            return true;
        }
        let mut changed = known.update_cold(entry.cold_left.take(), now);
        if known.missing.take().is_some() {
            self.missing.remove(&name);
            changed = true;
        }
        changed |= known.entry != entry;
        known.entry = entry;
        changed
    }

    /// Records that a server has announced in a response that it is leaving. Later rows of the
    /// same incarnation don't revoke this. Returns whether that changes anything.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let Some(server) = self.servers.get_mut(name) else { return false };
        !std::mem::replace(&mut server.entry.leaving, true)
    }

    /// Stores or ignores the row of an unknown server if the server has departed. Returns whether
    /// the row must not be applied now.
    fn hold_back_row(&mut self, entry: &ServerEntry, now: Duration) -> bool {
        let departed = self.departed.get(&entry.name);
        let departed = departed.filter(|departed| {
            entry.started.is_none() || departed.started == entry.started
        });
        let Some(departed) = departed else { return false };
        if departed.leaving {
            return true;
        }
        if departed.era >= self.era {
            // The row had expired and the server has written it again.
            return false;
        }
        let until = now + self.renewal_period * RESTORED_ROW_HOLD_PERIODS;
        let held = self.held.entry(entry.name.clone());
        held.or_insert((entry.clone(), until)).0 = entry.clone();
        true
    }

    /// Remembers that a server has departed.
    fn record_departure(&mut self, entry: &ServerEntry, now: Duration) {
        self.departed
            .retain(|_, departed| now < departed.left_at + DEPARTED_RETENTION);
        let departed = DepartedServer {
            started: entry.started,
            leaving: entry.leaving,
            era: self.era,
            left_at: now,
        };
        self.departed.insert(entry.name.clone(), departed);
    }

    /// Puts held servers into use whose hold has ended: a server that isn't running would have
    /// lost its row by then. Returns whether there are any.
    pub(crate) fn release_held(&mut self, now: Duration) -> bool {
        let due = self.held.iter().filter(|(_, (_, until))| now >= *until);
        let due: Vec<ServerName> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            let Some((entry, _)) = self.held.remove(name) else { continue };
            self.departed.remove(name);
            self.insert(name.clone(), DirectoryEntry::new(entry, now));
        }
        !due.is_empty()
    }

    /// Returns whether an entry describes another incarnation of a known server.
    pub(crate) fn is_restart(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.name).and_then(|known| known.entry.started);
        known.is_some() && entry.started.is_some() && known != entry.started
    }

    /// Removes a server at once, because its row no longer describes a server. Returns whether
    /// it was in use.
    pub(crate) fn discard(&mut self, name: &str) -> bool {
        self.held.remove(name);
        self.take(name).is_some()
    }

    /// Records that a row has just disappeared. Returns whether that changes anything.
    pub fn mark_missing(&mut self, name: &str, now: Duration) -> bool {
        self.mark_missing_within(name, Duration::ZERO, now)
    }

    /// Records that a row has disappeared within the last `unseen`, during which the list wasn't
    /// read. Returns whether that changes anything.
    pub fn mark_missing_within(
        &mut self,
        name: &str,
        unseen: Duration,
        now: Duration,
    ) -> bool {
        self.held.remove(name);
        let Some(server) = self.servers.get_mut(name) else { return false };
        if server.entry.leaving {
            if let Some(server) = self.take(name) {
                self.record_departure(&server.entry, now);
            }
            return true;
        }
        if server.missing.is_some() {
            return false;
        }
        let last_seen_at = now.saturating_sub(unseen);
        server.missing = Some(MissingRow { noticed_at: now, last_seen_at });
        self.missing.insert(name.to_owned());
        true
    }

    /// Records that all rows that aren't in a complete list have disappeared within the last
    /// `unseen`. Returns the names of the servers for which that is new.
    pub(crate) fn retain_listed(
        &mut self,
        listed: &HashSet<ServerName>,
        unseen: Duration,
        now: Duration,
    ) -> Vec<ServerName> {
        let known = self.servers.keys().chain(self.held.keys());
        let mut missing: Vec<ServerName> =
            known.filter(|name| !listed.contains(*name)).cloned().collect();
        missing.retain(|name| self.mark_missing_within(name, unseen, now));
        missing
    }

    /// Removes servers whose row has been missing for too long. Returns their names.
    pub fn expire(&mut self, now: Duration) -> Vec<ServerName> {
        let missing = self.missing.iter().filter_map(|name| {
            let server = self.servers.get(name)?;
            Some((name, server.entry.service.as_str(), server.missing?))
        });
        let missing: Vec<(&ServerName, &str, MissingRow)> = missing.collect();
        let rows = missing.iter().map(|(_, service, row)| (*service, *row));
        let lapses = ServiceLapses::new(rows, &self.service_sizes);
        let expired = missing.iter().filter(|(_, service, row)| {
            let extent = lapses.extent(service, *row);
            let outage = self.possible_outage(*row, extent);
            now >= grace_end(*row, extent, outage, self.leave_within)
        });
        let expired: Vec<ServerName> =
            expired.map(|(name, ..)| (*name).clone()).collect();
        for name in &expired {
            if let Some(server) = self.take(name) {
                self.record_departure(&server.entry, now);
            }
        }
        expired
    }

    /// Returns the outage in which a row may have disappeared. That of a whole service may be one
    /// that this instance hasn't noticed: it would leave the service without servers.
    fn possible_outage(
        &self,
        row: MissingRow,
        extent: LapseExtent,
    ) -> Option<OutageSpan> {
        let max_gap = max_answer_gap(self.renewal_period);
        let is_gone =
            |answers: AnswerSpan| row.is_gone(answers, max_gap, self.leave_within);
        if self.answers.is_some_and(is_gone) {
            return None;
        }
        if extent != LapseExtent::All {
            return self.outage;
        }
        Some(OutageSpan::unnoticed(self.answers, row).latest(self.outage))
    }

    /// Adds or replaces a server.
    fn insert(&mut self, name: ServerName, server: DirectoryEntry) {
        self.take(&name);
        *self.service_sizes.entry(server.entry.service.clone()).or_default() += 1;
        self.servers.insert(name, server);
    }

    /// Removes and returns a server.
    fn take(&mut self, name: &str) -> Option<DirectoryEntry> {
        self.missing.remove(name);
        let server = self.servers.remove(name)?;
        if let Some(size) = self.service_sizes.get_mut(&server.entry.service) {
            *size -= 1;
            if *size == 0 {
                self.service_sizes.remove(&server.entry.service);
            }
        }
        Some(server)
    }

    /// Returns whether the row of any server is missing.
    pub(crate) fn has_missing_rows(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns a server by name.
    pub(crate) fn get(&self, name: &str) -> Option<&DirectoryEntry> {
        self.servers.get(name)
    }

    /// Returns the servers of a service.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.iter().filter(move |server| server.entry.service == service)
    }

    /// Returns all servers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.servers.values()
    }

    /// Returns the data centres of the servers, with repetitions.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.servers.values().map(|server| server.entry.data_centre.as_str())
    }

    /// Returns the number of servers that may be used.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }
}
