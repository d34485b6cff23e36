//! Which engines an instance watches, and what the router knows of them from watchers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use flaxtide_policy::{
    EngineReport, EngineSighting, GroupMember, InstanceGroup, PartChange, RouteCore,
    RouteOptions, RoutedServer,
};

use self::common::{POOL, core_with, engine, ms};

/// How old a report may be in these tests.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The key of this instance.
const OWN: u32 = 1;

/// Returns a group of so many instances in one data centre, as one of them sees it.
fn group(own: u32, instances: u32) -> Arc<InstanceGroup> {
    let member = |instance| GroupMember { instance, data_centre: 1 };
    Arc::new(InstanceGroup {
        own: member(own),
        members: (0..instances).map(member).collect(),
        other_data_centres: vec![],
    })
}

/// Returns a sighting by a watcher of engine 2, with a report of an age if there is one.
fn sighting(watcher: u32, report_age: Option<Duration>) -> EngineSighting {
    EngineSighting {
        server: 2,
        watcher,
        answered_ago: Some(Duration::ZERO),
        failing_for: None,
        report: report_age.map(|age| (EngineReport::default(), age)),
    }
}

#[test]
fn two_instances_watch_each_engine_in_service() {
    let mut servers: Vec<RoutedServer> = (0..30)
        .map(|server| RoutedServer { data_centre: 1, ..engine(server) })
        .collect();
    servers[4].leaving = true;
    servers[5].engine = None;
    servers[6].row_missing = true;
    let mut watchers = vec![vec![]; servers.len()];
    for own in 0..12 {
        let mut core = RouteCore::new(RouteOptions::default());
        core.set_servers(POOL, &servers, ms(0));
        assert!(core.watched_engines(POOL).is_empty(), "the group isn't known yet");
        core.set_group(group(own, 12), ms(0));
        for (server, rank) in core.watched_engines(POOL) {
            watchers[server as usize].push(rank);
        }
    }
    for (server, mut ranks) in watchers.into_iter().enumerate() {
        ranks.sort_unstable();
        let expected: &[usize] = if [4, 5].contains(&server) { &[] } else { &[0, 1] };
        assert_eq!(ranks, expected, "{server}");
    }
}

#[test]
fn only_young_reports_of_other_watchers_count() {
    let mut core = core_with(4);
    let has = |core: &RouteCore, now| core.has_peer_report(2, OWN, MAX_AGE, now);
    core.record_sightings(&[sighting(OWN, Some(ms(0)))], ms(1000));
    assert!(!has(&core, ms(1000)), "it is its own");
    core.record_sightings(&[sighting(9, None)], ms(1000));
    assert!(!has(&core, ms(1000)), "there is no report");
    core.record_sightings(&[sighting(9, Some(ms(800)))], ms(1000));
    assert!(has(&core, ms(3199)));
    assert!(!has(&core, ms(3200)));
    // A later sighting without a report doesn't make the last one younger.
    core.record_sightings(&[sighting(9, None)], ms(3100));
    assert!(!has(&core, ms(3200)));
    assert!(!core.has_peer_report(3, OWN, MAX_AGE, ms(1000)));
    assert!(!core.has_peer_report(99, OWN, MAX_AGE, ms(1000)));
}

#[test]
fn a_part_is_cached_until_it_is_evicted_or_too_old() {
    let mut core = core_with(4);
    let change = |cached| PartChange { server: 2, part: 0xfeed_beef, cached };
    assert!(!core.has_cached(2, 0xfeed_beef, ms(0)));
    core.record_part_changes(&[change(true)], ms(0));
    assert!(core.has_cached(2, 0xfeed_beef, ms(1000)));
    assert!(!core.has_cached(3, 0xfeed_beef, ms(1000)));
    assert!(!core.has_cached(2, 0xfeed_bee0, ms(1000)));
    let life = RouteOptions::default().cache_life;
    assert!(!core.has_cached(2, 0xfeed_beef, life));
    core.record_part_changes(&[change(true)], ms(1000));
    core.record_part_changes(&[change(false)], ms(1500));
    assert!(!core.has_cached(2, 0xfeed_beef, ms(1500)));
}
