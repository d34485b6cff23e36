//! What an instance that reads a list for others tells them.

use std::time::Duration;

use flaxtide_core::store_version;
use flaxtide_entry::{FeedBatch, FeedRow, ServerListLog};
use flaxtide_fleet::{RowChanges, RowSource};

/// The most text of an answer.
const MOST_TEXT: usize = 32 * 1024;

/// How much text a row of the tests of long answers has.
const ROW_TEXT: usize = 1000;

/// How many such rows there are: ten answers' worth.
const MANY: u64 = 330;

/// A batch up to a version with rows of these names.
fn batch(version: u64, names: &[&str]) -> FeedBatch {
    let row = |name: &&str| FeedRow {
        name: (*name).to_owned(),
        text: None,
        version: None,
    };
    FeedBatch { version, rows: names.iter().map(row).collect() }
}

/// Returns the names that a log tells of after a version; nothing if it can't tell.
fn told(log: &ServerListLog, after: u64) -> Option<Vec<String>> {
    let news = log.changes_after(after)?;
    Some(news.rows.into_iter().map(|row| row.name).collect())
}

/// A long row that changed at a version.
fn long_row(number: u64, version: Option<u64>) -> FeedRow {
    let text = Some("x".repeat(ROW_TEXT));
    FeedRow { name: format!("row-{number}"), text, version }
}

/// How much text an answer has.
fn text_of(news: &RowChanges) -> usize {
    let texts = news.rows.iter().map(|row| row.text.as_ref().map_or(0, String::len));
    texts.sum()
}

/// Asks a log as an instance does that was told up to a version, until it tells no more.
/// Returns the answers with rows.
fn ask_on(log: &ServerListLog, mut after: u64) -> Vec<RowChanges> {
    let mut answers = vec![];
    loop {
        let news = log
            .changes_after(after)
            .expect("what was told last can be gone on from");
        if news.rows.is_empty() {
            assert_eq!(news.version, after);
            return answers;
        }
        assert!(news.version > after, "the asker gets on");
        after = news.version;
        answers.push(news);
    }
}

/// Asserts that answers are short and tell of each long row once, in order.
fn assert_all_in_short_answers(answers: &[RowChanges], case: &str) {
    let sizes: Vec<usize> = answers.iter().map(text_of).collect();
    assert!(sizes.iter().all(|size| *size <= MOST_TEXT), "{case}: {sizes:?}");
    // Each question has its price, so answers aren't much shorter than they may be.
    assert!(answers.len() <= 12, "{case}: {sizes:?}");
    let rows = answers.iter().flat_map(|news| &news.rows);
    let names: Vec<String> = rows.map(|row| row.name.clone()).collect();
    let all: Vec<String> = (0..MANY).map(|number| format!("row-{number}")).collect();
    assert_eq!(names, all, "{case}");
}

fn log() -> ServerListLog {
    ServerListLog::new(Duration::from_secs(60))
}

#[test]
fn changes_are_told_in_order_to_whoever_lacks_them() {
    let log = log();
    log.record(&batch(5, &["a", "b"]), None);
    log.record(&batch(7, &["a"]), Some(5));
    log.record(&batch(8, &[]), Some(7));
    log.record(&batch(9, &["b"]), Some(8));
    assert_eq!(told(&log, 5), Some(vec!["a".into(), "b".into()]));
    assert_eq!(told(&log, 7), Some(vec!["b".into()]));
    assert_eq!(told(&log, 9), Some(vec![]));
}

#[test]
fn what_is_not_known_whole_is_not_told() {
    let log = log();
    assert_eq!(told(&log, 0), None, "nothing was read");
    log.record(&batch(5, &["a"]), None);
    assert_eq!(told(&log, 4), None, "changes before the first reading");
    assert_eq!(told(&log, 6), None, "newer than what was read");
}

#[test]
fn what_was_read_after_a_gap_is_not_taken_for_all() {
    let log = log();
    log.record(&batch(5, &["a"]), None);
    // From 5 to 12 a peer has read for this instance.
    log.record(&batch(14, &["c"]), Some(12));
    assert_eq!(told(&log, 5), None);
    assert_eq!(told(&log, 12), Some(vec!["c".into()]));
}

#[test]
fn an_old_answer_of_the_platform_is_not_passed_on() {
    let log = ServerListLog::new(Duration::ZERO);
    log.record(&batch(5, &["a"]), None);
    std::thread::sleep(Duration::from_millis(5));
    assert_eq!(told(&log, 5), None);
}

#[test]
fn many_changes_are_told_in_short_answers() {
    let log = log();
    log.record(&batch(5, &[]), None);
    // Ten rows a reading, so that all readings are kept.
    for first in (0..MANY).step_by(10) {
        let rows = (first..first + 10).map(|number| long_row(number, None)).collect();
        let batch = FeedBatch { rows, version: 15 + first };
        log.record(&batch, Some(5 + first));
    }
    assert_all_in_short_answers(&ask_on(&log, 5), "one reading after another");
}

