//! The answers to peers from the log of the server list.

use std::time::Duration;

use flaxtide_core::store_version;
use flaxtide_entry::{FeedBatch, FeedRow, ServerListLog};
use flaxtide_fleet::{RowChanges, RowSource};

/// The most text in one answer.
const MAX_TEXT: usize = 32 * 1024;

/// The length of the text of a long row.
const ROW_TEXT: usize = 1000;

/// The number of long rows, which make up ten answers.
const ROW_COUNT: u64 = 330;

/// Returns a batch that reaches `version`, with rows of these names.
fn batch(version: u64, names: &[&str]) -> FeedBatch {
    let row = |name: &&str| FeedRow {
        name: (*name).to_owned(),
        text: None,
        version: None,
    };
    FeedBatch { version, rows: names.iter().map(row).collect() }
}

/// Returns the names of the rows that changed after a version, or `None` if the log can't
/// answer.
fn names_if_known(log: &ServerListLog, after: u64) -> Option<Vec<String>> {
    let changes = log.changes_after(after)?;
    Some(changes.rows.into_iter().map(|row| row.name).collect())
}

/// Returns a long row that changed at a version.
fn long_row(number: u64, version: Option<u64>) -> FeedRow {
    let text = Some("x".repeat(ROW_TEXT));
    FeedRow { name: format!("row-{number}"), text, version }
}

/// Returns the total length of the texts of an answer.
fn text_len(changes: &RowChanges) -> usize {
    let texts = changes
        .rows
        .iter()
        .map(|row| row.text.as_ref().map_or(0, String::len));
    texts.sum()
}

/// Asks a log repeatedly, as a peer does that knows the rows up to a version, until it
/// has no more rows. Returns the answers with rows.
fn ask_until_current(log: &ServerListLog, mut after: u64) -> Vec<RowChanges> {
    let mut answers = vec![];
    loop {
        let changes = log
            .changes_after(after)
            .expect("the log can answer from the version of its last answer");
        if changes.rows.is_empty() {
            assert_eq!(changes.version, after);
            return answers;
        }
        assert!(changes.version > after, "each answer reaches a higher version");
        after = changes.version;
        answers.push(changes);
    }
}

/// Asserts that the answers are short and have each long row once, in order.
fn assert_all_in_short_answers(answers: &[RowChanges], case: &str) {
    let sizes: Vec<usize> = answers.iter().map(text_len).collect();
    assert!(sizes.iter().all(|size| *size <= MAX_TEXT), "{case}: {sizes:?}");
    // Each question costs a round trip, so answers shouldn't be much shorter than the
    // limit.
    assert!(answers.len() <= 12, "{case}: {sizes:?}");
    let rows = answers.iter().flat_map(|changes| &changes.rows);
    let names: Vec<String> = rows.map(|row| row.name.clone()).collect();
    let all: Vec<String> = (0..ROW_COUNT).map(|number| format!("row-{number}")).collect();
    assert_eq!(names, all, "{case}");
}

fn log() -> ServerListLog {
    ServerListLog::new(Duration::from_secs(60))
}

#[test]
fn changes_are_answered_in_order_from_each_version() {
    let log = log();
    log.record(&batch(5, &["a", "b"]), None, Duration::ZERO);
    log.record(&batch(7, &["a"]), Some(5), Duration::ZERO);
    log.record(&batch(8, &[]), Some(7), Duration::ZERO);
    log.record(&batch(9, &["b"]), Some(8), Duration::ZERO);
    assert_eq!(names_if_known(&log, 5), Some(vec!["a".into(), "b".into()]));
    assert_eq!(names_if_known(&log, 7), Some(vec!["b".into()]));
    assert_eq!(names_if_known(&log, 9), Some(vec![]));
}

#[test]
fn versions_outside_the_log_are_not_answered() {
    let log = log();
    assert_eq!(names_if_known(&log, 0), None, "nothing has been read");
    log.record(&batch(5, &["a"]), None, Duration::ZERO);
    assert_eq!(names_if_known(&log, 4), None, "older than the first read");
    assert_eq!(names_if_known(&log, 6), None, "newer than the last read");
}

/// An answer from before the gap would lack the changes that another instance has read.
#[test]
fn versions_before_a_gap_are_not_answered() {
    let log = log();
    log.record(&batch(5, &["a"]), None, Duration::ZERO);
    // Between 5 and 12, another instance was the reader.
    log.record(&batch(14, &["c"]), Some(12), Duration::ZERO);
    assert_eq!(names_if_known(&log, 5), None);
    assert_eq!(names_if_known(&log, 12), Some(vec!["c".into()]));
}

