//! A key-value store with compare-and-swap, leases and watches, in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chiverelay_http::Body;
use chiverelay_store::api;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

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

/// Calls so far by path, and the watches that wait now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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

/// # Invariants
///
/// `history` holds the changes after `compacted` in the order of their
/// revisions.
#[derive(Debug, Default)]
struct Inner {
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, Value>,
    history: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    counts: Counts,
}

#[derive(Clone, Debug)]
struct Change {
    revision: i64,
    key: Vec<u8>,
    value: Option<Value>,
}

impl Change {
    fn event(&self) -> api::WatchEvent {
        let value = self.value.clone().unwrap_or(Value {
            data: String::new(),
            revision: self.revision,
            lease: 0,
        });
        api::WatchEvent {
            kind: match self.value {
                Some(_) => "PUT".to_owned(),
                None => "DELETE".to_owned(),
            },
            kv: value.key_value(&self.key),
        }
    }
}

#[derive(Clone, Debug)]
struct Value {
    data: String,
    revision: i64,
    lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

impl Value {
    fn key_value(&self, key: &[u8]) -> api::KeyValue {
        api::KeyValue {
            key: api::encode(key),
            value: self.data.clone(),
            mod_revision: self.revision.to_string(),
            lease: self.lease.to_string(),
        }
    }
}

/// The keys of a request.
#[derive(Clone, Debug)]
struct Range {
    key: Vec<u8>,
    end: Vec<u8>,
}

impl Range {
    fn read(key: &str, end: &str) -> Self {
        Self {
            key: api::decode(key).unwrap_or_default(),
            end: api::decode(end).unwrap_or_default(),
        }
    }

    fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

impl Inner {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.until > now);
        let gone: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, v)| v.lease != 0 && !self.leases.contains_key(&v.lease))
            .map(|(k, _)| k.clone())
            .collect();
        if gone.is_empty() {
            return;
        }
        self.revision += 1;
        for key in gone {
            self.set(key, None);
        }
    }

    fn set(&mut self, key: Vec<u8>, value: Option<Value>) {
        match &value {
            Some(value) => {
                self.keys.insert(key.clone(), value.clone());
            }
            None => {
                self.keys.remove(&key);
            }
        }
        self.history.push(Change {
            revision: self.revision,
            key,
            value,
        });
    }

    fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision);
        self.history.retain(|c| c.revision > revision);
    }

    fn events(&self, range: &Range, from: i64) -> Vec<api::WatchEvent> {
        self.history
            .iter()
            .filter(|c| c.revision >= from && range.contains(&c.key))
            .map(Change::event)
            .collect()
    }

    fn range(&self, req: &api::RangeRequest) -> api::RangeResponse {
        let range = Range::read(&req.key, &req.range_end);
        let kvs = self
            .keys
            .iter()
            .filter(|(k, _)| range.contains(k))
            .map(|(k, v)| v.key_value(k))
            .collect();
        api::RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    fn header(&self) -> api::Header {
        api::Header {
            revision: self.revision.to_string(),
        }
    }

    fn holds(&self, compare: &api::Compare) -> bool {
        let key = api::decode(&compare.key).unwrap_or_default();
        let found = self.keys.get(&key).map_or(0, |v| v.revision);
        compare.mod_revision.parse() == Ok(found)
    }

    fn run(&mut self, op: &api::RequestOp) -> api::ResponseOp {
        let mut resp = api::ResponseOp::default();
        if let Some(put) = &op.request_put {
            let value = Value {
                data: put.value.clone(),
                revision: self.revision,
                lease: put.lease.parse().unwrap_or(0),
            };
            self.set(api::decode(&put.key).unwrap_or_default(), Some(value));
        }
        if let Some(delete) = &op.request_delete_range {
            let key = api::decode(&delete.key).unwrap_or_default();
            if self.keys.contains_key(&key) {
                self.set(key, None);
            }
        }
        if let Some(range) = &op.request_range {
            resp.response_range = Some(self.range(range));
        }
        resp
    }

    fn txn(&mut self, req: &api::TxnRequest) -> api::TxnResponse {
        let succeeded = req.compare.iter().all(|c| self.holds(c));
        let ops = if succeeded {
            self.revision += 1;
            &req.success
        } else {
            &req.failure
        };
        let responses = ops.iter().map(|op| self.run(op)).collect();
        api::TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn grant(&mut self, req: &api::LeaseGrantRequest, now: Instant) -> api::LeaseGrantResponse {
        let ttl = Duration::from_secs(req.TTL.parse().unwrap_or(1));
        self.next_lease += 1;
        let lease = Lease {
            ttl,
            until: now + ttl,
        };
        self.leases.insert(self.next_lease, lease);
        api::LeaseGrantResponse {
            ID: self.next_lease.to_string(),
            TTL: ttl.as_secs().to_string(),
        }
    }

    fn renew(&mut self, req: &api::LeaseRequest, now: Instant) -> api::LeaseKeepAliveResponse {
        let ttl = match self.leases.get_mut(&req.ID.parse().unwrap_or(0)) {
            Some(lease) => {
                lease.until = now + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        };
        api::LeaseKeepAliveResponse {
            result: api::LeaseGrantResponse {
                ID: req.ID.clone(),
                TTL: ttl.to_string(),
            },
        }
    }

    fn revoke(&mut self, req: &api::LeaseRequest) {
        self.leases.remove(&req.ID.parse().unwrap_or(0));
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
            "/calls" => return chiverelay_http::json(StatusCode::OK, &self.calls()),
            "/counts" => return chiverelay_http::json(StatusCode::OK, &self.counts()),
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
        let changed = self.lock().revision != before;
        if changed {
            return self.script.after_change(resp);
        }
        self.script.after(resp)
    }

    async fn act(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        let path = req.uri().path().to_owned();
        let body: serde_json::Value = chiverelay_http::read_json(req, MAX_BODY).await?;
        let mut inner = self.lock();
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
                    return Err(Box::new(chiverelay_http::empty(StatusCode::BAD_REQUEST)));
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
            _ => Err(Box::new(chiverelay_http::empty(StatusCode::NOT_FOUND))),
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

/// Lines of a watch that wait for their reader.
const WATCH_DEPTH: usize = 16;

/// Tells one watch of changes.
struct Watcher {
    store: Arc<Store>,
    range: Range,
    next: i64,
    tx: mpsc::Sender<std::io::Result<Frame<Bytes>>>,
}

impl Watcher {
    async fn run(mut self, mut changed: watch::Receiver<i64>) {
        let created = api::WatchResult {
            created: true,
            ..api::WatchResult::default()
        };
        let mut sent = self.send(created).await;
        while sent {
            sent = self.tell().await;
            tokio::select! {
                () = self.tx.closed() => return,
                () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
                changed = changed.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Tells of the changes since the last time; false once the watch ends.
    async fn tell(&mut self) -> bool {
        let faults = self.store.script.get();
        if faults.freeze || faults.freeze_watches {
            return true;
        }
        if faults.refuse {
            return false;
        }
        let result = {
            let inner = self.store.lock();
            let result = api::WatchResult {
                header: inner.header(),
                canceled: self.next <= inner.compacted,
                events: inner.events(&self.range, self.next),
                created: false,
            };
            self.next = inner.revision + 1;
            result
        };
        if result.events.is_empty() && !result.canceled {
            return true;
        }
        let canceled = result.canceled;
        self.send(result).await && !canceled
    }

    async fn send(&self, result: api::WatchResult) -> bool {
        let resp = api::WatchResponse { result };
        let mut line = serde_json::to_vec(&resp).unwrap_or_default();
        line.push(b'\n');
        self.tx.send(Ok(Frame::data(line.into()))).await.is_ok()
    }
}

fn ok<T>(value: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    chiverelay_http::json(StatusCode::OK, value)
}

fn parse<T>(body: serde_json::Value) -> Result<T, Box<Response<Body>>>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(body).map_err(|e| {
        Box::new(chiverelay_http::json(
            StatusCode::BAD_REQUEST,
            &e.to_string(),
        ))
    })
}

/// Serves until `cancel`. `GET /calls` gives the number of calls, `GET
/// /counts` gives them by path.
pub async fn serve(store: Arc<Store>, listener: TcpListener, cancel: CancellationToken) {
    let expiring = Arc::clone(&store);
    let served = chiverelay_http::run(listener, cancel.clone(), move |req| {
        let store = Arc::clone(&store);
        async move { store.answer(req).await }
    });
    tokio::join!(served, cancel.run_until_cancelled(expiring.expire_leases()));
}
