//! A client for short exchanges. It never retries a request by itself.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error as ThisError;

use crate::keepalive::KEEPALIVE_INTERVAL;
use crate::keepalive::KEEPALIVE_RETRIES;

/// Largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// An error of a request.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The connection failed. The server has received nothing of the request.
    #[error("can't connect to {address}: {reason}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// No complete response was received, and the server may have executed the
    /// request; or the request could not be built.
    #[error("no answer from {address}: {reason}")]
    NoResponse {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// A request body can't be encoded, or a response body can't be decoded, as
    /// JSON.
    #[error("malformed body: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A client with a pool of connections. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    bearer_token: Option<String>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON or doesn't match `T`.
    pub fn json<T>(&self) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

impl Client {
    /// Creates a client whose exchanges take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        // One would decide in place of the number of probes. The exchange's
        // timeout bounds data that isn't acknowledged.
        connector.set_tcp_user_timeout(None);
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            pool,
            timeout,
            bearer_token: None,
        }
    }

    /// Returns a client of the same connections whose exchanges take at most
    /// `timeout`.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self {
            timeout,
            ..self.clone()
        }
    }

    /// Sends `token` as the bearer token of each request.
    pub fn with_bearer_token(mut self, token: String) -> Self {
        self.bearer_token = Some(token);
        self
    }

    /// Sends a JSON document and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be encoded or no complete response arrives in
    /// time.
    pub async fn send_json<T>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<BufferedResponse, Error>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body)?;
        self.send(method, address, path, body.into()).await
    }

    /// Sends a JSON document and returns the response's status and its body as
    /// a stream. The time limit covers only the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be encoded or the head of the response does not
    /// arrive in time.
    pub async fn send_json_streaming<T>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<(StatusCode, Incoming), Error>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body)?;
        let req = self.build_request(method, address, path, body.into())?;
        let response = self.send_request(address, req);
        let resp = tokio::time::timeout(self.timeout, response)
            .await
            .map_err(|_| Error::NoResponse {
                address,
                reason: "timeout".to_owned(),
            })??;
        Ok((resp.status(), resp.into_body()))
    }

    fn build_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.bearer_token {
            req = req.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        req.body(Full::new(body)).map_err(|e| Error::NoResponse {
            address,
            reason: e.to_string(),
        })
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, Error> {
        self.pool.request(req).await.map_err(|e| {
            let reason = e.to_string();
            if e.is_connect() {
                return Error::Connect { address, reason };
            }
            Error::NoResponse { address, reason }
        })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, Error> {
        let no_response = |reason: String| Error::NoResponse { address, reason };
        let req = self.build_request(method, address, path, body)?;
        let exchange = async {
            let resp = self.send_request(address, req).await?;
            let (head, body) = resp.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES)
                .collect()
                .await
                .map_err(|e| no_response(e.to_string()))?
                .to_bytes();
            Ok(BufferedResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| no_response("timeout".to_owned()))?
    }
}
