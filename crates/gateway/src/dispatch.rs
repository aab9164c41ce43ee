//! Sends a request to one target in this region and handles the failure of
//! that attempt.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_target::connection_pool::PooledConnection;
use chiverelay_target::connection_pool::PooledResponse;
use chiverelay_target::connection_pool::SendError;
use http_body_util::Full;
use hyper::HeaderMap;

use crate::AttemptContext;
use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::ResponseVerdict;
use crate::answer;
use crate::answer::AnswerStart;
use crate::outcome::AttemptOutcome;
use crate::outcome::Fallback;
use crate::outcome::StartedAnswer;
use crate::place::LocalPlacement;
use crate::place::PlacementContext;
use crate::place::ReservationGuard;

/// Maximum idle time of a reused connection for a request that may run at most
/// once. The limit is short because the outcome is unknown if the target closes
/// the connection while the request is being sent.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(400);

/// Maximum idle time of a reused connection for all other requests.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Shortest time to the deadline at which a request is still sent.
const MIN_TIME_TO_SEND: Duration = Duration::from_millis(20);

/// Multiple of the expected time to the start of an answer after which a
/// repeatable request is tried at another target.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 3;

/// Largest share of the time to the deadline that an attempt may take if the
/// request can be retried.
const MAX_SHARE_OF_TIME_LEFT: f64 = 0.6;

