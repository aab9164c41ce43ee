//! Choice of the best target of this region for one request.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::PoolQueue;
use super::QueueStatus;
use super::Tables;
use super::targets::count_peers;
use super::targets::estimate_target;
use super::targets::free_slots;
use super::wait::end_turn;
use crate::config::Config;
use crate::config::PoolEntry;
use crate::config::Residency;
use crate::config::TargetEntry;
use crate::names::Region;
use crate::names::Target;
use crate::names::Zone;
use crate::placement::HealthEvent;
use crate::placement::HealthStatus;
use crate::placement::LatencyInputs;
use crate::placement::TargetState;
use crate::placement::prefix;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::request::Admitted;
use crate::request::Grant;
use crate::request::HasGrant;
use crate::request::Placed;
use crate::request::Request;
use crate::step::Peer;
use crate::step::Step;

/// Largest number of eligible targets that are all scored. If there are more,
/// only a selection of them is scored.
const MAX_SCORED: usize = 16;

/// Number of candidates chosen by rendezvous hashing of the prompt's prefix.
const PREFIX_CANDIDATES: usize = 2;

/// Number of candidates chosen at random.
const RANDOM_CANDIDATES: usize = 4;

/// By how much the score of a prefix's preferred target is reduced, in percent.
const PREFERRED_DISCOUNT_PERCENT: u32 = 20;

/// Factor on the score of a suspect target, which makes it less preferred.
const SUSPECT_SCORE_FACTOR: u32 = 2;

/// Places one request on a target of this region.
///
/// The fields are the inputs that are the same for all targets.
pub(super) struct LocalPlacer<'a> {
    pub(super) tables: &'a Tables,
    pub(super) entry: &'a PoolEntry,
    pub(super) residency: Residency,
    pub(super) own_region: &'a Region,
    pub(super) zone: Option<&'a Zone>,
    /// Other serving instances of this region.
    pub(super) peers: u64,
    pub(super) now: Duration,
}

/// A target with its score for a request.
pub(super) struct Candidate<'a> {
    pub(super) name: &'a Target,
    pub(super) status: HealthStatus,
    pub(super) estimate: LatencyInputs,
    pub(super) time_to_first_token: Duration,
    pub(super) score: Duration,
}

/// Returns where a request may run by the configuration in force, which may
/// have changed since the request was admitted.
///
/// Returns `None` if the request may no longer run anywhere.
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

/// Tells whether a placed request may still be sent to its region. Another
/// configuration may have come into force since, as while a connection was made.
pub fn may_still_run<S, O>(tables: &Tables, req: &Request<S, O>, region: &Region) -> bool
where
    S: HasGrant,
{
    let current = current_residency(&tables.config.get(), req.grant());
    current.is_some_and(|current| req.may_go_to(region, &current))
}

/// Updates the retry budget: a first attempt adds to it, a retry spends it and
/// is refused if nothing is left. A request woken from the queue does neither.
fn update_retry_budget<O>(
    tables: &Tables,
    entry: &PoolEntry,
    req: Request<Admitted, O>,
    queue_status: QueueStatus,
) -> Result<Request<Admitted, O>, Refusal> {
    if queue_status == QueueStatus::Woken {
        return Ok(req);
    }
    let retry = req.was_dispatched();
    let pool = req.grant().pool.clone();
    let allowed = tables.queues.with_or_insert(
        &pool,
        || PoolQueue::new(entry),
        |pool_queue| {
            if retry {
                return pool_queue.retry_budget.try_spend();
            }
            pool_queue.retry_budget.record_request();
            true
        },
    );
    if allowed {
        return Ok(req);
    }
    Err(req.refuse(Code::Unavailable, Step::Place, Peer::Local))
}

impl<'a> LocalPlacer<'a> {
    /// Checks by the configuration in force and the retry budget that a request
    /// may be placed.
    pub(super) fn for_request<O>(
        tables: &'a Tables,
        config: &'a Config,
        req: Request<Admitted, O>,
        own_region: &'a Region,
        queue_status: QueueStatus,
        now: Duration,
    ) -> Result<(Self, Request<Admitted, O>), Refusal> {
        if queue_status == QueueStatus::Woken {
            end_turn(tables, &req.grant().pool);
        }
        let Some(entry) = config.pools.get(&req.grant().pool) else {
            return Err(req.refuse(Code::Unavailable, Step::Place, Peer::Local));
        };
        let Some(residency) = current_residency(config, req.grant()) else {
            return Err(req.refuse(Code::Forbidden, Step::Place, Peer::Local));
        };
        let req = update_retry_budget(tables, entry, req, queue_status)?;
        Ok((Self::new(tables, entry, residency, own_region, now), req))
    }

