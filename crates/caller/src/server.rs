//! The listener for callers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::step::Step;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
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

    /// Serves until `cancel`, then until every open request has its answer.
    pub async fn run<H>(self, handler: Arc<H>, cancel: CancellationToken)
    where
        H: Handler,
    {
        let tracker = TaskTracker::new();
        let acceptor = self.tls.map(TlsAcceptor::from);
        loop {
            let stream = tokio::select! {
                () = cancel.cancelled() => break,
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
            let cancel = cancel.clone();
            let limits = self.limits;
            match acceptor.clone() {
                None => {
                    tracker.spawn(serve(stream, handler, limits, cancel));
                }
                Some(acceptor) => {
                    tracker.spawn(async move {
                        match acceptor.accept(stream).await {
                            Ok(stream) => serve(stream, handler, limits, cancel).await,
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

async fn serve<H, S>(stream: S, handler: Arc<H>, limits: Limits, cancel: CancellationToken)
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
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        async move { answer(&*handler, req, limits).await }
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = cancel.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        log::debug!("caller: connection ended: {e}");
    }
}

async fn answer<H>(
    handler: &H,
    req: Request<Incoming>,
    limits: Limits,
) -> Result<Response<BoxBody<Bytes, Error>>, std::convert::Infallible>
where
    H: Handler,
{
    let reply = match Inbound::read(req, limits.max_body, limits.body_timeout).await {
        Ok(req) => handler.handle(req).await,
        Err(refusal) => Reply::refusal(&refusal),
    };
    Ok(reply.encode())
}
