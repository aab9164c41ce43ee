//! Requests in flight at the targets, and the choice of a target by load.
//!
//! The load of a target is the sum of what this instance sent there and what
//! the other instances last reported.

mod by_priority;
mod cached;
mod choose;
mod cold_limit;
mod expected;
mod extra_attempts;
mod guarded_room;
mod outcome;
mod part_uses;
mod pause;
mod performance;
mod queue_limit;
mod rejection_limit;
mod remote;
mod reservation;
mod stated_limit;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::audience::Audience;
use crate::audience::Source;
use crate::extra_attempts::ExtraAttemptLimit;
use crate::extra_attempts::ExtraAttempts;
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
use crate::silence::UnansweredTime;
use crate::window::Divisor;
use crate::window::SlidingWindow;
use by_priority::LoadByPriority;
use cached::CacheSources;
use guarded_room::GuardedRoom;
use part_uses::PartUseLog;
use queue_limit::QueueLimit;
use rejection_limit::RejectionLimit;
use remote::RemoteCounts;
use remote::UnreportedForwards;
use stated_limit::StatedLimit;

pub use cached::CachedParts;
pub use cached::PromptPart;
pub use cached::PromptPartUse;
pub use choose::MIN_FORWARD_GAIN;
pub use choose::NoTargetReason;
pub use choose::RegionChoice;
pub use choose::TargetChoice;
pub use choose::TargetQuery;
pub use cold_limit::ColdLimitTolerance;
pub use expected::Estimate;
pub use outcome::TargetOutcome;
pub use part_uses::PartUseCursor;
pub use performance::PoolPerformance;
pub use rejection_limit::RejectionLimitRecord;
pub use remote::ForwardedLoad;
pub use remote::TargetInFlight;
pub use reservation::Reservation;
pub use stated_limit::StatedLimitRecord;
pub use stated_limit::StatedLimitUse;

/// How the limits of a region's targets are divided among instances.
#[derive(Clone, Copy)]
pub struct RegionShares<'a> {
    /// Divides the limits that hold whatever an instance knows of the others.
    pub divisor: Divisor,
    /// Returns the position of this instance among those of the region, in an
    /// order that all of them derive from the target; `None` if it is not known.
    pub rank: Option<&'a dyn Fn(&Target) -> usize>,
    /// Applies the limits that targets state.
    pub stated: StatedLimitUse<'a>,
}

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
            running: self.running.saturating_add(other.running / targets),
            prefill_tokens: self
                .prefill_tokens
                .saturating_add(other.prefill_tokens / targets),
        }
    }

    /// Raises the number of requests to a lower bound.
    fn with_min_running(self, min: u32) -> Self {
        Self {
            running: self.running.max(min),
            ..self
        }
    }

    fn add(&mut self, other: Self) {
        self.running = self.running.saturating_add(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
    }

    fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }
}

#[derive(Debug, Default)]
struct LocalTargetState {
    in_flight: LoadByPriority,
    health: Health,
    /// Requests sent while the target was cold; `None` before the first one.
    cold_requests: Option<SlidingWindow>,
    /// Moving average of failed attempts, from 0 to 1.
    failure_rate: f64,
    /// How long the target has left its requests unanswered.
    unanswered: UnansweredTime,
}

/// The priority of the least urgent requests. 0 is the most urgent.
pub const LOWEST_PRIORITY: u8 = 9;

/// Time for which no request is sent to a target that reported itself full.
const FULL_BACKOFF: Duration = Duration::from_millis(50);

/// Time over which the queue of a full target is assumed to empty.
const FULL_RECOVERY_TIME: Duration = Duration::from_millis(600);

/// Requests per slot that a target is assumed to have when it reports itself
/// full.
const FULL_REQUESTS_PER_SLOT: f64 = 3.0;

/// Shortest prompt part that is reported to the other instances, in tokens.
const MIN_REPORTED_TOKENS: u32 = 500;

/// Load, health, cached prompts and performance of the targets. All times are
/// since the start of the process, on the local monotonic clock.
///
/// # Invariants
///
/// `remote_total` is the sum of the counts in `remote`, unless a count is so
/// large that it was cut off. Each [`Reservation`] is counted in `local` until
/// [`Traffic::release`] ends it.
#[derive(Debug)]
pub struct Traffic {
    local: HashMap<Target, LocalTargetState>,
    cached_parts: HashMap<Target, CachedParts>,
    part_uses: PartUseLog,
    remote: HashMap<Instance, RemoteCounts>,
    remote_total: HashMap<Target, LoadByPriority>,
    performance: HashMap<Pool, PoolPerformance>,
    retry_budgets: HashMap<Pool, RetryBudget>,
    full_until: HashMap<Target, Duration>,
    queue_limits: HashMap<Pool, QueueLimit>,
    paused_until: HashMap<Target, Duration>,
    stated_limits: HashMap<Target, StatedLimit>,
    rejection_limits: HashMap<Pool, RejectionLimit>,
    guarded_rooms: HashMap<Target, GuardedRoom>,
    /// By the priority of the requests.
    forwarded: HashMap<(Region, Pool), BTreeMap<u8, UnreportedForwards>>,
    retry_limit: RetryLimit,
    extra_attempts: HashMap<Pool, ExtraAttempts>,
    extra_attempt_limit: Option<ExtraAttemptLimit>,
    cold_tolerance: ColdLimitTolerance,
}

