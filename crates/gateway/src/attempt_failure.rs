//! Handles the failure of an attempt at a target: whether the request may be
//! tried at another one.

use std::time::Duration;

use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_target::connection_pool::PooledResponse;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::answer::AnswerStart;
use crate::dispatch::Sent;
use crate::outcome::AttemptOutcome;
use crate::outcome::Fallback;
use crate::outcome::StartedAnswer;
use crate::place::PlacementContext;
use crate::reservation_guard::ReservationGuard;

/// Retry delay for a request that a target did not run: it was full or
/// draining, or another target uses its address now.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reason why an attempt returned no usable answer.
#[derive(Debug)]
pub(crate) enum AttemptFailure {
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
    /// No answer began before the deadline.
    TimedOut,
    /// The target was silent for longer than a sound one may be, and the retry
    /// budget has granted an attempt at another one.
    Silent,
    /// Nothing arrives from any target of the region, and the retry budget has
    /// granted an attempt through another instance.
    Stuck,
    /// An extra attempt has brought an answer first.
    Overtaken,
    /// The answer may be of other software than the one that it has to continue.
    OtherSoftware,
}

impl AttemptFailure {
    /// Returns the name of the failure in metrics and log.
    fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not sent",
            Self::NotRun(_) => "not run",
            Self::ExchangeFailed(_) => "lost",
            Self::ServerError(_) => "failed",
            Self::TimedOut => "late",
            Self::Silent => "silent",
            Self::Stuck => "stuck",
            Self::Overtaken => "overtaken",
            Self::OtherSoftware => "other software",
        }
    }

    /// Returns the reason for the log.
    fn reason(&self) -> &str {
        match self {
            Self::NotSent(reason) | Self::ExchangeFailed(reason) => reason,
            Self::NotRun(outcome) => outcome.as_str(),
            Self::ServerError(_) => "server error",
            Self::TimedOut => "no answer in time",
            Self::Silent => "another target may answer",
            Self::Stuck => "no target of the region can be reached",
            Self::Overtaken => "another target has answered first",
            Self::OtherSoftware => "the target's record has come to name other software",
        }
    }

    /// Returns the outcome of the attempt at the target.
    fn outcome(&self) -> TargetOutcome {
        match self {
            // It is not the target that has failed.
            Self::Stuck => TargetOutcome::Cancelled,
            Self::NotSent(_) | Self::Overtaken | Self::OtherSoftware => TargetOutcome::Cancelled,
            Self::NotRun(outcome) => *outcome,
            Self::ExchangeFailed(_) => TargetOutcome::Lost,
            Self::ServerError(_) => TargetOutcome::Failed,
            Self::TimedOut | Self::Silent => TargetOutcome::TimedOut,
        }
    }

    /// Tells whether no answer had begun when the attempt was given up.
    fn is_without_start(&self) -> bool {
        matches!(self, Self::TimedOut | Self::Silent | Self::Overtaken)
    }

    /// Tells whether the target may have run the request.
    fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::NotRun(_))
    }
}

/// An attempt that brought no usable answer.
#[derive(Debug)]
pub(crate) enum FailedAttempt<D, O>
where
    D: Dialect,
{
    /// The request was not sent. The fallback is returned if no other
    /// destination takes it.
    NotSent(Request<Admitted, O>, Box<Fallback>),
    /// The request counts as sent.
    Sent(Box<SentFailure<D, O>>),
}

impl<D, O> FailedAttempt<D, O>
where
    D: Dialect,
{
    /// Allows the request to return to the target that it had left for this
    /// attempt.
    pub(crate) fn allow_return(&mut self, peer: &Peer) {
        let Peer::Target(target) = peer else {
            return;
        };
        match self {
            Self::NotSent(req, _) => req.allow_return(target),
            Self::Sent(failed) => failed.req.allow_return(target),
        }
    }
}

