//! A key-value store with compare-and-swap, leases and watches, in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chiverelay_http::Body;
use chiverelay_store::api;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::faults::Script;

/// Largest request in bytes: a value of a megabyte in base64, and some.
const MAX_BODY: usize = 2 * 1024 * 1024;

/// A store's state.
#[derive(Debug, Default)]
pub struct Store {
    /// Scripted faults.
    pub script: Script,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Value>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    calls: u64,
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

impl Inner {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.until > now);
        let leases = &self.leases;
        self.keys
            .retain(|_, v| v.lease == 0 || leases.contains_key(&v.lease));
    }

    fn range(&self, req: &api::RangeRequest) -> api::RangeResponse {
        let key = api::decode(&req.key).unwrap_or_default();
        let end = api::decode(&req.range_end).unwrap_or_default();
        let kvs = self
            .keys
            .iter()
            .filter(|(k, _)| match end.as_slice() {
                [] => **k == key,
                [0] => **k >= key,
                end => **k >= key && k.as_slice() < end,
            })
            .map(|(k, v)| api::KeyValue {
                key: api::encode(k),
                value: v.data.clone(),
                mod_revision: v.revision.to_string(),
                lease: v.lease.to_string(),
            })
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
            self.keys
                .insert(api::decode(&put.key).unwrap_or_default(), value);
        }
        if let Some(delete) = &op.request_delete_range {
            self.keys
                .remove(&api::decode(&delete.key).unwrap_or_default());
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

impl Store {
    /// Returns the calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/calls" {
            return chiverelay_http::json(StatusCode::OK, &self.calls());
        }
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
        let body: serde_json::Value = chiverelay_http::read_json(req, MAX_BODY).await?;
        let mut inner = self.lock();
        let now = Instant::now();
        inner.calls += 1;
        inner.expire(now);
        match path.as_str() {
            "/v3/kv/range" => Ok(ok(&inner.range(&parse(body)?))),
            "/v3/kv/txn" => Ok(ok(&inner.txn(&parse(body)?))),
            "/v3/lease/grant" => Ok(ok(&inner.grant(&parse(body)?, now))),
            "/v3/lease/keepalive" => Ok(ok(&inner.renew(&parse(body)?, now))),
            "/v3/lease/revoke" => {
                inner.revoke(&parse(body)?);
                inner.expire(now);
                Ok(ok(&serde_json::json!({})))
            }
            _ => Err(Box::new(chiverelay_http::empty(StatusCode::NOT_FOUND))),
        }
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

/// Serves until `cancel`. `GET /calls` gives the number of calls.
pub async fn serve(store: Arc<Store>, listener: TcpListener, cancel: CancellationToken) {
    chiverelay_http::run(listener, cancel, move |req| {
        let store = Arc::clone(&store);
        async move { store.answer(req).await }
    })
    .await;
}
