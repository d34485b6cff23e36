//! What the group's watchers have seen of engines, for heartbeats and for the digests of other
//! data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::SIGHTING_BOUND;

use super::FleetNode;
use super::part_changes::{GroupParts, MAX_DIGEST_PARTS, MAX_HEARTBEAT_PARTS, OwnParts};
use crate::key::FleetKey;
use crate::wire::{EngineDigest, PartUpdate, ReportDigest};

/// The most engines in a heartbeat: three and a half times what an instance watches at the
/// largest size that is designed for.
const MAX_HEARTBEAT_ENGINES: usize = 64;

/// The bytes of sightings and changes that an instance sends per second: what the control
/// traffic budget of 17 KB/s leaves beside the other parts of heartbeats.
const BYTES_PER_SECOND: f64 = 6_400.0;

/// The approximate size of a sighting without its report, in bytes.
const SIGHTING_BYTES: f64 = 8.0;

/// The approximate size of a report in a sighting, in bytes.
const REPORT_BYTES: f64 = 14.0;

/// The approximate size of a change of a cached part, in bytes.
const PART_BYTES: f64 = 11.0;

/// The changes that an instance may send in a round however many engines it watches.
const MIN_HEARTBEAT_PARTS: f64 = 1.0;

/// The number of milliseconds in a unit of the ages in digests.
const AGE_UNIT_MS: u128 = 10;

/// The approximate size of an engine in a digest, in units of the size of a load.
const ENGINE_ENTRIES: f64 = 2.5;

/// The sightings and the changes of cached parts that are passed on.
#[derive(Debug, Default)]
pub(super) struct EngineNews {
    /// The last sighting by engine and watcher, and when it arrived.
    sightings: BTreeMap<(FleetKey, FleetKey), (EngineDigest, Duration)>,
    /// The changes of this instance's own watches, for peers.
    own_parts: OwnParts,
    /// The recent changes of the group, this instance's own among them.
    group_parts: GroupParts,
    /// The number of engines in the last digest from another data centre.
    pub(super) digest_engines: usize,
}

impl EngineNews {
    /// Records what a watcher of the group has seen.
    pub(super) fn record(
        &mut self,
        watcher: FleetKey,
        engines: &[EngineDigest],
        parts: &[PartUpdate],
        now: Duration,
    ) {
        for digest in engines.iter().take(MAX_HEARTBEAT_ENGINES) {
            let key = (digest.server, watcher);
            self.sightings.insert(key, (*digest, now));
        }
        let count = parts.len().min(MAX_HEARTBEAT_PARTS);
        self.group_parts.record(&parts[..count], now);
    }

    /// Records changes that this instance's own watches have seen.
    pub(super) fn record_own_changes(&mut self, parts: &[PartUpdate], now: Duration) {
        self.group_parts.record(parts, now);
        self.own_parts.record(parts);
    }

    /// Forgets what has expired.
    fn expire(&mut self, now: Duration) {
        self.sightings
            .retain(|_, (_, arrived)| now < *arrived + SIGHTING_BOUND);
        self.group_parts.expire(now);
    }

    /// Returns what all watchers together know of each engine, with ages as of now.
    fn joined_sightings(&self, now: Duration) -> BTreeMap<FleetKey, EngineDigest> {
        let mut known: BTreeMap<FleetKey, EngineDigest> = BTreeMap::new();
        for ((server, _), (digest, arrived)) in &self.sightings {
            if now >= *arrived + SIGHTING_BOUND {
                continue;
            }
            let digest = digest.aged(now.saturating_sub(*arrived));
            join(&mut known, *server, digest);
        }
        known
    }
}

impl EngineDigest {
    /// Returns the sighting as it is after a time span.
    #[must_use]
    pub fn aged(self, span: Duration) -> Self {
        let units = u16::try_from(span.as_millis() / AGE_UNIT_MS).unwrap_or(u16::MAX);
        // The largest number means that the engine has never answered, or doesn't say.
        let add = |age: u16| age.saturating_add(units).min(u16::MAX - 1).max(age);
        Self {
            answered: add(self.answered),
            failing: if self.failing == 0 { 0 } else { add(self.failing) },
            report: self
                .report
                .map(|report| ReportDigest { age: add(report.age), ..report }),
            ..self
        }
    }
}