/// Reason why an attempt returned no usable answer.
#[derive(Debug)]
enum AttemptFailure {
    /// No byte of the request was written.
    NotSent(String),
    /// The target did not run the request.
    NotRun(TargetOutcome),
    /// The exchange failed after the request was sent, or the answer was
    /// malformed or belonged to another request. The target may have run the
    /// request.
    ExchangeFailed(String),
    /// The target ran the request and answered with a server error.
    ServerError(Box<(PooledResponse, AnswerStart)>),
    /// No answer began before the timeout of the attempt.
    TimedOut,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Sends a request to the target that was chosen for it and reads the start
    /// of the answer.
    pub(crate) async fn attempt<O>(
        self: &Arc<Self>,
        placed: LocalPlacement<D, O>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> AttemptOutcome<D, O> {
        let LocalPlacement {
            req,
            reservation,
            known_target,
        } = placed;
        let target = req.target().clone();
        let deadline = req.meta().deadline;
        let connecting = self.connect(&target, &known_target, deadline, cx.route.kind);
        let conn = match connecting.await {
            Ok(conn) => conn,
            Err(reason) => {
                self.record_failed_attempt(out, &target, reservation.age(), "unreachable", &reason);
                reservation.finish(TargetOutcome::Unreachable);
                let refusal = req.refusal(Code::Unavailable, Step::Connect, target_peer(&req));
                return AttemptOutcome::Retry(req.unplace(), refusal.into());
            }
        };
        // The target may have started draining while the connection was made.
        let left = deadline.saturating_sub(self.clock.now());
        if !self.tables.fleet.lock().accepts_requests(&target) || left < MIN_TIME_TO_SEND {
            self.record_failed_attempt(
                out,
                &target,
                reservation.age(),
                "not sent",
                "the target is draining, or too little time is left",
            );
            let refusal = req.refusal(Code::Unavailable, Step::Place, target_peer(&req));
            return AttemptOutcome::Retry(req.unplace(), refusal.into());
        }
        let timeout = self.attempt_timeout(cx, &reservation, left);
        let attempt = AttemptContext {
            target: &target,
            remaining: left,
            cache_source: reservation.cache_source(),
        };
        let msg = self.encode(out, &attempt);
        let req = req.dispatch();
        cx.sent_count += 1;
        let exchange = self.exchange(conn, msg, out, cx);
        let sent = match tokio::time::timeout(timeout, exchange).await {
            Ok(sent) => sent,
            Err(_) => Err(AttemptFailure::TimedOut),
        };
        match sent {
            Ok((answer, start)) => self.accept_answer(req, reservation, cx, answer, start),
            Err(failure) => self.handle_attempt_failure(req, reservation, cx, out, failure),
        }
    }

    async fn connect(
        &self,
        target: &Target,
        known_target: &KnownTarget,
        deadline: Duration,
        kind: RouteKind,
    ) -> Result<PooledConnection, String> {
        let max_idle = match kind.is_repeatable() {
            true => MAX_IDLE,
            false => MAX_IDLE_NON_REPEATABLE,
        };
        let left = deadline.saturating_sub(self.clock.now());
        let connecting = self
            .connections
            .acquire(target, known_target.record.address, max_idle);
        match tokio::time::timeout(left, connecting).await {
            Ok(Ok(conn)) => {
                self.metrics.count_connection_use(conn.is_new());
                Ok(conn)
            }
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("timeout".to_owned()),
        }
    }

    /// Returns the time to wait for the start of an answer. A request that can
    /// be retried keeps time for another attempt.
    fn attempt_timeout(
        &self,
        cx: &PlacementContext,
        reservation: &ReservationGuard<D>,
        left: Duration,
    ) -> Duration {
        // `attempts_left` still includes this attempt.
        if !cx.route.kind.is_repeatable() || cx.attempts_left < 2 {
            return left;
        }
        let expected = reservation.estimate().wait + cx.route.target_latency;
        (expected * ATTEMPT_TIMEOUT_FACTOR).min(left.mul_f64(MAX_SHARE_OF_TIME_LEFT))
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

    async fn exchange(
        &self,
        conn: PooledConnection,
        msg: hyper::Request<Full<Bytes>>,
        out: &Outbound,
        cx: &PlacementContext,
    ) -> Result<(PooledResponse, AnswerStart), AttemptFailure> {
        let sent = conn.send(msg).await;
        let mut answer = sent.map_err(|e| match e {
            SendError::NotSent(e) => AttemptFailure::NotSent(e.to_string()),
            SendError::MaybeSent(e) => AttemptFailure::ExchangeFailed(e.to_string()),
        })?;
        match self
            .dialect
            .classify_response(out, answer.status(), answer.headers())
        {
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
        let start = answer::read_start(&mut answer, framing, out.last_event_id).await;
        let start = start.map_err(AttemptFailure::ExchangeFailed)?;
        if answer.status().is_server_error() && cx.route.kind.is_repeatable() {
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
        while let Ok(Some(_)) = answer.next_chunk().await {}
        answer.release(&self.connections);
    }

    /// Counts the attempt and returns the answer, which may be a server error
    /// that is not retried.
    fn accept_answer<O>(
        &self,
        req: Request<Dispatched, O>,
        mut reservation: ReservationGuard<D>,
        cx: &mut PlacementContext,
        answer: PooledResponse,
        start: AnswerStart,
    ) -> AttemptOutcome<D, O> {
        cx.attempts_left = cx.attempts_left.saturating_sub(1);
        match cx.route.kind.is_stream() {
            true => reservation.record_first_event(),
            false => reservation.record_answer(),
        }
        self.metrics.record_attempt("answered", reservation.age());
        AttemptOutcome::Answered(Box::new(StartedAnswer {
            req,
            reservation,
            answer,
            start,
        }))
    }

    fn handle_attempt_failure<O>(
        &self,
        req: Request<Dispatched, O>,
        reservation: ReservationGuard<D>,
        cx: &mut PlacementContext,
        out: &Outbound,
        failure: AttemptFailure,
    ) -> AttemptOutcome<D, O> {
        let peer = req.peer().clone();
        match failure {
            AttemptFailure::NotSent(reason) => {
                self.record_failed_attempt_at_peer(
                    out,
                    &peer,
                    reservation.age(),
                    "not sent",
                    &reason,
                );
                reservation.finish(TargetOutcome::Cancelled);
                let req = req.undo_dispatch();
                let refusal = req.refusal(Code::Unavailable, Step::Dispatch, peer);
                AttemptOutcome::Retry(req, refusal.into())
            }
            AttemptFailure::NotRun(outcome) => {
                self.record_failed_attempt_at_peer(
                    out,
                    &peer,
                    reservation.age(),
                    "not run",
                    outcome.as_str(),
                );
                reservation.finish(outcome);
                self.retry_not_run(req.undo_dispatch(), cx, Code::Overloaded, &peer)
            }
            AttemptFailure::ExchangeFailed(reason) => {
                self.record_failed_attempt_at_peer(out, &peer, reservation.age(), "lost", &reason);
                reservation.finish(TargetOutcome::Lost);
                self.retry_possibly_run(req, cx, Code::TargetFailed)
            }
            AttemptFailure::TimedOut => {
                self.record_failed_attempt_at_peer(
                    out,
                    &peer,
                    reservation.age(),
                    "late",
                    "no answer in time",
                );
                reservation.finish(TargetOutcome::Lost);
                self.retry_possibly_run(req, cx, Code::DeadlineExceeded)
            }
            AttemptFailure::ServerError(answer) => {
                self.handle_server_error(req, reservation, cx, out, *answer)
            }
        }
    }

    /// Retries a request that a target answered with a server error, or passes
    /// that answer on if no retry is allowed.
    fn handle_server_error<O>(
        &self,
        req: Request<Dispatched, O>,
        reservation: ReservationGuard<D>,
        cx: &mut PlacementContext,
        out: &Outbound,
        (answer, start): (PooledResponse, AnswerStart),
    ) -> AttemptOutcome<D, O> {
        let peer = req.peer().clone();
        self.record_failed_attempt_at_peer(
            out,
            &peer,
            reservation.age(),
            "failed",
            answer.status().as_str(),
        );
        // `attempts_left` still includes this attempt.
        let can_retry = cx.attempts_left >= 2 && self.try_consume_retry(cx, &out.id);
        if !can_retry {
            return self.accept_answer(req, reservation, cx, answer, start);
        }
        reservation.finish(TargetOutcome::Failed);
        cx.attempts_left -= 1;
        let reply = self.buffer_error_reply(answer, start);
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(Code::TargetFailed, Step::Dispatch, peer);
                AttemptOutcome::Retry(req, Fallback { refusal, reply })
            }
            Err(req) => {
                AttemptOutcome::Refused(req.refuse_unknown(Code::TargetFailed, Step::Dispatch))
            }
        }
    }

    /// Converts a target's server error into a reply to use if no other target
    /// answers. Returns `None` if the error was not read completely.
    fn buffer_error_reply(&self, answer: PooledResponse, start: AnswerStart) -> Option<Box<Reply>> {
        if !start.is_complete {
            return None;
        }
        let reply = Reply {
            status: answer.status(),
            headers: self.reply_headers(&answer),
            body: ReplyBody::Full(start.data),
        };
        answer.release(&self.connections);
        Some(Box::new(reply))
    }

    /// Retries a request that may have run, if it is repeatable, has attempts
    /// left and the retry budget allows it.
    fn retry_possibly_run<O>(
        &self,
        req: Request<Dispatched, O>,
        cx: &mut PlacementContext,
        code: Code,
    ) -> AttemptOutcome<D, O> {
        cx.attempts_left = cx.attempts_left.saturating_sub(1);
        if cx.attempts_left == 0
            || !cx.route.kind.is_repeatable()
            || !self.try_consume_retry(cx, &req.meta().id)
        {
            return AttemptOutcome::Refused(req.refuse_unknown(code, Step::Dispatch));
        }
        let peer = req.peer().clone();
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(code, Step::Dispatch, peer);
                AttemptOutcome::Retry(req, refusal.into())
            }
            Err(req) => AttemptOutcome::Refused(req.refuse_unknown(code, Step::Dispatch)),
        }
    }

