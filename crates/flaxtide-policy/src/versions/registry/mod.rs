//! What an instance knows of the versions of services and streams.

mod notes;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::record::{ReadRecord, VersionRecord};
use super::{ServiceKey, StreamKey};
use crate::router::VersionKey;

/// For at least this long after a version was listed, streams that it began may be taken up.
const MIN_WINDOW: Duration = Duration::from_secs(15);

/// No stream is taken up later than this after its first event.
const MAX_WINDOW: Duration = Duration::from_secs(600);

/// The version of a stream, as told to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNote {
    /// The stream.
    pub stream: StreamKey,
    /// The version that began it.
    pub version: VersionKey,
    /// How much longer its caller may take it up again, in seconds.
    pub life_s: u16,
}

/// The versions of a service that an instance has listed lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionView {
    /// None has been listed.
    Unlisted,
    /// Only one, for at least this many milliseconds.
    Sole(VersionKey, u32),
    /// Several within the time for which streams may be taken up again.
    Several,
}

/// What an instance answers a peer that asks for the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnswer {
    /// The version of the stream, if it is noted.
    pub noted: Option<VersionKey>,
    /// The versions of the service.
    pub view: VersionView,
    /// Whether the list of servers is current, so that no stream can have begun at a version
    /// that isn't listed.
    pub is_current: bool,
}

/// What an instance knows of versions: those of the listed servers, and those of streams.
///
/// ```
/// use std::time::Duration;
/// use flaxtide_policy::{VersionRegistry, VersionView};
/// let (mut registry, now) = (VersionRegistry::default(), Duration::ZERO);
/// registry.set_listed(1, &[(7, 18)].into(), now);
/// assert_eq!(registry.view(1, now), VersionView::Sole(7, 0));
/// registry.set_listed(1, &[(7, 18), (8, 1)].into(), now);
/// registry.note_own(5, 8, Duration::from_secs(15), now);
/// assert_eq!(registry.answer(1, 5, true, now).noted, Some(8));
/// assert_eq!(registry.answer(1, 6, true, now).view, VersionView::Several);
/// ```
#[derive(Debug, Default)]
pub struct VersionRegistry {
    /// The versions of each service.
    services: HashMap<ServiceKey, ListedVersions>,
    /// The versions of streams.
    notes: HashMap<StreamKey, NotedStream>,
    /// Until when streams may be taken up that peers have told of, by version.
    told_versions: HashMap<VersionKey, Duration>,
    /// When expired notes were last removed.
    expired_at: Duration,
    /// The longest time for which a stream that was noted may be taken up again.
    longest_life: Duration,
}

/// The versions of a service in the list of servers.
#[derive(Debug, Default)]
struct ListedVersions {
    /// The versions of the servers that are listed now.
    listed: BTreeMap<VersionKey, ListedVersion>,
    /// The last version that was listed alone, or `None` before any.
    sole: Option<VersionKey>,
    /// Since when nothing else is known to have been listed.
    sole_since: Duration,
    /// When another version was last listed besides or before.
    mixed_at: Option<Duration>,
    /// What is recorded of earlier times, once it has been read.
    record: Option<ReadRecord>,
}

/// A version of a service that is listed.
#[derive(Debug, Clone, Copy)]
struct ListedVersion {
    /// The number of its servers in service.
    in_service: usize,
    /// Since when it has been listed.
    since: Duration,
}

/// The version of a stream.
#[derive(Debug, Clone, Copy)]
struct NotedStream {
    /// The version that began it.
    version: VersionKey,
    /// Until when its caller may take it up again.
    expires_at: Duration,
    /// Whether this instance has served it, and tells its replicas.
    own: bool,
}

impl ListedVersions {
    /// Returns for how long this instance has listed a version.
    fn listed_for(&self, version: VersionKey, now: Duration) -> Duration {
        let listed = self.listed.get(&version);
        listed.map_or(Duration::ZERO, |listed| now.saturating_sub(listed.since))
    }

    /// Returns whether all instances have listed a version: it has been recorded as listed for
    /// `grace`, or listed here for so long without any record.
    fn is_settled(&self, version: VersionKey, grace: Duration, now: Duration) -> bool {
        let listed_for = match &self.record {
            Some(record) => record.listed_for(version, now),
            None => Some(self.listed_for(version, now)),
        };
        listed_for.is_some_and(|span| span >= grace)
    }

