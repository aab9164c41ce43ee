//! The listener for callers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::step::Step;
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
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::Inbound;
use crate::Reply;

/// What answers callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Inbound) -> impl Future<Output = Reply> + Send;
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub max_body: usize,
    /// Time for a request's headers.
    pub header_timeout: Duration,
    /// Time for a request's body.
    pub body_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: 4 * 1024 * 1024,
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
        let acceptor = self.tls.map(TlsAcceptor::from);
        loop {
            let stream = tokio::select! {
                () = shutdown.close.cancelled() => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(e) => {
                        log::warn!("caller: accept failed: {e}");
                        continue;
                    }
                },
            };
            // Streams are written piece by piece, so small writes must not wait.
            let _ = stream.set_nodelay(true);
            let handler = Arc::clone(&handler);
            let shutdown = shutdown.clone();
            let limits = self.limits;
            match acceptor.clone() {
                None => {
                    tracker.spawn(serve(stream, handler, limits, shutdown));
                }
                Some(acceptor) => {
                    tracker.spawn(async move {
                        match acceptor.accept(stream).await {
                            Ok(stream) => serve(stream, handler, limits, shutdown).await,
                            Err(e) => log::debug!("caller: TLS handshake failed: {e}"),
                        }
                    });
                }
            }
        }
        tracker.close();
        tracker.wait().await;
    }
}

async fn serve<H, S>(stream: S, handler: Arc<H>, limits: Limits, shutdown: Shutdown)
where
    H: Handler,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout);
    builder.http2().timer(TokioTimer::new());
    let multiplexed = Arc::new(AtomicBool::new(false));
    let notice = shutdown.notice.clone();
    let seen = Arc::clone(&multiplexed);
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let notice = notice.clone();
        let is_http2 = req.version() == Version::HTTP_2;
        seen.store(is_http2, Ordering::Relaxed);
        async move {
            let mut resp = answer(&*handler, req, limits).await?;
            if notice.is_cancelled() && !is_http2 {
                let close = HeaderValue::from_static("close");
                resp.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(resp)
        }
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = leave(&shutdown, &multiplexed) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        log::debug!("caller: connection ended: {e}");
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
) -> Result<Response<BoxBody<Bytes, Error>>, Infallible>
where
    H: Handler,
{
    let reply = match Inbound::read(req, limits.max_body, limits.body_timeout).await {
        Ok(req) => handler.handle(req).await,
        Err(refusal) => Reply::refusal(&refusal),
    };
    Ok(reply.encode())
}
