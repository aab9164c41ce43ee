//! The list of a configuration's chunks, which is switched last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error as ThisError;

use super::Chunk;
use crate::config::Config;

/// Earlier writers that a manifest names.
const HISTORY: usize = 16;

/// Who wrote a manifest: an instance's incarnation and a random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Writer {
    /// The instance's incarnation.
    pub incarnation: u64,
    /// Unlike that of any other write.
    pub nonce: u64,
}

/// A chunk as a manifest names it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkRef {
    /// Name of the chunk's value, never used twice.
    pub key: String,
    /// SHA-256 of the chunk in hexadecimal digits.
    pub digest: Arc<str>,
}

/// Why a configuration is refused. The last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Fault {
    /// A chunk is missing.
    #[error("chunk {key} is missing")]
    Missing {
        /// The chunk's name.
        key: String,
    },
    /// A chunk is not the one that was written.
    #[error("chunk {key} is corrupt")]
    Corrupt {
        /// The chunk's name.
        key: String,
    },
    /// A chunk or the manifest can't be read.
    #[error("{key}: {reason}")]
    Unreadable {
        /// The chunk's name; empty for the manifest.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// An entry is too large.
    #[error("a chunk would have {len} bytes")]
    TooLarge {
        /// Size of the chunk in bytes.
        len: usize,
    },
    /// The tables taken together are faulty.
    #[error("{}: {reason}", path.join("."))]
    Tables {
        /// Path of keys to the faulty value.
        path: Vec<String>,
        /// What is wrong.
        reason: String,
    },
}

/// A version of the configuration as the list of its chunks.
///
/// # Invariants
///
/// Every chunk was durable before the manifest was. A chunk that the next
/// manifest no longer names is in its `retired` and deleted with the one
/// after, so that a reader has time. `history` holds the latest writers,
/// newest first, this manifest's own among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// The configuration's version.
    pub version: u64,
    /// The chunks.
    pub chunks: Vec<ChunkRef>,
    /// Names of chunks of the version before.
    pub retired: Vec<String>,
    /// The latest writers.
    pub history: Vec<Writer>,
}

/// What a change of the configuration writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Chunks to write first, with their names.
    pub writes: Vec<(String, Chunk)>,
    /// The manifest to switch to last.
    pub manifest: Manifest,
    /// Chunks to delete together with the switch.
    pub deletes: Vec<String>,
}

impl Manifest {
    /// Reads a manifest.
    ///
    /// # Errors
    ///
    /// Fails if `data` is no manifest.
    pub fn parse(data: &[u8]) -> Result<Self, Fault> {
        serde_json::from_slice(data).map_err(|e| Fault::Unreadable {
            key: String::new(),
            reason: e.to_string(),
        })
    }

    /// Encodes the manifest.
    pub fn encode(&self) -> Vec<u8> {
        // INVARIANT: strings, numbers and lists can always be encoded.
        serde_json::to_vec(self).expect("a manifest can be encoded")
    }

    /// Plans the change from this manifest to one with other chunks. Names of
    /// new chunks start with `prefix`.
    pub fn plan(&self, version: u64, chunks: &[Chunk], writer: Writer, prefix: &str) -> Plan {
        let known: BTreeMap<_, _> = self.chunks.iter().map(|c| (&c.digest, c)).collect();
        let mut refs = Vec::new();
        let mut writes = Vec::new();
        for (i, chunk) in chunks.iter().enumerate() {
            if let Some(kept) = known.get(&chunk.digest) {
                refs.push((*kept).clone());
                continue;
            }
            let key = format!("{prefix}{version}-{:016x}-{i}", writer.nonce);
            refs.push(ChunkRef {
                key: key.clone(),
                digest: Arc::clone(&chunk.digest),
            });
            writes.push((key, chunk.clone()));
        }
        let kept: BTreeSet<_> = refs.iter().map(|c| &c.key).collect();
        let retired = self.chunks.iter().map(|c| &c.key);
        let retired = retired.filter(|key| !kept.contains(key)).cloned().collect();
        let mut history = vec![writer];
        history.extend(self.history.iter().take(HISTORY - 1));
        Plan {
            writes,
            manifest: Self {
                version,
                chunks: refs,
                retired,
                history,
            },
            deletes: self.retired.clone(),
        }
    }

    /// Tells whether the manifest was written by `writer` or follows from
    /// what it wrote.
    pub fn follows(&self, writer: Writer) -> bool {
        self.history.contains(&writer)
    }

    /// Puts the configuration together from its chunks.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is missing or not the one that was written, or if the
    /// tables are faulty.
    pub fn assemble<F>(&self, get: F) -> Result<Config, Fault>
    where
        F: Fn(&ChunkRef) -> Option<Chunk>,
    {
        let mut config = Config::default();
        for chunk_ref in &self.chunks {
            let key = || chunk_ref.key.clone();
            let chunk = get(chunk_ref).ok_or_else(|| Fault::Missing { key: key() })?;
            if chunk.digest != chunk_ref.digest {
                return Err(Fault::Corrupt { key: key() });
            }
            let part: Config =
                serde_json::from_slice(&chunk.data).map_err(|e| Fault::Unreadable {
                    key: key(),
                    reason: e.to_string(),
                })?;
            config.routes.extend(part.routes);
            config.pools.extend(part.pools);
            config.accounts.extend(part.accounts);
            config.keys.extend(part.keys);
        }
        config.version = self.version;
        match config.check().into_iter().next() {
            None => Ok(config),
            Some(fault) => Err(Fault::Tables {
                path: fault.path,
                reason: fault.reason,
            }),
        }
    }
}
