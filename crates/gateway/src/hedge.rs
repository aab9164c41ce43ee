//! Hedges a request whose target is silent before its answer has begun: the
//! request is sent to another target while the first one is still awaited.
//!
//! A silent target may be sound and another one may refuse, so the request
//! leaves the first target only once the second one has taken it.
//!
//! Where the operator's limit allows extra attempts, the request is first hedged
//! as soon as its target is slow in comparison with others.

mod elsewhere;
mod limits;
mod slow;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::request::Request;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::attempt_failure::AttemptFailure;
use crate::dispatch::Exchanged;
use crate::dispatch::Opened;
use crate::dispatch::Sent;
use crate::dispatch::SentAttempt;
use crate::dispatch::finish_exchange;
use crate::place::PlacementContext;

pub(crate) use elsewhere::Elsewhere;
pub(crate) use elsewhere::Nowhere;
pub(crate) use elsewhere::OtherRegion;
use limits::HedgeReason;

/// Longest time for which two targets run a stream that goes on at another one.
/// Until then the first one may still send an event.
pub(crate) const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// What became of a request whose target was silent.
enum Hedged<D, O, F>
where
    D: Dialect,
{
    /// The first target has ended the exchange.
    First(Box<Exchanged>),
    /// No other target has taken the request. The exchange goes on.
    Stays(Pin<Box<F>>),
    /// The request is another target's now. The failure is that of the first.
    Moved(AttemptFailure, Box<Sent<D, O>>),
}

