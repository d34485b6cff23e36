//! Streams that callers take up after all instances were killed at once: each goes on at the
//! version that began it, or nowhere.

#[path = "../../../../platform/tests/common/mod.rs"]
mod common;
mod fleet;
#[allow(dead_code)]
#[path = "../version_soak/process.rs"]
mod process;

use std::thread;
use std::time::Duration;

use common::store::StoreFault;

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

// Guards against deciding without the records and notes: while the store is away when power returns,
// nothing is known, and what was kept counts as soon as it is back.
#[test]
fn streams_go_on_once_a_store_is_back_that_was_away_when_all_instances_started() {
    for fault in [StoreFault::Silent, StoreFault::Status(503)] {
        let mut fleet = KilledFleet::start(3);
        fleet.list("v1", 2);
        fleet.list("v2", 2);
        fleet.begin_streams(STREAMS);
        fleet.wait_written();
        fleet.kill_first(3);
        fleet.store.misbehave(fault);
        fleet.start_all();
        fleet.wait_listening();
        fleet.store.misbehave(StoreFault::None);
        fleet.wait_together();
        let Outcome { continued, joined, refused } = fleet.take_up_streams();
        assert_eq!(joined, 0, "{fault:?}");
        assert!(
            continued > refused,
            "{fault:?}: {continued} went on, {refused} were refused"
        );
    }
}

// Guards against believing a record from an older copy of the store, in which the version that began
// the streams isn't there yet.
#[test]
fn a_stream_isnt_joined_after_a_restart_of_all_and_a_store_from_an_older_copy() {
    let mut fleet = KilledFleet::start(3);
    fleet.store.tell_era();
    fleet.list("v1", 2);
    fleet.wait_recorded();
    let copy = fleet.store.copy();
    fleet.list("v2", 2);
    fleet.begin_streams(STREAMS);
    fleet.unlist("v2");
    fleet.wait_written();
    fleet.kill_first(3);
    fleet.store.restore(&copy);
    fleet.start_all();
    fleet.wait_together();
    let outcome = fleet.take_up_streams();
    assert_eq!(outcome.joined, 0, "{outcome:?}");
}

// Guards against a record that holds no more than two versions: with two releases within a deadline,
// streams of three may be taken up.
#[test]
fn streams_of_two_releases_in_series_go_on_after_a_restart_of_all() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.begin_streams(STREAMS);
    fleet.list("v2", 2);
    fleet.unlist("v1");
    fleet.list("v3", 2);
    fleet.begin_streams(STREAMS);
    fleet.kill_all();
    let outcome = fleet.take_up_streams();
    assert_eq!(outcome.joined, 0, "{outcome:?}");
    assert!(outcome.continued > STREAMS / 2, "{outcome:?}");
}

// Guards against taking a version that has come back for the one that served all the while.
#[test]
fn streams_arent_joined_after_a_restart_of_all_when_a_version_has_come_back() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.list("v2", 2);
    fleet.unlist("v1");
    fleet.begin_streams(STREAMS);
    fleet.list_only("v1", 2);
    fleet.unlist("v2");
    fleet.begin_streams(STREAMS);
    fleet.kill_all();
    let outcome = fleet.take_up_streams();
    assert_eq!(outcome.joined, 0, "{outcome:?}");
    assert!(outcome.continued > STREAMS / 2, "{outcome:?}");
}

// Guards against refusing streams whose notes are with none who is left: who is left reads the rows
// of those that are gone. It is a replica of three of seven.
#[test]
fn streams_go_on_at_the_only_instance_that_is_left() {
    let mut fleet = KilledFleet::start(8);
    fleet.list("v1", 2);
    fleet.list("v2", 2);
    fleet.begin_streams(STREAMS);
    fleet.wait_written();
    fleet.kill_first(7);
    let outcome = fleet.take_up_at_last();
    assert_eq!(outcome.joined, 0, "{outcome:?}");
    assert!(outcome.continued > STREAMS * 3 / 4, "{outcome:?}");
}

// Guards against rows that are removed by a process that is killed before it has read them.
#[test]
fn streams_go_on_after_instances_were_killed_again_while_they_read() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.list("v2", 2);
    fleet.begin_streams(STREAMS);
    fleet.wait_written();
    for pause in [0, 10, 20, 40, 80, 160] {
        fleet.kill_first(3);
        fleet.start_all();
        thread::sleep(Duration::from_millis(pause));
    }
    fleet.kill_all();
    let Outcome { continued, joined, refused } = fleet.take_up_streams();
    assert_eq!(joined, 0);
    assert!(continued > refused, "{continued} went on, {refused} were refused");
}

// Guards against streams at a version that isn't recorded: after a kill before its record is written,
// none may have begun there while a recorded one served.
#[test]
fn no_stream_begins_at_a_version_whose_record_cant_be_written() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.wait_recorded();
    fleet.store.misbehave_own(StoreFault::Status(503));
    fleet.list_only("v2", 2);
    fleet.begin_streams(STREAMS);
    assert_eq!(fleet.arrivals("v2"), 0);
    fleet.kill_first(3);
    fleet.start_all();
    fleet.store.misbehave_own(StoreFault::None);
    fleet.wait_together();
    let outcome = fleet.take_up_streams();
    assert_eq!(outcome.joined, 0, "{outcome:?}");
}

// Guards against refusing streams for a version that can't have begun any: it is first listed while all
// instances are down, so the streams before it are noted nowhere, and the record tells them apart.
#[test]
fn streams_go_on_when_a_version_is_first_listed_while_all_instances_are_down() {
    let mut fleet = KilledFleet::start(3);
    fleet.list("v1", 2);
    fleet.wait_recorded();
    fleet.begin_streams(STREAMS);
    fleet.kill_first(3);
    fleet.put_servers("v2", 2);
    fleet.start_all();
    fleet.wait_together();
    let Outcome { continued, joined, refused } = fleet.take_up_streams();
    assert_eq!(joined, 0);
    assert!(continued > refused, "{continued} went on, {refused} were refused");
}
