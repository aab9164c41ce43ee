//! Tables shared by the worker threads, and the order in which they are locked.
//!
//! A thread that holds a lock acquires only locks of a higher [`LockRank`],
//! and never locks two shards of one table at once. Debug builds check this.
//! A lock is held for one short decision and never across an await: guards
//! are not `Send`, and the closures passed to the tables are not asynchronous.

mod entry_guard;

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::config::Config;

pub use entry_guard::EntryGuard;

/// The lock order, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockRank {
    /// The chunks from which the configuration was assembled.
    Publication,
    /// The pointer to the current configuration or catalog.
    Config,
    /// Withdrawn keys, and the running streams by key.
    Keys,
    /// The lease, the partitions and the pending loans of the share table.
    ShareLease,
    /// This instance's shares of the client accounts' limits, and its token
    /// buckets.
    Accounts,
    /// The queues of waiting requests.
    Queues,
    /// The records of the targets, and the store's health.
    Fleet,
    /// How far this instance is behind the others in reading the store.
    StoreLag,
    /// Load, health and statistics of the targets.
    Targets,
    /// Whether this instance reaches the targets of its region.
    Reachability,
    /// Requests lost at targets that are checked for a crash.
    Losses,
    /// Prompt parts that crash targets, and the evidence about others.
    Quarantine,
    /// Requests under which targets crashed.
    Suspensions,
    /// The streams that began lately, and the software of pools.
    Streams,
    /// When the marks of software were read for streams that are resumed.
    MarkReads,
    /// How much callers use each route.
    RouteUse,
    /// What is known of the other instances.
    Members,
    /// What each sibling last reported of itself.
    Siblings,
    /// Open links to siblings.
    Links,
    /// Which instances this one exchanges messages with.
    Topology,
    /// The hub that this instance reports to.
    Upstream,
    /// The instances that report to this one.
    Reporters,
    /// Operation tickets and claims.
    Tickets,
    /// Digests of the certificates that siblings may present.
    Pins,
    /// The parts of the memory of requests.
    Memory,
    /// The open connections of callers.
    Callers,
    /// The ring buffer of events.
    Events,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Creates an unlocked mutex of the given rank.
    pub fn new(rank: LockRank, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Locks the mutex. A mutex poisoned by a panic is locked all the same.
    ///
    /// # Panics
    ///
    /// In debug builds, if this thread holds a lock of the same or a higher
    /// rank.
    pub fn lock(&self) -> RankedGuard<'_, T> {
        if cfg!(debug_assertions) {
            push_rank(self.rank);
        }
        RankedGuard {
            rank: self.rank,
            inner: self.inner.lock().unwrap_or_else(PoisonError::into_inner),
        }
    }
}

/// Checks that `rank` is above all held ranks, and adds it to them.
fn push_rank(rank: LockRank) {
    HELD_RANKS.with_borrow_mut(|held| {
        if let Some(top) = held.last() {
            assert!(
                *top < rank,
                "lock order: {rank:?} locked while {top:?} is held"
            );
        }
        held.push(rank);
    });
}

fn pop_rank(rank: LockRank) {
    HELD_RANKS.with_borrow_mut(|held| {
        if let Some(at) = held.iter().rposition(|r| *r == rank) {
            held.remove(at);
        }
    });
}

/// Guard of a [`RankedMutex`]; dropping it unlocks the mutex.
#[derive(Debug)]
pub struct RankedGuard<'a, T> {
    rank: LockRank,
    inner: MutexGuard<'a, T>,
}

impl<T> Deref for RankedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for RankedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for RankedGuard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            pop_rank(self.rank);
        }
    }
}

/// A hash map in shards, each with its own lock; all have the same rank.
#[derive(Debug)]
pub struct ShardedMap<K, V> {
    shards: Box<[RankedMutex<HashMap<K, V, Xxh3DefaultBuilder>>]>,
}

/// Number of shards of a map; it exceeds the number of workers of an
/// instance.
pub const SHARDS: usize = 16;

