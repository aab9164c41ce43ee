//! What runs at the targets, by this instance's own count and by what the
//! other instances tell, and the choice of a target from it.

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
use crate::window::Divisor;
use crate::window::RetryLimit;
use crate::window::RetryWindow;
use crate::window::SlidingWindow;

pub use cached::CachedParts;
pub use cached::PromptPart;
pub use cached::PromptPartUse;
pub use choose::Estimate;
pub use choose::MIN_SPILL_GAIN;
pub use choose::NoTargetReason;
pub use choose::RegionChoice;
pub use choose::TargetChoice;
pub use choose::TargetQuery;
pub use outcome::TargetOutcome;
pub use performance::PoolPerformance;

/// Time without a word after which another instance's counts are dropped.
const REMOTE_COUNTS_TTL: Duration = Duration::from_secs(5);

/// Time until the instances of another region have told of a request that was
/// sent there.
const FORWARD_REPORT_DELAY: Duration = Duration::from_millis(800);

/// Window in which a cold target's requests are counted.
const COLD_LIMIT_WINDOW: Duration = Duration::from_millis(1030);

/// What one instance has at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlight {
    /// Requests that run or wait there.
    pub running: u32,
    /// Prompt tokens of them that are still to be read.
    pub prefill_tokens: u32,
}

impl InFlight {
    /// Adds an equal share of what goes to one of so many targets.
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

/// What an instance has at a target, as told to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetInFlight {
    /// The target.
    pub target: Target,
    /// What is there.
    pub in_flight: InFlight,
}

#[derive(Debug, Default)]
struct LocalTargetState {
    in_flight: InFlight,
    health: Health,
    cold_requests: Option<SlidingWindow>,
    failure_rate: f64,
    /// When an answer last began or ended there.
    last_answer_at: Duration,
}

#[derive(Debug)]
struct RemoteCounts {
    received_at: Duration,
    counts: Vec<TargetInFlight>,
}

/// A place at a target, from the choice until the request has ended there.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The target.
    pub target: Target,
    /// The pool.
    pub pool: Pool,
    /// Prompt tokens that the target has to read.
    pub prefill_tokens: u32,
    /// Prompt tokens ahead of them when the place was taken.
    pub queued_prefill_tokens: u32,
    /// When it was taken, on the local monotonic clock.
    pub reserved_at: Duration,
    /// Where the target can copy parts of the prompt from that it lacks.
    pub cache_source: Option<SocketAddr>,
    /// Requests that ran or waited for each slot when the place was taken, at
    /// least 1.
    pub requests_per_slot: f64,
}

/// Weight of the newest answer in a target's share of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.08;

/// Time without any answer of a target after which a request that was given up
/// there counts as failed.
const HANG_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a full target is passed over.
const FULL_BACKOFF: Duration = Duration::from_millis(50);

/// Time in which a full target's queue is taken to run empty.
const FULL_RECOVERY_TIME: Duration = Duration::from_millis(600);

/// Requests for each slot that a full target is taken to have.
const FULL_REQUESTS_PER_SLOT: f64 = 3.0;

/// Parts of which the other instances are told at once.
const MAX_PART_USES: usize = 128;

/// Parts from which on others are told of them, in tokens.
const MIN_REPORTED_TOKENS: u32 = 500;

/// Everything that is counted at the targets.
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
    retry_windows: HashMap<Pool, RetryWindow>,
    full_until: HashMap<Target, Duration>,
    forwarded: HashMap<(Region, Pool), SlidingWindow>,
    retry_limit: RetryLimit,
    cold_tolerance: ColdLimitTolerance,
}

/// How far all instances together may overrun a cold target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimitTolerance {
    /// Factor on the limit.
    pub factor: f64,
    /// Requests beside that.
    pub slack: f64,
}

impl Traffic {
    /// Starts with nothing counted.
    pub fn new(retry_limit: RetryLimit, cold_tolerance: ColdLimitTolerance) -> Self {
        Self {
            local: HashMap::new(),
            cached_parts: HashMap::new(),
            part_uses: Vec::new(),
            remote: HashMap::new(),
            remote_total: HashMap::new(),
            performance: HashMap::new(),
            retry_windows: HashMap::new(),
            full_until: HashMap::new(),
            forwarded: HashMap::new(),
            retry_limit,
            cold_tolerance,
        }
    }

