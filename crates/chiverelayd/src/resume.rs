//! Goes on with a stream that was cut, at another target of the region.

use std::future::Future;

use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Forwarded;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_target::TargetRequest;
use chiverelay_target::headers::LAST_EVENT_ID;
use hyper::header::HeaderValue;

use crate::context::Context;
use crate::dispatch;
use crate::dispatch::Attempt;
use crate::placing;
use crate::placing::Next;
use crate::placing::NextHere;
use crate::placing::Running;
use crate::relay::Source;
use crate::wait;

/// What can go on with a stream that was cut.
pub(crate) trait Resume {
    /// Returns the rest of the stream after an event, if it can be had.
    fn resume(&mut self, cx: &Context, last_id: u64)
    -> impl Future<Output = Option<Source>> + Send;
}

/// A dispatched request with what another attempt at it needs.
///
/// # Invariants
///
/// `req` is `None` after an attempt to resume that failed. `out` is `None`
/// where the stream comes from a sibling, which resumes it itself.
#[derive(Debug)]
pub(crate) struct Resumable<O> {
    req: Option<Request<Dispatched, O>>,
    out: Option<TargetRequest>,
}

impl<O> Resumable<O> {
    /// Wraps a dispatched request.
    pub(crate) fn new(req: Request<Dispatched, O>, out: Option<&TargetRequest>) -> Self {
        Self {
            req: Some(req),
            out: out.cloned(),
        }
    }

    /// Ends the life cycle with a whole answer.
    pub(crate) fn answered(self) {
        if let Some(req) = self.req {
            drop(req.answered());
        }
    }

    /// Returns the request for another attempt, and what to send.
    fn repeat(
        &mut self,
        cx: &Context,
        last_id: u64,
    ) -> Option<(Request<Admitted, O>, TargetRequest)> {
        let mut out = self.out.clone()?;
        let config = cx.tables.config.get();
        let req = self.req.take()?;
        if !config.pools.get(&req.grant().pool)?.resume {
            return None;
        }
        out.headers
            .insert(LAST_EVENT_ID, HeaderValue::from(last_id));
        Some((req.retry().ok()?, out))
    }

    async fn attempt(
        &mut self,
        cx: &Context,
        placed: Request<Placed, O>,
        running: Running,
        out: &TargetRequest,
    ) -> Option<Source> {
        let Attempt::Answer(req, answer) = dispatch::attempt(cx, placed, running, out).await else {
            return None;
        };
        let Peer::Target(target) = req.peer().clone() else {
            return None;
        };
        let pool = req.grant().pool.clone();
        self.req = Some(req);
        if !answer.is_event_stream() {
            cx.finish(&pool, &target);
            return None;
        }
        Some(Source::Target(answer, target))
    }
}

impl Resume for Resumable<Direct> {
    async fn resume(&mut self, cx: &Context, last_id: u64) -> Option<Source> {
        let (mut req, out) = self.repeat(cx, last_id)?;
        let mut turn = None;
        loop {
            match placing::place(cx, req, turn.take()).await.ok()? {
                Next::Here(placed, running) => {
                    return self.attempt(cx, placed, running, &out).await;
                }
                Next::Wait(waiting) => {
                    let (woken, its_turn) = wait::slot(cx, waiting).await.ok()?;
                    (req, turn) = (woken, Some(its_turn));
                }
                Next::Away(_) => return None,
            }
        }
    }
}

impl Resume for Resumable<Forwarded> {
    async fn resume(&mut self, cx: &Context, last_id: u64) -> Option<Source> {
        let (mut req, out) = self.repeat(cx, last_id)?;
        let mut turn = None;
        loop {
            match placing::place_forwarded(cx, req, turn.take()).await.ok()? {
                NextHere::Here(placed, running) => {
                    return self.attempt(cx, placed, running, &out).await;
                }
                NextHere::Wait(waiting) => {
                    let (woken, its_turn) = wait::slot(cx, waiting).await.ok()?;
                    (req, turn) = (woken, Some(its_turn));
                }
            }
        }
    }
}