    fn new(
        tables: &'a Tables,
        entry: &'a PoolEntry,
        residency: Residency,
        own_region: &'a Region,
        now: Duration,
    ) -> Self {
        Self {
            tables,
            entry,
            residency,
            own_region,
            zone: tables.network.zone.as_ref(),
            peers: count_peers(tables, own_region),
            now,
        }
    }

    /// Returns the target with the best score, if any is eligible.
    ///
    /// `is_only_region` tells that no other region can serve the request. Then
    /// ejected targets are eligible if too few others are left.
    pub(super) fn best_candidate<O>(
        &self,
        req: &Request<Admitted, O>,
        is_only_region: bool,
    ) -> Option<Candidate<'a>> {
        if !self.residency.allows(self.own_region) {
            return None;
        }
        let eligible = self.eligible_targets(req, is_only_region);
        let preferred = preferred_target(&eligible, req);
        select_candidates(&eligible, req)
            .into_iter()
            .map(|(name, t)| self.score(req, name, t, preferred == Some(name)))
            .min_by(|a, b| (a.score, a.name).cmp(&(b.score, b.name)))
    }

    /// Returns the targets of this region that the request may be sent to.
    ///
    /// If `is_only_region` and fewer than the pool's `panic_percent` of the
    /// targets are usable, ejected ones are included. The percentage is of all
    /// targets in the region that are not leaving and that the request has not
    /// tried, not of the selected candidates, which may all happen to be
    /// ejected.
    fn eligible_targets<O>(
        &self,
        req: &Request<Admitted, O>,
        is_only_region: bool,
    ) -> Vec<(&'a Target, &'a TargetEntry)> {
        let targets: Vec<_> = self
            .entry
            .targets
            .iter()
            .filter(|(name, t)| t.region == *self.own_region && !req.tried_targets().contains(name))
            .map(|(name, t)| (self.status(name), name, t))
            .filter(|(status, ..)| *status != HealthStatus::Leaving)
            .collect();
        let usable = targets
            .iter()
            .filter(|t| t.0 != HealthStatus::Ejected)
            .count();
        let threshold = targets.len() as u64 * self.entry.panic_percent;
        let panic = is_only_region && usable as u64 * 100 < threshold;
        targets
            .into_iter()
            .filter(|(status, ..)| panic || *status != HealthStatus::Ejected)
            .map(|(_, name, t)| (name, t))
            .collect()
    }

    fn status(&self, name: &Target) -> HealthStatus {
        self.tables.targets.with(name, |state| {
            state.map_or(HealthStatus::Healthy, |s| s.status(self.now))
        })
    }

    fn score<O>(
        &self,
        req: &Request<Admitted, O>,
        name: &'a Target,
        target: &TargetEntry,
        is_preferred: bool,
    ) -> Candidate<'a> {
        let meta = req.meta();
        let round_trip = match self.zone {
            Some(zone) if *zone == target.zone => Duration::ZERO,
            _ => self.tables.network.zone_round_trip,
        };
        self.tables
            .targets
            .with_or_insert(name, TargetState::default, |state| {
                let status = state.status(self.now);
                let estimate = estimate_target(
                    state,
                    self.entry,
                    &meta.prefix,
                    meta.prompt_tokens,
                    self.peers,
                    round_trip,
                    self.now,
                );
                let time_to_first_token = estimate.time_to_first_token();
                let score = estimate.score(self.entry.weights);
                let mut percent = 100;
                if is_preferred {
                    percent -= PREFERRED_DISCOUNT_PERCENT;
                }
                if status == HealthStatus::Suspect {
                    percent *= SUSPECT_SCORE_FACTOR;
                }
                Candidate {
                    name,
                    status,
                    estimate,
                    time_to_first_token,
                    score: score * percent / 100,
                }
            })
    }

    /// Returns whether a request may start now: its target has a free slot that
    /// no woken request needs, and no other request waits.
    pub(super) fn may_start<O>(&self, req: &Request<Admitted, O>, best: &Candidate<'_>) -> bool {
        let free = best.estimate.has_free_slot() || best.status == HealthStatus::Probe;
        let pool = &req.grant().pool;
        let (waits, woken) = self.tables.queues.with(pool, |pool_queue| {
            pool_queue.map_or((false, 0), |p| (!p.queue.is_empty(), p.woken))
        });
        free && !waits && (woken == 0 || self.has_slot_beside(woken))
    }

    fn has_slot_beside(&self, woken: u64) -> bool {
        let free = free_slots(
            self.tables,
            self.entry,
            self.own_region,
            self.peers,
            self.now,
        );
        free.is_none_or(|free| free > woken)
    }

    /// Returns the expected wait of a request in the queue.
    pub(super) fn queue_wait<O>(&self, req: &Request<Admitted, O>) -> Duration {
        let grant = req.grant();
        self.tables.queues.with(&grant.pool, |pool_queue| {
            let Some(pool_queue) = pool_queue else {
                return Duration::ZERO;
            };
            if pool_queue.queue.is_empty() {
                return Duration::ZERO;
            }
            let work = req.meta().prompt_tokens;
            pool_queue
                .queue
                .expected_wait(grant.account.as_ref(), work)
                .unwrap_or_default()
        })
    }

    /// Places the request, and adds its prompt to the target's load and cache.
    pub(super) fn place_at<O>(
        &self,
        req: Request<Admitted, O>,
        best: &Candidate<'_>,
    ) -> Result<Request<Placed, O>, Refusal> {
        let pool = req.grant().pool.clone();
        let meta = req.meta().clone();
        let placed = req
            .place(best.name.clone(), self.own_region.clone(), &self.residency)
            .map_err(|req| req.refuse(Code::Unavailable, Step::Place, Peer::Local))?;
        let rate = self.entry.prefill_rate;
        self.tables
            .targets
            .with_or_insert(best.name, TargetState::default, |state| {
                state.health.observe(HealthEvent::RequestPlaced, self.now);
                state.add_pending(best.estimate.uncached_tokens, rate, self.now);
                // The target caches the prompt during prefill.
                state.cache.insert(meta.prefix.iter().copied());
                state.pool = Some(pool);
            });
        Ok(placed)
    }
}

