//! Which instances of a region hold shares of an account.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::Account;
use crate::names::Instance;

/// Number of slots that accounts are hashed into.
pub const SLOTS: u16 = 256;

/// Number of store values that the slots are spread over.
pub const PAGES: u16 = 16;

/// Instances of a region that hold shares of one account.
pub const HOMES: usize = 2;

/// A set of accounts whose shares are held together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u16);

impl Slot {
    /// Returns the slot of an account.
    pub fn of(account: &Account) -> Self {
        Self((xxh3_64(account.as_str().as_bytes()) % u64::from(SLOTS)) as u16)
    }

    /// Returns the store value that the slot stands in.
    pub fn page(self) -> u16 {
        self.0 % PAGES
    }

    /// Returns the slots of a store value.
    pub fn in_page(page: u16) -> impl Iterator<Item = Self> {
        (0..SLOTS).map(Slot).filter(move |s| s.page() == page)
    }
}

/// Orders the instances of a region by rendezvous hashing, homes first.
pub fn ranked(slot: Slot, roster: &[Instance]) -> Vec<&Instance> {
    let score = |i: &&Instance| xxh3_64_with_seed(i.as_str().as_bytes(), u64::from(slot.0));
    let mut list: Vec<&Instance> = roster.iter().collect();
    list.sort_by_key(|i| std::cmp::Reverse((score(i), (*i).clone())));
    list
}

/// Returns the homes of a slot in a region.
pub fn homes(slot: Slot, roster: &[Instance]) -> Vec<&Instance> {
    let mut list = ranked(slot, roster);
    list.truncate(HOMES);
    list
}
