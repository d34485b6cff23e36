//! The last check before a request is written to a server: at the write itself, as time may pass
//! between the choice of the server and the write.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;

use crate::hooked::StreamHook;

/// Returns whether a request may still be written.
type WriteCheck = Box<dyn Fn() -> bool>;

/// The gate of one connection. It is armed for each request, and checks it when its first bytes
/// are written.
#[derive(Default)]
pub(crate) struct WriteGate {
    /// The check, until the first bytes of the request are written.
    armed: RefCell<Option<WriteCheck>>,
    /// Whether the last request was rejected, and nothing of it has been written.
    rejected: Cell<bool>,
}

impl WriteGate {
    /// Has the first write of the next request be checked.
    pub(crate) fn arm(&self, check: impl Fn() -> bool + 'static) {
        *self.armed.borrow_mut() = Some(Box::new(check));
        self.rejected.set(false);
    }

    /// Returns whether nothing of the request was written because it was rejected.
    pub(crate) fn has_rejected(&self) -> bool {
        self.rejected.get()
    }
}

impl StreamHook for Rc<WriteGate> {
    fn before_write(&mut self, _stream: &TcpStream) -> io::Result<()> {
        let Some(check) = self.armed.take() else { return Ok(()) };
        if check() {
            return Ok(());
        }
        self.rejected.set(true);
        Err(io::Error::other("the server must not get this request any more"))
    }
}