#[test]
fn an_outdated_log_does_not_answer() {
    // With no time for leaving servers, any answer of the platform is too old.
    let log = ServerListLog::new(Duration::ZERO);
    log.record(&batch(5, &["a"]), None, Duration::ZERO);
    std::thread::sleep(Duration::from_millis(5));
    assert_eq!(names_if_known(&log, 5), None);
}

/// The answer to a call may arrive long after the platform has read its rows. An instance that
/// has read such an answer doesn't know what has changed since.
#[test]
fn a_late_answer_is_as_old_as_its_rows() {
    let log = log();
    log.record(&batch(5, &["a"]), None, Duration::from_secs(61));
    assert_eq!(names_if_known(&log, 5), None);
    log.record(&batch(6, &["b"]), Some(5), Duration::ZERO);
    assert_eq!(names_if_known(&log, 5), Some(vec!["b".into()]));
}

/// A long answer over a narrow link misses its deadline and is requested again and again.
#[test]
fn many_batches_are_answered_in_short_answers() {
    let log = log();
    log.record(&batch(5, &[]), None, Duration::ZERO);
    // Ten rows per batch, so that the log keeps all batches.
    for first in (0..ROW_COUNT).step_by(10) {
        let rows = (first..first + 10).map(|number| long_row(number, None)).collect();
        let batch = FeedBatch { rows, version: 15 + first };
        log.record(&batch, Some(5 + first), Duration::ZERO);
    }
    assert_all_in_short_answers(&ask_until_current(&log, 5), "many batches");
}

/// The same holds for many rows that are read at once: they must be split by their
/// versions.
#[test]
fn a_large_batch_is_answered_in_short_answers() {
    let log = log();
    log.record(&batch(5, &[]), None, Duration::ZERO);
    // Rows of other tables increase the store's version as well.
    let rows = (0..ROW_COUNT).map(|number| long_row(number, Some(7 + 2 * number)));
    let version = 10 + 2 * ROW_COUNT;
    log.record(&FeedBatch { rows: rows.collect(), version }, Some(5), Duration::ZERO);
    let answers = ask_until_current(&log, 5);
    assert_all_in_short_answers(&answers, "one batch");
    assert_eq!(answers.last().unwrap().version, version);
    // The version of an answer is that of its last row, so a peer that continues at the
    // platform or at another reader misses nothing.
    for changes in &answers[..answers.len() - 1] {
        let last = changes.rows.last().unwrap();
        let number: u64 = last.name.strip_prefix("row-").unwrap().parse().unwrap();
        assert_eq!(changes.version, 7 + 2 * number);
    }
}

/// A peer continues after the version of an answer, possibly with another reader. If an
/// answer ended at a version that isn't known to be complete, the peer would lose rows.
#[test]
fn a_batch_without_usable_row_versions_is_not_split() {
    /// A function from the number of a row to its version.
    type Versions = fn(u64) -> Option<u64>;
    let cases: [(&str, Versions); 5] = [
        ("unknown", |_| None),
        ("the same for all", |_| Some(9)),
        ("out of order", |number| Some(5 + ROW_COUNT - number)),
        ("before the batch", |number| Some(3 + number)),
        ("after the batch", |number| Some(9 + number)),
    ];
    for (case, version) in cases {
        let log = log();
        log.record(&batch(5, &[]), None, Duration::ZERO);
        let rows = (0..ROW_COUNT).map(|number| long_row(number, version(number)));
        let end = 5 + ROW_COUNT;
        log.record(
            &FeedBatch { rows: rows.collect(), version: end },
            Some(5),
            Duration::ZERO,
        );
        let answers = ask_until_current(&log, 5);
        assert_eq!(answers.len(), 1, "{case}");
        assert_eq!(answers[0].rows.len() as u64, ROW_COUNT, "{case}");
        assert_eq!(answers[0].version, end, "{case}");
    }
}

/// A peer would lose rows if an answer ended in the middle of a version.
#[test]
fn rows_of_one_version_stay_together() {
    let log = log();
    log.record(&batch(5, &[]), None, Duration::ZERO);
    // Forty rows of one version don't fit into one answer.
    let rows = (0..ROW_COUNT).map(|number| long_row(number, Some(6 + number / 40)));
    log.record(&FeedBatch { rows: rows.collect(), version: 50 }, Some(5), Duration::ZERO);
    let counts = ask_until_current(&log, 5)
        .into_iter()
        .map(|changes| (changes.version, changes.rows.len()));
    let counts: Vec<(u64, usize)> = counts.collect();
    let mut expected: Vec<(u64, usize)> = (6..14).map(|version| (version, 40)).collect();
    expected.push((50, 10));
    assert_eq!(counts, expected);
}