impl Traffic {
    /// Creates a table without any targets or load.
    pub fn new(retry_limit: RetryLimit, cold_tolerance: ColdLimitTolerance) -> Self {
        Self {
            local: HashMap::new(),
            cached_parts: HashMap::new(),
            part_uses: PartUseLog::default(),
            remote: HashMap::new(),
            remote_total: HashMap::new(),
            performance: HashMap::new(),
            retry_budgets: HashMap::new(),
            full_until: HashMap::new(),
            queue_limits: HashMap::new(),
            paused_until: HashMap::new(),
            stated_limits: HashMap::new(),
            rejection_limits: HashMap::new(),
            guarded_rooms: HashMap::new(),
            forwarded: HashMap::new(),
            retry_limit,
            extra_attempts: HashMap::new(),
            extra_attempt_limit: None,
            cold_tolerance,
        }
    }

    /// Returns the requests in flight at a target from all instances, as far
    /// as they are known.
    pub fn in_flight(&self, target: &Target) -> InFlight {
        self.in_flight_ahead_of(target, LOWEST_PRIORITY)
    }

    /// Returns the requests in flight at a target that an engine admits before
    /// a new one of this priority: those that are at least as urgent.
    fn in_flight_ahead_of(&self, target: &Target, priority: u8) -> InFlight {
        let local = self.local.get(target).map(|local| &local.in_flight);
        let loads = [local, self.remote_total.get(target)];
        let mut sum = InFlight::default();
        for load in loads.into_iter().flatten() {
            sum.add(load.ahead_of(priority));
        }
        sum
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

    fn record_part_uses(&mut self, target: &Target, parts: &[PromptPart]) {
        for part in PromptPart::shared(parts)
            .iter()
            .filter(|part| part.tokens >= MIN_REPORTED_TOKENS)
        {
            let part_use = PromptPartUse {
                target: target.clone(),
                part: *part,
            };
            self.part_uses.push(part_use, Source::Own);
        }
    }

    /// Returns the prompt parts sent to targets since `cursor` that an audience
    /// is told of, the newest ones if there are many. Moves the cursor.
    pub fn part_uses_since(
        &self,
        cursor: &mut PartUseCursor,
        audience: Audience<'_>,
    ) -> Vec<PromptPartUse> {
        self.part_uses.since(cursor, audience)
    }

    /// Records the prompt parts that another instance sent to targets, or told
    /// of.
    pub fn record_remote_part_uses(
        &mut self,
        from: &Instance,
        uses: Vec<PromptPartUse>,
        now: Duration,
    ) {
        for part_use in uses {
            let cached = self
                .cached_parts
                .entry(part_use.target.clone())
                .or_default();
            cached.insert(&[part_use.part], now);
            self.part_uses.push(part_use, Source::Other(from.clone()));
        }
    }

    /// Finds the targets that have most of a prompt cached.
    fn cache_sources(&self, fleet: &Fleet, query: &TargetQuery<'_>) -> CacheSources {
        let is_allowed = |known: &KnownTarget| query.residency.allows(&known.record.region);
        let known = self.cached_parts.iter();
        let known = known.filter(|(name, _)| {
            fleet.get(name).is_some_and(is_allowed) && fleet.accepts_requests(name)
        });
        let mut sources = CacheSources::default();
        for (name, cached) in known {
            sources.add(name, cached.cached_tokens(query.parts));
        }
        sources
    }

    /// Drops the cached prompts and failures of a target that has restarted.
    pub fn reset_target(&mut self, target: &Target, now: Duration) {
        self.cached_parts.remove(target);
        self.paused_until.remove(target);
        self.stated_limits.remove(target);
        self.guarded_rooms.remove(target);
        if let Some(local) = self.local.get_mut(target) {
            local.failure_rate = 0.0;
            local.health.observe(HealthEvent::Restarted, now);
        }
    }

    /// Forgets the failures of all targets, as this instance was cut off from
    /// them.
    pub fn forget_failures(&mut self) {
        for local in self.local.values_mut() {
            local.failure_rate = 0.0;
            local.health = Health::default();
        }
    }

    /// Forgets a removed target. Load and health stay while requests run there.
    /// A pause stays, as the target's process may still run and be listed again.
    pub fn remove_target(&mut self, target: &Target) {
        self.full_until.remove(target);
        self.stated_limits.remove(target);
        self.guarded_rooms.remove(target);
        self.cached_parts.remove(target);
        if self
            .local
            .get(target)
            .is_some_and(|local| local.in_flight.is_idle())
        {
            self.local.remove(target);
        }
    }

    fn health_status(&self, target: &Target, now: Duration) -> HealthStatus {
        let local = self.local.get(target);
        local.map_or(HealthStatus::Healthy, |local| local.health.status(now))
    }
}
