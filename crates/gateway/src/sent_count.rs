//! Counts the targets that a request was sent to.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Number of targets that this instance sent a request to. Clones share the
/// count, so that it can be read while an answer is relayed and resumed.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentCount(Arc<AtomicU32>);

impl SentCount {
    /// Counts another target.
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    pub(crate) fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}
