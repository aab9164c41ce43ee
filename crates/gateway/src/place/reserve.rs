//! Assigns a request to the destination that was chosen for it.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::traffic::ForwardedLoad;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::RegionChoice;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetChoice;

use super::Destination;
use super::LocalPlacement;
use super::PlacementContext;
use super::refusals::refuse_no_target;
use crate::Dialect;
use crate::Gateway;
use crate::reservation_guard::ReservationGuard;
use crate::reservation_guard::ReservedRequest;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Assigns a request to an instance in another region.
    ///
    /// # Errors
    ///
    /// Returns the request if no instance of that region can be asked.
    pub(super) fn place_remotely(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
        remote: &RegionChoice,
        callers_ratio: f64,
        now: Duration,
    ) -> Result<Destination<D>, Box<Request<Admitted, Direct>>> {
        let Some(instance) = self.choose_instance(&remote.region, &req, now) else {
            return Err(Box::new(req));
        };
        let current = self.residency_in_force(req.grant(), cx);
        let req = req.place_remote(instance, remote.region.clone(), &current)?;
        let tokens = remote.estimate.prefill_tokens;
        let mut traffic = self.tables.traffic.lock();
        let load = ForwardedLoad {
            priority: cx.priority,
            tokens,
            callers_ratio,
        };
        traffic.record_forward(&remote.region, &cx.pool, load, now);
        Ok(Destination::Remote(req))
    }

    /// Reserves capacity at a target in this region.
    ///
    /// # Errors
    ///
    /// Refuses the request if the target is no longer known, or if it is cold
    /// and this instance has reached its share of the limit on new requests.
    pub(super) fn reserve<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
        choice: &TargetChoice,
        now: Duration,
    ) -> Result<LocalPlacement<D, O>, Refusal> {
        let region = self.settings.region.clone();
        let current = self.residency_in_force(req.grant(), cx);
        if !req.may_go_to(&region, &current) {
            return Err(refuse_no_target(&req, NoTargetReason::NoTarget, now));
        }
        let known = {
            let fleet = self.tables.fleet.lock();
            let known = fleet.get_at(&choice.target, &cx.pool.name, &region);
            known.cloned()
        };
        // A process with other software may have taken the target's name since
        // the choice.
        let known = known.filter(|known| cx.accepts_software(Some(&known.record.software)));
        let reservation = Reservation {
            target: choice.target.clone(),
            pool: cx.pool.name.clone(),
            priority: cx.priority,
            is_at_engine: cx.pool.engine.is_some(),
            known_running: choice.estimate.known_running,
            slots: choice.estimate.slots,
            prefill_tokens: choice.estimate.prefill_tokens,
            queued_prefill_tokens: choice.estimate.queued_prefill_tokens,
            reserved_at: now,
            cache_source: choice.estimate.cache_source,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let rank = |target: &Target| self.members.rank_in_region(target.as_str(), now);
        let shares = self.local_shares(&rank, now);
        let is_reserved = known.as_ref().is_some_and(|known| {
            let mut traffic = self.tables.traffic.lock();
            traffic.try_reserve(&reservation, &cx.parts, known, &cx.pool, shares, now)
        });
        let Some(known_target) = known.filter(|_| is_reserved) else {
            // Any failed reservation is reported with this reason.
            return Err(refuse_no_target(&req, NoTargetReason::AllCold, now));
        };
        let request = ReservedRequest {
            id: req.meta().id.clone(),
            digest: cx.digest,
            parts: Arc::clone(&cx.parts),
            address: known_target.record.address,
            software: known_target.record.software.clone(),
        };
        let guard = ReservationGuard::new(Arc::clone(self), request, reservation, choice.estimate);
        let region = known_target.record.region.clone();
        match req.place(choice.target.clone(), region, &current) {
            Ok(req) => Ok(LocalPlacement {
                req,
                reservation: guard,
                known_target,
            }),
            // The request may not run in this region.
            Err(req) => Err(refuse_no_target(&req, NoTargetReason::NoTarget, now)),
        }
    }
}
