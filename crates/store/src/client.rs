//! Calls of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_http::Client;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::Budget;
use crate::Error;
use crate::Gate;
use crate::Held;
use crate::Kind;
use crate::Lease;
use crate::api;

/// A value with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: i64,
}

/// The keys of a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The store's revision.
    pub revision: i64,
    /// The keys in their order.
    pub entries: Vec<Entry>,
}

/// A client of the store, which paces and counts its calls.
#[derive(Clone, Debug)]
pub struct Store {
    pub(crate) http: Client,
    pub(crate) address: SocketAddr,
    pub(crate) timeout: Duration,
    pub(crate) gate: Arc<Gate>,
}

impl Entry {
    pub(crate) fn read(kv: &api::KeyValue) -> Result<Self, Error> {
        let key = api::decode(&kv.key).ok_or_else(|| api::malformed("key"))?;
        Ok(Self {
            key: String::from_utf8(key).map_err(|_| api::malformed("key"))?,
            value: api::decode(&kv.value).ok_or_else(|| api::malformed("value"))?,
            revision: api::number(&kv.mod_revision)?,
        })
    }
}

impl Store {
    /// Makes a client whose calls wait for their turn and for their answer
    /// for at most `timeout` each.
    pub fn new(address: SocketAddr, budget: Budget, timeout: Duration) -> Self {
        Self {
            http: Client::new(timeout),
            address,
            timeout,
            gate: Arc::new(Gate::new(budget, rand::random())),
        }
    }

    /// Returns what admits the calls: counts, rate and session.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    pub(crate) async fn call<Q, R>(&self, kind: Kind, path: &str, req: &Q) -> Result<R, Error>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let (_, resp) = self.timed_call(kind, path, req).await?;
        Ok(resp)
    }

    async fn timed_call<Q, R>(&self, kind: Kind, path: &str, req: &Q) -> Result<(Instant, R), Error>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let permit = self.gate.enter(kind, self.timeout).await?;
        let started = permit.started();
        let result = self.exchange(path, req).await;
        permit.end(&result);
        Ok((started, result?))
    }

    async fn exchange<Q, R>(&self, path: &str, req: &Q) -> Result<R, Error>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let resp = self
            .http
            .send_json(Method::POST, self.address, path, req)
            .await?;
        if !resp.status.is_success() {
            return Err(Error::Refused {
                status: resp.status.as_u16(),
            });
        }
        Ok(resp.json()?)
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let req = api::RangeRequest {
            key: api::encode(key.as_bytes()),
            ..api::RangeRequest::default()
        };
        let resp: api::RangeResponse = self.call(Kind::Get, "/v3/kv/range", &req).await?;
        resp.kvs.first().map(Entry::read).transpose()
    }

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        Ok(self.list_at(prefix).await?.entries)
    }

    /// Reads every key that starts with `prefix`, with the revision at which
    /// they stand so.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn list_at(&self, prefix: &str) -> Result<Listing, Error> {
        self.range(prefix, false).await
    }

    /// Reads every key that starts with `prefix`, with its revision and
    /// without its value.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn list_keys(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        Ok(self.range(prefix, true).await?.entries)
    }

    async fn range(&self, prefix: &str, keys_only: bool) -> Result<Listing, Error> {
        let req = api::RangeRequest {
            key: api::encode(prefix.as_bytes()),
            range_end: api::encode(&api::range_end(prefix.as_bytes())),
            keys_only,
        };
        let resp: api::RangeResponse = self.call(Kind::List, "/v3/kv/range", &req).await?;
        let entries: Result<_, _> = resp.kvs.iter().map(Entry::read).collect();
        Ok(Listing {
            revision: api::number(&resp.header.revision)?,
            entries: entries?,
        })
    }

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer in time.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<Lease<Held>, Error> {
        let ttl = Duration::from_secs(ttl.as_secs().max(1));
        let req = api::LeaseGrantRequest {
            ttl: ttl.as_secs().to_string(),
        };
        let (sent, resp): (_, api::LeaseGrantResponse) = self
            .timed_call(Kind::Grant, "/v3/lease/grant", &req)
            .await?;
        Ok(Lease::new(api::number(&resp.id)?, ttl, sent))
    }

    /// Renews a lease; `None` if it is gone, else when the call was sent.
    pub(crate) async fn renew(&self, lease: i64) -> Result<Option<Instant>, Error> {
        let req = api::LeaseRequest {
            id: lease.to_string(),
        };
        let (sent, resp): (_, api::LeaseKeepAliveResponse) = self
            .timed_call(Kind::Renew, "/v3/lease/keepalive", &req)
            .await?;
        Ok((api::number(&resp.result.ttl)? > 0).then_some(sent))
    }

    /// Gives a lease back, and with it every key that hangs on it.
    pub(crate) async fn revoke(&self, lease: i64) -> Result<(), Error> {
        let req = api::LeaseRequest {
            id: lease.to_string(),
        };
        let _: serde_json::Value = self.call(Kind::Revoke, "/v3/lease/revoke", &req).await?;
        Ok(())
    }
}
