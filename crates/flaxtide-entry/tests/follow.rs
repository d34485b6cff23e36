//! When the platform is called, and whether for changes or for everything.

use std::time::Duration;

use flaxtide_entry::{
    CallBackoff, FeedError, FollowAnswer, FollowFault, FollowState, covered_until,
    first_call_window,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The time within which a leaving server must stop getting requests.
const LEAVE_WITHIN: Duration = Duration::from_secs(3);

/// A call that the platform refuses.
const REFUSED: FeedError = FeedError::Refused { status: 503 };

/// Returns the pauses, in milliseconds, with a store that answers each complete read and
/// fails each call for changes.
fn pauses(state: &mut FollowState, fault: &FeedError, times: u64) -> Vec<u128> {
    let fail_once = |version| {
        if state.after().is_none() {
            assert!(state.record_answer(version).is_snapshot);
        }
        let fault = state.record_fault(fault, Duration::ZERO);
        fault.pause.as_millis()
    };
    (0..times).map(fail_once).collect()
}

#[test]
fn failed_calls_pause_longer_each_time() {
    let mut state = FollowState::default();
    assert_eq!(pauses(&mut state, &REFUSED, 5), [150, 300, 600, 600, 600]);
    let answer = state.record_answer(9);
    assert_eq!(answer, FollowAnswer { is_snapshot: false, regained: true });
    assert_eq!(pauses(&mut state, &REFUSED, 2), [150, 300]);
}

#[test]
fn only_the_first_failed_call_reports_the_platform_lost() {
    let mut state = FollowState::default();
    let lost = |fault: FollowFault| fault.lost;
    assert!(lost(state.record_fault(&REFUSED, Duration::ZERO)));
    assert!(!lost(state.record_fault(&REFUSED, Duration::ZERO)));
    assert!(state.record_answer(1).regained);
    assert!(!state.record_answer(2).regained);
    assert!(!lost(state.record_fault(&FeedError::HistoryGone, Duration::ZERO)));
    assert!(lost(state.record_fault(&REFUSED, Duration::ZERO)));
}

/// A store that has just recovered may not report all changes to calls that wait long.
#[test]
fn calls_wait_briefly_after_a_failed_call() {
    let seconds = Duration::from_secs;
    let mut state = FollowState::default();
    assert_eq!(state.max_wait(seconds(0)), seconds(25));
    state.record_fault(&REFUSED, seconds(5));
    assert_eq!(state.max_wait(seconds(60)), seconds(0));
    state.record_answer(1);
    assert_eq!(state.max_wait(seconds(14)), seconds(1));
    assert_eq!(state.max_wait(seconds(15)), seconds(25));
}

/// Readers that don't answer may be the first sign of an outage, and a store that
/// restarts never answers the calls from before.
#[test]
fn calls_wait_briefly_after_readers_stop_answering() {
    let seconds = Duration::from_secs;
    let mut state = FollowState::default();
    state.record_answer(1);
    state.shorten_waits(seconds(5));
    assert_eq!(state.max_wait(seconds(14)), seconds(1));
    assert_eq!(state.max_wait(seconds(15)), seconds(25));
}

#[test]
fn a_dropped_history_is_reread_without_a_pause() {
    let mut state = FollowState::default();
    state.record_answer(7);
    let fault = state.record_fault(&FeedError::HistoryGone, Duration::ZERO);
    assert_eq!(fault, FollowFault { lost: false, pause: Duration::ZERO });
    assert_eq!(state.after(), None);
}

/// Without pauses, everything would be read without end from a store that keeps no
/// history.
#[test]
fn repeated_rereads_have_growing_pauses() {
    let mut state = FollowState::default();
    let gone = FeedError::HistoryGone;
    assert_eq!(pauses(&mut state, &gone, 6), [0, 150, 300, 600, 600, 600]);
    // Neither a complete read nor a refusal shows that the store keeps a history again.
    state.record_answer(1);
    state.record_fault(&REFUSED, Duration::ZERO);
    assert_eq!(pauses(&mut state, &gone, 1), [600]);
    // An answer with changes does.
    state.record_answer(1);
    state.record_answer(2);
    assert_eq!(pauses(&mut state, &gone, 3), [0, 150, 300]);
}

/// Returns the times at which an instance calls the platform in the first seconds of an
/// outage, while all calls fail and no peer answers.
fn calls_in_outage(window: Duration, seed: u64, span: Duration) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut backoff = CallBackoff::default();
    let mut now = Duration::ZERO;
    let mut calls = vec![];
    while now < span {
        match backoff.delay(window, random.random(), now) {
            Some(delay) => now += delay,
            None => {
                calls.push(now);
                backoff.record_failure(LEAVE_WITHIN, random.random(), now);
            }
        }
    }
    calls
}

