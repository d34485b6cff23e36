//! Usage counts: the totals of the duty holder equal what the instances counted, whatever
//! happens to their reports.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    UsageCounts, UsageLedger, UsageSource, UsageTally, WindowCounts, window_end,
    window_of,
};
use proptest::prelude::*;

/// The length of a window.
const WINDOW: Duration = Duration::from_secs(5);

/// A moment in the first window of the tests.
const START: Duration = Duration::from_secs(1000);

/// A report: the index of the instance, the time, and the windows.
type Report = (usize, Duration, Vec<WindowCounts>);

fn source(index: usize) -> UsageSource {
    UsageSource { name: index as u32, epoch: 1 }
}

fn record(tally: &mut UsageTally, (index, at, windows): Report) {
    tally.record_report(source(index), 7, at, false, windows, at);
}

proptest! {
    #[test]
    fn lost_duplicated_and_late_reports_do_not_change_totals(
        calls in prop::collection::vec((0usize..4, 0u32..3, 0u64..9000), 1..200),
        outcomes in prop::collection::vec(0u8..5, 50),
    ) {
        let mut ledgers = vec![UsageLedger::default(); 4];
        let mut truth: BTreeMap<u64, UsageCounts> = BTreeMap::new();
        let mut reports: Vec<Report> = vec![];
        let mut calls = calls;
        calls.sort_by_key(|(_, _, millis)| *millis);
        for (number, (index, organisation, millis)) in calls.into_iter().enumerate() {
            let at = START + Duration::from_millis(millis);
            let window = window_of(at, WINDOW);
            ledgers[index].record(organisation, window);
            *truth.entry(window).or_default().entry(organisation).or_default() += 1;
            let (changed, sequence) = ledgers[index].unconfirmed(1);
            match outcomes[number % outcomes.len()] {
                // Either the report or its confirmation is lost, so the instance reports
                // everything again.
                0 | 1 => reports.push((index, at, changed)),
                2 => {}
                _ => {
                    ledgers[index].confirm(1, sequence);
                    reports.push((index, at, changed));
                }
            }
        }
        let end = START + Duration::from_secs(12);
        for (index, ledger) in ledgers.iter().enumerate() {
            reports.push((index, end, ledger.unconfirmed(2).0));
        }
        let mut tally = UsageTally::default();
        // Each report arrives twice, in a different order than it was sent.
        for report in reports.iter().rev().chain(&reports) {
            record(&mut tally, report.clone());
        }
        for (window, counts) in truth {
            prop_assert!(tally.is_complete(window, WINDOW, end));
            prop_assert_eq!(tally.total(window, WINDOW, end).counts, counts);
        }
    }
}

#[test]
fn a_new_holder_inherits_the_counts_of_instances_that_died() {
    let window = window_of(START, WINDOW);
    let counts = |count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut first = UsageTally::default();
    record(&mut first, (0, START, counts(40)));
    record(&mut first, (1, START, counts(2)));
    let drafts = first.drafts();
    // All instances have died except instance 1, which reports again to the new holder.
    let mut second = UsageTally::default();
    second.inherit(drafts, window);
    record(&mut second, (1, START, counts(3)));
    assert_eq!(second.total(window, WINDOW, START).counts[&1], 42);
}

#[test]
fn drafts_for_the_next_holder_contain_no_estimates() {
    let first = window_of(START, WINDOW);
    let counts = |window, count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut tally = UsageTally::default();
    record(&mut tally, (0, START, counts(first, 50)));
    let middle = window_end(first, WINDOW) + Duration::from_secs(2);
    record(&mut tally, (0, middle, counts(first + 1, 20)));
    assert_eq!(tally.drafts()[&(first + 1)][&1], 20);
}

#[test]
fn a_restarted_instance_adds_to_its_earlier_counts() {
    let window = window_of(START, WINDOW);
    let counts = |count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut tally = UsageTally::default();
    record(&mut tally, (0, START, counts(40)));
    let again = UsageSource { name: 0, epoch: 2 };
    let end = window_end(window, WINDOW);
    tally.record_report(again, 7, end, false, counts(5), end);
    assert_eq!(tally.total(window, WINDOW, end).counts[&1], 45);
    assert!(tally.is_complete(window, WINDOW, end), "the earlier start has ended");
}

#[test]
fn only_a_data_centre_that_is_cut_off_is_estimated() {
    let first = window_of(START, WINDOW);
    let (begin, end) = (START, window_end(first + 1, WINDOW));
    let counts = |window, count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut tally = UsageTally::default();
    // Instances 0 and 1 are in data centre 7, instance 2 is in data centre 8.
    for (index, data_centre) in [(0, 7), (1, 7), (2, 8)] {
        tally.record_report(
            source(index),
            data_centre,
            begin,
            false,
            counts(first, 10),
            begin,
        );
    }
    // In data centre 7 one instance continues to report, in data centre 8 none does.
    tally.record_report(source(0), 7, end, false, counts(first + 1, 12), end);
    let total = tally.total(first + 1, WINDOW, end);
    assert_eq!((total.counts[&1], total.estimated, total.missing), (22, 10, 2));
    assert!(!tally.is_complete(first + 1, WINDOW, end));
}

#[test]
fn memory_is_bounded_by_the_kept_windows() {
    let mut ledger = UsageLedger::default();
    let mut tally = UsageTally::default();
    for window in 0..500 {
        ledger.record(1, window);
        let at = window_end(window, WINDOW);
        record(&mut tally, (0, at, vec![WindowCounts { window, counts: vec![(1, 1)] }]));
        tally.expire(window, at);
    }
    assert!(ledger.unconfirmed(1).0.len() <= 9);
    assert!(tally.drafts().len() <= 9);
}
