//! Removes chunks that writers left behind in the store.

use chiverelay_store::Entry;

use super::CHUNK_PREFIX;
use super::fetch;
use crate::context::Context;

/// Chunks removed in one call of the store.
const BATCH: usize = 32;

/// Removes what a sweep found, a batch at a time.
///
/// # Invariants
///
/// No manifest names any of `left`, nor ever will.
#[derive(Debug, Default)]
pub(super) struct Sweeper {
    left: Vec<String>,
}

impl Sweeper {
    /// Looks for chunks if a sweep is due, and removes a batch of them.
    pub(super) async fn step(&mut self, cx: &Context) {
        if cx.published.take_sweep() {
            match find(cx).await {
                Ok(left) => self.left = left,
                Err(e) => log::warn!("publish: no sweep: {e}"),
            }
        }
        let batch = self.left.split_off(self.left.len().saturating_sub(BATCH));
        if batch.is_empty() {
            return;
        }
        match cx.store.delete(&batch).await {
            Ok(()) => log::info!("publish: {} chunks left behind are removed", batch.len()),
            Err(e) => {
                log::warn!("publish: the sweep ends: {e}");
                // The next sweep finds them again.
                self.left.clear();
            }
        }
    }
}

async fn find(cx: &Context) -> Result<Vec<String>, fetch::Error> {
    let stored = cx.store.list_keys(CHUNK_PREFIX).await?;
    let Some((Entry { revision, .. }, root)) = fetch::root(cx).await? else {
        return Ok(Vec::new());
    };
    let manifest = fetch::from_store(cx, root).await?.manifest;
    let stored = stored.into_iter().map(|e| (e.key, e.revision));
    Ok(manifest.orphaned_chunks(revision, stored))
}
