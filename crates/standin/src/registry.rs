//! A service catalog whose list lags.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chiverelay_http::Body;
use chiverelay_registry::api;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::faults::Script;

/// Largest request in bytes.
const MAX_BODY: usize = 64 * 1024;

/// A registry's state.
#[derive(Debug, Default)]
pub struct Registry {
    /// Scripted faults.
    pub script: Script,
    /// Time by which the list is behind.
    pub lag: Duration,
    inner: Mutex<Vec<Change>>,
}

/// A change of an instance; `None` when it was taken out.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    id: String,
    entry: Option<api::HealthEntry>,
}

impl Registry {
    /// Makes an empty registry whose list is behind by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    fn push(&self, id: String, entry: Option<api::HealthEntry>) {
        let change = Change {
            at: Instant::now(),
            id,
            entry,
        };
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(change);
    }

    /// Returns the list as of a time.
    fn list(&self, until: Option<Instant>) -> BTreeMap<String, api::HealthEntry> {
        let changes = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = BTreeMap::new();
        let seen = |c: &&Change| until.is_some_and(|until| c.at <= until);
        for change in changes.iter().filter(seen) {
            match &change.entry {
                Some(entry) => list.insert(change.id.clone(), entry.clone()),
                None => list.remove(&change.id),
            };
        }
        list
    }

    /// Lists what is leaving or dead, as of the lag ago.
    fn critical(&self) -> Vec<api::StateEntry> {
        let list = self.list(Instant::now().checked_sub(self.lag));
        let entries = list.into_iter().filter_map(|(id, entry)| {
            let status = entry.checks.into_iter().next()?.status;
            (status == api::CRITICAL).then_some(api::StateEntry {
                service_id: id,
                status,
            })
        });
        entries.collect()
    }

    /// Returns the names registered now, without the lag.
    pub fn registered(&self) -> Vec<String> {
        self.list(Some(Instant::now())).into_keys().collect()
    }

    /// Changes the status of an instance, as the platform does.
    pub fn set_status(&self, id: &str, status: &str) {
        let entry = self.list(Some(Instant::now())).remove(id);
        let mut entry = entry.unwrap_or_default();
        entry.service.id = id.to_owned();
        entry.checks = vec![api::Check {
            status: status.to_owned(),
        }];
        self.push(id.to_owned(), Some(entry));
    }

    fn register(&self, req: api::Registration) {
        let entry = api::HealthEntry {
            service: api::Service {
                id: req.id.clone(),
                address: req.address,
                port: req.port,
                meta: req.meta,
            },
            checks: vec![api::Check {
                status: api::PASSING.to_owned(),
            }],
        };
        self.push(req.id, Some(entry));
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let req = match self.script.before(req).await {
            Ok(req) => req,
            Err(resp) => return resp,
        };
        let resp = match self.act(req).await {
            Ok(resp) => resp,
            Err(resp) => return *resp,
        };
        self.script.after(resp)
    }

    async fn act(&self, req: Request<Incoming>) -> Result<Response<Body>, Box<Response<Body>>> {
        let path = req.uri().path().to_owned();
        let put = req.method() == Method::PUT;
        if path.starts_with("/v1/health/service/") && !put {
            let list = self.list(Instant::now().checked_sub(self.lag));
            let list: Vec<_> = list.into_values().collect();
            return Ok(chiverelay_http::json_response(StatusCode::OK, &list));
        }
        if path == "/v1/health/state/critical" && !put {
            return Ok(chiverelay_http::json_response(
                StatusCode::OK,
                &self.critical(),
            ));
        }
        if path == "/v1/agent/service/register" && put {
            self.register(chiverelay_http::read_json(req, MAX_BODY).await?);
            return Ok(chiverelay_http::empty_response(StatusCode::OK));
        }
        if let Some(id) = path.strip_prefix("/v1/agent/service/deregister/")
            && put
        {
            self.push(id.to_owned(), None);
            return Ok(chiverelay_http::empty_response(StatusCode::OK));
        }
        Err(Box::new(chiverelay_http::empty_response(
            StatusCode::NOT_FOUND,
        )))
    }
}

/// Serves until `cancel`.
pub async fn serve(registry: Arc<Registry>, listener: TcpListener, cancel: CancellationToken) {
    chiverelay_http::serve(listener, cancel, move |req| {
        let registry = Arc::clone(&registry);
        async move { registry.answer(req).await }
    })
    .await;
}
