//! The byte stream of a connection to a target.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A stream whose end is reported only once everything was written.
///
/// A response without a length ends with its connection. A target that closes
/// the connection as it fails can't be told from one whose response is complete
/// until the rest of the request is written: this fails if the target does not
/// read on.
///
/// # Invariants
///
/// `reader` is to be woken when `has_unsent` becomes false.
#[derive(Debug)]
pub(crate) struct TargetStream {
    tcp: TcpStream,
    /// Whether the last write took less than it was given.
    has_unsent: bool,
    /// Whether the target has closed its half of the connection.
    is_read_closed: bool,
    reader: Option<Waker>,
}

impl TargetStream {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            has_unsent: false,
            is_read_closed: false,
            reader: None,
        }
    }

    /// Reports the end of the stream, or an error of the other half.
    fn poll_end(&mut self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        if self.has_unsent {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let error = self.tcp.take_error()?;
        Poll::Ready(error.map_or(Ok(()), Err))
    }

    /// Records a write of `len` bytes.
    fn record_write(&mut self, len: usize, written: &Poll<io::Result<usize>>) {
        self.has_unsent = !matches!(written, Poll::Ready(Ok(n)) if *n == len);
        if self.has_unsent {
            return;
        }
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.is_read_closed {
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.tcp).poll_read(cx, buf))?;
            if buf.filled().len() > before || buf.capacity() == before {
                return Poll::Ready(Ok(()));
            }
            this.is_read_closed = true;
        }
        this.poll_end(cx)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.tcp).poll_write(cx, buf);
        this.record_write(buf.len(), &written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.tcp).poll_write_vectored(cx, bufs);
        let len = bufs.iter().map(|buf| buf.len()).sum();
        this.record_write(len, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(cx)
    }
}
