//! Requests in flight at the targets, and the choice of a target by load.
//!
//! The load of a target is the sum of what this instance sent there and what
//! the other instances last reported.

mod cached;
mod choose;
mod outcome;
mod performance;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::PoolSpec;
use crate::fleet::Fleet;
use crate::fleet::KnownTarget;
use crate::names::Instance;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::Health;
use crate::placement::HealthEvent;
use crate::placement::HealthStatus;
use crate::retry_budget::RetryBudget;
use crate::retry_budget::RetryDecision;
use crate::retry_budget::RetryLimit;
use crate::window::Divisor;
use crate::window::SlidingWindow;

pub use cached::CachedParts;
pub use cached::PromptPart;
pub use cached::PromptPartUse;
pub use choose::Estimate;
pub use choose::MIN_FORWARD_GAIN;
pub use choose::NoTargetReason;
pub use choose::RegionChoice;
pub use choose::TargetChoice;
pub use choose::TargetQuery;
pub use outcome::TargetOutcome;
pub use performance::PoolPerformance;

/// Age at which the counts that another instance reported are dropped.
const REMOTE_COUNTS_TTL: Duration = Duration::from_secs(5);

/// Time after which the instances of another region are assumed to have
/// reported a request that was forwarded there.
const FORWARD_REPORT_DELAY: Duration = Duration::from_millis(800);

/// Length of the window over which the rate limit of a cold target, which is
/// per second, is counted. It is slightly longer than a second.
const COLD_LIMIT_WINDOW: Duration = Duration::from_millis(1030);

/// Requests in flight from one instance to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlight {
    /// Requests that run or wait at the target.
    pub running: u32,
    /// Prompt tokens of these requests that the target has yet to prefill.
    pub prefill_tokens: u32,
}

impl InFlight {
    /// Adds one target's equal share of load spread over `targets` targets.
    fn plus_share_of(self, other: Self, targets: usize) -> Self {
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        Self {
            running: self.running + other.running / targets,
            prefill_tokens: self
                .prefill_tokens
                .saturating_add(other.prefill_tokens / targets),
        }
    }

    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.prefill_tokens += other.prefill_tokens;
    }
}

/// Requests in flight at one target, as reported to the other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetInFlight {
    /// The target.
    pub target: Target,
    /// The reporting instance's requests there.
    pub in_flight: InFlight,
}

#[derive(Debug, Default)]
struct LocalTargetState {
    in_flight: InFlight,
    health: Health,
    /// Requests sent while the target was cold; `None` before the first one.
    cold_requests: Option<SlidingWindow>,
    /// Moving average of failed attempts, from 0 to 1.
    failure_rate: f64,
    /// When the target last sent the first event of a stream or completed an
    /// answer, on the local monotonic clock.
    last_answer_at: Duration,
}

#[derive(Debug)]
struct RemoteCounts {
    received_at: Duration,
    counts: Vec<TargetInFlight>,
}

/// A request's reservation at a target, from the choice of the target until
/// the attempt ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The target.
    pub target: Target,
    /// The pool.
    pub pool: Pool,
    /// Prompt tokens that the target has to prefill for this request.
    pub prefill_tokens: u32,
    /// Prompt tokens queued ahead of the request when the reservation was made.
    pub queued_prefill_tokens: u32,
    /// When the reservation was made, on the local monotonic clock.
    pub reserved_at: Duration,
    /// Address of the target from which missing parts of the KV cache can be
    /// copied.
    pub cache_source: Option<SocketAddr>,
    /// One plus the number of waiting requests per slot when the reservation
    /// was made, counting this request. It is 1 if a slot was free.
    pub requests_per_slot: f64,
}

/// Weight of the newest attempt in the moving average of a target's failures.
const FAILURE_RATE_WEIGHT: f64 = 0.08;

/// Time without any answer from a target after which a cancelled request
/// counts as a failure of the target.
const HANG_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which no request is sent to a target that reported itself full.
const FULL_BACKOFF: Duration = Duration::from_millis(50);

/// Time over which the queue of a full target is assumed to empty.
const FULL_RECOVERY_TIME: Duration = Duration::from_millis(600);

/// Requests per slot that a target is assumed to have when it reports itself
/// full.
const FULL_REQUESTS_PER_SLOT: f64 = 3.0;

/// Largest number of prompt parts reported to the other instances at once.
const MAX_PART_USES: usize = 128;

/// Shortest prompt part that is reported to the other instances, in tokens.
const MIN_REPORTED_TOKENS: u32 = 500;

