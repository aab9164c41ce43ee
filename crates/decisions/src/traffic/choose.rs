//! The choice of a target within a region, and between regions.

use std::net::SocketAddr;
use std::time::Duration;

use super::Count;
use super::PromptPart;
use super::Traffic;
use crate::catalog::PoolTerms;
use crate::fleet::Fleet;
use crate::fleet::KnownTarget;
use crate::names::Region;
use crate::names::Target;
use crate::placement::HealthStatus;
use crate::placement::prefix;
use crate::window::Divisor;

/// By how much another region must be faster than this one.
pub const SPILL_GAIN: Duration = Duration::from_millis(60);

/// Delay that a share of failed answers counts as.
const FAILING_COST: Duration = Duration::from_millis(800);

/// Share of a prompt's parts that counts as cached at the target that all
/// instances of the region send it to, where this instance has not seen it.
const HOME_CACHED: f64 = 0.5;

/// Tokens from which on a prompt has a target that it is sent to first.
const HOME_TOKENS: u64 = 1_000;

/// Tokens of parts that a target lacks from which on copying them pays.
const COPIED_TOKENS: u64 = 1_000;

/// Delay that copying parts from another target counts as.
const COPYING: Duration = Duration::from_millis(15);

/// Delay that a running request adds for the others in its batch.
const CROWDING: Duration = Duration::from_micros(400);

/// Weight of reading parts again that are cached elsewhere, as it also holds
/// up the other requests of the target.
const READ_WEIGHT: f64 = 1.5;

/// Share of the time in which an answer is on time that others may take before
/// a request's turn. The rest is for its own prompt, and for what is not known
/// yet of the others.
const TURN_SHARE: f64 = 0.5;

/// Least by which the costs of targets are made to differ at random, so that
/// not all instances choose the same of several equal ones.
const MIN_SPREAD: Duration = Duration::from_millis(1);

/// Most of it for a prompt whose parts are cached at some targets and not at
/// others.
const MAX_CACHED_SPREAD: Duration = Duration::from_millis(40);

/// What a request asks of a target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The prompt's parts, in order.
    pub parts: &'a [PromptPart],
    /// Targets that were tried before.
    pub tried: &'a [Target],
    /// Random number that spreads equal requests over equal targets.
    pub draw: u64,
}

/// What is expected of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time until the first event, or until a plain answer begins.
    pub wait: Duration,
    /// The part of it that others take before the request's turn.
    pub turn: Duration,
    /// Time until then as it bears on the choice, with what the request costs
    /// others.
    pub cost: Duration,
    /// Requests that run or wait at the target, as far as is known.
    pub running: u32,
    /// Whether a slot is free.
    pub has_slot: bool,
    /// Requests for each slot with this one, at least 1.
    pub crowd: f64,
    /// Prompt tokens that the target has to read.
    pub unread_tokens: u32,
    /// Prompt tokens ahead of them.
    pub ahead_tokens: u32,
    /// Where the target can copy parts of the prompt from that it lacks.
    pub source: Option<SocketAddr>,
}

