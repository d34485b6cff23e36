//! How received bytes are split into events, and where a stream may end.

use flaxtide_entry::EventSplitter;

/// A stream, how many of its bytes belong to complete events, its last id, and whether it may
/// end there.
type Case = (&'static str, usize, Option<u64>, bool);

const CASES: [Case; 22] = [
    ("", 0, None, false),
    ("id: 1\ndata: x\n\n", 15, Some(1), true),
    ("id: 1\r\ndata: x\r\n\r\n", 18, Some(1), true),
    ("id: 1\rdata: x\r\r", 15, Some(1), true),
    ("\u{feff}id: 1\n\n", 10, Some(1), true),
    ("\u{feff}", 0, None, false),
    ("id:1\n\n\n\n", 8, Some(1), true),
    ("id: x\n\n", 7, None, true),
    ("id: 1\n\ndata: y\n\n", 16, Some(1), true),
    ("id: 1\n\nid: 2\n", 7, Some(1), false),
    ("id: 1\n\nid: 2", 7, Some(1), false),
    ("id: 1\r\n\r\nid: 2\r\n", 9, Some(1), false),
    ("id: 1\r\n\r", 8, Some(1), false),
    ("id: 1\r\n\r\n\r", 10, Some(1), false),
    ("id: 1\r\rid: 2\r", 7, Some(1), false),
    (": hello\n", 8, None, false),
    (": hello\n\nid: 1\n\n", 16, Some(1), true),
    ("id: 1\n\n: bye\n", 13, Some(1), true),
    ("id: 1\n\n: by", 7, Some(1), false),
    ("id: 1\n: inside\ndata: x\n\n", 24, Some(1), true),
    ("id: 1\n: inside\n", 0, None, false),
    ("\n\nid: 1\n\n", 9, Some(1), true),
];

#[test]
fn events_are_complete_at_blank_lines_however_the_bytes_arrive() {
    for (text, complete, last, is_whole) in CASES {
        for size in 1..=text.len().max(1) {
            let mut splitter = EventSplitter::default();
            let mut passed = vec![];
            for piece in text.as_bytes().chunks(size) {
                passed.extend_from_slice(&splitter.push(piece));
            }
            let case = format!("{text:?} in pieces of {size}");
            assert_eq!(passed, &text.as_bytes()[..complete], "{case}");
            assert_eq!(splitter.last_event(), last, "{case}");
            assert_eq!(splitter.is_whole(), is_whole, "{case}");
            assert_eq!(splitter.take_partial(), &text[complete..], "{case}");
        }
    }
}

#[test]
fn a_later_part_may_be_empty_only_if_no_event_was_broken_off() {
    // The first part, and whether a later part without an event is whole.
    let cases = [("id: 1\n\n", true), ("id: 1\n\nid: 2\nda", false), ("", false)];
    for (first, is_whole) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(first.as_bytes());
        splitter.begin_part();
        assert_eq!(splitter.is_whole(), is_whole, "{first:?}");
        let rest = splitter.push("\u{feff}id: 2\n\n".as_bytes());
        assert_eq!(rest, "id: 2\n\n", "{first:?}");
        assert_eq!((splitter.last_event(), splitter.is_whole()), (Some(2), true));
    }
}

#[test]
fn an_event_that_is_too_large_is_passed_on_in_pieces() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 100_000];
    let begin = b"id: 1\n\nid: 2\ndata: ";
    let mut passed = splitter.push(begin).len();
    let mut sent = begin.len();
    for _ in 0..30 {
        passed += splitter.push(&piece).len();
        sent += piece.len();
        assert!(sent - passed <= 1 << 20, "{} bytes are held back", sent - passed);
    }
    assert_eq!((splitter.last_event(), splitter.is_whole()), (Some(1), false));
    assert!(!splitter.is_resumable());
    passed += splitter.push(b"\n\n").len();
    assert_eq!(passed, sent + 2);
    assert_eq!((splitter.last_event(), splitter.is_whole()), (Some(2), true));
    assert!(splitter.is_resumable());
}
