//! When the platform is called again, and for what.

use std::time::Duration;

use flaxtide_entry::{FeedError, FollowAnswer, FollowFault, FollowState};

/// A refusal.
const REFUSED: FeedError = FeedError::Refused { status: 503 };

/// Returns the pauses, in milliseconds, of a store that answers each read well and each
/// follow with a fault.
fn pauses(state: &mut FollowState, fault: &FeedError, times: u64) -> Vec<u128> {
    let one = |version| {
        if state.after().is_none() {
            assert!(state.take_version(version).whole);
        }
        let fault = state.take_fault(fault, Duration::ZERO);
        fault.pause.as_millis()
    };
    (0..times).map(one).collect()
}

#[test]
fn failed_calls_pause_longer_each_time() {
    let mut state = FollowState::default();
    assert_eq!(pauses(&mut state, &REFUSED, 5), [150, 300, 600, 600, 600]);
    let answer = state.take_version(9);
    assert_eq!(answer, FollowAnswer { whole: false, regained: true });
    assert_eq!(pauses(&mut state, &REFUSED, 2), [150, 300]);
}

#[test]
fn only_the_first_failed_call_loses_the_platform() {
    let mut state = FollowState::default();
    let lost = |fault: FollowFault| fault.lost;
    assert!(lost(state.take_fault(&REFUSED, Duration::ZERO)));
    assert!(!lost(state.take_fault(&REFUSED, Duration::ZERO)));
    assert!(state.take_version(1).regained);
    assert!(!state.take_version(2).regained);
    assert!(!lost(state.take_fault(&FeedError::HistoryGone, Duration::ZERO)));
    assert!(lost(state.take_fault(&REFUSED, Duration::ZERO)));
}

#[test]
fn calls_wait_little_for_a_time_after_a_failed_one() {
    let seconds = Duration::from_secs;
    let mut state = FollowState::default();
    assert_eq!(state.longest_wait(seconds(0)), seconds(25));
    state.take_fault(&REFUSED, seconds(5));
    assert_eq!(state.longest_wait(seconds(60)), seconds(0));
    state.take_version(1);
    assert_eq!(state.longest_wait(seconds(14)), seconds(1));
    assert_eq!(state.longest_wait(seconds(15)), seconds(25));
}

#[test]
fn a_history_that_is_gone_once_is_read_anew_at_once() {
    let mut state = FollowState::default();
    state.take_version(7);
    let fault = state.take_fault(&FeedError::HistoryGone, Duration::ZERO);
    assert_eq!(fault, FollowFault { lost: false, pause: Duration::ZERO });
    assert_eq!(state.after(), None);
}

#[test]
fn a_history_that_is_gone_again_and_again_is_not_read_without_a_pause() {
    let mut state = FollowState::default();
    let gone = FeedError::HistoryGone;
    assert_eq!(pauses(&mut state, &gone, 6), [0, 150, 300, 600, 600, 600]);
    // Reading everything doesn't say that following goes well, nor does a refusal.
    state.take_version(1);
    state.take_fault(&REFUSED, Duration::ZERO);
    assert_eq!(pauses(&mut state, &gone, 1), [600]);
    // An answer to a follow does.
    state.take_version(1);
    state.take_version(2);
    assert_eq!(pauses(&mut state, &gone, 3), [0, 150, 300]);
}