/// In an outage, all instances of a data centre lose their readers at once. If all of
/// them called the platform at the same time, the calls would overload it.
#[test]
fn calls_of_all_instances_are_spread_in_an_outage() {
    /// The instances of a data centre that are neither readers nor standbys.
    const OTHER_INSTANCES: u64 = 46;
    /// The window for their first calls if the readers can't answer.
    const WINDOW: Duration = Duration::from_secs(3);
    /// The shortest and the longest outage of a platform that operators have reported.
    const OUTAGES: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(10)];
    let [short, long] = OUTAGES.map(|outage| {
        let calls = (0..OTHER_INSTANCES)
            .flat_map(|number| calls_in_outage(WINDOW, number, outage));
        let mut seconds = vec![0; 11];
        calls.for_each(|at| seconds[at.as_secs() as usize] += 1);
        let total: i32 = seconds.iter().sum();
        (total, seconds.into_iter().max().unwrap())
    });
    // With pauses of at most 0.6 s, each instance made 8 calls in the short outage and 18 in
    // the long one.
    assert!(short.0 <= 2 * OTHER_INSTANCES as i32, "{short:?}");
    assert!(long.0 <= 4 * OTHER_INSTANCES as i32, "{long:?}");
    assert!(
        short.1.max(long.1) <= OTHER_INSTANCES as i32 / 2,
        "too many calls in one second: {short:?} {long:?}"
    );
}

#[test]
fn a_standby_calls_before_others() {
    let window = |standby, answers| {
        let (known, bound) = (Duration::ZERO, Duration::from_secs(4));
        first_call_window(standby, answers, known, bound)
    };
    assert_eq!(window(true, true), Duration::from_millis(200));
    // Half of the bound, which a constant of 3 s exceeded where the bound is 3 s.
    assert_eq!(window(false, true), Duration::from_secs(2));
    let latest = CallBackoff::default().delay(window(true, true), 1.0, Duration::ZERO);
    assert_eq!(latest, Some(Duration::from_millis(200)));
}

/// Guards against the loss of a reader and all standbys while servers leave: the rows
/// that an instance knows must not become older than `leave_within` allows.
#[test]
fn without_readers_the_first_call_comes_within_a_tenth_of_the_bound() {
    for bound in [2, 3, 4, 8].map(Duration::from_secs) {
        let window = first_call_window(false, false, bound / 2, bound);
        assert!(window <= bound / 10, "{window:?} of {bound:?}");
        assert!(first_call_window(true, false, bound / 2, bound) <= bound / 20);
    }
}

#[test]
fn a_platform_that_answers_is_called_without_a_delay() {
    let mut backoff = CallBackoff::default();
    let now = Duration::from_secs(9);
    backoff.delay(Duration::from_secs(3), 0.9, now);
    backoff.record_success(now);
    assert_eq!(backoff.delay(Duration::from_secs(3), 0.9, now), None);
    // Once peers have answered again, the next silence begins with a delay.
    backoff.reset();
    assert!(backoff.delay(Duration::from_secs(3), 0.9, now).is_some());
}

/// The platform rejects the readers of a data centre and serves other instances. If that
/// counted as an outage, a row that has been removed would stay in use until the readers
/// can answer again. A request once reached a leaving server 329 ms too late in this way.
#[test]
fn readers_that_the_platform_refuses_are_no_outage() {
    let ms = Duration::from_millis;
    let mut state = FollowState::default();
    assert!(state.is_outage(ms(0)), "nothing is known yet");
    // Another instance answers once a second, and in between nobody can.
    for second in 1..20 {
        state.record_coverage(ms(second * 1000), ms(second * 1000 + 50));
        for after in (100..1900).step_by(100) {
            assert!(!state.is_outage(ms(second * 1000 + after)));
        }
        state.record_fault(&REFUSED, ms(second * 1000 + 500));
        assert!(!state.is_outage(ms(second * 1000 + 500)));
    }
    assert!(state.is_outage(ms(21_000)));
}

