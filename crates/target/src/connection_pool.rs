//! Pool of connections to targets for reuse by later requests.
//!
//! An idle connection may have been closed by the target without notice, and a
//! late or duplicate response to an earlier request may be taken for the next
//! request's. A connection is therefore reused only if
//!
//! - it was idle for less time than both the target and the request allow,
//! - nothing has arrived on it while it was idle, and
//! - its last response was complete.
//!
//! Callers of the pool have to check that a response names their request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::ShardedMap;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::TRANSFER_ENCODING;
use tokio::time::Instant;

use crate::Client;
use crate::Error;
use crate::client;
use crate::client::ConnectionDriver;
use crate::client::InterimResponses;
use crate::client::RequestSender;

/// Part of the connections that is left to further attempts at requests.
const RESERVE_FRACTION: usize = 8;

/// Largest number of idle connections for each target's address.
const MAX_IDLE_PER_ADDRESS: usize = 24;

/// Idle timeout of a connection whose target states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Fraction of the target's stated idle timeout for which a connection is
/// reused. The target's timeout starts when it sends the response, which is
/// earlier than its arrival here.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Longest time that a connection is kept idle.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// Header in which a target states its timeout for idle connections.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// An open connection that carries no request at the moment.
#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    driver: ConnectionDriver,
    place: Place,
    idle_since: Instant,
    expires_at: Instant,
}

impl IdleConnection {
    /// Tells whether the connection is open and has received nothing since its
    /// last response.
    fn is_reusable(&mut self) -> bool {
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        self.driver.is_open() && self.sender.is_ready()
    }
}

/// The place of an open connection among those that may be open; dropping it
/// frees the place.
#[derive(Debug)]
struct Place {
    open: Arc<AtomicUsize>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The first attempt at a request, which can still be refused as not run.
    FirstAttempt,
    /// A further attempt, as the first one was sent and given up.
    FurtherAttempt,
}

/// Opens connections to targets and keeps idle ones for reuse.
///
/// # Invariants
///
/// `open` is the number of connections that are open or being opened, and never
/// exceeds `max_open`. First attempts leave the reserve of it to further ones.
#[derive(Debug)]
pub struct ConnectionPool {
    client: Client,
    idle: ShardedMap<SocketAddr, Vec<IdleConnection>>,
    open: Arc<AtomicUsize>,
    max_open: usize,
}

impl ConnectionPool {
    /// Creates an empty pool of at most `max_open` connections. Opening one
    /// takes at most `connect_timeout`.
    pub fn new(connect_timeout: Duration, max_open: usize) -> Self {
        Self {
            client: Client::new(connect_timeout),
            // Idle connections to targets share the rank of links to siblings.
            idle: ShardedMap::new(LockRank::Links),
            open: Arc::default(),
            max_open,
        }
    }

    /// Counts the connections that are open or being opened.
    pub fn count_open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns a connection that was idle for at most `max_idle`, or opens one
    /// if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the target can't be reached in time, or if no more connections
    /// may be open. The target has received nothing of the request then.
    pub async fn acquire(
        &self,
        target: &Target,
        address: SocketAddr,
        max_idle: Duration,
        purpose: Purpose,
    ) -> Result<PooledConnection, Error> {
        if let Some(idle) = self.pop_idle(address, max_idle) {
            return Ok(PooledConnection {
                address,
                sender: idle.sender,
                driver: idle.driver,
                place: idle.place,
                is_new: false,
            });
        }
        let place = self
            .take_place(purpose)
            .ok_or_else(|| Error::NoConnectionLeft {
                target: target.clone(),
            })?;
        let (sender, driver) = self.client.open_http1(target, address).await?;
        Ok(PooledConnection {
            address,
            sender,
            driver,
            place,
            is_new: true,
        })
    }

    /// Takes a place for a new connection, if need be that of an idle one, which
    /// is closed.
    fn take_place(&self, purpose: Purpose) -> Option<Place> {
        self.try_take_place(purpose).or_else(|| {
            self.close_longest_idle();
            self.try_take_place(purpose)
        })
    }

    fn try_take_place(&self, purpose: Purpose) -> Option<Place> {
        let limit = match purpose {
            Purpose::FirstAttempt => self.max_open - self.max_open / RESERVE_FRACTION,
            Purpose::FurtherAttempt => self.max_open,
        };
        let add = |open| (open < limit).then_some(open + 1);
        let added = self
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.ok().map(|_| Place {
            open: Arc::clone(&self.open),
        })
    }

    /// Closes the connection that has been idle for longest.
    fn close_longest_idle(&self) {
        let mut longest: Option<(Instant, SocketAddr)> = None;
        self.idle.for_each(|address, connections| {
            // The first one has been idle for longest at its address.
            let Some(first) = connections.first() else {
                return;
            };
            if longest.is_none_or(|(since, _)| first.idle_since < since) {
                longest = Some((first.idle_since, *address));
            }
        });
        let Some((_, address)) = longest else {
            return;
        };
        self.idle.with(&address, |connections| {
            if let Some(connections) = connections.filter(|connections| !connections.is_empty()) {
                connections.remove(0);
            }
        });
    }

