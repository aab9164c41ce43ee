//! The listener for callers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::admission::Level;
use chiverelay_decisions::admission::Shares;
use chiverelay_decisions::admission::spread_retry_after;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_http::ConnectionSlot;
use chiverelay_http::Connections;
use chiverelay_http::Usage;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::Inbound;
use crate::Reply;
use crate::inbound;
use crate::opening::Opening;
use crate::tracked::OpenRequest;
use crate::tracked::OpenRequests;
use crate::tracked::Tracked;
use crate::tracked::TrackedBody;

/// Time before another try after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time between two signs of life on an HTTP/2 connection.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Largest head of a request in HTTP/1.1, and what is kept of an answer that its
/// caller doesn't read, in bytes.
const MAX_HEAD_BYTES: usize = 72 * 1024;

/// Requests at once on a connection of HTTP/2.
const MAX_STREAMS: u32 = 100;

/// Bytes of a body that a caller may send ahead over HTTP/2.
const STREAM_WINDOW_BYTES: u32 = 128 * 1024;

/// Bytes of all bodies that a caller may send ahead on a connection of HTTP/2.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes of an answer that are kept for a caller over HTTP/2.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Time for the request on a connection that is open only to refuse it.
const UNADMITTED_TIMEOUT: Duration = Duration::from_secs(1);

/// What answers callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Inbound) -> impl Future<Output = Reply> + Send;

    /// Takes note of a request that was refused while it was read.
    fn refused(&self, refusal: &Refusal);

    /// Takes note of a connection that was closed for others, as its caller was
    /// behind the progress asked.
    fn closed_slow(&self) {}
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body: usize,
    /// Bytes of all bodies that are held at once, until their last copy is
    /// dropped; what doesn't fit is refused.
    pub body_memory: usize,
    /// Connections that carry requests at once. Idle ones are closed for others,
    /// and beyond them requests are refused.
    pub max_connections: usize,
    /// Requests that may be open at once, of which HTTP/2 allows several on a
    /// connection; others are refused.
    pub max_requests: usize,
    /// Time for a request's headers, and for the next request on a silent
    /// connection.
    pub header_timeout: Duration,
    /// Time for a request's body.
    pub body_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: 4 * 1024 * 1024,
            body_memory: 64 * 1024 * 1024,
            max_connections: 10_000,
            max_requests: 10_000,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
        }
    }
}

/// How a server is told to stop.
///
/// # Invariants
///
/// `notice` is cancelled before `close`.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Requests are still taken, but each answer asks its caller to leave.
    pub notice: CancellationToken,
    /// No more requests are taken.
    pub close: CancellationToken,
}

/// A bound listener for callers.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: Limits,
    tls: Option<Arc<rustls::ServerConfig>>,
}

