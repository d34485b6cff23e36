//! The last check before a request is written to a server: at the write itself, as time may pass
//! between the choice of the server and the write.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use flaxtide_core::RequestId;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::state::TrafficState;

/// How often a request that waits for a newer server list checks whether this process is on time
/// again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The gate of one connection. It is armed for each request, and checks it when its first bytes
/// are written.
#[derive(Default)]
pub(crate) struct WriteGate {
    /// The request to be checked, until its first bytes are written.
    armed: RefCell<Option<(Rc<TrafficState>, RequestId)>>,
    /// Whether the last request was rejected, and nothing of it has been written.
    rejected: Cell<bool>,
}

impl WriteGate {
    /// Has the next write be checked for a request.
    pub(crate) fn arm(&self, state: &Rc<TrafficState>, request: RequestId) {
        *self.armed.borrow_mut() = Some((state.clone(), request));
        self.rejected.set(false);
    }

    /// Returns whether nothing of the request was written because it was rejected.
    pub(crate) fn has_rejected(&self) -> bool {
        self.rejected.get()
    }

    /// Checks the first write of a request. An error ends the connection.
    fn check(&self) -> io::Result<()> {
        let Some((state, request)) = self.armed.take() else { return Ok(()) };
        if state.permits_write()
            && state.with_router(|core, now| core.permit_send(request, now))
        {
            return Ok(());
        }
        self.rejected.set(true);
        Err(io::Error::other("the server must not get this request any more"))
    }
}

/// A connection to a server behind a gate.
pub(crate) struct GatedStream {
    /// The connection.
    stream: TcpStream,
    /// Its gate.
    gate: Rc<WriteGate>,
}

impl GatedStream {
    /// Puts a connection behind a gate.
    pub(crate) fn new(stream: TcpStream, gate: Rc<WriteGate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl TrafficState {
    /// Returns whether the server list is new enough to write a request by it.
    fn permits_write(&self) -> bool {
        let now = self.source.clock().now();
        let is_late = self.lateness.is_late(self.now());
        self.source.list_age().permits_write(now, is_late)
    }

    /// Waits until the server list is new enough to write a request by it, for `max_wait` at
    /// most. Returns whether it is.
    pub(crate) async fn wait_for_list(&self, max_wait: Duration) -> bool {
        let until = self.now() + max_wait;
        while !self.permits_write() {
            if self.now() >= until {
                return false;
            }
            let list_age = self.source.list_age();
            list_age.want_read();
            // Fails if there is no change until then, which is checked anyway.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, list_age.changed()).await;
        }
        true
    }
}
