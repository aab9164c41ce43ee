//! Continues a stream at another target: after an interruption, or because its
//! target is silent.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::traffic::TargetOutcome;

use super::AnswerOrigin;
use super::EndCause;
use super::IncompleteAnswer;
use super::Relay;
use super::TargetChunk;
use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::continuation::Continuation;
use crate::dispatch::MIN_TIME_TO_SEND;
use crate::dispatch::Sent;
use crate::hedge::MAX_OVERLAP;
use crate::outcome::AttemptOutcome;
use crate::outcome::StartedAnswer;
use crate::place::PlacementContext;

/// Maximum number of attempts to resume a stream after one interruption.
pub(crate) const MAX_RESUMES: u32 = 3;

/// Whether the retry budget has granted the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retry {
    Granted,
    Needed,
}

/// What came first: a chunk of the current target, or something else.
enum Raced<T> {
    Chunk(Result<TargetChunk, IncompleteAnswer>),
    Other(T),
}

impl<D, O> Relay<D, O>
where
    D: Dialect,
    O: Origin,
{
    /// Tells whether route, attempts and deadline allow the answer to continue at
    /// another target, and whether it is certain which software began it.
    fn is_resumable(&self) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let deadline = current.req.meta().deadline;
        self.gateway.allows_resume(&self.cx, deadline) && self.is_software_certain()
    }

    /// Tells whether it is certain which software has answered so far.
    fn is_software_certain(&self) -> bool {
        let current = self.current.as_ref();
        let confirmed = current.and_then(|current| current.reservation.confirmed_software());
        self.cx.software.is_some() && confirmed.is_some()
    }

    /// Returns the request for an attempt at another target if the stream may
    /// leave its silent one. The retry budget has granted the attempt then.
    fn request_to_move(&self) -> Option<Request<Admitted, O>> {
        let current = self.current.as_ref()?;
        let may_move =
            self.is_resumable() && self.gateway.has_other_local_target(&current.req, &self.cx);
        if !may_move {
            return None;
        }
        self.gateway
            .copy_for_other_target(&current.req, &self.cx, &self.out)
    }

    /// Moves a stream from a silent target to another one, if one takes it. The
    /// silent target is read until then, or until [`MAX_OVERLAP`] has passed
    /// since the other one got the request. If it goes on meanwhile, or the
    /// other one refuses, the stream stays. If the other one refuses later, the
    /// stream may return.
    ///
    /// # Errors
    ///
    /// Fails if the stream has left its target and no other one continues it.
    pub(super) async fn leave_stalled(&mut self) -> Result<(), IncompleteAnswer> {
        let Some(req) = self.request_to_move() else {
            return Ok(());
        };
        let gateway = Arc::clone(&self.gateway);
        let cx = self.cx.clone();
        let out = self.outbound_after_last_event();
        let opening = gateway.open_at_other_target(req, &cx, &out);
        let opened = match self.race(opening).await {
            Raced::Chunk(Ok(chunk)) => {
                self.early = Some(chunk);
                return Ok(());
            }
            Raced::Chunk(Err(cause)) => return self.resume(cause, Retry::Granted).await,
            Raced::Other(None) => return Ok(()),
            Raced::Other(Some(opened)) => opened,
        };
        if let Some(current) = &mut self.current {
            current.req.mark_tried(opened.target().clone());
        }
        let mut sending = Box::pin(gateway.send(opened, &cx, &out));
        let overlap = tokio::time::timeout(MAX_OVERLAP, &mut sending);
        let (sent, cause) = match self.race(overlap).await {
            Raced::Chunk(Ok(chunk)) => {
                drop(sending);
                self.count_dropped_attempt();
                self.early = Some(chunk);
                return Ok(());
            }
            Raced::Other(Ok(sent)) => (sent, IncompleteAnswer::silent()),
            Raced::Other(Err(_)) => {
                let cause = IncompleteAnswer::silent();
                let left = self.end_current(&cause);
                let mut sent = sending.as_mut().await;
                if let (Some(req), Err(failed)) = (&left, &mut sent) {
                    failed.allow_return(req.peer());
                }
                (sent, cause)
            }
            Raced::Chunk(Err(cause)) => {
                self.end_current(&cause);
                (sending.as_mut().await, cause)
            }
        };
        drop(sending);
        self.conclude_move(sent, cause, out).await
    }

    /// Goes on with what became of the attempt at another target.
    async fn conclude_move(
        &mut self,
        sent: Sent<D, O>,
        cause: IncompleteAnswer,
        out: Outbound,
    ) -> Result<(), IncompleteAnswer> {
        match sent {
            Ok(started) if self.kind.matches(&started.answer) => {
                let started = self.gateway.accept_answer(started, &mut self.cx);
                self.end_current(&cause);
                self.out = out;
                self.continue_with(started);
                Ok(())
            }
            Ok(_) if self.current.is_some() => {
                self.count_dropped_attempt();
                Ok(())
            }
            Err(failed) if self.current.is_some() => {
                self.gateway.abandon_attempt(failed, &mut self.cx, &out);
                Ok(())
            }
            Ok(_) => Err(cause),
            Err(failed) => {
                let gateway = Arc::clone(&self.gateway);
                match gateway.conclude_attempt(Err(failed), &mut self.cx, &out) {
                    AttemptOutcome::Retry(req, _) => {
                        self.out = out;
                        self.resume_elsewhere(req, cause).await
                    }
                    AttemptOutcome::Answered(_) | AttemptOutcome::Refused(_) => Err(cause),
                }
            }
        }
    }

    /// Runs `other` until the current target sends something or fails.
    async fn race<F>(&mut self, other: F) -> Raced<F::Output>
    where
        F: Future,
    {
        let Some(current) = &mut self.current else {
            return Raced::Other(other.await);
        };
        let reading = current.answer.next_chunk();
        let reading = self.gateway.shutdown.run_until_over(reading);
        tokio::select! {
            biased;
            chunk = reading => Raced::Chunk(match chunk {
                Some(chunk) => chunk.map_err(IncompleteAnswer::failed),
                None => Err(IncompleteAnswer::shutdown()),
            }),
            output = other => Raced::Other(output),
        }
    }

    /// Counts an attempt that was dropped after its request may have been sent.
    fn count_dropped_attempt(&mut self) {
        self.cx.attempts_left = self.cx.attempts_left.saturating_sub(1);
    }

    /// Returns the message that asks for the events after the last one that was
    /// received.
    fn outbound_after_last_event(&self) -> Outbound {
        let mut out = self.out.clone();
        if let Some(current) = &self.current {
            out.last_event_id = current.start.checker.last_id().or(out.last_event_id);
        }
        out
    }

    /// Cancels the request at the current target, and returns it.
    fn end_current(&mut self, cause: &IncompleteAnswer) -> Option<Request<Dispatched, O>> {
        let is_resumable = self.is_resumable();
        let current = self.current.take()?;
        drop(current.answer);
        current.reservation.finish(match cause.cause() {
            EndCause::Failed => TargetOutcome::Lost,
            EndCause::Silent | EndCause::TimedOut => TargetOutcome::TimedOut,
            EndCause::Shutdown => TargetOutcome::Cancelled,
        });
        let silent_for = self.gateway.clock.now().saturating_sub(self.last_chunk_at);
        self.gateway
            .metrics
            .count_interruption(AnswerOrigin::Target, cause.cause());
        log::info!(
            target: "relay",
            id = self.out.id.as_str(),
            peer:% = current.req.peer(),
            last_event = current.start.checker.last_id().unwrap_or_default(),
            resumable = is_resumable,
            silent_ms = silent_for.as_millis() as u64,
            reason = cause.reason.as_str();
            "answer ended early"
        );
        Some(current.req)
    }

    /// Resumes an interrupted stream at another target in the region, after the
    /// last event that was received.
    ///
    /// # Errors
    ///
    /// Returns the cause of the interruption if the stream may not be resumed
    /// or no target takes it.
    pub(super) async fn resume(
        &mut self,
        cause: IncompleteAnswer,
        retry: Retry,
    ) -> Result<(), IncompleteAnswer> {
        let is_resumable = self.is_resumable();
        let cause = match self.is_software_certain() {
            true => cause,
            false => cause.with_uncertain_software(),
        };
        self.out = self.outbound_after_last_event();
        // Cancel the request at this target before another target gets it.
        let Some(req) = self.end_current(&cause) else {
            return Err(cause);
        };
        // The loss that was just recorded may have raised the suspicion.
        if !is_resumable || self.gateway.is_suspected(&self.cx) {
            return Err(cause);
        }
        if retry == Retry::Needed && !self.gateway.try_consume_retry(&self.cx, &self.out.id) {
            return Err(cause);
        }
        match req.retry() {
            Ok(req) => self.resume_elsewhere(req, cause).await,
            Err(_) => Err(cause),
        }
    }

    /// Continues a stream at another target of the region. The retry budget has
    /// granted the first attempt, and grants each further one with the failure
    /// of the attempt before it.
    async fn resume_elsewhere(
        &mut self,
        mut req: Request<Admitted, O>,
        cause: IncompleteAnswer,
    ) -> Result<(), IncompleteAnswer> {
        for _ in 0..MAX_RESUMES {
            let Ok(placed) = self.gateway.place_locally(req, &self.cx) else {
                return Err(cause);
            };
            match self.gateway.attempt(placed, &mut self.cx, &self.out).await {
                AttemptOutcome::Answered(started) if self.kind.matches(&started.answer) => {
                    self.continue_with(*started);
                    return Ok(());
                }
                AttemptOutcome::Retry(admitted, _) => req = admitted,
                // An answer of another kind, such as an error, can't continue
                // the stream.
                AttemptOutcome::Answered(_) | AttemptOutcome::Refused(_) => return Err(cause),
            }
        }
        Err(cause)
    }

    /// Continues the stream with the answer of another attempt.
    fn continue_with(&mut self, mut started: StartedAnswer<D, O>) {
        let continuation = Continuation {
            id: &self.out.id,
            peer: started.req.peer(),
            last_event_id: self.out.last_event_id,
            began: self.cx.software.as_ref(),
            next: started.reservation.confirmed_software(),
        };
        continuation.record(&self.gateway.metrics);
        self.last_chunk_at = self.gateway.clock.now();
        self.buffered = std::mem::take(&mut started.start.data);
        self.current = Some(started);
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Tells whether an interrupted answer of a request with this deadline may
    /// be resumed.
    pub(crate) fn allows_resume(&self, cx: &PlacementContext, deadline: Duration) -> bool {
        let left = deadline.saturating_sub(self.clock.now());
        cx.route.kind.is_stream()
            && cx.route.kind.is_repeatable()
            && cx.attempts_left > 0
            && left >= MIN_TIME_TO_SEND
            && !self.shutdown.is_over()
    }
}
