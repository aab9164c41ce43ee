//! Requests of the platform's callers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;

use crate::caller;

/// Time in which a call must end.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// An answer, as far as it came.
#[derive(Clone, Debug)]
pub struct Got {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
    /// Whether the body came to its stated end.
    pub whole: bool,
}

impl Got {
    /// Returns a header's value, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// Returns the ids of a stream's events.
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

impl Call {
    /// Makes a request with an id, for a path of the test host.
    pub fn new(id: &str, path: &str) -> Self {
        Self {
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![
                ("host".to_owned(), "desk.example".to_owned()),
                ("request-id".to_owned(), id.to_owned()),
                ("request-deadline".to_owned(), "6000".to_owned()),
            ],
            body: Bytes::from_static(b"question"),
        }
    }

    /// Shows a key.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends a body, in place of the usual one.
    pub fn body(self, body: Bytes) -> Self {
        Self { body, ..self }
    }

    /// Adds a header, in place of one of the same name.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(k, _)| k != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(super) fn request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::builder().method(&self.method).uri(&self.path);
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        req.body(Full::new(self.body.clone()))
            .expect("a well-formed request")
    }

    /// Sends the request on a connection of its own and reads the answer.
    pub async fn send(&self, to: SocketAddr) -> Got {
        let sent = tokio::time::timeout(PATIENCE, self.exchange(to)).await;
        sent.expect("the call ends in time")
            .unwrap_or_else(|e| panic!("{}: no answer: {e}", self.path))
    }

    /// Sends the request; an error is a connection that broke off without an
    /// answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no head of an answer.
    pub async fn exchange(&self, to: SocketAddr) -> Result<Got, String> {
        let answer = caller::exchange(to, self.request()).await?;
        Ok(Got {
            status: answer.status,
            body: answer.text(),
            headers: answer.headers,
            whole: answer.whole,
        })
    }
}

/// Reads a path of an instance's other addresses.
///
/// # Errors
///
/// Fails if there is no answer.
pub async fn get(to: SocketAddr, path: &str) -> Result<Got, String> {
    let call = Call {
        method: Method::GET,
        path: path.to_owned(),
        headers: vec![("host".to_owned(), to.to_string())],
        body: Bytes::new(),
    };
    call.exchange(to).await
}
