//! Responses without end.

use std::io::Write;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How many bytes are written at a time, at least.
const PIECE_BYTES: usize = 32 * 1024;

/// The pause between two bytes of a slow response.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// What a faulty server sends again and again until its caller closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessKind {
    /// A line of a head.
    HeadLine,
    /// Headers.
    Headers,
    /// A body whose end would be that of the connection.
    Body,
    /// A body in chunks.
    Chunks,
    /// A text in JSON.
    Text,
    /// Blanks, as may come before JSON.
    Blanks,
    /// A text in JSON, of which a byte comes each 100 ms.
    Slow,
    /// A line of an event.
    EventLine,
    /// Lines of an event.
    Event,
    /// Comments between events.
    Comments,
}

impl EndlessKind {
    /// Returns what comes once, and what comes again and again.
    fn parts(self) -> (&'static str, &'static str) {
        match self {
            Self::HeadLine => ("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
            Self::Headers => ("HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"),
            Self::Body => ("HTTP/1.1 200 OK\r\n\r\n", "x"),
            Self::Text | Self::Slow => ("HTTP/1.1 200 OK\r\n\r\n\"", "x"),
            Self::Blanks => ("HTTP/1.1 200 OK\r\n\r\n", " "),
            Self::Chunks => {
                ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")
            }
            Self::EventLine => (EVENT_HEAD_LINE, "x"),
            Self::Event => (EVENT_HEAD, "data: x\n"),
            Self::Comments => (EVENT_HEAD, ":\n\n"),
        }
    }
}

/// The head of a stream of events.
const EVENT_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// The same, and the beginning of an event.
const EVENT_HEAD_LINE: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";

/// Writes a response without end, until the other side has closed the connection.
pub(crate) fn write_endlessly(mut writer: impl Write, kind: EndlessKind) {
    let (first, again) = kind.parts();
    let (count, pause) = match kind {
        EndlessKind::Slow => (1, SLOW_PAUSE),
        _ => (PIECE_BYTES.div_ceil(again.len()), Duration::ZERO),
    };
    let piece = again.repeat(count);
    let mut written = writer.write_all(first.as_bytes());
    while written.is_ok() {
        thread::sleep(pause);
        written = writer.write_all(piece.as_bytes()).and_then(|()| writer.flush());
    }
}
