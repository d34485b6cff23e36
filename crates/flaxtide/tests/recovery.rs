//! A fleet that restarts at once doesn't storm the platform, also while it is out.

mod common;

use std::time::{Duration, Instant};

use common::{FleetShape, ORGANISATION_KEYS, TestFleet, wait_for};
use flaxtide_standin::PlatformFaults;

/// How many instances restart.
const INSTANCES: usize = 6;

/// Reads that one instance makes to be ready: head, tree, list, and one of each more in
/// case an answer comes late.
const START_READS: f64 = 6.0;

/// Reads a second of one instance with the times of these proofs: a head every 300 ms and
/// the list every 2 s, spread by a quarter.
const STEADY_READS: f64 = 5.0;

/// Kills every instance and starts as many new ones.
fn restart_all(fleet: &mut TestFleet) {
    for mut instance in std::mem::take(&mut fleet.instances) {
        instance.kill();
    }
    fleet.listed.clear();
    for number in 0..INSTANCES {
        fleet.add_instance(&format!("dc0-{number}"), 0, "");
    }
}

/// Waits until every instance is ready.
fn wait_ready(fleet: &TestFleet) {
    wait_for("every instance is ready", || {
        fleet
            .instances
            .iter()
            .all(|instance| instance.status().is_some_and(|status| status.ready))
    });
}

/// Checks the reads since a moment against what instances may make.
fn check_reads(fleet: &TestFleet, before: u64, start: Instant, case: &str) {
    let reads = (fleet.platform.counts().reads - before) as f64;
    let seconds = start.elapsed().as_secs_f64();
    let allowed = INSTANCES as f64 * (START_READS + STEADY_READS * seconds);
    println!("{case}: {reads} reads in {seconds:.1} s, {allowed:.0} allowed");
    assert!(reads <= allowed, "{case}: {reads} reads in {seconds:.1} s");
}

#[test]
fn a_restarted_fleet_reads_no_more_than_it_needs() {
    let mut fleet =
        TestFleet::start(&FleetShape { instances: INSTANCES, ..FleetShape::default() });
    let (before, start) = (fleet.platform.counts().reads, Instant::now());
    restart_all(&mut fleet);
    wait_ready(&fleet);
    check_reads(&fleet, before, start, "restart");

    // With the platform out nobody is ready, and nobody asks more often for that.
    let (before, start) = (fleet.platform.counts().reads, Instant::now());
    fleet
        .platform
        .set_faults(PlatformFaults { down: true, ..Default::default() });
    restart_all(&mut fleet);
    let answer = fleet.instances[0].ask(ORGANISATION_KEYS[0], "clerk", "too early");
    assert!(answer.refused(), "{answer:?}");
    wait_for("a while without the platform", || start.elapsed() > Duration::from_secs(3));
    fleet.platform.set_faults(PlatformFaults::default());
    wait_ready(&fleet);
    check_reads(&fleet, before, start, "restart while the platform is out");
    let answer = fleet.instances[0].ask(ORGANISATION_KEYS[0], "clerk", "in time");
    assert!(answer.whole(), "{answer:?}");
}
