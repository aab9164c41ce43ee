//! A key-value store with compare-and-swap, leases and watches, in memory.

mod state;
mod watcher;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chiverelay_http::Body;
use chiverelay_store::api;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::state::Inner;
use self::state::Range;
use self::state::Value;
use self::watcher::WATCH_DEPTH;
use self::watcher::Watcher;
use crate::faults::ReceiverStream;
use crate::faults::Script;

/// Largest request in bytes: a value of a megabyte in base64, and some.
const MAX_BODY: usize = 2 * 1024 * 1024;

/// Largest value in bytes.
const MAX_VALUE: usize = 1024 * 1024;

/// Time between two looks for lapsed leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// A store's state.
#[derive(Debug, Default)]
pub struct Store {
    /// Scripted faults.
    pub script: Script,
    inner: Mutex<Inner>,
    changed: watch::Sender<i64>,
}

/// What a store held at some moment.
#[derive(Clone, Debug)]
pub struct StoreCopy(Inner);

/// Calls so far by path, and the watches that wait now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Calls by path.
    pub calls: BTreeMap<String, u64>,
    /// Bytes of the calls' bodies.
    pub bytes_in: u64,
    /// Watches that wait now.
    pub watches: u64,
}

impl Counts {
    /// Returns the calls so far.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }
}

fn too_large(req: &api::TxnRequest) -> bool {
    req.success
        .iter()
        .chain(&req.failure)
        .filter_map(|op| op.request_put.as_ref())
        .any(|put| api::decode(&put.value).is_none_or(|v| v.len() > MAX_VALUE))
}

impl Store {
    /// Returns the calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().counts.total()
    }

    /// Returns the calls so far by path, and the waiting watches.
    pub fn counts(&self) -> Counts {
        let mut counts = self.lock().counts.clone();
        counts.watches = self.changed.receiver_count() as u64;
        counts
    }

    /// Forgets the changes up to now, as after compaction.
    pub fn compact(&self) {
        let mut inner = self.lock();
        let revision = inner.revision;
        inner.compact(revision);
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Comes back from an older copy: what was written since is gone, and its
    /// revisions and leases are given out again. Watches end.
    pub fn restore(&self, copy: StoreCopy) {
        let mut inner = self.lock();
        let restores = inner.restores + 1;
        *inner = copy.0;
        inner.restores = restores;
        self.changed.send_replace(inner.revision);
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.lock();
        let keys = inner.keys.keys().map(|k| String::from_utf8_lossy(k));
        keys.filter(|k| k.starts_with(prefix))
            .map(|k| k.into_owned())
            .collect()
    }

    /// Returns a value.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let inner = self.lock();
        api::decode(&inner.keys.get(key.as_bytes())?.data)
    }

    /// Puts a value in place or deletes it, whatever stands there.
    pub fn put(&self, key: &str, value: Option<&[u8]>) {
        let mut inner = self.lock();
        inner.revision += 1;
        let value = value.map(|value| Value {
            data: api::encode(value),
            revision: inner.revision,
            lease: 0,
        });
        inner.set(key.as_bytes().to_vec(), value);
        self.changed.send_replace(inner.revision);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            "/calls" => return chiverelay_http::json_response(StatusCode::OK, &self.calls()),
            "/counts" => return chiverelay_http::json_response(StatusCode::OK, &self.counts()),
            _ => {}
        }
        let req = match self.script.before(req).await {
            Ok(req) => req,
            Err(resp) => return resp,
        };
        let before = self.lock().revision;
        let resp = match self.act(req).await {
            Ok(resp) => resp,
            Err(resp) => return *resp,
        };
        let changed = self.lock().changed_since(before);
        self.script.after_change(&changed, resp)
    }

    async fn act(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        let path = req.uri().path().to_owned();
        let body: serde_json::Value = chiverelay_http::read_json(req, MAX_BODY).await?;
        let mut inner = self.lock();
        if self.script.get().refuse {
            // Put in force while the body came: from then on nothing acts.
            return Err(Box::new(chiverelay_http::empty_response(
                StatusCode::SERVICE_UNAVAILABLE,
            )));
        }
        let now = Instant::now();
        *inner.counts.calls.entry(path.clone()).or_default() += 1;
        inner.counts.bytes_in += body.to_string().len() as u64;
        inner.expire(now);
        let resp = self.act_on(&mut inner, &path, body, now);
        if *self.changed.borrow() != inner.revision {
            self.changed.send_replace(inner.revision);
        }
        resp
    }

    fn act_on(
        self: &Arc<Self>,
        inner: &mut Inner,
        path: &str,
        body: serde_json::Value,
        now: Instant,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        match path {
            "/v3/kv/range" => Ok(ok(&inner.range(&parse(body)?))),
            "/v3/kv/txn" => {
                let req: api::TxnRequest = parse(body)?;
                if too_large(&req) {
                    return Err(Box::new(chiverelay_http::empty_response(
                        StatusCode::BAD_REQUEST,
                    )));
                }
                Ok(ok(&inner.txn(&req)))
            }
            "/v3/kv/compaction" => {
                let req: api::CompactionRequest = parse(body)?;
                inner.compact(req.revision.parse().unwrap_or(0));
                Ok(ok(&serde_json::json!({})))
            }
            "/v3/lease/grant" => Ok(ok(&inner.grant(&parse(body)?, now))),
            "/v3/lease/keepalive" => Ok(ok(&inner.renew(&parse(body)?, now))),
            "/v3/lease/revoke" => {
                inner.revoke(&parse(body)?);
                inner.expire(now);
                Ok(ok(&serde_json::json!({})))
            }
            "/v3/watch" => Ok(self.watch(inner, &parse(body)?)),
            _ => Err(Box::new(chiverelay_http::empty_response(
                StatusCode::NOT_FOUND,
            ))),
        }
    }

    fn watch(self: &Arc<Self>, inner: &Inner, req: &api::WatchRequest) -> Response<Body> {
        let create = &req.create_request;
        let from = match create.start_revision.parse() {
            Ok(0) | Err(_) => inner.revision + 1,
            Ok(from) => from,
        };
        let (tx, rx) = mpsc::channel(WATCH_DEPTH);
        let range = Range::read(&create.key, &create.range_end);
        let watcher = Watcher {
            store: Arc::clone(self),
            range,
            next: from,
            restores: inner.restores,
            tx,
        };
        tokio::spawn(watcher.run(self.changed.subscribe()));
        Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream(rx))))
    }

    async fn expire_leases(&self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let mut inner = self.lock();
            inner.expire(Instant::now());
            if *self.changed.borrow() != inner.revision {
                self.changed.send_replace(inner.revision);
            }
        }
    }
}

fn ok<T>(value: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    chiverelay_http::json_response(StatusCode::OK, value)
}

fn parse<T>(body: serde_json::Value) -> Result<T, Box<Response<Body>>>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(body).map_err(|e| {
        Box::new(chiverelay_http::json_response(
            StatusCode::BAD_REQUEST,
            &e.to_string(),
        ))
    })
}

/// Serves until `cancel`. `GET /calls` gives the number of calls, `GET
/// /counts` gives them by path.
pub async fn serve(store: Arc<Store>, listener: TcpListener, cancel: CancellationToken) {
    let expiring = Arc::clone(&store);
    let served = chiverelay_http::serve(listener, cancel.clone(), move |req| {
        let store = Arc::clone(&store);
        async move { store.answer(req).await }
    });
    tokio::join!(served, cancel.run_until_cancelled(expiring.expire_leases()));
}
