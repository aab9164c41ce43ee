//! Reads editions from the store and from siblings.

use std::collections::HashMap;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::publication::Chunk;
use chiverelay_decisions::publication::ChunkRef;
use chiverelay_decisions::publication::Fault;
use chiverelay_decisions::publication::Manifest;
use chiverelay_decisions::step::Peer;
use chiverelay_sibling::ConfigParts;
use chiverelay_sibling::ConfigRequest;
use chiverelay_sibling::Link;
use chiverelay_sibling::MAX_PARTS;
use chiverelay_sibling::Message;
use chiverelay_sibling::Up;
use chiverelay_store::Entry;
use thiserror::Error as ThisError;

use super::CHUNK_PREFIX;
use super::Chunks;
use super::Edition;
use super::MANIFEST_KEY;
use crate::context::Context;
use crate::members;

/// Missing chunks from which on they are listed in one call.
const LIST_FROM: usize = 4;

/// Why an edition could not be read.
#[derive(Debug)]
#[derive(ThisError)]
pub(super) enum Error {
    /// The store gave no answer.
    #[error("{0}")]
    Store(#[from] chiverelay_store::Error),
    /// The sibling gave no answer.
    #[error("{0}")]
    Sibling(#[from] chiverelay_sibling::Error),
    /// The edition is refused.
    #[error("configure: {peer}: refused: {fault}")]
    Refused {
        /// Where it came from.
        peer: Peer,
        /// What is wrong.
        fault: Fault,
    },
    /// The sibling has no newer edition.
    #[error("configure: sibling {0}: no newer version")]
    NotNewer(Instance),
    /// The sibling's answer is not to the question.
    #[error("configure: sibling {0}: unexpected answer")]
    Unexpected(Instance),
}

impl Error {
    pub(super) fn refused(peer: Peer, fault: Fault) -> Self {
        Self::Refused { peer, fault }
    }
}

/// Returns the chunks of a manifest that this instance holds already.
fn held(cx: &Context, manifest: &Manifest) -> Chunks {
    let edition = cx.published.get();
    let held = |c: &ChunkRef| Some((c.digest.clone(), edition.chunks.get(&c.digest)?.clone()));
    manifest.chunks.iter().filter_map(held).collect()
}

fn missing<'a>(manifest: &'a Manifest, chunks: &Chunks) -> Vec<&'a ChunkRef> {
    let is_missing = |c: &&ChunkRef| !chunks.contains_key(&c.digest);
    manifest.chunks.iter().filter(is_missing).collect()
}

/// Reads the store's manifest.
pub(super) async fn manifest(cx: &Context) -> Result<Option<(Entry, Manifest)>, Error> {
    let Some(entry) = cx.store.get(MANIFEST_KEY).await? else {
        return Ok(None);
    };
    let manifest =
        Manifest::parse(&entry.value).map_err(|fault| Error::refused(Peer::Store, fault))?;
    Ok(Some((entry, manifest)))
}

/// Reads the chunks of a manifest from the store, but for those held already.
pub(super) async fn from_store(cx: &Context, manifest: Manifest) -> Result<Edition, Error> {
    let mut chunks = held(cx, &manifest);
    let wanted = missing(&manifest, &chunks);
    let mut values = HashMap::new();
    if wanted.len() >= LIST_FROM {
        let entries = cx.store.list(CHUNK_PREFIX).await?;
        values.extend(entries.into_iter().map(|e| (e.key, e.value)));
    } else {
        for chunk in &wanted {
            if let Some(entry) = cx.store.get(&chunk.key).await? {
                values.insert(entry.key, entry.value);
            }
        }
    }
    for chunk in wanted {
        if let Some(value) = values.remove(&chunk.key) {
            chunks.insert(chunk.digest.clone(), Chunk::new(value));
        }
    }
    Ok(Edition { manifest, chunks })
}

async fn ask(
    cx: &Context,
    link: &Link<Up>,
    instance: &Instance,
    digests: Vec<String>,
) -> Result<ConfigParts, Error> {
    let message = Message::ConfigRequest(ConfigRequest { digests });
    match link.ask(cx.events.latest(), message).await?.message {
        Message::Config(parts) => Ok(parts),
        _ => Err(Error::Unexpected(instance.clone())),
    }
}

/// Reads a sibling's edition if it is newer than the one in force.
pub(super) async fn from_sibling(cx: &Context, instance: &Instance) -> Result<Edition, Error> {
    let peer = || Peer::Sibling(instance.clone());
    let link = members::link(cx, instance).await?;
    let parts = ask(cx, &link, instance, Vec::new()).await?;
    let data = parts.manifest.unwrap_or_default();
    let manifest = Manifest::parse(&data).map_err(|fault| Error::refused(peer(), fault))?;
    if manifest.version <= cx.tables.config.get().version {
        return Err(Error::NotNewer(instance.clone()));
    }
    let mut chunks = held(cx, &manifest);
    loop {
        let wanted = missing(&manifest, &chunks);
        let Some(first) = wanted.first() else {
            return Ok(Edition { manifest, chunks });
        };
        let digests = wanted.iter().map(|c| c.digest.to_string()).collect();
        let parts = ask(cx, &link, instance, digests).await?;
        let received = parts.chunks.into_iter().map(Chunk::new);
        chunks.extend(received.map(|c| (c.digest.clone(), c)));
        if !chunks.contains_key(&first.digest) {
            let key = first.key.clone();
            return Err(Error::refused(peer(), Fault::Missing { key }));
        }
    }
}

/// Answers a sibling that asks for the edition in force.
pub(crate) fn answer(cx: &Context, req: &ConfigRequest) -> ConfigParts {
    let edition = cx.published.get();
    if req.digests.is_empty() {
        let known = edition.manifest.version > 0;
        return ConfigParts {
            manifest: known.then(|| edition.manifest.encode()),
            chunks: Vec::new(),
        };
    }
    let mut parts = ConfigParts::default();
    let mut len = 0;
    for digest in &req.digests {
        let Some(chunk) = edition.chunks.get(digest.as_str()) else {
            break;
        };
        len += chunk.data.len();
        if len > MAX_PARTS && !parts.chunks.is_empty() {
            break;
        }
        parts.chunks.push(chunk.data.to_vec());
    }
    parts
}
