//! The decisions on one request's way, in their order, over the shared tables.

mod admit;
mod place;
mod scan;
mod targets;
mod wait;

use std::time::Duration;

use crate::config::Config;
use crate::config::PoolEntry;
use crate::keys::Withdrawn;
use crate::limits::Book;
use crate::names::Instance;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::FairQueue;
use crate::placement::Link;
use crate::placement::Load;
use crate::placement::Network;
use crate::placement::RetryBudget;
use crate::placement::Summary;
use crate::tables::CurrentConfig;
use crate::tables::LockRank;
use crate::tables::RankedMutex;
use crate::tables::ShardedMap;

pub use admit::Admission;
pub use admit::Ask;
pub use admit::Short;
pub use admit::admit;
pub use admit::admit_forwarded;
pub use admit::retry;
pub use admit::settle;
pub use place::Local;
pub use place::Placement;
pub use place::Turn;
pub use place::miss;
pub use place::place;
pub use place::place_forwarded;
pub use targets::apply_cache_event;
pub use targets::cache_sequence;
pub use targets::eject;
pub use targets::fail;
pub use targets::finish;
pub use targets::list_leaving;
pub use targets::report;
pub use targets::start;
pub use targets::succeed;
pub use targets::summaries;
pub use wait::Waker;
pub use wait::pump;
pub use wait::pump_pool;
pub use wait::wait;
pub use wait::waiting_pools;

/// A sibling that can take forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sibling {
    /// The sibling's region.
    pub region: Region,
    /// When it was last heard, on the local monotonic clock.
    pub heard: Duration,
    /// Whether it takes new work.
    pub serving: bool,
    /// What it said of the pools of its region.
    pub summaries: Vec<Summary>,
}

/// Waiting requests and retries of a pool.
#[derive(Debug)]
pub struct Waiting {
    /// Requests that wait for a slot.
    pub queue: FairQueue<Waker>,
    /// The budget for retries.
    pub retries: RetryBudget,
}

impl Waiting {
    fn new(entry: &PoolEntry) -> Self {
        Self {
            queue: FairQueue::new(entry.queue),
            retries: RetryBudget::default(),
        }
    }
}

/// The tables that workers share.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub config: CurrentConfig,
    /// Keys that are withdrawn.
    pub withdrawn: RankedMutex<Withdrawn>,
    /// Shares of the accounts' limits.
    pub book: Book,
    /// Waiting requests by pool.
    pub queues: ShardedMap<Pool, Waiting>,
    /// Load by target.
    pub targets: ShardedMap<Target, Load>,
    /// Known siblings.
    pub siblings: ShardedMap<Instance, Sibling>,
    /// Budgets of the links to other regions.
    pub links: ShardedMap<Region, Link>,
    /// The network between regions.
    pub network: Network,
}

impl Tables {
    /// Makes tables with an empty configuration.
    pub fn new() -> Self {
        Self::of_incarnation(0)
    }

    /// Makes the tables of a process, whose incarnation no other one has.
    pub fn of_incarnation(incarnation: u64) -> Self {
        Self {
            config: CurrentConfig::new(Config::default()),
            withdrawn: RankedMutex::new(LockRank::Keys, Withdrawn::default()),
            book: Book::new(incarnation),
            queues: ShardedMap::new(LockRank::Queues),
            targets: ShardedMap::new(LockRank::Targets),
            siblings: ShardedMap::new(LockRank::Siblings),
            links: ShardedMap::new(LockRank::Links),
            network: Network::default(),
        }
    }
}

impl Default for Tables {
    fn default() -> Self {
        Self::new()
    }
}
