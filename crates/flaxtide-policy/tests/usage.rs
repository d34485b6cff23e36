//! Usage: what the holder adds up is what instances counted, whatever becomes of messages.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxtide_policy::{
    UsageCounts, UsageLedger, UsageSource, UsageTally, WindowCounts, window_end,
    window_of,
};
use proptest::prelude::*;

/// The length of a window.
const WINDOW: Duration = Duration::from_secs(5);

/// A moment within the first window that is played.
const START: Duration = Duration::from_secs(1000);

/// What an instance tells at a moment.
type Notice = (usize, Duration, Vec<WindowCounts>);

fn source(index: usize) -> UsageSource {
    UsageSource { name: index as u32, epoch: 1 }
}

fn hear(tally: &mut UsageTally, (index, at, windows): Notice) {
    tally.record_report(source(index), 7, at, false, windows, at);
}

proptest! {
    #[test]
    fn lost_doubled_and_late_messages_change_nothing(
        calls in prop::collection::vec((0usize..4, 0u32..3, 0u64..9000), 1..200),
        fates in prop::collection::vec(0u8..5, 50),
    ) {
        let mut ledgers = vec![UsageLedger::default(); 4];
        let mut truth: BTreeMap<u64, UsageCounts> = BTreeMap::new();
        let mut notices: Vec<Notice> = vec![];
        let mut calls = calls;
        calls.sort_by_key(|(_, _, millis)| *millis);
        for (number, (index, organisation, millis)) in calls.into_iter().enumerate() {
            let at = START + Duration::from_millis(millis);
            let window = window_of(at, WINDOW);
            ledgers[index].record(organisation, window);
            *truth.entry(window).or_default().entry(organisation).or_default() += 1;
            let (news, mark) = ledgers[index].unconfirmed(1);
            match fates[number % fates.len()] {
                // Lost, or its answer is: it tells all of it again.
                0 | 1 => notices.push((index, at, news)),
                2 => {}
                _ => {
                    ledgers[index].confirm(1, mark);
                    notices.push((index, at, news));
                }
            }
        }
        let end = START + Duration::from_secs(12);
        for (index, ledger) in ledgers.iter().enumerate() {
            notices.push((index, end, ledger.unconfirmed(2).0));
        }
        let mut tally = UsageTally::default();
        // Doubled, and in another order than they were sent.
        for notice in notices.iter().rev().chain(&notices) {
            hear(&mut tally, notice.clone());
        }
        for (window, counts) in truth {
            prop_assert!(tally.is_complete(window, WINDOW, end));
            prop_assert_eq!(tally.total(window, WINDOW, end).counts, counts);
        }
    }
}

#[test]
fn a_new_holder_knows_what_instances_that_died_had_told_the_one_before() {
    let window = window_of(START, WINDOW);
    let told = |count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut first = UsageTally::default();
    hear(&mut first, (0, START, told(40)));
    hear(&mut first, (1, START, told(2)));
    let drafts = first.drafts();
    // All have died but instance 1, which tells the new holder again.
    let mut second = UsageTally::default();
    second.inherit(drafts, window);
    hear(&mut second, (1, START, told(3)));
    assert_eq!(second.total(window, WINDOW, START).counts[&1], 42);
}

#[test]
fn what_the_next_holder_is_told_holds_no_estimate() {
    let first = window_of(START, WINDOW);
    let told = |window, count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut tally = UsageTally::default();
    hear(&mut tally, (0, START, told(first, 50)));
    let middle = window_end(first, WINDOW) + Duration::from_secs(2);
    hear(&mut tally, (0, middle, told(first + 1, 20)));
    assert_eq!(tally.drafts()[&(first + 1)][&1], 20);
}

#[test]
fn a_restarted_instance_adds_to_what_it_had_told() {
    let window = window_of(START, WINDOW);
    let told = |count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut tally = UsageTally::default();
    hear(&mut tally, (0, START, told(40)));
    let again = UsageSource { name: 0, epoch: 2 };
    let end = window_end(window, WINDOW);
    tally.record_report(again, 7, end, false, told(5), end);
    assert_eq!(tally.total(window, WINDOW, end).counts[&1], 45);
    assert!(tally.is_complete(window, WINDOW, end), "nobody waits for the one that died");
}

#[test]
fn only_a_data_centre_that_is_cut_off_is_estimated() {
    let first = window_of(START, WINDOW);
    let (begin, end) = (START, window_end(first + 1, WINDOW));
    let told = |window, count| vec![WindowCounts { window, counts: vec![(1, count)] }];
    let mut tally = UsageTally::default();
    // Instances 0 and 1 stand in data centre 7, instance 2 in data centre 8.
    for (index, place) in [(0, 7), (1, 7), (2, 8)] {
        tally.record_report(source(index), place, begin, false, told(first, 10), begin);
    }
    // Of data centre 7 one instance goes on; of data centre 8 nobody is heard.
    tally.record_report(source(0), 7, end, false, told(first + 1, 12), end);
    let total = tally.total(first + 1, WINDOW, end);
    assert_eq!((total.counts[&1], total.estimated, total.missing), (22, 10, 2));
    assert!(!tally.is_complete(first + 1, WINDOW, end));
}

#[test]
fn memory_is_bounded_by_windows() {
    let mut ledger = UsageLedger::default();
    let mut tally = UsageTally::default();
    for window in 0..500 {
        ledger.record(1, window);
        let at = window_end(window, WINDOW);
        hear(&mut tally, (0, at, vec![WindowCounts { window, counts: vec![(1, 1)] }]));
        tally.expire(window, at);
    }
    assert!(ledger.unconfirmed(1).0.len() <= 9);
    assert!(tally.drafts().len() <= 9);
}