/// A request that counts as sent and got no usable answer.
#[derive(Debug)]
pub(crate) struct SentFailure<D, O>
where
    D: Dialect,
{
    /// The request.
    pub(crate) req: Request<Dispatched, O>,
    /// Reservation at the target.
    pub(crate) reservation: ReservationGuard<D>,
    /// Why there is no usable answer.
    pub(crate) failure: AttemptFailure,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Decides what becomes of a request after an attempt: its answer is used,
    /// it may be tried at another target, or it is refused.
    pub(crate) fn conclude_attempt<O>(
        &self,
        sent: Sent<D, O>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> AttemptOutcome<D, O> {
        match sent {
            Ok(started) => AttemptOutcome::Answered(Box::new(self.accept_answer(started, cx))),
            Err(FailedAttempt::NotSent(req, fallback)) => AttemptOutcome::Retry(req, *fallback),
            Err(FailedAttempt::Sent(failed)) => self.retry_or_refuse(*failed, cx, out),
        }
    }

    /// Ends a failed attempt whose request goes on at another target.
    pub(crate) fn abandon_attempt<O>(
        &self,
        failed: FailedAttempt<D, O>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) {
        if let FailedAttempt::Sent(failed) = failed {
            let SentFailure {
                req,
                reservation,
                failure,
            } = *failed;
            self.end_failed_attempt(reservation, req.peer(), &failure, cx, out);
        }
    }

    /// Records a failed attempt and releases its reservation. An attempt that
    /// may have run is counted.
    pub(crate) fn end_failed_attempt(
        &self,
        reservation: ReservationGuard<D>,
        peer: &Peer,
        failure: &AttemptFailure,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) {
        self.record_attempt_failure(&reservation, peer, failure, out);
        if self.settings.extra_attempts.is_some() && failure.is_without_start() {
            reservation.record_no_start(cx.route.kind.is_stream());
        }
        reservation.finish(failure.outcome());
        if failure.may_have_run() {
            cx.attempts_left = cx.attempts_left.saturating_sub(1);
        }
    }

    /// Ends a failed attempt, and returns the request if it may be tried at
    /// another target.
    fn retry_or_refuse<O>(
        &self,
        failed: SentFailure<D, O>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> AttemptOutcome<D, O> {
        let SentFailure {
            req,
            reservation,
            failure,
        } = failed;
        let failure = match failure {
            AttemptFailure::ServerError(answer) => {
                return self.handle_server_error(req, reservation, cx, out, *answer);
            }
            failure => failure,
        };
        let peer = req.peer().clone();
        self.end_failed_attempt(reservation, &peer, &failure, cx, out);
        match failure {
            AttemptFailure::NotSent(_) => {
                let req = req.undo_dispatch();
                let refusal = req.refusal(Code::Unavailable, Step::Dispatch, peer);
                AttemptOutcome::Retry(req, refusal.into())
            }
            AttemptFailure::NotRun(_) => {
                self.retry_not_run(req.undo_dispatch(), cx, Code::Overloaded, &peer)
            }
            AttemptFailure::ExchangeFailed(_)
            | AttemptFailure::ServerError(_)
            | AttemptFailure::OtherSoftware => self.retry_possibly_run(req, cx),
            AttemptFailure::TimedOut => {
                // No time is left for another attempt.
                AttemptOutcome::Refused(req.refuse_unknown(Code::DeadlineExceeded, Step::Dispatch))
            }
            AttemptFailure::Silent | AttemptFailure::Stuck | AttemptFailure::Overtaken => {
                retry_granted(req, Code::DeadlineExceeded)
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
            let started = StartedAnswer {
                req,
                reservation,
                answer,
                start,
            };
            return AttemptOutcome::Answered(Box::new(self.accept_answer(started, cx)));
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
            software: None,
        };
        answer.release(&self.connections);
        Some(Box::new(reply))
    }

    /// Retries a request that may have run, if it is repeatable, has attempts
    /// left and the retry budget allows it.
    fn retry_possibly_run<O>(
        &self,
        req: Request<Dispatched, O>,
        cx: &PlacementContext,
    ) -> AttemptOutcome<D, O> {
        if cx.attempts_left == 0
            || !cx.route.kind.is_repeatable()
            || self.is_suspected(cx)
            || !self.try_consume_retry(cx, &req.meta().id)
        {
            return AttemptOutcome::Refused(req.refuse_unknown(Code::TargetFailed, Step::Dispatch));
        }
        retry_granted(req, Code::TargetFailed)
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

    fn record_attempt_failure(
        &self,
        reservation: &ReservationGuard<D>,
        peer: &Peer,
        failure: &AttemptFailure,
        out: &Outbound,
    ) {
        let took = reservation.age();
        self.record_failed_attempt_at_peer(out, peer, took, failure.label(), failure.reason());
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
    pub(crate) fn record_failed_attempt(
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
}

/// Retries a request that may have run, after the retry budget has allowed it.
fn retry_granted<D, O>(req: Request<Dispatched, O>, code: Code) -> AttemptOutcome<D, O>
where
    D: Dialect,
{
    let peer = req.peer().clone();
    match req.retry() {
        Ok(req) => {
            let refusal = req.refusal(code, Step::Dispatch, peer);
            AttemptOutcome::Retry(req, refusal.into())
        }
        Err(req) => AttemptOutcome::Refused(req.refuse_unknown(code, Step::Dispatch)),
    }
}