/// Returns a batch with all rows of a store.
fn snapshot(version: u64, rows: &[(&str, &str)]) -> FeedBatch {
    let row = |(name, text): &(&str, &str)| FeedRow {
        name: (*name).to_owned(),
        text: Some((*text).to_owned()),
        version: None,
    };
    FeedBatch { version, rows: rows.iter().map(row).collect() }
}

#[test]
fn the_difference_of_a_second_snapshot_is_answered_as_changes() {
    let log = log();
    log.record(
        &snapshot(10, &[("a", "1"), ("b", "1"), ("c", "1")]),
        None,
        Duration::ZERO,
    );
    // The store has dropped its history, so everything is read again.
    log.record(
        &snapshot(20, &[("a", "1"), ("b", "2"), ("d", "1")]),
        None,
        Duration::ZERO,
    );
    let changes = log.changes_after(10).unwrap();
    let rows: Vec<(&str, Option<&str>)> = changes
        .rows
        .iter()
        .map(|row| (row.name.as_str(), row.text.as_deref()))
        .collect();
    assert_eq!(rows, [("c", None), ("b", Some("2")), ("d", Some("1"))]);
    assert_eq!(changes.version, 20);
    // Which changes happened before and which after 15 isn't known, so a peer at 15 can't
    // be answered.
    assert!(log.changes_after(15).is_none());
    log.record(&batch(22, &["e"]), Some(20), Duration::ZERO);
    assert_eq!(names_after(&log, 10), ["c", "b", "d", "e"]);
}

#[test]
fn peers_continue_from_an_earlier_era_of_the_store() {
    let log = log();
    let (first, second) = (store_version(1, 90), store_version(2, 40));
    log.record(&snapshot(first, &[("a", "1"), ("lost", "1")]), None, Duration::ZERO);
    log.record(&snapshot(second, &[("a", "1"), ("again", "1")]), None, Duration::ZERO);
    let changes = log.changes_after(first).unwrap();
    assert_eq!(names_after(&log, first), ["lost", "again"]);
    assert_eq!(changes.version, second);
    // Versions that the log hasn't seen can't be answered: later ones of the first era,
    // and versions of the second era before and after that of the read.
    assert!(log.changes_after(store_version(1, 95)).is_none());
    assert!(log.changes_after(store_version(2, 30)).is_none());
    assert!(log.changes_after(store_version(2, 41)).is_none());
}

/// Returns the names of the rows that changed after a version that the log can answer.
fn names_after(log: &ServerListLog, after: u64) -> Vec<String> {
    names_if_known(log, after).unwrap()
}

/// An instance that becomes a reader knows the rows from the reader before it. If it didn't,
/// all its peers would have to read everything once the store drops its history.
#[test]
fn a_reader_that_was_told_before_answers_across_a_dropped_history() {
    let log = log();
    log.record(&snapshot(10, &[("a", "1"), ("b", "1")]), None, Duration::ZERO);
    let mut told = snapshot(12, &[("c", "1")]);
    told.rows.extend(batch(12, &["a"]).rows);
    log.record_answer(&told, 10);
    assert!(log.changes_after(12).is_none(), "the platform hasn't answered it");
    assert!(!log.has_gap_after(10));
    log.record(&batch(14, &[]), Some(12), Duration::ZERO);
    log.record(&snapshot(20, &[("c", "1")]), None, Duration::ZERO);
    assert_eq!(names_after(&log, 12), ["b"]);
    assert_eq!(names_after(&log, 14), ["b"]);
    // What peers told isn't answered to others, nor what happened inside a span.
    assert!(log.has_gap_after(11));
    assert!(log.has_gap_after(17));
}

/// Rows that a peer told from another version than the last one are incomplete.
#[test]
fn rows_told_after_an_unknown_version_are_not_compared() {
    let log = log();
    log.record(&snapshot(10, &[("a", "1")]), None, Duration::ZERO);
    log.record_answer(&batch(14, &[]), 12);
    log.record(&batch(15, &[]), Some(14), Duration::ZERO);
    log.record(&snapshot(20, &[("b", "1")]), None, Duration::ZERO);
    assert!(log.has_gap_after(15));
    assert!(log.changes_after(20).is_some());
}

/// A reader whose changes begin later shows that the platform answers; one that is behind
/// doesn't.
#[test]
fn a_reader_tells_a_gap_from_its_own_lag() {
    let log = ServerListLog::new(Duration::from_secs(3));
    assert!(!log.has_gap_after(10), "nothing has been read");
    log.record(&FeedBatch { rows: vec![], version: 50 }, None, Duration::ZERO);
    assert!(log.has_gap_after(49));
    assert!(!log.has_gap_after(50));
    assert!(!log.has_gap_after(51));
}