impl<K, V> ShardedMap<K, V>
where
    K: Hash + Eq,
{
    /// Creates an empty map whose locks have the given rank.
    pub fn new(rank: LockRank) -> Self {
        let shards = (0..SHARDS)
            .map(|_| RankedMutex::new(rank, HashMap::default()))
            .collect();
        Self { shards }
    }

    fn shard(&self, key: &K) -> &RankedMutex<HashMap<K, V, Xxh3DefaultBuilder>> {
        use std::hash::BuildHasher;
        let hash = Xxh3DefaultBuilder::new().hash_one(key);
        // The maps use the hash's low bits, so the shard is chosen by the high
        // ones.
        &self.shards[(hash >> 56) as usize % SHARDS]
    }

    /// Runs `f` on the entry of `key`, if there is one, under its lock.
    pub fn with<R, F>(&self, key: &K, f: F) -> R
    where
        F: FnOnce(Option<&mut V>) -> R,
    {
        f(self.shard(key).lock().get_mut(key))
    }

    /// Runs `f` on the entry of `key` under its lock. A missing entry is
    /// inserted first, with the value of `make`.
    pub fn with_or_insert<R, M, F>(&self, key: &K, make: M, f: F) -> R
    where
        K: Clone,
        M: FnOnce() -> V,
        F: FnOnce(&mut V) -> R,
    {
        f(self
            .shard(key)
            .lock()
            .entry(key.clone())
            .or_insert_with(make))
    }

    /// Inserts an entry and returns the value that it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.shard(&key).lock().insert(key, value)
    }

    /// Removes an entry and returns its value.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.shard(key).lock().remove(key)
    }

    /// Removes the entry of `key` if `f` returns true for it, and returns its
    /// value. `f` runs under the entry's lock.
    pub fn remove_if<F>(&self, key: &K, f: F) -> Option<V>
    where
        F: FnOnce(&mut V) -> bool,
    {
        let mut shard = self.shard(key).lock();
        if f(shard.get_mut(key)?) {
            return shard.remove(key);
        }
        None
    }

    /// Runs `f` on every entry, locking one shard at a time.
    pub fn for_each<F>(&self, mut f: F)
    where
        F: FnMut(&K, &mut V),
    {
        for shard in &self.shards {
            for (k, v) in shard.lock().iter_mut() {
                f(k, v);
            }
        }
    }

    /// Keeps only the entries for which `f` returns true, locking one shard at
    /// a time.
    pub fn retain<F>(&self, mut f: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        for shard in &self.shards {
            shard.lock().retain(|k, v| f(k, v));
        }
    }

    /// Counts the entries, locking one shard at a time.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    /// Tells whether the map has no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A set of the most recently inserted values.
///
/// # Invariants
///
/// `order` has the same values as `values`, oldest first, and at most
/// `capacity` of them.
#[derive(Debug)]
pub struct RecentSet<T> {
    capacity: usize,
    values: HashSet<T, Xxh3DefaultBuilder>,
    order: VecDeque<T>,
}

impl<T> RecentSet<T>
where
    T: Clone + Eq + Hash,
{
    /// Creates an empty set that keeps at most `capacity` values.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            values: HashSet::default(),
            order: VecDeque::new(),
        }
    }

    /// Tells whether the set has a value.
    pub fn contains(&self, value: &T) -> bool {
        self.values.contains(value)
    }

    /// Inserts a value, and removes the oldest one if the set is full. Returns
    /// false if the set already had the value.
    pub fn insert(&mut self, value: T) -> bool {
        if !self.values.insert(value.clone()) {
            return false;
        }
        if self.order.len() == self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.values.remove(&oldest);
        }
        self.order.push_back(value);
        true
    }
}

/// The current configuration, which is replaced as a whole.
#[derive(Debug)]
pub struct CurrentConfig {
    current: RankedMutex<Arc<Config>>,
}

impl CurrentConfig {
    /// Creates a holder with the first configuration.
    pub fn new(config: Config) -> Self {
        Self {
            current: RankedMutex::new(LockRank::Config, Arc::new(config)),
        }
    }

    /// Returns the current configuration.
    pub fn get(&self) -> Arc<Config> {
        Arc::clone(&self.current.lock())
    }

    /// Replaces the configuration if `config` has a newer version, and tells
    /// whether it does.
    pub fn replace_if_newer(&self, config: Arc<Config>) -> bool {
        let mut current = self.current.lock();
        if config.version <= current.version {
            return false;
        }
        *current = config;
        true
    }
}
