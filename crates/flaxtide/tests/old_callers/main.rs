//! Callers of HTTP/1.0 and instances that are processes: the end of the connection is the only end
//! of a stream that they are told, so it comes by FIN after the last byte, and by a reset otherwise.

#[path = "../../../../platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
#[path = "../version_soak/process.rs"]
mod process;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::caller::request_within;
use common::server::{Step, event, event_text, stream_head};
use common::{
    Answer, Caller, Script, Seen, StandinServer, StandinStore, config, fresh_ip,
    instance_metrics, wait_until,
};

use self::process::EntryProcess;

/// The events of a stream.
const EVENTS: u64 = 3;

/// The bytes of a long event.
const LONG_EVENT_BYTES: usize = 1000;

/// More long events than the system holds for a caller that reads nothing.
const MAX_COUNT: u64 = 8000;

/// Within which time the events that a caller need not read for are taken from the server.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);

/// For how long a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u32 = 4000;

/// An instance before a server.
struct OldCallers {
    process: EntryProcess,
    server: StandinServer,
    _store: StandinStore,
}

impl OldCallers {
    /// Starts an instance.
    fn start() -> Self {
        let store = StandinStore::start(fresh_ip());
        store.put_config(&config(1));
        let server = StandinServer::start(fresh_ip(), script());
        store.put_server("i-0", "pool", server.address, "ready");
        let process = EntryProcess::start(fresh_ip(), store.address, &[]);
        process.wait_ready();
        Self { process, server, _store: store }
    }

    /// Opens a connection that reads little ahead, and sends a request of HTTP/1.0.
    fn ask(&self, path: &str, deadline_ms: u32) -> Caller {
        let mut caller = Caller::open_with_small_buffer(self.process.callers());
        let text = request_within(deadline_ms, "POST", path, "a1", "");
        caller.send(&text.replace("HTTP/1.1", "HTTP/1.0"));
        caller
    }

    /// Returns how many requests are open.
    fn open_calls(&self) -> String {
        let metrics = instance_metrics(self.process.ip).unwrap_or_default();
        let mut lines = metrics.lines();
        let line = lines.find(|line| line.starts_with("flaxtide_entry_open_calls "));
        line.unwrap_or_default().to_owned()
    }
}

/// Spells a long event.
fn long_event(number: u64) -> Vec<u8> {
    let text = long_event_text(number);
    [format!("{:x}\r\n", text.len()).into_bytes(), text.into_bytes(), b"\r\n".to_vec()]
        .concat()
}

/// Returns the text of a long event.
fn long_event_text(number: u64) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(LONG_EVENT_BYTES))
}

/// A server whose streams break off, or don't, as their path says.
fn script() -> Script {
    Arc::new(|seen: &Seen, _| {
        let path = seen.line.split(' ').nth(1).unwrap_or_default();
        let head = Step::Write(stream_head(seen));
        let events: Vec<u8> = (1..=EVENTS).flat_map(event).collect();
        let arrival = Step::Wait(Duration::from_millis(20));
        let end = Step::Write(b"0\r\n\r\n".to_vec());
        match path.rsplit('/').next().unwrap_or_default() {
            "before" => vec![head, arrival, Step::Reset],
            "between" => vec![head, Step::Write(events), arrival, Step::Reset],
            "inside" => {
                let part = event(EVENTS + 1)[..12].to_vec();
                vec![head, Step::Write(events), Step::Write(part), arrival, Step::Close]
            }
            "open" => vec![head, Step::Write(events), Step::Silence],
            "whole" => vec![head, Step::Write(events), arrival, end],
            number => {
                let count = number.parse().unwrap_or_default();
                let events = (1..=count).flat_map(long_event).collect();
                vec![head, Step::Write(events), end]
            }
        }
    })
}

/// Returns the text of the events.
fn text() -> String {
    (1..=EVENTS).map(event_text).collect()
}

/// Waits until a caller has got the head and the events of a stream.
fn read_events(caller: &mut Caller) {
    assert!(caller.head().contains(" 200 "));
    let text = text();
    assert_eq!(caller.bytes(text.len()), text.as_bytes());
}

