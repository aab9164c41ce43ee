//! Relays a target's answer to the caller as it arrives, and resumes an
//! interrupted stream at another target.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_target::connection_pool::PooledResponse;
use futures_util::stream;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use thiserror::Error as ThisError;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::dispatch::MIN_TIME_TO_SEND;
use crate::message::BodyStream;
use crate::outcome::AttemptOutcome;
use crate::outcome::StartedAnswer;
use crate::place::PlacementContext;

/// Maximum number of attempts to resume a stream after one interruption.
const MAX_RESUMES: u32 = 3;

/// Lower bound for the pause between events after which a stream may move to
/// another target.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Multiple of the route's intended pause between events after which a stream
/// may move to another target.
const STALL_FACTOR: u32 = 5;

/// Outcome of an answer that was relayed completely.
pub(crate) const RELAY_COMPLETE: &str = "whole";

/// Outcome of an answer that ended early and could not be resumed.
pub(crate) const RELAY_BROKEN: &str = "broken off";

/// Outcome of an answer whose caller disconnected.
pub(crate) const RELAY_ABANDONED: &str = "caller left";

/// Where a relayed answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOrigin {
    /// A target in this region.
    Target,
    /// An instance in another region.
    Instance,
}

impl AnswerOrigin {
    /// Returns the origin's name in the log and in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Instance => "instance",
        }
    }
}

/// Class of the reasons why an answer ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The target or instance broke the answer off, or the answer is malformed.
    Failed,
    /// The target sent nothing for too long.
    Silent,
    /// The deadline of the request passed.
    TimedOut,
    /// The time for open requests of a shutdown was over.
    Shutdown,
}

impl EndCause {
    /// Returns the cause's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::TimedOut => "timed out",
            Self::Shutdown => "shutdown",
        }
    }
}

/// An answer ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("the answer ended early: {reason}")]
pub struct IncompleteAnswer {
    cause: EndCause,
    reason: String,
}

impl IncompleteAnswer {
    /// The answer was broken off or is malformed.
    pub(crate) fn failed(reason: impl ToString) -> Self {
        Self::new(EndCause::Failed, reason)
    }

    /// The target sent nothing for too long.
    pub(crate) fn silent() -> Self {
        Self::new(EndCause::Silent, "no event in time")
    }

    /// The deadline of the request has passed.
    pub(crate) fn timed_out() -> Self {
        Self::new(EndCause::TimedOut, "timeout")
    }

    /// The time for open requests of a shutdown is over.
    pub(crate) fn shutdown() -> Self {
        Self::new(EndCause::Shutdown, "shutdown")
    }

    fn new(cause: EndCause, reason: impl ToString) -> Self {
        Self {
            cause,
            reason: reason.to_string(),
        }
    }

    /// Returns the class of the reason.
    pub fn cause(&self) -> EndCause {
        self.cause
    }
}

/// Why no chunk of an answer was read.
#[derive(Debug)]
enum Interruption {
    /// The target sent nothing for the stall timeout.
    Stalled,
    /// The answer has ended early, or its deadline has passed.
    Ended(IncompleteAnswer),
}

impl From<IncompleteAnswer> for Interruption {
    fn from(cause: IncompleteAnswer) -> Self {
        Self::Ended(cause)
    }
}

/// Whether the retry budget has granted the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    Granted,
    Needed,
}

/// Source of the body of an answer.
pub(crate) trait AnswerSource: Send + Sized + 'static {
    /// Returns the next chunk, or `None` after the end of the answer.
    fn next_chunk(
        &mut self,
    ) -> impl Future<Output = Option<Result<Bytes, IncompleteAnswer>>> + Send;

    /// Turns the rest of the answer into a stream of chunks.
    fn into_stream(self) -> BodyStream {
        let next = |mut source: Self| async move {
            let chunk = source.next_chunk().await?;
            Some((chunk, source))
        };
        Box::pin(stream::unfold(self, next))
    }
}

