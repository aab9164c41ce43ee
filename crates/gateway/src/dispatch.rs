//! Sends a request to one target in this region and reads the start of its
//! answer.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::admission::spread_retry_after_within;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_target::connection_pool::PooledConnection;
use chiverelay_target::connection_pool::PooledResponse;
use chiverelay_target::connection_pool::Purpose;
use chiverelay_target::connection_pool::SendError;
use http_body_util::Full;
use hyper::HeaderMap;

use crate::AttemptContext;
use crate::Dialect;
use crate::Gateway;
use crate::LimitAction;
use crate::Outbound;
use crate::Resource;
use crate::ResponseVerdict;
use crate::answer;
use crate::answer::AnswerStart;
use crate::attempt_failure::AttemptFailure;
use crate::attempt_failure::FailedAttempt;
use crate::attempt_failure::SentFailure;
use crate::connect::ConnectFailure;
use crate::handle::max_retry_after;
use crate::hedge::Elsewhere;
use crate::hedge::Hedge;
use crate::hedge::Nowhere;
use crate::outcome::AttemptOutcome;
use crate::outcome::Fallback;
use crate::outcome::StartedAnswer;
use crate::place::LocalPlacement;
use crate::place::PlacementContext;
use crate::reservation_guard::ReservationGuard;

/// Shortest time to the deadline at which a request is still sent.
pub(crate) const MIN_TIME_TO_SEND: Duration = Duration::from_millis(20);

/// Result of the exchange with a target: an answer whose start was read.
pub(crate) type Exchanged = Result<(PooledResponse, AnswerStart), AttemptFailure>;

/// Result of an attempt to get an answer from a target.
pub(crate) type Sent<D, O> = Result<StartedAnswer<D, O>, FailedAttempt<D, O>>;

/// A placed request with a connection to its target, on which nothing was sent.
#[derive(Debug)]
pub(crate) struct Opened<D, O>
where
    D: Dialect,
{
    placed: LocalPlacement<D, O>,
    conn: PooledConnection,
}

impl<D, O> Opened<D, O>
where
    D: Dialect,
{
    /// Returns the target.
    pub(crate) fn target(&self) -> &Target {
        self.placed.req.target()
    }

    /// Returns the reservation at the target.
    pub(crate) fn reservation(&self) -> &ReservationGuard<D> {
        &self.placed.reservation
    }

    /// Returns the deadline of the request, on the local monotonic clock.
    pub(crate) fn deadline(&self) -> Duration {
        self.placed.req.meta().deadline
    }
}

/// A request that counts as sent to its target, before the exchange.
#[derive(Debug)]
pub(crate) struct SentAttempt<D, O>
where
    D: Dialect,
{
    /// The request.
    pub(crate) req: Request<Dispatched, O>,
    /// Reservation at the target.
    pub(crate) reservation: ReservationGuard<D>,
    /// What is sent, and on which connection.
    pub(crate) exchange: Exchange,
}

