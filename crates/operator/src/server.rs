//! The admin interface of an instance.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::EventPage;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::names::KeyId;
use chiverelay_http::Body;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::api::Apply;
use crate::api::Failure;
use crate::api::GrantKey;
use crate::api::GrantedKey;
use crate::api::KeyInfo;
use crate::api::Status;
use crate::api::Versioned;

/// Largest document in bytes, and of all documents that are read at once.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Time for a document.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections that may be open at once. Idle ones are closed for others.
const MAX_CONNECTIONS: usize = 64;

/// What answers operators.
pub trait Handler: Send + Sync + 'static {
    /// Tells whether a token is an operator's.
    fn authenticate(&self, token: Option<&str>) -> bool;

    /// Returns the configuration in force.
    fn config(&self) -> Versioned;

    /// Replaces the configuration.
    fn apply(&self, req: Apply) -> impl Future<Output = Result<Versioned, Failure>> + Send;

    /// Lists the keys.
    fn keys(&self) -> Vec<KeyInfo>;

    /// Grants a key.
    fn grant(&self, req: GrantKey) -> impl Future<Output = Result<GrantedKey, Failure>> + Send;

    /// Withdraws a key.
    fn withdraw(&self, id: KeyId) -> impl Future<Output = Result<KeyInfo, Failure>> + Send;

    /// Returns the state of the instance.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// Returns the events that the instance holds.
    fn events(&self) -> EventPage;

    /// Starts a graceful shutdown.
    fn drain(&self);

    /// Takes note of a call that was refused before it was decoded.
    fn refused(&self, reason: &'static str);
}

/// A bound listener for operators.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

impl Server {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be had.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let wrap = |source| Error::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(wrap)?;
        let address = listener.local_addr().map_err(wrap)?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `cancel`.
    pub async fn run<H>(self, handler: Arc<H>, cancel: CancellationToken)
    where
        H: Handler,
    {
        let memory = MemoryBudget::new(MAX_BODY as u64);
        let answer = move |req| {
            let (handler, memory) = (Arc::clone(&handler), memory.clone());
            async move { answer(&*handler, &memory, req).await }
        };
        chiverelay_http::serve_endpoint(self.listener, MAX_CONNECTIONS, cancel, answer).await;
    }
}

async fn answer<H>(handler: &H, memory: &MemoryBudget, req: Request<Incoming>) -> Response<Body>
where
    H: Handler,
{
    let token = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    if !handler.authenticate(token) {
        log::warn!("operator: call without a valid token refused");
        handler.refused("unauthenticated");
        return failed(&Failure::Unauthenticated);
    }
    let path = req.uri().path().to_owned();
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/v1/config") => ok(&handler.config()),
        (Method::PUT, "/v1/config") => match read(req, memory).await {
            Ok(req) => done(handler.apply(req).await),
            Err(resp) => malformed(handler, *resp),
        },
        (Method::GET, "/v1/keys") => ok(&handler.keys()),
        (Method::POST, "/v1/keys") => match read(req, memory).await {
            Ok(req) => done(handler.grant(req).await),
            Err(resp) => malformed(handler, *resp),
        },
        (Method::DELETE, path) => match path.strip_prefix("/v1/keys/") {
            Some(id) => done(handler.withdraw(id.into()).await),
            None => not_found(),
        },
        (Method::GET, "/v1/status") => ok(&handler.status().await),
        (Method::GET, "/v1/events") => ok(&handler.events()),
        (Method::POST, "/v1/drain") => {
            handler.drain();
            ok(&"draining")
        }
        _ => not_found(),
    }
}

/// Reads the document of a call, within the memory that all of them share.
async fn read<T>(req: Request<Incoming>, memory: &MemoryBudget) -> Result<T, Box<Response<Body>>>
where
    T: DeserializeOwned,
{
    let reading = chiverelay_http::read_held_json(req, MAX_BODY, memory);
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    read.unwrap_or_else(|_| {
        let late = chiverelay_http::empty_response(StatusCode::REQUEST_TIMEOUT);
        Err(Box::new(late))
    })
}

fn malformed<H>(handler: &H, resp: Response<Body>) -> Response<Body>
where
    H: Handler,
{
    log::warn!("operator: malformed call refused: {}", resp.status());
    handler.refused("malformed");
    resp
}

fn ok<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    chiverelay_http::json_response(StatusCode::OK, value)
}

fn done<T>(result: Result<T, Failure>) -> Response<Body>
where
    T: Serialize,
{
    match result {
        Ok(value) => ok(&value),
        Err(failure) => failed(&failure),
    }
}

fn not_found() -> Response<Body> {
    failed(&Failure::NotFound {
        what: "call".to_owned(),
    })
}

fn failed(failure: &Failure) -> Response<Body> {
    let status = match failure {
        Failure::Unauthenticated => StatusCode::UNAUTHORIZED,
        Failure::Faulty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Failure::Conflict { .. } => StatusCode::CONFLICT,
        Failure::StoreUnavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Failure::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        Failure::NotFound { .. } => StatusCode::NOT_FOUND,
    };
    chiverelay_http::json_response(status, failure)
}
