//! How long a request waits for the start of its answer before it is tried at
//! another target.

use std::time::Duration;

use chiverelay_decisions::silence;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::dispatch::Opened;
use crate::place::PlacementContext;

/// Why a request is tried at another target while the first one is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HedgeReason {
    /// The target is slow in comparison with others.
    Slow,
    /// The target has been silent for longer than a sound one may be.
    Silent,
}

/// The limits of one attempt, since it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HedgeLimits {
    /// Time after which the target is slow. It is below `silence`.
    slow: Option<Duration>,
    /// Time after which the target is silent.
    silence: Option<Duration>,
    /// Whether the request was tried elsewhere, as its target was slow.
    is_slow: bool,
}

impl HedgeLimits {
    /// Tells whether the request has to stay where it is.
    pub(super) fn is_empty(&self) -> bool {
        self.slow.is_none() && self.silence.is_none()
    }

    /// Returns how long to wait from now on, and for what the request is hedged
    /// then. `waited` is the time since the attempt was sent. `None` if it has
    /// to stay where it is.
    pub(super) fn next(&mut self, waited: Duration) -> Option<(Duration, HedgeReason)> {
        if let Some(slow) = self.slow.take() {
            self.is_slow = true;
            return Some((slow, HedgeReason::Slow));
        }
        let silence = self.silence?;
        let wait = match std::mem::take(&mut self.is_slow) {
            true => silence.saturating_sub(waited),
            false => silence,
        };
        Some((wait, HedgeReason::Silent))
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Returns the limits of an attempt that is about to be sent. There are none
    /// if the request has to stay at its target.
    pub(super) fn hedge_limits<O>(
        &self,
        opened: &Opened<D, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> HedgeLimits {
        // `attempts_left` still includes this attempt.
        if !cx.route.kind.is_repeatable() || cx.attempts_left < 2 {
            return HedgeLimits::default();
        }
        let expected = opened.reservation().estimate().wait + cx.route.target_latency;
        let deadline = self.shutdown.limit(opened.deadline());
        let left = deadline.saturating_sub(self.clock.now());
        let silence = silence::start_limit(expected, left);
        let slow = self.slow_limit(opened, cx, out, left);
        HedgeLimits {
            slow: slow.filter(|slow| silence.is_none_or(|silence| *slow < silence)),
            silence,
            is_slow: false,
        }
    }

    /// Returns the time after which a target is slow, and counts the request.
    /// `None` if there are no extra attempts, or too little time is left for one.
    fn slow_limit<O>(
        &self,
        opened: &Opened<D, O>,
        cx: &PlacementContext,
        out: &Outbound,
        left: Duration,
    ) -> Option<Duration> {
        self.settings.extra_attempts?;
        // An answer that has begun goes on under the limits on silence alone.
        if cx.is_resumed || out.last_event_id.is_some() {
            return None;
        }
        let reservation = opened.reservation();
        let estimate = reservation.estimate();
        let (pool, is_stream) = (&cx.pool.name, cx.route.kind.is_stream());
        let mut traffic = self.tables.traffic.lock();
        if cx.sent_count.get() == 0 {
            traffic.record_first_attempt(pool, estimate);
        }
        let delay = traffic.extra_attempt_delay(pool, is_stream, estimate, self.clock.now())?;
        drop(traffic);
        let limit = delay.saturating_sub(reservation.age());
        (limit.saturating_add(estimate.wait) <= left).then_some(limit)
    }
}
