//! A connection as the caller's bytes come in, before HTTP is read from them.
//!
//! The version of HTTP is told by the first bytes, and only then do the time
//! limits of that version apply, so the first bytes have a limit here. Heads
//! are followed for what the HTTP library hides.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::oneshot;
use tokio::time::Sleep;

use crate::heads::Heads;
use crate::tracked::Tracked;

/// Bytes that tell the version of HTTP.
const OPENING: usize = 24;

/// Which request of a connection states both a length and chunks; 0 for none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Conflict(Arc<AtomicU64>);

impl Conflict {
    /// Tells whether it is the request of that number, from 1.
    pub(crate) fn is(&self, number: u64) -> bool {
        self.0.load(Ordering::Relaxed) == number
    }
}

/// What is left of a connection once HTTP has ended on it.
#[derive(Debug)]
pub(crate) struct Rest<S> {
    /// The stream.
    pub(crate) stream: S,
    /// Whether a head of HTTP/1.1 had begun and not ended.
    pub(crate) head_open: bool,
}

/// A stream whose first bytes must arrive in time.
///
/// # Invariants
///
/// `stream` is `Some` until this is dropped, and then goes to `rest`.
#[derive(Debug)]
pub(crate) struct Opening<S> {
    stream: Option<S>,
    tracked: Arc<Tracked>,
    read: usize,
    heads: Heads,
    conflict: Conflict,
    timeout: Pin<Box<Sleep>>,
    rest: Option<oneshot::Sender<Rest<S>>>,
}

impl<S> Opening<S> {
    /// Wraps a stream and starts the time limit. The stream comes back once
    /// this is dropped.
    pub(crate) fn new(
        stream: S,
        tracked: Arc<Tracked>,
        timeout: Duration,
    ) -> (Self, oneshot::Receiver<Rest<S>>) {
        let (tx, rx) = oneshot::channel();
        let opening = Self {
            stream: Some(stream),
            tracked,
            read: 0,
            heads: Heads::new(),
            conflict: Conflict::default(),
            timeout: Box::pin(tokio::time::sleep(timeout)),
            rest: Some(tx),
        };
        (opening, rx)
    }

    /// Returns the place where a request is noted that states both a length
    /// and chunks.
    pub(crate) fn conflict(&self) -> Conflict {
        self.conflict.clone()
    }

    fn take_note(&mut self, data: &[u8]) {
        self.read = self.read.saturating_add(data.len());
        self.tracked.record_read(data.len());
        self.heads.push(data);
        if let Some(number) = self.heads.conflict() {
            self.conflict.0.store(number, Ordering::Relaxed);
        }
    }
}

impl<S> Opening<S>
where
    S: Unpin,
{
    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl<S> Drop for Opening<S> {
    fn drop(&mut self) {
        if let (Some(stream), Some(tx)) = (self.stream.take(), self.rest.take()) {
            let head_open = self.heads.is_open();
            // Nobody may want it.
            let _ = tx.send(Rest { stream, head_open });
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
        let polled = chiverelay_http::poll_read_part(self.stream()?, cx, buf).map_ok(|_| ());
        self.take_note(&buf.filled()[before..]);
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
        self.stream()?.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(S::is_write_vectored)
    }
}
