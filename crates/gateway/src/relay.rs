//! Relays a target's answer to the caller as it arrives.

mod resume;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::silence;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_target::connection_pool::PooledResponse;
use futures_util::stream;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use thiserror::Error as ThisError;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::message::BodyStream;
use crate::outcome::StartedAnswer;
use crate::place::PlacementContext;
use resume::Retry;

pub(crate) use resume::MAX_RESUMES;

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
    /// Whether it is certain which software has answered.
    is_software_certain: bool,
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
            is_software_certain: true,
        }
    }

    /// It is uncertain which software has answered, so that no target may go on
    /// with the answer.
    fn with_uncertain_software(self) -> Self {
        Self {
            is_software_certain: false,
            ..self
        }
    }

    /// Tells whether it is certain which software has answered.
    pub(crate) fn is_software_certain(&self) -> bool {
        self.is_software_certain
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
pub(crate) struct AnswerKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl AnswerKind {
    pub(crate) fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            status,
            content_type: headers.get(CONTENT_TYPE).cloned(),
        }
    }

    fn of(answer: &PooledResponse) -> Self {
        Self::new(answer.status(), answer.headers())
    }

    pub(crate) fn matches(&self, answer: &PooledResponse) -> bool {
        *self == Self::of(answer)
    }
}

/// A chunk of a target's answer: `None` at the end.
type TargetChunk = Option<Bytes>;

/// Relay of an answer from a target in this region.
///
/// # Invariants
///
/// `current` is `None` once the answer has ended or can't be resumed. `early`
/// is a chunk of `current`.
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
    /// Chunk that the target sent while another target was asked.
    early: Option<TargetChunk>,
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
        mut cx: PlacementContext,
        out: Outbound,
        mut started: StartedAnswer<D, O>,
    ) -> Self {
        // From here on a further attempt continues this answer.
        cx.is_resumed = true;
        let software = started.reservation.confirmed_software();
        cx.software = cx.software.or_else(|| software.cloned());
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
            early: None,
            outcome: RELAY_ABANDONED,
        }
    }

    /// Reads and checks the next chunk of the current attempt.
    async fn read_chunk(&mut self) -> Result<Option<Bytes>, Interruption> {
        let chunk = match self.early.take() {
            Some(chunk) => chunk,
            None => self.receive_chunk().await?,
        };
        let Some(current) = &mut self.current else {
            return Err(IncompleteAnswer::failed("no attempt is running").into());
        };
        let checker = &mut current.start.checker;
        let Some(chunk) = chunk else {
            checker.check_end().map_err(IncompleteAnswer::failed)?;
            return Ok(None);
        };
        let chunk = checker.push(chunk).map_err(IncompleteAnswer::failed)?;
        self.last_chunk_at = self.gateway.clock.now();
        current.reservation.record_sign_of_life(self.last_chunk_at);
        Ok(Some(chunk))
    }

    /// Receives the next chunk within the time that is left and, for a
    /// repeatable request, within the silence of a sound target.
    async fn receive_chunk(&mut self) -> Result<TargetChunk, Interruption> {
        let Some(current) = &mut self.current else {
            return Err(IncompleteAnswer::failed("no attempt is running").into());
        };
        let now = self.gateway.clock.now();
        let left = current.req.meta().deadline.saturating_sub(now);
        // A timeout of zero would still return chunks that have arrived.
        if left.is_zero() {
            return Err(IncompleteAnswer::timed_out().into());
        }
        let stall = silence::event_limit(self.cx.route.target_event_gap);
        let is_stall_limited = self.cx.route.kind.is_repeatable() && stall < left;
        let wait = if is_stall_limited { stall } else { left };
        let next = tokio::time::timeout(wait, current.answer.next_chunk());
        match self.gateway.shutdown.run_until_over(next).await {
            Some(Ok(chunk)) => Ok(chunk.map_err(IncompleteAnswer::failed)?),
            Some(Err(_)) if is_stall_limited => Err(Interruption::Stalled),
            Some(Err(_)) => Err(IncompleteAnswer::timed_out().into()),
            None => Err(IncompleteAnswer::shutdown().into()),
        }
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
                        Interruption::Stalled => Box::pin(self.leave_stalled()).await,
                        Interruption::Ended(cause) => {
                            Box::pin(self.resume(cause, Retry::Needed)).await
                        }
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
