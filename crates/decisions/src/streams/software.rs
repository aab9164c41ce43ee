//! The software that a pool's targets have or had lately.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::MIN_LIFETIME;
use super::PoolSoftware;
use crate::names::Pool;
use crate::names::SoftwareVersion;

/// Time between the instances of a region that may make the same change of a
/// mark, one after the other.
pub const MARK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which new streams avoid software that has no mark yet. Later it is
/// used without one, as the store may refuse to write it.
pub const MARK_PATIENCE: Duration = Duration::from_secs(3);

/// Part of the spread of the first marks for each known instance.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(2);

/// Longest spread of the first marks.
const MAX_SPREAD: Duration = Duration::from_millis(400);

/// When an instance may make a change that others may make, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkTurn {
    /// After so many instances of its region.
    Rank(usize),
    /// After this time, as too few of the others are known for an order.
    Spread(Duration),
}

impl MarkTurn {
    /// Returns the turn of an instance that has just started and knows so many
    /// instances. `random` is drawn once for the process.
    pub fn after_start(known_instances: usize, random: u64) -> Self {
        let instances = u32::try_from(known_instances).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_INSTANCE.saturating_mul(instances);
        let part = random as f64 / u64::MAX as f64;
        Self::Spread(spread.min(MAX_SPREAD).mul_f64(part))
    }

    fn delay(self) -> Duration {
        match self {
            Self::Rank(rank) => {
                let rank = u32::try_from(rank).unwrap_or(u32::MAX);
                MARK_INTERVAL.saturating_mul(rank)
            }
            Self::Spread(delay) => delay,
        }
    }
}

/// What is known of some software of a pool.
///
/// # Invariants
///
/// All times are on the local monotonic clock.
#[derive(Clone, Debug)]
struct Seen {
    /// When a target last had it, as far as is known, or the mark was first read.
    seen_at: Duration,
    /// Until when it counts from then on.
    kept_until: Duration,
    /// When it was first seen, or its mark was removed.
    unmarked_at: Duration,
    /// Whether the store has a mark of it.
    is_marked: bool,
    /// Whether a stream began at it here while it had no mark.
    has_unmarked_stream: bool,
}

/// A change of the marks in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkChange {
    /// The software is in use and has no mark.
    Add(PoolSoftware),
    /// No target has had the software for the lifetime of a stream.
    Remove(PoolSoftware),
}

/// What to do about the marks next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkStep {
    /// This change is due.
    Due(MarkChange),
    /// Nothing is due before this time on the local monotonic clock.
    WaitUntil(Duration),
    /// Nothing is due until something changes.
    Wait,
}

/// The software that targets of each pool have or had lately.
///
/// Software in use is marked in the store, so that instances that start after
/// its targets have left know of it: streams that it began may still be resumed.
#[derive(Clone, Debug)]
pub struct SoftwareHistory {
    seen: HashMap<PoolSoftware, Seen>,
    /// Time for which software counts after its last target has left the
    /// records. Streams that it began may be resumed meanwhile.
    retention: Duration,
}

impl Default for SoftwareHistory {
    fn default() -> Self {
        Self {
            seen: HashMap::new(),
            retention: MIN_LIFETIME,
        }
    }
}

