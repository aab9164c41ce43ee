//! Calls of the store.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_http::Client;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
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

/// What became of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written at this revision.
    Done(i64),
    /// Another value stands there, or none.
    Conflict(Option<Entry>),
}

/// A client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    http: Client,
    address: SocketAddr,
}

fn malformed(reason: &str) -> Error {
    Error::Malformed {
        reason: reason.to_owned(),
    }
}

fn number(text: &str) -> Result<i64, Error> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_| malformed("not a number"))
}

impl Entry {
    pub(crate) fn read(kv: &api::KeyValue) -> Result<Self, Error> {
        let key = api::decode(&kv.key).ok_or_else(|| malformed("key"))?;
        Ok(Self {
            key: String::from_utf8(key).map_err(|_| malformed("key"))?,
            value: api::decode(&kv.value).ok_or_else(|| malformed("value"))?,
            revision: number(&kv.mod_revision)?,
        })
    }
}

impl Store {
    /// Makes a client whose calls end within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: Client::new(timeout),
            address,
        }
    }

    pub(crate) async fn call<Q, R>(&self, path: &str, req: &Q) -> Result<R, Error>
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
            range_end: String::new(),
        };
        let resp: api::RangeResponse = self.call("/v3/kv/range", &req).await?;
        resp.kvs.first().map(Entry::read).transpose()
    }

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let req = api::RangeRequest {
            key: api::encode(prefix.as_bytes()),
            range_end: api::encode(&api::range_end(prefix.as_bytes())),
        };
        let resp: api::RangeResponse = self.call("/v3/kv/range", &req).await?;
        resp.kvs.iter().map(Entry::read).collect()
    }

    /// Writes a key if its last change was at `expected`; 0 for no such key.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; with [`Error::Lost`] the value may
    /// have been written.
    pub async fn swap(
        &self,
        key: &str,
        expected: i64,
        value: &[u8],
        lease: i64,
    ) -> Result<Swap, Error> {
        let encoded = api::encode(key.as_bytes());
        let req = api::TxnRequest {
            compare: vec![api::Compare {
                key: encoded.clone(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: expected.to_string(),
            }],
            success: vec![api::RequestOp {
                request_put: Some(api::PutRequest {
                    key: encoded.clone(),
                    value: api::encode(value),
                    lease: lease.to_string(),
                }),
                ..api::RequestOp::default()
            }],
            failure: vec![api::RequestOp {
                request_range: Some(api::RangeRequest {
                    key: encoded,
                    range_end: String::new(),
                }),
                ..api::RequestOp::default()
            }],
        };
        let resp: api::TxnResponse = self.call("/v3/kv/txn", &req).await?;
        if resp.succeeded {
            return Ok(Swap::Done(number(&resp.header.revision)?));
        }
        let found = resp
            .responses
            .first()
            .and_then(|r| r.response_range.as_ref())
            .and_then(|r| r.kvs.first());
        Ok(Swap::Conflict(found.map(Entry::read).transpose()?))
    }

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<i64, Error> {
        let req = api::LeaseGrantRequest {
            TTL: ttl.as_secs().max(1).to_string(),
        };
        let resp: api::LeaseGrantResponse = self.call("/v3/lease/grant", &req).await?;
        number(&resp.ID)
    }

    /// Renews a lease; false if it is gone.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn renew_lease(&self, lease: i64) -> Result<bool, Error> {
        let req = api::LeaseRequest {
            ID: lease.to_string(),
        };
        let resp: api::LeaseKeepAliveResponse = self.call("/v3/lease/keepalive", &req).await?;
        Ok(number(&resp.result.TTL)? > 0)
    }

    /// Gives a lease back, and with it every key that hangs on it.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn revoke_lease(&self, lease: i64) -> Result<(), Error> {
        let req = api::LeaseRequest {
            ID: lease.to_string(),
        };
        let _: serde_json::Value = self.call("/v3/lease/revoke", &req).await?;
        Ok(())
    }
}
