//! A TCP stream of which only a limited number of bytes can be read until the peer is authenticated.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that can be read before the peer is authenticated: several times those of a handshake.
const MAX_HANDSHAKE_BYTES: usize = 16 << 10;

/// A stream whose bound has not been lifted, or has.
#[derive(Debug)]
pub(super) struct Bounded {
    stream: TcpStream,
    // `None` once the bound is lifted.
    bytes_left: Option<usize>,
}

impl Bounded {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, bytes_left: Some(MAX_HANDSHAKE_BYTES) }
    }

    /// Allows any number of bytes to be read.
    pub(super) fn lift_bound(&mut self) {
        self.bytes_left = None;
    }
}

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(bytes_left) = self.bytes_left else {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        };
        if bytes_left == 0 {
            return Poll::Ready(Err(io::Error::other("the handshake is too long")));
        }
        let bytes = buffer.remaining().min(bytes_left);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(bytes));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        self.bytes_left = Some(bytes_left - received);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