/// Who has answered a request, or why nobody has.
pub(crate) enum Hedge<T, A> {
    /// The result of an attempt in this region.
    Here(T),
    /// An answer from elsewhere.
    Elsewhere(A),
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Sends a request and reads the start of the answer. While the target is
    /// silent for longer than a sound one may be, other targets are tried, and
    /// then `elsewhere`.
    pub(crate) async fn send_hedged<O, E>(
        self: &Arc<Self>,
        opened: Opened<D, O>,
        elsewhere: &E,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Hedge<Sent<D, O>, E::Answer>
    where
        O: Origin,
        E: Elsewhere<D, O>,
    {
        let mut limits = self.hedge_limits(&opened, cx, out);
        if limits.is_empty() {
            return Hedge::Here(Box::pin(self.send(opened, cx, out)).await);
        }
        let SentAttempt {
            mut req,
            reservation,
            exchange,
        } = match self.dispatch(opened, cx, out) {
            Ok(attempt) => attempt,
            Err(failed) => return Hedge::Here(Err(failed)),
        };
        let sent_at = self.clock.now();
        let cx_at_start = cx.clone();
        let mut exchanging = Box::pin(self.run_exchange(exchange, &cx_at_start, out));
        let exchanged = loop {
            let waited = self.clock.now().saturating_sub(sent_at);
            let Some((wait, reason)) = limits.next(waited) else {
                break exchanging.await;
            };
            if let Ok(exchanged) = tokio::time::timeout(wait, &mut exchanging).await {
                break exchanged;
            }
            let hedging = Box::pin(self.hedge(reason, &mut req, exchanging, cx, out));
            exchanging = match hedging.await {
                Hedged::First(exchanged) => break *exchanged,
                Hedged::Stays(exchanging) => exchanging,
                Hedged::Moved(failure, sent) => {
                    self.end_failed_attempt(reservation, req.peer(), &failure, cx, out);
                    return Hedge::Here(*sent);
                }
            };
            if reason == HedgeReason::Slow {
                continue;
            }
            let mut asking = Box::pin(elsewhere.ask(self, &mut req, cx, out));
            let (answer, failure) = tokio::select! {
                biased;
                exchanged = &mut exchanging => match exchanged {
                    Ok(_) => break exchanged,
                    Err(failure) => (asking.as_mut().await, Some(failure)),
                },
                answer = &mut asking => (answer, None),
            };
            drop(asking);
            match (answer, failure) {
                (Some(answer), failure) => {
                    drop(exchanging);
                    let failure = failure.unwrap_or(AttemptFailure::Silent);
                    self.end_failed_attempt(reservation, req.peer(), &failure, cx, out);
                    return Hedge::Elsewhere(answer);
                }
                (None, Some(failure)) => break Err(failure),
                (None, None) => {}
            }
        };
        Hedge::Here(finish_exchange(req, reservation, exchanged, cx))
    }

    /// Tries to move a request to another target of this region. The exchange
    /// with the first target goes on until the other one has begun to answer:
    /// dropping it cancels the request there.
    async fn hedge<O, F>(
        self: &Arc<Self>,
        reason: HedgeReason,
        req: &mut Request<Dispatched, O>,
        exchanging: Pin<Box<F>>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Hedged<D, O, F>
    where
        O: Origin,
        F: Future<Output = Exchanged>,
    {
        match reason {
            HedgeReason::Slow => self.hedge_slow(req, exchanging, cx, out).await,
            HedgeReason::Silent => self.hedge_silent(req, exchanging, cx, out).await,
        }
    }

    /// Tries to move a request from its silent target to another one of this
    /// region.
    async fn hedge_silent<O, F>(
        self: &Arc<Self>,
        req: &mut Request<Dispatched, O>,
        mut exchanging: Pin<Box<F>>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Hedged<D, O, F>
    where
        O: Origin,
        F: Future<Output = Exchanged>,
    {
        // `attempts_left` still includes the first attempt.
        let may_hedge = cx.attempts_left >= 2 && self.has_other_timely_local_target(req, cx);
        let copy = may_hedge.then(|| self.copy_for_other_target(req, cx, out));
        let Some(copy) = copy.flatten() else {
            return Hedged::Stays(exchanging);
        };
        let opening = self.open_at_other_target(copy, cx, out);
        let opened = unless_answered(&mut exchanging, opening).await;
        let failure = AttemptFailure::Silent;
        self.race(opened, failure, req, exchanging, cx, out).await
    }

    /// Sends a request on the connection that was opened beside the exchange
    /// with its first target. `failure` is that of the first target if the other
    /// one has the request in the end.
    ///
    /// A stream that goes on after an event may not run at two targets for
    /// longer than [`MAX_OVERLAP`]. It leaves the first one then, and may
    /// return if the other one refuses it.
    async fn race<O, F>(
        self: &Arc<Self>,
        opened: Result<Option<Opened<D, O>>, Exchanged>,
        failure: AttemptFailure,
        req: &mut Request<Dispatched, O>,
        mut exchanging: Pin<Box<F>>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Hedged<D, O, F>
    where
        O: Origin,
        F: Future<Output = Exchanged>,
    {
        let opened = match opened {
            Ok(Some(opened)) => opened,
            Ok(None) => return Hedged::Stays(exchanging),
            Err(exchanged) => return Hedged::First(Box::new(exchanged)),
        };
        req.mark_tried(opened.target().clone());
        let cx_of_second = cx.clone();
        let mut sending = Box::pin(self.send(opened, &cx_of_second, out));
        let max_overlap = out.last_event_id.map_or(Duration::MAX, |_| MAX_OVERLAP);
        tokio::select! {
            biased;
            exchanged = &mut exchanging => match exchanged {
                Ok(_) => {
                    // The second target may have run the request.
                    cx.attempts_left = cx.attempts_left.saturating_sub(1);
                    Hedged::First(Box::new(exchanged))
                }
                Err(failure) => Hedged::Moved(failure, Box::new(sending.await)),
            },
            sent = tokio::time::timeout(max_overlap, &mut sending) => match sent {
                Ok(Ok(started)) => Hedged::Moved(failure, Box::new(Ok(started))),
                Ok(Err(failed)) => {
                    self.abandon_attempt(failed, cx, out);
                    Hedged::Stays(exchanging)
                }
                Err(_) => {
                    drop(exchanging);
                    let mut sent = sending.await;
                    if let Err(failed) = &mut sent {
                        failed.allow_return(req.peer());
                    }
                    Hedged::Moved(failure, Box::new(sent))
                }
            },
        }
    }

    /// Returns a copy of a request for another target of this region, if the
    /// crashes of targets allow that. The retry budget has granted the attempt
    /// then.
    pub(crate) fn copy_for_other_target<O>(
        &self,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Option<Request<Admitted, O>> {
        let may_move = !self.is_suspected(cx) && self.try_consume_retry(cx, &out.id);
        may_move.then(|| req.duplicate()).flatten()
    }

    /// Chooses another target of this region for a request and connects to it.
    pub(crate) async fn open_at_other_target<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Option<Opened<D, O>> {
        let placed = self.place_locally(req, cx).ok()?;
        self.open(placed, cx, out).await.ok()
    }

    /// Tells whether a request may go from a silent target to another region.
    /// If so, the retry budget has granted the next attempt.
    fn may_move_to_other_region<O>(
        &self,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
    ) -> bool
    where
        O: Origin,
    {
        cx.attempts_left >= 2
            && !self.is_suspected(cx)
            && !self.has_other_timely_local_target(req, cx)
            && self.has_other_destination(req, cx)
            && self.try_consume_retry(cx, &req.meta().id)
    }
}

/// Opens a connection to another target while the first one is awaited.
///
/// # Errors
///
/// Returns the end of the exchange with the first target if it ends before.
async fn unless_answered<F, P>(
    exchanging: &mut Pin<Box<F>>,
    opening: P,
) -> Result<P::Output, Exchanged>
where
    F: Future<Output = Exchanged>,
    P: Future,
{
    tokio::select! {
        biased;
        exchanged = exchanging => Err(exchanged),
        opened = opening => Ok(opened),
    }
}
