//! Updates of the targets' load, health and prefix caches.

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
use crate::placement::LatencyInputs;
use crate::placement::LoadReport;
use crate::placement::PoolSummary;
use crate::placement::ReportFreshness;
use crate::placement::SequenceGap;
use crate::placement::TargetState;

/// How long a target counts as leaving after the service registry last listed
/// it as leaving.
const LEAVING_LIST_TTL: Duration = Duration::from_secs(30);

fn observe(tables: &Tables, target: &Target, event: HealthEvent, now: Duration) {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |state| {
            state.health.observe(event, now);
        });
}

/// Records that a target can't be reached, or accepts no requests, which ejects
/// it.
pub fn mark_unreachable(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, HealthEvent::Unreachable, now);
}

/// Records that a request to a target failed.
pub fn record_failure(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, HealthEvent::Failure, now);
}

/// Records that a target began to answer a request.
pub fn record_success(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, HealthEvent::Success, now);
}

/// Counts a request as running at a target.
pub fn request_started(tables: &Tables, target: &Target) {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |state| state.running += 1);
}

/// Counts a request as ended at a target, and wakes the next waiting request of
/// its pool.
pub fn request_finished(tables: &Tables, target: &Target) {
    let pool = tables.targets.with(target, |state| {
        let state = state?;
        state.running = state.running.saturating_sub(1);
        state.pool.clone()
    });
    if let Some(pool) = pool {
        wake_next(tables, &pool);
    }
}

/// Applies a target's load report made at `at`.
pub fn apply_load_report(tables: &Tables, target: &Target, report: LoadReport, at: Duration) {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |state| {
            match state.apply_report(report, at) {
                ReportFreshness::Stale => return,
                ReportFreshness::Newer => {}
                ReportFreshness::Restarted => reset_restarted_target(state, at),
            }
            let event = if report.leaving {
                HealthEvent::Leaving
            } else {
                HealthEvent::Accepting
            };
            state.health.observe(event, at);
        });
}

/// Clears the cache of a restarted target and begins its slow start.
fn reset_restarted_target(state: &mut TargetState, now: Duration) {
    state.cache.reset();
    state.health.observe(HealthEvent::Restarted, now);
}

/// Sets which targets are leaving by the service registry's list.
///
/// New requests go again to a target that the list no longer shows as leaving,
/// or when no list was received for [`LEAVING_LIST_TTL`].
pub fn set_leaving_targets(tables: &Tables, leaving: &BTreeSet<Target>, now: Duration) {
    let config = tables.config.get();
    for target in config.pools.values().flat_map(|p| p.targets.keys()) {
        if leaving.contains(target) {
            tables
                .targets
                .with_or_insert(target, TargetState::default, |state| {
                    state.set_leaving_until(Some(now + LEAVING_LIST_TTL));
                });
            continue;
        }
        tables.targets.with(target, |state| {
            if let Some(state) = state {
                state.set_leaving_until(None);
            }
        });
    }
}

/// Returns the sequence number of the last applied event of a target's prefix
/// cache; 0 if there is none.
pub fn cache_sequence(tables: &Tables, target: &Target) -> u64 {
    tables
        .targets
        .with(target, |state| state.map_or(0, |s| s.cache.sequence()))
}

/// Applies an event of a target's prefix cache.
///
/// # Errors
///
/// Reports a gap in the sequence. The blocks recorded before it have become
/// unconfirmed.
pub fn apply_cache_event(
    tables: &Tables,
    target: &Target,
    sequence: u64,
    stored: &[u64],
    removed: &[u64],
) -> Result<(), SequenceGap> {
    tables
        .targets
        .with_or_insert(target, TargetState::default, |state| {
            state.cache.apply(sequence, stored, removed)
        })
}

/// Counts the other instances of a region that accept requests.
pub(super) fn count_peers(tables: &Tables, own_region: &Region) -> u64 {
    let mut peers = 0;
    tables.siblings.for_each(|_, sibling| {
        if sibling.serving && sibling.region == *own_region {
            peers += 1;
        }
    });
    peers
}

/// Returns the summaries of this region's pools that have a usable target.
pub fn pool_summaries(tables: &Tables, own_region: &Region, now: Duration) -> Vec<PoolSummary> {
    let config = tables.config.get();
    let peers = count_peers(tables, own_region);
    config
        .pools
        .iter()
        .filter_map(|(name, entry)| summary(tables, name, entry, own_region, peers, now))
        .collect()
}

fn summary(
    tables: &Tables,
    name: &Pool,
    entry: &PoolEntry,
    own_region: &Region,
    peers: u64,
    now: Duration,
) -> Option<PoolSummary> {
    let (mut slots, mut running) = (0, 0);
    let mut times = Vec::new();
    for (target, target_entry) in &entry.targets {
        if target_entry.region != *own_region {
            continue;
        }
        let estimate = tables
            .targets
            .with_or_insert(target, TargetState::default, |state| {
                let usable = matches!(
                    state.status(now),
                    HealthStatus::Healthy | HealthStatus::Suspect
                );
                usable.then(|| estimate_target(state, entry, &[], 0, peers, Duration::ZERO, now))
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

/// Counts the free slots of a pool in this region; `None` if all its targets
/// there are ejected or leaving.
pub(super) fn free_slots(
    tables: &Tables,
    entry: &PoolEntry,
    own_region: &Region,
    peers: u64,
    now: Duration,
) -> Option<u64> {
    let mut free = None;
    for (target, target_entry) in &entry.targets {
        if target_entry.region != *own_region {
            continue;
        }
        let found = tables
            .targets
            .with_or_insert(target, TargetState::default, |state| {
                let usable = !matches!(
                    state.status(now),
                    HealthStatus::Ejected | HealthStatus::Leaving
                );
                let slots =
                    entry.slots * state.health.capacity_per_mille(entry.ramp_up_time(), now) / 1000;
                usable.then(|| slots.saturating_sub(state.estimated_running(peers, now)))
            });
        if let Some(found) = found {
            free = Some(free.unwrap_or(0) + found);
        }
    }
    free
}

/// Returns the inputs to the expected time to the first token of a prompt at a
/// target.
pub(super) fn estimate_target(
    state: &mut TargetState,
    entry: &PoolEntry,
    block_hashes: &[u64],
    prompt_tokens: u64,
    peers: u64,
    round_trip: Duration,
    now: Duration,
) -> LatencyInputs {
    LatencyInputs {
        uncached_tokens: prompt_tokens.saturating_sub(state.cache.cached_tokens(block_hashes)),
        pending_tokens: state.estimated_pending(entry.prefill_rate, now),
        running: state.estimated_running(peers, now),
        slots: entry.slots,
        prefill_rate: entry.prefill_rate,
        mean_service_time: state.mean_service_time(),
        round_trip,
        capacity_per_mille: state.health.capacity_per_mille(entry.ramp_up_time(), now),
    }
}
