//! The choice of a target within a region, and between regions.

use std::time::Duration;

use super::CacheSources;
use super::Estimate;
use super::InFlight;
use super::LOWEST_PRIORITY;
use super::PromptPart;
use super::RegionShares;
use super::Traffic;
use super::guarded_room::SlotUse;
use crate::catalog::PoolSpec;
use crate::config::Residency;
use crate::fleet::Fleet;
use crate::fleet::KnownTarget;
use crate::names::Region;
use crate::names::SoftwareVersion;
use crate::names::Target;
use crate::placement::HealthStatus;
use crate::placement::prefix;

/// Least reduction of the cost for which a request is forwarded to another
/// region.
pub const MIN_FORWARD_GAIN: Duration = Duration::from_millis(60);

/// Time added to the cost of every target in proportion to its failure rate,
/// and in full, besides, to the cost of a suspect target.
const FAILURE_COST: Duration = Duration::from_millis(800);

/// Time added to the cost of a target of software that new streams avoid.
const AVOIDED_COST: Duration = Duration::from_secs(2);

/// Fraction of a prompt's shared parts that is assumed to be cached at its
/// affinity target, which is the target that rendezvous hashing gives to the
/// prompt. As the hash is the same at all instances, another one may have sent
/// the prompt there before this one does.
const AFFINITY_CACHED_RATIO: f64 = 0.5;

/// Shortest prompt part that gives a prompt an affinity target, in tokens.
const MIN_AFFINITY_TOKENS: u64 = 1_000;

/// Fewest missing tokens for which copying them from another target's KV cache
/// is worth its cost.
const MIN_COPY_TOKENS: u64 = 1_000;

/// Least cost of copying prompt parts from another target's KV cache.
const MIN_COPY_COST: Duration = Duration::from_millis(15);

/// Cost of copying prompt parts, as a fraction of the time to prefill them. It
/// is below 1, as a copy is cheaper than prefilling them again, and large enough
/// that a prompt stays where it is cached for the sake of a short queue.
const COPY_COST_RATIO: f64 = 0.5;

/// Cost of a new request per request that already runs or waits at the target,
/// as running requests delay each other.
const BATCHING_COST: Duration = Duration::from_micros(400);

/// Weight of the prefill time in the cost. It is above 1, as the prefill of
/// one request also delays the other requests of the target.
const PREFILL_COST_FACTOR: f64 = 1.5;

/// Smallest upper bound of the random addition to a target's cost, so that the
/// instances don't all choose the same one of several equal targets.
const MIN_JITTER: Duration = Duration::from_millis(1);

/// Largest upper bound of the random addition for a prompt with a long part,
/// which some targets have cached and others have not. It is below the cost of a
/// copy, so that it doesn't move prompts between targets that are as busy.
const MAX_CACHED_JITTER: Duration = Duration::from_millis(10);

/// The properties of a request that the choice of its target depends on.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may fill the targets' queues: it has the pool's most
    /// urgent priority, or its answer has begun.
    pub may_fill_queue: bool,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The prompt's parts, in order.
    pub parts: &'a [PromptPart],
    /// Targets that must not be chosen, as they were tried before.
    pub excluded: &'a [Target],
    /// Software that began the answer. If it is set, only targets of the same
    /// version may be chosen, as others can't continue what it wrote.
    pub software: Option<&'a SoftwareVersion>,
    /// Software that is used only where others would take long.
    pub avoided_software: &'a [SoftwareVersion],
    /// Regions in which the request may run. Cached parts of its prompt are
    /// copied only from targets there.
    pub residency: &'a Residency,
    /// Random number from which the additions to the targets' costs are
    /// derived.
    pub random: u64,
}

impl TargetQuery<'_> {
    /// Tells whether a target's software can answer the request.
    fn is_compatible_with(&self, known: &KnownTarget) -> bool {
        self.software
            .is_none_or(|software| known.record.software == *software)
    }
}

/// The chosen target of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: Target,
    /// The expected latency and load there.
    pub estimate: Estimate,
}

