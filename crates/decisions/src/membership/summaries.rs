//! What other regions have of each pool, passed on within this region.
//!
//! In a large fleet only relays hear other regions. They pass on what changed
//! by much, and each who hears of it does the same a few times.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Pool;
use crate::names::Region;
use crate::placement::PoolSummary;

/// Summaries that one heartbeat passes on.
pub const MAX_PASSED: usize = 20;

/// Heartbeats that carry a change.
const ROUNDS: u32 = 3;

/// Time between two changes of one summary that a relay passes on. Eight
/// regions of 26 pools that all change then just fit into the heartbeats.
const PACE: Duration = Duration::from_secs(8);

/// Time between two changes of one summary that others pass on, as two relays
/// may tell different ones at about the same time.
const REPEAT_PACE: Duration = Duration::from_secs(4);

/// Time after which a summary is passed on though it has not changed.
const REFRESH: Duration = Duration::from_secs(16);

/// A summary that was not heard for so long is forgotten.
const EXPIRY: Duration = Duration::from_secs(60);

/// Part of the slots by which a change is passed on.
const SLOTS_PART: u32 = 8;

/// Part of the expected time to the first token by which a change is passed on.
const TIME_PART: u32 = 4;

/// A summary and when its region told it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Aged {
    /// Milliseconds since the region told it.
    pub age_ms: u64,
    /// The summary; without slots if the region no longer has the pool.
    pub summary: PoolSummary,
}

/// Summaries of a region, as one instance passes them on to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionSummaries {
    /// The region.
    pub region: Region,
    /// What it told.
    pub summaries: Vec<Aged>,
}

/// # Invariants
///
/// `at` is when the region told `summary`, on the local monotonic clock.
/// `passed` is what this region's instances were last told, and `passed_at`
/// when.
#[derive(Clone, Debug)]
struct Known {
    summary: PoolSummary,
    at: Duration,
    passed: PoolSummary,
    passed_at: Duration,
    rounds: u32,
}

/// What is known of the pools of other regions.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    known: BTreeMap<(Region, Pool), Known>,
}

fn is_far(a: u32, b: u32, step: u32) -> bool {
    a.abs_diff(b) > step
}

/// Tells whether a change is large enough to be passed on.
fn differs(old: &PoolSummary, new: &PoolSummary) -> bool {
    old.has_free_slot() != new.has_free_slot()
        || (old.slots == 0) != (new.slots == 0)
        || is_far(old.slots, new.slots, old.slots / SLOTS_PART)
        || is_far(old.running, new.running, old.slots / SLOTS_PART)
        || is_far(old.queued, new.queued, old.slots / SLOTS_PART)
        || is_far(
            old.first_token_ms,
            new.first_token_ms,
            old.first_token_ms / TIME_PART,
        )
        || is_far(
            old.prefill_rate,
            new.prefill_rate,
            old.prefill_rate / TIME_PART,
        )
}

impl Known {
    fn new(summary: &PoolSummary, at: Duration, now: Duration) -> Self {
        Self {
            summary: summary.clone(),
            at,
            passed: summary.clone(),
            passed_at: now,
            rounds: ROUNDS,
        }
    }

    /// Takes what the region itself told.
    fn hear(&mut self, summary: &PoolSummary, now: Duration) {
        self.summary = summary.clone();
        self.at = now;
        let since = now.saturating_sub(self.passed_at);
        let changed = since >= PACE && differs(&self.passed, summary);
        if changed || since >= REFRESH {
            self.pass(now);
        }
    }

    /// Takes what an instance of the own region passed on.
    fn hear_passed(&mut self, summary: &PoolSummary, at: Duration, now: Duration) {
        if at <= self.at {
            return;
        }
        self.at = at;
        self.summary = summary.clone();
        let since = now.saturating_sub(self.passed_at);
        let changed = since >= REPEAT_PACE && self.passed != *summary;
        if changed || since >= REFRESH / 2 {
            self.pass(now);
        }
    }

    fn pass(&mut self, now: Duration) {
        self.passed = self.summary.clone();
        self.passed_at = now;
        self.rounds = ROUNDS;
    }
}

impl Summaries {
    /// Takes note of what an instance says of all pools of its region.
    pub fn hear(&mut self, region: &Region, summaries: &[PoolSummary], now: Duration) {
        for ((_, pool), known) in self.of_mut(region) {
            if !summaries.iter().any(|s| s.pool == *pool) {
                let gone = PoolSummary {
                    slots: 0,
                    ..known.summary.clone()
                };
                known.hear(&gone, now);
            }
        }
        for summary in summaries {
            let key = (region.clone(), summary.pool.clone());
            let known = self.known.entry(key);
            known
                .and_modify(|known| known.hear(summary, now))
                .or_insert_with(|| Known::new(summary, now, now));
        }
    }

    /// Takes note of what an instance of the own region passes on.
    pub fn hear_passed(&mut self, passed: &[RegionSummaries], now: Duration) {
        for RegionSummaries { region, summaries } in passed {
            for Aged { age_ms, summary } in summaries {
                let at = now.saturating_sub(Duration::from_millis(*age_ms));
                let key = (region.clone(), summary.pool.clone());
                let known = self.known.entry(key);
                known
                    .and_modify(|known| known.hear_passed(summary, at, now))
                    .or_insert_with(|| Known::new(summary, at, now));
            }
        }
    }

    /// Takes what to pass on with a heartbeat: what was told least often, the
    /// oldest first.
    pub fn pass(&mut self, now: Duration) -> Vec<RegionSummaries> {
        self.known.retain(|_, known| known.at + EXPIRY > now);
        let changed = self.known.iter_mut().filter(|(_, known)| known.rounds > 0);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, known)| (Reverse(known.rounds), known.passed_at));
        changed.truncate(MAX_PASSED);
        let mut passed: BTreeMap<&Region, Vec<Aged>> = BTreeMap::new();
        for ((region, _), known) in changed {
            known.rounds -= 1;
            let age = now.saturating_sub(known.at);
            passed.entry(region).or_default().push(Aged {
                age_ms: age.as_millis() as u64,
                summary: known.summary.clone(),
            });
        }
        let passed = passed.into_iter();
        passed
            .map(|(region, summaries)| RegionSummaries {
                region: region.clone(),
                summaries,
            })
            .collect()
    }

    /// Returns what a region has of each pool, as last heard.
    pub fn of(&self, region: &Region) -> Vec<PoolSummary> {
        let known = self.known.iter();
        known
            .filter(|((at, _), known)| at == region && known.summary.slots > 0)
            .map(|(_, known)| known.summary.clone())
            .collect()
    }

    fn of_mut(&mut self, region: &Region) -> impl Iterator<Item = (&(Region, Pool), &mut Known)> {
        self.known
            .iter_mut()
            .filter(move |((at, _), _)| at == region)
    }
}
