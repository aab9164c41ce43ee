//! Partitions of the accounts, and which instances of a region own them.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::Account;
use crate::names::Instance;

/// Number of partitions that accounts are hashed into.
pub const PARTITION_COUNT: u16 = 256;

/// Number of ledger pages that the partitions are spread over.
pub const PAGE_COUNT: u16 = 8;

/// Number of instances in a region that own shares of each partition.
pub const OWNERS_PER_REGION: usize = 2;

/// A hash partition of the accounts, whose shares are allocated together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition(pub u16);

impl Partition {
    /// Returns the partition of an account.
    pub fn of(account: &Account) -> Self {
        Self((xxh3_64(account.as_str().as_bytes()) % u64::from(PARTITION_COUNT)) as u16)
    }

    /// Returns the number of the ledger page that has the partition.
    pub fn page(self) -> u16 {
        self.0 % PAGE_COUNT
    }

    /// Returns the partitions of a ledger page.
    pub fn in_page(page: u16) -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT)
            .map(Partition)
            .filter(move |p| p.page() == page)
    }
}

/// Orders the instances of a region by rendezvous hashing, owners first.
pub fn rank_instances(partition: Partition, instances: &[Instance]) -> Vec<&Instance> {
    let score = |i: &&Instance| xxh3_64_with_seed(i.as_str().as_bytes(), u64::from(partition.0));
    let mut ranked: Vec<&Instance> = instances.iter().collect();
    ranked.sort_by_key(|i| std::cmp::Reverse((score(i), (*i).clone())));
    ranked
}

/// Returns the instances of a region that own shares of a partition.
pub fn owners(partition: Partition, instances: &[Instance]) -> Vec<&Instance> {
    let mut ranked = rank_instances(partition, instances);
    ranked.truncate(OWNERS_PER_REGION);
    ranked
}
