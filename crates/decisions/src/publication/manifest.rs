//! The list of a configuration's chunks. The list is stored in parts, and a
//! root record that refers to the parts is replaced last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Chunk;
use super::PublicationError;
use crate::config::Config;

/// Number of latest writes that a root records, see [`Root::descends_from`].
const MAX_HISTORY: usize = 16;

/// Number of chunk references in one part of the list.
const REFS_PER_PART: usize = 32;

/// Maximum number of chunks deleted together with the replacement of the root.
/// A sweep removes the rest.
const MAX_DELETES: usize = 32;

/// Identifies the write of a root by the instance's incarnation and a random
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WriteId {
    /// Incarnation of the writing instance.
    pub incarnation: u64,
    /// Random number, different for each write.
    pub nonce: u64,
}

/// Reference to a chunk, or to a part of the list of chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkRef {
    /// Name under which the store holds the data; never reused.
    pub key: String,
    /// SHA-256 of the data in hexadecimal digits.
    pub digest: Arc<str>,
}

/// The record that makes a version of the configuration current. It refers to
/// the parts of the list of chunks.
///
/// # Invariants
///
/// Every chunk and part was durable before the root was written. `retired`
/// lists those that only the previous root referred to. They are deleted
/// together with the write of the next root or by a later sweep, so that
/// concurrent readers have time to finish. `history` contains the latest
/// writes, newest first, including that of this root.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Root {
    /// Version of the configuration.
    pub version: u64,
    /// References to the parts of the list.
    pub parts: Vec<ChunkRef>,
    /// Names of chunks and parts that only the previous version used.
    pub retired: Vec<String>,
    /// The latest writes, newest first.
    pub history: Vec<WriteId>,
}

/// A root with the complete list of chunks. The store's record named manifest
/// holds only the root.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// The root.
    pub root: Root,
    /// References to all chunks.
    pub chunks: Vec<ChunkRef>,
}

/// The writes and deletions that a configuration change needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WritePlan {
    /// Chunks and parts to write first, with their names.
    pub writes: Vec<(String, Chunk)>,
    /// The manifest whose root is written last.
    pub manifest: Manifest,
    /// Names of chunks and parts to delete together with the write of the root.
    pub deletes: Vec<String>,
}

fn unreadable(key: &str, e: &serde_json::Error) -> PublicationError {
    PublicationError::Unreadable {
        key: key.to_owned(),
        reason: e.to_string(),
    }
}

fn verified_chunk<F>(get: F, chunk_ref: &ChunkRef) -> Result<Chunk, PublicationError>
where
    F: Fn(&ChunkRef) -> Option<Chunk>,
{
    let key = || chunk_ref.key.clone();
    let chunk = get(chunk_ref).ok_or_else(|| PublicationError::Missing { key: key() })?;
    if chunk.digest != chunk_ref.digest {
        return Err(PublicationError::Corrupt { key: key() });
    }
    Ok(chunk)
}

impl Root {
    /// Decodes a root.
    ///
    /// # Errors
    ///
    /// Fails if `data` is not an encoded root.
    pub fn parse(data: &[u8]) -> Result<Self, PublicationError> {
        serde_json::from_slice(data).map_err(|e| unreadable("", &e))
    }

    /// Encodes the root.
    pub fn encode(&self) -> Vec<u8> {
        // INVARIANT: strings, numbers and lists can always be encoded.
        serde_json::to_vec(self).expect("a root can be encoded")
    }

    /// Returns true if the root was written by the write `writer`, or is based
    /// on a root that was.
    pub fn descends_from(&self, writer: WriteId) -> bool {
        self.history.contains(&writer)
    }
}

/// Assigns names to new chunks, and reuses the references of chunks that are
/// already stored.
struct ChunkNamer<'a> {
    existing: BTreeMap<&'a Arc<str>, &'a ChunkRef>,
    prefix: String,
    writes: Vec<(String, Chunk)>,
}

