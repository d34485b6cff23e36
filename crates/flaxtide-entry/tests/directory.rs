//! How long servers stay in use after their row has disappeared.

use std::ops::Range;
use std::time::Duration;

use flaxtide_entry::{FeedError, FollowState, ServerDirectory, ServerEntry};
use flaxtide_fleet::AnswerSpan;

/// The time within which a leaving server must get no more requests.
const LEAVE_WITHIN: Duration = Duration::from_secs(3);

/// Returns a duration of milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a directory with ten servers.
fn directory() -> ServerDirectory {
    let mut directory = ServerDirectory::new(LEAVE_WITHIN, ms(1200));
    for idx in 0..10 {
        let entry = ServerEntry {
            name: format!("i-{idx}"),
            service: "pool".into(),
            address: ([10, 0, 0, idx], 80).into(),
            data_centre: "north".into(),
            slots: 8,
            version: "v1".into(),
            leaving: false,
            spot: false,
            started: Some(1000),
            cold_left: None,
        };
        directory.put(entry, Duration::ZERO);
    }
    directory
}

/// Simulates ticks of 100 ms with an outage of the platform between `from` and `to`, which is
/// recorded at each tick, as on an instance that reads the list from peers. Returns when a
/// server was removed.
fn removed_after_outage(
    directory: &mut ServerDirectory,
    from: u64,
    to: u64,
) -> Option<u64> {
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

/// A row disappeared 0.9 s before an outage began, but its server got requests for the whole
/// outage, up to 4.2 s after it had announced that it was leaving: each record of the outage
/// treated all missing rows as having disappeared during it.
#[test]
fn a_server_whose_row_disappeared_before_an_outage_is_removed_during_it() {
    let mut directory = directory();
    directory.mark_missing("i-0", ms(17_200));
    let removed_at = removed_after_outage(&mut directory, 18_100, 25_000).unwrap();
    assert!(removed_at <= 17_200 + 3_000, "removed at {removed_at}");
}

/// The same, in a second outage after an earlier one.
#[test]
fn a_server_whose_row_disappeared_between_two_outages_is_removed_in_the_second() {
    let mut directory = directory();
    assert_eq!(removed_after_outage(&mut directory, 1_000, 4_000), None);
    directory.mark_missing("i-0", ms(30_000));
    let removed_at = removed_after_outage(&mut directory, 30_900, 40_000).unwrap();
    assert!(removed_at <= 30_000 + 3_000, "removed at {removed_at}");
}

#[test]
fn a_server_whose_row_disappears_in_an_outage_stays_in_use_until_after_it() {
    let mut directory = directory();
    directory.record_outage(ms(10_000));
    directory.mark_missing("i-0", ms(10_500));
    let removed_at = removed_after_outage(&mut directory, 10_600, 18_000).unwrap();
    assert!(removed_at >= 18_000 + 2_000, "removed at {removed_at}");
}

/// While readers are restarted one after the other, the list is read late. If a row that is then
/// found missing gets the grace time of one that has just disappeared, its server stays in use for
/// too long: the suspected cause of a request that reached an engine 171 ms too late.
#[test]
fn a_server_whose_row_is_found_missing_late_gets_no_longer_grace() {
    for unseen in (0..=2500).step_by(100) {
        let mut directory = directory();
        let noticed_at = 20_000 + unseen;
        directory.mark_missing_within("i-0", ms(unseen), ms(noticed_at));
        let removed_at = (noticed_at..noticed_at + 5_000)
            .find(|now| !directory.expire(ms(*now)).is_empty())
            .unwrap();
        assert!(
            removed_at <= noticed_at.max(20_000 + 2_600),
            "unseen for {unseen} ms, removed at {removed_at}"
        );
    }
}

/// Servers may leave without having announced it, also a third of a service at once.
#[test]
fn servers_that_vanish_together_while_the_platform_answers_are_removed_in_time() {
    let mut directory = directory();
    for idx in 0..4 {
        directory.mark_missing(&format!("i-{idx}"), ms(20_000));
    }
    let times = (20_000..40_000).step_by(100);
    let removed_at = times.into_iter().find(|now| directory.expire(ms(*now)).len() == 4);
    assert!(removed_at.is_some_and(|at| at <= 23_000), "removed at {removed_at:?}");
}

/// The instances of a data centre.
const INSTANCES: u64 = 79;

/// Those of them that find a gap in the history.
const GAP_INSTANCES: u64 = 18;

/// When a peer was last asked with success before the row was removed.
const LAST_TOLD_AT: u64 = 12_300;

/// When the row was removed from the platform's list.
const ROW_GONE_AT: u64 = 12_680;

/// Returns when an instance removes the server of a row that was removed at [`ROW_GONE_AT`]
/// while the platform answered all the while. The instance notices it at `noticed_at`, from
/// a peer or, after a gap in the history, from a read of all rows.
fn removed_after_notice(noticed_at: u64, has_gap: bool) -> u64 {
    let (mut directory, mut state) = (directory(), FollowState::default());
    state.record_answer(7);
    // The reader's own read may have been .25 of the bound old.
    state.record_coverage(ms(LAST_TOLD_AT - 750), ms(LAST_TOLD_AT));
    if has_gap {
        state.record_fault(&FeedError::HistoryGone, ms(noticed_at));
        if state.is_outage(ms(noticed_at)) {
            directory.record_outage(ms(noticed_at));
        }
    }
    let unseen = state.record_coverage(ms(noticed_at), ms(noticed_at));
    state.record_answer(9);
    directory.mark_missing_within("i-0", unseen, ms(noticed_at));
    let mut ticks = (noticed_at..noticed_at + 20_000).step_by(100);
    ticks.find(|now| !directory.expire(ms(*now)).is_empty()).unwrap()
}

/// The history of the store is gone for some instances, which read everything. If that counts
/// as an outage, they keep a server whose row is gone for as long as after an outage.
#[test]
fn instances_that_read_everything_after_a_gap_remove_a_server_in_time() {
    for number in 0..INSTANCES {
        let has_gap = number < GAP_INSTANCES;
        let noticed_at = match has_gap {
            true => 13_600 + 1300 * number / (GAP_INSTANCES - 1),
            false => 12_700 + number * 8,
        };
        let removed_at = removed_after_notice(noticed_at, has_gap);
        assert!(
            removed_at <= ROW_GONE_AT + 3_000,
            "instance {number} noticed at {noticed_at} and removed at {removed_at}"
        );
    }
}

/// A gap that is found one second after the row was removed leaves time for the usual grace.
#[test]
fn a_gap_does_not_cost_a_server_its_grace() {
    let noticed_at = ROW_GONE_AT + 1_000;
    let removed_at = removed_after_notice(noticed_at, true);
    assert!(removed_at > noticed_at, "removed at {removed_at}");
    assert!(removed_at <= ROW_GONE_AT + 3_000, "removed at {removed_at}");
}

/// Returns a directory with the servers of a service.
fn service_of(servers: usize) -> ServerDirectory {
    let mut directory = directory();
    (servers..10).for_each(|idx| assert!(directory.mark_leaving(&format!("i-{idx}"))));
    (servers..10)
        .for_each(|idx| assert!(directory.mark_missing(&format!("i-{idx}"), ms(0))));
    directory
}

/// Returns when each server of a service is removed whose rows disappear at the given times. The
/// platform answers as `answers` says, and an outage is recorded at the ticks within `outage`.
fn removed_at(
    gone_at: &[u64],
    answers: Option<AnswerSpan>,
    outage: Range<u64>,
) -> Vec<u64> {
    let mut directory = service_of(gone_at.len());
    let mut removed_at = vec![0; gone_at.len()];
    for now in (0..60_000).step_by(50) {
        if outage.contains(&now) {
            directory.record_outage(ms(now));
        }
        if let Some(answers) = answers.filter(|answers| answers.since <= ms(now)) {
            let until = answers.until.min(ms(now));
            directory.record_answers(AnswerSpan { until, ..answers });
        }
        for (idx, _) in gone_at.iter().enumerate().filter(|(_, at)| **at == now) {
            directory.mark_missing(&format!("i-{idx}"), ms(now));
        }
        for name in directory.expire(ms(now)) {
            let idx: usize = name.trim_start_matches("i-").parse().unwrap();
            removed_at[idx] = now;
        }
    }
    removed_at
}

/// Guards against servers that have left being used for 8 s if all of their service leave at once.
/// The platform had answered all the while, so their rows couldn't have lapsed.
#[test]
fn a_service_whose_servers_all_leave_loses_them_in_time() {
    let series: [&[u64]; 6] = [
        &[20_000],
        &[20_000, 20_000],
        &[20_000, 20_200],
        &[20_000, 20_000, 21_000],
        &[20_000, 20_700, 21_400, 22_100],
        &[20_000; 10],
    ];
    // An outage begins after the rows disappeared, or ended long before.
    for outage in [0..0, 22_500..40_000, 3_000..9_000] {
        for gone_at in series {
            let answers = Some(AnswerSpan { since: ms(9_000), until: ms(22_400) });
            let removed_at = removed_at(gone_at, answers, outage.clone());
            for (gone, removed) in gone_at.iter().zip(&removed_at) {
                let times = gone + 1..=gone + 2_900;
                assert!(
                    times.contains(removed),
                    "{gone_at:?}, {outage:?}: {removed_at:?}"
                );
            }
        }
    }
}

/// Guards against the opposite: a service without servers, as the rows of all lapsed while the
/// platform answered nobody. They are back two seconds after its return.
#[test]
fn a_service_whose_rows_all_lapse_in_an_outage_keeps_its_servers() {
    let gone_at = [20_100; 4];
    let until = ms(50_000);
    let since_return = Some(AnswerSpan { since: ms(20_000), until });
    // The outage is known, or shows only by the return of the platform, or not at all.
    let cases = [(since_return, 10_000..20_000), (since_return, 0..0), (None, 0..0)];
    for (answers, outage) in cases {
        let removed_at = removed_at(&gone_at, answers, outage.clone());
        let times = 22_000..=23_500;
        let held = removed_at.iter().all(|at| times.contains(at));
        assert!(held, "{answers:?}, {outage:?}: {removed_at:?}");
    }
}

#[test]
fn a_row_that_claims_to_be_cold_forever_stops_nothing() {
    let mut directory = directory();
    let entry = ServerEntry {
        name: "i-99".into(),
        service: "pool".into(),
        address: ([10, 0, 0, 99], 80).into(),
        data_centre: "north".into(),
        slots: 8,
        version: "v1".into(),
        leaving: false,
        spot: false,
        started: None,
        cold_left: Some(Duration::MAX),
    };
    assert!(directory.put(entry.clone(), ms(5)));
    assert!(!directory.put(entry, ms(10)));
}

/// An instance knows of an outage from peers that can't answer. Rows that lapsed are back within
/// two seconds of the platform's return, also if its history is gone then.
#[test]
fn an_outage_known_from_peers_keeps_servers_whether_or_not_history_is_gone() {
    for has_gap in [false, true] {
        let (mut directory, mut state) = (directory(), FollowState::default());
        state.record_answer(7);
        state.record_coverage(ms(9_250), ms(10_000));
        for at in (10_800..13_300).step_by(100) {
            // The platform returns at 12.4 s, and is called 0.9 s later.
            if at < 12_400 {
                state.record_failing_peers();
            }
            if has_gap && at == 12_500 {
                state.record_gap(ms(at));
            }
            if state.is_outage(ms(at)) {
                directory.record_outage(ms(at));
            }
        }
        let read_at = ms(13_300);
        let unseen = state.record_coverage(read_at, read_at);
        state.record_answer(9);
        directory.mark_missing_within("i-0", unseen, read_at);
        let mut ticks = (13_300..20_000).step_by(100);
        let removed_at = ticks.find(|now| !directory.expire(ms(*now)).is_empty());
        assert!(removed_at >= Some(15_300), "gap: {has_gap}, {removed_at:?}");
    }
}

/// Returns how long after its row was last known a server is removed by an instance that had no news
/// for `unseen`, behind readers that couldn't answer, while the platform answered as `answers` says.
/// That is told at `told_at` at the latest.
fn removed_after_silence(unseen: u64, answers: AnswerSpan, told_after: u64) -> u64 {
    let (mut directory, noticed_at) = (directory(), 20_000 + unseen);
    directory.record_outage(ms(noticed_at));
    directory.mark_missing_within("i-0", ms(unseen), ms(noticed_at));
    let mut ticks = (noticed_at..noticed_at + 20_000).step_by(100);
    let removed_at = ticks.find(|now| {
        if *now >= noticed_at + told_after {
            directory.record_answers(answers);
        }
        !directory.expire(ms(*now)).is_empty()
    });
    removed_at.unwrap() - 20_000
}

/// Guards against an instance that takes its own lack of news for an outage of the platform. Seen:
/// it kept the server of a vanished row for 2.2 s more, while its peers had been answered.
#[test]
fn an_instance_without_news_removes_a_server_in_time_if_peers_had_answers() {
    for unseen in [2_157, 2_256, 2_279, 2_471, 2_823] {
        let answers = AnswerSpan { since: ms(0), until: ms(20_000 + unseen) };
        for told_after in [0, 100] {
            let removed_after = removed_after_silence(unseen, answers, told_after);
            assert!(
                removed_after < 3_000,
                "unseen for {unseen} ms, removed after {removed_after} ms"
            );
        }
    }
}

/// Guards against the opposite: answers since the platform's return, or from before its outage, say
/// nothing of rows that lapsed in between.
#[test]
fn answers_before_and_after_an_outage_leave_servers_in_use() {
    let unseen = 5_000;
    let before = AnswerSpan { since: ms(0), until: ms(20_500) };
    let after = AnswerSpan { since: ms(24_900), until: ms(25_000) };
    for answers in [before, after] {
        let removed_after = removed_after_silence(unseen, answers, 0);
        assert!(removed_after >= unseen + 2_000, "{answers:?}: {removed_after}");
    }
}
