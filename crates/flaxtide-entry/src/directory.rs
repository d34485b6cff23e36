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

/// All servers that may be used.
#[derive(Debug)]
pub(crate) struct ServerDirectory {
    /// The servers by name.
    servers: BTreeMap<ServerName, DirectoryEntry>,
    /// When the platform last was known to be out.
    troubled: Option<Duration>,
    /// Within what time a server that leaves must get no more work.
    leave_within: Duration,
}

/// A server, and whether the platform lists it.
#[derive(Debug, Clone)]
pub(crate) struct DirectoryEntry {
    /// What the platform told of it.
    pub(crate) entry: ServerEntry,
    /// When its row went, if it has.
    missing: Option<Duration>,
}

impl DirectoryEntry {
    /// Tells whether the platform doesn't list it now.
    pub(crate) fn lapsed(&self) -> bool {
        self.missing.is_some()
    }
}

impl ServerDirectory {
    /// Starts with no server known.
    pub(crate) fn new(leave_within: Duration) -> Self {
        Self {
            servers: BTreeMap::new(),
            troubled: None,
            leave_within,
        }
    }

    /// Records that the platform is out.
    pub(crate) fn trouble(&mut self, now: Duration) {
        self.troubled = Some(now);
    }

    /// Takes in a server's row. Returns whether that changes anything.
    pub(crate) fn put(&mut self, mut entry: ServerEntry) -> bool {
        let name = entry.name.clone();
        let known = self.servers.get(&name);
        // A row that doesn't say when its server started is of the start that is known.
        entry.started = entry.started.or(known.and_then(|known| known.entry.started));
        if known.is_some_and(|known| !known.lapsed() && known.entry == entry) {
            return false;
        }
        self.servers.insert(name, DirectoryEntry { entry, missing: None });
        true
    }

    /// Returns whether an entry is of another start of a known server.
    pub(crate) fn starts_again(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.name).and_then(|known| known.entry.started);
        known.is_some() && entry.started.is_some() && known != entry.started
    }

    /// Forgets a server at once, as its row names none any more. Returns whether it was
    /// known.
    pub(crate) fn discard(&mut self, name: &str) -> bool {
        self.servers.remove(name).is_some()
    }

    /// Takes in that a row has gone. Returns whether that changes anything.
    pub(crate) fn remove(&mut self, name: &str, now: Duration) -> bool {
        let Some(server) = self.servers.get_mut(name) else { return false };
        if server.entry.leaving {
            self.servers.remove(name);
            return true;
        }
        if server.missing.is_some() {
            return false;
        }
        server.missing = Some(now);
        true
    }

    /// Takes in a whole list: what it lacks has gone.
    pub(crate) fn keep_only(&mut self, listed: &[ServerName], now: Duration) -> bool {
        let known: Vec<ServerName> = self.servers.keys().cloned().collect();
        let mut changed = false;
        for name in known {
            if !listed.contains(&name) {
                changed |= self.remove(&name, now);
            }
        }
        changed
    }

    /// Forgets servers that have been missing for too long. Returns their names.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<ServerName> {
        let expired = self.servers.iter().filter(|(_, server)| {
            let Some(missing) = server.missing else { return false };
            now >= self.gone_at(&server.entry.service, missing)
        });
        let expired: Vec<ServerName> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.servers.remove(name);
        }
        expired
    }

    /// Returns until when a server of a service is used whose row has gone.
    fn gone_at(&self, service: &str, missing: Duration) -> Duration {
        let members = || {
            let servers = self.servers.values();
            servers.filter(|server| server.entry.service == service)
        };
        let together = members().filter(|server| {
            server.missing.is_some_and(|other| other.abs_diff(missing) < TOGETHER)
        });
        let together = together.count();
        if together >= 2 && together as f64 >= LAPSE_PART * members().count() as f64 {
            return missing + LAPSE_GRACE;
        }
        let Some(troubled) = self.troubled else {
            return missing + self.leave_within.mul_f64(GONE_PART);
        };
        if missing <= troubled + AT_RETURN {
            return troubled + RETURN_GRACE;
        }
        let returned =
            (troubled + RETURN_GRACE).max(missing + self.leave_within.mul_f64(GONE_PART));
        returned.min(missing + self.leave_within.mul_f64(LONGEST_PART))
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
