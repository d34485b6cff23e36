//! Counts the bytes sent and received over links, to check the budget for control traffic.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that went over an instance's links in each direction. Clones share their counters.
#[derive(Debug, Clone, Default)]
pub struct LinkBytes {
    /// The bytes received from peers.
    received: Arc<AtomicU64>,
    /// The bytes sent to peers.
    sent: Arc<AtomicU64>,
}

impl LinkBytes {
    /// Returns the numbers of bytes received and sent.
    #[must_use]
    pub fn get(&self) -> (u64, u64) {
        (self.received.load(Ordering::Relaxed), self.sent.load(Ordering::Relaxed))
    }
}

/// A TCP stream that counts its bytes.
pub(crate) struct CountedStream {
    /// The wrapped stream.
    inner: TcpStream,
    /// The counters that are added to.
    bytes: LinkBytes,
}

impl CountedStream {
    /// Wraps a stream and adds its bytes to the counters.
    pub(crate) fn new(inner: TcpStream, bytes: LinkBytes) -> Self {
        Self { inner, bytes }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        let count = (buffer.filled().len() - before) as u64;
        self.bytes.received.fetch_add(count, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = result {
            self.bytes.sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
