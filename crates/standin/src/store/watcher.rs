//! Tells a watch of changes.

use std::sync::Arc;

use bytes::Bytes;
use chiverelay_store::api;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::EXPIRY_INTERVAL;
use super::Store;
use super::state::Range;

/// Lines of a watch that wait for their reader.
pub(super) const WATCH_DEPTH: usize = 16;

/// Tells one watch of changes.
///
/// # Invariants
///
/// `next` never shrinks: a watch that starts at a later revision than the
/// store's is told of nothing before that revision.
pub(super) struct Watcher {
    pub(super) store: Arc<Store>,
    pub(super) range: Range,
    pub(super) next: i64,
    /// How often the store had come back from an older copy at the start.
    pub(super) restores: u64,
    pub(super) tx: mpsc::Sender<std::io::Result<Frame<Bytes>>>,
}

impl Watcher {
    pub(super) async fn run(mut self, mut changed: watch::Receiver<i64>) {
        let created = api::WatchResult {
            created: true,
            header: self.store.lock().header(),
            ..api::WatchResult::default()
        };
        let mut sent = self.send(created).await;
        while sent {
            sent = self.tell().await;
            tokio::select! {
                () = self.tx.closed() => return,
                () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
                changed = changed.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Tells of the changes since the last time; false once the watch ends.
    async fn tell(&mut self) -> bool {
        let faults = self.store.script.get();
        if faults.freeze || faults.freeze_watches {
            return true;
        }
        if faults.refuse {
            return false;
        }
        let result = {
            let inner = self.store.lock();
            if inner.restores != self.restores {
                return false;
            }
            let result = api::WatchResult {
                header: inner.header(),
                canceled: self.next <= inner.compacted,
                events: inner.events(&self.range, self.next),
                created: false,
            };
            self.next = self.next.max(inner.revision + 1);
            result
        };
        if result.events.is_empty() && !result.canceled {
            return true;
        }
        let canceled = result.canceled;
        self.send(result).await && !canceled
    }

    async fn send(&self, result: api::WatchResult) -> bool {
        let resp = api::WatchResponse { result };
        let mut line = serde_json::to_vec(&resp).unwrap_or_default();
        line.push(b'\n');
        self.tx.send(Ok(Frame::data(line.into()))).await.is_ok()
    }
}
