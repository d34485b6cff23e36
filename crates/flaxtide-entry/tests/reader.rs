//! What an instance that reads a list for others tells them.

use std::time::Duration;

use flaxtide_entry::{FeedBatch, FeedRow, ListLog};
use flaxtide_fleet::RowSource;

/// A batch up to a version with rows of these names.
fn batch(version: u64, names: &[&str]) -> FeedBatch {
    let row = |name: &&str| FeedRow { name: (*name).to_owned(), text: None };
    FeedBatch { version, rows: names.iter().map(row).collect() }
}

/// Returns the names that a log tells of after a version; nothing if it can't tell.
fn told(log: &ListLog, after: u64) -> Option<Vec<String>> {
    let news = log.news_after(after)?;
    Some(news.rows.into_iter().map(|row| row.name).collect())
}

fn log() -> ListLog {
    ListLog::new(Duration::from_secs(60))
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
    let log = ListLog::new(Duration::ZERO);
    log.record(&batch(5, &["a"]), None);
    std::thread::sleep(Duration::from_millis(5));
    assert_eq!(told(&log, 5), None);
}