/// Load, health, cached prompts and performance of the targets. All times are
/// since the start of the process, on the local monotonic clock.
///
/// # Invariants
///
/// `part_uses` has at most [`MAX_PART_USES`] entries. `remote_total` is the sum
/// of the counts in `remote`. Each [`Reservation`] is counted in `local` until
/// [`Traffic::release`] ends it.
#[derive(Debug)]
pub struct Traffic {
    local: HashMap<Target, LocalTargetState>,
    cached_parts: HashMap<Target, CachedParts>,
    part_uses: Vec<PromptPartUse>,
    remote: HashMap<Instance, RemoteCounts>,
    remote_total: HashMap<Target, InFlight>,
    performance: HashMap<Pool, PoolPerformance>,
    retry_budgets: HashMap<Pool, RetryBudget>,
    full_until: HashMap<Target, Duration>,
    forwarded: HashMap<(Region, Pool), SlidingWindow>,
    retry_limit: RetryLimit,
    cold_tolerance: ColdLimitTolerance,
}

/// How far all instances together may exceed the rate limit of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimitTolerance {
    /// Factor applied to the limit.
    pub factor: f64,
    /// Requests allowed in addition to the multiplied limit.
    pub slack: f64,
}

impl Traffic {
    /// Creates a table without any targets or load.
    pub fn new(retry_limit: RetryLimit, cold_tolerance: ColdLimitTolerance) -> Self {
        Self {
            local: HashMap::new(),
            cached_parts: HashMap::new(),
            part_uses: Vec::new(),
            remote: HashMap::new(),
            remote_total: HashMap::new(),
            performance: HashMap::new(),
            retry_budgets: HashMap::new(),
            full_until: HashMap::new(),
            forwarded: HashMap::new(),
            retry_limit,
            cold_tolerance,
        }
    }

    /// Returns the requests in flight at a target from all instances, as far
    /// as they are known.
    pub fn in_flight(&self, target: &Target) -> InFlight {
        let mut in_flight = self
            .local
            .get(target)
            .map(|local| local.in_flight)
            .unwrap_or_default();
        if let Some(remote) = self.remote_total.get(target) {
            in_flight.add(*remote);
        }
        in_flight
    }

    /// Returns the lower bound of a target's running requests if it recently
    /// reported itself full. The bound falls to 0 over
    /// [`FULL_RECOVERY_TIME`].
    fn min_running(&self, target: &Target, slots: u32, now: Duration) -> u32 {
        let Some(until) = self.full_until.get(target) else {
            return 0;
        };
        let since = (now + FULL_BACKOFF).saturating_sub(*until);
        let left = 1.0 - since.as_secs_f64() / FULL_RECOVERY_TIME.as_secs_f64();
        (f64::from(slots) * FULL_REQUESTS_PER_SLOT * left.max(0.0)) as u32
    }

    /// Returns the average performance of a pool's targets.
    pub fn performance(&self, pool: &Pool) -> PoolPerformance {
        self.performance.get(pool).copied().unwrap_or_default()
    }

    /// Returns the performance of a pool's targets, to add samples to it.
    pub fn performance_mut(&mut self, pool: &Pool) -> &mut PoolPerformance {
        self.performance.entry(pool.clone()).or_default()
    }

    /// Lists this instance's requests in flight by target, to be reported to
    /// the other instances.
    pub fn local_counts(&self) -> Vec<TargetInFlight> {
        let busy = |(target, local): (&Target, &LocalTargetState)| {
            (local.in_flight.running > 0).then(|| TargetInFlight {
                target: target.clone(),
                in_flight: local.in_flight,
            })
        };
        self.local.iter().filter_map(busy).collect()
    }

    /// Replaces the counts that another instance reported.
    pub fn update_remote_counts(
        &mut self,
        from: &Instance,
        counts: Vec<TargetInFlight>,
        now: Duration,
    ) {
        let remote = RemoteCounts {
            received_at: now,
            counts,
        };
        self.remote.insert(from.clone(), remote);
        self.update_remote_total(now);
    }

    /// Drops the counts of an instance that has stopped.
    pub fn remove_instance(&mut self, from: &Instance, now: Duration) {
        if self.remote.remove(from).is_some() {
            self.update_remote_total(now);
        }
    }

    fn update_remote_total(&mut self, now: Duration) {
        self.remote
            .retain(|_, remote| remote.received_at + REMOTE_COUNTS_TTL > now);
        self.remote_total.clear();
        for remote in self.remote.values().flat_map(|remote| &remote.counts) {
            let sum = self.remote_total.entry(remote.target.clone()).or_default();
            sum.add(remote.in_flight);
        }
    }

    /// Counts a request to a pool, which allows more retries.
    pub fn record_request(&mut self, pool: &Pool, now: Duration) {
        self.retry_budget(pool).record_request(now);
    }