impl Estimate {
    /// Tells whether a request that is on time within `on_time` would come too
    /// late only as others are before it. Serving it then makes those late that
    /// come after it, and it is better off elsewhere or later.
    pub fn is_crowded_out(&self, on_time: Duration) -> bool {
        !self.has_slot && self.turn > on_time.mul_f64(TURN_SHARE)
    }
}

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// What is expected of it.
    pub estimate: Estimate,
}

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nowhere {
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
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        pool: &PoolTerms,
        region: &Region,
        demand: &Demand<'_>,
        divisor: Divisor,
        now: Duration,
    ) -> Result<Choice, Nowhere> {
        let home = self.home(fleet, pool, region, demand, now);
        let uncounted = self.uncounted(region, &pool.name, now);
        let targets = fleet.targets(&pool.name);
        let targets = targets
            .filter(|(_, known)| known.record.region == *region)
            .count();
        let mut nowhere = Nowhere::NoTarget;
        let spread = self.spread(fleet, pool, region, demand);
        let mut best: Option<Choice> = None;
        for (target, known) in fleet.targets(&pool.name) {
            if known.record.region != *region {
                continue;
            }
            let status = self.status(target, now);
            if demand.tried.contains(target) || status == HealthStatus::Ejected {
                nowhere = Nowhere::NoneHealthy;
                continue;
            }
            if self
                .full_until
                .get(target)
                .is_some_and(|until| now < *until)
            {
                nowhere = Nowhere::AllFull;
                continue;
            }
            if known.is_cold(now) && !self.has_cold_room(target, pool, divisor, now) {
                nowhere = Nowhere::AllCold;
                continue;
            }
            let mut count = self.count(target).plus_share(uncounted, targets);
            let least = self.least_running(target, slots_of(pool, known), now);
            count.running = count.running.max(least);
            let mut estimate =
                self.estimate(fleet, target, known, pool, demand, home.as_ref(), count);
            if status == HealthStatus::Suspect {
                estimate.cost += FAILING_COST;
            }
            let rank = prefix::rendezvous_weight(demand.draw, target.as_str());
            estimate.cost += spread.mul_f64(rank as f64 / u64::MAX as f64);
            if best
                .as_ref()
                .is_none_or(|b| estimate.cost < b.estimate.cost)
            {
                best = Some(Choice {
                    target: target.clone(),
                    estimate,
                });
            }
        }
        best.ok_or(nowhere)
    }

    /// Returns by how much the costs of a region's targets are made to differ
    /// at random.
    ///
    /// What the other instances told of is some hundred milliseconds old: about
    /// as many of their requests may have come or gone since. If each instance
    /// trusted it, all would send theirs to the target that had fewest, and to
    /// another one a moment later.
    fn spread(
        &self,
        fleet: &Fleet,
        pool: &PoolTerms,
        region: &Region,
        demand: &Demand<'_>,
    ) -> Duration {
        let here = fleet.targets(&pool.name);
        let here = here.filter(|(_, known)| known.record.region == *region);
        let (mut told, mut slots) = (0, 0);
        for (target, known) in here {
            told += self.told_sum.get(target).map_or(0, |count| count.running);
            slots += slots_of(pool, known);
        }
        let meter = self.meter(&pool.name);
        let holding = match pool.engine {
            Some(_) => meter.generation(),
            None => meter.service(),
        };
        let taken = f64::from(told) / f64::from(slots.max(1));
        // A request more holds another one up only where the slots are taken.
        let spread = holding.mul_f64(taken * taken);
        let spread = spread.max(MIN_SPREAD);
        match has_long_part(demand) {
            true => spread.min(MAX_CACHED_SPREAD),
            false => spread,
        }
    }

    fn has_cold_room(
        &mut self,
        target: &Target,
        pool: &PoolTerms,
        divisor: Divisor,
        now: Duration,
    ) -> bool {
        let Some(bound) = self.cold_bound(pool, divisor) else {
            return true;
        };
        let own = self.own.get_mut(target).and_then(|own| own.cold.as_mut());
        own.is_none_or(|window| window.sum(now) + 1.0 <= bound)
    }

    /// Finds the target that all instances send a long prompt to first.
    fn home(
        &self,
        fleet: &Fleet,
        pool: &PoolTerms,
        region: &Region,
        demand: &Demand<'_>,
        now: Duration,
    ) -> Option<Target> {
        let first = demand
            .parts
            .iter()
            .find(|p| u64::from(p.tokens) >= HOME_TOKENS)?;
        pool.engine.as_ref()?;
        fleet
            .targets(&pool.name)
            .filter(|(_, known)| known.record.region == *region)
            .filter(|(target, _)| self.status(target, now) != HealthStatus::Ejected)
            .max_by_key(|(target, _)| prefix::rendezvous_weight(first.id, target.as_str()))
            .map(|(target, _)| target.clone())
    }

    #[expect(clippy::too_many_arguments, reason = "one decision's inputs")]
    fn estimate(
        &self,
        fleet: &Fleet,
        target: &Target,
        known: &KnownTarget,
        pool: &PoolTerms,
        demand: &Demand<'_>,
        home: Option<&Target>,
        count: Count,
    ) -> Estimate {
        let meter = self.meter(&pool.name);
        let slots = slots_of(pool, known);
        let has_slot = count.running < slots;
        let behind = (count.running + 1).saturating_sub(slots);
        let crowd = 1.0 + f64::from(behind) / f64::from(slots);
        let own = self.own.get(target);
        let failing = own.map_or(0.0, |own| own.failing);
        let penalty = FAILING_COST.mul_f64(failing);
        if pool.engine.is_none() {
            let wait = meter
                .service()
                .mul_f64(f64::from(behind) / f64::from(slots));
            let crowding = CROWDING * count.running;
            return Estimate {
                wait,
                turn: wait,
                cost: wait + penalty + crowding,
                running: count.running,
                has_slot,
                crowd,
                unread_tokens: 0,
                ahead_tokens: 0,
                source: None,
            };
        }
        let seen = self.cached.get(target);
        let seen = seen.map_or(0, |cached| cached.cached_tokens(demand.parts));
        let best = self.best_source(fleet, target, demand.parts, COPIED_TOKENS);
        let source = best.and_then(|(name, _)| Some(fleet.get(name)?.record.address));
        let cached = match (best, home == Some(target)) {
            (Some((_, there)), _) => there,
            (None, true) => seen.max((shared_tokens(demand.parts) as f64 * HOME_CACHED) as u64),
            (None, false) => seen,
        };
        let unread = demand.prompt_tokens.saturating_sub(cached);
        let ahead = u64::from(count.unread_tokens);
        let queue = meter
            .generation()
            .mul_f64(f64::from(behind) / f64::from(slots));
        let turn = meter.reading(ahead) + queue;
        let wait = turn + meter.reading(unread);
        let copying = match source {
            Some(_) => COPYING,
            None => Duration::ZERO,
        };
        let read = meter.reading(unread).mul_f64(READ_WEIGHT) + copying;
        let crowding = CROWDING * count.running;
        Estimate {
            wait,
            turn,
            cost: turn + read + crowding + penalty,
            running: count.running,
            has_slot,
            crowd,
            unread_tokens: u32::try_from(unread).unwrap_or(u32::MAX),
            ahead_tokens: count.unread_tokens,
            source,
        }
    }
}

/// Returns how many requests a target runs at once, at least 1.
fn slots_of(pool: &PoolTerms, known: &KnownTarget) -> u32 {
    let slots = match &pool.engine {
        Some(engine) => engine.slots,
        None => known.record.slots,
    };
    slots.max(1)
}

fn has_long_part(demand: &Demand<'_>) -> bool {
    let mut tokens = demand.parts.iter().map(|part| u64::from(part.tokens));
    tokens.any(|tokens| tokens >= HOME_TOKENS)
}

/// Counts the tokens of all parts but the last, which is the request's own.
fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| u64::from(part.tokens)).sum()
}
