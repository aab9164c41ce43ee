//! Several keys created in one call.

use crate::Entry;
use crate::Error;
use crate::Kind;
use crate::Store;
use crate::api;

/// Most keys of one call.
pub const MAX_BATCH: usize = 64;

/// What became of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Created {
    /// Every key was created.
    All,
    /// No key was created, as these exist.
    Conflict(Vec<Entry>),
}

impl Store {
    /// Creates all of the keys, or none if any of them exists.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; with [`Error::Lost`] the keys may
    /// have been created, and the same call again shows it.
    pub async fn create_all(
        &self,
        keys: &[(String, Vec<u8>)],
        lease: i64,
    ) -> Result<Created, Error> {
        let mut req = api::TxnRequest::default();
        for (key, value) in keys {
            add(&mut req, &api::encode(key.as_bytes()), value, lease);
        }
        let resp: api::TxnResponse = self.call(Kind::Swap, "/v3/kv/txn", &req).await?;
        if resp.succeeded {
            return Ok(Created::All);
        }
        let found: Result<Vec<Entry>, Error> = resp
            .responses
            .iter()
            .filter_map(|r| r.response_range.as_ref())
            .flat_map(|r| r.kvs.iter())
            .map(Entry::read)
            .collect();
        Ok(Created::Conflict(found?))
    }
}

fn add(req: &mut api::TxnRequest, key: &str, value: &[u8], lease: i64) {
    req.compare.push(api::Compare {
        key: key.to_owned(),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Some("0".to_owned()),
        value: None,
    });
    req.success.push(api::RequestOp {
        request_put: Some(api::PutRequest {
            key: key.to_owned(),
            value: api::encode(value),
            lease: lease.to_string(),
        }),
        ..api::RequestOp::default()
    });
    req.failure.push(api::RequestOp {
        request_range: Some(api::RangeRequest {
            key: key.to_owned(),
            ..api::RangeRequest::default()
        }),
        ..api::RequestOp::default()
    });
}
