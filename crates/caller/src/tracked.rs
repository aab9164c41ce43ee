//! Which connections carry requests.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chiverelay_http::ConnectionSlot;
use http_body_util::combinators::BoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::Error;

/// A connection and its open requests, of which HTTP/2 allows several.
#[derive(Debug)]
pub(crate) struct Tracked {
    slot: ConnectionSlot,
    open: AtomicUsize,
}

impl Tracked {
    /// Tracks the requests of a connection.
    pub(crate) fn new(slot: ConnectionSlot) -> Arc<Self> {
        let open = AtomicUsize::new(0);
        Arc::new(Self { slot, open })
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
        OpenRequest {
            tracked: Arc::clone(self),
        }
    }
}

/// A request whose answer has not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    tracked: Arc<Tracked>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.tracked.open.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.tracked.slot.set_idle();
        }
    }
}

/// The body of an answer, whose request is open until it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    inner: BoxBody<Bytes, Error>,
    _open: OpenRequest,
}

impl TrackedBody {
    /// Wraps the body of the answer to a request.
    pub(crate) fn new(inner: BoxBody<Bytes, Error>, open: OpenRequest) -> Self {
        Self { inner, _open: open }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