/// A message for a target and the connection that it goes on.
#[derive(Debug)]
pub(crate) struct Exchange {
    conn: PooledConnection,
    msg: hyper::Request<Full<Bytes>>,
    known_target: KnownTarget,
    /// Time for the start of the answer to arrive.
    left: Duration,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Sends a request to the target that was chosen for it and reads the start
    /// of the answer. A target that stays silent may be replaced by another one
    /// of the region.
    pub(crate) async fn attempt<O>(
        self: &Arc<Self>,
        placed: LocalPlacement<D, O>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> AttemptOutcome<D, O>
    where
        O: Origin,
    {
        match self.attempt_or(placed, &Nowhere, cx, out).await {
            Hedge::Here(outcome) => outcome,
            Hedge::Elsewhere(answer) => match answer {},
        }
    }

    /// Like [`Gateway::attempt`], but a target that stays silent may also be
    /// replaced by an answer from `elsewhere`.
    pub(crate) async fn attempt_or<O, E>(
        self: &Arc<Self>,
        placed: LocalPlacement<D, O>,
        elsewhere: &E,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Hedge<AttemptOutcome<D, O>, E::Answer>
    where
        O: Origin,
        E: Elsewhere<D, O>,
    {
        let opened = match self.open(placed, cx, out).await {
            Ok(opened) => opened,
            Err((req, fallback)) => return Hedge::Here(AttemptOutcome::Retry(req, *fallback)),
        };
        match self.send_hedged(opened, elsewhere, cx, out).await {
            Hedge::Here(sent) => Hedge::Here(self.conclude_attempt(sent, cx, out)),
            Hedge::Elsewhere(answer) => Hedge::Elsewhere(answer),
        }
    }

    /// Connects to the target that was chosen for a request.
    ///
    /// # Errors
    ///
    /// Returns the request if there is no connection.
    pub(crate) async fn open<O>(
        self: &Arc<Self>,
        placed: LocalPlacement<D, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Result<Opened<D, O>, (Request<Admitted, O>, Box<Fallback>)> {
        let purpose = match cx.is_resumed || cx.sent_count.get() > 0 {
            true => Purpose::FurtherAttempt,
            false => Purpose::FirstAttempt,
        };
        self.open_for(purpose, placed, cx, out).await
    }

    /// Like [`Gateway::open`], with a connection of those for a purpose.
    ///
    /// # Errors
    ///
    /// Returns the request if there is no connection.
    pub(crate) async fn open_for<O>(
        self: &Arc<Self>,
        purpose: Purpose,
        placed: LocalPlacement<D, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Result<Opened<D, O>, (Request<Admitted, O>, Box<Fallback>)> {
        let LocalPlacement {
            req,
            reservation,
            known_target,
        } = placed;
        let target = req.target().clone();
        let deadline = self.shutdown.limit(req.meta().deadline);
        let connecting = self.connect(&target, &known_target, deadline, purpose, cx);
        match connecting.await {
            Ok(conn) => Ok(Opened {
                placed: LocalPlacement {
                    req,
                    reservation,
                    known_target,
                },
                conn,
            }),
            Err(ConnectFailure::Unreachable(reason)) => {
                self.record_failed_attempt(out, &target, reservation.age(), "unreachable", &reason);
                reservation.finish(TargetOutcome::Unreachable);
                let refusal = req.refusal(Code::Unavailable, Step::Connect, target_peer(&req));
                Err((req.unplace(), Box::new(refusal.into())))
            }
            Err(ConnectFailure::LocalLimit(reason)) => {
                self.record_failed_attempt(out, &target, reservation.age(), "not sent", &reason);
                self.record_limit(Resource::TargetConnections, LimitAction::Refused);
                reservation.finish(TargetOutcome::Cancelled);
                let longest = max_retry_after(deadline.saturating_sub(self.clock.now()));
                let refusal = req
                    .refusal(Code::Overloaded, Step::Connect, Peer::Local)
                    .with_retry_after(spread_retry_after_within(rand::random(), longest));
                Err((req.unplace(), Box::new(refusal.into())))
            }
        }
    }

    /// Sends a request on the connection that was made for it and reads the
    /// start of the answer.
    ///
    /// # Errors
    ///
    /// Returns the request and why there is no usable answer.
    pub(crate) async fn send<O>(
        &self,
        opened: Opened<D, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Sent<D, O> {
        let SentAttempt {
            req,
            reservation,
            exchange,
        } = self.dispatch(opened, cx, out)?;
        let exchanged = self.run_exchange(exchange, cx, out).await;
        finish_exchange(req, reservation, exchanged, cx)
    }

    /// Checks that a request may still go to its target, and marks it as sent.
    ///
    /// # Errors
    ///
    /// Returns the request if it may not be sent any more.
    pub(crate) fn dispatch<O>(
        &self,
        opened: Opened<D, O>,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Result<SentAttempt<D, O>, FailedAttempt<D, O>> {
        let Opened { placed, conn } = opened;
        let LocalPlacement {
            req,
            reservation,
            known_target,
        } = placed;
        let target = req.target().clone();
        let deadline = self.shutdown.limit(req.meta().deadline);
        let now = self.clock.now();
        let left = deadline.saturating_sub(now);
        let may_send = self.check_target_region(&req, cx, &known_target)
            && self.may_send(&target, &known_target, cx, now);
        if !may_send || left < MIN_TIME_TO_SEND {
            self.record_failed_attempt(
                out,
                &target,
                reservation.age(),
                "not sent",
                "the target is draining, paused, elsewhere, of other software or not allowed now, or too little time is left",
            );
            let refusal = req.refusal(Code::Unavailable, Step::Place, target_peer(&req));
            return Err(FailedAttempt::NotSent(
                req.unplace(),
                Box::new(refusal.into()),
            ));
        }
        let attempt = AttemptContext {
            target: &target,
            remaining: left,
            cache_source: reservation.cache_source(),
        };
        let msg = self.encode(out, &attempt);
        let req = req.dispatch();
        cx.sent_count.increment();
        self.reach.record_sent(now);
        Ok(SentAttempt {
            req,
            reservation,
            exchange: Exchange {
                conn,
                msg,
                known_target,
                left,
            },
        })
    }

    /// Sends a message and reads the start of the answer, within the time that
    /// is left. A request that is stuck on its connection may leave it.
    pub(crate) async fn run_exchange(
        &self,
        exchange: Exchange,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Exchanged {
        let left = exchange.left;
        let exchanging = self.exchange(exchange, out, cx.route.kind);
        let mut exchanging = pin!(tokio::time::timeout(left, exchanging));
        let exchanged = tokio::select! {
            biased;
            exchanged = &mut exchanging => exchanged,
            () = self.until_requests_are_stuck() => match self.may_leave_connection(cx, out) {
                true => return Err(AttemptFailure::Stuck),
                false => exchanging.await,
            },
        };
        match exchanged {
            Ok(sent) => sent,
            Err(_) => Err(AttemptFailure::TimedOut),
        }
    }

    /// Tells whether a target takes the request. Since it was chosen it may have
    /// started draining, asked for a pause, or come back elsewhere or with other
    /// software.
    fn may_send(
        &self,
        target: &Target,
        chosen: &KnownTarget,
        cx: &PlacementContext,
        now: Duration,
    ) -> bool {
        let fleet = self.tables.fleet.lock();
        let software = fleet.get(target).map(|known| &known.record.software);
        let is_usable = fleet.still_accepts(target, &chosen.record)
            && software.is_some()
            && cx.accepts_software(software);
        drop(fleet);
        is_usable && self.tables.traffic.lock().pause_left(target, now).is_none()
    }

    fn encode(&self, out: &Outbound, attempt: &AttemptContext<'_>) -> hyper::Request<Full<Bytes>> {
        let mut msg = hyper::Request::new(Full::new(out.body.clone()));
        *msg.method_mut() = out.method.clone();
        *msg.headers_mut() = self.dialect.encode_headers(out, attempt);
        match out.path_and_query.parse() {
            Ok(uri) => *msg.uri_mut() = uri,
            Err(e) => {
                log::warn!(target: "dispatch", id = out.id.as_str(), error:% = e; "request path is not a valid URI; sent with path / instead");
            }
        }
        msg
    }

    async fn exchange(&self, exchange: Exchange, out: &Outbound, kind: RouteKind) -> Exchanged {
        let opened = exchange.conn.is_new().then(|| self.clock.now());
        let sent = exchange.conn.send(exchange.msg).await;
        let mut answer = sent.map_err(|e| match e {
            SendError::NotSent(e) => AttemptFailure::NotSent(e.to_string()),
            SendError::MaybeSent(e) => AttemptFailure::ExchangeFailed(e.to_string()),
        })?;
        self.reach.record_contact(self.clock.now());
        if let Some(opened) = opened {
            self.reach.record_connected(opened);
        }
        let verdict = self.dialect.classify_response(
            out,
            answer.status(),
            answer.headers(),
            answer.is_connection_reused(),
        );
        self.record_notices(&answer, verdict, &exchange.known_target);
        match verdict {
            ResponseVerdict::Ran => {}
            // A draining target is treated like a full one.
            ResponseVerdict::Rejected => {
                self.drain_rejection(answer).await;
                return Err(AttemptFailure::NotRun(TargetOutcome::Full));
            }
            ResponseVerdict::Misdirected => {
                return Err(AttemptFailure::NotRun(TargetOutcome::Misdirected));
            }
            ResponseVerdict::Mismatched => {
                return Err(AttemptFailure::ExchangeFailed(
                    "the answer belongs to another request".to_owned(),
                ));
            }
        }
        let framing = match out.is_streaming && answer.status().is_success() {
            true => Framing::NumberedEvents,
            false => Framing::Delimited,
        };
        let reading = answer::read_start(&mut answer, framing, out.last_event_id, &self.memory);
        let start = reading.await;
        let start = start.map_err(AttemptFailure::ExchangeFailed)?;
        if answer.status().is_server_error() && kind.is_repeatable() {
            return Err(AttemptFailure::ServerError(Box::new((answer, start))));
        }
        Ok((answer, start))
    }

    /// Reads a short rejection to its end, so that its connection can be
    /// reused.
    async fn drain_rejection(&self, mut answer: PooledResponse) {
        if answer
            .content_length()
            .is_none_or(|len| len > MAX_DRAINED_BYTES)
        {
            return;
        }
        let draining = async { while let Ok(Some(_)) = answer.next_chunk().await {} };
        if tokio::time::timeout(DRAIN_TIMEOUT, draining).await.is_ok() {
            answer.release(&self.connections);
        }
    }

    /// Counts the attempt and returns the answer, which may be a server error
    /// that is not retried.
    pub(crate) fn accept_answer<O>(
        &self,
        mut started: StartedAnswer<D, O>,
        cx: &mut PlacementContext,
    ) -> StartedAnswer<D, O> {
        cx.attempts_left = cx.attempts_left.saturating_sub(1);
        let reservation = &mut started.reservation;
        match cx.route.kind.is_stream() {
            true => reservation.record_first_event(),
            false => reservation.record_answer(),
        }
        self.metrics.record_attempt("answered", reservation.age());
        started
    }

    /// Returns those headers of a target's answer that are passed on to the
    /// caller.
    pub(crate) fn reply_headers(&self, answer: &PooledResponse) -> HeaderMap {
        self.dialect.caller_headers(answer.headers())
    }
}

/// Longest time to read an answer only to reuse its connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest answer, in bytes, that is read only to reuse its connection.
const MAX_DRAINED_BYTES: u64 = 4096;

/// Returns the result of an attempt whose exchange has ended. An answer that may
/// be of other software than the stream that it has to continue is none.
pub(crate) fn finish_exchange<D, O>(
    req: Request<Dispatched, O>,
    reservation: ReservationGuard<D>,
    exchanged: Exchanged,
    cx: &PlacementContext,
) -> Sent<D, O>
where
    D: Dialect,
{
    let is_accepted = cx.accepts_software(reservation.confirmed_software());
    let exchanged = match exchanged {
        Ok(_) if !is_accepted => Err(AttemptFailure::OtherSoftware),
        exchanged => exchanged,
    };
    match exchanged {
        Ok((answer, start)) => Ok(StartedAnswer {
            req,
            reservation,
            answer,
            start,
        }),
        Err(failure) => Err(FailedAttempt::Sent(Box::new(SentFailure {
            req,
            reservation,
            failure,
        }))),
    }
}

fn target_peer<O>(req: &Request<Placed, O>) -> Peer {
    Peer::Target(req.target().clone())
}