impl EngineDigest {
    /// Returns whether the watcher has had an answer or a failure. One that has only begun
    /// proves nothing.
    fn has_outcome(&self) -> bool {
        self.answered < u16::MAX || self.failing > 0
    }

    /// Returns what two watchers know together: the last answer, the youngest report, and a
    /// failure only if both fail, for the shorter time.
    fn joined(self, other: Self) -> Self {
        let failing = match (self.has_outcome(), other.has_outcome()) {
            (true, false) => self.failing,
            (false, true) => other.failing,
            _ => self.failing.min(other.failing),
        };
        let reports = self.report.into_iter().chain(other.report);
        Self {
            server: self.server,
            answered: self.answered.min(other.answered),
            failing,
            report: reports.min_by_key(|report| report.age),
        }
    }
}

/// Adds what a watcher knows of an engine to what others do.
fn join(
    known: &mut BTreeMap<FleetKey, EngineDigest>,
    server: FleetKey,
    digest: EngineDigest,
) {
    let joined = known.get(&server).map_or(digest, |known| known.joined(digest));
    known.insert(server, joined);
}

impl FleetNode {
    /// Forgets what has expired, and chooses the changes of cached parts for a round of
    /// heartbeats that begins now, `since_last` after the last one. The second send of a change
    /// waits for half a period, so that early rounds that are lost together don't lose it.
    pub(super) fn begin_engine_round(&mut self, since_last: Duration, now: Duration) {
        self.engines.expire(now);
        let period = self.period();
        let periods = since_last.as_secs_f64() / period.as_secs_f64();
        let allowed = self.parts_per_period() * periods.min(1.0);
        self.engines.own_parts.begin_round(allowed, period / 2, now);
    }

    /// Returns how many changes of cached parts the traffic budget allows in the heartbeats of a
    /// period, beside the sightings in them.
    fn parts_per_period(&self) -> f64 {
        let peers = f64::from(self.known_group_size() - 1).max(1.0);
        let bytes = BYTES_PER_SECOND * self.period().as_secs_f64() / peers;
        let size = |digest: &EngineDigest| {
            SIGHTING_BYTES + digest.report.map_or(0.0, |_| REPORT_BYTES)
        };
        let engines = self.status.engines.iter().take(MAX_HEARTBEAT_ENGINES);
        let sightings: f64 = engines.map(size).sum();
        let changes = (bytes - sightings) / PART_BYTES;
        changes.clamp(MIN_HEARTBEAT_PARTS, MAX_HEARTBEAT_PARTS as f64)
    }

    /// Returns this instance's sightings for heartbeats. If there are too many, they take turns.
    pub(super) fn heartbeat_engines(&self) -> Vec<EngineDigest> {
        let engines = &self.status.engines;
        let count = engines.len().min(MAX_HEARTBEAT_ENGINES);
        let start = match engines.len() > count {
            true => self.rounds as usize * count % engines.len(),
            false => 0,
        };
        engines.iter().cycle().skip(start).take(count).copied().collect()
    }

    /// Returns the changes of cached parts for the heartbeats of this round.
    pub(super) fn heartbeat_parts(&self) -> Vec<PartUpdate> {
        self.engines.own_parts.round().to_vec()
    }

    /// Returns what the watchers of the data centre together know of each engine.
    pub(super) fn digest_engines(&self, now: Duration) -> Vec<EngineDigest> {
        let mut known = self.engines.joined_sightings(now);
        for digest in &self.status.engines {
            join(&mut known, digest.server, *digest);
        }
        known.into_values().collect()
    }

    /// Returns the recent changes of cached parts of the data centre, newest first. They cover
    /// two digest periods, because a digest may be lost.
    pub(super) fn digest_parts(&self, now: Duration) -> Vec<PartUpdate> {
        self.engines.group_parts.within(self.digest_period() * 2, now)
    }

    /// Returns the size of the engines and their parts in a digest, in units of the size of a
    /// load.
    pub(super) fn digest_engine_entries(&self) -> f64 {
        let engines = self.engines.digest_engines as f64;
        if engines == 0.0 {
            return 0.0;
        }
        engines * ENGINE_ENTRIES + MAX_DIGEST_PARTS as f64
    }
}