    fn pop_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<IdleConnection> {
        let now = Instant::now();
        self.idle.with(&address, |connections| {
            let connections = connections?;
            while let Some(mut last) = connections.pop() {
                if now >= last.expires_at {
                    continue;
                }
                if now - last.idle_since > max_idle {
                    // The connections before it have been idle for longer.
                    connections.push(last);
                    return None;
                }
                if last.is_reusable() {
                    return Some(last);
                }
            }
            None
        })
    }

    fn push_idle(&self, address: SocketAddr, idle: IdleConnection) {
        let now = Instant::now();
        self.idle.with_or_insert(&address, Vec::new, |connections| {
            connections.retain(|old| now < old.expires_at);
            if connections.len() >= MAX_IDLE_PER_ADDRESS {
                connections.remove(0);
            }
            connections.push(idle);
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.remove(&address);
    }
}

/// A connection of the pool, new or reused, that carries one request.
#[derive(Debug)]
pub struct PooledConnection {
    address: SocketAddr,
    sender: RequestSender,
    driver: ConnectionDriver,
    place: Place,
    is_new: bool,
}

/// Reason why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was written to the connection.
    NotSent(Error),
    /// The target may have received the request.
    MaybeSent(Error),
}

impl PooledConnection {
    /// Tells whether the connection was opened for this request, not reused.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sends the request once and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives. The variant tells whether the target
    /// may have received the request.
    pub async fn send(
        mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<PooledResponse, SendError> {
        let target = self.driver.target().clone();
        let interim = InterimResponses::count(&mut req);
        let ready = self.driver.drive_while(self.sender.ready()).await;
        ready.map_err(|source| {
            SendError::NotSent(Error::Handshake {
                target: target.clone(),
                source,
            })
        })?;
        let exchange = self.sender.try_send_request(req);
        let resp = match self.driver.drive_within(exchange, &interim).await {
            None => {
                return Err(SendError::MaybeSent(Error::InvalidResponse {
                    target,
                    reason: "interim responses do not end".to_owned(),
                }));
            }
            Some(Ok(resp)) => resp,
            Some(Err(mut e)) => {
                let is_unsent = e.take_message().is_some();
                let source = e.into_error();
                let error = Error::NoResponse { target, source };
                return Err(match is_unsent {
                    true => SendError::NotSent(error),
                    false => SendError::MaybeSent(error),
                });
            }
        };
        client::check_final(&target, resp.status()).map_err(SendError::MaybeSent)?;
        let (parts, body) = resp.into_parts();
        Ok(PooledResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            is_complete: false,
            conn: self,
        })
    }
}

/// A response whose body has not been read yet. Dropping it closes the
/// connection, which cancels the request at the target.
#[derive(Debug)]
pub struct PooledResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    is_complete: bool,
    conn: PooledConnection,
}

impl PooledResponse {
    /// Returns the target that sent the response.
    pub fn target(&self) -> &Target {
        self.conn.driver.target()
    }

    /// Tells whether the connection carried an earlier request.
    pub fn is_connection_reused(&self) -> bool {
        !self.conn.is_new
    }

    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers as the target sent them.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the length of the body in bytes; `None` if the headers don't
    /// state it.
    pub fn content_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next chunk of the body; `None` after its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the end of a delimited body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        let chunk = self.conn.driver.next_chunk(&mut self.body).await?;
        self.is_complete = chunk.is_none();
        Ok(chunk)
    }

    /// Returns the connection to the pool if it may be reused, else closes it.
    pub fn release(mut self, pool: &ConnectionPool) {
        let Some(idle_timeout) = self.idle_timeout() else {
            return;
        };
        let now = Instant::now();
        let mut idle = IdleConnection {
            sender: self.conn.sender,
            driver: self.conn.driver,
            place: self.conn.place,
            idle_since: now,
            expires_at: now + idle_timeout,
        };
        drop(std::mem::take(&mut self.headers));
        if idle.is_reusable() {
            pool.push_idle(self.conn.address, idle);
        }
    }

    /// Returns how long the connection may stay idle; `None` if it can't be
    /// reused, as the body was not read to its end or is not delimited, or the
    /// target closes the connection.
    fn idle_timeout(&self) -> Option<Duration> {
        let is_close = |v: &hyper::header::HeaderValue| {
            // An unreadable value counts as `close`.
            let v = v.to_str().unwrap_or("close");
            v.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"))
        };
        let is_delimited = self.headers.contains_key(CONTENT_LENGTH)
            || self.headers.contains_key(TRANSFER_ENCODING)
            || self.body.is_end_stream();
        if !self.is_complete
            || !is_delimited
            || self.headers.get_all(CONNECTION).iter().any(is_close)
        {
            return None;
        }
        let Some(stated) = self.headers.get(KEEP_ALIVE) else {
            return Some(DEFAULT_IDLE_TIMEOUT);
        };
        let stated = stated.to_str().ok()?;
        let timeout = stated
            .split(',')
            .find_map(|v| v.trim().strip_prefix("timeout="))?;
        let timeout: u64 = timeout.trim().parse().ok()?;
        let timeout = Duration::from_secs(timeout).min(MAX_IDLE_TIMEOUT);
        (!timeout.is_zero()).then(|| timeout.mul_f64(IDLE_TIMEOUT_FRACTION))
    }
}
