//! The servers that the platform lists, and those that it has lost sight of.
//!
//! A server's row goes when the server has left, and also when it couldn't renew the row
//! because the platform was out. The first kind gets no more work soon; the second is used
//! on, so that an outage of the platform doesn't take the servers away.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_core::ServerName;

use crate::contract::ServerEntry;

/// For how long a server whose row has gone is used if nothing else is known, as a part of
/// the time within which a server that leaves must get no more work. It goes on serving for
/// longer than this; servers that are left take its work meanwhile.
const GONE_PART: f64 = 0.4;

/// A row that goes while the platform answers is used for no longer than this part of that
/// time, whatever was before. With [`FEED_PART`] and the period in which rows are looked at,
/// the whole stays within it.
const LONGEST_PART: f64 = 0.55;

/// A row that is found missing late is used for no longer than this part of that time since it
/// may have gone, whatever it was that kept the list from being looked at. The rest is for a
/// request that is on its way.
const UNSEEN_PART: f64 = 0.85;

/// The time between two looks at the list, as a part of that time.
pub(crate) const FEED_PART: f64 = 0.35;

/// Servers write their rows anew within two seconds of the platform's return.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

/// For how long a row that went together with many others is missed.
const LAPSE_GRACE: Duration = Duration::from_secs(8);

/// Rows that are missing this soon after the platform's return went while it was out.
const AT_RETURN: Duration = Duration::from_millis(500);

/// Rows that go within this time of each other go together.
const TOGETHER: Duration = Duration::from_millis(1500);

/// So many rows that go together, as a part of a service, are a lapse and no departure.
const LAPSE_PART: f64 = 0.34;

/// For how long a server that had gone and is listed by a restored copy of the store isn't
/// used: a row that its server doesn't renew lapses within three heartbeats of 1.2 s.
const HELD_BACK: Duration = Duration::from_secs(5);

/// How long a server that has left is remembered: longer than a copy of the store is old.
const REMEMBERED: Duration = Duration::from_secs(300);

/// All servers that may be used.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_entry::ServerDirectory;
/// let mut directory = ServerDirectory::new(Duration::from_secs(3));
/// assert!(!directory.remove("unknown", Duration::ZERO));
/// assert!(directory.expire(Duration::from_secs(60)).is_empty());
/// ```
#[derive(Debug)]
pub struct ServerDirectory {
    /// The servers by name.
    servers: BTreeMap<ServerName, DirectoryEntry>,
    /// The last outage of the platform.
    outage: Option<OutageSpan>,
    /// Within what time a server that leaves must get no more work.
    leave_within: Duration,
    /// The era of the store by whose rows this is.
    era: u64,
    /// The starts of servers that have left lately.
    departed: BTreeMap<ServerName, DepartedServer>,
    /// Servers that had gone and are listed by a restored copy, and from when they are believed.
    held: BTreeMap<ServerName, (ServerEntry, Duration)>,
}

/// An outage of the platform, as far as it is known.
#[derive(Debug, Clone, Copy)]
struct OutageSpan {
    /// When it was first noted.
    since: Duration,
    /// When it was last noted.
    last: Duration,
}

/// A start of a server that has left.
#[derive(Debug)]
struct DepartedServer {
    /// When it started, as far as its row told.
    started: Option<u64>,
    /// Whether it had said that it was leaving; otherwise its row went.
    leaving: bool,
    /// The era in which that was.
    era: u64,
    /// When it left.
    at: Duration,
}

/// A server, and whether the platform lists it.
#[derive(Debug, Clone)]
pub(crate) struct DirectoryEntry {
    /// What the platform told of it.
    pub(crate) entry: ServerEntry,
    /// When its row went, if it has.
    missing: Option<MissingRow>,
}

/// When a row went that is missing.
#[derive(Debug, Clone, Copy)]
struct MissingRow {
    /// When this instance learnt of it.
    learnt: Duration,
    /// Since when it may have been missing: the list was known to have it until then.
    since: Duration,
}