/// Returns the targets to score: all of them, or if there are more than
/// [`MAX_SCORED`], some chosen by the prompt's prefix and some at random.
fn select_candidates<'a, O>(
    targets: &[(&'a Target, &'a TargetEntry)],
    req: &Request<Admitted, O>,
) -> Vec<(&'a Target, &'a TargetEntry)> {
    if targets.len() <= MAX_SCORED {
        return targets.to_vec();
    }
    let mut chosen = Vec::with_capacity(PREFIX_CANDIDATES + RANDOM_CANDIDATES);
    if let Some(key) = req.meta().affinity_key() {
        let weight = |t: &(&Target, &TargetEntry)| prefix::rendezvous_weight(key, t.0.as_str());
        let mut by_prefix: Vec<_> = targets.iter().map(|t| (weight(t), *t)).collect();
        by_prefix.select_nth_unstable_by(PREFIX_CANDIDATES, |a, b| b.0.cmp(&a.0));
        chosen.extend(
            by_prefix
                .into_iter()
                .take(PREFIX_CANDIDATES)
                .map(|(_, t)| t),
        );
    }
    let seed = xxh3_64(req.meta().id.as_str().as_bytes());
    for i in 0..RANDOM_CANDIDATES as u64 {
        let at = prefix::rendezvous_weight(seed, &i.to_string()) as usize % targets.len();
        chosen.push(targets[at]);
    }
    chosen
}

/// Returns the target whose score is reduced for a prompt because of its
/// prefix.
///
/// All instances prefer the same one, so that a new prefix is prefilled at one
/// target only.
fn preferred_target<'a, O>(
    targets: &[(&'a Target, &'a TargetEntry)],
    req: &Request<Admitted, O>,
) -> Option<&'a Target> {
    let key = req.meta().affinity_key()?;
    targets
        .iter()
        .map(|t| t.0)
        .max_by_key(|t| prefix::rendezvous_weight(key, t.as_str()))
}
