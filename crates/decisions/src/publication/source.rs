//! Who reads the store, and whom the others ask.

use crate::names::Instance;
use crate::rendezvous;

/// Instances of a region that watch the store.
pub const WATCHERS_PER_REGION: usize = 2;

/// Fetches from siblings that may fail before the store is asked.
const MAX_SIBLING_ATTEMPTS: u32 = 3;

/// A sibling's configuration version, as last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiblingVersion {
    /// The sibling.
    pub instance: Instance,
    /// Its version.
    pub version: u64,
    /// Whether it is in this region.
    pub is_in_own_region: bool,
}

/// Where a newer version is to be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// This instance has the newest version it knows of.
    UpToDate,
    /// A sibling.
    Sibling(Instance),
    /// The store.
    Store,
}

/// Tells whether an instance watches the store, among the live instances of
/// its region.
pub fn is_watcher<'a, I>(own: &'a Instance, live: I) -> bool
where
    I: IntoIterator<Item = &'a Instance>,
{
    let names = live.into_iter().filter(|name| *name != own);
    rendezvous::top_names("config", names.chain([own]), WATCHERS_PER_REGION).contains(&own)
}

/// Chooses where to fetch from: a sibling with the highest version, one of
/// this region if there is any. After tries that failed the store is asked.
/// `random` is uniform.
pub fn choose_source(
    own_version: u64,
    siblings: &[SiblingVersion],
    failed_attempts: u32,
    random: u64,
) -> FetchSource {
    let newest = siblings.iter().map(|h| h.version).max().unwrap_or(0);
    if newest <= own_version {
        return FetchSource::UpToDate;
    }
    if failed_attempts >= MAX_SIBLING_ATTEMPTS && failed_attempts.is_multiple_of(2) {
        return FetchSource::Store;
    }
    let newest_siblings = siblings.iter().filter(|h| h.version == newest);
    let near: Vec<_> = newest_siblings
        .clone()
        .filter(|h| h.is_in_own_region)
        .collect();
    let from = if near.is_empty() {
        newest_siblings.collect()
    } else {
        near
    };
    let at = (from.len() as u128 * u128::from(random)) >> u64::BITS;
    FetchSource::Sibling(from[at as usize].instance.clone())
}
