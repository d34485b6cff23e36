//! Responses without end.

use std::io::Write;

use serde::{Deserialize, Serialize};

/// How many bytes are written at a time, at least.
const PIECE_BYTES: usize = 32 * 1024;

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
            Self::Text => ("HTTP/1.1 200 OK\r\n\r\n\"", "x"),
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
    let piece = again.repeat(PIECE_BYTES.div_ceil(again.len()));
    let mut written = writer.write_all(first.as_bytes());
    while written.is_ok() {
        written = writer.write_all(piece.as_bytes());
    }
}
