//! The choice of a target within a region, and between regions.

use std::net::SocketAddr;
use std::time::Duration;

use super::InFlight;
use super::PromptPart;
use super::Traffic;
use crate::catalog::PoolSpec;
use crate::fleet::Fleet;
use crate::fleet::KnownTarget;
use crate::names::Region;
use crate::names::Target;
use crate::placement::HealthStatus;
use crate::placement::prefix;
use crate::window::Divisor;

/// By how much another region must be faster than this one.
pub const MIN_SPILL_GAIN: Duration = Duration::from_millis(60);

/// Delay that a share of failed answers counts as.
const FAILURE_COST: Duration = Duration::from_millis(800);

/// Share of a prompt's parts that counts as cached at the target that all
/// instances of the region send it to, where this instance has not seen it.
const AFFINITY_CACHED_RATIO: f64 = 0.5;

/// Tokens from which on a prompt has a target that it is sent to first.
const MIN_AFFINITY_TOKENS: u64 = 1_000;

/// Tokens of parts that a target lacks from which on copying them pays.
const MIN_COPY_TOKENS: u64 = 1_000;

/// Delay that copying parts from another target counts as.
const COPY_COST: Duration = Duration::from_millis(15);

/// Delay that a running request adds for the others in its batch.
const BATCHING_COST: Duration = Duration::from_micros(400);

/// Weight of reading parts again that are cached elsewhere, as it also holds
/// up the other requests of the target.
const PREFILL_COST_FACTOR: f64 = 1.5;

/// Share of the time in which an answer is on time that others may take before
/// a request's turn. The rest is for its own prompt, and for what is not known
/// yet of the others.
const MAX_QUEUE_SHARE: f64 = 0.5;

/// Least by which the costs of targets are made to differ at random, so that
/// not all instances choose the same of several equal ones.
const MIN_JITTER: Duration = Duration::from_millis(1);

/// Most of it for a prompt whose parts are cached at some targets and not at
/// others.
const MAX_CACHED_JITTER: Duration = Duration::from_millis(40);

/// What a request asks of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The prompt's parts, in order.
    pub parts: &'a [PromptPart],
    /// Targets that were tried before.
    pub excluded: &'a [Target],
    /// Random number that spreads equal requests over equal targets.
    pub random: u64,
}

/// What is expected of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time until the first event, or until a plain answer begins.
    pub wait: Duration,
    /// The part of it that others take before the request's turn.
    pub queue_delay: Duration,
    /// Time until then as it bears on the choice, with what the request costs
    /// others.
    pub cost: Duration,
    /// Requests that run or wait at the target, as far as is known.
    pub running: u32,
    /// Whether a slot is free.
    pub has_free_slot: bool,
    /// Requests for each slot with this one, at least 1.
    pub requests_per_slot: f64,
    /// Prompt tokens that the target has to read.
    pub prefill_tokens: u32,
    /// Prompt tokens ahead of them.
    pub queued_prefill_tokens: u32,
    /// Where the target can copy parts of the prompt from that it lacks.
    pub cache_source: Option<SocketAddr>,
}

impl Estimate {
    /// Tells whether a request that is on time within `on_time` would come too
    /// late only as others are before it. Serving it then makes those late that
    /// come after it, and it is better off elsewhere or later.
    pub fn is_late_from_queueing(&self, on_time: Duration) -> bool {
        !self.has_free_slot && self.queue_delay > on_time.mul_f64(MAX_QUEUE_SHARE)
    }
}

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: Target,
    /// What is expected of it.
    pub estimate: Estimate,
}

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTargetReason {
    /// No target of the pool is there.
    NoTarget,
    /// All targets fail or were tried.
    NoneHealthy,
    /// All targets that are left have just said that they are full.
    AllFull,
    /// All targets that are left are cold and have had their part.
    AllCold,
}

/// The best of a region, for the choice between regions.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionChoice {
    /// The region.
    pub region: Region,
    /// What is expected of its best target.
    pub estimate: Estimate,
}

