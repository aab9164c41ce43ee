//! The targets of this region, as one request sees them.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::PoolQueue;
use super::QueueStatus;
use super::Tables;
use super::targets::count_peers;
use super::targets::estimate_target;
use crate::config::Config;
use crate::config::PoolEntry;
use crate::config::Residency;
use crate::config::TargetEntry;
use crate::names::Region;
use crate::names::Target;
use crate::names::Zone;
use crate::placement::HealthEvent;
use crate::placement::HealthStatus;
use crate::placement::LatencyEstimate;
use crate::placement::TargetState;
use crate::placement::prefix;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::request::Admitted;
use crate::request::Grant;
use crate::request::Placed;
use crate::request::Request;
use crate::step::Peer;
use crate::step::Step;

/// A region's targets are all scored up to this number, else a sample of them.
const MAX_SCORED: usize = 16;

/// Targets scored by rendezvous hashing of the prefix.
const PREFIX_CANDIDATES: usize = 2;

/// Targets scored at random.
const RANDOM_CANDIDATES: usize = 4;

/// How much better the home of a prompt's prefix is taken to be, in percent.
const PREFERRED_DISCOUNT_PERCENT: u32 = 20;

/// Factor on the score of a target that failed lately.
const SUSPECT_FACTOR: u32 = 2;

/// What is the same for all targets while one request is placed.
pub(super) struct LocalPlacer<'a> {
    pub(super) tables: &'a Tables,
    pub(super) entry: &'a PoolEntry,
    pub(super) residency: Residency,
    pub(super) here: &'a Region,
    pub(super) zone: Option<&'a Zone>,
    pub(super) peers: u64,
    pub(super) now: Duration,
}

/// A target with its estimate.
pub(super) struct Candidate<'a> {
    pub(super) name: &'a Target,
    pub(super) status: HealthStatus,
    pub(super) estimate: LatencyEstimate,
    pub(super) time_to_first_token: Duration,
    pub(super) score: Duration,
}

/// Returns where a request may run by the configuration in force, which may
/// have changed since its admission; `None` if it may not run at all.
fn current_residency(config: &Config, grant: &Grant) -> Option<Residency> {
    let route = config.routes.get(&grant.route)?;
    let residency = grant.residency.and(&route.residency);
    let Some(account) = &grant.account else {
        return route.open.then_some(residency);
    };
    if !route.accounts.contains(account) {
        return None;
    }
    Some(residency.and(&config.accounts.get(account)?.residency))
}

/// Earns a share of a retry with a first attempt; spends one with a retry.
fn check_retry_budget<O>(
    tables: &Tables,
    entry: &PoolEntry,
    req: Request<Admitted, O>,
    turn: QueueStatus,
) -> Result<Request<Admitted, O>, Refusal> {
    if turn == QueueStatus::Woken {
        return Ok(req);
    }
    let retry = req.was_dispatched();
    let pool = req.grant().pool.clone();
    let allowed = tables.queues.with_or_insert(
        &pool,
        || PoolQueue::new(entry),
        |waiting| {
            if retry {
                return waiting.retry_budget.try_spend();
            }
            waiting.retry_budget.record_request();
            true
        },
    );
    if allowed {
        return Ok(req);
    }
    Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local))
}

