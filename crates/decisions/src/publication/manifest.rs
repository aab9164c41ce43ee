//! The list of a configuration's chunks, in parts under a root that is
//! switched last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Chunk;
use super::PublicationError;
use crate::config::Config;

/// Earlier writers that a root names.
const MAX_HISTORY: usize = 16;

/// Chunks that one part of the list names.
const REFS_PER_PART: usize = 32;

/// Chunks deleted together with the switch; the sweep removes the others.
const MAX_DELETES: usize = 32;

/// Who wrote a root: an instance's incarnation and a random number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WriterId {
    /// The instance's incarnation.
    pub incarnation: u64,
    /// Unlike that of any other write.
    pub nonce: u64,
}

/// A chunk as the list names it, or a part of the list as the root does.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkRef {
    /// Name of the chunk's value, never used twice.
    pub key: String,
    /// SHA-256 of the chunk in hexadecimal digits.
    pub digest: Arc<str>,
}

/// A version of the configuration as it is switched: the parts of the list of
/// its chunks.
///
/// # Invariants
///
/// Every chunk and part was durable before the root was. One that the next
/// root no longer leads to is in its `retired` and deleted with the one after
/// or swept later, so that a reader has time. `history` holds the latest
/// writers, newest first, this root's own among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Root {
    /// The configuration's version.
    pub version: u64,
    /// The parts of the list.
    pub parts: Vec<ChunkRef>,
    /// Names of chunks and parts of the version before.
    pub retired: Vec<String>,
    /// The latest writers.
    pub history: Vec<WriterId>,
}

/// A root with the list that it leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// The root.
    pub root: Root,
    /// The chunks.
    pub chunks: Vec<ChunkRef>,
}

/// What a change of the configuration writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WritePlan {
    /// Chunks and parts to write first, with their names.
    pub writes: Vec<(String, Chunk)>,
    /// The manifest whose root is to be switched to last.
    pub manifest: Manifest,
    /// Chunks and parts to delete together with the switch.
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
    /// Reads a root.
    ///
    /// # Errors
    ///
    /// Fails if `data` is no root.
    pub fn parse(data: &[u8]) -> Result<Self, PublicationError> {
        serde_json::from_slice(data).map_err(|e| unreadable("", &e))
    }

    /// Encodes the root.
    pub fn encode(&self) -> Vec<u8> {
        // INVARIANT: strings, numbers and lists can always be encoded.
        serde_json::to_vec(self).expect("a root can be encoded")
    }

    /// Tells whether the root was written by `writer` or follows from what it
    /// wrote.
    pub fn descends_from(&self, writer: WriterId) -> bool {
        self.history.contains(&writer)
    }
}

/// Names what a change writes, and keeps the names of what stands already.
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
    /// Reads the list that a root leads to.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or not the one that was written.
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

    /// Returns the parts and the chunks.
    pub fn refs(&self) -> impl Iterator<Item = &ChunkRef> {
        self.root.parts.iter().chain(&self.chunks)
    }

    /// Plans the change from this manifest to one with other chunks. Names of
    /// new chunks start with `prefix`.
    pub fn plan(
        &self,
        version: u64,
        chunks: &[Chunk],
        writer: WriterId,
        prefix: &str,
    ) -> WritePlan {
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
        manifest.root.retired = self.refs_dropped_by(&manifest);
        let deletes = self.root.retired.iter().take(MAX_DELETES);
        WritePlan {
            writes,
            manifest,
            deletes: deletes.cloned().collect(),
        }
    }

    fn refs_dropped_by(&self, next: &Self) -> Vec<String> {
        let kept: BTreeSet<_> = next.refs().map(|c| &c.key).collect();
        let own = self.refs().map(|c| &c.key);
        own.filter(|key| !kept.contains(key)).cloned().collect()
    }

    /// Puts the configuration together from its chunks.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is missing or not the one that was written, or if the
    /// tables are faulty.
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
            Some(fault) => Err(PublicationError::Tables {
                path: fault.path,
                reason: fault.reason,
            }),
        }
    }
}
