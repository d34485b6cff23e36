//! Reports between instances of what servers state. Logs that got the same reports agree,
//! in whatever order these arrive.

use std::time::Duration;

use flaxtide_policy::{
    PushbackLog, PushbackReport, ReportSchedule, RequestRate, StatedRate,
};
use proptest::prelude::*;

/// When the merged reports are read.
const END: Duration = Duration::from_secs(100);

/// A statement: the server, its rate, whether it is leaving, and the second at which it
/// was heard.
type Statement = (u32, Option<u8>, bool, u64);

/// Generates a statement of one of two servers.
fn statement() -> impl Strategy<Value = Statement> {
    (0u32..2, proptest::option::of(1u8..4), any::<bool>(), 1u64..20).prop_map(
        |(server, rate, leaving, second)| {
            (server, rate.map(|rate| rate + second as u8), leaving, second)
        },
    )
}

/// Merges reports of the statements, each delayed by some seconds, into a log. Returns
/// the resulting report of each server.
fn merge(statements: &[Statement], delays: &[u64]) -> Vec<PushbackReport> {
    let mut log = PushbackLog::default();
    for ((server, rate, leaving, second), delay) in statements.iter().zip(delays) {
        let heard = Duration::from_secs(*second);
        let report = PushbackReport {
            server: *server,
            rate: rate.and_then(|rate| RequestRate::from_per_second(f64::from(rate))),
            age_ms: *delay as u32 * 1000,
            leaving: *leaving,
        };
        log.apply(&report, heard + Duration::from_secs(*delay));
    }
    (0..2).filter_map(|server| log.report_of(server, END)).collect()
}

/// Keeps one statement of each server for each second.
fn with_distinct_times(statements: Vec<Statement>) -> Vec<Statement> {
    let mut seen = std::collections::BTreeSet::new();
    statements
        .into_iter()
        .filter(|(server, .., second)| seen.insert((*server, *second)))
        .collect()
}

proptest! {
    /// Two instances that get the same reports in another order, late or twice must
    /// agree.
    #[test]
    fn logs_with_the_same_reports_agree(
        statements in proptest::collection::vec(statement(), 0..12).prop_map(with_distinct_times),
        delays in proptest::collection::vec(0u64..30, 24),
        order in any::<u64>(),
    ) {
        let mut other: Vec<_> = statements.iter().chain(&statements).copied().collect();
        let length = other.len().max(1);
        other.rotate_left(order as usize % length);
        if order % 2 == 1 {
            other.reverse();
        }
        let one = merge(&statements, &delays);
        let two = merge(&other, &delays);
        prop_assert_eq!(&one, &two);
        for report in &one {
            let of_server = statements.iter().filter(|(server, ..)| *server == report.server);
            let newest = of_server.clone().max_by_key(|(.., second)| *second).unwrap();
            let rate = newest.1.and_then(|rate| RequestRate::from_per_second(f64::from(rate)));
            prop_assert_eq!(report.rate, rate, "the newest statement wins");
            prop_assert_eq!(report.leaving, of_server.clone().any(|(_, _, leaving, _)| *leaving));
        }
    }
}

/// A delayed report of a rate can seem newer than the rate's end. An instance without a
/// share of the rate sends nothing to the server, and would keep the rate for good if its
/// end were reported only once.
#[test]
fn the_end_of_a_rate_is_reported_twice_and_a_rate_as_long_as_it_lasts() {
    let seconds = Duration::from_secs;
    let limited = StatedRate::Limited(RequestRate::from_per_second(2.0).unwrap());
    let report_times = |stated, until: u64| {
        let mut schedule = ReportSchedule::default();
        schedule.record_sent(1, stated, seconds(0));
        let reported = (1..until).filter(|second| {
            let due = schedule.is_due(1, stated, seconds(*second));
            if due {
                schedule.record_sent(1, stated, seconds(*second));
            }
            schedule.expire(seconds(*second));
            due
        });
        reported.collect::<Vec<u64>>()
    };
    assert_eq!(report_times(StatedRate::Unlimited, 100), [3]);
    assert_eq!(report_times(limited, 100), [30, 60, 90]);
    // Servers that never stated a rate aren't reported.
    let schedule = ReportSchedule::default();
    assert!(!schedule.is_due(1, StatedRate::Unlimited, seconds(50)));
    assert!(schedule.is_due(1, limited, seconds(50)));
}

/// Each roll-out leaves reports of servers that have left. An instance that starts isn't
/// sent all of them.
#[test]
fn a_starting_instance_is_told_only_of_recent_statements() {
    let mut log = PushbackLog::default();
    for server in 0..500 {
        let now = Duration::from_secs(u64::from(server));
        let report = PushbackReport { server, rate: None, age_ms: 0, leaving: true };
        log.apply(&report, now);
    }
    let reported = log.reports(1024, Duration::from_secs(500));
    assert!(reported.len() <= 120, "{}", reported.len());
    assert!(reported.iter().any(|report| report.server == 499));
}
