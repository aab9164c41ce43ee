//! Placement of an extra attempt, beside the one that is awaited.

use std::sync::Arc;

use chiverelay_decisions::extra_attempts::ExtraAttemptDenial;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::traffic::TargetChoice;

use super::LocalPlacement;
use super::PlacementContext;
use super::is_timely;
use super::tried_with_current;
use crate::Dialect;
use crate::Gateway;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Reserves capacity at another target of this region for a request whose
    /// target is slow to answer. `None` if the request may have no extra
    /// attempt, or none is allowed now.
    pub(crate) fn place_extra_attempt<O>(
        self: &Arc<Self>,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
    ) -> Option<LocalPlacement<D, O>> {
        // `attempts_left` still includes the first attempt.
        if cx.attempts_left < 2 || self.shutdown.has_begun() || self.is_suspected(cx) {
            return None;
        }
        let copy = req.duplicate()?;
        let now = self.clock.now();
        self.check_crashes(&copy, cx, now).ok()?;
        let left = req.meta().deadline.saturating_sub(now);
        let choice = self.choose_local_target(
            cx,
            &self.residency_now(req, cx),
            &tried_with_current(req),
            now,
        );
        let choice = choice.ok().filter(|c| is_timely(cx, &c.estimate, left));
        let allowed = match &choice {
            Some(choice) => self.try_extra_attempt(cx, choice),
            None => Err(ExtraAttemptDenial::NoRoom),
        };
        if let Err(denial) = allowed {
            self.metrics.count_extra_attempt(denial.as_str());
            return None;
        }
        self.reserve(copy, cx, &choice?, now).ok()
    }

    fn try_extra_attempt(
        &self,
        cx: &PlacementContext,
        choice: &TargetChoice,
    ) -> Result<(), ExtraAttemptDenial> {
        let now = self.clock.now();
        let divisor = self.members.conservative_divisor(now);
        let region = &self.settings.region;
        let fleet = self.tables.fleet.lock();
        let mut traffic = self.tables.traffic.lock();
        traffic.try_extra_attempt(&fleet, &cx.pool, region, choice, divisor, now)
    }
}