    /// Returns whether the record allows that streams begin at a version.
    fn allows(&self, version: VersionKey) -> bool {
        self.record.as_ref().is_none_or(|record| record.allows(version))
    }

    /// Returns whether streams may begin at a version beside others.
    fn is_usable(&self, version: VersionKey, grace: Duration, now: Duration) -> bool {
        self.is_settled(version, grace, now) && self.allows(version)
    }

    /// Returns whether streams may begin beside others at a version with servers in service.
    fn has_usable_server(&self, grace: Duration, now: Duration) -> bool {
        let mut listed = self.listed.iter();
        listed.any(|(version, listed)| {
            listed.in_service > 0 && self.is_usable(*version, grace, now)
        })
    }

    /// Returns that of some versions which has the most servers in service.
    fn largest(&self, versions: impl Iterator<Item = VersionKey>) -> Option<VersionKey> {
        let in_service = |version: &VersionKey| {
            self.listed.get(version).map(|listed| listed.in_service)
        };
        versions.max_by_key(in_service)
    }
}

impl VersionRegistry {
    /// Sets the versions of the servers of a service that are listed, each with the number of
    /// its servers in service. Returns whether the service has several versions from now on and
    /// had a single one before.
    pub fn set_listed(
        &mut self,
        service: ServiceKey,
        counts: &BTreeMap<VersionKey, usize>,
        now: Duration,
    ) -> bool {
        let was_mixed = self.view(service, now) == VersionView::Several;
        let known = self.services.entry(service).or_default();
        let listed: BTreeMap<VersionKey, ListedVersion> = counts
            .iter()
            .map(|(version, in_service)| {
                let since = known.listed.get(version).map_or(now, |known| known.since);
                (*version, ListedVersion { in_service: *in_service, since })
            })
            .collect();
        if known.listed.keys().eq(listed.keys()) {
            known.listed = listed;
            return false;
        }
        let only = match (listed.len(), listed.keys().next()) {
            (1, Some(version)) => Some(*version),
            _ => None,
        };
        let is_other = only.is_some() && known.sole.is_some() && known.sole != only;
        if listed.len() > 1 || known.listed.len() > 1 || is_other {
            known.mixed_at = Some(now);
        }
        if only.is_some() && only != known.sole || known.listed.len() > 1 {
            known.sole_since = now;
        }
        known.sole = only.or(known.sole);
        known.listed = listed;
        !was_mixed && self.view(service, now) == VersionView::Several
    }

    /// Returns the versions of a service that have been listed lately.
    #[must_use]
    pub fn view(&self, service: ServiceKey, now: Duration) -> VersionView {
        let Some(known) = self.services.get(&service) else {
            return VersionView::Unlisted;
        };
        let is_recent = |at: Duration| now < at + self.window();
        if known.listed.len() > 1 || known.mixed_at.is_some_and(is_recent) {
            return VersionView::Several;
        }
        let Some(sole) = known.sole else { return VersionView::Unlisted };
        let listed_for = now.saturating_sub(known.sole_since);
        let known_for = match &known.record {
            None => listed_for,
            Some(record) => {
                let sole_for = record.sole_for(sole, now);
                if sole_for < self.window() {
                    return VersionView::Several;
                }
                // Versions that were listed here but never recorded have begun streams as well.
                known.mixed_at.map_or(sole_for, |_| sole_for.min(listed_for))
            }
        };
        VersionView::Sole(sole, u32::try_from(known_for.as_millis()).unwrap_or(u32::MAX))
    }

    /// Records what is recorded of the versions of a service, as read at `now`, which is `read_ms`
    /// on the store's clock. Returns whether the service has several versions from now on and
    /// had a single one before.
    pub fn set_recorded(
        &mut self,
        service: ServiceKey,
        record: VersionRecord,
        read_ms: u64,
        now: Duration,
    ) -> bool {
        let was_mixed = self.view(service, now) == VersionView::Several;
        let record = ReadRecord::new(record, read_ms, now);
        self.longest_life = self.longest_life.max(record.life());
        self.services.entry(service).or_default().record = Some(record);
        !was_mixed && self.view(service, now) == VersionView::Several
    }

    /// Returns the versions of each service that are listed now.
    pub fn listed(&self) -> impl Iterator<Item = (ServiceKey, BTreeSet<VersionKey>)> {
        let services = self.services.iter();
        services
            .map(|(service, known)| (*service, known.listed.keys().copied().collect()))
    }

