//! Summaries of the load of other regions' pools, and how they spread within
//! this region.
//!
//! In a large fleet only relays receive summaries from other regions. They
//! relay significant changes to their own region, where each instance that
//! receives a change relays it a few times.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Pool;
use crate::names::Region;
use crate::placement::PoolSummary;

/// Maximum number of summaries that one heartbeat relays.
pub const MAX_RELAYED_SUMMARIES: usize = 20;

/// Number of heartbeats that carry a change.
const RELAY_ROUNDS: u32 = 3;

/// Minimum time between two changes of the same summary that a relay sends on.
/// With this interval, the changes of eight regions with 26 pools each just fit
/// into the heartbeats.
const MIN_RELAY_INTERVAL: Duration = Duration::from_secs(8);

/// Minimum time between two changes of the same summary that other instances
/// forward. Two relays may send different summaries at about the same time.
const MIN_FORWARD_INTERVAL: Duration = Duration::from_secs(4);

/// Time after which an unchanged summary is relayed again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(16);

/// Time after which a summary that was not received again is dropped.
const SUMMARY_TTL: Duration = Duration::from_secs(60);

/// A change of a count is significant if it exceeds the pool's slots divided by
/// this number.
const SLOTS_DIVISOR: u32 = 8;

/// A change of the time to first token or of the prefill rate is significant if
/// it exceeds the old value divided by this number.
const ESTIMATE_DIVISOR: u32 = 4;

/// A summary with its age.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgedSummary {
    /// Milliseconds since the region sent the summary.
    pub age_ms: u64,
    /// The summary. Its slots are zero if the region no longer has the pool.
    pub summary: PoolSummary,
}

/// Summaries of a region that one instance relays to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionSummaries {
    /// The region that the summaries describe.
    pub region: Region,
    /// The summaries with their ages.
    pub summaries: Vec<AgedSummary>,
}

/// The last known summary of one pool in another region.
///
/// # Invariants
///
/// `reported_at` is the time at which the region sent `summary`, on the local
/// monotonic clock. `relayed` is the summary last scheduled for relaying within
/// this region, `relayed_at` the time at which it was scheduled, and
/// `rounds_left` the number of heartbeats still to carry it.
#[derive(Clone, Debug)]
struct KnownSummary {
    summary: PoolSummary,
    reported_at: Duration,
    relayed: PoolSummary,
    relayed_at: Duration,
    rounds_left: u32,
}

/// The last known summaries of other regions' pools.
#[derive(Clone, Debug, Default)]
pub struct RemoteSummaries {
    known: BTreeMap<(Region, Pool), KnownSummary>,
}

fn differs_by_more(a: u32, b: u32, threshold: u32) -> bool {
    a.abs_diff(b) > threshold
}

/// Returns true if a change is large enough to be relayed.
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
    fn new(summary: &PoolSummary, reported_at: Duration, now: Duration) -> Self {
        Self {
            summary: summary.clone(),
            reported_at,
            relayed: summary.clone(),
            relayed_at: now,
            rounds_left: RELAY_ROUNDS,
        }
    }

    /// Replaces the summary by one received from the region itself.
    fn update_direct(&mut self, summary: &PoolSummary, now: Duration) {
        self.summary = summary.clone();
        self.reported_at = now;
        let since_relayed = now.saturating_sub(self.relayed_at);
        let changed =
            since_relayed >= MIN_RELAY_INTERVAL && is_significant_change(&self.relayed, summary);
        if changed || since_relayed >= REFRESH_INTERVAL {
            self.schedule_relay(now);
        }
    }

    /// Replaces the summary by one that an instance of this region relayed, if
    /// that is newer.
    fn update_relayed(&mut self, summary: &PoolSummary, reported_at: Duration, now: Duration) {
        if reported_at <= self.reported_at {
            return;
        }
        self.reported_at = reported_at;
        self.summary = summary.clone();
        let since_relayed = now.saturating_sub(self.relayed_at);
        let changed = since_relayed >= MIN_FORWARD_INTERVAL && self.relayed != *summary;
        if changed || since_relayed >= REFRESH_INTERVAL / 2 {
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
    /// Records the summaries of all pools of a region, received from one of its
    /// instances. A known pool that is missing is recorded as removed.
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

    /// Records summaries that an instance of this region relayed.
    pub fn record_relayed(&mut self, relayed: &[RegionSummaries], now: Duration) {
        for RegionSummaries { region, summaries } in relayed {
            for AgedSummary { age_ms, summary } in summaries {
                let reported_at = now.saturating_sub(Duration::from_millis(*age_ms));
                let key = (region.clone(), summary.pool.clone());
                let known = self.known.entry(key);
                known
                    .and_modify(|known| known.update_relayed(summary, reported_at, now))
                    .or_insert_with(|| KnownSummary::new(summary, reported_at, now));
            }
        }
    }

    /// Returns the summaries to relay with a heartbeat, and counts this
    /// transmission. Those sent least often come first, and among them the ones
    /// changed earliest.
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
        let mut relayed: BTreeMap<&Region, Vec<AgedSummary>> = BTreeMap::new();
        for ((region, _), known) in changed {
            known.rounds_left -= 1;
            let age = now.saturating_sub(known.reported_at);
            relayed.entry(region).or_default().push(AgedSummary {
                age_ms: age.as_millis() as u64,
                summary: known.summary.clone(),
            });
        }
        let relayed = relayed.into_iter();
        relayed
            .map(|(region, summaries)| RegionSummaries {
                region: region.clone(),
                summaries,
            })
            .collect()
    }

    /// Returns the last known summaries of a region's pools.
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
