//! Revisions of the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store's data.
///
/// The store counts its changes, and gives numbers out again when it comes back
/// from an older copy. Its era rises then, so that revisions of a later era are
/// newer whatever their numbers are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StoreRevision {
    /// Rises when the store comes back from an older copy. The derived order
    /// compares it first.
    pub era: u64,
    /// Number of the change within the era.
    pub number: u64,
}
