//! Relays an answer that arrives through an instance in another region.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_sibling::Answer;
use chiverelay_sibling::Frame;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::IncompleteAnswer;
use crate::answer::MAX_BUFFERED_BYTES;
use crate::relay::AnswerOrigin;
use crate::relay::AnswerSource;
use crate::relay::RELAY_ABANDONED;
use crate::relay::RELAY_BROKEN;
use crate::relay::RELAY_COMPLETE;
use crate::relay::RelayEnd;

/// Relay of an answer from an instance in another region. That instance
/// resumes interrupted streams itself, so this instance does not.
pub(crate) struct RemoteRelay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    id: RequestId,
    answer: Option<Answer>,
    /// Start of the answer that was read but not returned yet.
    buffered: Bytes,
    deadline: Duration,
    received_at: Duration,
    outcome: &'static str,
    /// Counts this answer as an open request until it is dropped.
    _open: TaskTrackerToken,
}

impl<D> RemoteRelay<D>
where
    D: Dialect,
{
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        req: &Request<Dispatched, Direct>,
        answer: Answer,
    ) -> Self {
        Self {
            _open: gateway.open_requests.token(),
            gateway,
            id: req.meta().id.clone(),
            answer: Some(answer),
            buffered: Bytes::new(),
            deadline: req.meta().deadline,
            received_at: req.meta().received,
            outcome: RELAY_ABANDONED,
        }
    }
}

/// The start of an answer that was read before any of it goes to the caller.
#[derive(Debug)]
pub(crate) enum RemoteStart {
    /// The whole answer.
    Complete(Bytes),
    /// The answer goes on. The relay returns what was read of it again.
    Partial,
}

impl<D> RemoteRelay<D>
where
    D: Dialect,
{
    /// Reads the answer up to its end or to [`MAX_BUFFERED_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails if the answer ends early.
    pub(crate) async fn read_start(&mut self) -> Result<RemoteStart, IncompleteAnswer> {
        let mut data = BytesMut::new();
        while data.len() < MAX_BUFFERED_BYTES {
            let Some(chunk) = self.next_chunk().await else {
                return Ok(RemoteStart::Complete(data.freeze()));
            };
            data.extend_from_slice(&chunk?);
        }
        self.buffered = data.freeze();
        Ok(RemoteStart::Partial)
    }

    async fn next_frame(&mut self) -> Option<Result<Frame, IncompleteAnswer>> {
        let answer = self.answer.as_mut()?;
        let left = self.deadline.saturating_sub(self.gateway.clock.now());
        // A timeout of zero would still return frames that have arrived.
        if left.is_zero() {
            return Some(Err(IncompleteAnswer::timed_out()));
        }
        let next = tokio::time::timeout(left, answer.next());
        Some(match self.gateway.shutdown.run_until_over(next).await {
            Some(Ok(frame)) => frame.map_err(IncompleteAnswer::failed),
            Some(Err(_)) => Err(IncompleteAnswer::timed_out()),
            None => Err(IncompleteAnswer::shutdown()),
        })
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
        let cause = match self.next_frame().await? {
            Ok(Frame::Data(data)) => return Some(Ok(data.into())),
            Ok(Frame::End) => {
                self.outcome = RELAY_COMPLETE;
                self.answer = None;
                return None;
            }
            Ok(Frame::Refused(refusal)) => IncompleteAnswer::failed(refusal.code.as_str()),
            Ok(Frame::Head { .. } | Frame::Stamp(_) | Frame::Ran(_)) => {
                IncompleteAnswer::failed("unexpected frame")
            }
            Err(cause) => cause,
        };
        self.answer = None;
        self.outcome = RELAY_BROKEN;
        self.gateway
            .metrics
            .count_interruption(AnswerOrigin::Instance, cause.cause());
        Some(Err(cause))
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
