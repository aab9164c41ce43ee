//! Placement while this instance reaches no target of its region: another
//! instance of the region that does so runs the request.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::config::Residency;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::HasGrant;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::RegionChoice;
use chiverelay_decisions::traffic::StatedLimitUse;
use chiverelay_decisions::traffic::TargetChoice;
use chiverelay_sibling::Identity;

use super::Destination;
use super::LocalPlacement;
use super::PlacementContext;
use super::refusals::refuse_no_target;
use crate::Dialect;
use crate::Gateway;

/// Number of instances of the region that are asked to run a request. All know
/// the same targets, so one that is refused twice finds no room in the region.
const MAX_SUBSTITUTES: usize = 2;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Assigns a request to another instance of the region if this one is cut
    /// off from the targets.
    ///
    /// # Errors
    ///
    /// Returns the request if this instance reaches targets, or if no other one
    /// can be asked.
    pub(super) fn place_at_substitute(
        &self,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
        now: Duration,
    ) -> Result<Destination<D>, Box<Request<Admitted, Direct>>> {
        if !self.may_have_substitute(&req, cx) {
            return Err(Box::new(req));
        }
        let region = self.settings.region.clone();
        let Some(instance) = self.choose_instance(&region, &req, now) else {
            return Err(Box::new(req));
        };
        let current = self.residency_in_force(req.grant(), cx);
        let req = req.place_remote(instance, region, &current)?;
        self.metrics.count_cut_off_forward();
        Ok(Destination::Remote(req))
    }

    /// Like [`Gateway::choose_regions`] while this instance is cut off. A target
    /// of this region is chosen only if nobody else can take the request: if all
    /// targets have failed, connections show when the first one is back.
    pub(super) fn choose_regions_when_cut_off<S, O>(
        &self,
        req: &Request<S, O>,
        cx: &PlacementContext,
        allowed: &Residency,
        tried: &[Target],
        now: Duration,
    ) -> (Result<TargetChoice, NoTargetReason>, Option<RegionChoice>)
    where
        S: HasGrant,
    {
        let choose = |stated| self.choose_remote_region(req, cx, allowed, stated, now);
        let remote = choose(StatedLimitUse::Avoid).or_else(|| choose(StatedLimitUse::Ignore));
        let local = match remote.is_some() || self.knows_reaching_sibling(now) {
            true => Err(NoTargetReason::NoneHealthy),
            false => self.choose_local_target(cx, allowed, tried, now),
        };
        (local, remote)
    }

    /// Places a request that an instance forwarded. One of the same region knows
    /// as much of the targets as this one, and its callers are served as this
    /// one's.
    ///
    /// # Errors
    ///
    /// As for [`Gateway::place_locally`], and if this instance is cut off from
    /// the targets itself.
    pub(crate) fn place_forwarded<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
        from: &Identity,
    ) -> Result<LocalPlacement<D, O>, Refusal> {
        if from.region != self.settings.region {
            return self.place_locally(req, cx);
        }
        if self.reach.is_cut_off() {
            let now = self.clock.now();
            return Err(refuse_no_target(&req, NoTargetReason::NoneHealthy, now));
        }
        self.place_locally_if(req, cx, |_, _, _| Ok(()))
    }

    /// Tells whether another instance of the region could run a request.
    pub(super) fn has_substitute<S, O>(
        &self,
        req: &Request<S, O>,
        cx: &PlacementContext,
        now: Duration,
    ) -> bool
    where
        S: HasGrant,
    {
        self.may_have_substitute(req, cx)
            && self
                .choose_instance(&self.settings.region, req, now)
                .is_some()
    }

    /// Tells whether an instance of the region would run a request that this one
    /// can't. Those of a pool without targets in the region go to another one.
    fn may_have_substitute<S, O>(&self, req: &Request<S, O>, cx: &PlacementContext) -> bool {
        self.reach.is_cut_off() && req.asked_siblings().len() < MAX_SUBSTITUTES && {
            let regions = self.tables.fleet.lock().usable_regions(&cx.pool.name);
            regions.contains(&self.settings.region)
        }
    }
}