impl Traffic {
    /// Chooses the target of a region with the lowest cost.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub fn choose_target(
        &mut self,
        fleet: &Fleet,
        pool: &PoolSpec,
        region: &Region,
        query: &TargetQuery<'_>,
        divisor: Divisor,
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let affinity_target = self.affinity_target(fleet, pool, region, query, now);
        let forwarded = self.unreported_forwards(region, &pool.name, now);
        let targets = fleet.targets(&pool.name);
        let target_count = targets
            .filter(|(_, known)| known.record.region == *region)
            .count();
        let mut reason = NoTargetReason::NoTarget;
        let jitter = self.cost_jitter(fleet, pool, region, query);
        let mut best: Option<TargetChoice> = None;
        for (target, known) in fleet.targets(&pool.name) {
            if known.record.region != *region {
                continue;
            }
            let status = self.health_status(target, now);
            if query.excluded.contains(target) || status == HealthStatus::Ejected {
                reason = NoTargetReason::NoneHealthy;
                continue;
            }
            if self
                .full_until
                .get(target)
                .is_some_and(|until| now < *until)
            {
                reason = NoTargetReason::AllFull;
                continue;
            }
            if known.is_cold(now) && !self.has_cold_capacity(target, pool, divisor, now) {
                reason = NoTargetReason::AllCold;
                continue;
            }
            let mut in_flight = self
                .in_flight(target)
                .plus_share_of(forwarded, target_count);
            let min_running = self.min_running(target, slots_of(pool, known), now);
            in_flight.running = in_flight.running.max(min_running);
            let mut estimate = self.estimate(
                fleet,
                target,
                known,
                pool,
                query,
                affinity_target.as_ref(),
                in_flight,
            );
            if status == HealthStatus::Suspect {
                estimate.cost += FAILURE_COST;
            }
            let random_rank = prefix::rendezvous_weight(query.random, target.as_str());
            estimate.cost += jitter.mul_f64(random_rank as f64 / u64::MAX as f64);
            if best
                .as_ref()
                .is_none_or(|b| estimate.cost < b.estimate.cost)
            {
                best = Some(TargetChoice {
                    target: target.clone(),
                    estimate,
                });
            }
        }
        best.ok_or(reason)
    }

    /// Returns by how much the costs of a region's targets are made to differ
    /// at random.
    ///
    /// What the other instances told of is some hundred milliseconds old: about
    /// as many of their requests may have come or gone since. If each instance
    /// trusted it, all would send theirs to the target that had fewest, and to
    /// another one a moment later.
    fn cost_jitter(
        &self,
        fleet: &Fleet,
        pool: &PoolSpec,
        region: &Region,
        query: &TargetQuery<'_>,
    ) -> Duration {
        let pool_targets = fleet.targets(&pool.name);
        let region_targets = pool_targets.filter(|(_, known)| known.record.region == *region);
        let (mut remote_running, mut slots) = (0, 0);
        for (target, known) in region_targets {
            remote_running += self
                .remote_total
                .get(target)
                .map_or(0, |in_flight| in_flight.running);
            slots += slots_of(pool, known);
        }
        let performance = self.performance(&pool.name);
        let slot_time = match pool.engine {
            Some(_) => performance.generation_time(),
            None => performance.service_time(),
        };
        let utilization = f64::from(remote_running) / f64::from(slots.max(1));
        // A request more holds another one up only where the slots are taken.
        let jitter = slot_time.mul_f64(utilization * utilization);
        let jitter = jitter.max(MIN_JITTER);
        match has_long_part(query) {
            true => jitter.min(MAX_CACHED_JITTER),
            false => jitter,
        }
    }

    fn has_cold_capacity(
        &mut self,
        target: &Target,
        pool: &PoolSpec,
        divisor: Divisor,
        now: Duration,
    ) -> bool {
        let Some(bound) = self.cold_limit_share(pool, divisor) else {
            return true;
        };
        let local = self
            .local
            .get_mut(target)
            .and_then(|local| local.cold_requests.as_mut());
        local.is_none_or(|window| window.sum(now) + 1.0 <= bound)
    }

    /// Finds the target that all instances send a long prompt to first.
    fn affinity_target(
        &self,
        fleet: &Fleet,
        pool: &PoolSpec,
        region: &Region,
        query: &TargetQuery<'_>,
        now: Duration,
    ) -> Option<Target> {
        let first_long = query
            .parts
            .iter()
            .find(|p| u64::from(p.tokens) >= MIN_AFFINITY_TOKENS)?;
        pool.engine.as_ref()?;
        fleet
            .targets(&pool.name)
            .filter(|(_, known)| known.record.region == *region)
            .filter(|(target, _)| self.health_status(target, now) != HealthStatus::Ejected)
            .max_by_key(|(target, _)| prefix::rendezvous_weight(first_long.id, target.as_str()))
            .map(|(target, _)| target.clone())
    }

    #[expect(clippy::too_many_arguments, reason = "one decision's inputs")]
    fn estimate(
        &self,
        fleet: &Fleet,
        target: &Target,
        known: &KnownTarget,
        pool: &PoolSpec,
        query: &TargetQuery<'_>,
        affinity_target: Option<&Target>,
        in_flight: InFlight,
    ) -> Estimate {
        let performance = self.performance(&pool.name);
        let slots = slots_of(pool, known);
        let has_free_slot = in_flight.running < slots;
        let waiting = (in_flight.running + 1).saturating_sub(slots);
        let requests_per_slot = 1.0 + f64::from(waiting) / f64::from(slots);
        let local = self.local.get(target);
        let failure_rate = local.map_or(0.0, |local| local.failure_rate);
        let penalty = FAILURE_COST.mul_f64(failure_rate);
        if pool.engine.is_none() {
            let wait = performance
                .service_time()
                .mul_f64(f64::from(waiting) / f64::from(slots));
            let batching_cost = BATCHING_COST * in_flight.running;
            return Estimate {
                wait,
                queue_delay: wait,
                cost: wait + penalty + batching_cost,
                running: in_flight.running,
                has_free_slot,
                requests_per_slot,
                prefill_tokens: 0,
                queued_prefill_tokens: 0,
                cache_source: None,
            };
        }
        let cached_parts = self.cached_parts.get(target);
        let cached_here = cached_parts.map_or(0, |cached| cached.cached_tokens(query.parts));
        let best = self.best_cache_source(fleet, target, query.parts, MIN_COPY_TOKENS);
        let cache_source = best.and_then(|(name, _)| Some(fleet.get(name)?.record.address));
        let cached = match (best, affinity_target == Some(target)) {
            (Some((_, cached_at_source)), _) => cached_at_source,
            (None, true) => {
                cached_here.max((shared_tokens(query.parts) as f64 * AFFINITY_CACHED_RATIO) as u64)
            }
            (None, false) => cached_here,
        };
        let prefill_tokens = query.prompt_tokens.saturating_sub(cached);
        let queued_prefill_tokens = u64::from(in_flight.prefill_tokens);
        let queue = performance
            .generation_time()
            .mul_f64(f64::from(waiting) / f64::from(slots));
        let queue_delay = performance.prefill_time(queued_prefill_tokens) + queue;
        let wait = queue_delay + performance.prefill_time(prefill_tokens);
        let copy_cost = match cache_source {
            Some(_) => COPY_COST,
            None => Duration::ZERO,
        };
        let prefill_cost = performance
            .prefill_time(prefill_tokens)
            .mul_f64(PREFILL_COST_FACTOR)
            + copy_cost;
        let batching_cost = BATCHING_COST * in_flight.running;
        Estimate {
            wait,
            queue_delay,
            cost: queue_delay + prefill_cost + batching_cost + penalty,
            running: in_flight.running,
            has_free_slot,
            requests_per_slot,
            prefill_tokens: u32::try_from(prefill_tokens).unwrap_or(u32::MAX),
            queued_prefill_tokens: in_flight.prefill_tokens,
            cache_source,
        }
    }
}

/// Returns how many requests a target runs at once, at least 1.
fn slots_of(pool: &PoolSpec, known: &KnownTarget) -> u32 {
    let slots = match &pool.engine {
        Some(engine) => engine.slots,
        None => known.record.slots,
    };
    slots.max(1)
}

fn has_long_part(query: &TargetQuery<'_>) -> bool {
    let mut tokens = query.parts.iter().map(|part| u64::from(part.tokens));
    tokens.any(|tokens| tokens >= MIN_AFFINITY_TOKENS)
}

/// Counts the tokens of all parts but the last, which is the request's own.
fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| u64::from(part.tokens)).sum()
}
