//! Relays an answer that arrives through an instance in another region.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::RequestId;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::IncompleteAnswer;
use crate::Reply;
use crate::ReplyBody;
use crate::answer::ChunkedAnswer;
use crate::relay::AnswerOrigin;
use crate::relay::AnswerSource;
use crate::relay::RELAY_ABANDONED;
use crate::relay::RELAY_BROKEN;
use crate::relay::RELAY_COMPLETE;
use crate::relay::RelayEnd;
use crate::remote_answer::StartedForward;

/// Relay of an answer from an instance in another region. That instance
/// resumes interrupted streams itself, so this instance does not.
///
/// # Invariants
///
/// `current` is `None` once the answer has ended.
pub(crate) struct RemoteRelay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    id: RequestId,
    current: Option<StartedForward>,
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
    fn new(gateway: Arc<Gateway<D>>, mut started: StartedForward) -> Self {
        let buffered = std::mem::take(&mut started.start.data);
        Self {
            _open: gateway.open_requests.token(),
            gateway,
            id: started.req.meta().id.clone(),
            received_at: started.req.meta().received,
            current: Some(started),
            buffered,
            outcome: RELAY_ABANDONED,
        }
    }

    /// Reads and checks the next chunk within the time that is left.
    async fn read_chunk(&mut self) -> Result<Option<Bytes>, IncompleteAnswer> {
        let Some(current) = &mut self.current else {
            return Err(IncompleteAnswer::failed("no attempt is running"));
        };
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

    /// Records that the answer ended early, and cancels the request.
    fn end_early(&mut self, cause: &IncompleteAnswer) {
        self.outcome = RELAY_BROKEN;
        self.gateway
            .metrics
            .count_interruption(AnswerOrigin::Instance, cause.cause());
        if let Some(current) = self.current.take() {
            log::info!(
                target: "forward",
                id = self.id.as_str(),
                peer:% = current.req.peer(),
                last_event = current.start.checker.last_id().unwrap_or_default(),
                reason:% = cause;
                "answer ended early"
            );
        }
    }

    fn finish(&mut self) {
        self.outcome = RELAY_COMPLETE;
        if let Some(current) = self.current.take() {
            // Ends the request's life cycle.
            drop(current.req.answered());
        }
    }
}

impl<D> AnswerSource for RemoteRelay<D>
where
    D: Dialect,
{
    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteAnswer>> {
        if !self.buffered.is_empty() {
            return Some(Ok(std::mem::take(&mut self.buffered)));
        }
        while self.current.is_some() {
            match self.read_chunk().await {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(Some(data)) => return Some(Ok(data)),
                Ok(None) => self.finish(),
                Err(cause) => {
                    self.end_early(&cause);
                    return Some(Err(cause));
                }
            }
        }
        None
    }
}

impl<D> Drop for RemoteRelay<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        let end = RelayEnd {
            origin: AnswerOrigin::Instance,
            received_at: self.received_at,
            outcome: self.outcome,
        };
        end.record(&self.gateway, &self.id);
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Builds the reply from an answer of another instance whose start was
    /// read.
    pub(crate) fn build_forwarded_reply(self: &Arc<Self>, started: StartedForward) -> Reply {
        let status = started.answer.status;
        let headers = started.answer.headers.clone();
        let body = match started.start.is_complete {
            true => {
                // Ends the request's life cycle.
                drop(started.req.answered());
                ReplyBody::Full(started.start.data)
            }
            false => ReplyBody::Chunks(RemoteRelay::new(Arc::clone(self), started).into_stream()),
        };
        Reply {
            status,
            headers,
            body,
        }
    }
}
