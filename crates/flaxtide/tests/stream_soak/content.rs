//! Streams and plain bodies as their paths draw them, alike for servers and the verdict.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::common::server::is_stream;

/// The line ends that streams may have.
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// The pauses between two events.
const PAUSES_MS: [u64; 4] = [5, 40, 120, 300];

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Framing {
    Chunks,
    Length,
    /// By the end of the connection.
    Close,
    /// By the end of the connection, after a head of HTTP/1.0.
    CloseOld,
}

impl Framing {
    /// Draws the framing of what a server sends for a path.
    pub(crate) fn draw(path: &str, server: &str, is_unframed: bool) -> Self {
        match xxh3_64(format!("{path} {server}").as_bytes()) % 4 {
            0 if !is_unframed => Self::Chunks,
            1 if !is_unframed => Self::Length,
            0 | 2 => Self::Close,
            _ => Self::CloseOld,
        }
    }
}

/// A stream of events or a plain body.
pub(crate) struct Content {
    /// The events or pieces, each with its id.
    pieces: Vec<(Option<String>, String)>,
    /// The pause after each piece.
    pub(crate) pause: Duration,
    /// Whether each piece is written in two halves.
    pub(crate) is_halved: bool,
    has_crlf: bool,
}

impl Content {
    /// Draws what a path is answered with.
    pub(crate) fn of(path: &str) -> Self {
        let draw = xxh3_64(path.as_bytes());
        let end = LINE_ENDS[(draw / 32 % 3) as usize];
        let piece = |place: u64| {
            if !is_stream(path) {
                return (None, format!("piece {place} of {path}\n"));
            }
            let id = match draw / 4 % 6 {
                0 => Some(place.to_string()),
                1 => Some((10 * (place + 1)).to_string()),
                2 => None,
                3 => Some(format!("event-{place}")),
                _ => Some((place + 1).to_string()),
            };
            let line = id.as_ref().map_or(String::new(), |id| format!("id: {id}{end}"));
            (id, format!("{line}data: event {place} of {path}{end}{end}"))
        };
        Self {
            pieces: (0..2 + draw / 128 % 8).map(piece).collect(),
            pause: Duration::from_millis(PAUSES_MS[(draw / 1024 % 4) as usize]),
            is_halved: draw.is_multiple_of(4),
            has_crlf: is_stream(path) && end == "\r\n",
        }
    }

    /// Returns the place of the first piece behind the event with an id, or of the first of all.
    fn place_after(&self, last: Option<&str>) -> usize {
        let is_last = |id: &Option<String>| id.is_some() && id.as_deref() == last;
        let place = self.pieces.iter().position(|(id, _)| is_last(id));
        place.map_or(0, |place| place + 1)
    }

    /// Returns the pieces behind the event with an id, or all.
    pub(crate) fn pieces_after(&self, last: Option<&str>) -> Vec<&str> {
        let rest = &self.pieces[self.place_after(last)..];
        rest.iter().map(|(_, text)| text.as_str()).collect()
    }

    /// Returns the id of the last complete event of a text that begins behind one with an id.
    pub(crate) fn last_id(&self, last: Option<&str>, text: &str) -> Option<String> {
        let mut left = self.normalise(text).len();
        let mut known = last.map(str::to_owned);
        for (id, piece) in &self.pieces[self.place_after(last)..] {
            let Some(rest) = left.checked_sub(self.normalise(piece).len()) else { break };
            (left, known) = (rest, id.clone());
        }
        known
    }

    /// Returns a text with line feeds only. Between CR and LF, one part of a stream may end and
    /// the next one begin.
    pub(crate) fn normalise(&self, text: &str) -> String {
        match self.has_crlf {
            true => text.replace("\r\n", "\n").replace('\r', "\n"),
            false => text.to_owned(),
        }
    }
}
