//! An HTTP server for short exchanges and event streams.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use chiverelay_decisions::memory_budget::MemoryBudget;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::ACCEPT_PAUSE;
use crate::held_body::BodyError;
use crate::held_body::read_held_body;

/// Largest number of header fields of a request over HTTP/1.1.
const MAX_FIELDS: usize = 1024;

/// Response extension that makes the server close the connection instead of
/// sending the response.
#[derive(Clone, Copy, Debug)]
pub struct ResetConnection;

/// Body of a response. An error while it is sent closes the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Returns a body with the given content.
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|e| match e {}).boxed()
}

/// Returns a response with a status code and no body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut resp = Response::new(full_body(Bytes::new()));
    *resp.status_mut() = status;
    resp
}

/// Returns a response with a JSON document, or with status 500 if `value` can't
/// be serialized.
pub fn json_response<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let Ok(body) = serde_json::to_vec(value) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut resp = Response::new(full_body(body));
    *resp.status_mut() = status;
    resp.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

/// Decodes a request's body of at most `max` bytes as JSON.
///
/// # Errors
///
/// Returns the response to send: status 413 if the body is too large or can't
/// be read, 400 if it is not valid JSON for `T`.
pub async fn read_json<T>(req: Request<Incoming>, max: usize) -> Result<T, Box<Response<Body>>>
where
    T: DeserializeOwned,
{
    let body = match Limited::new(req.into_body(), max).collect().await {
        Ok(body) => body.to_bytes(),
        // An oversized body and a failed read are not told apart.
        Err(_) => return Err(Box::new(empty_response(StatusCode::PAYLOAD_TOO_LARGE))),
    };
    serde_json::from_slice(&body)
        .map_err(|e| Box::new(json_response(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// Decodes a request's body of at most `max` bytes as JSON, like [`read_json`],
/// within a budget of memory.
///
/// # Errors
///
/// Returns the response to send, with status 503 if too little memory is left.
pub async fn read_held_json<T>(
    req: Request<Incoming>,
    max: usize,
    memory: &MemoryBudget,
) -> Result<T, Box<Response<Body>>>
where
    T: DeserializeOwned,
{
    let body = read_held_body(req.into_body(), max, memory, || false).await;
    let body = body.map_err(|e| {
        Box::new(empty_response(match e {
            BodyError::NoMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::TooLarge | BodyError::Broken => StatusCode::PAYLOAD_TOO_LARGE,
        }))
    })?;
    serde_json::from_slice(&body)
        .map_err(|e| Box::new(json_response(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// Accepts connections and responds to their requests with `handler` until
/// `cancel` is cancelled, which also drops open connections.
pub async fn serve<F, R>(listener: TcpListener, cancel: CancellationToken, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let stream = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("http: accepting a connection failed: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        // Responses and events are short, so Nagle's algorithm would only delay
        // them.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let cancel = cancel.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let resp = handler(req);
                async move {
                    let resp = resp.await;
                    if resp.extensions().get::<ResetConnection>().is_some() {
                        return Err(std::io::Error::other("reset"));
                    }
                    Ok(resp)
                }
            });
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder.http1().max_headers(MAX_FIELDS);
            let conn = builder.serve_connection(TokioIo::new(stream), service);
            if let Some(Err(e)) = cancel.run_until_cancelled(conn).await {
                log::debug!("http: connection failed: {e}");
            }
        });
    }
}
