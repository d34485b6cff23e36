//! A TCP connection with a hook around its reads and writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

    /// Records that bytes were read.
    fn after_read(&mut self) {}
}

/// A connection with a hook.
pub(crate) struct HookedStream<Hook> {
    /// The connection.
    stream: TcpStream,
    /// Its hook.
    hook: Hook,
}

impl<Hook> HookedStream<Hook> {
    /// Puts a hook around a connection.
    pub(crate) fn new(stream: TcpStream, hook: Hook) -> Self {
        Self { stream, hook }
    }
}

impl<Hook: StreamHook> AsyncRead for HookedStream<Hook> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.hook.after_read();
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
        Pin::new(&mut self.stream).poll_flush(context)
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
