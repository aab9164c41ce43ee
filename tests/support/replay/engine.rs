//! A small fake of a model engine on a virtual clock.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use chiverelay_decisions::placement::LoadReport;

/// Requests in a batch.
pub(super) const SLOTS: u64 = 16;

/// Prompt tokens a second with an empty batch.
pub(super) const PREFILL_RATE: u64 = 8000;

/// Time between two tokens of an answer with an empty batch.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// How much slower a slow engine reads.
const SLOWNESS: u64 = 5;

/// Blocks that the prefix cache holds.
const BLOCKS: usize = 1200;

/// Tokens in one block.
const BLOCK: u64 = 64;

/// A change of the prefix cache.
#[derive(Clone, Debug)]
pub(super) struct CacheEvent {
    /// Number of the event.
    pub(super) sequence: u64,
    /// Blocks that entered.
    pub(super) stored: Vec<u64>,
    /// Blocks that left.
    pub(super) removed: Vec<u64>,
}

/// A fake of an engine that batches continuously and caches prefixes.
///
/// # Invariants
///
/// At most [`SLOTS`] requests are in the batch; the others wait in order.
#[derive(Debug)]
pub(super) struct Engine {
    /// Index of its region.
    pub(super) region: usize,
    /// Whether it answers.
    pub(super) up: bool,
    /// Whether it says that it leaves.
    pub(super) leaving: bool,
    /// Whether it is several times slower than it should be.
    pub(super) slow: bool,
    /// Changes with each start.
    pub(super) incarnation: u64,
    /// Requests that wait for the batch.
    pub(super) waiting: VecDeque<usize>,
    /// Requests in the batch.
    pub(super) batch: Vec<usize>,
    /// Prompt tokens read so far.
    pub(super) read: u64,
    /// Changes of the cache that were not fetched yet.
    pub(super) events: Vec<CacheEvent>,
    prefill_free: Duration,
    cache: HashMap<u64, u64>,
    clock: u64,
    sequence: u64,
    reports: u64,
}

impl Engine {
    /// Makes an engine with a cold cache.
    pub(super) fn new(region: usize) -> Self {
        Self {
            region,
            up: true,
            leaving: false,
            slow: false,
            incarnation: 1,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            read: 0,
            events: Vec::new(),
            prefill_free: Duration::ZERO,
            cache: HashMap::new(),
            clock: 0,
            sequence: 0,
            reports: 0,
        }
    }

    /// Starts anew and returns the requests that were lost.
    pub(super) fn restart(&mut self) -> Vec<usize> {
        let mut lost = std::mem::take(&mut self.batch);
        lost.extend(self.waiting.drain(..));
        *self = Self {
            incarnation: self.incarnation + 1,
            read: self.read,
            up: self.up,
            ..Self::new(self.region)
        };
        lost
    }

    /// Takes a request into the batch; returns when its first token is out
    /// and when its answer ends.
    pub(super) fn admit(
        &mut self,
        ask: usize,
        prompt: u64,
        answer: u64,
        chain: &[u64],
        now: Duration,
    ) -> (Duration, Duration) {
        let uncached = prompt - self.cached(chain).min(prompt);
        self.store(chain);
        self.read += uncached;
        let busy = self.batch.len() as u64;
        self.batch.push(ask);
        let slowness = if self.slow { SLOWNESS } else { 1 };
        let rate = PREFILL_RATE * (100 - 30 * busy / SLOTS) / 100 / slowness;
        let prefill = Duration::from_micros(uncached * 1_000_000 / rate);
        let first = self.prefill_free.max(now) + prefill + TOKEN_TIME;
        self.prefill_free = first;
        let step = TOKEN_TIME + TOKEN_TIME * busy as u32 / SLOTS as u32;
        (first, first + step * answer as u32)
    }

    /// Tells whether the batch has room.
    pub(super) fn has_room(&self) -> bool {
        (self.batch.len() as u64) < SLOTS
    }

    fn cached(&self, chain: &[u64]) -> u64 {
        let held = chain.iter().take_while(|b| self.cache.contains_key(b));
        held.count() as u64 * BLOCK
    }

    fn store(&mut self, chain: &[u64]) {
        let mut stored = Vec::new();
        for block in chain {
            self.clock += 1;
            if self.cache.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
        }
        let removed = self.evict();
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            stored,
            removed,
        });
    }

    /// Drops the blocks that were used longest ago.
    fn evict(&mut self) -> Vec<u64> {
        let excess = self.cache.len().saturating_sub(BLOCKS);
        if excess == 0 {
            return Vec::new();
        }
        let mut by_age: Vec<(u64, u64)> = self.cache.iter().map(|(b, at)| (*at, *b)).collect();
        by_age.select_nth_unstable(excess);
        let removed: Vec<u64> = by_age[..excess].iter().map(|(_, b)| *b).collect();
        for block in &removed {
            self.cache.remove(block);
        }
        removed
    }

    /// Returns a load report.
    pub(super) fn report(&mut self, now: Duration) -> LoadReport {
        self.reports += 1;
        let pending = self.prefill_free.saturating_sub(now).as_millis() as u64;
        LoadReport {
            incarnation: self.incarnation,
            sequence: self.reports,
            running: self.batch.len() as u64,
            waiting: self.waiting.len() as u64,
            pending_tokens: pending * PREFILL_RATE / 1000,
            leaving: self.leaving,
        }
    }
}
