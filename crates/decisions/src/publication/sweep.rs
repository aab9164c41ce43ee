//! Detection of chunks that writers left in the store when they failed.

use std::collections::BTreeSet;

use super::Manifest;

/// Number of versions between two sweeps.
const SWEEP_INTERVAL_VERSIONS: u64 = 16;

/// Returns true if a sweep is due after a version was published.
pub fn is_sweep_due(version: u64) -> bool {
    version.is_multiple_of(SWEEP_INTERVAL_VERSIONS)
}

impl Manifest {
    /// Returns the names of stored chunks that the manifest does not refer to
    /// and that no pending write can still refer to, given the store's
    /// revisions of the root and of each chunk.
    ///
    /// A writer writes its chunks after it read the root, and replaces only
    /// that root. So a chunk that is older than the root, and to which the root
    /// does not refer, belongs to a writer that can no longer replace the root.
    pub fn orphaned_chunks<I>(&self, root_revision: i64, stored: I) -> Vec<String>
    where
        I: IntoIterator<Item = (String, i64)>,
    {
        let named = self.refs().map(|c| &c.key);
        let named: BTreeSet<_> = named.chain(&self.root.retired).collect();
        let stored = stored.into_iter();
        stored
            .filter(|(key, revision)| *revision < root_revision && !named.contains(key))
            .map(|(key, _)| key)
            .collect()
    }
}
