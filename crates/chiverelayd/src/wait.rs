//! Waits for a slot of a pool.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::QueueWaker;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::keys;
use crate::placing;

/// Time between two looks for slots that other instances gave up.
const INTERVAL: Duration = Duration::from_millis(100);

/// Waits until it is the request's turn.
pub(crate) async fn slot<O>(
    cx: &Context,
    req: Request<Admitted, O>,
) -> Result<Request<Admitted, O>, Refusal>
where
    O: Send + 'static,
{
    let (tx, rx) = oneshot::channel();
    let waker = QueueWaker::new(move || tx.send(()).is_ok());
    let now = cx.clock.now();
    let req = placing::on_worker(cx, req, move |tables, req, now| {
        gateway::enqueue(tables, req, waker, now)
    })
    .await?;
    let account = req.grant().account.clone();
    cx.record(
        &req.meta().id,
        account.as_ref(),
        Step::Place,
        Peer::Local,
        "waits for a slot",
    );
    let left = req.meta().deadline.saturating_sub(now);
    let under = keys::enter(cx, req.key());
    let turn = tokio::select! {
        turn = tokio::time::timeout(left, rx) => turn,
        () = under.withdrawn() => return Err(keys::refuse(req)),
    };
    match turn {
        Ok(Ok(())) => Ok(req),
        _ => Err(req.refuse(Code::DeadlineExceeded, Step::Place, Peer::Local)),
    }
}

/// Wakes waiting requests for free slots until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        tokio::select! {
            () = cx.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        cx.pump();
    }
}