    /// Returns what all instances have at a target, as far as is known.
    pub fn in_flight(&self, target: &Target) -> InFlight {
        let mut in_flight = self
            .local
            .get(target)
            .map(|o| o.in_flight)
            .unwrap_or_default();
        if let Some(remote) = self.remote_total.get(target) {
            in_flight.add(*remote);
        }
        in_flight
    }

    /// Returns how many requests a target with so many slots has at least, as
    /// it said that it was full not long ago.
    fn min_running(&self, target: &Target, slots: u32, now: Duration) -> u32 {
        let Some(until) = self.full_until.get(target) else {
            return 0;
        };
        let since = (now + FULL_BACKOFF).saturating_sub(*until);
        let left = 1.0 - since.as_secs_f64() / FULL_RECOVERY_TIME.as_secs_f64();
        (f64::from(slots) * FULL_REQUESTS_PER_SLOT * left.max(0.0)) as u32
    }

    /// Returns the meter of a pool.
    pub fn performance(&self, pool: &Pool) -> PoolPerformance {
        self.performance.get(pool).copied().unwrap_or_default()
    }

    /// Returns the meter of a pool, to be fed.
    pub fn performance_mut(&mut self, pool: &Pool) -> &mut PoolPerformance {
        self.performance.entry(pool.clone()).or_default()
    }

    /// Lists what this instance has at the targets, for the others.
    pub fn local_counts(&self) -> Vec<TargetInFlight> {
        let busy = |(target, local): (&Target, &LocalTargetState)| {
            (local.in_flight.running > 0).then(|| TargetInFlight {
                target: target.clone(),
                in_flight: local.in_flight,
            })
        };
        self.local.iter().filter_map(busy).collect()
    }

    /// Takes another instance's counts.
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

    /// Drops the counts of an instance that has ended.
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

    /// Counts a request for a pool.
    pub fn record_request(&mut self, pool: &Pool, now: Duration) {
        self.retry_window(pool).record_request(now);
    }

    /// Tells whether a request may be sent to a further target, and counts it
    /// if so.
    pub fn try_consume_retry(&mut self, pool: &Pool, divisor: Divisor, now: Duration) -> bool {
        let limit = self.retry_limit;
        self.retry_window(pool).try_retry(limit, divisor, now)
    }

    fn retry_window(&mut self, pool: &Pool) -> &mut RetryWindow {
        let limit = self.retry_limit;
        let make = || RetryWindow::new(limit);
        self.retry_windows.entry(pool.clone()).or_insert_with(make)
    }

    /// Takes a place at a target that was chosen; false if it is cold and this
    /// instance's part of what it takes is used up.
    pub fn try_reserve(
        &mut self,
        reservation: &Reservation,
        parts: &[PromptPart],
        known: &KnownTarget,
        pool: &PoolSpec,
        divisor: Divisor,
        now: Duration,
    ) -> bool {
        let bound = self.cold_limit_share(pool, divisor);
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

    /// Returns the parts that went to targets since the last call, for the
    /// other instances.
    pub fn drain_part_uses(&mut self) -> Vec<PromptPartUse> {
        std::mem::take(&mut self.part_uses)
    }

    /// Takes what another instance says of the parts that it sent.
    pub fn record_remote_part_uses(&mut self, uses: Vec<PromptPartUse>, now: Duration) {
        for PromptPartUse { target, part } in uses {
            let cached = self.cached_parts.entry(target).or_default();
            cached.insert(&[part], now);
        }
    }

    /// Finds the target that has most of a prompt's shared parts in memory,
    /// other than `target`, if it has at least `tokens` more than it.
    fn best_cache_source<'a>(
        &'a self,
        fleet: &Fleet,
        target: &Target,
        parts: &[PromptPart],
        tokens: u64,
    ) -> Option<(&'a Target, u64)> {
        let has = self
            .cached_parts
            .get(target)
            .map_or(0, |c| c.cached_tokens(parts));
        let others = self.cached_parts.iter().filter(|(name, _)| *name != target);
        let known = others.filter(|(name, _)| fleet.accepts_requests(name));
        let tokens_of = known.map(|(name, cached)| (name, cached.cached_tokens(parts)));
        let best = tokens_of.max_by_key(|(_, cached)| *cached)?;
        (best.1 >= has + tokens).then_some(best)
    }