/// What two answers must have in common for one to continue the other.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AnswerKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl AnswerKind {
    fn of(answer: &PooledResponse) -> Self {
        Self {
            status: answer.status(),
            content_type: answer.headers().get(CONTENT_TYPE).cloned(),
        }
    }

    fn matches(&self, answer: &PooledResponse) -> bool {
        *self == Self::of(answer)
    }
}

/// Relay of an answer from a target in this region.
///
/// # Invariants
///
/// `current` is `None` once the answer has ended or can't be resumed.
pub(crate) struct Relay<D, O>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    cx: PlacementContext,
    out: Outbound,
    kind: AnswerKind,
    current: Option<StartedAnswer<D, O>>,
    buffered: Bytes,
    received_at: Duration,
    /// When the last chunk arrived, on the local monotonic clock.
    last_chunk_at: Duration,
    outcome: &'static str,
    /// Counts this answer as an open request until it is dropped.
    _open: TaskTrackerToken,
}

impl<D, O> Relay<D, O>
where
    D: Dialect,
    O: Origin,
{
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        cx: PlacementContext,
        out: Outbound,
        mut started: StartedAnswer<D, O>,
    ) -> Self {
        let buffered = std::mem::take(&mut started.start.data);
        Self {
            received_at: started.req.meta().received,
            last_chunk_at: gateway.clock.now(),
            _open: gateway.open_requests.token(),
            gateway,
            cx,
            out,
            kind: AnswerKind::of(&started.answer),
            current: Some(started),
            buffered,
            outcome: RELAY_ABANDONED,
        }
    }

    /// Reads and checks the next chunk of the current attempt, within the time
    /// that is left and, for a repeatable request, within the stall timeout.
    async fn read_chunk(&mut self) -> Result<Option<Bytes>, Interruption> {
        let Some(current) = &mut self.current else {
            return Err(IncompleteAnswer::failed("no attempt is running").into());
        };
        let now = self.gateway.clock.now();
        let left = current.req.meta().deadline.saturating_sub(now);
        // A timeout of zero would still return chunks that have arrived.
        if left.is_zero() {
            return Err(IncompleteAnswer::timed_out().into());
        }
        let stall = (self.cx.route.target_event_gap * STALL_FACTOR).max(MIN_STALL_TIMEOUT);
        let is_stall_limited = self.cx.route.kind.is_repeatable() && stall < left;
        let wait = if is_stall_limited { stall } else { left };
        let next = tokio::time::timeout(wait, current.answer.next_chunk());
        let chunk = match self.gateway.shutdown.run_until_over(next).await {
            Some(Ok(chunk)) => chunk.map_err(IncompleteAnswer::failed)?,
            Some(Err(_)) if is_stall_limited => return Err(Interruption::Stalled),
            Some(Err(_)) => return Err(IncompleteAnswer::timed_out().into()),
            None => return Err(IncompleteAnswer::shutdown().into()),
        };
        let checker = &mut current.start.checker;
        let Some(chunk) = chunk else {
            checker.check_end().map_err(IncompleteAnswer::failed)?;
            return Ok(None);
        };
        let chunk = checker.push(chunk).map_err(IncompleteAnswer::failed)?;
        self.last_chunk_at = self.gateway.clock.now();
        Ok(Some(chunk))
    }

    fn finish(&mut self) {
        self.outcome = RELAY_COMPLETE;
        if let Some(current) = self.current.take() {
            // Ends the request's life cycle.
            drop(current.req.answered());
            current.reservation.finish(TargetOutcome::Answered);
            current.answer.release(&self.gateway.connections);
        }
    }

    /// Tells whether route, attempts and deadline allow the answer to continue at
    /// another target.
    fn is_resumable(&self) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let now = self.gateway.clock.now();
        let left = current.req.meta().deadline.saturating_sub(now);
        self.cx.route.kind.is_stream()
            && self.cx.route.kind.is_repeatable()
            && self.cx.attempts_left > 0
            && left >= MIN_TIME_TO_SEND
            && !self.gateway.shutdown.is_over()
    }

    /// Moves a stream from a target that pauses to another one. Stays with the
    /// target if no other one may take the stream now, as the target may go on.
    ///
    /// # Errors
    ///
    /// Fails if the other target doesn't take the stream after all.
    async fn leave_stalled(&mut self) -> Result<(), IncompleteAnswer> {
        let Some(current) = &self.current else {
            return Ok(());
        };
        if !self.is_resumable()
            || self.gateway.is_suspected(&self.cx)
            || !self.gateway.has_other_local_target(&current.req, &self.cx)
            || !self.gateway.try_consume_retry(&self.cx, &self.out.id)
        {
            return Ok(());
        }
        self.resume(IncompleteAnswer::silent(), Retry::Granted)
            .await
    }

    /// Resumes an interrupted stream at another target in the region, after the
    /// last event that was received.
    ///
    /// # Errors
    ///
    /// Returns the cause of the interruption if the stream may not be resumed
    /// or no target takes it.
    async fn resume(
        &mut self,
        cause: IncompleteAnswer,
        mut retry: Retry,
    ) -> Result<(), IncompleteAnswer> {
        let is_resumable = self.is_resumable();
        let Some(current) = self.current.take() else {
            return Err(cause);
        };
        // Cancel the request at this target before another target gets it.
        drop(current.answer);
        current.reservation.finish(TargetOutcome::Lost);
        let last_event_id = current.start.checker.last_id();
        let silent_for = self.gateway.clock.now().saturating_sub(self.last_chunk_at);
        self.gateway
            .metrics
            .count_interruption(AnswerOrigin::Target, cause.cause());
        log::info!(
            target: "relay",
            id = self.out.id.as_str(),
            peer:% = current.req.peer(),
            last_event = last_event_id.unwrap_or_default(),
            resumable = is_resumable,
            silent_ms = silent_for.as_millis() as u64,
            reason = cause.reason.as_str();
            "answer ended early"
        );
        // The loss that was just recorded may have raised the suspicion.
        if !is_resumable || self.gateway.is_suspected(&self.cx) {
            return Err(cause);
        }
        self.out.last_event_id = last_event_id.or(self.out.last_event_id);
        let Ok(mut req) = current.req.retry() else {
            return Err(cause);
        };
        for _ in 0..MAX_RESUMES {
            let is_granted = std::mem::replace(&mut retry, Retry::Needed) == Retry::Granted;
            if !is_granted && !self.gateway.try_consume_retry(&self.cx, &self.out.id) {
                return Err(cause);
            }
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
        self.last_chunk_at = self.gateway.clock.now();
        self.buffered = std::mem::take(&mut started.start.data);
        self.current = Some(started);
    }
}

