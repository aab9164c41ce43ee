//! The configuration's way from the store and siblings to this instance and
//! back.

mod change;
mod fetch;
mod keep;
mod sweep;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chiverelay_decisions::Config;
use chiverelay_decisions::publication::Chunk;
use chiverelay_decisions::publication::Manifest;
use chiverelay_decisions::publication::PublicationError;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_operator::api::Document;
use chiverelay_operator::api::Versioned;

use crate::context::Context;

pub(crate) use change::change;
pub(crate) use fetch::answer;
pub(crate) use keep::run;

/// Prefix of the key that holds the manifest's root; there is no other such
/// key.
const MANIFEST_KEY: &str = "chiverelay/config/manifest";

/// Prefix of the keys that hold chunks and the parts of their list.
const CHUNK_PREFIX: &str = "chiverelay/config/chunk/";

/// Chunks and parts of their list, by the digest that names them.
type Chunks = HashMap<Arc<str>, Chunk>;

/// A manifest with its chunks.
#[derive(Debug, Default)]
struct Edition {
    manifest: Manifest,
    chunks: Chunks,
}

/// The newest edition that this instance put in force.
#[derive(Debug)]
pub(crate) struct Published {
    current: RankedMutex<Arc<Edition>>,
    /// Whether this instance is to sweep the store.
    sweep: AtomicBool,
}

impl Published {
    /// Starts without an edition.
    pub(crate) fn new() -> Self {
        Self {
            current: RankedMutex::new(LockRank::Publication, Arc::default()),
            sweep: AtomicBool::new(false),
        }
    }

    fn get(&self) -> Arc<Edition> {
        Arc::clone(&self.current.lock())
    }

    fn take_sweep(&self) -> bool {
        self.sweep.swap(false, Ordering::AcqRel)
    }

    fn advance(&self, edition: Edition) {
        let mut current = self.current.lock();
        if edition.manifest.root.version > current.manifest.root.version {
            *current = Arc::new(edition);
        }
    }
}

impl Edition {
    /// Makes an edition of what the manifest names.
    fn new(manifest: Manifest, mut chunks: Chunks) -> Self {
        let named: HashSet<_> = manifest.refs().map(|c| Arc::clone(&c.digest)).collect();
        chunks.retain(|digest, _| named.contains(digest));
        Self { manifest, chunks }
    }

    fn assemble(&self) -> Result<Config, PublicationError> {
        self.manifest
            .assemble(|chunk| self.chunks.get(&chunk.digest).cloned())
    }
}

/// Puts an edition in force unless a newer one is.
fn install(cx: &Context, edition: Edition, from: Peer) -> Result<(), PublicationError> {
    let config = edition.assemble()?;
    put_in_force(cx, Arc::new(config), edition, from);
    Ok(())
}

fn put_in_force(cx: &Context, config: Arc<Config>, edition: Edition, from: Peer) {
    let version = config.version;
    cx.published.advance(edition);
    if !cx.tables.config.replace_if_newer(config) {
        return;
    }
    log::info!("publish: version {version} from {from} is in force");
    cx.note(Step::Configure, from, format!("version {version} in force"));
}

/// Returns a configuration as operators see it.
pub(crate) fn versioned(config: &Config) -> Versioned {
    Versioned {
        version: config.version,
        document: Document {
            routes: config.routes.clone(),
            pools: config.pools.clone(),
            accounts: config.accounts.clone(),
        },
    }
}
