//! What instances tell each other of servers: however reports come, all who have had the same
//! ones believe the same.

use std::time::Duration;

use flaxtide_policy::{
    PushbackLog, PushbackReport, ReportSchedule, RequestRate, StatedRate,
};
use proptest::prelude::*;

/// When the last report is read.
const END: Duration = Duration::from_secs(100);

/// A statement of a server: which, its rate, whether it leaves, and when it was heard, in seconds.
type Statement = (u32, Option<u8>, bool, u64);

/// A statement of one of two servers.
fn statement() -> impl Strategy<Value = Statement> {
    (0u32..2, proptest::option::of(1u8..4), any::<bool>(), 1u64..20).prop_map(
        |(server, rate, leaving, second)| {
            (server, rate.map(|rate| rate + second as u8), leaving, second)
        },
    )
}

/// Has a log hear statements in an order, each some time after it was made.
fn believe(statements: &[Statement], delays: &[u64]) -> Vec<PushbackReport> {
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

/// Returns statements of which no two of a server were heard at the same moment.
fn distinct(statements: Vec<Statement>) -> Vec<Statement> {
    let mut seen = std::collections::BTreeSet::new();
    statements
        .into_iter()
        .filter(|(server, .., second)| seen.insert((*server, *second)))
        .collect()
}

proptest! {
    /// Two instances that have had the same news in another order, late, or doubled.
    #[test]
    fn all_who_have_had_the_same_reports_believe_the_same(
        statements in proptest::collection::vec(statement(), 0..12).prop_map(distinct),
        delays in proptest::collection::vec(0u64..30, 24),
        order in any::<u64>(),
    ) {
        let mut other: Vec<_> = statements.iter().chain(&statements).copied().collect();
        let length = other.len().max(1);
        other.rotate_left(order as usize % length);
        if order % 2 == 1 {
            other.reverse();
        }
        let one = believe(&statements, &delays);
        let two = believe(&other, &delays);
        prop_assert_eq!(&one, &two);
        for report in &one {
            let of_server = statements.iter().filter(|(server, ..)| *server == report.server);
            let newest = of_server.clone().max_by_key(|(.., second)| *second).unwrap();
            let rate = newest.1.and_then(|rate| RequestRate::from_per_second(f64::from(rate)));
            prop_assert_eq!(report.rate, rate, "the newest holds");
            prop_assert_eq!(report.leaving, of_server.clone().any(|(_, _, leaving, _)| *leaving));
        }
    }
}

/// A late report of a rate may pass for later than the rate's end. An instance without a part of
/// the rate sends nothing to the server, and would go on believing it if the end were told once.
#[test]
fn the_end_of_a_rate_is_told_once_more_and_a_rate_as_long_as_it_goes_on() {
    let seconds = Duration::from_secs;
    let limited = StatedRate::Limited(RequestRate::from_per_second(2.0).unwrap());
    let tell = |stated, until: u64| {
        let mut schedule = ReportSchedule::default();
        schedule.record_sent(1, stated, seconds(0));
        let told = (1..until).filter(|second| {
            let due = schedule.is_due(1, stated, seconds(*second));
            if due {
                schedule.record_sent(1, stated, seconds(*second));
            }
            schedule.expire(seconds(*second));
            due
        });
        told.collect::<Vec<u64>>()
    };
    assert_eq!(tell(StatedRate::Unlimited, 100), [3]);
    assert_eq!(tell(limited, 100), [30, 60, 90]);
    // Nobody is told of servers that never stated anything.
    let schedule = ReportSchedule::default();
    assert!(!schedule.is_due(1, StatedRate::Unlimited, seconds(50)));
    assert!(schedule.is_due(1, limited, seconds(50)));
}

/// Each release of servers leaves reports of those that have left: who starts isn't told of all.
#[test]
fn who_starts_is_told_only_of_servers_that_said_something_lately() {
    let mut log = PushbackLog::default();
    for server in 0..500 {
        let now = Duration::from_secs(u64::from(server));
        let report = PushbackReport { server, rate: None, age_ms: 0, leaving: true };
        log.apply(&report, now);
    }
    let told = log.reports(1024, Duration::from_secs(500));
    assert!(told.len() <= 120, "{}", told.len());
    assert!(told.iter().any(|report| report.server == 499));
}