impl DirectoryEntry {
    /// Tells whether the platform doesn't list it now.
    pub(crate) fn lapsed(&self) -> bool {
        self.missing.is_some()
    }
}

impl ServerDirectory {
    /// Starts with no server known.
    #[must_use]
    pub fn new(leave_within: Duration) -> Self {
        Self {
            servers: BTreeMap::new(),
            outage: None,
            leave_within,
            era: 0,
            departed: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Records that the platform is out.
    pub fn record_outage(&mut self, now: Duration) {
        match &mut self.outage {
            Some(outage) if now <= outage.last + RETURN_GRACE => outage.last = now,
            _ => self.outage = Some(OutageSpan { since: now, last: now }),
        }
    }

    /// Records the era of the store whose rows follow.
    pub(crate) fn enter_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Records a server's row. Returns whether that changes anything. A server that has said
    /// that it is leaving gets no more work, even if a copy of the store from before lists it
    /// as ready; it comes back as another start only.
    pub fn put(&mut self, mut entry: ServerEntry, now: Duration) -> bool {
        let name = entry.name.clone();
        let known = self.servers.get(&name);
        // A row that doesn't say when its server started is of the start that is known.
        entry.started = entry.started.or(known.and_then(|known| known.entry.started));
        entry.leaving |= known.is_some_and(|known| {
            known.entry.leaving && known.entry.started == entry.started
        });
        if !self.servers.contains_key(&name) && self.holds_back(&entry, now) {
            return false;
        }
        let known = self.servers.get(&name);
        if known.is_some_and(|known| !known.lapsed() && known.entry == entry) {
            return false;
        }
        self.servers.insert(name, DirectoryEntry { entry, missing: None });
        true
    }

    /// Records that a server has said itself that it is leaving: what its row says afterwards
    /// takes nothing back. Returns whether that changes anything.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let Some(server) = self.servers.get_mut(name) else { return false };
        !std::mem::replace(&mut server.entry.leaving, true)
    }

    /// Returns whether a row of an unknown server isn't believed, or not yet: its server has left.
    fn holds_back(&mut self, entry: &ServerEntry, now: Duration) -> bool {
        let departed = self.departed.get(&entry.name);
        let departed = departed.filter(|departed| {
            entry.started.is_none() || departed.started == entry.started
        });
        let Some(departed) = departed else { return false };
        if departed.leaving {
            return true;
        }
        if departed.era >= self.era {
            // Its row had lapsed, and it has written it anew.
            return false;
        }
        let until = now + HELD_BACK;
        let held = self.held.entry(entry.name.clone());
        held.or_insert((entry.clone(), until)).0 = entry.clone();
        true
    }

    /// Remembers that a server has left.
    fn remember(&mut self, entry: &ServerEntry, now: Duration) {
        self.departed.retain(|_, departed| now < departed.at + REMEMBERED);
        let departed = DepartedServer {
            started: entry.started,
            leaving: entry.leaving,
            era: self.era,
            at: now,
        };
        self.departed.insert(entry.name.clone(), departed);
    }

    /// Puts servers into service that a restored copy has listed for so long that they must
    /// be there. Returns whether there are any.
    pub(crate) fn release_held(&mut self, now: Duration) -> bool {
        let due = self.held.iter().filter(|(_, (_, until))| now >= *until);
        let due: Vec<ServerName> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            let Some((entry, _)) = self.held.remove(name) else { continue };
            self.departed.remove(name);
            let listed = DirectoryEntry { entry, missing: None };
            self.servers.insert(name.clone(), listed);
        }
        !due.is_empty()
    }

