//! What is seen of targets: load, health and caches.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Tables;
use super::wait::wake_next;
use crate::config::PoolEntry;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::Estimate;
use crate::placement::Gap;
use crate::placement::Load;
use crate::placement::Novelty;
use crate::placement::Report;
use crate::placement::Sign;
use crate::placement::Status;
use crate::placement::Summary;

/// Time for which the platform's list holds without a newer one.
const LISTED: Duration = Duration::from_secs(30);

fn observe(tables: &Tables, target: &Target, sign: Sign, now: Duration) {
    tables
        .targets
        .with_or_insert(target, Load::default, |load| {
            load.health.observe(sign, now);
        });
}

/// Sends no new work for a while to a target that takes none.
pub fn eject(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, Sign::Unreachable, now);
}

/// Takes note that a target failed at a request.
pub fn fail(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, Sign::Failure, now);
}

/// Takes note that a target began to answer.
pub fn succeed(tables: &Tables, target: &Target, now: Duration) {
    observe(tables, target, Sign::Success, now);
}

/// Counts a request as running at its target.
pub fn start(tables: &Tables, target: &Target) {
    tables
        .targets
        .with_or_insert(target, Load::default, |load| load.running += 1);
}

/// Counts a request as ended at its target, and wakes one that waits.
pub fn finish(tables: &Tables, target: &Target) {
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
pub fn report(tables: &Tables, target: &Target, report: Report, at: Duration) {
    tables
        .targets
        .with_or_insert(target, Load::default, |load| {
            match load.report(report, at) {
                Novelty::Stale => return,
                Novelty::Newer => {}
                Novelty::Restarted => cold(load, at),
            }
            let sign = if report.leaving {
                Sign::Leaving
            } else {
                Sign::Present
            };
            load.health.observe(sign, at);
        });
}

/// Starts a target slowly whose cache is cold.
fn cold(load: &mut Load, now: Duration) {
    load.cache.reset();
    load.health.observe(Sign::Restarted, now);
}

/// Takes note of which targets the platform's list calls leaving.
///
/// A target that the list no longer calls so takes new work again, and also
/// when no list was had for [`LISTED`].
pub fn list_leaving(tables: &Tables, leaving: &BTreeSet<Target>, now: Duration) {
    let config = tables.config.get();
    for target in config.pools.values().flat_map(|p| p.targets.keys()) {
        if leaving.contains(target) {
            tables
                .targets
                .with_or_insert(target, Load::default, |load| {
                    load.list_leaving(Some(now + LISTED));
                });
            continue;
        }
        tables.targets.with(target, |load| {
            if let Some(load) = load {
                load.list_leaving(None);
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
) -> Result<(), Gap> {
    tables
        .targets
        .with_or_insert(target, Load::default, |load| {
            load.cache.apply(sequence, stored, removed)
        })
}

/// Counts the other instances of a region that take work.
pub(super) fn peers(tables: &Tables, here: &Region) -> u64 {
    let mut peers = 0;
    tables.siblings.for_each(|_, sibling| {
        if sibling.serving && sibling.region == *here {
            peers += 1;
        }
    });
    peers
}

/// Returns the summaries of this region's pools.
pub fn summaries(tables: &Tables, here: &Region, now: Duration) -> Vec<Summary> {
    let config = tables.config.get();
    let peers = peers(tables, here);
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
) -> Option<Summary> {
    let (mut slots, mut running) = (0, 0);
    let mut times = Vec::new();
    for (target, at) in &entry.targets {
        if at.region != *here {
            continue;
        }
        let estimate = tables
            .targets
            .with_or_insert(target, Load::default, |load| {
                let usable = matches!(load.status(now), Status::Healthy | Status::Suspect);
                usable.then(|| estimate(load, entry, &[], 0, peers, Duration::ZERO, now))
            });
        if let Some(estimate) = estimate {
            slots += entry.slots * estimate.share / 1000;
            running += estimate.running;
            times.push(estimate.first_token());
        }
    }
    times.sort_unstable();
    let first_token = times.get(times.len() / 2)?.as_millis();
    let queued = tables.queues.with(name, |w| w.map_or(0, |w| w.queue.len()));
    Some(Summary {
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
            .with_or_insert(target, Load::default, |load| {
                let usable = !matches!(load.status(now), Status::Ejected | Status::Leaving);
                let slots = entry.slots * load.health.share(entry.ramp(), now) / 1000;
                usable.then(|| slots.saturating_sub(load.running(peers, now)))
            });
        if let Some(found) = found {
            free = Some(free.unwrap_or(0) + found);
        }
    }
    free
}

/// Estimates the time to the first token of a prompt at a target.
pub(super) fn estimate(
    load: &mut Load,
    entry: &PoolEntry,
    chain: &[u64],
    prompt_tokens: u64,
    peers: u64,
    round_trip: Duration,
    now: Duration,
) -> Estimate {
    Estimate {
        uncached: prompt_tokens.saturating_sub(load.cache.cached_tokens(chain)),
        pending: load.pending(entry.prefill_rate, now),
        running: load.running(peers, now),
        slots: entry.slots,
        prefill_rate: entry.prefill_rate,
        service: load.service(),
        round_trip,
        share: load.health.share(entry.ramp(), now),
    }
}
