//! Connections to targets that carry one request each.

use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::answer::is_final_status;
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
use crate::stream::TargetStream;

/// Largest size of a connection's read buffer, in bytes, which the head of an
/// answer has to fit into. A connection reads so far ahead of a caller that does
/// not read.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Most interim responses to a request, which have a status below 200 and precede
/// the response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Counts the interim responses to a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimResponses {
    count: Arc<AtomicU32>,
}

impl InterimResponses {
    /// Counts those to `req` from now on.
    pub(crate) fn count<B>(req: &mut Request<B>) -> Self {
        let interim = Self::default();
        let count = Arc::clone(&interim.count);
        hyper::ext::on_informational(req, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
        interim
    }

    fn are_too_many(&self) -> bool {
        self.count.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}

pub(crate) type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Checks that a response with `status` is the final one to a request.
///
/// # Errors
///
/// Fails for any other status. The target may have executed the request.
pub(crate) fn check_final(target: &Target, status: StatusCode) -> Result<(), Error> {
    if is_final_status(status.as_u16()) {
        return Ok(());
    }
    Err(Error::InvalidResponse {
        target: target.clone(),
        reason: format!("status {} ends no exchange", status.as_u16()),
    })
}

/// Performs a connection's I/O within the task that awaits the response.
///
/// A connection has no task of its own, as that task would have to be started
/// and woken for each request.
///
/// # Invariants
///
/// `conn` is `None` once the connection has ended, as polling it again is not
/// allowed.
#[derive(Debug)]
pub(crate) struct ConnectionDriver {
    target: Target,
    conn: Option<Box<http1::Connection<TokioIo<TargetStream>, Full<Bytes>>>>,
}

impl ConnectionDriver {
    /// Returns the connection's target.
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }

    /// Tells whether the connection is still open, as of the last poll.
    pub(crate) fn is_open(&self) -> bool {
        self.conn.is_some()
    }

    /// Awaits `f` and performs the connection's I/O meanwhile.
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
            // Polling `f` may have queued I/O, such as writing the request.
            self.poll(cx);
            f.as_mut().poll(cx)
        })
        .await
    }

    /// Awaits the response to a request like [`ConnectionDriver::drive_while`];
    /// `None` if too many interim responses come before it. The connection is
    /// closed then.
    pub(crate) async fn drive_within<F>(
        &mut self,
        f: F,
        interim: &InterimResponses,
    ) -> Option<F::Output>
    where
        F: Future,
    {
        let mut f = pin!(f);
        poll_fn(|cx| {
            self.poll(cx);
            if interim.are_too_many() {
                self.conn = None;
                return Poll::Ready(None);
            }
            if let Poll::Ready(output) = f.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            // Polling `f` may have queued I/O, such as writing the request.
            self.poll(cx);
            f.as_mut().poll(cx).map(Some)
        })
        .await
    }

    /// Returns the next chunk of a response's body; `None` after its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the body's end.
    pub(crate) async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            match self.drive_while(body.frame()).await {
                None => return Ok(None),
                Some(Err(e)) => {
                    return Err(Error::InvalidResponse {
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

    /// Performs the I/O that is possible without waiting.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) {
        let Some(conn) = &mut self.conn else {
            return;
        };
        let Poll::Ready(result) = Pin::new(conn).poll(cx) else {
            return;
        };
        if let Err(e) = result {
            let target = &self.target;
            log::debug!("target: {target}: connection failed: {e}");
        }
        self.conn = None;
    }
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as sent in the request line.
    pub path_and_query: String,
    /// Headers; only those that [`headers::filter_request`] allows are sent.
    pub headers: HeaderMap,
    /// Complete body; empty if the request has none.
    pub body: Bytes,
}

/// Opens connections to targets, one for each request.
///
/// An HTTP/1.1 response doesn't name its request. On a reused connection, a
/// duplicate or late response would be taken for that of the next request, so
/// connections are not reused.
#[derive(Clone, Debug)]
pub struct Client {
    connect_timeout: Duration,
}

impl Client {
    /// Creates a client. Opening a connection takes at most `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout }
    }

    /// Opens a connection without sending anything of a request yet.
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
        // A request is written as a whole, so Nagle's algorithm would only
        // delay it.
        let _ = stream.set_nodelay(true);
        chiverelay_http::enable_keepalive(&stream);
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(TargetStream::new(stream)))
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

/// An open connection for a single request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: RequestSender,
    driver: ConnectionDriver,
}

impl Connection {
    /// Sends the request once and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the request is not valid HTTP or no valid response head
    /// arrives. Nothing is sent if the path is invalid; after any other error
    /// the target may have executed the request.
    pub async fn send(mut self, req: TargetRequest) -> Result<TargetResponse, Error> {
        let mut msg = Request::new(Full::new(req.body));
        *msg.method_mut() = req.method;
        *msg.headers_mut() = headers::filter_request(&req.headers);
        let host = self.address.to_string();
        let parts = (req.path_and_query.parse(), host.parse());
        let (Ok(uri), Ok(host)) = parts else {
            return Err(Error::InvalidResponse {
                target: self.driver.target,
                reason: "the path can't be sent".to_owned(),
            });
        };
        *msg.uri_mut() = uri;
        msg.headers_mut().insert(HOST, host);
        // The side that closes first keeps its port in TIME_WAIT. A target
        // listens on one port, but a client needs a port for each request, so
        // the target is asked to close.
        let close = HeaderValue::from_static("close");
        msg.headers_mut().insert(CONNECTION, close);
        let interim = InterimResponses::count(&mut msg);
        let exchange = self.sender.send_request(msg);
        let Some(resp) = self.driver.drive_within(exchange, &interim).await else {
            return Err(Error::InvalidResponse {
                target: self.driver.target,
                reason: "interim responses do not end".to_owned(),
            });
        };
        let resp = resp.map_err(|source| Error::NoResponse {
            target: self.driver.target.clone(),
            source,
        })?;
        check_final(&self.driver.target, resp.status())?;
        let (parts, body) = resp.into_parts();
        Ok(TargetResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            conn: self,
        })
    }
}

/// A response whose body has not been read yet.
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

    /// Tells whether the response is successful and its body a stream of
    /// server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.status.is_success() && headers::is_event_stream(&self.headers)
    }

    /// Tells whether the headers delimit the body. If not, the body ends with
    /// the connection, so that a lost connection can't be told from its end.
    pub fn is_delimited(&self) -> bool {
        self.body.is_end_stream()
            || self.headers.contains_key(CONTENT_LENGTH)
            || self.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns the next chunk of the body; `None` after its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the end of a delimited body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        self.conn.driver.next_chunk(&mut self.body).await
    }
}
