//! A count of the bytes that go over links, to hold control's traffic to its budget.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that went over an instance's links, in both directions.
#[derive(Debug, Clone, Default)]
pub struct LinkBytes {
    /// Bytes received.
    received: Arc<AtomicU64>,
    /// Bytes sent.
    sent: Arc<AtomicU64>,
}

impl LinkBytes {
    /// Returns how many bytes have been received and sent.
    #[must_use]
    pub fn get(&self) -> (u64, u64) {
        (self.received.load(Ordering::Relaxed), self.sent.load(Ordering::Relaxed))
    }
}

/// A TCP stream whose bytes are counted.
pub(crate) struct CountedStream {
    /// The stream.
    inner: TcpStream,
    /// The count.
    bytes: LinkBytes,
}

impl CountedStream {
    /// Counts a stream's bytes.
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