    /// Counts a retry if the pool's retry limit allows it, and returns the
    /// decision with the counts that led to it.
    pub fn try_consume_retry(
        &mut self,
        pool: &Pool,
        divisor: Divisor,
        now: Duration,
    ) -> RetryDecision {
        self.retry_budget(pool).try_retry(divisor, now)
    }

    fn retry_budget(&mut self, pool: &Pool) -> &mut RetryBudget {
        let limit = self.retry_limit;
        let make = || RetryBudget::new(limit);
        self.retry_budgets.entry(pool.clone()).or_insert_with(make)
    }

    /// Reserves the chosen target for a request. Returns false if the target is
    /// cold and this instance has used up its share of the target's rate limit.
    pub fn try_reserve(
        &mut self,
        reservation: &Reservation,
        parts: &[PromptPart],
        known: &KnownTarget,
        pool: &PoolSpec,
        divisor: Divisor,
        now: Duration,
    ) -> bool {
        let bound = self.cold_limit_share(pool, divisor, now);
        let local = self.local.entry(reservation.target.clone()).or_default();
        if let Some(bound) = bound.filter(|_| known.is_cold(now)) {
            let window = local
                .cold_requests
                .get_or_insert_with(|| SlidingWindow::new(COLD_LIMIT_WINDOW));
            if !window.try_add(1.0, bound, now) {
                return false;
            }
        }
        local.health.observe(HealthEvent::RequestPlaced, now);
        local.in_flight.running += 1;
        local.in_flight.prefill_tokens += reservation.prefill_tokens;
        if let Some(engine) = &pool.engine {
            let cached = self
                .cached_parts
                .entry(reservation.target.clone())
                .or_default();
            cached.set_capacity(engine.cache_tokens);
            cached.insert(parts, now);
            self.record_part_uses(&reservation.target, parts);
        }
        true
    }

    fn record_part_uses(&mut self, target: &Target, parts: &[PromptPart]) {
        // The last part is the request's own, so no other request shares it.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for part in shared
            .iter()
            .filter(|part| part.tokens >= MIN_REPORTED_TOKENS)
        {
            if self.part_uses.len() < MAX_PART_USES {
                self.part_uses.push(PromptPartUse {
                    target: target.clone(),
                    part: *part,
                });
            }
        }
    }

    /// Returns the prompt parts sent to targets since the last call, to be
    /// reported to the other instances.
    pub fn take_part_uses(&mut self) -> Vec<PromptPartUse> {
        std::mem::take(&mut self.part_uses)
    }

    /// Records the prompt parts that another instance sent to targets.
    pub fn record_remote_part_uses(&mut self, uses: Vec<PromptPartUse>, now: Duration) {
        for PromptPartUse { target, part } in uses {
            let cached = self.cached_parts.entry(target).or_default();
            cached.insert(&[part], now);
        }
    }

