//! Reads editions from the store and from siblings.

use std::collections::HashMap;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::publication::Chunk;
use chiverelay_decisions::publication::ChunkRef;
use chiverelay_decisions::publication::Manifest;
use chiverelay_decisions::publication::PublicationError;
use chiverelay_decisions::publication::Root;
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
        fault: PublicationError,
    },
    /// The sibling has no newer edition.
    #[error("configure: sibling {0}: no newer version")]
    NotNewer(Instance),
    /// The sibling's answer is not to the question.
    #[error("configure: sibling {0}: unexpected answer")]
    Unexpected(Instance),
}

impl Error {
    pub(super) fn refused(peer: Peer, fault: PublicationError) -> Self {
        Self::Refused { peer, fault }
    }
}

/// Adds what this instance holds already.
fn add_held(cx: &Context, refs: &[ChunkRef], chunks: &mut Chunks) {
    let edition = cx.published.get();
    let held = |c: &ChunkRef| Some((c.digest.clone(), edition.chunks.get(&c.digest)?.clone()));
    chunks.extend(refs.iter().filter_map(held));
}

fn missing<'a>(refs: &'a [ChunkRef], chunks: &Chunks) -> Vec<&'a ChunkRef> {
    let is_missing = |c: &&ChunkRef| !chunks.contains_key(&c.digest);
    refs.iter().filter(is_missing).collect()
}

/// Reads the store's root.
pub(super) async fn root(cx: &Context) -> Result<Option<(Entry, Root)>, Error> {
    let Some(entry) = cx.store.get(MANIFEST_KEY).await? else {
        return Ok(None);
    };
    let root = Root::parse(&entry.value).map_err(|fault| Error::refused(Peer::Store, fault))?;
    Ok(Some((entry, root)))
}

/// Values of chunks read from the store.
///
/// # Invariants
///
/// Once `listed`, every chunk that stood then is among `values`, but for those
/// taken out.
#[derive(Default)]
struct Values {
    values: HashMap<String, Vec<u8>>,
    listed: bool,
}

impl Values {
    /// Reads what `chunks` lacks of `refs`.
    async fn add(
        &mut self,
        cx: &Context,
        refs: &[ChunkRef],
        chunks: &mut Chunks,
    ) -> Result<(), Error> {
        add_held(cx, refs, chunks);
        let wanted = missing(refs, chunks);
        if wanted.len() >= LIST_FROM && !self.listed {
            let entries = cx.store.list(CHUNK_PREFIX).await?;
            self.values
                .extend(entries.into_iter().map(|e| (e.key, e.value)));
            self.listed = true;
        }
        for chunk in wanted {
            let value = match self.values.remove(&chunk.key) {
                None if !self.listed => cx.store.get(&chunk.key).await?.map(|e| e.value),
                value => value,
            };
            if let Some(value) = value {
                chunks.insert(chunk.digest.clone(), Chunk::new(value));
            }
        }
        Ok(())
    }
}

fn read_list(root: Root, chunks: &Chunks, peer: Peer) -> Result<Manifest, Error> {
    let get = |c: &ChunkRef| chunks.get(&c.digest).cloned();
    Manifest::load(root, get).map_err(|fault| Error::refused(peer, fault))
}

/// Reads what a root leads to from the store, but for what is held already.
pub(super) async fn from_store(cx: &Context, root: Root) -> Result<Edition, Error> {
    let mut chunks = Chunks::new();
    let mut values = Values::default();
    values.add(cx, &root.parts, &mut chunks).await?;
    let manifest = read_list(root, &chunks, Peer::Store)?;
    values.add(cx, &manifest.chunks, &mut chunks).await?;
    Ok(Edition::new(manifest, chunks))
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
    let root = Root::parse(&data).map_err(|fault| Error::refused(peer(), fault))?;
    if root.version <= cx.tables.config.get().version {
        return Err(Error::NotNewer(instance.clone()));
    }
    let mut chunks = Chunks::new();
    ask_for(cx, &link, instance, &root.parts, &mut chunks).await?;
    let manifest = read_list(root, &chunks, peer())?;
    ask_for(cx, &link, instance, &manifest.chunks, &mut chunks).await?;
    Ok(Edition::new(manifest, chunks))
}

/// Asks a sibling for what `chunks` lacks of `refs`.
async fn ask_for(
    cx: &Context,
    link: &Link<Up>,
    instance: &Instance,
    refs: &[ChunkRef],
    chunks: &mut Chunks,
) -> Result<(), Error> {
    add_held(cx, refs, chunks);
    loop {
        let wanted = missing(refs, chunks);
        let Some(first) = wanted.first() else {
            return Ok(());
        };
        let digests = wanted.iter().map(|c| c.digest.to_string()).collect();
        let parts = ask(cx, link, instance, digests).await?;
        let received = parts.chunks.into_iter().map(Chunk::new);
        chunks.extend(received.map(|c| (c.digest.clone(), c)));
        if !chunks.contains_key(&first.digest) {
            let key = first.key.clone();
            let peer = Peer::Sibling(instance.clone());
            return Err(Error::refused(peer, PublicationError::Missing { key }));
        }
    }
}

/// Answers a sibling that asks for the edition in force.
pub(crate) fn answer(cx: &Context, req: &ConfigRequest) -> ConfigParts {
    let edition = cx.published.get();
    if req.digests.is_empty() {
        let known = edition.manifest.root.version > 0;
        return ConfigParts {
            manifest: known.then(|| edition.manifest.root.encode()),
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
