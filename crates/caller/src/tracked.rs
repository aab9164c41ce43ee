//! Which connections carry requests.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chiverelay_decisions::progress::Awaited;
use chiverelay_http::ConnectionSlot;
use http_body_util::combinators::BoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::Error;

/// The open requests of all connections.
#[derive(Debug)]
pub(crate) struct OpenRequests {
    open: AtomicUsize,
    limit: usize,
}

impl OpenRequests {
    /// Bounds how many may be open at once.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        let open = AtomicUsize::new(0);
        Arc::new(Self { open, limit })
    }

    fn is_over(&self) -> bool {
        self.open.load(Ordering::Relaxed) > self.limit
    }
}

/// A connection and its open requests, of which HTTP/2 allows several.
#[derive(Debug)]
pub(crate) struct Tracked {
    slot: ConnectionSlot,
    all: Arc<OpenRequests>,
    open: AtomicUsize,
    /// Requests whose body arrives.
    reading: AtomicUsize,
    /// Answers of which the caller has to take something.
    unread: AtomicUsize,
}

impl Tracked {
    /// Tracks the requests of a connection.
    pub(crate) fn new(slot: ConnectionSlot, all: Arc<OpenRequests>) -> Arc<Self> {
        Arc::new(Self {
            slot,
            all,
            open: AtomicUsize::new(0),
            reading: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
        })
    }

    /// Tells whether a request is open.
    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed) > 0
    }

    /// Credits the caller with bytes that it has sent.
    pub(crate) fn record_read(&self, bytes: usize) {
        if bytes > 0 && self.slot.awaits_caller() {
            self.slot.record_progress(bytes);
        }
    }

    /// Asks for what the caller has to do now.
    fn ask(&self) {
        let reading = self.reading.load(Ordering::Relaxed) > 0;
        let unread = self.unread.load(Ordering::Relaxed) > 0;
        self.slot.set_awaited(match (reading, unread) {
            (true, _) => Some(Awaited::Body),
            (false, true) => Some(Awaited::Reading),
            (false, false) => None,
        });
    }

    fn increase(&self, count: &AtomicUsize) {
        if count.fetch_add(1, Ordering::Relaxed) == 0 {
            self.ask();
        }
    }

    fn decrease(&self, count: &AtomicUsize) {
        if count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.ask();
        }
    }

    /// Returns the connection's place.
    pub(crate) fn slot(&self) -> &ConnectionSlot {
        &self.slot
    }

    /// Records a request, until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenRequest {
        if self.open.fetch_add(1, Ordering::Relaxed) == 0 {
            self.slot.set_busy();
        }
        self.all.open.fetch_add(1, Ordering::Relaxed);
        self.increase(&self.reading);
        OpenRequest {
            tracked: Arc::clone(self),
            is_reading: true,
            is_unread: false,
        }
    }
}

/// A request whose answer has not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    tracked: Arc<Tracked>,
    is_reading: bool,
    is_unread: bool,
}

impl OpenRequest {
    /// Tells whether more requests are open than may be.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.tracked.all.is_over()
    }

    /// Closes the connection of the slowest caller who is behind with a body;
    /// returns whether there is one.
    pub(crate) fn make_room(&self) -> bool {
        self.tracked.slot.close_slowest_body()
    }

    /// Records that the request was read, or is read no further.
    pub(crate) fn end_reading(&mut self) {
        if std::mem::take(&mut self.is_reading) {
            self.tracked.decrease(&self.tracked.reading);
        }
    }

    /// Records whether the caller has to take something of the answer.
    fn set_unread(&mut self, is_unread: bool) {
        match (std::mem::replace(&mut self.is_unread, is_unread), is_unread) {
            (false, true) => self.tracked.increase(&self.tracked.unread),
            (true, false) => self.tracked.decrease(&self.tracked.unread),
            _ => {}
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.end_reading();
        self.set_unread(false);
        self.tracked.all.open.fetch_sub(1, Ordering::Relaxed);
        if self.tracked.open.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.tracked.slot.set_idle();
        }
    }
}

/// The body of an answer, whose request is open until it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    inner: BoxBody<Bytes, Error>,
    open: OpenRequest,
}

impl TrackedBody {
    /// Wraps the body of the answer to a request.
    pub(crate) fn new(inner: BoxBody<Bytes, Error>, mut open: OpenRequest) -> Self {
        open.end_reading();
        open.set_unread(true);
        Self { inner, open }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        // The library asks for more once the caller has room for it.
        self.open.set_unread(polled.is_ready());
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
