//! A time limit on the first bytes of a connection.
//!
//! The version of HTTP is told by the first bytes, and only then do the time
//! limits of that version apply.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;

/// Bytes that tell the version of HTTP.
const OPENING: usize = 24;

/// A stream whose first bytes must arrive in time.
#[derive(Debug)]
pub(crate) struct Opening<S> {
    stream: S,
    read: usize,
    timeout: Pin<Box<Sleep>>,
}

impl<S> Opening<S> {
    /// Wraps a stream and starts the time limit.
    pub(crate) fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            read: 0,
            timeout: Box::pin(tokio::time::sleep(timeout)),
        }
    }
}

impl<S> AsyncRead for Opening<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read = self.read.saturating_add(buf.filled().len() - before);
        if polled.is_pending() && self.read < OPENING && self.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl<S> AsyncWrite for Opening<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
