//! Relays an answer that arrives through an instance in another region.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::IncompleteAnswer;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::answer::ChunkedAnswer;
use crate::continuation::Continuation;
use crate::forward::ForwardOutcome;
use crate::hedge::Hedge;
use crate::hedge::OtherRegion;
use crate::outcome::AttemptOutcome;
use crate::outcome::StartedAnswer;
use crate::place::Destination;
use crate::place::PlacementContext;
use crate::relay::AnswerKind;
use crate::relay::AnswerOrigin;
use crate::relay::AnswerSource;
use crate::relay::MAX_RESUMES;
use crate::relay::RELAY_ABANDONED;
use crate::relay::RELAY_BROKEN;
use crate::relay::RELAY_COMPLETE;
use crate::relay::Relay;
use crate::relay::RelayEnd;
use crate::remote_answer::StartedForward;

/// Where the rest of an answer comes from.
enum AnswerRest<D>
where
    D: Dialect,
{
    /// Another instance relays it.
    Remote(Box<StartedForward>),
    /// A target in this region sends it.
    Local(Box<Relay<D, Direct>>),
    /// The answer has ended or can't be resumed.
    Ended,
}

/// Result of an attempt to continue an answer.
enum ResumeOutcome {
    /// The answer goes on.
    Resumed,
    /// The request may be tried at another destination.
    Retry(Request<Admitted, Direct>),
    /// The answer can't be resumed.
    Failed,
}

/// Relay of an answer from an instance in another region. That instance
/// resumes a stream whose target fails. If it fails itself, this instance
/// resumes the stream, at any destination that the request may go to.
pub(crate) struct RemoteRelay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    cx: PlacementContext,
    out: Outbound,
    kind: AnswerKind,
    rest: AnswerRest<D>,
    /// Start of the answer that was read but not returned yet.
    buffered: Bytes,
    received_at: Duration,
    outcome: &'static str,
    /// Counts this answer as an open request until it is dropped.
    _open: TaskTrackerToken,
}

