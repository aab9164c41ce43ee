//! The tables shared by the workers, and the order in which they are locked.
//!
//! A thread that holds a lock takes only locks of a higher [`LockRank`]; two
//! shards of one table are never held together. Debug builds check this. A
//! lock is held for one short decision and never across an await: the guard
//! can't be sent between threads, and the closures given to the tables are
//! not asynchronous.

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

/// The lock order, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockRank {
    /// The chunks that the configuration was put together from.
    Publication,
    /// The pointer to the configuration's snapshot.
    Config,
    /// Withdrawn keys and the streams that run under keys.
    Keys,
    /// What this instance holds of the accounts' limits.
    Shares,
    /// Limits of client accounts.
    Accounts,
    /// Waiting requests.
    Queues,
    /// What the store says of the targets and itself.
    Fleet,
    /// Load and health of targets.
    Targets,
    /// Records of the other instances.
    Members,
    /// What siblings said of themselves.
    Siblings,
    /// Open links to siblings.
    Links,
    /// Operation tickets and claims.
    Tickets,
    /// The ring of events.
    Events,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a place in the lock order.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// Wraps a value.
    pub fn new(rank: LockRank, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Locks the value.
    ///
    /// # Panics
    ///
    /// In debug builds, if this thread holds a lock of the same or a higher rank.
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

fn push_rank(rank: LockRank) {
    HELD_RANKS.with_borrow_mut(|held| {
        if let Some(top) = held.last() {
            assert!(*top < rank, "lock order: {rank:?} taken under {top:?}");
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

/// A held lock.
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

/// A map in shards, each under its own lock of one rank.
#[derive(Debug)]
pub struct ShardedMap<K, V> {
    shards: Box<[RankedMutex<HashMap<K, V, Xxh3DefaultBuilder>>]>,
}

/// Number of shards of a table; more than the workers of an instance.
pub const SHARDS: usize = 16;

impl<K, V> ShardedMap<K, V>
where
    K: Hash + Eq,
{
    /// Makes an empty table.
    pub fn new(rank: LockRank) -> Self {
        let shards = (0..SHARDS)
            .map(|_| RankedMutex::new(rank, HashMap::default()))
            .collect();
        Self { shards }
    }

    fn shard(&self, key: &K) -> &RankedMutex<HashMap<K, V, Xxh3DefaultBuilder>> {
        use std::hash::BuildHasher;
        let hash = Xxh3DefaultBuilder::new().hash_one(key);
        // The maps use the low bits, so the shard is chosen by the high ones.
        &self.shards[(hash >> 56) as usize % SHARDS]
    }

    /// Runs `f` on the entry of `key` under its lock.
    pub fn with<R, F>(&self, key: &K, f: F) -> R
    where
        F: FnOnce(Option<&mut V>) -> R,
    {
        f(self.shard(key).lock().get_mut(key))
    }

    /// Runs `f` on the entry of `key`, made if it is missing, under its lock.
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

    /// Puts an entry and returns the one it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.shard(&key).lock().insert(key, value)
    }

    /// Removes an entry.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.shard(key).lock().remove(key)
    }

    /// Removes the entry of `key` if `f` returns true for it, under its lock.
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

    /// Runs `f` on every entry, one shard's lock at a time.
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

    /// Keeps the entries for which `f` returns true, one shard's lock at a time.
    pub fn retain<F>(&self, mut f: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        for shard in &self.shards {
            shard.lock().retain(|k, v| f(k, v));
        }
    }

    /// Counts the entries, one shard's lock at a time.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().len()).sum()
    }

    /// Tells whether the table has no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The newest values of many.
///
/// # Invariants
///
/// `order` has the members of `values`, oldest first, and at most `capacity`.
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
    /// Makes an empty set.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            values: HashSet::default(),
            order: VecDeque::new(),
        }
    }

    /// Adds a value, in place of the oldest if there is no room; false if the
    /// set has it.
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

/// The configuration in force, swapped whole.
#[derive(Debug)]
pub struct CurrentConfig {
    current: RankedMutex<Arc<Config>>,
}

impl CurrentConfig {
    /// Starts with a configuration.
    pub fn new(config: Config) -> Self {
        Self {
            current: RankedMutex::new(LockRank::Config, Arc::new(config)),
        }
    }

    /// Returns the configuration in force.
    pub fn get(&self) -> Arc<Config> {
        Arc::clone(&self.current.lock())
    }

    /// Puts a newer configuration in force; an older or equal one is ignored.
    pub fn replace_if_newer(&self, config: Arc<Config>) -> bool {
        let mut current = self.current.lock();
        if config.version <= current.version {
            return false;
        }
        *current = config;
        true
    }
}
