//! What is seen of targets: load, health and caches.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Tables;
use super::wait::wake_next;
use crate::config::PoolEntry;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::HealthEvent;
use crate::placement::HealthStatus;
use crate::placement::LatencyEstimate;
use crate::placement::LoadReport;
use crate::placement::PoolSummary;
use crate::placement::ReportFreshness;
use crate::placement::SequenceGap;
use crate::placement::TargetState;

/// Time for which the platform's list holds without a newer one.
const LEAVING_HINT_TTL: Duration = Duration::from_secs(30);

fn observe(tables: &Tables, target: &Target, sign: HealthEvent, now: Duration) {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |load| {
            load.health.observe(sign, now);
        });
}

/// Sends no new work for a while to a target that takes none.
pub fn mark_unreachable(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, HealthEvent::Unreachable, now);
}

/// Takes note that a target failed at a request.
pub fn record_failure(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, HealthEvent::Failure, now);
}

/// Takes note that a target began to answer.
pub fn record_success(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, HealthEvent::Success, now);
}

/// Counts a request as running at its target.
pub fn request_started(tables: &Tables, target: &Target) {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |load| load.running += 1);
}

/// Counts a request as ended at its target, and wakes one that waits.
pub fn request_finished(tables: &Tables, target: &Target) {
    let pool = tables.targets.with(target, |load| {
        let load = load?;
        load.running = load.running.saturating_sub(1);
        load.pool.clone()
    });
    if let Some(pool) = pool {
        wake_next(tables, &pool);
    }
}

/// Takes note of a target's load report, which was true at `at`.
pub fn apply_load_report(tables: &Tables, target: &Target, report: LoadReport, at: Duration) {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |load| {
            match load.apply_report(report, at) {
                ReportFreshness::Stale => return,
                ReportFreshness::Newer => {}
                ReportFreshness::Restarted => reset_cold_target(load, at),
            }
            let sign = if report.leaving {
                HealthEvent::Leaving
            } else {
                HealthEvent::Accepting
            };
            load.health.observe(sign, at);
        });
}

/// Starts a target slowly whose cache is cold.
fn reset_cold_target(load: &mut TargetState, now: Duration) {
    load.cache.reset();
    load.health.observe(HealthEvent::Restarted, now);
}

/// Takes note of which targets the platform's list calls leaving.
///
/// A target that the list no longer calls so takes new work again, and also
/// when no list was had for [`LEAVING_HINT_TTL`].
pub fn set_leaving_targets(tables: &Tables, leaving: &BTreeSet<Target>, now: Duration) {
    let config = tables.config.get();
    for target in config.pools.values().flat_map(|p| p.targets.keys()) {
        if leaving.contains(target) {
            tables
                .targets
                .with_or_insert(target, TargetState::default, |load| {
                    load.set_leaving_until(Some(now + LEAVING_HINT_TTL));
                });
            continue;
        }
        tables.targets.with(target, |load| {
            if let Some(load) = load {
                load.set_leaving_until(None);
            }
        });
    }
}

/// Returns the number of the last event applied of a target's prefix cache.
pub fn cache_sequence(tables: &Tables, target: &Target) -> u64 {
    tables
        .targets
        .with(target, |load| load.map_or(0, |l| l.cache.sequence()))
}

/// Applies one event of a target's prefix cache.
///
/// # Errors
///
/// Reports a gap, which dropped the view of the cache.
pub fn apply_cache_event(
    tables: &Tables,
    target: &Target,
    sequence: u64,
    stored: &[u64],
    removed: &[u64],
) -> Result<(), SequenceGap> {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |load| {
            load.cache.apply(sequence, stored, removed)
        })
}

/// Counts the other instances of a region that take work.
pub(super) fn count_peers(tables: &Tables, here: &Region) -> u64 {
    let mut peers = 0;
    tables.siblings.for_each(|_, sibling| {
        if sibling.serving && sibling.region == *here {
            peers += 1;
        }
    });
    peers
}

/// Returns the summaries of this region's pools.
pub fn pool_summaries(tables: &Tables, here: &Region, now: Duration) -> Vec<PoolSummary> {
    let config = tables.config.get();
    let peers = count_peers(tables, here);
    config
        .pools
        .iter()
        .filter_map(|(name, entry)| summary(tables, name, entry, here, peers, now))
        .collect()
}

fn summary(
    tables: &Tables,
    name: &Pool,
    entry: &PoolEntry,
    here: &Region,
    peers: u64,
    now: Duration,
) -> Option<PoolSummary> {
    let (mut slots, mut running) = (0, 0);
    let mut times = Vec::new();
    for (target, at) in &entry.targets {
        if at.region != *here {
            continue;
        }
        let estimate = tables
            .targets
            .with_or_insert(target, TargetState::default, |load| {
                let usable = matches!(
                    load.status(now),
                    HealthStatus::Healthy | HealthStatus::Suspect
                );
                usable.then(|| estimate_target(load, entry, &[], 0, peers, Duration::ZERO, now))
            });
        if let Some(estimate) = estimate {
            slots += entry.slots * estimate.capacity_per_mille / 1000;
            running += estimate.running;
            times.push(estimate.time_to_first_token());
        }
    }
    times.sort_unstable();
    let first_token = times.get(times.len() / 2)?.as_millis();
    let queued = tables.queues.with(name, |w| w.map_or(0, |w| w.queue.len()));
    Some(PoolSummary {
        pool: name.clone(),
        slots: slots.max(1) as u32,
        running: running as u32,
        queued: queued as u32,
        first_token_ms: first_token as u32,
        prefill_rate: entry.prefill_rate as u32,
    })
}

/// Counts the free slots of a pool in this region; `None` if no target is usable.
pub(super) fn free_slots(
    tables: &Tables,
    entry: &PoolEntry,
    here: &Region,
    peers: u64,
    now: Duration,
) -> Option<u64> {
    let mut free = None;
    for (target, at) in &entry.targets {
        if at.region != *here {
            continue;
        }
        let found = tables
            .targets
            .with_or_insert(target, TargetState::default, |load| {
                let usable = !matches!(
                    load.status(now),
                    HealthStatus::Ejected | HealthStatus::Leaving
                );
                let slots = entry.slots * load.health.capacity_per_mille(entry.ramp(), now) / 1000;
                usable.then(|| slots.saturating_sub(load.estimated_running(peers, now)))
            });
        if let Some(found) = found {
            free = Some(free.unwrap_or(0) + found);
        }
    }
    free
}

/// Estimates the time to the first token of a prompt at a target.
pub(super) fn estimate_target(
    load: &mut TargetState,
    entry: &PoolEntry,
    chain: &[u64],
    prompt_tokens: u64,
    peers: u64,
    round_trip: Duration,
    now: Duration,
) -> LatencyEstimate {
    LatencyEstimate {
        uncached_tokens: prompt_tokens.saturating_sub(load.cache.cached_tokens(chain)),
        pending_tokens: load.estimated_pending(entry.prefill_rate, now),
        running: load.estimated_running(peers, now),
        slots: entry.slots,
        prefill_rate: entry.prefill_rate,
        mean_service_time: load.mean_service_time(),
        round_trip,
        capacity_per_mille: load.health.capacity_per_mille(entry.ramp(), now),
    }
}
