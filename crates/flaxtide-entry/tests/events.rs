//! How received bytes are split into events, and where a stream may end.

use flaxtide_entry::{EventSplitter, OrderFault};

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

// Guards against a later part without events being taken for an end that nothing states, and, if it
// is framed, for that of a stream of which an event was broken off.
#[test]
fn a_later_part_without_events_is_no_end_by_itself() {
    // The first part, and whether an event is due after it.
    let cases = [
        ("id: 1\n\n", false),
        ("id: 1\n\n: bye", false),
        ("id: 1\n\nid: 2\nda", true),
        ("id: 1\n\nid: 2\n", true),
        ("id: 1\n\ni", true),
        ("", false),
    ];
    for (first, is_due) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(first.as_bytes());
        splitter.begin_part();
        assert!(!splitter.is_whole(), "{first:?}");
        assert_eq!(splitter.is_event_due(), is_due, "{first:?}");
        // It stays due in further parts.
        splitter.begin_part();
        assert_eq!(splitter.is_event_due(), is_due, "{first:?}");
        let rest = splitter.push("\u{feff}id: 2\n\n".as_bytes());
        assert_eq!(rest, "id: 2\n\n", "{first:?}");
        assert_eq!((splitter.last_event(), splitter.is_whole()), (Some(2), true));
        assert!(!splitter.is_event_due());
    }
}

// Guards against events out of order being passed on, however the bytes arrive.
#[test]
fn events_are_passed_on_as_far_as_their_ids_prove_their_order() {
    // What the caller has, what a server sends, how many of its bytes are passed on, the fault.
    let cases: [(Option<u64>, &str, usize, Option<OrderFault>); 12] = [
        (None, "id: 1\n\nid: 2\n\n", 14, None),
        (None, "id: 2\n\nid: 2\n\n", 7, Some(repeated(2, 2))),
        (None, "id: 0\n\nid: 1\n\nid: 0\n\n", 14, Some(repeated(1, 0))),
        (None, "id: 1\n\nid: 2\n\nid: 4\n\n", 14, Some(missing(2, 4))),
        (None, "id: 1\n\nid: 3\n\nid: 4\n\nid: 9\n\n", 28, None),
        (None, "data: x\n\nid: 1\n\ndata: y\n\n", 25, None),
        (Some(3), "id: 4\n\n", 7, None),
        (Some(3), ": hi\n\nretry: 1\n\nid: 3\n\n", 16, Some(repeated(3, 3))),
        (Some(3), "id: 5\n\n", 0, Some(missing(3, 5))),
        (Some(3), "data: x\n\nid: 4\n\n", 16, None),
        (Some(3), "data: x\n\ndata: y\n\n", 0, None),
        (Some(3), "data: x\n\nid: 1\n\n", 0, Some(repeated(3, 1))),
    ];
    for (last, text, passed, fault) in cases {
        for size in 1..=text.len() {
            let mut splitter = EventSplitter::after(last);
            let mut got = vec![];
            for piece in text.as_bytes().chunks(size) {
                got.extend_from_slice(&splitter.push(piece));
            }
            let case = format!("{last:?}, {text:?} in pieces of {size}");
            assert_eq!(got, &text.as_bytes()[..passed], "{case}");
            assert_eq!(splitter.order_fault(), fault, "{case}");
            assert_eq!(splitter.is_whole(), fault.is_none() && passed > 0, "{case}");
            let next = splitter.push(b"id: 100\n\n");
            assert!(fault.is_none() || next.is_empty(), "{case}");
        }
    }
}

/// An event that repeats or precedes the last one.
fn repeated(last: u64, id: u64) -> OrderFault {
    OrderFault::Repeated { last, id }
}

/// An event that leaves some out.
fn missing(last: u64, id: u64) -> OrderFault {
    OrderFault::Missing { last, id }
}