/// Returns the rest of a stream, and whether it ended by FIN.
fn rest(caller: &mut Caller) -> (Vec<u8>, bool) {
    let rest = caller.end();
    (rest, !caller.was_reset())
}

// Guards against streams that break off ending like whole ones for callers of HTTP/1.0.
#[test]
fn a_stream_that_breaks_off_is_reset() {
    let fleet = OldCallers::start();
    for path in ["before", "between", "inside"] {
        let answer = fleet.ask(&format!("/draft/{path}"), DEADLINE_MS).answer();
        let looks_complete = answer.whole && answer.status == 200;
        assert!(!looks_complete, "{path}: {}", answer.text());
    }
    let answer: Answer = fleet.ask("/draft/whole", DEADLINE_MS).answer();
    assert_eq!((answer.status, answer.whole, answer.text()), (200, true, text()));
}

// Guards against the same when the instance ends the stream at its deadline.
#[test]
fn a_stream_that_an_instance_ends_at_its_deadline_is_reset() {
    let fleet = OldCallers::start();
    let mut caller = fleet.ask("/draft/open", 500);
    read_events(&mut caller);
    assert_eq!(rest(&mut caller), (vec![], false));
}

// Guards against the same when the instance is killed, or stops and its grace ends.
#[test]
fn a_stream_whose_instance_ends_is_reset() {
    for is_kill in [true, false] {
        let mut fleet = OldCallers::start();
        // Longer than the instance waits for open requests when it stops.
        let mut caller = fleet.ask("/draft/open", 60_000);
        read_events(&mut caller);
        match is_kill {
            true => fleet.process.kill(),
            false => fleet.process.stop(),
        }
        assert_eq!(rest(&mut caller), (vec![], false), "killed: {is_kill}");
    }
}

impl OldCallers {
    /// Asks for so many long events. Returns the caller, which has read nothing, and whether all
    /// events were taken from the server soon.
    fn ask_long(&self, count: u64) -> (Caller, bool) {
        let caller = self.ask(&format!("/draft/{count}"), 60_000);
        let seen = self.server.seen().len();
        let is_taken = || self.open_calls() == "flaxtide_entry_open_calls 0";
        let start = Instant::now();
        // The request arrives, then its stream is taken, or the caller has to read first.
        while !(self.server.seen().len() > seen && is_taken()) {
            if start.elapsed() > TAKEN_WITHIN {
                return (caller, false);
            }
            std::thread::yield_now();
        }
        (caller, true)
    }

    /// Returns about how many long events are taken from the server while the caller reads nothing.
    fn count_taken(&self) -> u64 {
        let (mut taken, mut left) = (1, MAX_COUNT);
        while left - taken > 1 {
            let middle = taken.midpoint(left);
            let (caller, is_taken) = self.ask_long(middle);
            caller.leave();
            wait_until("left", || self.open_calls() == "flaxtide_entry_open_calls 0");
            match is_taken {
                true => taken = middle,
                false => left = middle,
            }
        }
        taken
    }
}

// Guards against a stream ending like a whole one whose last bytes were taken from the server, but
// not yet written to a caller that reads slowly.
#[test]
fn a_stream_whose_last_bytes_are_unwritten_is_reset_when_its_instance_ends() {
    let mut fleet = OldCallers::start();
    let most = fleet.count_taken();
    assert!(most < MAX_COUNT - 1, "the caller need not read");
    // Of these some are with the system, and some still with the instance.
    let counts: Vec<u64> = (0..16).map(|fewer| most.saturating_sub(fewer)).collect();
    let callers: Vec<Caller> =
        counts.iter().map(|count| fleet.ask_long(*count).0).collect();
    fleet.process.kill();
    for (mut caller, count) in callers.into_iter().zip(counts) {
        let answer = caller.answer();
        let whole: usize = (1..=count).map(|number| long_event_text(number).len()).sum();
        let (got, ended) = (answer.body.len(), answer.whole && answer.status == 200);
        assert!(
            !ended || got == whole,
            "{got} bytes of {whole} ended like a whole stream"
        );
    }
}