impl SoftwareHistory {
    /// Sets the time for which software counts after its last target has left
    /// the records. What was seen before counts for as long as it did, as
    /// streams that began then may last longer than those that begin now.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
        for seen in self.seen.values_mut() {
            seen.keep(retention);
        }
    }

    /// Records that a target of the pool has the software, by its record, its
    /// answer or another instance. Returns whether the software is new.
    pub fn observe(&mut self, software: &PoolSoftware, now: Duration) -> bool {
        if let Some(seen) = self.seen.get_mut(software) {
            seen.seen_at = now;
            seen.keep(self.retention);
            return false;
        }
        let seen = Seen {
            seen_at: now,
            kept_until: now + self.retention,
            unmarked_at: now,
            is_marked: false,
            has_unmarked_stream: false,
        };
        self.seen.insert(software.clone(), seen);
        true
    }

    /// Records that a stream began here at the software, which is marked out of
    /// turn then. Returns whether the software is new.
    pub fn observe_stream(&mut self, software: &PoolSoftware, now: Duration) -> bool {
        let is_new = self.observe(software, now);
        if let Some(seen) = self.seen.get_mut(software) {
            seen.has_unmarked_stream = !seen.is_marked;
        }
        is_new
    }

    /// Tells whether a stream began here at the software while it had no mark.
    pub fn has_unmarked_stream(&self, software: &PoolSoftware) -> bool {
        let seen = self.seen.get(software);
        seen.is_some_and(|seen| seen.has_unmarked_stream)
    }

    /// Records a mark in the store. Returns whether the software is new.
    pub fn record_mark(&mut self, software: PoolSoftware, now: Duration) -> bool {
        let is_new = !self.seen.contains_key(&software);
        let seen = self.seen.entry(software).or_insert(Seen {
            seen_at: now,
            kept_until: now + self.retention,
            unmarked_at: now,
            is_marked: true,
            has_unmarked_stream: false,
        });
        seen.is_marked = true;
        seen.has_unmarked_stream = false;
        is_new
    }

    /// Records that the store has no mark of the software.
    pub fn record_unmarked(&mut self, software: &PoolSoftware, now: Duration) {
        if let Some(seen) = self.seen.get_mut(software) {
            seen.unmark(now);
        }
    }

    /// Applies a complete listing of the marks, and returns the software that is
    /// new.
    pub fn reconcile_marks(
        &mut self,
        listed: &HashSet<PoolSoftware>,
        now: Duration,
    ) -> Vec<PoolSoftware> {
        for (software, seen) in &mut self.seen {
            if !listed.contains(software) {
                seen.unmark(now);
            }
        }
        let mut new: Vec<PoolSoftware> = listed.iter().cloned().collect();
        new.retain(|software| self.record_mark(software.clone(), now));
        new
    }

    /// Lists the software that may have begun streams of the pool that are still
    /// resumed. What is on record was observed before.
    pub fn possible(&self, pool: &Pool, now: Duration) -> Vec<SoftwareVersion> {
        let of_pool = self.seen.iter().filter(|(key, _)| key.pool == *pool);
        let possible = of_pool.filter(|(_, seen)| seen.is_marked || !seen.is_outdated(now));
        possible.map(|(key, _)| key.software.clone()).collect()
    }

    /// Lists the software of the pool that has no mark yet, but soon will.
    pub fn awaiting_mark(&self, pool: &Pool, now: Duration) -> Vec<SoftwareVersion> {
        let is_awaited = |seen: &Seen| !seen.is_marked && now < seen.unmarked_at + MARK_PATIENCE;
        let of_pool = self.seen.iter().filter(|(key, _)| key.pool == *pool);
        let awaited = of_pool.filter(|(_, seen)| is_awaited(seen));
        awaited.map(|(key, _)| key.software.clone()).collect()
    }

    /// Returns what to do about the marks of the pools that `needs_marks`
    /// accepts. `turn` is that of this instance among those that may make the
    /// same change.
    pub fn next_mark_step<P, T>(&mut self, needs_marks: P, turn: T, now: Duration) -> MarkStep
    where
        P: Fn(&Pool) -> bool,
        T: Fn(&PoolSoftware) -> MarkTurn,
    {
        self.seen
            .retain(|_, seen| seen.is_marked || !seen.is_outdated(now));
        let mut next: Option<Duration> = None;
        for (software, seen) in &self.seen {
            // A mark that is no longer needed is removed, too.
            if !seen.is_marked && !needs_marks(&software.pool) {
                continue;
            }
            let due_at = match (seen.is_marked, seen.has_unmarked_stream) {
                (true, _) => seen.kept_until + turn(software).delay(),
                (false, true) => now,
                (false, false) => seen.unmarked_at + turn(software).delay(),
            };
            if due_at <= now {
                let change = match seen.is_marked {
                    true => MarkChange::Remove(software.clone()),
                    false => MarkChange::Add(software.clone()),
                };
                return MarkStep::Due(change);
            }
            next = Some(next.map_or(due_at, |next| next.min(due_at)));
        }
        next.map_or(MarkStep::Wait, MarkStep::WaitUntil)
    }
}

impl Seen {
    /// Keeps the software for so long at least from when it was seen.
    fn keep(&mut self, retention: Duration) {
        self.kept_until = self.kept_until.max(self.seen_at + retention);
    }

    fn unmark(&mut self, now: Duration) {
        if self.is_marked {
            self.is_marked = false;
            self.unmarked_at = now;
        }
    }

    /// Tells whether no target has had the software for long enough.
    fn is_outdated(&self, now: Duration) -> bool {
        now >= self.kept_until
    }
}