/// A store that says that its history is gone answers.
#[test]
fn a_gap_in_the_history_is_no_outage() {
    let ms = Duration::from_millis;
    let mut state = FollowState::default();
    state.record_answer(7);
    state.record_coverage(ms(1_000), ms(1_050));
    for now in (3_100..20_000).step_by(600) {
        state.record_fault(&FeedError::HistoryGone, ms(now));
        assert!(!state.is_outage(ms(now)), "at {now}");
    }
    // Silence after the last such answer, with calls that fail, is one.
    state.record_fault(&REFUSED, ms(23_000));
    assert!(state.is_outage(ms(23_000)));
}

/// If the first answer after an outage is that the history is gone, the rows that lapsed are
/// only seen by the read that follows: the outage lasts until then.
#[test]
fn an_outage_that_ends_with_a_gap_lasts_until_the_next_read() {
    let ms = Duration::from_millis;
    let mut state = FollowState::default();
    state.record_answer(7);
    state.record_coverage(ms(1_000), ms(1_050));
    state.record_fault(&REFUSED, ms(2_000));
    state.record_fault(&REFUSED, ms(8_000));
    state.record_fault(&FeedError::HistoryGone, ms(9_000));
    assert!(state.is_outage(ms(9_300)));
    assert!(state.record_answer(9).regained);
    state.record_coverage(ms(9_300), ms(9_350));
    assert!(!state.is_outage(ms(9_350)));
}

/// A reader may end while the platform answers. Its peers then know nothing for a while, which
/// is no outage unless a call fails or peers can't answer.
#[test]
fn silence_alone_is_no_outage() {
    let ms = Duration::from_millis;
    let mut state = FollowState::default();
    state.record_answer(7);
    state.record_coverage(ms(1_000), ms(1_050));
    assert!(!state.is_outage(ms(4_000)));
    state.record_failing_peers();
    assert!(!state.is_outage(ms(2_900)));
    assert!(state.is_outage(ms(3_000)));
    state.record_answer(8);
    assert!(!state.is_outage(ms(3_000)));
}

/// A peer lacks the changes, but the platform has just answered it.
#[test]
fn a_gap_that_a_peer_reports_is_no_outage() {
    let ms = Duration::from_millis;
    let mut state = FollowState::default();
    state.record_answer(7);
    state.record_coverage(ms(1_000), ms(1_050));
    state.record_gap(ms(2_900));
    state.record_failing_peers();
    assert!(!state.is_outage(ms(4_800)));
    assert!(state.is_outage(ms(4_900)));
}

/// An instance may know of an outage only from peers. If these report that the history is gone,
/// the rows that lapsed are seen by the read that follows.
#[test]
fn an_outage_known_from_peers_lasts_until_the_next_read_after_a_gap() {
    let ms = Duration::from_millis;
    let mut state = FollowState::default();
    state.record_answer(7);
    state.record_coverage(ms(1_000), ms(1_050));
    state.record_failing_peers();
    assert!(state.is_outage(ms(3_000)));
    state.record_gap(ms(3_100));
    assert!(state.is_outage(ms(3_400)));
    state.record_coverage(ms(3_400), ms(3_450));
    state.record_answer(8);
    assert!(!state.is_outage(ms(3_450)));
}

/// A call that asked for a short wait, or for none, may be answered late. A row that was removed
/// after the platform had read its rows isn't in the answer.
#[test]
fn a_late_answer_covers_no_more_than_the_wait_that_was_asked_for() {
    let ms = Duration::from_millis;
    let called = ms(5_000);
    for (answered, wait, expected) in [
        (5_003, 210, 5_000),
        (5_150, 210, 5_050),
        (5_220, 210, 5_110),
        (7_000, 210, 5_110),
        (7_000, 2_700, 6_900),
        (7_000, 90, 5_000),
        (7_000, 0, 5_000),
    ] {
        let covered = covered_until(called, ms(answered), ms(wait));
        assert_eq!(
            covered,
            ms(expected),
            "answered at {answered} after a wait of {wait}"
        );
    }
}

/// Guards against an instance that goes on sending requests to servers that have left, as it waits
/// after failed calls for readers that the platform refused as well. The platform may answer again
/// for as long as the bound and a second before the instance is held to it.
#[test]
fn a_failed_call_is_repeated_within_the_bound_however_many_have_failed() {
    for bound in [2, 3, 4, 8].map(Duration::from_secs) {
        for random in [0.0, 0.5, 1.0] {
            let mut backoff = CallBackoff::default();
            for failures in 0..20 {
                let now = bound * failures;
                backoff.record_failure(bound, random, now);
                let delay = backoff.delay(bound / 2, random, now);
                assert!(delay <= Some(bound), "{delay:?} of {bound:?}");
            }
        }
    }
}