// Guards against a large event being passed on in pieces before its place is known.
#[test]
fn a_large_event_is_only_passed_on_where_it_may_follow() {
    let large = format!("data: {}", "x".repeat(100_000));
    // What precedes the data of the event, and whether it may follow event 3.
    let cases = [("id: 4\n", true), ("id: 3\n", false), ("id: 5\n", false), ("", false)];
    for (id, follows) in cases {
        let mut splitter = EventSplitter::after(Some(3));
        let passed = splitter.push(format!("{id}{large}").as_bytes());
        assert_eq!(passed.is_empty(), !follows, "{id:?}");
        assert_eq!(splitter.order_fault().is_none(), follows, "{id:?}");
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

// Guards against a large event in one line, of which no id is read, being taken for none, so that the
// stream goes on after the one before it.
#[test]
fn a_large_event_without_an_id_has_no_place_to_continue_after() {
    let large = format!("data: {}", "x".repeat(100_000));
    for begin in ["", "id: 1\n\n"] {
        let mut splitter = EventSplitter::default();
        splitter.push(begin.as_bytes());
        splitter.push(large.as_bytes());
        assert!(!splitter.is_resumable(), "{begin:?}");
        splitter.push(b"\n\n");
        assert!(!splitter.is_resumable(), "{begin:?}");
        assert!(splitter.is_whole(), "{begin:?}");
        splitter.push(b"id: 2\n\n");
        assert!(splitter.is_resumable(), "{begin:?}");
    }
}

// Guards against an id being lost where a large event is cut.
#[test]
fn a_large_event_is_cut_between_lines() {
    let data = format!("data: {}\n", "x".repeat(65_527));
    for cut in 1.."id: 1\n".len() {
        let mut splitter = EventSplitter::after(Some(1));
        splitter.push(b"id: 2\n\n");
        splitter.push(data.as_bytes());
        splitter.push(&b"id: 1\n"[..cut]);
        splitter.push(&b"id: 1\n"[cut..]);
        splitter.push(b"\n");
        assert_eq!(splitter.order_fault(), Some(repeated(2, 1)), "{cut}");
    }
}

// Guards against fields that make no event being taken for the event that is due.
#[test]
fn only_an_event_with_an_id_comes_for_one_with_an_id() {
    // What broke off, what the next part has, and whether the event has come.
    let cases = [
        ("id: 2\nda", "retry: 1\n\n", false),
        ("id: 2\nda", "event: x\n\n", false),
        ("id: 2\nda", "data: x\n\n", false),
        ("id: 2\nda", "id: 2\n\n", true),
        ("data: x", "retry: 1\n\n", false),
        ("data: x", "data: x\n\n", true),
        ("data: x", "id: 2\n\n", true),
        ("id: 4\n\n", "data: x\n\n", false),
    ];
    for (begun, part, has_come) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(format!("id: 0\n\nid: 1\n\n{begun}").as_bytes());
        splitter.begin_part();
        assert!(splitter.is_event_due(), "{begun:?}");
        splitter.push(part.as_bytes());
        assert_eq!(splitter.is_event_due(), !has_come, "{begun:?}, {part:?}");
    }
}

// Guards against an event being passed on unread because the framing ends before its blank line.
#[test]
fn the_last_event_of_a_framed_part_is_compared_without_a_blank_line() {
    // What a server sends after event 3, and the fault.
    let cases = [
        ("id: 4\ndata: x", None),
        ("id: 4\ndata: x\n", None),
        ("id: 1\ndata: x\n", Some(repeated(3, 1))),
        ("id: 1", Some(repeated(3, 1))),
        ("id: 4\n\nid: 4\ndata: x\r", Some(repeated(4, 4))),
        ("id: 4\n\nid: 6\n", Some(missing(4, 6))),
        ("data: x", None),
        (": bye", None),
        ("", None),
    ];
    for (text, fault) in cases {
        let mut splitter = EventSplitter::after(Some(3));
        let passed = splitter.push(text.as_bytes()).len();
        splitter.end_part();
        assert_eq!(splitter.order_fault(), fault, "{text:?}");
        assert_eq!(splitter.take_partial(), &text[passed..], "{text:?}");
    }
}

// Guards against a part without ids that is the whole stream once more being joined to it.
#[test]
fn a_framed_part_without_ids_is_shorter_than_what_it_continues() {
    // The numbers of events before and in the part, and whether it may follow.
    let cases = [(1, 1, true), (1, 2, false), (3, 2, true), (3, 3, false), (3, 6, false)];
    for (before, added, follows) in cases {
        for end in ["\n\n", "\n", ""] {
            let mut splitter = EventSplitter::default();
            for id in 1..=before {
                splitter.push(format!("id: {id}\ndata: x\n\n").as_bytes());
            }
            splitter.begin_part();
            let part = vec!["data: x"; added].join("\n\n") + end;
            assert_eq!(splitter.push(part.as_bytes()), "");
            splitter.end_part();
            let case = format!("{added} after {before}, {end:?}");
            assert_eq!(splitter.order_fault().is_none(), follows, "{case}");
        }
    }
}