/// Why no target can be chosen. If several reasons apply, it is that of the
/// last target considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTargetReason {
    /// The pool has no target that accepts requests in the region.
    NoTarget,
    /// The target is ejected or was tried before.
    NoneHealthy,
    /// The target has just reported itself full.
    AllFull,
    /// The target is cold, and this instance's share of its rate limit is used
    /// up.
    AllCold,
    /// The target stated a limit, and this instance's share of it is used up.
    AllLimited,
    /// The target survives few rejections, and no slot is free there that this
    /// instance may use.
    NoFreeSlot,
    /// The target asked for a pause. The time is left until the first of the
    /// paused targets takes requests again.
    AllPaused(Duration),
}

impl NoTargetReason {
    /// Tells whether there is no target or none is healthy, so that waiting for load
    /// to fall would not help.
    pub fn is_independent_of_load(self) -> bool {
        matches!(self, Self::NoTarget | Self::NoneHealthy)
    }

    /// Returns the reason once a target that is paused for `left` was
    /// considered too.
    fn with_pause(self, left: Duration) -> Self {
        match self {
            Self::AllPaused(shortest) => Self::AllPaused(shortest.min(left)),
            _ => Self::AllPaused(left),
        }
    }
}

/// The best target of a region, for the choice between regions.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionChoice {
    /// The region.
    pub region: Region,
    /// The expected latency and load at the region's best target.
    pub estimate: Estimate,
}

/// The load of a target as a request finds it.
#[derive(Clone, Copy, Debug)]
struct FoundLoad {
    /// All requests there.
    all: InFlight,
    /// The requests that the target admits before this one.
    ahead: InFlight,
    /// Number of the requests that are known by themselves, without those that
    /// are assumed.
    known_running: u32,
}

