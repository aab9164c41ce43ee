//! Which chunks were left behind by writers that died.

use std::collections::BTreeSet;

use super::Manifest;

/// Versions from one sweep to the next.
const SWEEP_INTERVAL_VERSIONS: u64 = 16;

/// Tells whether a sweep follows the switch to a version.
pub fn is_sweep_due(version: u64) -> bool {
    version.is_multiple_of(SWEEP_INTERVAL_VERSIONS)
}

impl Manifest {
    /// Returns the stored chunks that no manifest will ever name, given the
    /// revisions of the root and of each chunk.
    ///
    /// A writer switches only from the root that it read before it wrote its
    /// chunks. Once a root is newer than a chunk that it doesn't lead to, the
    /// chunk's writer can't switch any more.
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
