//! Passes an answer on as it comes, and goes on with a cut stream elsewhere.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::traffic::Ended;
use chiverelay_sibling::Frame;
use chiverelay_target::kept::Answer;
use futures_util::stream;
use thiserror::Error as ThisError;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::answer::Beginning;
use crate::dispatch::Answered;
use crate::dispatch::Tried;
use crate::message::Pieces;
use crate::place::Held;
use crate::place::Job;

/// Tries at going on with one cut stream.
const RESUMES: u32 = 3;

/// Shortest pause between events after which a stream counts as cut.
const MIN_STALL: Duration = Duration::from_millis(1200);

/// Factor on the pause that is on time, after which a stream counts as cut.
const STALL_PAUSES: u32 = 5;

/// Outcome of a stream that came to its end.
const WHOLE: &str = "whole";

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
    live: Option<Live<D, O>>,
    first: Bytes,
    started: Duration,
    outcome: &'static str,
    _open: TaskTrackerToken,
}

struct Live<D, O>
where
    D: Dialect,
{
    req: Request<Dispatched, O>,
    held: Held<D>,
    answer: Answer,
    beginning: Beginning,
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
        answered: Answered<D, O>,
    ) -> Self {
        let Answered {
            req,
            held,
            answer,
            mut beginning,
        } = answered;
        let first = std::mem::take(&mut beginning.data);
        Self {
            started: req.head().received,
            _open: gateway.requests.token(),
            gateway,
            job,
            out,
            live: Some(Live {
                req,
                held,
                answer,
                beginning,
            }),
            first,
            outcome: "caller left",
        }
    }

    /// Turns the rest of the answer into a stream of pieces.
    pub(crate) fn pieces(self) -> Pieces {
        let next = |mut relay: Self| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        };
        Box::pin(stream::unfold(self, next))
    }

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
                        self.outcome = "broken off";
                        return Some(Err(broken));
                    }
                    if !self.first.is_empty() {
                        return Some(Ok(std::mem::take(&mut self.first)));
                    }
                }
            }
        }
    }

    async fn piece(&mut self) -> Result<Option<Bytes>, Broken> {
        let Some(live) = &mut self.live else {
            return Err(Broken::new("no answer"));
        };
        let now = self.gateway.clock.now();
        let left = live.req.head().deadline.saturating_sub(now);
        let stall = (self.job.route.target_pause * STALL_PAUSES).max(MIN_STALL);
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
            live.held.end(Ended::Answered);
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
        live.held.end(Ended::Lost);
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
        let Ok(mut req) = live.req.repeat() else {
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

    fn adopt(&mut self, answered: Answered<D, O>) {
        let Answered {
            req,
            held,
            answer,
            mut beginning,
        } = answered;
        self.first = std::mem::take(&mut beginning.data);
        self.live = Some(Live {
            req,
            held,
            answer,
            beginning,
        });
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

fn note_end<D>(gateway: &Gateway<D>, id: &RequestId, started: Duration, outcome: &'static str)
where
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

/// An answer that comes through another instance.
pub(crate) struct FarRelay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    id: RequestId,
    answer: Option<chiverelay_sibling::Answer>,
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
        req: &Request<Dispatched, chiverelay_decisions::request::Direct>,
        answer: chiverelay_sibling::Answer,
    ) -> Self {
        Self {
            _open: gateway.requests.token(),
            gateway,
            id: req.head().id.clone(),
            answer: Some(answer),
            deadline: req.head().deadline,
            started: req.head().received,
            outcome: "caller left",
        }
    }

    /// Turns the rest of the answer into a stream of pieces.
    pub(crate) fn pieces(self) -> Pieces {
        let next = |mut relay: Self| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        };
        Box::pin(stream::unfold(self, next))
    }

    /// Returns the next piece; `None` after the whole answer.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
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
        self.outcome = "broken off";
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
