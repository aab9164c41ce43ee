//! Choice of the instances that watch the store, and of the source from which
//! an instance fetches a newer configuration.

use crate::names::Instance;
use crate::rendezvous;

/// Instances per region that watch the store.
pub const WATCHERS_PER_REGION: usize = 2;

/// Failed fetches from other instances after which the store is tried.
const MAX_SIBLING_ATTEMPTS: u32 = 3;

/// Last reported configuration version of another instance, a sibling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiblingVersion {
    /// Name of the instance.
    pub instance: Instance,
    /// Configuration version of the instance.
    pub version: u64,
    /// Whether the instance is in the same region as this one.
    pub is_in_own_region: bool,
}

/// Source of a newer version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// No source: this instance has the newest version that it knows of.
    UpToDate,
    /// Another instance.
    Sibling(Instance),
    /// The store.
    Store,
}

/// Returns true if the instance `own` watches the store, given the live
/// instances of its region.
pub fn is_watcher<'a, I>(own: &'a Instance, live: I) -> bool
where
    I: IntoIterator<Item = &'a Instance>,
{
    let names = live.into_iter().filter(|name| *name != own);
    rendezvous::top_names("config", names.chain([own]), WATCHERS_PER_REGION).contains(&own)
}

/// Chooses the source to fetch from: an instance that has the newest version,
/// preferably in this region. After repeated failures every second attempt goes
/// to the store. `random` is uniformly distributed.
pub fn choose_source(
    own_version: u64,
    siblings: &[SiblingVersion],
    failed_attempts: u32,
    random: u64,
) -> FetchSource {
    let newest = siblings.iter().map(|s| s.version).max().unwrap_or(0);
    if newest <= own_version {
        return FetchSource::UpToDate;
    }
    if failed_attempts >= MAX_SIBLING_ATTEMPTS && failed_attempts.is_multiple_of(2) {
        return FetchSource::Store;
    }
    let newest_siblings = siblings.iter().filter(|s| s.version == newest);
    let local: Vec<_> = newest_siblings
        .clone()
        .filter(|s| s.is_in_own_region)
        .collect();
    let from = if local.is_empty() {
        newest_siblings.collect()
    } else {
        local
    };
    let at = (from.len() as u128 * u128::from(random)) >> u64::BITS;
    FetchSource::Sibling(from[at as usize].instance.clone())
}
