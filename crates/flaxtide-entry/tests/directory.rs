//! Until when servers are used whose rows are missing.

use std::time::Duration;

use flaxtide_entry::{ServerDirectory, ServerEntry};

/// Within what time a server that leaves must get no more work.
const LEAVE_WITHIN: Duration = Duration::from_secs(3);

/// Returns a time.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a directory with ten servers.
fn directory() -> ServerDirectory {
    let mut directory = ServerDirectory::new(LEAVE_WITHIN);
    for place in 0..10 {
        let entry = ServerEntry {
            name: format!("i-{place}"),
            service: "pool".into(),
            address: ([10, 0, 0, place], 80).into(),
            data_centre: "north".into(),
            slots: 8,
            leaving: false,
            spot: false,
            started: Some(1000),
        };
        directory.put(entry, Duration::ZERO);
    }
    directory
}

/// Lets time pass in ticks while the platform is out from `from` to `to`, as an instance notes it
/// for which others read. Returns when a server was gone.
fn gone_at(directory: &mut ServerDirectory, from: u64, to: u64) -> Option<u64> {
    for now in (from..from + 20_000).step_by(100) {
        if now < to {
            directory.record_outage(ms(now));
        }
        if !directory.expire(ms(now)).is_empty() {
            return Some(now);
        }
    }
    None
}

/// Seen: a server's row went 0.9 s before the store was out, and the server got work for as long
/// as the outage lasted, 4.2 s after it had said that it leaves. Cause: the outage was noted again
/// and again, and each time all missing rows were judged as if they had gone during it. Proof:
/// the instance's log, and this.
#[test]
fn a_row_that_went_before_an_outage_is_gone_during_it() {
    let mut directory = directory();
    directory.remove("i-0", ms(17_200));
    let gone = gone_at(&mut directory, 18_100, 25_000).unwrap();
    assert!(gone <= 17_200 + 3_000, "gone at {gone}");
}

/// The same in a second outage that follows a first one.
#[test]
fn a_row_that_went_between_two_outages_is_gone_in_the_second() {
    let mut directory = directory();
    assert_eq!(gone_at(&mut directory, 1_000, 4_000), None);
    directory.remove("i-0", ms(30_000));
    let gone = gone_at(&mut directory, 30_900, 40_000).unwrap();
    assert!(gone <= 30_000 + 3_000, "gone at {gone}");
}

#[test]
fn a_row_that_goes_in_an_outage_is_used_until_after_it() {
    let mut directory = directory();
    directory.record_outage(ms(10_000));
    directory.remove("i-0", ms(10_500));
    let gone = gone_at(&mut directory, 10_600, 18_000).unwrap();
    assert!(gone >= 18_000 + 2_000, "gone at {gone}");
}

/// Suspected in a day on which a request reached an engine 171 ms too late: readers were restarted
/// one after the other, so the list was looked at late, and the row that was found missing was
/// still given the time of one that has just gone.
#[test]
fn a_row_that_is_found_missing_late_is_used_no_longer_for_that() {
    for unseen in (0..=2500).step_by(100) {
        let mut directory = directory();
        let learnt = 20_000 + unseen;
        directory.remove_unseen("i-0", ms(unseen), ms(learnt));
        let gone = (learnt..learnt + 5_000)
            .find(|now| !directory.expire(ms(*now)).is_empty())
            .unwrap();
        assert!(
            gone <= learnt.max(20_000 + 2_600),
            "unseen for {unseen} ms, gone at {gone}"
        );
    }
}
