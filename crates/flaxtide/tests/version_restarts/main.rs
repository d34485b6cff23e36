//! Streams that callers take up after all instances were killed at once: each goes on at the
//! version that began it, or nowhere.

#[path = "../../../../platform/tests/common/mod.rs"]
mod common;
mod fleet;
#[allow(dead_code)]
#[path = "../version_soak/process.rs"]
mod process;

use self::fleet::{KilledFleet, Outcome};

/// How many streams are begun.
const STREAMS: usize = 24;

// Guards against streams joined from two versions: after a restart of all instances, a version that
// has replaced another is listed alone, and passes for the one that began all streams.
#[test]
fn a_stream_of_a_version_that_was_replaced_isnt_joined_after_a_restart_of_all() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.begin_streams(STREAMS);
    fleet.list("v2", 2);
    fleet.unlist("v1");
    fleet.kill_all();
    let outcome = fleet.take_up_streams();
    assert_eq!(outcome.joined, 0, "{outcome:?}");
}

// Guards against refusing streams whose version serves, after all who had noted it were killed.
#[test]
fn streams_go_on_after_a_restart_of_all_while_two_versions_serve() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.list("v2", 2);
    fleet.begin_streams(STREAMS);
    fleet.kill_all();
    let Outcome { continued, joined, refused } = fleet.take_up_streams();
    assert_eq!(joined, 0);
    assert!(continued > refused, "{continued} went on, {refused} were refused");
}

// Guards against events that reach a caller before the version of their stream outlasts the
// instances: what began just before a kill of all would be refused.
#[test]
fn streams_go_on_that_began_just_before_a_restart_of_all() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.list("v2", 2);
    fleet.begin_streams(STREAMS);
    fleet.kill_all_now();
    let Outcome { continued, joined, refused } = fleet.take_up_streams();
    assert_eq!((joined, refused), (0, 0), "{continued} went on");
}

// Guards against taking each restart for a reason to refuse: with a version that has never had
// another beside it, there is nothing to confuse.
#[test]
fn streams_go_on_after_a_restart_of_all_while_a_single_version_serves() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.begin_streams(STREAMS);
    fleet.kill_all();
    let outcome = fleet.take_up_streams();
    assert_eq!((outcome.joined, outcome.refused), (0, 0), "{outcome:?}");
}