impl<'a> LocalPlacer<'a> {
    /// Checks that a request may be placed, by the configuration in force and
    /// the budget of retries, and looks at its pool.
    pub(super) fn for_request<O>(
        tables: &'a Tables,
        config: &'a Config,
        req: Request<Admitted, O>,
        here: &'a Region,
        turn: QueueStatus,
        now: Duration,
    ) -> Result<(Self, Request<Admitted, O>), Refusal> {
        let Some(entry) = config.pools.get(&req.grant().pool) else {
            return Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local));
        };
        let Some(residency) = current_residency(config, req.grant()) else {
            return Err(req.refuse_not_run(Code::Forbidden, Step::Place, Peer::Local));
        };
        let req = check_retry_budget(tables, entry, req, turn)?;
        Ok((Self::new(tables, entry, residency, here, now), req))
    }

    fn new(
        tables: &'a Tables,
        entry: &'a PoolEntry,
        residency: Residency,
        here: &'a Region,
        now: Duration,
    ) -> Self {
        Self {
            tables,
            entry,
            residency,
            here,
            zone: tables.network.zone.as_ref(),
            peers: count_peers(tables, here),
            now,
        }
    }

    /// Returns the best target that takes new work.
    ///
    /// `last_resort` tells that no other region can answer; then ejected
    /// targets are used if too few others are left.
    pub(super) fn best_candidate<O>(
        &self,
        req: &Request<Admitted, O>,
        last_resort: bool,
    ) -> Option<Candidate<'a>> {
        if !self.residency.allows(self.here) {
            return None;
        }
        let open = self.eligible_targets(req, last_resort);
        let home = preferred_target(&open, req);
        select_candidates(&open, req)
            .into_iter()
            .map(|(name, t)| self.score(req, name, t, home == Some(name)))
            .min_by(|a, b| (a.score, a.name).cmp(&(b.score, b.name)))
    }

    /// Lists the targets of this region that the request may go to.
    ///
    /// The threshold for ejected ones is taken of all targets and not of a
    /// sample, which may by chance hold ejected ones only.
    fn eligible_targets<O>(
        &self,
        req: &Request<Admitted, O>,
        last_resort: bool,
    ) -> Vec<(&'a Target, &'a TargetEntry)> {
        let local: Vec<_> = self
            .entry
            .targets
            .iter()
            .filter(|(name, t)| t.region == *self.here && !req.tried_targets().contains(name))
            .map(|(name, t)| (self.status(name), name, t))
            .filter(|(status, ..)| *status != HealthStatus::Leaving)
            .collect();
        let usable = local
            .iter()
            .filter(|t| t.0 != HealthStatus::Ejected)
            .count();
        let threshold = local.len() as u64 * self.entry.panic_percent;
        let panic = last_resort && usable as u64 * 100 < threshold;
        local
            .into_iter()
            .filter(|(status, ..)| panic || *status != HealthStatus::Ejected)
            .map(|(_, name, t)| (name, t))
            .collect()
    }

    fn status(&self, name: &Target) -> HealthStatus {
        self.tables.targets.with(name, |load| {
            load.map_or(HealthStatus::Healthy, |l| l.status(self.now))
        })
    }

    fn score<O>(
        &self,
        req: &Request<Admitted, O>,
        name: &'a Target,
        target: &TargetEntry,
        is_preferred: bool,
    ) -> Candidate<'a> {
        let head = req.meta();
        let round_trip = match self.zone {
            Some(zone) if *zone == target.zone => Duration::ZERO,
            _ => self.tables.network.zone_round_trip,
        };
        self.tables
            .targets
            .with_or_insert(name, TargetState::default, |load| {
                let status = load.status(self.now);
                let estimate = estimate_target(
                    load,
                    self.entry,
                    &head.prefix,
                    head.prompt_tokens,
                    self.peers,
                    round_trip,
                    self.now,
                );
                let expected = estimate.time_to_first_token();
                let score = estimate.score(self.entry.weights);
                let mut percent = 100;
                if is_preferred {
                    percent -= PREFERRED_DISCOUNT_PERCENT;
                }
                if status == HealthStatus::Suspect {
                    percent *= SUSPECT_FACTOR;
                }
                Candidate {
                    name,
                    status,
                    estimate,
                    time_to_first_token: expected,
                    score: score * percent / 100,
                }
            })
    }

    /// Tells whether a request may start now, ahead of none that waits.
    pub(super) fn may_start<O>(&self, req: &Request<Admitted, O>, best: &Candidate<'_>) -> bool {
        let free = best.estimate.has_free_slot() || best.status == HealthStatus::Probe;
        let pool = &req.grant().pool;
        free && self
            .tables
            .queues
            .with(pool, |w| w.is_none_or(|w| w.queue.is_empty()))
    }

    /// Returns the expected wait in the queue of this region.
    pub(super) fn queue_wait<O>(&self, req: &Request<Admitted, O>) -> Duration {
        let grant = req.grant();
        self.tables.queues.with(&grant.pool, |waiting| {
            let Some(waiting) = waiting else {
                return Duration::ZERO;
            };
            if waiting.queue.is_empty() {
                return Duration::ZERO;
            }
            let work = req.meta().prompt_tokens;
            waiting
                .queue
                .expected_wait(grant.account.as_ref(), work)
                .unwrap_or_default()
        })
    }

    /// Places the request and counts its prompt at the target.
    pub(super) fn place_at<O>(
        &self,
        req: Request<Admitted, O>,
        best: &Candidate<'_>,
    ) -> Result<Request<Placed, O>, Refusal> {
        let pool = req.grant().pool.clone();
        let head = req.meta().clone();
        let placed = req
            .place(best.name.clone(), self.here.clone())
            .map_err(|req| req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local))?;
        let rate = self.entry.prefill_rate;
        self.tables
            .targets
            .with_or_insert(best.name, TargetState::default, |load| {
                load.health.observe(HealthEvent::RequestPlaced, self.now);
                load.add_pending(best.estimate.uncached_tokens, rate, self.now);
                // The target caches the prompt as it reads it.
                load.cache.insert(head.prefix.iter().copied());
                load.pool = Some(pool);
            });
        Ok(placed)
    }
}

/// Bounds the targets that are scored: the homes of the prefix and a sample.
fn select_candidates<'a, O>(
    local: &[(&'a Target, &'a TargetEntry)],
    req: &Request<Admitted, O>,
) -> Vec<(&'a Target, &'a TargetEntry)> {
    if local.len() <= MAX_SCORED {
        return local.to_vec();
    }
    let mut chosen = Vec::with_capacity(PREFIX_CANDIDATES + RANDOM_CANDIDATES);
    if let Some(key) = req.meta().affinity_key() {
        let weight = |t: &(&Target, &TargetEntry)| prefix::rendezvous_weight(key, t.0.as_str());
        let mut homes: Vec<_> = local.iter().map(|t| (weight(t), *t)).collect();
        homes.select_nth_unstable_by(PREFIX_CANDIDATES, |a, b| b.0.cmp(&a.0));
        chosen.extend(homes.into_iter().take(PREFIX_CANDIDATES).map(|(_, t)| t));
    }
    let seed = xxh3_64(req.meta().id.as_str().as_bytes());
    for i in 0..RANDOM_CANDIDATES as u64 {
        let at = prefix::rendezvous_weight(seed, &i.to_string()) as usize % local.len();
        chosen.push(local[at]);
    }
    chosen
}

/// Finds the target that a prompt goes to if all else is equal, so that all
/// instances read a new prefix at the same target.
fn preferred_target<'a, O>(
    local: &[(&'a Target, &'a TargetEntry)],
    req: &Request<Admitted, O>,
) -> Option<&'a Target> {
    let key = req.meta().affinity_key()?;
    local
        .iter()
        .map(|t| t.0)
        .max_by_key(|t| prefix::rendezvous_weight(key, t.as_str()))
}