impl Traffic {
    /// Chooses the target of a region with the lowest cost.
    ///
    /// # Errors
    ///
    /// Returns why no target can be chosen.
    pub fn choose_target(
        &mut self,
        fleet: &Fleet,
        pool: &PoolSpec,
        region: &Region,
        query: &TargetQuery<'_>,
        shares: RegionShares<'_>,
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let affinity_target = self.affinity_target(fleet, pool, region, query, now);
        let forwarded = self.unreported_forwards(region, &pool.name, LOWEST_PRIORITY, now);
        let forwarded_ahead = match pool.engine {
            Some(_) => self.unreported_forwards(region, &pool.name, query.priority, now),
            None => forwarded,
        };
        let queue_limit = self.queue_limits.get(&pool.name);
        let queue_limit = queue_limit.copied().unwrap_or_default();
        let targets = fleet.usable_targets(&pool.name);
        let target_count = targets
            .filter(|(_, known)| known.record.region == *region)
            .count();
        let mut reason = NoTargetReason::NoTarget;
        let jitter = self.cost_jitter(fleet, pool, region, query);
        let sources = self.cache_sources(fleet, query);
        let mut best: Option<TargetChoice> = None;
        for (target, known) in fleet.usable_targets(&pool.name) {
            if known.record.region != *region || !query.is_compatible_with(known) {
                continue;
            }
            let unavailable = self.unavailability(target, known, pool, query, shares, now);
            if let Some(why) = unavailable {
                reason = match why {
                    NoTargetReason::AllPaused(left) => reason.with_pause(left),
                    why => why,
                };
                continue;
            }
            let min_running = self.min_running(target, slots_of(pool, known), now);
            let found = self.found_load(target, pool, query.priority);
            if !query.may_fill_queue && !queue_limit.has_room(found.all.running, now) {
                reason = NoTargetReason::AllFull;
                continue;
            }
            let load = FoundLoad {
                all: found
                    .all
                    .plus_share_of(forwarded, target_count)
                    .with_min_running(min_running),
                ahead: found
                    .ahead
                    .plus_share_of(forwarded_ahead, target_count)
                    .with_min_running(min_running),
                ..found
            };
            let mut estimate = self.estimate(
                fleet,
                target,
                known,
                pool,
                query,
                &sources,
                affinity_target.as_ref(),
                load,
            );
            if self.health_status(target, now) == HealthStatus::Suspect {
                estimate.cost += FAILURE_COST;
            }
            if query.avoided_software.contains(&known.record.software) {
                estimate.cost += AVOIDED_COST;
            }
            let random_weight = prefix::rendezvous_weight(query.random, target.as_str());
            estimate.cost += jitter.mul_f64(random_weight as f64 / u64::MAX as f64);
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

    /// Returns why a target can't be chosen, apart from its load.
    fn unavailability(
        &mut self,
        target: &Target,
        known: &KnownTarget,
        pool: &PoolSpec,
        query: &TargetQuery<'_>,
        shares: RegionShares<'_>,
        now: Duration,
    ) -> Option<NoTargetReason> {
        let is_ejected = self.health_status(target, now) == HealthStatus::Ejected;
        if query.excluded.contains(target) || is_ejected {
            return Some(NoTargetReason::NoneHealthy);
        }
        let full_until = self.full_until.get(target);
        if full_until.is_some_and(|until| now < *until) {
            return Some(NoTargetReason::AllFull);
        }
        if let Some(left) = self.pause_left(target, now) {
            return Some(NoTargetReason::AllPaused(left));
        }
        if known.is_cold(now) && !self.has_cold_capacity(target, pool, shares, now) {
            return Some(NoTargetReason::AllCold);
        }
        if !self.has_stated_room(target, shares.stated, now) {
            return Some(NoTargetReason::AllLimited);
        }
        let slot_use = match query.software {
            Some(_) => SlotUse::Any,
            None => SlotUse::Own,
        };
        let has_room = self.has_guarded_room(target, known, pool, shares, slot_use, now);
        (!has_room).then_some(NoTargetReason::NoFreeSlot)
    }

    /// Returns the load of a target as a request of this priority finds it.
    /// Engines admit the most urgent requests first, other services take them in
    /// the order in which they come.
    fn found_load(&self, target: &Target, pool: &PoolSpec, priority: u8) -> FoundLoad {
        let all = self.in_flight(target);
        let ahead = match pool.engine {
            Some(_) => self.in_flight_ahead_of(target, priority),
            None => all,
        };
        FoundLoad {
            all,
            ahead,
            known_running: all.running,
        }
    }

    /// Returns the upper bound of the random addition to the costs of a
    /// region's targets.
    ///
    /// The counts of the other instances are a few hundred milliseconds old,
    /// and many of their requests may have begun or ended since. Without the
    /// addition all instances would send their requests to the target with the
    /// lowest reported load, and to another one a moment later.
    fn cost_jitter(
        &self,
        fleet: &Fleet,
        pool: &PoolSpec,
        region: &Region,
        query: &TargetQuery<'_>,
    ) -> Duration {
        let pool_targets = fleet.usable_targets(&pool.name);
        let region_targets = pool_targets.filter(|(_, known)| known.record.region == *region);
        let (mut remote_running, mut slots) = (0_u32, 0_u32);
        for (target, known) in region_targets {
            let remote = self.remote_total.get(target);
            let remote = remote.map_or(0, |load| load.ahead_of(LOWEST_PRIORITY).running);
            remote_running = remote_running.saturating_add(remote);
            slots = slots.saturating_add(slots_of(pool, known));
        }
        let performance = self.performance(&pool.name);
        let time_per_request = match pool.engine {
            Some(_) => performance.generation_time(),
            None => performance.service_time(),
        };
        let utilization = f64::from(remote_running) / f64::from(slots.max(1));
        // An additional request delays others only where no slot is free. The
        // square of the utilization makes the addition small while most slots
        // are free.
        let jitter = time_per_request.mul_f64(utilization * utilization);
        let jitter = jitter.max(MIN_JITTER);
        match has_long_part(query) {
            true => jitter.min(MAX_CACHED_JITTER),
            false => jitter,
        }
    }

    /// Finds the target that all instances prefer for a prompt with a long
    /// part.
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
            .usable_targets(&pool.name)
            .filter(|(_, known)| known.record.region == *region)
            .filter(|(_, known)| query.is_compatible_with(known))
            .filter(|(target, _)| self.health_status(target, now) != HealthStatus::Ejected)
            .max_by_key(|(target, _)| prefix::rendezvous_weight(first_long.id, target.as_str()))
            .map(|(target, _)| target.clone())
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is a separate input of the cost"
    )]
    fn estimate(
        &self,
        fleet: &Fleet,
        target: &Target,
        known: &KnownTarget,
        pool: &PoolSpec,
        query: &TargetQuery<'_>,
        sources: &CacheSources,
        affinity_target: Option<&Target>,
        load: FoundLoad,
    ) -> Estimate {
        let FoundLoad {
            all,
            ahead,
            known_running,
        } = load;
        let performance = self.performance(&pool.name);
        let slots = slots_of(pool, known);
        let has_free_slot = ahead.running < slots;
        let waiting_with_this = ahead.running.saturating_add(1).saturating_sub(slots);
        let all_waiting = all.running.saturating_add(1).saturating_sub(slots);
        let requests_per_slot = 1.0 + f64::from(all_waiting) / f64::from(slots);
        let local = self.local.get(target);
        let failure_rate = local.map_or(0.0, |local| local.failure_rate);
        let penalty = FAILURE_COST.mul_f64(failure_rate);
        if pool.engine.is_none() {
            let wait = performance
                .service_time()
                .mul_f64(f64::from(waiting_with_this) / f64::from(slots));
            let batching_cost = BATCHING_COST * all.running;
            return Estimate {
                wait,
                queue_delay: wait,
                cost: wait + penalty + batching_cost,
                running: all.running,
                known_running,
                ahead: ahead.running,
                slots,
                has_free_slot,
                requests_per_slot,
                prefill_tokens: 0,
                queued_prefill_tokens: 0,
                cache_source: None,
            };
        }
        let cached_parts = self.cached_parts.get(target);
        let cached_here = cached_parts.map_or(0, |cached| cached.cached_tokens(query.parts));
        let best = sources.beside(target);
        let best = best.filter(|(_, cached)| *cached >= cached_here + MIN_COPY_TOKENS);
        let cache_source = best.and_then(|(name, _)| Some(fleet.get(name)?.record.address));
        let cached = match (best, affinity_target == Some(target)) {
            (Some((_, cached_at_source)), _) => *cached_at_source,
            (None, true) => {
                cached_here.max((shared_tokens(query.parts) as f64 * AFFINITY_CACHED_RATIO) as u64)
            }
            (None, false) => cached_here,
        };
        let prefill_tokens = query.prompt_tokens.saturating_sub(cached);
        // While a slot is free, the prompts of all requests are being read.
        let queued = match all.running < slots {
            true => all,
            false => ahead,
        };
        let queued_prefill_tokens = u64::from(queued.prefill_tokens);
        let queue = performance
            .generation_time()
            .mul_f64(f64::from(waiting_with_this) / f64::from(slots));
        // The first slot that a less urgent request leaves is this one's.
        let slot_turn = match has_free_slot && all.running >= slots {
            true => performance.generation_time() / slots,
            false => Duration::ZERO,
        };
        let queue_delay = performance.prefill_time(queued_prefill_tokens) + queue + slot_turn;
        let wait = queue_delay + performance.prefill_time(prefill_tokens);
        let copy_cost = match cache_source {
            Some(_) => performance
                .prefill_time(cached.saturating_sub(cached_here))
                .mul_f64(COPY_COST_RATIO)
                .max(MIN_COPY_COST),
            None => Duration::ZERO,
        };
        let prefill_cost = performance
            .prefill_time(prefill_tokens)
            .mul_f64(PREFILL_COST_FACTOR)
            + copy_cost;
        let batching_cost = BATCHING_COST * all.running;
        Estimate {
            wait,
            queue_delay,
            cost: queue_delay + prefill_cost + batching_cost + penalty,
            running: all.running,
            known_running,
            ahead: ahead.running,
            slots,
            has_free_slot,
            requests_per_slot,
            prefill_tokens: u32::try_from(prefill_tokens).unwrap_or(u32::MAX),
            queued_prefill_tokens: queued.prefill_tokens,
            cache_source,
        }
    }
}

/// Returns how many requests a target runs at once, at least 1.
pub(super) fn slots_of(pool: &PoolSpec, known: &KnownTarget) -> u32 {
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

/// Counts the tokens of the parts that other prompts may share.
fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = PromptPart::shared(parts);
    shared.iter().map(|part| u64::from(part.tokens)).sum()
}
