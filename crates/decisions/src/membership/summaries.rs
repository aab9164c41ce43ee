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
pub const MAX_RELAYED_SUMMARIES: usize = 20;

/// Heartbeats that carry a change.
const RELAY_ROUNDS: u32 = 3;

/// Time between two changes of one summary that a relay passes on. Eight
/// regions of 26 pools that all change then just fit into the heartbeats.
const MIN_RELAY_INTERVAL: Duration = Duration::from_secs(8);

/// Time between two changes of one summary that others pass on, as two relays
/// may tell different ones at about the same time.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Time after which a summary is passed on though it has not changed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(16);

/// A summary that was not heard for so long is forgotten.
const SUMMARY_TTL: Duration = Duration::from_secs(60);

/// Part of the slots by which a change is passed on.
const SLOTS_DIVISOR: u32 = 8;

/// Part of the expected time to the first token by which a change is passed on.
const ESTIMATE_DIVISOR: u32 = 4;

/// A summary and when its region told it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgedSummary {
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
    pub summaries: Vec<AgedSummary>,
}

/// # Invariants
///
/// `at` is when the region told `summary`, on the local monotonic clock.
/// `passed` is what this region's instances were last told, and `passed_at`
/// when.
#[derive(Clone, Debug)]
struct KnownSummary {
    summary: PoolSummary,
    reported_at: Duration,
    relayed: PoolSummary,
    relayed_at: Duration,
    rounds_left: u32,
}

/// What is known of the pools of other regions.
#[derive(Clone, Debug, Default)]
pub struct RemoteSummaries {
    known: BTreeMap<(Region, Pool), KnownSummary>,
}

fn differs_by_more(a: u32, b: u32, threshold: u32) -> bool {
    a.abs_diff(b) > threshold
}

/// Tells whether a change is large enough to be passed on.
fn is_significant_change(old: &PoolSummary, new: &PoolSummary) -> bool {
    old.has_free_slot() != new.has_free_slot()
        || (old.slots == 0) != (new.slots == 0)
        || differs_by_more(old.slots, new.slots, old.slots / SLOTS_DIVISOR)
        || differs_by_more(old.running, new.running, old.slots / SLOTS_DIVISOR)
        || differs_by_more(old.queued, new.queued, old.slots / SLOTS_DIVISOR)
        || differs_by_more(
            old.first_token_ms,
            new.first_token_ms,
            old.first_token_ms / ESTIMATE_DIVISOR,
        )
        || differs_by_more(
            old.prefill_rate,
            new.prefill_rate,
            old.prefill_rate / ESTIMATE_DIVISOR,
        )
}

impl KnownSummary {
    fn new(summary: &PoolSummary, at: Duration, now: Duration) -> Self {
        Self {
            summary: summary.clone(),
            reported_at: at,
            relayed: summary.clone(),
            relayed_at: now,
            rounds_left: RELAY_ROUNDS,
        }
    }

    /// Takes what the region itself told.
    fn update_direct(&mut self, summary: &PoolSummary, now: Duration) {
        self.summary = summary.clone();
        self.reported_at = now;
        let since = now.saturating_sub(self.relayed_at);
        let changed = since >= MIN_RELAY_INTERVAL && is_significant_change(&self.relayed, summary);
        if changed || since >= REFRESH_INTERVAL {
            self.schedule_relay(now);
        }
    }

    /// Takes what an instance of the own region passed on.
    fn update_relayed(&mut self, summary: &PoolSummary, at: Duration, now: Duration) {
        if at <= self.reported_at {
            return;
        }
        self.reported_at = at;
        self.summary = summary.clone();
        let since = now.saturating_sub(self.relayed_at);
        let changed = since >= MIN_REPEAT_INTERVAL && self.relayed != *summary;
        if changed || since >= REFRESH_INTERVAL / 2 {
            self.schedule_relay(now);
        }
    }

    fn schedule_relay(&mut self, now: Duration) {
        self.relayed = self.summary.clone();
        self.relayed_at = now;
        self.rounds_left = RELAY_ROUNDS;
    }
}

impl RemoteSummaries {
    /// Takes note of what an instance says of all pools of its region.
    pub fn record_region(&mut self, region: &Region, summaries: &[PoolSummary], now: Duration) {
        for ((_, pool), known) in self.in_region_mut(region) {
            if !summaries.iter().any(|s| s.pool == *pool) {
                let removed = PoolSummary {
                    slots: 0,
                    ..known.summary.clone()
                };
                known.update_direct(&removed, now);
            }
        }
        for summary in summaries {
            let key = (region.clone(), summary.pool.clone());
            let known = self.known.entry(key);
            known
                .and_modify(|known| known.update_direct(summary, now))
                .or_insert_with(|| KnownSummary::new(summary, now, now));
        }
    }

    /// Takes note of what an instance of the own region passes on.
    pub fn record_relayed(&mut self, passed: &[RegionSummaries], now: Duration) {
        for RegionSummaries { region, summaries } in passed {
            for AgedSummary { age_ms, summary } in summaries {
                let at = now.saturating_sub(Duration::from_millis(*age_ms));
                let key = (region.clone(), summary.pool.clone());
                let known = self.known.entry(key);
                known
                    .and_modify(|known| known.update_relayed(summary, at, now))
                    .or_insert_with(|| KnownSummary::new(summary, at, now));
            }
        }
    }

    /// Takes what to pass on with a heartbeat: what was told least often, the
    /// oldest first.
    pub fn take_due(&mut self, now: Duration) -> Vec<RegionSummaries> {
        self.known
            .retain(|_, known| known.reported_at + SUMMARY_TTL > now);
        let changed = self
            .known
            .iter_mut()
            .filter(|(_, known)| known.rounds_left > 0);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, known)| (Reverse(known.rounds_left), known.relayed_at));
        changed.truncate(MAX_RELAYED_SUMMARIES);
        let mut passed: BTreeMap<&Region, Vec<AgedSummary>> = BTreeMap::new();
        for ((region, _), known) in changed {
            known.rounds_left -= 1;
            let age = now.saturating_sub(known.reported_at);
            passed.entry(region).or_default().push(AgedSummary {
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
    pub fn in_region(&self, region: &Region) -> Vec<PoolSummary> {
        let known = self.known.iter();
        known
            .filter(|((at, _), known)| at == region && known.summary.slots > 0)
            .map(|(_, known)| known.summary.clone())
            .collect()
    }

    fn in_region_mut(
        &mut self,
        region: &Region,
    ) -> impl Iterator<Item = (&(Region, Pool), &mut KnownSummary)> {
        self.known
            .iter_mut()
            .filter(move |((at, _), _)| at == region)
    }
}
