//! What an engine says of itself: load reports and cache events.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chiverelay_decisions::placement::prefix;
use serde_json::Value;
use serde_json::json;

/// Cache events that can still be asked for.
const EVENTS: usize = 64;

/// Blocks that the prefix cache holds.
const BLOCKS: usize = 4096;

#[derive(Debug)]
struct Event {
    sequence: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

/// A prefix cache that drops its oldest blocks.
///
/// # Invariants
///
/// `order` holds the blocks of `held`, oldest first. `events` holds the
/// newest events, without a gap unless one was scripted.
#[derive(Debug, Default)]
struct Cache {
    order: VecDeque<u64>,
    held: HashSet<u64>,
    sequence: u64,
    events: VecDeque<Event>,
}

impl Cache {
    fn store(&mut self, chain: &[u64]) {
        let stored: Vec<u64> = chain
            .iter()
            .copied()
            .filter(|b| self.held.insert(*b))
            .collect();
        if stored.is_empty() {
            return;
        }
        self.order.extend(&stored);
        let excess = self.order.len().saturating_sub(BLOCKS);
        let removed: Vec<u64> = self.order.drain(..excess).collect();
        for block in &removed {
            self.held.remove(block);
        }
        self.sequence += 1;
        self.events.push_back(Event {
            sequence: self.sequence,
            stored,
            removed,
        });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

/// What an engine says of itself.
#[derive(Debug, Default)]
pub struct Reports {
    incarnation: u64,
    sequence: AtomicU64,
    taken: AtomicU64,
    leaving: AtomicBool,
    cache: Mutex<Cache>,
}

impl Reports {
    /// Starts with a cold cache.
    pub(crate) fn new() -> Self {
        Self {
            incarnation: rand::random(),
            ..Self::default()
        }
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request and caches its messages.
    pub(crate) fn take(&self, messages: &Value) {
        self.taken.fetch_add(1, Ordering::Relaxed);
        let mut parts = Vec::new();
        for message in messages.as_array().into_iter().flatten() {
            parts.extend([&message["role"], &message["content"]].map(|v| v.as_str().unwrap_or("")));
        }
        self.cache().store(&prefix::block_hashes(parts));
    }

    /// Returns the number of requests taken.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Says from now on whether the engine is about to stop.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns a load report.
    pub(crate) fn load(&self, running: u64, cancelled: u64) -> Value {
        json!({
            "incarnation": self.incarnation,
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "running": running,
            "cancelled": cancelled,
            "leaving": self.leaving.load(Ordering::Relaxed),
        })
    }

    /// Returns the cache events after the one that the query `after=N` names.
    pub(crate) fn cache_events(&self, query: &str) -> Value {
        let after: u64 = query
            .strip_prefix("after=")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let cache = self.cache();
        let events: Vec<Value> = cache
            .events
            .iter()
            .filter(|e| e.sequence > after)
            .map(|e| json!({"sequence": e.sequence, "stored": e.stored, "removed": e.removed}))
            .collect();
        json!({"latest": cache.sequence, "events": events})
    }
}