impl<D> RemoteRelay<D>
where
    D: Dialect,
{
    fn new(
        gateway: Arc<Gateway<D>>,
        mut cx: PlacementContext,
        out: Outbound,
        mut started: Box<StartedForward>,
    ) -> Self {
        cx.is_resumed = true;
        cx.software = cx.software.or_else(|| started.answer.software.clone());
        let buffered = std::mem::take(&mut started.start.data);
        Self {
            _open: gateway.open_requests.token(),
            gateway,
            cx,
            out,
            kind: started.answer.kind(),
            received_at: started.req.meta().received,
            rest: AnswerRest::Remote(started),
            buffered,
            outcome: RELAY_ABANDONED,
        }
    }

    /// Reads and checks the next chunk within the time that is left.
    async fn read_chunk(&mut self) -> Result<Option<Bytes>, IncompleteAnswer> {
        let AnswerRest::Remote(current) = &mut self.rest else {
            return Err(IncompleteAnswer::failed("no attempt is running"));
        };
        if current.start.is_complete {
            return Ok(None);
        }
        let now = self.gateway.clock.now();
        let left = current.req.meta().deadline.saturating_sub(now);
        // A timeout of zero would still return chunks that have arrived.
        if left.is_zero() {
            return Err(IncompleteAnswer::timed_out());
        }
        let next = tokio::time::timeout(left, current.answer.next_chunk());
        let chunk = match self.gateway.shutdown.run_until_over(next).await {
            Some(Ok(chunk)) => chunk.map_err(IncompleteAnswer::failed)?,
            Some(Err(_)) => return Err(IncompleteAnswer::timed_out()),
            None => return Err(IncompleteAnswer::shutdown()),
        };
        let checker = &mut current.start.checker;
        let Some(chunk) = chunk else {
            checker.check_end().map_err(IncompleteAnswer::failed)?;
            return Ok(None);
        };
        let chunk = checker.push(chunk).map_err(IncompleteAnswer::failed)?;
        Ok(Some(chunk))
    }

    fn finish(&mut self) {
        self.outcome = RELAY_COMPLETE;
        if let AnswerRest::Remote(current) = self.take_rest() {
            // Ends the request's life cycle.
            drop(current.req.answered());
        }
    }

    fn take_rest(&mut self) -> AnswerRest<D> {
        std::mem::replace(&mut self.rest, AnswerRest::Ended)
    }

    /// Resumes an interrupted stream after the last event that was received:
    /// through another instance, or at a target in this region.
    ///
    /// # Errors
    ///
    /// Returns the cause of the interruption if the stream may not be resumed
    /// or no destination takes it.
    async fn resume(&mut self, cause: IncompleteAnswer) -> Result<(), IncompleteAnswer> {
        let AnswerRest::Remote(current) = self.take_rest() else {
            return Err(cause);
        };
        let StartedForward {
            req,
            mut answer,
            start,
        } = *current;
        let attempts_used = answer.take_new_attempts();
        self.cx.attempts_left = self.cx.attempts_left.saturating_sub(attempts_used);
        let deadline = req.meta().deadline;
        self.gateway.bind_to_only_software(&mut self.cx);
        let is_resumable = answer.status.is_success()
            && self.cx.software.is_some()
            && !answer.is_software_uncertain
            && self.gateway.allows_resume(&self.cx, deadline);
        // Cancel the request at this instance before another destination gets
        // it.
        drop(answer);
        let last_event_id = start.checker.last_id();
        self.log_interruption(&req, &cause, last_event_id, is_resumable);
        if !is_resumable || self.gateway.is_suspected(&self.cx) {
            return Err(cause);
        }
        self.out.last_event_id = last_event_id.or(self.out.last_event_id);
        let Ok(mut req) = req.retry() else {
            return Err(cause);
        };
        // Further attempts are granted with the failure of the one before.
        if !self.gateway.try_consume_retry(&self.cx, &self.out.id) {
            return Err(cause);
        }
        for _ in 0..MAX_RESUMES {
            req = match self.continue_elsewhere(req).await {
                ResumeOutcome::Resumed => return Ok(()),
                ResumeOutcome::Retry(admitted) => admitted,
                ResumeOutcome::Failed => return Err(cause),
            };
        }
        Err(cause)
    }

    /// Tries to continue the answer at the best destination. An answer of
    /// another kind, such as an error, can't continue it.
    async fn continue_elsewhere(&mut self, req: Request<Admitted, Direct>) -> ResumeOutcome {
        match self.gateway.choose_destination(req, &self.cx) {
            Ok(Destination::Local(placed)) => {
                let trying =
                    self.gateway
                        .attempt_or(*placed, &OtherRegion, &mut self.cx, &self.out);
                let tried = match trying.await {
                    Hedge::Here(tried) => tried,
                    Hedge::Elsewhere(started) => return self.continue_if_same(started),
                };
                match tried {
                    AttemptOutcome::Answered(started) if self.kind.matches(&started.answer) => {
                        self.continue_locally(*started);
                        ResumeOutcome::Resumed
                    }
                    AttemptOutcome::Retry(req, _) => ResumeOutcome::Retry(req),
                    AttemptOutcome::Answered(_) | AttemptOutcome::Refused(_) => {
                        ResumeOutcome::Failed
                    }
                }
            }
            Ok(Destination::Remote(placed)) => {
                match self.gateway.forward(placed, &mut self.cx, &self.out).await {
                    ForwardOutcome::Answered(started) => self.continue_if_same(started),
                    ForwardOutcome::Retry(req, _) => ResumeOutcome::Retry(req),
                    ForwardOutcome::Refused(_) => ResumeOutcome::Failed,
                }
            }
            Err(_) => ResumeOutcome::Failed,
        }
    }

    /// Continues with the answer of a target in this region, whose relay
    /// resumes it from then on.
    fn continue_locally(&mut self, started: StartedAnswer<D, Direct>) {
        let software = started.reservation.confirmed_software();
        self.record_continuation(started.req.peer(), software);
        let gateway = Arc::clone(&self.gateway);
        let relay = Relay::new(gateway, self.cx.clone(), self.out.clone(), started);
        self.rest = AnswerRest::Local(Box::new(relay));
    }

    /// Continues with the answer that another instance relays, if it is of the
    /// same kind.
    fn continue_if_same(&mut self, mut started: Box<StartedForward>) -> ResumeOutcome {
        if self.kind != started.answer.kind() {
            return ResumeOutcome::Failed;
        }
        let software = started.answer.software.as_ref();
        self.record_continuation(started.req.peer(), software);
        self.buffered = std::mem::take(&mut started.start.data);
        self.rest = AnswerRest::Remote(started);
        ResumeOutcome::Resumed
    }

    fn record_continuation(&self, peer: &Peer, next: Option<&SoftwareVersion>) {
        let continuation = Continuation {
            id: &self.out.id,
            peer,
            last_event_id: self.out.last_event_id,
            began: self.cx.software.as_ref(),
            next,
        };
        continuation.record(&self.gateway.metrics);
    }

    fn log_interruption(
        &self,
        req: &Request<Dispatched, Direct>,
        cause: &IncompleteAnswer,
        last_event_id: Option<u64>,
        is_resumable: bool,
    ) {
        self.gateway
            .metrics
            .count_interruption(AnswerOrigin::Instance, cause.cause());
        log::info!(
            target: "forward",
            id = self.out.id.as_str(),
            peer:% = req.peer(),
            last_event = last_event_id.unwrap_or_default(),
            resumable = is_resumable,
            reason:% = cause;
            "answer ended early"
        );
    }
}

impl<D> AnswerSource for RemoteRelay<D>
where
    D: Dialect,
{
    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteAnswer>> {
        loop {
            if !self.buffered.is_empty() {
                return Some(Ok(std::mem::take(&mut self.buffered)));
            }
            match &mut self.rest {
                AnswerRest::Remote(_) => {}
                AnswerRest::Local(relay) => return relay.next_chunk().await,
                AnswerRest::Ended => return None,
            }
            match self.read_chunk().await {
                Ok(Some(data)) => self.buffered = data,
                Ok(None) => self.finish(),
                Err(cause) => {
                    if let Err(cause) = Box::pin(self.resume(cause)).await {
                        self.outcome = RELAY_BROKEN;
                        return Some(Err(cause));
                    }
                }
            }
        }
    }
}

impl<D> Drop for RemoteRelay<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        // The relay of a local target's answer records its own end.
        if matches!(self.rest, AnswerRest::Local(_)) {
            return;
        }
        let end = RelayEnd {
            origin: AnswerOrigin::Instance,
            received_at: self.received_at,
            outcome: self.outcome,
        };
        end.record(&self.gateway, &self.out.id);
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Builds the reply from an answer of another instance whose start was
    /// read.
    pub(crate) fn build_forwarded_reply(
        self: &Arc<Self>,
        cx: PlacementContext,
        out: Outbound,
        started: Box<StartedForward>,
    ) -> Reply {
        let status = started.answer.status;
        let headers = started.answer.headers.clone();
        let software = started.answer.software.clone();
        let body = match started.start.is_complete {
            true => {
                // Ends the request's life cycle.
                drop(started.req.answered());
                ReplyBody::Full(started.start.data)
            }
            false => {
                let relay = RemoteRelay::new(Arc::clone(self), cx, out, started);
                ReplyBody::Chunks(relay.into_stream())
            }
        };
        Reply {
            status,
            headers,
            body,
            software,
        }
    }
}
