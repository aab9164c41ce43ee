//! An HTTP/1.1 server for short exchanges with clients that may misbehave.

use std::future::Future;
use std::sync::Arc;

use chiverelay_decisions::admission::Shares;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::ACCEPT_PAUSE;
use crate::Body;
use crate::ConnectionSlot;
use crate::Connections;

/// Largest head of a request in bytes, and what is kept of answers that a client
/// doesn't read.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Largest number of header fields of a request: one for each 32 bytes of a head,
/// as HTTP/2 counts them.
const MAX_FIELDS: usize = MAX_HEAD_BYTES / 32;

/// Accepts connections and responds to their requests with `handler` until
/// `cancel` is cancelled, which also drops open connections.
///
/// At most `max_connections` are open. For another one that is closed which has
/// been for longest without a request in the handler.
pub async fn serve_endpoint<F, R>(
    listener: TcpListener,
    max_connections: usize,
    cancel: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = Connections::new(Shares::of_endpoint(max_connections));
    let handler = Arc::new(handler);
    let accepting = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("http: accepting a connection failed: {e}");
                    connections.close_one();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            connections.make_room().await;
            let slot = connections.open().slot;
            let (handler, cancel) = (Arc::clone(&handler), cancel.clone());
            tokio::spawn(async move {
                let conn = serve_connection(stream, Arc::new(slot), handler);
                cancel.run_until_cancelled(conn).await;
            });
        }
    };
    cancel.run_until_cancelled(accepting).await;
}

async fn serve_connection<F, R>(stream: TcpStream, slot: Arc<ConnectionSlot>, handler: Arc<F>)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    // Responses are short, so Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let shared = Arc::clone(&slot);
    let service = service_fn(move |req| {
        let resp = handler(req);
        let slot = Arc::clone(&shared);
        async move {
            slot.set_busy();
            let resp = resp.await;
            slot.set_idle();
            Ok::<_, std::convert::Infallible>(resp)
        }
    });
    let conn = http1::Builder::new()
        // Slow clients are closed once others need their place.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = conn => {
            if let Err(e) = result {
                log::debug!("http: connection failed: {e}");
            }
        }
        () = slot.evicted() => log::debug!("http: connection closed for another one"),
    }
}
