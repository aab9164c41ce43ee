//! The decisions on one request's way, in their order, over the shared tables.

mod admit;
mod local_placer;
mod place;
mod targets;
mod wait;

use std::time::Duration;

use crate::config::Config;
use crate::config::PoolEntry;
use crate::keys::WithdrawnKeys;
use crate::limits::ShareTable;
use crate::names::Instance;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::FairQueue;
use crate::placement::LinkBudget;
use crate::placement::Network;
use crate::placement::PoolSummary;
use crate::placement::RetryBudget;
use crate::placement::TargetState;
use crate::tables::CurrentConfig;
use crate::tables::LockRank;
use crate::tables::RankedMutex;
use crate::tables::ShardedMap;

pub use admit::Admission;
pub use admit::AdmissionInput;
pub use admit::UnchargedRequest;
pub use admit::admit;
pub use admit::admit_forwarded;
pub use admit::retry_charge;
pub use admit::settle_charge;
pub use place::LocalPlacement;
pub use place::Placement;
pub use place::QueueStatus;
pub use place::mark_sibling_unavailable;
pub use place::place;
pub use place::place_forwarded;
pub use targets::apply_cache_event;
pub use targets::apply_load_report;
pub use targets::cache_sequence;
pub use targets::mark_unreachable;
pub use targets::pool_summaries;
pub use targets::record_failure;
pub use targets::record_success;
pub use targets::request_finished;
pub use targets::request_started;
pub use targets::set_leaving_targets;
pub use wait::QueueWaker;
pub use wait::enqueue;
pub use wait::waiting_pools;
pub use wait::wake_pool;
pub use wait::wake_waiting;

/// A sibling that can take forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sibling {
    /// The sibling's region.
    pub region: Region,
    /// When it was last heard, on the local monotonic clock.
    pub last_heard: Duration,
    /// Whether it takes new work.
    pub serving: bool,
    /// What it said of the pools of its region.
    pub summaries: Vec<PoolSummary>,
}

/// Waiting requests and retries of a pool.
#[derive(Debug)]
pub struct PoolQueue {
    /// Requests that wait for a slot.
    pub queue: FairQueue<QueueWaker>,
    /// The budget for retries.
    pub retry_budget: RetryBudget,
}

impl PoolQueue {
    fn new(entry: &PoolEntry) -> Self {
        Self {
            queue: FairQueue::new(entry.queue),
            retry_budget: RetryBudget::default(),
        }
    }
}

/// The tables that workers share.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub config: CurrentConfig,
    /// Keys that are withdrawn.
    pub withdrawn_keys: RankedMutex<WithdrawnKeys>,
    /// Shares of the accounts' limits.
    pub shares: ShareTable,
    /// Waiting requests by pool.
    pub queues: ShardedMap<Pool, PoolQueue>,
    /// Load by target.
    pub targets: ShardedMap<Target, TargetState>,
    /// Known siblings.
    pub siblings: ShardedMap<Instance, Sibling>,
    /// Budgets of the links to other regions.
    pub link_budgets: ShardedMap<Region, LinkBudget>,
    /// The network between regions.
    pub network: Network,
}

impl Tables {
    /// Makes tables with an empty configuration.
    pub fn new() -> Self {
        Self::with_incarnation(0)
    }

    /// Makes the tables of a process, whose incarnation no other one has.
    pub fn with_incarnation(incarnation: u64) -> Self {
        Self {
            config: CurrentConfig::new(Config::default()),
            withdrawn_keys: RankedMutex::new(LockRank::Keys, WithdrawnKeys::default()),
            shares: ShareTable::new(incarnation),
            queues: ShardedMap::new(LockRank::Queues),
            targets: ShardedMap::new(LockRank::Targets),
            siblings: ShardedMap::new(LockRank::Siblings),
            link_budgets: ShardedMap::new(LockRank::Links),
            network: Network::default(),
        }
    }
}

impl Default for Tables {
    fn default() -> Self {
        Self::new()
    }
}
