//! Scripted faults, set over HTTP at `PUT /faults`.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_http::Body;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

/// When a service resets the connection in place of answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reset {
    /// Before it reads the body; it does not act.
    BeforeBody,
    /// Within the body; it does not act.
    WithinBody,
    /// After the whole body; it acts.
    AfterBody,
}

/// What is wrong with a streamed answer that comes to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flaw {
    /// The last event, `[DONE]`, is missing.
    NoDone,
    /// The last event is cut within.
    CutEvent,
    /// Events follow `[DONE]`.
    AfterDone,
    /// An event comes twice.
    Doubled,
    /// An event is left out.
    Missing,
}

/// What goes wrong, until it is changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Faults {
    /// Answers with status 503 before acting.
    pub refuse: bool,
    /// Waits before acting, in milliseconds.
    pub delay_ms: u64,
    /// Acts, then cuts the connection in place of an answer.
    pub lose_answer: bool,
    /// As `lose_answer`, but only for requests that change a key of the store
    /// that starts with this.
    pub lose_writes_of: Option<String>,
    /// Says nothing more on open streams of changes.
    pub freeze_watches: bool,
    /// Takes requests and neither acts nor answers.
    pub freeze: bool,
    /// Cuts a streamed answer after so many pieces.
    pub cut_after: Option<u64>,
    /// Resets the connection.
    pub reset: Option<Reset>,
    /// Acts, then waits before answering, in milliseconds.
    pub answer_delay_ms: u64,
    /// Ends a streamed answer wrongly.
    pub flaw: Option<Flaw>,
}

/// The faults in force at a stand-in.
#[derive(Debug, Default)]
pub struct Script {
    current: Mutex<Faults>,
    struck: AtomicU64,
}

impl Script {
    /// Returns the faults in force.
    pub fn get(&self) -> Faults {
        self.current
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns how many requests a fault has struck so far.
    pub fn struck(&self) -> u64 {
        self.struck.load(Ordering::Relaxed)
    }

    fn strike(&self) {
        self.struck.fetch_add(1, Ordering::Relaxed);
    }

    /// Puts other faults in force.
    pub fn set(&self, faults: Faults) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Answers calls of the script itself, and applies the faults that strike
    /// before a request is acted on.
    ///
    /// # Errors
    ///
    /// Returns the answer to give in place of acting on the request.
    pub async fn before(
        &self,
        req: Request<Incoming>,
    ) -> Result<Request<Incoming>, Response<Body>> {
        if req.uri().path() == "/faults" && req.method() == Method::PUT {
            return Err(match chiverelay_http::read_json(req, 4096).await {
                Ok(faults) => {
                    self.set(faults);
                    chiverelay_http::empty_response(StatusCode::OK)
                }
                Err(resp) => *resp,
            });
        }
        let faults = self.get();
        if faults.freeze || faults.delay_ms > 0 || faults.refuse {
            self.strike();
        }
        if faults.freeze {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.refuse {
            return Err(chiverelay_http::empty_response(
                StatusCode::SERVICE_UNAVAILABLE,
            ));
        }
        Ok(req)
    }

    /// Applies the faults that strike after a request was acted on.
    pub fn after(&self, resp: Response<Body>) -> Response<Body> {
        self.lose_if(self.get().lose_answer, resp)
    }

    /// Is [`Script::after`] for a request that changed these keys.
    pub fn after_change(&self, keys: &[String], resp: Response<Body>) -> Response<Body> {
        let faults = self.get();
        let prefix = faults.lose_writes_of.as_deref();
        let struck = prefix.is_some_and(|p| keys.iter().any(|k| k.starts_with(p)));
        self.lose_if(faults.lose_answer || struck, resp)
    }

    fn lose_if(&self, lost: bool, resp: Response<Body>) -> Response<Body> {
        if !lost {
            return resp;
        }
        self.strike();
        let (mut parts, _) = resp.into_parts();
        // The length says more than what comes before the connection is cut.
        parts
            .headers
            .insert(hyper::header::CONTENT_LENGTH, 1_u32.into());
        Response::from_parts(parts, cut())
    }
}

/// Returns an answer in place of which the connection is reset.
pub(crate) fn reset() -> Response<Body> {
    let mut resp = chiverelay_http::empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    resp.extensions_mut()
        .insert(chiverelay_http::ResetConnection);
    resp
}

/// Returns a body that cuts the connection.
pub(crate) fn cut() -> Body {
    use http_body_util::BodyExt;
    use http_body_util::StreamBody;
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    // The channel has room for one piece.
    let _ = tx.try_send(Err(std::io::Error::other("cut")));
    BodyExt::boxed(StreamBody::new(ReceiverStream(rx)))
}

/// The receiving end of a channel as a stream of frames.
pub(crate) struct ReceiverStream(
    pub(crate) tokio::sync::mpsc::Receiver<std::io::Result<hyper::body::Frame<bytes::Bytes>>>,
);

impl futures_core::Stream for ReceiverStream {
    type Item = std::io::Result<hyper::body::Frame<bytes::Bytes>>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}
