//! Bounds what is read from a connection: how much at a time, so that others get their turn, and how
//! much in all without any progress of the message, as bytes may come without end.

use std::cell::Cell;
use std::io;

/// How much is read from a connection before other tasks run. A sender that is fast enough would
/// otherwise keep the thread for itself.
const BURST_BYTES: usize = 64 * 1024;

/// What a connection has read since its message last made progress.
#[derive(Debug)]
pub(crate) struct ReadLimit {
    /// The most bytes without progress.
    max_bytes: Cell<usize>,
    /// The bytes since the last progress.
    bytes: Cell<usize>,
    /// The bytes since the connection last let others run.
    burst: Cell<usize>,
}

impl ReadLimit {
    /// Creates the limit of a connection that may read `max_bytes` without progress.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes: Cell::new(max_bytes),
            bytes: Cell::new(0),
            burst: Cell::new(0),
        }
    }

    /// Records that the message has made progress, or that another one begins.
    pub(crate) fn record_progress(&self) {
        self.bytes.set(0);
    }

    /// Records that another message begins, which may take `max_bytes` without progress.
    pub(crate) fn begin(&self, max_bytes: usize) {
        self.max_bytes.set(max_bytes);
        self.record_progress();
    }

    /// Records that nothing could be read.
    pub(crate) fn record_pause(&self) {
        self.burst.set(0);
    }

    /// Returns whether other tasks must run before more is read.
    pub(crate) fn must_yield(&self) -> bool {
        let due = self.burst.get() >= BURST_BYTES;
        if due {
            self.burst.set(0);
        }
        due
    }

    /// Records that bytes were read.
    ///
    /// # Errors
    ///
    /// Returns an error if there were too many without progress.
    pub(crate) fn record_read(&self, count: usize) -> io::Result<()> {
        self.burst.set(self.burst.get() + count);
        self.bytes.set(self.bytes.get() + count);
        if self.bytes.get() <= self.max_bytes.get() {
            return Ok(());
        }
        let limit = self.max_bytes.get();
        let cause = format!("the message made no progress in {limit} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}