impl Server {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be had.
    pub async fn bind(
        address: SocketAddr,
        limits: Limits,
        tls: Option<Arc<rustls::ServerConfig>>,
    ) -> Result<Self, Error> {
        let wrap = |source| Error::Listen {
            step: Step::Receive,
            address,
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(wrap)?;
        let address = listener.local_addr().map_err(wrap)?;
        Ok(Self {
            listener,
            address,
            limits,
            tls,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until it is told to close, then until every open request has its
    /// answer.
    pub async fn run<H>(self, handler: Arc<H>, shutdown: Shutdown)
    where
        H: Handler,
    {
        let tracker = TaskTracker::new();
        let connections = Connections::new(Shares::of_callers(self.limits.max_connections));
        let memory = MemoryBudget::new(self.limits.body_memory as u64);
        let requests = OpenRequests::new(self.limits.max_requests);
        let acceptor = self.tls.map(TlsAcceptor::from);
        let accepting = async {
            loop {
                connections.wait_for_room().await;
                let stream = accept(&self.listener, &connections).await;
                let opened = connections.open();
                if let Some(level) = opened.reached {
                    report(level, connections.usage());
                }
                let conn = Connection {
                    tracked: Tracked::new(opened.slot, Arc::clone(&requests)),
                    handler: Arc::clone(&handler),
                    limits: self.limits,
                    memory: memory.clone(),
                    shutdown: shutdown.clone(),
                };
                let acceptor = acceptor.clone();
                tracker.spawn(async move {
                    match acceptor {
                        None => Box::pin(conn.serve(stream)).await,
                        Some(acceptor) => Box::pin(conn.serve_tls(stream, acceptor)).await,
                    }
                });
            }
        };
        shutdown.close.run_until_cancelled(accepting).await;
        drop(self.listener);
        tracker.close();
        tracker.wait().await;
    }
}

/// Writes to the log that connections are near their limit.
fn report(level: Level, usage: Usage) {
    let Usage { open, idle, limit } = usage;
    let state = match level {
        Level::Full => "the limit is reached, requests are refused",
        Level::Normal | Level::Tight => "the limit is near, idle ones are closed",
    };
    log::warn!("caller: connections: {state} (open {open}, idle {idle}, limit {limit})");
}

/// Accepts a connection, however often that fails first.
async fn accept(listener: &TcpListener, connections: &Connections) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Streams are written piece by piece, so small writes must not wait.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(e) => {
                log::warn!("caller: accept failed: {e}");
                connections.close_one();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What a connection needs.
struct Connection<H> {
    tracked: Arc<Tracked>,
    handler: Arc<H>,
    limits: Limits,
    /// What bodies of all connections share.
    memory: MemoryBudget,
    shutdown: Shutdown,
}

impl<H> Connection<H>
where
    H: Handler,
{
    async fn serve_tls(self, stream: TcpStream, acceptor: TlsAcceptor) {
        let handshake = tokio::time::timeout(self.limits.header_timeout, acceptor.accept(stream));
        match self.shutdown.close.run_until_cancelled(handshake).await {
            Some(Ok(Ok(stream))) => self.serve(stream).await,
            Some(Ok(Err(e))) => log::debug!("caller: TLS handshake failed: {e}"),
            Some(Err(_)) => log::debug!("caller: TLS handshake took too long"),
            None => {}
        }
    }

    /// Returns the limits, shortened for a connection without a place.
    fn limits_for_slot(&self) -> Limits {
        if self.tracked.slot().is_admitted() {
            return self.limits;
        }
        Limits {
            header_timeout: self.limits.header_timeout.min(UNADMITTED_TIMEOUT),
            body_timeout: self.limits.body_timeout.min(UNADMITTED_TIMEOUT),
            ..self.limits
        }
    }

    async fn serve<S>(self, stream: S)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let limits = self.limits_for_slot();
        let handler = Arc::clone(&self.handler);
        let (stream, rest) = Opening::new(stream, Arc::clone(&self.tracked), limits.header_timeout);
        let ended = serve(stream, self, limits).await;
        let Err(e) = ended else {
            return;
        };
        log::debug!("caller: connection ended: {e}");
        if !is_late(&*e) {
            return;
        }
        if let Ok(rest) = rest.await
            && rest.head_open
        {
            let refusal = inbound::late_head();
            handler.refused(&refusal);
            let answer = Reply::refusal(&refusal).encode_last();
            // The caller may be gone.
            let _ = tokio::time::timeout(limits.header_timeout, send(rest.stream, &answer)).await;
        }
    }
}

async fn send<S>(mut stream: S, data: &[u8]) -> std::io::Result<()>
where
    S: AsyncWrite + Unpin,
{
    stream.write_all(data).await?;
    stream.shutdown().await
}

/// Tells whether a connection ended as its headers took too long, by the HTTP
/// library's limit or by that on the first bytes.
fn is_late(e: &(dyn std::error::Error + 'static)) -> bool {
    let is_io = |e: &std::io::Error| e.kind() == std::io::ErrorKind::TimedOut;
    std::iter::successors(Some(e), |e| e.source()).any(|e| {
        let http = e.downcast_ref::<hyper::Error>();
        http.is_some_and(hyper::Error::is_timeout) || e.downcast_ref().is_some_and(is_io)
    })
}

type Ended = Result<(), Box<dyn std::error::Error + Send + Sync>>;

async fn serve<H, S>(stream: Opening<S>, from: Connection<H>, limits: Limits) -> Ended
where
    H: Handler,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let Connection {
        tracked,
        handler,
        memory,
        shutdown,
        ..
    } = from;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(limits.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .keep_alive_interval(Some(KEEP_ALIVE))
        .keep_alive_timeout(limits.header_timeout);
    let multiplexed = Arc::new(AtomicBool::new(false));
    let notice = shutdown.notice.clone();
    let seen = Arc::clone(&multiplexed);
    let conflict = stream.conflict();
    let count = AtomicU64::new(0);
    let shared = Arc::clone(&tracked);
    let slow = Arc::clone(&handler);
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let tracked = Arc::clone(&shared);
        let notice = notice.clone();
        let memory = memory.clone();
        let is_http2 = req.version() == Version::HTTP_2;
        seen.store(is_http2, Ordering::Relaxed);
        let number = count.fetch_add(1, Ordering::Relaxed) + 1;
        let faulty = !is_http2 && conflict.is(number);
        // The library keeps room for the future in each connection, idle or not.
        Box::pin(async move {
            let mut open = tracked.begin();
            let is_admitted = tracked.slot().admit();
            let mut resp = if faulty {
                refuse(&*handler, inbound::conflict(req.headers()))
            } else if open.is_over_limit() {
                // Answers that nobody takes leave no room to others.
                tracked.slot().close_slowest();
                refuse_overloaded(&*handler, inbound::is_marked(req.headers()))
            } else if is_admitted {
                answer(&*handler, req, limits, &memory, &mut open).await
            } else {
                refuse_unadmitted(&*handler, req, limits, &memory).await
            };
            let gives_way = !resp.status().is_success() && tracked.slot().ends_with_refusal();
            let is_last = faulty || !is_admitted || gives_way || notice.is_cancelled();
            if is_last && !is_http2 {
                let close = HeaderValue::from_static("close");
                resp.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(resp.map(|body| TrackedBody::new(body, open)))
        })
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        // What has arrived is read before the connection is closed.
        biased;
        result = conn.as_mut() => result,
        () = leave(&shutdown, &multiplexed) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
        () = lose_place(tracked.slot()) => {
            if tracked.slot().is_admitted() && tracked.slot().awaits_caller() {
                // Nothing can happen before the caller does something.
                log::info!("caller: a slow caller's connection was closed");
                slow.closed_slow();
                return Ok(());
            }
            conn.as_mut().graceful_shutdown();
            match tokio::time::timeout(UNADMITTED_TIMEOUT, conn.as_mut()).await {
                Ok(result) => result,
                Err(_) if tracked.slot().is_admitted() && tracked.is_open() => conn.await,
                // It carries refusals at most, and a caller may never leave.
                Err(_) => Ok(()),
            }
        }
    }
}

/// Waits until a connection is closed for another one, or has had no place for
/// too long. HTTP/2 can't be told so by an answer, and may send no request.
async fn lose_place(slot: &ConnectionSlot) {
    let unadmitted = async {
        tokio::time::sleep(UNADMITTED_TIMEOUT).await;
        if slot.is_admitted() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = slot.evicted() => {}
        () = unadmitted => {}
    }
}

/// Waits until a connection is to be closed.
///
/// HTTP/2 can tell its caller at once, and no request is lost. Over HTTP/1.1
/// an answer says it, as closing an idle connection loses a request that is
/// on its way.
async fn leave(shutdown: &Shutdown, multiplexed: &AtomicBool) {
    shutdown.notice.cancelled().await;
    if !multiplexed.load(Ordering::Relaxed) {
        shutdown.close.cancelled().await;
    }
}

async fn answer<H>(
    handler: &H,
    req: Request<Incoming>,
    limits: Limits,
    memory: &MemoryBudget,
    open: &mut OpenRequest,
) -> Response<BoxBody<Bytes, Error>>
where
    H: Handler,
{
    let marked = inbound::is_marked(req.headers());
    let read = Inbound::read(req, limits, memory, || open.make_room()).await;
    open.end_reading();
    match read {
        Ok(req) => handler.handle(req).await.encode(),
        Err(refusal) if marked => refuse(handler, refusal.with_unknown_outcome()),
        Err(refusal) => refuse(handler, refusal),
    }
}

/// Reads and refuses a request, as its connection has no place.
async fn refuse_unadmitted<H>(
    handler: &H,
    req: Request<Incoming>,
    limits: Limits,
    memory: &MemoryBudget,
) -> Response<BoxBody<Bytes, Error>>
where
    H: Handler,
{
    let marked = inbound::is_marked(req.headers());
    match Inbound::read(req, limits, memory, || false).await {
        Ok(_) => refuse_overloaded(handler, marked),
        Err(refusal) if marked => refuse(handler, refusal.with_unknown_outcome()),
        Err(refusal) => refuse(handler, refusal),
    }
}

/// Refuses a request that there is no room for.
fn refuse_overloaded<H>(handler: &H, marked: bool) -> Response<BoxBody<Bytes, Error>>
where
    H: Handler,
{
    let retry_after = spread_retry_after(rand::random());
    let refusal = Refusal::not_run(Code::Overloaded, Step::Receive, Peer::Caller)
        .with_retry_after(retry_after);
    match marked {
        true => refuse(handler, refusal.with_unknown_outcome()),
        false => refuse(handler, refusal),
    }
}

fn refuse<H>(handler: &H, refusal: Refusal) -> Response<BoxBody<Bytes, Error>>
where
    H: Handler,
{
    handler.refused(&refusal);
    Reply::refusal(&refusal).encode()
}
