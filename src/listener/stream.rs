//! A TCP stream that counts what it receives, and that is given up when its client doesn't read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::budget::{Lease, MAX_YIELDS};

/// Most bytes that are read at once. One byte less than the HTTP library's smallest buffer, which
/// it enlarges only when a read fills it.
const MAX_READ_BYTES: usize = (8 << 10) - 1;
/// Time for a client to take the responses that are ready, from the moment at which it lets the
/// first one wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A stream of a connection that has a lease.
pub(super) struct Stream {
    stream: TcpStream,
    lease: Arc<Lease>,
    // Runs while the client doesn't take what was written.
    answer_timeout: Option<Pin<Box<Sleep>>>,
    // Since the last read.
    yields: u32,
}

impl Stream {
    pub(super) fn new(stream: TcpStream, lease: Arc<Lease>) -> Self {
        Self { stream, lease, answer_timeout: None, yields: 0 }
    }

    fn limit_wait<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            return written;
        }
        let timeout =
            self.answer_timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep(ANSWER_TIMEOUT)));
        ready!(timeout.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.yields < MAX_YIELDS && self.lease.is_head_delayed() {
            self.yields += 1;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.yields = 0;
        let bytes = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(bytes));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        Poll::Ready(self.lease.receive(received).map_err(io::Error::other))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_wait(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_wait(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // The HTTP library flushes once all responses are written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.answer_timeout = None;
        self.lease.flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
