//! Splits a stream of server-sent events (HTML Living Standard, section 9.2) into complete
//! events.

use bytes::{Buf, Bytes, BytesMut};

/// The byte order mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An event that exceeds this is passed on before it is complete. Each stream may hold as much, as
/// its connection is reckoned with about as many bytes.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// Separates complete events from the beginning of the next one. Lines may end with LF, CRLF or
/// CR.
///
/// ```
/// use flaxtide_entry::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 1\r\ndata: a\r\n\r\nid: 2"), "id: 1\r\ndata: a\r\n\r\n");
/// assert_eq!(splitter.last_event(), Some(1));
/// assert!(!splitter.is_whole());
/// assert_eq!(splitter.push(b"\r\ndata: b\r\n\r\n"), "id: 2\r\ndata: b\r\n\r\n");
/// assert!(splitter.is_whole());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// What follows the last complete event.
    partial: BytesMut,
    /// The last numeric id among the complete events. It stays if newer events have none.
    last_event: Option<u64>,
    /// The progress in the current part, which is all that one server sends.
    part: PartProgress,
    /// Whether an earlier part broke off inside an event, so that another event is due.
    event_due: bool,
    /// Whether this is a later part than the first.
    resumed: bool,
}

/// The progress of reading what one server sends.
#[derive(Debug, Default)]
struct PartProgress {
    /// Whether it is known if the part begins with a byte order mark.
    is_mark_read: bool,
    /// The number of bytes in `partial` that have been read.
    read: usize,
    /// Where in `partial` the current line begins.
    line_start: usize,
    /// Whether the last byte was a CR, to which an LF may belong.
    after_cr: bool,
    /// Whether a line has ended with CRLF.
    has_crlf: bool,
    /// Whether a line of an event that isn't complete has been read.
    in_event: bool,
    /// The id of the event that is being read, if it is a number.
    event_id: Option<u64>,
    /// Whether an event is complete.
    has_event: bool,
    /// The bytes that have been passed on of an event that isn't complete.
    passed: usize,
    /// Whether the beginning of the current line has been passed on.
    is_line_cut: bool,
}

impl EventSplitter {
    /// Adds received bytes. Returns the events that are complete now and comments between
    /// events, or the beginning of an event that is too large to be held back.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        if !self.part.is_mark_read && !self.read_mark() {
            return Bytes::new();
        }
        let mut complete = 0;
        while self.part.read < self.partial.len() {
            if self.read_byte() {
                complete = self.part.read;
                self.part.passed = 0;
            }
        }
        if complete == 0 && self.partial.len() > MAX_HELD_BYTES {
            complete = self.partial.len();
            self.part.passed += complete;
            self.part.is_line_cut |= self.part.line_start < complete;
        }
        self.part.read -= complete;
        self.part.line_start = self.part.line_start.saturating_sub(complete);
        self.partial.split_to(complete).freeze()
    }

    /// Returns the last numeric id among the complete events.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns whether another server can continue after the last complete event: nothing that
    /// follows it has been passed on.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.part.passed == 0
    }

    /// Returns the number of bytes received of the event that isn't complete.
    #[must_use]
    pub fn event_bytes(&self) -> usize {
        self.part.passed + self.partial.len()
    }

    /// Returns whether the stream may end here: between two events, and not before the first
    /// event, or before the rest of one that broke off.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let part = &self.part;
        let line_ended = part.line_start == self.partial.len() && !part.is_line_cut;
        let misses_lf = part.after_cr && part.has_crlf;
        let event_due = self.event_due || !self.resumed;
        line_ended && !part.in_event && !misses_lf && (part.has_event || !event_due)
    }

    /// Drops the incomplete event. The next bytes are those of another server, which continues
    /// after the last complete event.
    pub fn begin_part(&mut self) {
        self.event_due = !self.is_whole();
        self.resumed = true;
        self.partial.clear();
        self.part = PartProgress::default();
    }

    /// Removes and returns what follows the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// Reads the byte order mark at the beginning of a part, if it has one. In later parts, it
    /// would be read as part of a field's name, so it is dropped. Returns whether enough bytes
    /// have been received.
    fn read_mark(&mut self) -> bool {
        if self.partial.starts_with(BYTE_ORDER_MARK) {
            if self.resumed {
                self.partial.advance(BYTE_ORDER_MARK.len());
            } else {
                self.part.read = BYTE_ORDER_MARK.len();
                self.part.line_start = self.part.read;
            }
        } else if BYTE_ORDER_MARK.starts_with(&self.partial) {
            return false;
        }
        self.part.is_mark_read = true;
        true
    }

    /// Reads the next byte. Returns whether it ends an event, or a comment between events.
    fn read_byte(&mut self) -> bool {
        let byte = self.partial[self.part.read];
        self.part.read += 1;
        if std::mem::replace(&mut self.part.after_cr, byte == b'\r') && byte == b'\n' {
            self.part.has_crlf = true;
            self.part.line_start = self.part.read;
            return !self.part.in_event;
        }
        match byte {
            b'\n' | b'\r' => self.end_line(),
            _ => false,
        }
    }

    /// Reads the line that has just ended. Returns whether no event is incomplete after it.
    fn end_line(&mut self) -> bool {
        let part = &mut self.part;
        let line = &self.partial[part.line_start..part.read - 1];
        part.line_start = part.read;
        if std::mem::take(&mut part.is_line_cut) {
            part.in_event = true;
        } else if line.is_empty() {
            part.has_event |= part.in_event;
            part.in_event = false;
            self.last_event = part.event_id.take().or(self.last_event);
        } else if !line.starts_with(b":") {
            part.in_event = true;
            if let Some(id) = line.strip_prefix(b"id:") {
                part.event_id = parse_id(id);
            }
        }
        !part.in_event
    }
}

/// Returns the value of an `id` field if it is a number.
fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