impl ChunkNamer<'_> {
    fn assign_key(&mut self, chunk: &Chunk) -> ChunkRef {
        if let Some(chunk_ref) = self.existing.get(&chunk.digest) {
            return (*chunk_ref).clone();
        }
        let key = format!("{}{}", self.prefix, self.writes.len());
        self.writes.push((key.clone(), chunk.clone()));
        ChunkRef {
            key,
            digest: Arc::clone(&chunk.digest),
        }
    }
}

impl Manifest {
    /// Loads the list of chunks that a root refers to.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or corrupt.
    pub fn load<F>(root: Root, get: F) -> Result<Self, PublicationError>
    where
        F: Fn(&ChunkRef) -> Option<Chunk>,
    {
        let mut chunks = Vec::new();
        for part in &root.parts {
            let data = verified_chunk(&get, part)?.data;
            let part: Vec<ChunkRef> =
                serde_json::from_slice(&data).map_err(|e| unreadable(&part.key, &e))?;
            chunks.extend(part);
        }
        Ok(Self { root, chunks })
    }

    /// Returns the references to all parts and chunks.
    pub fn refs(&self) -> impl Iterator<Item = &ChunkRef> {
        self.root.parts.iter().chain(&self.chunks)
    }

    /// Plans the change from this manifest to one with the given chunks. Names
    /// of new chunks start with `prefix`.
    pub fn plan(&self, version: u64, chunks: &[Chunk], writer: WriteId, prefix: &str) -> WritePlan {
        let mut namer = ChunkNamer {
            existing: self.refs().map(|c| (&c.digest, c)).collect(),
            prefix: format!("{prefix}{version}-{:016x}-", writer.nonce),
            writes: Vec::new(),
        };
        let chunks: Vec<_> = chunks.iter().map(|chunk| namer.assign_key(chunk)).collect();
        let parts = chunks.chunks(REFS_PER_PART).map(|part| {
            // INVARIANT: strings can always be encoded.
            let data = serde_json::to_vec(part).expect("a part can be encoded");
            namer.assign_key(&Chunk::new(data))
        });
        let parts = parts.collect();
        let writes = namer.writes;
        let mut history = vec![writer];
        history.extend(self.root.history.iter().take(MAX_HISTORY - 1));
        let root = Root {
            version,
            parts,
            retired: Vec::new(),
            history,
        };
        let mut manifest = Self { root, chunks };
        manifest.root.retired = self.keys_not_in(&manifest);
        let deletes = self.root.retired.iter().take(MAX_DELETES);
        WritePlan {
            writes,
            manifest,
            deletes: deletes.cloned().collect(),
        }
    }

    fn keys_not_in(&self, next: &Self) -> Vec<String> {
        let kept: BTreeSet<_> = next.refs().map(|c| &c.key).collect();
        let keys = self.refs().map(|c| &c.key);
        keys.filter(|key| !kept.contains(key)).cloned().collect()
    }

    /// Assembles the configuration from its chunks.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is missing or corrupt, or if the configuration is
    /// invalid.
    pub fn assemble<F>(&self, get: F) -> Result<Config, PublicationError>
    where
        F: Fn(&ChunkRef) -> Option<Chunk>,
    {
        let mut config = Config::default();
        for chunk_ref in &self.chunks {
            let chunk = verified_chunk(&get, chunk_ref)?;
            let part: Config =
                serde_json::from_slice(&chunk.data).map_err(|e| unreadable(&chunk_ref.key, &e))?;
            config.routes.extend(part.routes);
            config.pools.extend(part.pools);
            config.accounts.extend(part.accounts);
            config.keys.extend(part.keys);
        }
        config.version = self.root.version;
        match config.check().into_iter().next() {
            None => Ok(config),
            Some(fault) => Err(PublicationError::InvalidConfig {
                path: fault.path,
                reason: fault.reason,
            }),
        }
    }
}