    /// Retries a request that did not run, if the retry budget allows it.
    fn retry_not_run<O>(
        &self,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
        code: Code,
        peer: &Peer,
    ) -> AttemptOutcome<D, O> {
        let refusal = req
            .refusal(code, Step::Dispatch, peer.clone())
            .with_retry_after(NOT_RUN_RETRY_AFTER);
        match self.try_consume_retry(cx, &req.meta().id) {
            true => AttemptOutcome::Retry(req, refusal.into()),
            false => AttemptOutcome::Refused(refusal),
        }
    }

    /// Takes one retry from the pool's retry budget. Returns whether the budget
    /// allowed it.
    pub(crate) fn try_consume_retry(&self, cx: &PlacementContext, id: &RequestId) -> bool {
        let now = self.clock.now();
        let divisor = self.members.conservative_divisor(now);
        let mut traffic = self.tables.traffic.lock();
        let decision = traffic.try_consume_retry(&cx.pool.name, divisor, now);
        drop(traffic);
        self.metrics.count_retry_decision(decision.is_allowed);
        log::info!(
            target: "dispatch",
            id = id.as_str(),
            pool = cx.pool.name.as_str(),
            allowed = decision.is_allowed,
            retries = decision.retries,
            requests = decision.requests,
            max_retries = decision.max_retries;
            "retry budget checked"
        );
        decision.is_allowed
    }

    /// Records a failed attempt in metrics and log, if `peer` is a target.
    fn record_failed_attempt_at_peer(
        &self,
        out: &Outbound,
        peer: &Peer,
        took: Duration,
        outcome: &'static str,
        reason: &str,
    ) {
        if let Peer::Target(target) = peer {
            self.record_failed_attempt(out, target, took, outcome, reason);
        }
    }

    /// Records a failed attempt at a target in metrics and log.
    fn record_failed_attempt(
        &self,
        out: &Outbound,
        target: &Target,
        took: Duration,
        outcome: &'static str,
        reason: &str,
    ) {
        self.metrics.record_attempt(outcome, took);
        log::info!(
            target: "dispatch",
            id = out.id.as_str(),
            to = target.as_str(),
            outcome,
            reason,
            took_ms = took.as_millis() as u64,
            store_age_ms = self.tables.store_age(self.clock.now()).as_millis() as u64;
            "attempt failed"
        );
    }

    /// Returns those headers of a target's answer that are passed on to the
    /// caller.
    pub(crate) fn reply_headers(&self, answer: &PooledResponse) -> HeaderMap {
        self.dialect.caller_headers(answer.headers())
    }
}

/// Retry delay for a request that a target did not run: it was full or
/// draining, or another target uses its address now.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest answer, in bytes, that is read only to reuse its connection.
const MAX_DRAINED_BYTES: u64 = 4096;

fn target_peer<O>(req: &Request<Placed, O>) -> Peer {
    Peer::Target(req.target().clone())
}
