//! Admission, placement and queueing of requests, by the tables that all worker
//! threads share.

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
pub use admit::settle_charge;
pub use admit::try_charge;
pub use local_placer::may_still_run;
pub use place::ForwardedPlacement;
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
pub use wait::abandon_turn;
pub use wait::enqueue;
pub use wait::waiting_pools;
pub use wait::wake_pool;
pub use wait::wake_waiting;

/// A sibling: another instance. Requests are forwarded only to siblings of
/// other regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sibling {
    /// The sibling's region.
    pub region: Region,
    /// When its last message was received, on the local monotonic clock.
    pub last_heard: Duration,
    /// Whether it accepts new requests.
    pub serving: bool,
    /// Its summaries of the pools of its region.
    pub summaries: Vec<PoolSummary>,
}

/// The waiting requests and the retry budget of a pool.
#[derive(Debug)]
///
/// # Invariants
///
/// `woken` counts the requests that were woken for a slot and were neither
/// placed nor given up since. Each keeps a slot from the others.
pub struct PoolQueue {
    /// Wakers of the requests that wait for a slot.
    pub queue: FairQueue<QueueWaker>,
    /// Budget for retries of requests to the pool.
    pub retry_budget: RetryBudget,
    woken: u64,
}

impl PoolQueue {
    fn new(entry: &PoolEntry) -> Self {
        Self {
            queue: FairQueue::new(entry.queue),
            retry_budget: RetryBudget::default(),
            woken: 0,
        }
    }
}

/// The tables that all worker threads share.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub config: CurrentConfig,
    /// Withdrawn API keys.
    pub withdrawn_keys: RankedMutex<WithdrawnKeys>,
    /// This instance's shares of the accounts' limits.
    pub shares: ShareTable,
    /// Waiting requests and retry budgets by pool.
    pub queues: ShardedMap<Pool, PoolQueue>,
    /// Load, health and cached prefixes by target.
    pub targets: ShardedMap<Target, TargetState>,
    /// Known siblings by name.
    pub siblings: ShardedMap<Instance, Sibling>,
    /// Bandwidth budgets of the links to other regions.
    pub link_budgets: ShardedMap<Region, LinkBudget>,
    /// Properties of the network between zones and regions.
    pub network: Network,
}

impl Tables {
    /// Creates tables with an empty configuration and incarnation 0, for
    /// tests and benchmarks.
    pub fn new() -> Self {
        Self::with_incarnation(0)
    }

    /// Creates the tables of a process, with an incarnation that no other
    /// process has.
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
