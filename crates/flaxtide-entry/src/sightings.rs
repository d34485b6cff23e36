//! Conversion between sightings of engines and the digests that peers exchange.

use std::time::Duration;

use flaxtide_core::ServerId;
use flaxtide_fleet::{EngineDigest, FleetKey, PartUpdate, ReportDigest};
use flaxtide_policy::{EngineReport, EngineSighting, PartChange, RouteCore};

/// The milliseconds that one unit of an age in a digest stands for.
const AGE_UNIT_MS: u128 = 10;

/// The number of prompt tokens that one unit in a digest stands for.
const TOKEN_UNIT: u32 = 16;

/// The memory of an engine as reports from digests state it, in tokens.
const MEMORY_UNITS: u32 = u16::MAX as u32;

/// Converts a sighting to the form for peers. `server` is the engine's key.
pub(crate) fn to_digest(sighting: &EngineSighting, server: FleetKey) -> EngineDigest {
    EngineDigest {
        server,
        answered: sighting.answered_ago.map_or(u16::MAX, age_units),
        failing: sighting.failing_for.map_or(0, |span| age_units(span).max(1)),
        report: sighting.report.map(|(report, age)| to_report_digest(&report, age)),
    }
}

/// Converts a change of a cached prompt part to the form for peers. `server` is the engine's
/// key.
pub(crate) fn to_part_update(change: &PartChange, server: FleetKey) -> PartUpdate {
    PartUpdate { server, part: change.part, cached: change.cached }
}

/// Converts what a watcher has told of engines to sightings. `server_with_key` returns the
/// engine that a key denotes.
pub(crate) fn to_sightings(
    digests: &[EngineDigest],
    watcher: FleetKey,
    server_with_key: impl Fn(FleetKey) -> Option<ServerId>,
) -> Vec<EngineSighting> {
    let known = digests.iter().filter_map(|digest| {
        Some(to_sighting(digest, watcher, server_with_key(digest.server)?))
    });
    known.collect()
}

/// Records changes of cached prompt parts in the router.
pub(crate) fn record_part_updates(
    core: &mut RouteCore,
    updates: &[PartUpdate],
    server_with_key: impl Fn(FleetKey) -> Option<ServerId>,
    now: Duration,
) {
    let known = updates.iter().filter_map(|update| {
        let server = server_with_key(update.server)?;
        Some(PartChange { server, part: update.part, cached: update.cached })
    });
    let changes: Vec<PartChange> = known.collect();
    core.record_part_changes(&changes, now);
}

/// Converts a digest to a sighting of an engine.
fn to_sighting(
    digest: &EngineDigest,
    watcher: FleetKey,
    server: ServerId,
) -> EngineSighting {
    EngineSighting {
        server,
        watcher,
        answered_ago: (digest.answered < u16::MAX).then(|| age_span(digest.answered)),
        failing_for: (digest.failing > 0).then(|| age_span(digest.failing)),
        report: digest.report.map(|report| to_report(&report)),
    }
}

/// Converts a report of a certain age to the form for peers.
fn to_report_digest(report: &EngineReport, age: Duration) -> ReportDigest {
    let memory = report.memory_fraction() * f64::from(MEMORY_UNITS);
    ReportDigest {
        age: age_units(age),
        waiting: capped(report.waiting),
        running: capped(report.running),
        prefilling: report.prefilling.map_or(u16::MAX, known_count),
        next: capped(report.next_tokens / TOKEN_UNIT),
        memory: memory as u16,
        leaves: report.leaves_in.map_or(u16::MAX, units),
    }
}

/// Converts a digest of a report back, with the age of the report. The memory is stated as
/// a fraction.
fn to_report(digest: &ReportDigest) -> (EngineReport, Duration) {
    let report = EngineReport {
        waiting: u32::from(digest.waiting),
        running: u32::from(digest.running),
        prefilling: (digest.prefilling < u16::MAX).then(|| u32::from(digest.prefilling)),
        next_tokens: u32::from(digest.next) * TOKEN_UNIT,
        memory_used: u32::from(digest.memory),
        memory_total: MEMORY_UNITS,
        leaves_in: (digest.leaves < u16::MAX).then(|| age_span(digest.leaves)),
    };
    (report, age_span(digest.age))
}

/// Converts an age to units. The largest number is kept for "unknown".
fn age_units(age: Duration) -> u16 {
    units(age).min(u16::MAX - 1)
}

/// Converts a time span to units; to the largest number if it is beyond the range.
fn units(span: Duration) -> u16 {
    u16::try_from(span.as_millis() / AGE_UNIT_MS).unwrap_or(u16::MAX)
}

/// Converts units to an age.
fn age_span(units: u16) -> Duration {
    Duration::from_millis(u64::from(units) * AGE_UNIT_MS as u64)
}

/// Converts a count to the range of a digest. The largest one is kept for "unknown".
fn known_count(count: u32) -> u16 {
    capped(count).min(u16::MAX - 1)
}

/// Converts a count to the range of a digest.
fn capped(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
