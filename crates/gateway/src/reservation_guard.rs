//! Releases a reservation at a target once the attempt has ended, however it
//! ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::suspension::RequestDigest;
use chiverelay_decisions::traffic::Estimate;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetOutcome;

use crate::Dialect;
use crate::Gateway;
use crate::crash_check::LostRequest;

/// The request that a reservation was made for, as far as its outcome is
/// evidence about its prompt.
#[derive(Clone, Debug)]
pub(crate) struct ReservedRequest {
    pub(crate) id: RequestId,
    /// Digest of its content.
    pub(crate) digest: RequestDigest,
    /// Parts of the prompt, in order.
    pub(crate) parts: Arc<[PromptPart]>,
    /// Address of the target.
    pub(crate) address: SocketAddr,
    /// Version of the target's software.
    pub(crate) software: SoftwareVersion,
}

/// A reservation at a target. Dropping it releases the reservation as
/// cancelled.
#[derive(Debug)]
pub(crate) struct ReservationGuard<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    request: ReservedRequest,
    reservation: Option<Reservation>,
    reserved_at: Duration,
    first_event_at: Option<Duration>,
    /// When the last part of the answer arrived.
    heard_at: Option<Duration>,
    estimate: Estimate,
}

impl<D> ReservationGuard<D>
where
    D: Dialect,
{
    /// Guards a reservation that was just made with an estimate.
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        request: ReservedRequest,
        reservation: Reservation,
        estimate: Estimate,
    ) -> Self {
        Self {
            gateway,
            request,
            reserved_at: reservation.reserved_at,
            reservation: Some(reservation),
            first_event_at: None,
            heard_at: None,
            estimate,
        }
    }

    /// Returns the address from which the target can copy cached parts of the
    /// prompt, if there is one.
    pub(crate) fn cache_source(&self) -> Option<SocketAddr> {
        self.estimate.cache_source
    }

    /// Returns the load and latency that were estimated for the target when
    /// the capacity was reserved.
    pub(crate) fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Returns the version of the target's software. `None` if the target's
    /// record has come to name another one since the choice: which of the two
    /// processes has answered is unknown then.
    pub(crate) fn confirmed_software(&self) -> Option<&SoftwareVersion> {
        let chosen = &self.request.software;
        let target = &self.reservation.as_ref()?.target;
        let fleet = self.gateway.tables.fleet.lock();
        let known = fleet.get(target);
        let is_confirmed = known.is_none_or(|known| known.record.software == *chosen);
        is_confirmed.then_some(chosen)
    }

    /// Returns the time that has passed since the capacity was reserved.
    pub(crate) fn age(&self) -> Duration {
        self.gateway.clock.now().saturating_sub(self.reserved_at)
    }

    /// Records that the answer on a stream route has begun, which is taken to
    /// mean that the target has processed the prompt.
    pub(crate) fn record_first_event(&mut self) {
        let took = self.age();
        let Some(reservation) = &mut self.reservation else {
            return;
        };
        self.first_event_at = Some(self.reserved_at + took);
        let mut traffic = self.gateway.tables.traffic.lock();
        traffic.record_first_event(reservation, took);
        traffic.record_prefill(reservation);
        let now = self.reserved_at + took;
        traffic.record_start(&reservation.pool, true, &self.estimate, took, now);
    }

    /// Records that a part of the answer has arrived.
    pub(crate) fn record_sign_of_life(&mut self, now: Duration) {
        self.heard_at = Some(now);
        self.gateway.reach.record_contact(now);
    }

    /// Records that the start of an answer that is not a stream was read.
    pub(crate) fn record_answer(&self) {
        if let Some(reservation) = &self.reservation {
            let took = self.age();
            let now = self.reserved_at + took;
            let mut traffic = self.gateway.tables.traffic.lock();
            traffic.record_answer(reservation, took);
            traffic.record_start(&reservation.pool, false, &self.estimate, took, now);
        }
    }

    /// Records the age of an attempt that is given up before its answer began, as
    /// a lower bound of the time to its start.
    pub(crate) fn record_no_start(&self, is_stream: bool) {
        if let Some(reservation) = &self.reservation {
            let took = self.age();
            let now = self.reserved_at + took;
            let mut traffic = self.gateway.tables.traffic.lock();
            traffic.record_start(&reservation.pool, is_stream, &self.estimate, took, now);
        }
    }

    /// Releases the reservation, and records how the request ended.
    pub(crate) fn finish(mut self, outcome: TargetOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: TargetOutcome) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let now = self.gateway.clock.now();
        let answered_for = self.first_event_at.map(|at| now.saturating_sub(at));
        match outcome {
            TargetOutcome::Lost => {
                self.gateway.reach.record_failure();
                self.record_loss(&reservation.target, answered_for);
            }
            TargetOutcome::Unreachable => {
                self.gateway.reach.record_failure();
            }
            TargetOutcome::Answered => self.record_answer_of_request(now),
            _ => {}
        }
        let mut traffic = self.gateway.tables.traffic.lock();
        if let (TargetOutcome::Answered, Some(answered_for)) = (outcome, answered_for) {
            traffic.record_generation(&reservation, answered_for);
        }
        if let Some(heard_at) = self.heard_at {
            traffic.record_sign_of_life(&reservation, heard_at);
        }
        traffic.release(reservation, outcome, now);
    }

    fn record_answer_of_request(&self, now: Duration) {
        self.gateway.record_sound_answer(&self.request.parts, now);
        let mut suspensions = self.gateway.tables.suspensions.lock();
        suspensions.record_answer(self.request.digest, now);
    }

    fn record_loss(&self, target: &Target, answered_for: Option<Duration>) {
        let lost = LostRequest {
            id: self.request.id.clone(),
            digest: self.request.digest,
            parts: Arc::clone(&self.request.parts),
            answered_for,
        };
        self.gateway
            .record_lost_request(target, self.request.address, lost);
    }
}

impl<D> Drop for ReservationGuard<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        self.release(TargetOutcome::Cancelled);
    }
}
