//! Who reads the store, and whom the others ask.

use crate::names::Instance;
use crate::rendezvous;

/// Instances of a region that watch the store.
pub const WATCHERS: usize = 2;

/// Fetches from siblings that may fail before the store is asked.
const SIBLING_TRIES: u32 = 3;

/// A sibling's configuration version, as last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The sibling.
    pub instance: Instance,
    /// Its version.
    pub version: u64,
    /// Whether it is in this region.
    pub near: bool,
}

/// Where a newer version is to be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance has the newest version it knows of.
    None,
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
    rendezvous::top_names("config", names.chain([own]), WATCHERS).contains(&own)
}

/// Chooses where to fetch from: a sibling with the highest version, one of
/// this region if there is any. After tries that failed the store is asked.
/// `random` is uniform.
pub fn source(own: u64, heard: &[Heard], tries: u32, random: u64) -> Source {
    let newest = heard.iter().map(|h| h.version).max().unwrap_or(0);
    if newest <= own {
        return Source::None;
    }
    if tries >= SIBLING_TRIES && tries.is_multiple_of(2) {
        return Source::Store;
    }
    let have = heard.iter().filter(|h| h.version == newest);
    let near: Vec<_> = have.clone().filter(|h| h.near).collect();
    let from = if near.is_empty() {
        have.collect()
    } else {
        near
    };
    let at = (from.len() as u128 * u128::from(random)) >> u64::BITS;
    Source::Sibling(from[at as usize].instance.clone())
}