    /// Finds the target other than `target` that has most of a prompt cached,
    /// if it has at least `min_extra_tokens` more cached tokens than `target`.
    fn best_cache_source<'a>(
        &'a self,
        fleet: &Fleet,
        target: &Target,
        parts: &[PromptPart],
        min_extra_tokens: u64,
    ) -> Option<(&'a Target, u64)> {
        let cached_here = self
            .cached_parts
            .get(target)
            .map_or(0, |c| c.cached_tokens(parts));
        let others = self.cached_parts.iter().filter(|(name, _)| *name != target);
        let known = others.filter(|(name, _)| fleet.accepts_requests(name));
        let tokens_of = known.map(|(name, cached)| (name, cached.cached_tokens(parts)));
        let best = tokens_of.max_by_key(|(_, cached)| *cached)?;
        (best.1 >= cached_here + min_extra_tokens).then_some(best)
    }

    /// Returns this instance's share of the rate limit of a cold target, or
    /// `None` if the pool has no such limit. The share is 0 in the first window
    /// of the process, as an earlier process of the instance may have used it.
    fn cold_limit_share(&self, pool: &PoolSpec, divisor: Divisor, now: Duration) -> Option<f64> {
        let per_s = pool.cold.requests_per_s;
        if per_s <= 0.0 {
            return None;
        }
        if now < COLD_LIMIT_WINDOW {
            return Some(0.0);
        }
        let bound = per_s * self.cold_tolerance.factor + self.cold_tolerance.slack;
        Some(divisor.share(bound).floor())
    }

    /// Records a request forwarded to another region, as the instances there
    /// have not reported it yet.
    pub fn record_forward(&mut self, region: &Region, pool: &Pool, tokens: u32, now: Duration) {
        let key = (region.clone(), pool.clone());
        let make = || SlidingWindow::new(FORWARD_REPORT_DELAY);
        let window = self.forwarded.entry(key).or_insert_with(make);
        window.add(f64::from(tokens.max(1)), now);
    }

    /// Returns the load forwarded to a region that its instances have not
    /// reported yet.
    fn unreported_forwards(&mut self, region: &Region, pool: &Pool, now: Duration) -> InFlight {
        let key = (region.clone(), pool.clone());
        let Some(window) = self.forwarded.get_mut(&key) else {
            return InFlight::default();
        };
        InFlight {
            prefill_tokens: window.sum(now) as u32,
            running: u32::try_from(window.len()).unwrap_or(u32::MAX),
        }
    }

    /// Records that a target has prefilled a request's prompt.
    pub fn record_prefill(&mut self, reservation: &mut Reservation) {
        let tokens = std::mem::take(&mut reservation.prefill_tokens);
        if let Some(local) = self.local.get_mut(&reservation.target) {
            local.in_flight.prefill_tokens = local.in_flight.prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Records the duration of a complete answer that is not a stream, less the
    /// estimated part that was spent waiting for a slot.
    pub fn record_answer(&mut self, reservation: &Reservation, elapsed: Duration) {
        let service_time = elapsed.div_f64(reservation.requests_per_slot.max(1.0));
        self.performance_mut(&reservation.pool)
            .record_answer(service_time);
    }

    /// Records the time to the first event of a stream. If the request had a
    /// slot at once, the time is also a sample of the prefill rate.
    pub fn record_first_event(&mut self, reservation: &Reservation, elapsed: Duration) {
        if let Some(local) = self.local.get_mut(&reservation.target) {
            local.last_answer_at = reservation.reserved_at + elapsed;
        }
        if reservation.requests_per_slot <= 1.0 {
            let tokens = reservation
                .queued_prefill_tokens
                .saturating_add(reservation.prefill_tokens);
            self.performance_mut(&reservation.pool)
                .record_first_event(tokens, elapsed);
        }
    }

    /// Records the time from a stream's first event to its end.
    pub fn record_generation(&mut self, reservation: &Reservation, elapsed: Duration) {
        self.performance_mut(&reservation.pool)
            .record_generation(elapsed);
    }

    /// Ends a reservation and updates the target's health and failure rate.
    pub fn release(&mut self, mut reservation: Reservation, outcome: TargetOutcome, now: Duration) {
        self.record_prefill(&mut reservation);
        let Some(local) = self.local.get_mut(&reservation.target) else {
            return;
        };
        local.in_flight.running = local.in_flight.running.saturating_sub(1);
        let (health_event, failed) = match outcome {
            TargetOutcome::Answered => (Some(HealthEvent::Success), Some(0.0)),
            // Raises the target's cost, but can't eject it.
            TargetOutcome::Failed => (None, Some(1.0)),
            TargetOutcome::Lost => (Some(HealthEvent::Failure), Some(1.0)),
            TargetOutcome::Unreachable | TargetOutcome::Misdirected => {
                (Some(HealthEvent::Unreachable), None)
            }
            TargetOutcome::Cancelled
                if now >= local.last_answer_at.max(reservation.reserved_at) + HANG_TIMEOUT =>
            {
                (Some(HealthEvent::Failure), Some(1.0))
            }
            TargetOutcome::Full | TargetOutcome::Cancelled => (None, None),
        };
        if outcome == TargetOutcome::Answered {
            local.last_answer_at = now;
        }
        if let Some(health_event) = health_event {
            local.health.observe(health_event, now);
        }
        if let Some(failed) = failed {
            local.failure_rate += (failed - local.failure_rate) * FAILURE_RATE_WEIGHT;
        }
        if outcome == TargetOutcome::Full {
            self.full_until
                .insert(reservation.target, now + FULL_BACKOFF);
        }
    }

    /// Drops the cached prompts and failures of a target that has restarted.
    pub fn reset_target(&mut self, target: &Target, now: Duration) {
        self.cached_parts.remove(target);
        if let Some(local) = self.local.get_mut(target) {
            local.failure_rate = 0.0;
            local.health.observe(HealthEvent::Restarted, now);
        }
    }

    /// Forgets a removed target. Load and health stay while requests run there.
    pub fn remove_target(&mut self, target: &Target) {
        self.full_until.remove(target);
        self.cached_parts.remove(target);
        if self
            .local
            .get(target)
            .is_some_and(|local| local.in_flight.running == 0)
        {
            self.local.remove(target);
        }
    }

    fn health_status(&self, target: &Target, now: Duration) -> HealthStatus {
        let local = self.local.get(target);
        local.map_or(HealthStatus::Healthy, |local| local.health.status(now))
    }
}
