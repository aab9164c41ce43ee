//! Placement on the worker of the request's pool.
//!
//! One worker places all requests of a pool, so that a slot that one request
//! was given is counted before the next one is placed.

use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::ForwardedPlacement;
use chiverelay_decisions::gateway::Placement;
use chiverelay_decisions::gateway::QueueStatus;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Forwarded;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;

use crate::context::Context;
use crate::notes;
use crate::wait::Turn;
use crate::workers;

/// Counts a request as running at its target until it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    workers: workers::Pool,
    pool: Pool,
    target: Target,
    handed_over: bool,
}

impl Running {
    fn start<O>(tables: &Tables, workers: workers::Pool, req: &Request<Placed, O>) -> Self {
        let target = req.target().clone();
        gateway::request_started(tables, &target);
        Self {
            workers,
            pool: req.grant().pool.clone(),
            target,
            handed_over: false,
        }
    }

    /// Leaves it to the answer to count the request as ended.
    pub(crate) fn hand_over(mut self) {
        self.handed_over = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.handed_over {
            notes::finish(&self.workers, &self.pool, &self.target);
        }
    }
}

/// Where a caller's request goes next.
pub(crate) enum Next {
    /// To a target of this region, which counts it as running.
    Here(Request<Placed, Direct>, Running),
    /// To a sibling in another region.
    Away(Request<PlacedRemote, Direct>),
    /// It waits for a slot.
    Wait(Request<Admitted, Direct>),
}

/// Where a request goes next that a sibling passed on.
pub(crate) enum NextHere {
    /// To a target of this region, which counts it as running.
    Here(Request<Placed, Forwarded>, Running),
    /// It waits for a slot.
    Wait(Request<Admitted, Forwarded>),
}

/// Places a caller's request, with its turn if it has waited.
pub(crate) async fn place(
    cx: &Context,
    req: Request<Admitted, Direct>,
    turn: Option<Turn>,
) -> Result<Next, Refusal> {
    let here = cx.settings.region.clone();
    let workers = cx.pool.clone();
    on_worker(cx, req, move |tables, req, now| {
        let placed = gateway::place(tables, req, &here, status(turn), now)?;
        Ok(match placed {
            Placement::Local(req) => {
                let running = Running::start(tables, workers, &req);
                Next::Here(req, running)
            }
            Placement::Remote(req) => Next::Away(req),
            Placement::Wait(req) => Next::Wait(req),
        })
    })
    .await
}

/// Places a request that a sibling passed on, with its turn if it has waited.
pub(crate) async fn place_forwarded(
    cx: &Context,
    req: Request<Admitted, Forwarded>,
    turn: Option<Turn>,
) -> Result<NextHere, Refusal> {
    let here = cx.settings.region.clone();
    let workers = cx.pool.clone();
    on_worker(cx, req, move |tables, req, now| {
        let placed = gateway::place_forwarded(tables, req, &here, status(turn), now)?;
        Ok(match placed {
            ForwardedPlacement::Local(req) => {
                let running = Running::start(tables, workers, &req);
                NextHere::Here(req, running)
            }
            ForwardedPlacement::Wait(req) => NextHere::Wait(req),
        })
    })
    .await
}

fn status(turn: Option<Turn>) -> QueueStatus {
    turn.map_or(QueueStatus::New, Turn::place)
}

/// Decides on the worker of the request's pool.
///
/// # Errors
///
/// Refuses the request if `f` does, or if the worker's queue is full.
pub(crate) async fn on_worker<O, R, F>(
    cx: &Context,
    req: Request<Admitted, O>,
    f: F,
) -> Result<R, Refusal>
where
    O: Send + 'static,
    R: Send + 'static,
    F: FnOnce(&Tables, Request<Admitted, O>, Duration) -> Result<R, Refusal> + Send + 'static,
{
    let outcome = if req.was_dispatched() {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    let (by, clock) = (req.grant().pool.clone(), cx.clock);
    let job = move |tables: &Tables| f(tables, req, clock.now());
    cx.pool.run(by.as_str(), job).await.unwrap_or_else(|_| {
        let refusal = Refusal::not_run(Code::Overloaded, Step::Place, Peer::Local);
        Err(Refusal { outcome, ..refusal })
    })
}
