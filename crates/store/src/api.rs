//! The documents of the store's API. Numbers of 64 bits go as strings and
//! bytes as base64, as its JSON form has them.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Encodes bytes.
pub fn encode(data: &[u8]) -> String {
    BASE64_STANDARD.encode(data)
}

/// Decodes bytes.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    BASE64_STANDARD.decode(text).ok()
}

pub(crate) fn malformed(reason: &str) -> Error {
    Error::Malformed {
        reason: reason.to_owned(),
    }
}

pub(crate) fn number(text: &str) -> Result<i64, Error> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_| malformed("not a number"))
}

/// Returns the end of the range of keys that start with `prefix`.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // An empty or all-ones prefix ranges to the end of the key space.
    vec![0]
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key, in base64.
    pub key: String,
    /// Value, in base64.
    pub value: String,
    /// Revision of the last change.
    pub mod_revision: String,
    /// Lease that the key hangs on; "0" for none.
    pub lease: String,
}

/// The store's state with each answer.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision.
    pub revision: String,
}

/// `POST /v3/kv/range`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key, in base64.
    pub key: String,
    /// Key after the last one, in base64; empty for a single key.
    pub range_end: String,
    /// Whether the values are left out.
    pub keys_only: bool,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The store's state.
    pub header: Header,
    /// The keys found.
    pub kvs: Vec<KeyValue>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key, in base64.
    pub key: String,
    /// What is compared: "MOD" or "VALUE".
    pub target: String,
    /// How it is compared: always "EQUAL".
    pub result: String,
    /// The revision expected; "0" for a key that must not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<String>,
    /// The value expected, in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// Puts a key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key, in base64.
    pub key: String,
    /// Value, in base64.
    pub value: String,
    /// Lease to hang the key on; "0" for none.
    pub lease: String,
}

/// Deletes a key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// Key, in base64.
    pub key: String,
}

/// An operation of a transaction; one field is set.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Puts a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Reads keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Deletes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<RequestOp>,
    /// Operations if they do not.
    pub failure: Vec<RequestOp>,
}

/// The answer to one operation.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Answer to a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer to [`TxnRequest`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The store's state.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Answers in the order of the operations.
    pub responses: Vec<ResponseOp>,
}

/// `POST /v3/kv/compaction`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct CompactionRequest {
    /// Changes before this revision are forgotten.
    pub revision: String,
}

/// `POST /v3/lease/grant`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: String,
}

/// Answer to [`LeaseGrantRequest`] and to a keep-alive.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantResponse {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: String,
    /// Time to live in seconds; "0" or absent if the lease is gone.
    #[serde(rename = "TTL")]
    pub ttl: String,
}

/// `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: String,
}

/// Answer to a keep-alive.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveResponse {
    /// The lease's state.
    pub result: LeaseGrantResponse,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// The keys of a watch and where it starts.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key, in base64.
    pub key: String,
    /// Key after the last one, in base64.
    pub range_end: String,
    /// First revision to be told of; "0" for the next.
    pub start_revision: String,
}

/// One line of a watch's answer.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// What happened.
    pub result: WatchResult,
}

/// Changes of watched keys.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// The store's state.
    pub header: Header,
    /// Whether this line only says that the watch is set up.
    pub created: bool,
    /// Whether the watch has ended, as its start is too old.
    pub canceled: bool,
    /// The changes.
    pub events: Vec<WatchEvent>,
}

/// A change of a key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// "PUT" (or empty) or "DELETE".
    #[serde(rename = "type")]
    pub kind: String,
    /// The key after the change.
    pub kv: KeyValue,
}
