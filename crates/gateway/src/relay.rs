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
use crate::message::Pieces;
use crate::outcome::Answered;
use crate::outcome::Tried;
use crate::place::Job;

/// Tries at going on with one cut stream.
const RESUMES: u32 = 3;

/// Shortest pause between events after which a stream counts as cut.
const MIN_STALL: Duration = Duration::from_millis(1200);

/// Factor on the pause that is on time, after which a stream counts as cut.
const STALL_PAUSES: u32 = 5;

/// Outcome of a stream that came to its end.
pub(crate) const WHOLE: &str = "whole";

/// Outcome of a stream that broke off.
pub(crate) const BROKEN_OFF: &str = "broken off";

/// Outcome of a stream whose caller left.
pub(crate) const CALLER_LEFT: &str = "caller left";

/// The rest of an answer never comes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("the answer broke off: {reason}")]
pub struct Broken {
    reason: String,
}

impl Broken {
    pub(crate) fn new(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }
}

/// Where the pieces of an answer come from.
pub(crate) trait Source: Send + Sized + 'static {
    /// Returns the next piece; `None` after the whole answer.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, Broken>>> + Send;

    /// Turns the rest of the answer into a stream of pieces.
    fn pieces(self) -> Pieces {
        let next = |mut source: Self| async move {
            let piece = source.next().await?;
            Some((piece, source))
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
    job: Job,
    out: Outbound,
    live: Option<Answered<D, O>>,
    first: Bytes,
    started: Duration,
    outcome: &'static str,
    _open: TaskTrackerToken,
}

impl<D, O> Relay<D, O>
where
    D: Dialect,
    O: Send + 'static,
{
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        job: Job,
        out: Outbound,
        mut answered: Answered<D, O>,
    ) -> Self {
        let first = std::mem::take(&mut answered.beginning.data);
        Self {
            started: answered.req.meta().received,
            _open: gateway.requests.token(),
            gateway,
            job,
            out,
            live: Some(answered),
            first,
            outcome: CALLER_LEFT,
        }
    }

    async fn piece(&mut self) -> Result<Option<Bytes>, Broken> {
        let Some(live) = &mut self.live else {
            return Err(Broken::new("no answer"));
        };
        let now = self.gateway.clock.now();
        let left = live.req.meta().deadline.saturating_sub(now);
        let stall = (self.job.route.target_event_gap * STALL_PAUSES).max(MIN_STALL);
        let wait = match self.job.route.kind.is_repeatable() {
            true => left.min(stall),
            false => left,
        };
        let next = tokio::time::timeout(wait, live.answer.next());
        let piece = match next.await {
            Ok(piece) => piece.map_err(Broken::new)?,
            Err(_) => return Err(Broken::new("timeout")),
        };
        let checker = &mut live.beginning.checker;
        let Some(piece) = piece else {
            checker.end().map_err(Broken::new)?;
            return Ok(None);
        };
        checker.push(piece).map(Some).map_err(Broken::new)
    }

    fn finish(&mut self) {
        self.outcome = WHOLE;
        if let Some(live) = self.live.take() {
            drop(live.req.answered());
            live.held.end(TargetOutcome::Answered);
            live.answer.keep(&self.gateway.kept);
        }
    }

    /// Goes on with a cut stream at another target of the region.
    ///
    /// # Errors
    ///
    /// Fails if the stream may not go on, or no target takes it.
    async fn resume(&mut self, broken: Broken) -> Result<(), Broken> {
        let Some(live) = self.live.take() else {
            return Err(broken);
        };
        // The target is done with the request before another one has it.
        drop(live.answer);
        live.held.end(TargetOutcome::Lost);
        let is_resumable = self.job.route.kind.is_stream() && self.job.route.kind.is_repeatable();
        let last = live.beginning.checker.last_id();
        log::info!(
            target: "relay",
            id = self.out.id.as_str(),
            peer:% = live.req.peer(),
            last_event = last.unwrap_or_default(),
            resumable = is_resumable,
            reason = broken.reason.as_str();
            "answer cut"
        );
        if !is_resumable || self.job.attempts == 0 {
            return Err(broken);
        }
        self.out.last_event_id = last.or(self.out.last_event_id);
        let Ok(mut req) = live.req.retry() else {
            return Err(broken);
        };
        for _ in 0..RESUMES {
            if !self.gateway.may_retry(&self.job) {
                return Err(broken);
            }
            let Ok(placed) = self.gateway.place_here(req, &self.job) else {
                return Err(broken);
            };
            match self.gateway.attempt(placed, &mut self.job, &self.out).await {
                Tried::Answered(answered) if answered.answer.status().is_success() => {
                    self.adopt(*answered);
                    return Ok(());
                }
                Tried::Again(again, _) => req = again,
                Tried::Answered(_) | Tried::Refused(_) => return Err(broken),
            }
        }
        Err(broken)
    }

    fn adopt(&mut self, mut answered: Answered<D, O>) {
        self.first = std::mem::take(&mut answered.beginning.data);
        self.live = Some(answered);
    }
}

impl<D, O> Source for Relay<D, O>
where
    D: Dialect,
    O: Send + 'static,
{
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if !self.first.is_empty() {
            return Some(Ok(std::mem::take(&mut self.first)));
        }
        loop {
            let live = self.live.as_mut()?;
            if live.beginning.whole {
                self.finish();
                return None;
            }
            match self.piece().await {
                Ok(Some(data)) if data.is_empty() => {}
                Ok(Some(data)) => return Some(Ok(data)),
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(broken) => {
                    if let Err(broken) = self.resume(broken).await {
                        self.outcome = BROKEN_OFF;
                        return Some(Err(broken));
                    }
                    if !self.first.is_empty() {
                        return Some(Ok(std::mem::take(&mut self.first)));
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
        note_end(&self.gateway, &self.out.id, self.started, self.outcome);
    }
}

/// Notes the end of a stream.
pub(crate) fn note_end<D>(
    gateway: &Gateway<D>,
    id: &RequestId,
    started: Duration,
    outcome: &'static str,
) where
    D: Dialect,
{
    let took = gateway.clock.now().saturating_sub(started);
    gateway.metrics.streamed(outcome, took);
    if outcome == WHOLE && !gateway.sampler.admits(gateway.clock.now()) {
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
