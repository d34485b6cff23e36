//! What is recorded of the versions of a service outside all instances, so that one that has
//! just started knows which versions may have begun streams.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::router::VersionKey;

/// The versions at which streams of a service may have begun lately. Times are those of the
/// store's clock, in milliseconds.
///
/// A version is recorded, and later marked as begun, before streams begin at it while another one is
/// marked. So a version that isn't recorded, or not marked, has begun none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The era of the store in which the record was written.
    pub era: u64,
    /// Since when it isn't known which other versions served: the store lost writes then.
    pub unsure_since_ms: Option<u64>,
    /// For how long streams may be taken up, in seconds, as far as the writer knew.
    pub life_s: u16,
    /// The versions.
    pub versions: Vec<RecordedVersion>,
}

/// A version in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedVersion {
    /// The version.
    pub version: VersionKey,
    /// Since when it has been listed.
    pub since_ms: u64,
    /// Since when it hasn't been listed any more; `None` while it is.
    pub left_ms: Option<u64>,
    /// Whether streams may have begun at it. Records without marks say nothing of it.
    #[serde(default = "may_have_begun")]
    pub begun: bool,
}

/// Returns whether streams may have begun at a version whose record doesn't say so.
fn may_have_begun() -> bool {
    true
}

/// What an instance lists of a service, to compare it with the record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedNow {
    /// The versions that it lists.
    pub listed: BTreeSet<VersionKey>,
    /// The versions that it hasn't listed for so long that no instance lists them any more.
    pub gone: BTreeSet<VersionKey>,
    /// The versions at which streams are to begin, as from
    /// [`VersionRegistry::to_begin`](super::VersionRegistry::to_begin).
    pub to_begin: BTreeSet<VersionKey>,
    /// For how long streams may be taken up.
    pub life: Duration,
}

impl VersionRecord {
    /// Returns the record that is to replace this one, or `None` if it says what an instance lists.
    /// `era` is that of the store, and `now_ms` the time on its clock.
    ///
    /// ```
    /// use flaxtide_policy::{ListedNow, VersionRecord};
    /// let listed = ListedNow { listed: [7].into(), ..ListedNow::default() };
    /// let record = VersionRecord::default().revised(&listed, 0, 500).unwrap();
    /// assert_eq!((record.versions[0].version, record.versions[0].since_ms), (7, 500));
    /// assert_eq!(record.revised(&listed, 0, 600), None);
    /// ```
    #[must_use]
    pub fn revised(&self, now: &ListedNow, era: u64, now_ms: u64) -> Option<Self> {
        let mut revised = self.clone();
        if self.era != era && !self.versions.is_empty() {
            // The store has come back from a copy, without what was written after it was made.
            revised.unsure_since_ms = Some(now_ms);
        }
        revised.era = era;
        for recorded in &mut revised.versions {
            let is_listed = now.listed.contains(&recorded.version);
            if is_listed && recorded.left_ms.take().is_some() {
                recorded.since_ms = now_ms;
            }
            if now.gone.contains(&recorded.version) && recorded.left_ms.is_none() {
                recorded.left_ms = Some(now_ms);
            }
        }
        for version in &now.listed {
            if !revised.versions.iter().any(|recorded| recorded.version == *version) {
                revised.versions.push(RecordedVersion {
                    version: *version,
                    since_ms: now_ms,
                    left_ms: None,
                    begun: false,
                });
            }
        }
        for recorded in &mut revised.versions {
            recorded.begun |= now.to_begin.contains(&recorded.version);
        }
        if !revised.has_begun() {
            // Nothing held streams back from any of them.
            revised.mark_all();
        }
        let life_s = now.life.as_millis().div_ceil(1000);
        let life_s = u16::try_from(life_s).unwrap_or(u16::MAX);
        revised.life_s = life_s.max(revised.life_s);
        if revised == *self {
            return None;
        }
        let life_ms = u64::from(revised.life_s) * 1000;
        let is_recent = |at_ms: u64| now_ms < at_ms.saturating_add(life_ms);
        revised
            .versions
            .retain(|recorded| recorded.left_ms.is_none_or(is_recent));
        revised.unsure_since_ms =
            revised.unsure_since_ms.filter(|at_ms| is_recent(*at_ms));
        if revised.versions.len() <= 1 && revised.unsure_since_ms.is_none() {
            // No stream of another version can be taken up any more.
            revised.life_s = life_s;
        }
        if !revised.has_begun() {
            revised.mark_all();
        }
        Some(revised)
    }

