//! The budget of the time between the removal of a row and the last request to its server.

use std::time::Duration;

use flaxtide_entry::{
    FeedError, FollowState, LeaveBudget, ServerDirectory, ServerEntry, first_call_window,
};

/// The bounds for which the budget must hold.
const BOUNDS: [Duration; 4] = [
    Duration::from_secs(3),
    Duration::from_secs(4),
    Duration::from_secs(5),
    Duration::from_secs(10),
];

/// How often missing rows are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// When the row of a server is removed.
const ROW_GONE_AT: Duration = Duration::from_secs(60);

/// Returns a directory with ten servers.
fn directory(leave_within: Duration) -> ServerDirectory {
    let mut directory = ServerDirectory::new(leave_within, Duration::from_millis(1200));
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

/// Returns how long after the removal of its row a server is removed by an instance that knew
/// the list until just before it. `lost` rows out of ten disappear together.
fn removed_after(
    leave_within: Duration,
    noticed_after: Duration,
    fault: Option<&FeedError>,
    lost: usize,
) -> Duration {
    let (mut directory, mut state) = (directory(leave_within), FollowState::default());
    let noticed_at = ROW_GONE_AT + noticed_after;
    state.record_answer(7);
    state.record_coverage(ROW_GONE_AT, ROW_GONE_AT);
    if let Some(fault) = fault {
        state.record_fault(fault, noticed_at);
    }
    if state.is_outage(noticed_at) {
        directory.record_outage(noticed_at);
    }
    let unseen = state.record_coverage(noticed_at, noticed_at);
    for idx in 0..lost {
        directory.mark_missing_within(&format!("i-{idx}"), unseen, noticed_at);
    }
    let mut now = noticed_at;
    while directory.expire(now).len() < lost {
        now += CHECK_PERIOD;
        assert!(now < noticed_at + Duration::from_secs(20));
    }
    now - ROW_GONE_AT
}

/// Returns the latest time of the last step before a row is noticed, from the timing that
/// instances follow: a reader's answer is up to a quarter of the bound old, a question takes
/// another, the question to the others a tenth, and everything is read after at most 0.08.
fn noticed_through_peers(bound: Duration) -> Duration {
    bound.mul_f64(0.25 + 0.25 + 0.1 + 0.08)
        + first_call_window(false, false, bound / 2, bound)
}

#[test]
fn the_timing_of_instances_fits_into_each_bound() {
    for bound in BOUNDS {
        let budget = LeaveBudget::new(bound);
        let rounding = Duration::from_micros(1);
        assert!(noticed_through_peers(bound) <= budget.latest_notice() + rounding);
        assert!(budget.latest_notice() < budget.latest_removal());
        assert!(budget.latest_removal() + CHECK_PERIOD < bound, "{bound:?}");
        let after = removed_after(bound, noticed_through_peers(bound), None, 1);
        assert!(after < bound, "{bound:?}: {after:?}");
    }
}

/// Guards against an instance whose readers respond that they can't answer calling the platform so
/// late that a row is noticed after its server must get no more requests: its window began when the
/// last question had ended, and was half of the bound however old the known rows were by then.
#[test]
fn the_first_call_behind_failing_readers_leaves_time_within_each_bound() {
    for bound in BOUNDS {
        let latest_notice = LeaveBudget::new(bound).latest_notice();
        let oldest = bound.mul_f64(0.25 + 0.15 + 0.1 + 0.1);
        for tenth in 0..=10 {
            let unknown_for = oldest * tenth / 10;
            let window = first_call_window(false, true, unknown_for, bound);
            let noticed_after = unknown_for + window + bound.mul_f64(0.08);
            let rounding = Duration::from_micros(1);
            assert!(
                noticed_after <= latest_notice + rounding,
                "{bound:?}: {noticed_after:?} after rows known for {unknown_for:?}"
            );
        }
    }
}

/// However late a row is found missing, also after a gap in the history, its server is removed
/// within the bound while the platform answers, and within what the budget says.
#[test]
fn a_server_is_removed_within_each_bound_however_late_its_row_is_found_missing() {
    for bound in BOUNDS {
        let budget = LeaveBudget::new(bound);
        for (tenth, lost) in (0..=10).flat_map(|tenth| [(tenth, 1), (tenth, 4)]) {
            let noticed_after = budget.latest_notice() * tenth / 10;
            for fault in [None, Some(&FeedError::HistoryGone)] {
                let after = removed_after(bound, noticed_after, fault, lost);
                assert!(
                    after <= budget.latest_removal() + CHECK_PERIOD && after < bound,
                    "{bound:?}, {lost} noticed after {noticed_after:?}, {fault:?}: {after:?}"
                );
            }
        }
    }
}

/// A row that was last seen too long ago gets no grace.
#[test]
fn a_server_whose_row_was_last_seen_too_long_ago_is_removed_at_once() {
    for bound in BOUNDS {
        let noticed_after = LeaveBudget::new(bound).latest_removal();
        let gone = Some(&FeedError::HistoryGone);
        assert_eq!(removed_after(bound, noticed_after, gone, 1), noticed_after);
    }
}

/// Rows that lapsed while the platform didn't answer are back within two seconds of its
/// return, whatever the bound is, and are read at most a quarter of the bound later.
#[test]
fn servers_stay_in_use_for_two_seconds_after_an_outage() {
    for (bound, lost) in BOUNDS.into_iter().flat_map(|bound| [(bound, 1), (bound, 4)]) {
        for fault in [
            FeedError::Refused { status: 503 },
            FeedError::NoAnswer { cause: "time-out".into() },
        ] {
            let returned_after = Duration::from_secs(12);
            let after = removed_after(bound, returned_after, Some(&fault), lost);
            let stayed = after - returned_after;
            let read_age = bound / 4;
            let least = Duration::from_secs(2) + read_age;
            let most = Duration::from_millis(2300) + read_age;
            assert!(stayed >= least, "{bound:?}, {fault:?}: {stayed:?}");
            assert!(stayed <= most, "{bound:?}: {stayed:?}");
        }
    }
}

/// A row that was listed after the platform's return can't have lapsed in the outage.
#[test]
fn a_row_seen_after_an_outage_gets_no_more_than_the_budget() {
    let ms = Duration::from_millis;
    for bound in [ms(1000), ms(2000)].into_iter().chain(BOUNDS) {
        let mut directory = directory(bound);
        directory.record_outage(ms(10_000));
        let (seen_at, noticed_at) = (ms(10_100), ms(10_300));
        directory.mark_missing_within("i-0", noticed_at - seen_at, noticed_at);
        let mut now = noticed_at;
        while directory.expire(now).is_empty() {
            now += CHECK_PERIOD;
        }
        let latest = seen_at + LeaveBudget::new(bound).latest_removal() + CHECK_PERIOD;
        assert!(now <= latest, "{bound:?}: removed at {now:?}");
    }
}
