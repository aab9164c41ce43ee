//! Extra attempts at requests whose target is slow to answer, where the load of
//! the other targets allows them.

use std::time::Duration;

use super::Estimate;
use super::TargetChoice;
use super::Traffic;
use super::choose::slots_of;
use crate::catalog::PoolSpec;
use crate::extra_attempts::ExtraAttemptDenial;
use crate::extra_attempts::ExtraAttemptLimit;
use crate::extra_attempts::ExtraAttempts;
use crate::fleet::Fleet;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::HealthStatus;
use crate::window::Divisor;

/// Fraction of the slots of a region's targets from whose use on there are no
/// extra attempts.
const MAX_UTILIZATION: f64 = 0.6;

/// Time to the start of an answer beside the wait at its target.
const MIN_START_TIME: Duration = Duration::from_millis(40);

impl Traffic {
    /// Sets the operator's limit on extra attempts. Without one there are none.
    pub fn with_extra_attempts(mut self, limit: Option<ExtraAttemptLimit>) -> Self {
        self.extra_attempt_limit = limit;
        self
    }

    /// Counts the first attempt at a request that may be repeated, which allows
    /// more extra attempts.
    pub fn record_first_attempt(&mut self, pool: &Pool, estimate: &Estimate) {
        if let Some(extra) = self.extra_attempts(pool) {
            extra.record_request(estimate.prefill_tokens);
        }
    }

    /// Returns the time after which an attempt with this estimate is slow, so
    /// that its request may get an extra one. `None` if that is not known, or
    /// if there are no extra attempts.
    pub fn extra_attempt_delay(
        &self,
        pool: &Pool,
        is_stream: bool,
        estimate: &Estimate,
        now: Duration,
    ) -> Option<Duration> {
        let extra = self.extra_attempts.get(pool)?;
        extra.delay(is_stream, expected_start(estimate), now)
    }

    /// Records that the answer to an attempt with this estimate began after
    /// `took`, or that the attempt was given up then, before its answer began.
    pub fn record_start(
        &mut self,
        pool: &Pool,
        is_stream: bool,
        estimate: &Estimate,
        took: Duration,
        now: Duration,
    ) {
        if let Some(extra) = self.extra_attempts(pool) {
            extra.record_start(is_stream, expected_start(estimate), took, now);
        }
    }

    /// Counts an extra attempt at a target that was chosen for it, if load and
    /// limits allow it. `divisor` divides the retry budget.
    ///
    /// # Errors
    ///
    /// Returns why there is no extra attempt. Nothing was counted then.
    pub fn try_extra_attempt(
        &mut self,
        fleet: &Fleet,
        pool: &PoolSpec,
        region: &Region,
        choice: &TargetChoice,
        divisor: Divisor,
        now: Duration,
    ) -> Result<(), ExtraAttemptDenial> {
        let extra = self.extra_attempts(&pool.name);
        if !extra.is_some_and(|extra| extra.has_allowance()) {
            return Err(ExtraAttemptDenial::OverLimit);
        }
        let has_room = self.has_spare_room(fleet, pool, choice, now)
            && self.utilization(fleet, pool, region, now) < MAX_UTILIZATION;
        if !has_room {
            return Err(ExtraAttemptDenial::NoRoom);
        }
        let budget = self.retry_budget(&pool.name);
        if !budget.try_spare_retry(divisor, now).is_allowed {
            return Err(ExtraAttemptDenial::OverRetryBudget);
        }
        if let Some(extra) = self.extra_attempts(&pool.name) {
            extra.consume(choice.estimate.prefill_tokens);
        }
        Ok(())
    }

    fn extra_attempts(&mut self, pool: &Pool) -> Option<&mut ExtraAttempts> {
        let limit = self.extra_attempt_limit?;
        if !self.extra_attempts.contains_key(pool) {
            self.extra_attempts
                .insert(pool.clone(), ExtraAttempts::new(limit));
        }
        self.extra_attempts.get_mut(pool)
    }

    /// Tells whether a target can run another request without delaying any, and
    /// nothing limits its requests.
    fn has_spare_room(
        &self,
        fleet: &Fleet,
        pool: &PoolSpec,
        choice: &TargetChoice,
        now: Duration,
    ) -> bool {
        let TargetChoice { target, estimate } = choice;
        let is_limited = fleet.get(target).is_none_or(|known| known.is_cold(now))
            || self.states_limit(target)
            || self.rejection_limit(&pool.name, now).is_some()
            || self.pause_left(target, now).is_some();
        !is_limited
            && estimate.has_free_slot
            && estimate.queue_delay.is_zero()
            && self.health_status(target, now) == HealthStatus::Healthy
    }

    /// Returns the fraction of the slots of a region's targets that is in use.
    /// It is above 1 if requests wait.
    fn utilization(&self, fleet: &Fleet, pool: &PoolSpec, region: &Region, now: Duration) -> f64 {
        let targets = fleet.usable_targets(&pool.name);
        let (mut running, mut slots) = (0_u32, 0_u32);
        for (target, known) in targets.filter(|(_, known)| known.record.region == *region) {
            let here = slots_of(pool, known);
            running = running.saturating_add(self.assumed_running(target, here, now));
            slots = slots.saturating_add(here);
        }
        f64::from(running) / f64::from(slots.max(1))
    }

    /// Returns the requests that run or wait at a target with so many slots,
    /// more if it has lately reported itself full.
    fn assumed_running(&self, target: &Target, slots: u32, now: Duration) -> u32 {
        let min_running = self.min_running(target, slots, now);
        self.in_flight(target).running.max(min_running)
    }
}

/// Returns the time in which an answer is expected to begin. It doesn't follow
/// the average answer time, which a single slow answer changes.
fn expected_start(estimate: &Estimate) -> Duration {
    estimate.wait + MIN_START_TIME
}
