//! Splits a configuration into chunks that each fit into one value of the
//! store.
//!
//! Each table is split by the hash of the entry names, so that changing one
//! entry changes only one chunk.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;

use super::PublicationError;
use crate::config::Config;
use crate::config::hex;

/// Maximum size of a chunk in bytes; the store accepts values of up to one
/// megabyte.
pub const MAX_CHUNK_BYTES: usize = 900 * 1024;

/// Upper limit of the mean chunk size in bytes.
const MEAN_CHUNK_BYTES: usize = 8 * 1024;

/// A part of a configuration.
///
/// # Invariants
///
/// `digest` is the SHA-256 of `data` in hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The part, encoded as a JSON document of [`Config`].
    pub data: Arc<[u8]>,
    /// Digest of the data.
    pub digest: Arc<str>,
}

impl Chunk {
    /// Creates a chunk from encoded data and computes its digest.
    pub fn new(data: Vec<u8>) -> Self {
        Self {
            digest: hex(&Sha256::digest(&data)).into(),
            data: data.into(),
        }
    }
}

/// Splits a configuration into chunks. The version is not part of any chunk.
///
/// # Errors
///
/// Fails if one entry is too large for a chunk.
pub fn split(config: &Config) -> Result<Vec<Chunk>, PublicationError> {
    let mut chunks = Vec::new();
    for routes in split_table(&config.routes)? {
        chunks.push(Config {
            routes,
            ..Config::default()
        });
    }
    for pools in split_table(&config.pools)? {
        chunks.push(Config {
            pools,
            ..Config::default()
        });
    }
    for accounts in split_table(&config.accounts)? {
        chunks.push(Config {
            accounts,
            ..Config::default()
        });
    }
    for keys in split_table(&config.keys)? {
        chunks.push(Config {
            keys,
            ..Config::default()
        });
    }
    chunks.iter().map(encode).collect()
}

fn encode(part: &Config) -> Result<Chunk, PublicationError> {
    let data = to_json(part)?;
    if data.len() > MAX_CHUNK_BYTES {
        return Err(PublicationError::TooLarge { len: data.len() });
    }
    Ok(Chunk::new(data))
}

fn to_json<T>(value: &T) -> Result<Vec<u8>, PublicationError>
where
    T: Serialize,
{
    serde_json::to_vec(value).map_err(|e| PublicationError::Unreadable {
        key: String::new(),
        reason: e.to_string(),
    })
}

fn split_table<K, V>(table: &BTreeMap<K, V>) -> Result<Vec<BTreeMap<K, V>>, PublicationError>
where
    K: Clone + Ord + AsRef<str> + Serialize,
    V: Clone + Serialize,
{
    if table.is_empty() {
        return Ok(Vec::new());
    }
    let parts = to_json(table)?
        .len()
        .div_ceil(MEAN_CHUNK_BYTES)
        .next_power_of_two();
    let mut divided = vec![BTreeMap::new(); parts];
    for (name, entry) in table {
        let part = xxh3_64(name.as_ref().as_bytes()) as usize % parts;
        divided[part].insert(name.clone(), entry.clone());
    }
    divided.retain(|part| !part.is_empty());
    Ok(divided)
}