    /// Returns the only version at which streams may have begun that can still be taken up, if there
    /// is one. `era` is that of the store and `now_ms` the time on its clock when the record was
    /// read, which has to be after the stream in question was begun. `life` is for how long
    /// streams may be taken up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flaxtide_policy::{ListedNow, VersionRecord};
    /// let lists = |listed: &[u32]| ListedNow {
    ///     listed: listed.iter().copied().collect(),
    ///     ..ListedNow::default()
    /// };
    /// let record = VersionRecord::default().revised(&lists(&[7]), 0, 500).unwrap();
    /// let record = record.revised(&lists(&[7, 8]), 0, 600).unwrap();
    /// assert_eq!(record.only_begun(0, 700, Duration::from_secs(15)), Some(7));
    /// ```
    #[must_use]
    pub fn only_begun(
        &self,
        era: u64,
        now_ms: u64,
        life: Duration,
    ) -> Option<VersionKey> {
        let life = life.max(Duration::from_secs(self.life_s.into()));
        let life_ms = u64::try_from(life.as_millis()).unwrap_or(u64::MAX);
        let is_recent = |at_ms: u64| now_ms < at_ms.saturating_add(life_ms);
        if self.era != era || self.unsure_since_ms.is_some_and(is_recent) {
            return None;
        }
        let begun = self
            .versions
            .iter()
            .filter(|recorded| recorded.begun && recorded.left_ms.is_none_or(is_recent));
        let mut begun = begun.map(|recorded| recorded.version);
        begun.next().filter(|_| begun.next().is_none())
    }

    /// Returns whether any version is marked as begun.
    fn has_begun(&self) -> bool {
        self.versions.iter().any(|recorded| recorded.begun)
    }

    /// Marks all versions as begun.
    fn mark_all(&mut self) {
        for recorded in &mut self.versions {
            recorded.begun = true;
        }
    }
}

/// A record at the time when it was read, on the clock of this instance.
#[derive(Debug, Clone)]
pub(super) struct ReadRecord {
    /// The record.
    record: VersionRecord,
    /// The time of the store's clock, in milliseconds.
    read_ms: u64,
    /// The same time on the clock of this instance.
    read_at: Duration,
}

impl ReadRecord {
    /// Creates a record that was read at `read_at`, which is `read_ms` on the store's clock.
    pub(super) fn new(record: VersionRecord, read_ms: u64, read_at: Duration) -> Self {
        Self { record, read_ms, read_at }
    }

    /// Returns for how long streams may be taken up, as far as the writer knew.
    pub(super) fn life(&self) -> Duration {
        Duration::from_secs(self.record.life_s.into())
    }

    /// Returns for how long a version has been listed, if it is recorded as listed.
    pub(super) fn listed_for(
        &self,
        version: VersionKey,
        now: Duration,
    ) -> Option<Duration> {
        let mut versions = self.record.versions.iter();
        let found = versions.find(|recorded| recorded.version == version)?;
        found.left_ms.is_none().then(|| self.age(found.since_ms, now))
    }

    /// Returns whether streams may begin at a version, as it is marked as begun or no version is.
    pub(super) fn allows(&self, version: VersionKey) -> bool {
        let mut versions = self.record.versions.iter();
        let is_marked = versions.any(|one| one.version == version && one.begun);
        is_marked || !self.record.has_begun()
    }

    /// Returns the only version at which streams may have begun, as of `now`.
    pub(super) fn only_begun(&self, life: Duration, now: Duration) -> Option<VersionKey> {
        let passed = now.saturating_sub(self.read_at).as_millis();
        let now_ms =
            self.read_ms.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX));
        self.record.only_begun(self.record.era, now_ms, life)
    }

    /// Returns for how long no stream can have begun at another version than this one:
    /// zero if another may serve, and `Duration::MAX` if none has.
    pub(super) fn sole_for(&self, version: VersionKey, now: Duration) -> Duration {
        let others = self.record.versions.iter();
        let others = others.filter(|recorded| recorded.version != version);
        let left_for = others.map(|recorded| match recorded.left_ms {
            Some(left) => self.age(left, now),
            None => Duration::ZERO,
        });
        let sure_for = self.record.unsure_since_ms.map(|since| self.age(since, now));
        left_for.chain(sure_for).min().unwrap_or(Duration::MAX)
    }

    /// Returns for how long a time on the store's clock has passed.
    fn age(&self, at_ms: u64, now: Duration) -> Duration {
        let when_read = Duration::from_millis(self.read_ms.saturating_sub(at_ms));
        when_read + now.saturating_sub(self.read_at)
    }
}
