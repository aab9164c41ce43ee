//! Releases a reservation at a target once the attempt has ended, however it
//! ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::traffic::Estimate;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetOutcome;

use crate::Dialect;
use crate::Gateway;

/// A reservation at a target. Dropping it releases the reservation as
/// cancelled.
#[derive(Debug)]
pub(crate) struct ReservationGuard<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    reservation: Option<Reservation>,
    reserved_at: Duration,
    first_event_at: Option<Duration>,
    estimate: Estimate,
}

impl<D> ReservationGuard<D>
where
    D: Dialect,
{
    /// Guards a reservation that was just made with an estimate.
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        reservation: Reservation,
        estimate: Estimate,
    ) -> Self {
        Self {
            gateway,
            reserved_at: reservation.reserved_at,
            reservation: Some(reservation),
            first_event_at: None,
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
    }

    /// Records that the start of an answer that is not a stream was read.
    pub(crate) fn record_answer(&self) {
        if let Some(reservation) = &self.reservation {
            let took = self.age();
            self.gateway
                .tables
                .traffic
                .lock()
                .record_answer(reservation, took);
        }
    }

    /// Releases the reservation, and records how the request ended.
    pub(crate) fn finish(mut self, outcome: TargetOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: TargetOutcome) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.gateway.clock.now();
            let mut traffic = self.gateway.tables.traffic.lock();
            if let (TargetOutcome::Answered, Some(first_event_at)) = (outcome, self.first_event_at)
            {
                traffic.record_generation(&reservation, now.saturating_sub(first_event_at));
            }
            traffic.release(reservation, outcome, now);
        }
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
