//! Compare-and-swap, settled after lost answers.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::backoff::Backoff;

use crate::Entry;
use crate::Error;
use crate::Held;
use crate::Kind;
use crate::Lease;
use crate::Store;
use crate::api;

/// Sends of one write before its outcome counts as unknown.
const SENDS: u32 = 4;

/// Delays between the sends of one write.
const RESENDS: Backoff = Backoff {
    base: Duration::from_millis(100),
    cap: Duration::from_secs(1),
};

/// What became of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written at this revision.
    Done(i64),
    /// Another value stands there, or none.
    Conflict(Option<Entry>),
}

/// What became of a settled compare-and-swap.
#[derive(Debug)]
pub enum Settled {
    /// The value was written. Another may stand there by now.
    Done,
    /// The value was not written, as this entry or none stands there.
    Conflict(Option<Entry>),
    /// The value may be written, or may yet be.
    Unknown(Error),
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Arc<[u8]>,
}

/// A compare-and-swap of one key, with keys that are written or deleted along
/// with it.
#[derive(Clone, Copy, Debug)]
pub struct Write<'a> {
    /// Key.
    pub key: &'a str,
    /// The entry that is expected to stand there; `None` for no such key.
    ///
    /// Its value is compared too, as a store that came back from an older copy
    /// gives revisions out again.
    pub expected: Option<&'a Entry>,
    /// Value.
    pub value: &'a [u8],
    /// Lease on which the key is to hang.
    pub lease: Option<&'a Lease<Held>>,
    /// Further keys that are written with it.
    pub puts: &'a [Put],
    /// Keys that are deleted with it.
    pub deletes: &'a [String],
}

fn compare(key: &str, expected: Option<&Entry>) -> Vec<api::Compare> {
    let key = api::encode(key.as_bytes());
    let revision = expected.map_or(0, |entry| entry.revision);
    let revision = api::Compare {
        key: key.clone(),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Some(revision.to_string()),
        value: None,
    };
    let value = expected.map(|entry| api::Compare {
        key,
        target: "VALUE".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: None,
        value: Some(api::encode(&entry.value)),
    });
    std::iter::once(revision).chain(value).collect()
}

fn delete(key: &str) -> api::RequestOp {
    api::RequestOp {
        request_delete_range: Some(api::DeleteRequest {
            key: api::encode(key.as_bytes()),
        }),
        ..api::RequestOp::default()
    }
}

fn put(key: &str, value: &[u8], lease: i64) -> api::RequestOp {
    api::RequestOp {
        request_put: Some(api::PutRequest {
            key: api::encode(key.as_bytes()),
            value: api::encode(value),
            lease: lease.to_string(),
        }),
        ..api::RequestOp::default()
    }
}

impl<'a> Write<'a> {
    /// Makes a write of one key alone.
    fn alone(
        key: &'a str,
        expected: Option<&'a Entry>,
        value: &'a [u8],
        lease: Option<&'a Lease<Held>>,
    ) -> Self {
        Self {
            key,
            expected,
            value,
            lease,
            puts: &[],
            deletes: &[],
        }
    }

    fn request(&self) -> api::TxnRequest {
        let key = api::encode(self.key.as_bytes());
        let lease = self.lease.map_or(0, Lease::id);
        let puts = self.puts.iter().map(|p| put(&p.key, &p.value, lease));
        let read = api::RequestOp {
            request_range: Some(api::RangeRequest {
                key,
                ..api::RangeRequest::default()
            }),
            ..api::RequestOp::default()
        };
        api::TxnRequest {
            compare: compare(self.key, self.expected),
            success: std::iter::once(put(self.key, self.value, lease))
                .chain(puts)
                .chain(self.deletes.iter().map(|key| delete(key)))
                .collect(),
            failure: vec![read],
        }
    }
}

impl Store {
    /// Writes a key if `expected` stands there; `None` for no such key.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; unless [`Error::is_unsent`] the
    /// value may have been written.
    pub async fn swap(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
        lease: Option<&Lease<Held>>,
    ) -> Result<Swap, Error> {
        self.write(&Write::alone(key, expected, value, lease)).await
    }

    /// Deletes keys in one call, whatever stands there.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; the keys may be gone nevertheless.
    pub async fn delete(&self, keys: &[String]) -> Result<(), Error> {
        let req = api::TxnRequest {
            success: keys.iter().map(|key| delete(key)).collect(),
            ..api::TxnRequest::default()
        };
        let _: api::TxnResponse = self.call(Kind::Delete, "/v3/kv/txn", &req).await?;
        Ok(())
    }

    /// Deletes an entry if it stands as it was read; false if not.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; the key may be gone nevertheless.
    pub async fn remove(&self, entry: &Entry) -> Result<bool, Error> {
        let req = api::TxnRequest {
            compare: compare(&entry.key, Some(entry)),
            success: vec![delete(&entry.key)],
            failure: Vec::new(),
        };
        let resp: api::TxnResponse = self.call(Kind::Delete, "/v3/kv/txn", &req).await?;
        Ok(resp.succeeded)
    }

    /// Carries out a compare-and-swap.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; unless [`Error::is_unsent`] the
    /// value may have been written.
    pub async fn write(&self, write: &Write<'_>) -> Result<Swap, Error> {
        if write.lease.is_some_and(|lease| !lease.is_valid()) {
            return Err(Error::Lapsed);
        }
        let resp: api::TxnResponse = self
            .call(Kind::Swap, "/v3/kv/txn", &write.request())
            .await?;
        if resp.succeeded {
            return Ok(Swap::Done(api::number(&resp.header.revision)?));
        }
        let found = resp
            .responses
            .first()
            .and_then(|r| r.response_range.as_ref())
            .and_then(|r| r.kvs.first());
        Ok(Swap::Conflict(found.map(Entry::read).transpose()?))
    }

    /// Carries out a compare-and-swap and finds out what became of it if its
    /// answer is lost. The value must be unlike any other writer's, by the
    /// writer's incarnation and a nonce in it; `mine` tells whether a value
    /// found in its place is this one or follows from it.
    ///
    /// The write is sent again as it is: the entry that it expects lets it
    /// take effect once only, also if the first send arrives late.
    ///
    /// # Errors
    ///
    /// Fails if the store can't have seen the write.
    pub async fn write_settled<F>(&self, write: &Write<'_>, mine: F) -> Result<Settled, Error>
    where
        F: Fn(&[u8]) -> bool,
    {
        let mut lost = match self.write(write).await {
            Ok(Swap::Done(_)) => return Ok(Settled::Done),
            Ok(Swap::Conflict(found)) => return Ok(Settled::Conflict(found)),
            Err(e) if e.is_unsent() => return Err(e),
            Err(e) => e,
        };
        for send in 1..SENDS {
            tokio::time::sleep(RESENDS.delay(send, rand::random())).await;
            match self.write(write).await {
                Ok(Swap::Done(_)) => return Ok(Settled::Done),
                Ok(Swap::Conflict(Some(found))) if mine(&found.value) => return Ok(Settled::Done),
                Ok(Swap::Conflict(found)) => return Ok(Settled::Conflict(found)),
                Err(e) => lost = e,
            }
        }
        Ok(Settled::Unknown(lost))
    }

    /// Is [`Store::write_settled`] for a value whose writer is alone in
    /// following up on it.
    ///
    /// # Errors
    ///
    /// Fails if the store can't have seen the write.
    pub async fn swap_settled(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
        lease: Option<&Lease<Held>>,
    ) -> Result<Settled, Error> {
        let write = Write::alone(key, expected, value, lease);
        self.write_settled(&write, |found| found == value).await
    }
}
