//! Passes an answer on as it comes, and goes on with a cut stream elsewhere.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::traffic::TargetOutcome;
use futures_util::stream;
use thiserror::Error as ThisError;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::message::BodyStream;
use crate::outcome::Answered;
use crate::outcome::AttemptOutcome;
use crate::place::PlacementContext;

/// Tries at going on with one cut stream.
const MAX_RESUMES: u32 = 3;

/// Shortest pause between events after which a stream counts as cut.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Factor on the pause that is on time, after which a stream counts as cut.
const STALL_FACTOR: u32 = 5;

/// Outcome of a stream that came to its end.
pub(crate) const STREAM_COMPLETE: &str = "whole";

/// Outcome of a stream that broke off.
pub(crate) const STREAM_BROKEN: &str = "broken off";

/// Outcome of a stream whose caller left.
pub(crate) const STREAM_ABANDONED: &str = "caller left";

/// The rest of an answer never comes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("the answer broke off: {reason}")]
pub struct IncompleteAnswer {
    reason: String,
}

impl IncompleteAnswer {
    pub(crate) fn new(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }
}

/// Where the pieces of an answer come from.
pub(crate) trait AnswerSource: Send + Sized + 'static {
    /// Returns the next piece; `None` after the whole answer.
    fn next_chunk(
        &mut self,
    ) -> impl Future<Output = Option<Result<Bytes, IncompleteAnswer>>> + Send;

    /// Turns the rest of the answer into a stream of pieces.
    fn into_stream(self) -> BodyStream {
        let next = |mut source: Self| async move {
            let chunk = source.next_chunk().await?;
            Some((chunk, source))
        };
        Box::pin(stream::unfold(self, next))
    }
}

/// An answer of a target of this region on its way.
///
/// # Invariants
///
/// `live` is `None` after the answer has ended or can't go on.
pub(crate) struct Relay<D, O>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    cx: PlacementContext,
    out: Outbound,
    current: Option<Answered<D, O>>,
    buffered: Bytes,
    received_at: Duration,
    outcome: &'static str,
    _task: TaskTrackerToken,
}

impl<D, O> Relay<D, O>
where
    D: Dialect,
    O: Send + 'static,
{
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        cx: PlacementContext,
        out: Outbound,
        mut answered: Answered<D, O>,
    ) -> Self {
        let first = std::mem::take(&mut answered.start.data);
        Self {
            received_at: answered.req.meta().received,
            _task: gateway.open_requests.token(),
            gateway,
            cx,
            out,
            current: Some(answered),
            buffered: first,
            outcome: STREAM_ABANDONED,
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, IncompleteAnswer> {
        let Some(current) = &mut self.current else {
            return Err(IncompleteAnswer::new("no answer"));
        };
        let now = self.gateway.clock.now();
        let left = current.req.meta().deadline.saturating_sub(now);
        let stall = (self.cx.route.target_event_gap * STALL_FACTOR).max(MIN_STALL_TIMEOUT);
        let wait = match self.cx.route.kind.is_repeatable() {
            true => left.min(stall),
            false => left,
        };
        let next = tokio::time::timeout(wait, current.answer.next_chunk());
        let chunk = match next.await {
            Ok(chunk) => chunk.map_err(IncompleteAnswer::new)?,
            Err(_) => return Err(IncompleteAnswer::new("timeout")),
        };
        let checker = &mut current.start.checker;
        let Some(chunk) = chunk else {
            checker.end().map_err(IncompleteAnswer::new)?;
            return Ok(None);
        };
        checker.push(chunk).map(Some).map_err(IncompleteAnswer::new)
    }

    fn finish(&mut self) {
        self.outcome = STREAM_COMPLETE;
        if let Some(current) = self.current.take() {
            drop(current.req.answered());
            current.reservation.finish(TargetOutcome::Answered);
            current.answer.release(&self.gateway.connections);
        }
    }

    /// Goes on with a cut stream at another target of the region.
    ///
    /// # Errors
    ///
    /// Fails if the stream may not go on, or no target takes it.
    async fn resume(&mut self, cause: IncompleteAnswer) -> Result<(), IncompleteAnswer> {
        let Some(current) = self.current.take() else {
            return Err(cause);
        };
        // The target is done with the request before another one has it.
        drop(current.answer);
        current.reservation.finish(TargetOutcome::Lost);
        let is_resumable = self.cx.route.kind.is_stream() && self.cx.route.kind.is_repeatable();
        let last_event_id = current.start.checker.last_id();
        log::info!(
            target: "relay",
            id = self.out.id.as_str(),
            peer:% = current.req.peer(),
            last_event = last_event_id.unwrap_or_default(),
            resumable = is_resumable,
            reason = cause.reason.as_str();
            "answer cut"
        );
        if !is_resumable || self.cx.attempts_left == 0 {
            return Err(cause);
        }
        self.out.last_event_id = last_event_id.or(self.out.last_event_id);
        let Ok(mut req) = current.req.retry() else {
            return Err(cause);
        };
        for _ in 0..MAX_RESUMES {
            if !self.gateway.may_retry(&self.cx) {
                return Err(cause);
            }
            let Ok(placed) = self.gateway.place_locally(req, &self.cx) else {
                return Err(cause);
            };
            match self.gateway.attempt(placed, &mut self.cx, &self.out).await {
                AttemptOutcome::Answered(answered) if answered.answer.status().is_success() => {
                    self.continue_with(*answered);
                    return Ok(());
                }
                AttemptOutcome::Retry(again, _) => req = again,
                AttemptOutcome::Answered(_) | AttemptOutcome::Refused(_) => return Err(cause),
            }
        }
        Err(cause)
    }

    fn continue_with(&mut self, mut answered: Answered<D, O>) {
        self.buffered = std::mem::take(&mut answered.start.data);
        self.current = Some(answered);
    }
}

impl<D, O> AnswerSource for Relay<D, O>
where
    D: Dialect,
    O: Send + 'static,
{
    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteAnswer>> {
        if !self.buffered.is_empty() {
            return Some(Ok(std::mem::take(&mut self.buffered)));
        }
        loop {
            let current = self.current.as_mut()?;
            if current.start.is_complete {
                self.finish();
                return None;
            }
            match self.read_chunk().await {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(Some(data)) => return Some(Ok(data)),
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(cause) => {
                    if let Err(cause) = self.resume(cause).await {
                        self.outcome = STREAM_BROKEN;
                        return Some(Err(cause));
                    }
                    if !self.buffered.is_empty() {
                        return Some(Ok(std::mem::take(&mut self.buffered)));
                    }
                }
            }
        }
    }
}

impl<D, O> Drop for Relay<D, O>
where
    D: Dialect,
{
    fn drop(&mut self) {
        record_stream_end(&self.gateway, &self.out.id, self.received_at, self.outcome);
    }
}

/// Notes the end of a stream.
pub(crate) fn record_stream_end<D>(
    gateway: &Gateway<D>,
    id: &RequestId,
    started: Duration,
    outcome: &'static str,
) where
    D: Dialect,
{
    let took = gateway.clock.now().saturating_sub(started);
    gateway.metrics.record_stream(outcome, took);
    if outcome == STREAM_COMPLETE && !gateway.sampler.should_log(gateway.clock.now()) {
        return;
    }
    log::info!(
        target: "relay",
        id = id.as_str(),
        outcome,
        took_ms = took.as_millis() as u64;
        "stream ended"
    );
}
