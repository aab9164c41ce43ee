//! A plain service that counts how often each operation ran.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chiverelay_http::Body;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::faults;
use crate::faults::Reset;
use crate::faults::Script;

/// A service's state.
#[derive(Debug, Default)]
pub struct Service {
    /// Scripted faults.
    pub script: Script,
    runs: Mutex<BTreeMap<String, u64>>,
    seen: Mutex<Vec<String>>,
}

impl Service {
    /// Returns how often each operation ran, by the request's body.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn count(&self, operation: String) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(operation).or_default();
        *count += 1;
        *count
    }

    fn note(&self, line: String) {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/runs" && req.method() == Method::GET {
            return chiverelay_http::json_response(StatusCode::OK, &self.runs());
        }
        if req.uri().path() == "/seen" && req.method() == Method::GET {
            let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            return chiverelay_http::json_response(StatusCode::OK, &*seen);
        }
        let req = match self.script.before(req).await {
            Ok(req) => req,
            Err(resp) => return resp,
        };
        self.note(format!(
            "{} {} {:?}",
            req.method(),
            req.uri(),
            req.headers()
        ));
        let reset = self.script.get().reset;
        let mut body = req.into_body();
        if reset == Some(Reset::BeforeBody) {
            return faults::reset();
        }
        if reset == Some(Reset::WithinBody) {
            // The piece that was read is thrown away with the rest.
            let _ = body.frame().await;
            return faults::reset();
        }
        let Ok(body) = body.collect().await else {
            return chiverelay_http::empty_response(StatusCode::BAD_REQUEST);
        };
        let operation = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let count = self.count(operation.clone());
        if reset == Some(Reset::AfterBody) {
            return faults::reset();
        }
        let delay = Duration::from_millis(self.script.get().answer_delay_ms);
        tokio::time::sleep(delay).await;
        let answer = serde_json::json!({"operation": operation, "runs": count});
        self.script
            .after(chiverelay_http::json_response(StatusCode::OK, &answer))
    }
}

/// Serves until `cancel`. `GET /runs` gives the counts.
pub async fn serve(service: Arc<Service>, listener: TcpListener, cancel: CancellationToken) {
    chiverelay_http::serve(listener, cancel, move |req| {
        let service = Arc::clone(&service);
        async move { service.answer(req).await }
    })
    .await;
}
