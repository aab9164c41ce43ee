//! Which instances of a region hold shares of an account.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::Account;
use crate::names::Instance;

/// Number of slots that accounts are hashed into.
pub const PARTITION_COUNT: u16 = 256;

/// Number of store values that the slots are spread over.
pub const PAGE_COUNT: u16 = 8;

/// Instances of a region that hold shares of one account.
pub const OWNERS_PER_REGION: usize = 2;

/// A set of accounts whose shares are held together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition(pub u16);

impl Partition {
    /// Returns the slot of an account.
    pub fn of(account: &Account) -> Self {
        Self((xxh3_64(account.as_str().as_bytes()) % u64::from(PARTITION_COUNT)) as u16)
    }

    /// Returns the store value that the slot stands in.
    pub fn page(self) -> u16 {
        self.0 % PAGE_COUNT
    }

    /// Returns the slots of a store value.
    pub fn in_page(page: u16) -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT)
            .map(Partition)
            .filter(move |s| s.page() == page)
    }
}

/// Orders the instances of a region by rendezvous hashing, homes first.
pub fn rank_instances(slot: Partition, roster: &[Instance]) -> Vec<&Instance> {
    let score = |i: &&Instance| xxh3_64_with_seed(i.as_str().as_bytes(), u64::from(slot.0));
    let mut list: Vec<&Instance> = roster.iter().collect();
    list.sort_by_key(|i| std::cmp::Reverse((score(i), (*i).clone())));
    list
}

/// Returns the homes of a slot in a region.
pub fn owners(slot: Partition, roster: &[Instance]) -> Vec<&Instance> {
    let mut list = rank_instances(slot, roster);
    list.truncate(OWNERS_PER_REGION);
    list
}
