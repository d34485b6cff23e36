//! Splits a stream of server-sent events (HTML Living Standard, section 9.2) into complete
//! events, and checks their order.

use bytes::{Buf, Bytes, BytesMut};

use crate::event_order::{EventOrder, OrderFault};

/// The byte order mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An event that exceeds this is passed on before it is complete. Each stream may hold as much, as
/// its connection is reckoned with about as many bytes.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// Separates complete events from the beginning of the next one. Lines may end with LF, CRLF or
/// CR. Events that can't follow the ones before are held back.
///
/// ```
/// use flaxtide_entry::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 1\r\ndata: a\r\n\r\nid: 2"), "id: 1\r\ndata: a\r\n\r\n");
/// assert_eq!(splitter.last_event(), Some(1));
/// assert!(!splitter.is_whole());
/// assert_eq!(splitter.push(b"\r\ndata: b\r\n\r\n"), "id: 2\r\ndata: b\r\n\r\n");
/// assert!(splitter.is_whole());
/// assert_eq!(splitter.push(b"id: 2\r\ndata: b\r\n\r\n"), "");
/// assert!(splitter.order_fault().is_some());
/// ```
#[derive(Debug, Default, Clone)]
pub struct EventSplitter {
    /// What follows the last complete event.
    partial: BytesMut,
    /// The ids of the complete events.
    order: EventOrder,
    /// The progress in the current part, which is all that one server sends.
    part: PartProgress,
    /// The event that was due when an earlier part broke off, unless it has come since.
    due: Option<DueEvent>,
    /// Whether this is a later part than the first.
    resumed: bool,
}

/// An event that must still come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DueEvent {
    /// One of which no numeric id has been read.
    Any,
    /// One with a numeric id.
    Numbered,
}

/// The progress of reading what one server sends.
#[derive(Debug, Default, Clone)]
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
    /// Whether a line of it is more than the type of the event or the time to reconnect.
    has_content: bool,
    /// The id of the event that is being read, if it is a number.
    event_id: Option<u64>,
    /// Whether an event is complete.
    has_event: bool,
    /// The first numeric id.
    first_id: Option<u64>,
    /// The number of events that are held back until an id tells where they belong.
    unplaced: usize,
    /// Why what follows isn't passed on.
    fault: Option<OrderFault>,
    /// The bytes that have been passed on of an event that isn't complete.
    passed: usize,
    /// Whether the beginning of the current line has been passed on.
    is_line_cut: bool,
}

