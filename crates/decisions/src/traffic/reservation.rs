//! Reservations of requests at targets, from the choice of a target until the
//! attempt ends.

use std::net::SocketAddr;
use std::time::Duration;

use super::FULL_BACKOFF;
use super::InFlight;
use super::PromptPart;
use super::RegionShares;
use super::TargetOutcome;
use super::Traffic;
use super::cold_limit::COLD_LIMIT_WINDOW;
use super::guarded_room::SlotUse;
use crate::catalog::PoolSpec;
use crate::fleet::KnownTarget;
use crate::names::Pool;
use crate::names::Target;
use crate::placement::HealthEvent;
use crate::silence;
use crate::window::SlidingWindow;

/// A request's reservation at a target, from the choice of the target until
/// the attempt ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The target.
    pub target: Target,
    /// The pool.
    pub pool: Pool,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whether the target is a model engine.
    pub is_at_engine: bool,
    /// Requests that were known to be at the target when the reservation was
    /// made.
    pub known_running: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
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

impl Traffic {
    /// Reserves the chosen target for a request. Returns false if this instance
    /// has used up its share of one of the target's limits.
    pub fn try_reserve(
        &mut self,
        reservation: &Reservation,
        parts: &[PromptPart],
        known: &KnownTarget,
        pool: &PoolSpec,
        shares: RegionShares<'_>,
        now: Duration,
    ) -> bool {
        let target = &reservation.target;
        // The choice was among the slots that the request may use.
        if !self.has_stated_room(target, shares.stated, now)
            || !self.has_guarded_room(target, known, pool, shares, SlotUse::Any, now)
        {
            return false;
        }
        let bound = match known.is_cold(now) {
            true => self.cold_limit_share(target, pool, shares, now),
            false => None,
        };
        let local = self.local.entry(reservation.target.clone()).or_default();
        if let Some(bound) = bound {
            let window = local
                .cold_requests
                .get_or_insert_with(|| SlidingWindow::new(COLD_LIMIT_WINDOW));
            if !window.try_add(1.0, bound, now) {
                return false;
            }
        }
        local.health.observe(HealthEvent::RequestPlaced, now);
        local.unanswered.begin(now);
        let in_flight = InFlight {
            running: 1,
            prefill_tokens: reservation.prefill_tokens,
        };
        local.in_flight.add(reservation.priority, in_flight);
        if let Some(engine) = &pool.engine {
            let cached = self
                .cached_parts
                .entry(reservation.target.clone())
                .or_default();
            cached.set_capacity(engine.cache_tokens);
            cached.insert(parts, now);
            self.record_part_uses(&reservation.target, parts);
        }
        self.take_stated_room(target);
        self.take_guarded_room(target, &pool.name, now);
        true
    }

    /// Records that a target has prefilled a request's prompt.
    pub fn record_prefill(&mut self, reservation: &mut Reservation) {
        let tokens = std::mem::take(&mut reservation.prefill_tokens);
        if let Some(local) = self.local.get_mut(&reservation.target) {
            let prefilled = InFlight {
                running: 0,
                prefill_tokens: tokens,
            };
            local.in_flight.subtract(reservation.priority, prefilled);
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
            local.unanswered.hear(reservation.reserved_at + elapsed);
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

    /// Records when a target last sent a part of an answer.
    pub fn record_sign_of_life(&mut self, reservation: &Reservation, at: Duration) {
        if let Some(local) = self.local.get_mut(&reservation.target) {
            local.unanswered.hear(at);
        }
    }

    /// Ends a reservation and updates the target's health and failure rate.
    pub fn release(&mut self, mut reservation: Reservation, outcome: TargetOutcome, now: Duration) {
        self.record_prefill(&mut reservation);
        self.release_guarded_room(&reservation, outcome, now);
        let Some(local) = self.local.get_mut(&reservation.target) else {
            return;
        };
        if outcome.is_sign_of_life() {
            local.unanswered.hear(now);
        }
        let since = local.unanswered.heard_at().max(reservation.reserved_at);
        let is_silent = match outcome {
            TargetOutcome::TimedOut => silence::is_failure(local.unanswered.total(now)),
            _ => silence::is_failure(now.saturating_sub(since)),
        };
        let ended = InFlight {
            running: 1,
            prefill_tokens: 0,
        };
        local.in_flight.subtract(reservation.priority, ended);
        if local.in_flight.is_idle() {
            local.unanswered.pause(now);
        }
        let (health_event, failed) = match outcome {
            TargetOutcome::Answered => (Some(HealthEvent::Success), Some(0.0)),
            // Raises the target's cost, but can't eject it.
            TargetOutcome::Failed => (None, Some(1.0)),
            TargetOutcome::Lost => (Some(HealthEvent::Failure), Some(1.0)),
            TargetOutcome::Unreachable | TargetOutcome::Misdirected => {
                (Some(HealthEvent::Unreachable), None)
            }
            TargetOutcome::TimedOut | TargetOutcome::Cancelled if is_silent => {
                (Some(HealthEvent::Failure), Some(1.0))
            }
            TargetOutcome::Full | TargetOutcome::TimedOut | TargetOutcome::Cancelled => {
                (None, None)
            }
        };
        if let Some(health_event) = health_event {
            local.health.observe(health_event, now);
        }
        if let Some(failed) = failed {
            local.failure_rate += (failed - local.failure_rate) * FAILURE_RATE_WEIGHT;
        }
        if outcome == TargetOutcome::Full && reservation.is_at_engine {
            let limit = self.queue_limits.entry(reservation.pool.clone());
            let (known, slots) = (reservation.known_running, reservation.slots);
            limit.or_default().record_rejection(known, slots, now);
        }
        if outcome == TargetOutcome::Full {
            self.full_until
                .insert(reservation.target, now + FULL_BACKOFF);
        }
    }
}