impl<D, O> AnswerSource for Relay<D, O>
where
    D: Dialect,
    O: Origin,
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
                Err(interruption) => {
                    let resumed = match interruption {
                        Interruption::Stalled => self.leave_stalled().await,
                        Interruption::Ended(cause) => self.resume(cause, Retry::Needed).await,
                    };
                    if let Err(cause) = resumed {
                        self.outcome = RELAY_BROKEN;
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
        let end = RelayEnd {
            origin: AnswerOrigin::Target,
            received_at: self.received_at,
            outcome: self.outcome,
        };
        end.record(&self.gateway, &self.out.id);
    }
}

/// How a relayed answer ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayEnd {
    pub(crate) origin: AnswerOrigin,
    /// When the request was received, on the local monotonic clock.
    pub(crate) received_at: Duration,
    pub(crate) outcome: &'static str,
}

impl RelayEnd {
    /// Records the end in metrics and log. The log lines of complete answers
    /// are rate-limited.
    pub(crate) fn record<D>(self, gateway: &Gateway<D>, id: &RequestId)
    where
        D: Dialect,
    {
        let now = gateway.clock.now();
        let took = now.saturating_sub(self.received_at);
        gateway.metrics.record_stream(self.outcome, took);
        if self.outcome == RELAY_COMPLETE && !gateway.log_rate_limit.should_log(now) {
            return;
        }
        log::info!(
            target: "relay",
            id = id.as_str(),
            origin = self.origin.as_str(),
            outcome = self.outcome,
            took_ms = took.as_millis() as u64;
            "relayed answer ended"
        );
    }
}