    fn cold_limit_share(&self, pool: &PoolSpec, divisor: Divisor) -> Option<f64> {
        let per_s = pool.cold.requests_per_s;
        let bound = per_s * self.cold_tolerance.factor + self.cold_tolerance.slack;
        (per_s > 0.0).then(|| divisor.share(bound).floor())
    }

    /// Notes a request that goes to another region, whose instances have not
    /// counted it yet.
    pub fn record_forward(&mut self, region: &Region, pool: &Pool, tokens: u32, now: Duration) {
        let key = (region.clone(), pool.clone());
        let make = || SlidingWindow::new(FORWARD_REPORT_DELAY);
        let window = self.forwarded.entry(key).or_insert_with(make);
        window.add(f64::from(tokens.max(1)), now);
    }

    /// Returns the requests and the prompt tokens that went to a region and
    /// are not counted there yet.
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

    /// Notes that a target has read a request's prompt.
    pub fn record_prompt_read(&mut self, reservation: &mut Reservation) {
        let tokens = std::mem::take(&mut reservation.prefill_tokens);
        if let Some(local) = self.local.get_mut(&reservation.target) {
            local.in_flight.prefill_tokens = local.in_flight.prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Notes the time of a whole plain answer.
    pub fn record_answer(&mut self, reservation: &Reservation, elapsed: Duration) {
        let service_time = elapsed.div_f64(reservation.requests_per_slot.max(1.0));
        self.performance_mut(&reservation.pool)
            .observe_answer(service_time);
    }

    /// Notes the time to the first event of a stream, which tells how fast the
    /// target reads if it began at once.
    pub fn record_first_event(&mut self, reservation: &Reservation, elapsed: Duration) {
        if let Some(local) = self.local.get_mut(&reservation.target) {
            local.last_answer_at = reservation.reserved_at + elapsed;
        }
        if reservation.requests_per_slot <= 1.0 {
            let tokens = reservation
                .queued_prefill_tokens
                .saturating_add(reservation.prefill_tokens);
            self.performance_mut(&reservation.pool)
                .observe_first_event(tokens, elapsed);
        }
    }

    /// Notes the time from a stream's first event to its end.
    pub fn record_generation(&mut self, reservation: &Reservation, elapsed: Duration) {
        self.performance_mut(&reservation.pool)
            .observe_generation(elapsed);
    }

    /// Gives a place back.
    pub fn release(&mut self, mut reservation: Reservation, outcome: TargetOutcome, now: Duration) {
        self.record_prompt_read(&mut reservation);
        let Some(local) = self.local.get_mut(&reservation.target) else {
            return;
        };
        local.in_flight.running = local.in_flight.running.saturating_sub(1);
        let (sign, failed) = match outcome {
            TargetOutcome::Answered => (Some(HealthEvent::Success), Some(0.0)),
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
        if let Some(sign) = sign {
            local.health.observe(sign, now);
        }
        if let Some(failed) = failed {
            local.failure_rate += (failed - local.failure_rate) * FAILURE_RATE_WEIGHT;
        }
        if outcome == TargetOutcome::Full {
            self.full_until
                .insert(reservation.target, now + FULL_BACKOFF);
        }
    }

    /// Forgets what a target had before it started anew.
    pub fn reset_target(&mut self, target: &Target, now: Duration) {
        self.cached_parts.remove(target);
        if let Some(local) = self.local.get_mut(target) {
            local.failure_rate = 0.0;
            local.health.observe(HealthEvent::Restarted, now);
        }
    }

    /// Drops a target that is gone, unless requests still run there.
    pub fn remove_target(&mut self, target: &Target) {
        self.full_until.remove(target);
        self.cached_parts.remove(target);
        if self
            .local
            .get(target)
            .is_some_and(|o| o.in_flight.running == 0)
        {
            self.local.remove(target);
        }
    }

    fn health_status(&self, target: &Target, now: Duration) -> HealthStatus {
        let local = self.local.get(target);
        local.map_or(HealthStatus::Healthy, |local| local.health.status(now))
    }
}
