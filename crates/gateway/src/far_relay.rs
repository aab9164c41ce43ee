//! Passes an answer on that comes through another instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_sibling::Answer;
use chiverelay_sibling::Frame;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Broken;
use crate::Dialect;
use crate::Gateway;
use crate::relay::BROKEN_OFF;
use crate::relay::CALLER_LEFT;
use crate::relay::Source;
use crate::relay::WHOLE;
use crate::relay::note_end;

/// An answer that comes through another instance.
pub(crate) struct FarRelay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    id: RequestId,
    answer: Option<Answer>,
    deadline: Duration,
    started: Duration,
    outcome: &'static str,
    _open: TaskTrackerToken,
}

impl<D> FarRelay<D>
where
    D: Dialect,
{
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        req: &Request<Dispatched, Direct>,
        answer: Answer,
    ) -> Self {
        Self {
            _open: gateway.requests.token(),
            gateway,
            id: req.meta().id.clone(),
            answer: Some(answer),
            deadline: req.meta().deadline,
            started: req.meta().received,
            outcome: CALLER_LEFT,
        }
    }
}

impl<D> Source for FarRelay<D>
where
    D: Dialect,
{
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        let answer = self.answer.as_mut()?;
        let left = self.deadline.saturating_sub(self.gateway.clock.now());
        let frame = match tokio::time::timeout(left, answer.next()).await {
            Ok(frame) => frame.map_err(Broken::new),
            Err(_) => Err(Broken::new("timeout")),
        };
        let broken = match frame {
            Ok(Frame::Data(data)) => return Some(Ok(data.into())),
            Ok(Frame::End) => {
                self.outcome = WHOLE;
                self.answer = None;
                return None;
            }
            Ok(Frame::Refused(refusal)) => Broken::new(refusal.code.as_str()),
            Ok(Frame::Head { .. } | Frame::Stamp(_) | Frame::Ran(_)) => {
                Broken::new("a second head")
            }
            Err(broken) => broken,
        };
        self.answer = None;
        self.outcome = BROKEN_OFF;
        Some(Err(broken))
    }
}

impl<D> Drop for FarRelay<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        note_end(&self.gateway, &self.id, self.started, self.outcome);
    }
}
