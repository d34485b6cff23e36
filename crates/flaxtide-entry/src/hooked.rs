//! A TCP connection with a hook around its reads and writes, and a limit on what is read.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::read_limit::ReadLimit;

/// What is done around the reads and writes of a connection.
pub(crate) trait StreamHook: Unpin {
    /// Prepares a write. An error ends the connection before anything is written.
    fn before_write(&mut self, stream: &TcpStream) -> io::Result<()>;

    /// Prepares the shutdown of the connection.
    fn before_shutdown(&mut self, _stream: &TcpStream) -> io::Result<()> {
        Ok(())
    }

    /// Records the outcome of a write.
    fn after_write(&mut self, _written: &Poll<io::Result<usize>>) {}

    /// Records that everything that was to be written has been.
    fn after_flush(&mut self) {}

    /// Records that bytes were read.
    fn after_read(&mut self) {}
}

/// A connection with a hook.
pub(crate) struct HookedStream<Hook> {
    /// The connection.
    stream: TcpStream,
    /// Its hook.
    hook: Hook,
    /// Bounds what is read.
    limit: Rc<ReadLimit>,
}

impl<Hook> HookedStream<Hook> {
    /// Puts a hook and a limit around a connection.
    pub(crate) fn new(stream: TcpStream, hook: Hook, limit: Rc<ReadLimit>) -> Self {
        Self { stream, hook, limit }
    }
}

impl<Hook: StreamHook> AsyncRead for HookedStream<Hook> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.must_yield() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.limit.record_pause();
        }
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.hook.after_read();
            self.limit.record_read(count)?;
        }
        polled
    }
}

impl<Hook: StreamHook> AsyncWrite for HookedStream<Hook> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.hook.before_write(&this.stream)?;
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.hook.after_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.hook.before_write(&this.stream)?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, parts);
        this.hook.after_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            self.hook.after_flush();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.hook.before_shutdown(&this.stream)?;
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