    /// Returns whether an entry is of another start of a known server.
    pub(crate) fn is_restart(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.name).and_then(|known| known.entry.started);
        known.is_some() && entry.started.is_some() && known != entry.started
    }

    /// Forgets a server at once, as its row names none any more. Returns whether it was
    /// known.
    pub(crate) fn discard(&mut self, name: &str) -> bool {
        self.held.remove(name);
        self.servers.remove(name).is_some()
    }

    /// Records that a row has just gone. Returns whether that changes anything.
    pub fn remove(&mut self, name: &str, now: Duration) -> bool {
        self.remove_unseen(name, Duration::ZERO, now)
    }

    /// Records that a row has gone at some time in the last `unseen`. Returns whether that
    /// changes anything.
    pub fn remove_unseen(&mut self, name: &str, unseen: Duration, now: Duration) -> bool {
        self.held.remove(name);
        let Some(server) = self.servers.get_mut(name) else { return false };
        if server.entry.leaving {
            let entry = server.entry.clone();
            self.servers.remove(name);
            self.remember(&entry, now);
            return true;
        }
        if server.missing.is_some() {
            return false;
        }
        let since = now.saturating_sub(unseen);
        server.missing = Some(MissingRow { learnt: now, since });
        true
    }

    /// Applies a whole list: what it lacks has gone at some time in the last `unseen`.
    pub(crate) fn retain_listed(
        &mut self,
        listed: &[ServerName],
        unseen: Duration,
        now: Duration,
    ) -> bool {
        let known = self.servers.keys().chain(self.held.keys());
        let known: Vec<ServerName> = known.cloned().collect();
        let mut changed = false;
        for name in known {
            if !listed.contains(&name) {
                changed |= self.remove_unseen(&name, unseen, now);
            }
        }
        changed
    }

    /// Forgets servers that have been missing for too long. Returns their names.
    pub fn expire(&mut self, now: Duration) -> Vec<ServerName> {
        let expired = self.servers.iter().filter(|(_, server)| {
            let Some(missing) = server.missing else { return false };
            now >= self.gone_at(&server.entry.service, missing)
        });
        let expired: Vec<ServerName> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            if let Some(server) = self.servers.remove(name) {
                self.remember(&server.entry, now);
            }
        }
        expired
    }

    /// Returns until when a server of a service is used whose row has gone.
    fn gone_at(&self, service: &str, row: MissingRow) -> Duration {
        let missing = row.learnt;
        if self.is_lapse(service, missing) {
            return missing + LAPSE_GRACE;
        }
        let part = |part| self.leave_within.mul_f64(part);
        let latest = row.since + part(UNSEEN_PART);
        let usual = (missing + part(GONE_PART)).min(latest);
        // A row that went while the platform answered went for good, though it is out by now.
        let Some(outage) = self.outage.filter(|outage| missing >= outage.since) else {
            return usual;
        };
        if missing <= outage.last + AT_RETURN {
            return outage.last + RETURN_GRACE;
        }
        let returned = (outage.last + RETURN_GRACE).max(usual);
        returned.min(missing + part(LONGEST_PART)).min(latest)
    }

    /// Returns whether a row went together with many others of its service.
    fn is_lapse(&self, service: &str, missing: Duration) -> bool {
        let members = || {
            let servers = self.servers.values();
            servers.filter(|server| server.entry.service == service)
        };
        let together = members().filter(|server| {
            let others = server.missing;
            others.is_some_and(|other| other.learnt.abs_diff(missing) < TOGETHER)
        });
        let together = together.count();
        together >= 2 && together as f64 >= LAPSE_PART * members().count() as f64
    }

    /// Tells whether any server's row is missing.
    pub(crate) fn misses_any(&self) -> bool {
        self.servers.values().any(DirectoryEntry::lapsed)
    }

    /// Returns a server.
    pub(crate) fn get(&self, name: &str) -> Option<&DirectoryEntry> {
        self.servers.get(name)
    }

    /// Returns the servers of a service.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a DirectoryEntry> {
        let servers = self.servers.values();
        servers.filter(move |server| server.entry.service == service)
    }

    /// Returns how many servers may be used.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }
}