    /// Returns whether each version that is listed has been recorded as such.
    #[must_use]
    pub fn is_recorded(&self, now: Duration) -> bool {
        self.services.values().all(|known| {
            let is_recorded = |version: &VersionKey| {
                let record = known.record.as_ref();
                record.is_some_and(|record| record.listed_for(*version, now).is_some())
            };
            known.listed.keys().all(is_recorded)
        })
    }

    /// Returns the versions of a service at which no streams may begin yet: those that haven't been
    /// recorded, or listed for less than `grace`, so that other instances may not have listed them
    /// yet, and those that aren't marked as begun while another one is. If no other version has
    /// servers in service, the one with the most isn't among them, unless it has to be marked
    /// first.
    #[must_use]
    pub fn settling(
        &self,
        service: ServiceKey,
        grace: Duration,
        now: Duration,
    ) -> BTreeSet<VersionKey> {
        let Some(known) = self.services.get(&service) else { return BTreeSet::new() };
        let mut settling: BTreeSet<VersionKey> = known.listed.keys().copied().collect();
        settling.retain(|version| !known.is_usable(*version, grace, now));
        if known.has_usable_server(grace, now) {
            return settling;
        }
        let window = self.window();
        let is_allowed = |version: &VersionKey| {
            known.allows(*version) || known.listed_for(*version, now) >= window
        };
        let allowed = settling.iter().copied().filter(is_allowed);
        if let Some(version) = known.largest(allowed) {
            settling.remove(&version);
        }
        settling
    }

    /// Returns the versions of a service that are to be marked as begun: those that have been
    /// recorded as listed for `grace`, and the one with the most servers in service if streams
    /// can begin at no other.
    #[must_use]
    pub fn to_begin(
        &self,
        service: ServiceKey,
        grace: Duration,
        now: Duration,
    ) -> BTreeSet<VersionKey> {
        let Some(known) = self.services.get(&service) else { return BTreeSet::new() };
        let unmarked = known.listed.keys().copied();
        let unmarked = unmarked.filter(|version| !known.allows(*version));
        let settled = unmarked
            .clone()
            .filter(|version| known.is_settled(*version, grace, now));
        let mut to_begin: BTreeSet<VersionKey> = settled.collect();
        let is_marked_in_service = known
            .listed
            .iter()
            .any(|(version, listed)| listed.in_service > 0 && known.allows(*version));
        if !is_marked_in_service {
            let is_in_service = |version: &VersionKey| {
                let listed = known.listed.get(version);
                listed.is_some_and(|listed| listed.in_service > 0)
            };
            to_begin.extend(known.largest(unmarked.filter(is_in_service)));
        }
        to_begin
    }

    /// Returns whether any version is to be marked as begun.
    #[must_use]
    pub fn has_to_begin(&self, grace: Duration, now: Duration) -> bool {
        let mut services = self.services.keys();
        services.any(|service| !self.to_begin(*service, grace, now).is_empty())
    }

    /// Returns whether the record that was read last doesn't tell a single version at which streams
    /// may have begun.
    #[must_use]
    pub fn is_begun_ambiguous(&self, service: ServiceKey, now: Duration) -> bool {
        let known = self.services.get(&service);
        let record = known.and_then(|known| known.record.as_ref());
        record.is_some_and(|record| record.only_begun(self.window(), now).is_none())
    }

    /// Returns whether any service has several versions.
    #[must_use]
    pub fn has_several(&self, now: Duration) -> bool {
        self.services
            .keys()
            .any(|service| self.view(*service, now) == VersionView::Several)
    }

    /// Returns for how long after its first event a stream may be taken up again.
    #[must_use]
    pub fn window(&self) -> Duration {
        self.longest_life.clamp(MIN_WINDOW, MAX_WINDOW)
    }

    /// Answers a peer, or this instance itself, which version began a stream. `is_current`
    /// tells whether the list of servers is current.
    #[must_use]
    pub fn answer(
        &self,
        service: ServiceKey,
        stream: StreamKey,
        is_current: bool,
        now: Duration,
    ) -> VersionAnswer {
        let noted = self.notes.get(&stream).filter(|noted| now < noted.expires_at);
        VersionAnswer {
            noted: noted.map(|noted| noted.version),
            view: self.view(service, now),
            is_current,
        }
    }
}