impl EventSplitter {
    /// Creates the splitter of a stream of which the caller has the events up to the one with the
    /// id `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { order: EventOrder::after(last), ..Self::default() }
    }

    /// Has ids leave out others without a fault, as those of other streams of the service do.
    pub(crate) fn accept_gaps(&mut self) {
        self.order.accept_gaps();
    }

    /// Returns whether two servers have left out the same ids, so that those of the service don't
    /// count by one.
    pub(crate) fn has_confirmed_gap(&self) -> bool {
        self.order.has_confirmed_gap()
    }

    /// Adds received bytes. Returns the events that are complete now and comments between
    /// events, or the beginning of an event that is too large to be held back. Returns nothing
    /// more of a part after an event that can't follow the ones before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        if self.part.fault.is_some() {
            return Bytes::new();
        }
        self.partial.extend_from_slice(bytes);
        if !self.part.is_mark_read && !self.read_mark() {
            return Bytes::new();
        }
        let mut complete = 0;
        while self.part.read < self.partial.len() && self.part.fault.is_none() {
            if self.read_byte() && self.part.unplaced == 0 {
                complete = self.part.read;
                self.part.passed = 0;
            }
        }
        let is_large = complete == 0 && self.partial.len() > MAX_HELD_BYTES;
        if is_large && self.part.fault.is_none() {
            complete = self.pass_large();
        }
        self.part.read -= complete;
        self.part.line_start = self.part.line_start.saturating_sub(complete);
        self.partial.split_to(complete).freeze()
    }

    /// Returns the last numeric id among the complete events, or that the caller has.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.order.last()
    }

    /// Returns the first numeric id in the current part.
    #[must_use]
    pub fn first_event(&self) -> Option<u64> {
        self.part.first_id
    }

    /// Returns why the current part isn't passed on any further.
    #[must_use]
    pub fn order_fault(&self) -> Option<OrderFault> {
        self.part.fault
    }

    /// Returns whether another server can continue after the last complete event: its id tells
    /// where, and nothing that follows it has been passed on.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.part.passed == 0 && self.order.is_placed()
    }

    /// Returns the number of bytes received of the event that isn't complete.
    #[must_use]
    pub fn event_bytes(&self) -> usize {
        self.part.passed + self.partial.len()
    }

    /// Returns whether the content of the current part may end here: between two events, of which
    /// at least one is in this part.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let part = &self.part;
        let line_ended = part.line_start == self.partial.len() && !part.is_line_cut;
        let misses_lf = part.after_cr && part.has_crlf;
        let is_held = part.unplaced > 0 || part.fault.is_some();
        line_ended && !part.in_event && !misses_lf && part.has_event && !is_held
    }

    /// Returns whether an event must still come, whatever the framing of the current part says: an
    /// earlier part broke off inside it, or left it out.
    #[must_use]
    pub fn is_event_due(&self) -> bool {
        self.missing_event().is_some()
    }

    /// Ends a part whose framing states its end. An event that no blank line ends is compared with
    /// the ones before, as callers may read it.
    pub fn end_part(&mut self) {
        if self.part.fault.is_some() {
            return;
        }
        let mut ended = self.clone();
        if self.is_inside_event() {
            ended.push(b"\n\n");
        }
        let fault = ended.part.fault.or(ended.replay_fault());
        if fault.is_some() {
            self.part.fault = fault;
            self.order = ended.order;
        }
    }

    /// Drops what hasn't been passed on. The next bytes are those of another server, which
    /// continues after the last complete event.
    pub fn begin_part(&mut self) {
        self.due = match self.part.fault {
            Some(OrderFault::Missing { .. }) => Some(DueEvent::Numbered),
            None if self.part.event_id.is_some() => Some(DueEvent::Numbered),
            None if self.is_inside_event() => {
                self.missing_event().or(Some(DueEvent::Any))
            }
            _ => self.missing_event(),
        };
        self.resumed = true;
        self.partial.clear();
        self.part = PartProgress::default();
    }

    /// Removes and returns what follows the last event that was passed on.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// Returns the event that was due when an earlier part broke off, if it hasn't come.
    fn missing_event(&self) -> Option<DueEvent> {
        self.due.filter(|due| match due {
            DueEvent::Any => !self.part.has_event,
            DueEvent::Numbered => self.part.first_id.is_none(),
        })
    }

    /// Returns a fault if a later part without ids may be the whole stream from its beginning: it
    /// has as many events as were passed on. A single one may be the mark at the end of a stream.
    fn replay_fault(&self) -> Option<OrderFault> {
        let may_replay = self.part.unplaced >= self.order.count().max(2);
        let last = self.order.last().filter(|_| may_replay)?;
        Some(OrderFault::Unplaced { last })
    }

    /// Returns whether a part of an event has been received.
    fn is_inside_event(&self) -> bool {
        let part = &self.part;
        let line = &self.partial[part.line_start.min(self.partial.len())..];
        part.in_event || part.is_line_cut || !(line.is_empty() || line.starts_with(b":"))
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

    /// Passes on the beginning of an event that is too large to be held back, if it may follow the
    /// ones before. Returns how many bytes are passed on: whole lines if there are any, so that
    /// none but a large line is cut.
    fn pass_large(&mut self) -> usize {
        let begins_part = self.part.first_id.is_none();
        let mut order = self.order;
        let placed = match (self.part.event_id, self.order.last()) {
            (Some(id), _) => order.record(id, begins_part),
            (None, Some(last)) if begins_part => Err(OrderFault::Unplaced { last }),
            (None, _) => Ok(()),
        };
        if let Err(fault) = placed {
            self.order = order;
            self.part.fault = Some(fault);
            return 0;
        }
        let passed = match self.part.line_start {
            0 => self.partial.len(),
            lines => lines,
        };
        self.part.passed += passed;
        if self.part.line_start == 0 {
            self.part.has_content = true;
            self.part.is_line_cut = true;
        }
        passed
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
            return self.end_event();
        } else if !line.starts_with(b":") {
            part.in_event = true;
            part.has_content |= !matches!(field_name(line), b"event" | b"retry");
            if let Some(id) = line.strip_prefix(b"id:") {
                part.event_id = parse_id(id);
            }
        }
        !part.in_event
    }

    /// Ends the event before a blank line, if there is one. Returns whether it may follow the
    /// ones before.
    fn end_event(&mut self) -> bool {
        let part = &mut self.part;
        part.in_event = false;
        let has_content = std::mem::take(&mut part.has_content);
        match part.event_id.take() {
            Some(id) => {
                if let Err(fault) = self.order.record(id, part.first_id.is_none()) {
                    part.fault = Some(fault);
                    return false;
                }
                part.first_id = part.first_id.or(Some(id));
                part.unplaced = 0;
            }
            // Callers see no event.
            None if !has_content => {}
            None if part.first_id.is_none() && self.order.last().is_some() => {
                part.unplaced += 1;
            }
            None => self.order.record_unnumbered(),
        }
        part.has_event |= has_content;
        true
    }
}

/// Returns the name of the field of a line.
fn field_name(line: &[u8]) -> &[u8] {
    let end = line.iter().position(|byte| *byte == b':');
    &line[..end.unwrap_or(line.len())]
}

/// Returns the value of an `id` field if it is a number.
fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