#[test]
fn rows_that_change_all_at_once_are_told_in_short_answers() {
    let log = log();
    log.record(&batch(5, &[]), None);
    // The store's version goes on with other tables' rows too.
    let rows = (0..MANY).map(|number| long_row(number, Some(7 + 2 * number)));
    let version = 10 + 2 * MANY;
    log.record(&FeedBatch { rows: rows.collect(), version }, Some(5));
    let answers = ask_on(&log, 5);
    assert_all_in_short_answers(&answers, "one reading");
    assert_eq!(answers.last().unwrap().version, version);
    // Whoever goes on with the platform, or another reader, is told of all that it lacks.
    for news in &answers[..answers.len() - 1] {
        let last = news.rows.last().unwrap();
        let number: u64 = last.name.strip_prefix("row-").unwrap().parse().unwrap();
        assert_eq!(news.version, 7 + 2 * number);
    }
}

#[test]
fn an_answer_never_ends_where_nobody_could_go_on() {
    /// The version of each row by its number.
    type Versions = fn(u64) -> Option<u64>;
    let cases: [(&str, Versions); 5] = [
        ("unknown", |_| None),
        ("one for all", |_| Some(9)),
        ("out of order", |number| Some(5 + MANY - number)),
        ("before what was asked", |number| Some(3 + number)),
        ("after the reading", |number| Some(9 + number)),
    ];
    for (case, version) in cases {
        let log = log();
        log.record(&batch(5, &[]), None);
        let rows = (0..MANY).map(|number| long_row(number, version(number)));
        let end = 5 + MANY;
        log.record(&FeedBatch { rows: rows.collect(), version: end }, Some(5));
        let answers = ask_on(&log, 5);
        assert_eq!(answers.len(), 1, "{case}");
        assert_eq!(answers[0].rows.len() as u64, MANY, "{case}");
        assert_eq!(answers[0].version, end, "{case}");
    }
}

#[test]
fn rows_of_one_change_stay_together() {
    let log = log();
    log.record(&batch(5, &[]), None);
    // Forty rows a change are more than an answer has room for.
    let rows = (0..MANY).map(|number| long_row(number, Some(6 + number / 40)));
    log.record(&FeedBatch { rows: rows.collect(), version: 50 }, Some(5));
    let counts = ask_on(&log, 5)
        .into_iter()
        .map(|news| (news.version, news.rows.len()));
    let counts: Vec<(u64, usize)> = counts.collect();
    let mut expected: Vec<(u64, usize)> = (6..14).map(|version| (version, 40)).collect();
    expected.push((50, 10));
    assert_eq!(counts, expected);
}

/// All rows of a store, as they are read at once.
fn whole(version: u64, rows: &[(&str, &str)]) -> FeedBatch {
    let row = |(name, text): &(&str, &str)| FeedRow {
        name: (*name).to_owned(),
        text: Some((*text).to_owned()),
        version: None,
    };
    FeedBatch { version, rows: rows.iter().map(row).collect() }
}

#[test]
fn what_a_second_whole_reading_changes_is_told_as_changes() {
    let log = log();
    log.record(&whole(10, &[("a", "1"), ("b", "1"), ("c", "1")]), None);
    // The store has forgotten its history, and everything is read anew.
    log.record(&whole(20, &[("a", "1"), ("b", "2"), ("d", "1")]), None);
    let news = log.changes_after(10).unwrap();
    let told: Vec<(&str, Option<&str>)> = news
        .rows
        .iter()
        .map(|row| (row.name.as_str(), row.text.as_deref()))
        .collect();
    assert_eq!(told, [("c", None), ("b", Some("2")), ("d", Some("1"))]);
    assert_eq!(news.version, 20);
    // Who has seen a part of what happened between the readings can't be told the rest.
    assert!(log.changes_after(15).is_none());
    log.record(&batch(22, &["e"]), Some(20));
    assert_eq!(told_names(&log, 10), ["c", "b", "d", "e"]);
}

#[test]
fn peers_go_on_from_an_earlier_era_of_the_store() {
    let log = log();
    let (first, second) = (store_version(1, 90), store_version(2, 40));
    log.record(&whole(first, &[("a", "1"), ("lost", "1")]), None);
    log.record(&whole(second, &[("a", "1"), ("again", "1")]), None);
    let news = log.changes_after(first).unwrap();
    assert_eq!(told_names(&log, first), ["lost", "again"]);
    assert_eq!(news.version, second);
    // What another instance has seen of the first era after this one isn't known here, nor
    // what was before the copy's return.
    assert!(log.changes_after(store_version(1, 95)).is_none());
    assert!(log.changes_after(store_version(2, 30)).is_none());
    assert!(log.changes_after(store_version(2, 41)).is_none());
}

/// Returns the names that a log tells of after a version.
fn told_names(log: &ServerListLog, after: u64) -> Vec<String> {
    told(log, after).unwrap()
}
