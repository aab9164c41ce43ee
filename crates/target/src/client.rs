//! Connections to targets, each request sent once.

use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::step::Step;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::Error;
use crate::headers;

pub(crate) type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Carries the bytes of a connection while something is awaited of it.
///
/// It runs within the request's own task: a task for each connection would be
/// started and woken for each request.
///
/// # Invariants
///
/// `conn` is `None` once the connection has ended, as it may not be polled then.
#[derive(Debug)]
pub(crate) struct ConnectionDriver {
    target: Target,
    conn: Option<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>,
}

impl ConnectionDriver {
    /// Returns the target at the other end.
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Tells whether the connection has not ended.
    pub(crate) fn is_open(&self) -> bool {
        self.conn.is_some()
    }

    /// Awaits `f`, and drives the connection meanwhile.
    pub(crate) async fn drive_while<F>(&mut self, f: F) -> F::Output
    where
        F: Future,
    {
        let mut f = pin!(f);
        poll_fn(|cx| {
            self.poll(cx);
            if let Poll::Ready(output) = f.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            // The first poll may have asked the connection for something.
            self.poll(cx);
            f.as_mut().poll(cx)
        })
        .await
    }

    /// Returns the next piece of an answer's body; `None` after its end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off before its end.
    pub(crate) async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            match self.drive_while(body.frame()).await {
                None => return Ok(None),
                Some(Err(e)) => {
                    return Err(Error::Response {
                        target: self.target.clone(),
                        reason: e.to_string(),
                    });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Carries what bytes there are.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) {
        let Some(conn) = &mut self.conn else {
            return;
        };
        let Poll::Ready(result) = Pin::new(conn).poll(cx) else {
            return;
        };
        if let Err(e) = result {
            let target = &self.target;
            log::debug!("target: {target}: connection result: {e}");
        }
        self.conn = None;
    }
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path_and_query: String,
    /// Headers; only those of [`headers::filter_request`] are sent.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Opens connections to targets, one for each request.
///
/// HTTP/1.1 doesn't tell which request an answer belongs to. On a connection
/// that is used again, an answer that came twice or late would be taken for
/// the next request's, so none is used again.
#[derive(Clone, Debug)]
pub struct Client {
    connect_timeout: Duration,
}

impl Client {
    /// Makes a client.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout }
    }

    /// Opens a connection; the target has seen nothing of the request yet.
    ///
    /// # Errors
    ///
    /// Fails if the target can't be reached in time.
    pub async fn connect(&self, target: &Target, address: SocketAddr) -> Result<Connection, Error> {
        let (sender, driver) = self.open_http1(target, address).await?;
        Ok(Connection {
            address,
            sender,
            driver,
        })
    }

    pub(crate) async fn open_http1(
        &self,
        target: &Target,
        address: SocketAddr,
    ) -> Result<(RequestSender, ConnectionDriver), Error> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(self.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => {
                return Err(Error::Connect {
                    target: target.clone(),
                    source,
                });
            }
            Err(_) => {
                return Err(Error::Timeout {
                    step: Step::Connect,
                    target: target.clone(),
                });
            }
        };
        // Requests are written whole, so they must not wait for more data.
        let _ = stream.set_nodelay(true);
        chiverelay_http::enable_keepalive(&stream);
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|source| Error::Handshake {
                target: target.clone(),
                source,
            })?;
        let driver = ConnectionDriver {
            target: target.clone(),
            conn: Some(Box::new(conn)),
        };
        Ok((sender, driver))
    }
}

/// A connection over which one request is sent.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: RequestSender,
    driver: ConnectionDriver,
}

impl Connection {
    /// Sends the request, once, and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// After any error the target may have run the request.
    pub async fn send(mut self, req: TargetRequest) -> Result<TargetResponse, Error> {
        let mut msg = Request::new(Full::new(req.body));
        *msg.method_mut() = req.method;
        *msg.headers_mut() = headers::filter_request(&req.headers);
        let host = self.address.to_string();
        let parts = (req.path_and_query.parse(), host.parse());
        let (Ok(uri), Ok(host)) = parts else {
            return Err(Error::Response {
                target: self.driver.target,
                reason: "the path can't be sent".to_owned(),
            });
        };
        *msg.uri_mut() = uri;
        msg.headers_mut().insert(HOST, host);
        // Whoever closes first keeps the port for a while; a target has one for
        // all its callers, this side needs another for each request.
        let close = HeaderValue::from_static("close");
        msg.headers_mut().insert(CONNECTION, close);
        let response = self.sender.send_request(msg);
        let resp = self
            .driver
            .drive_while(response)
            .await
            .map_err(|source| Error::NoResponse {
                target: self.driver.target.clone(),
                source,
            })?;
        let (parts, body) = resp.into_parts();
        Ok(TargetResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            conn: self,
        })
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct TargetResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    conn: Connection,
}

impl TargetResponse {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers as the target sent them.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Tells whether the body is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.status.is_success() && headers::is_event_stream(&self.headers)
    }

    /// Tells whether the body's end is stated, rather than left to the end of
    /// the connection.
    pub fn has_explicit_end(&self) -> bool {
        self.body.is_end_stream()
            || self.headers.contains_key(CONTENT_LENGTH)
            || self.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns the next piece of the body; `None` after its stated end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off before its stated end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        self.conn.driver.next_chunk(&mut self.body).await
    }
}
