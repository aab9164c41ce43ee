//! Waits for a slot of a pool.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::QueueStatus;
use chiverelay_decisions::gateway::QueueWaker;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::context::Context;
use crate::keys;
use crate::placing;
use crate::workers;

/// Time between two looks for slots that other instances gave up.
const INTERVAL: Duration = Duration::from_millis(100);

/// A woken request's claim on a slot of its pool, given up when it is dropped.
#[derive(Debug)]
pub(crate) struct Turn {
    workers: workers::Pool,
    pool: Pool,
    here: Region,
    clock: Clock,
    is_used: bool,
}

impl Turn {
    /// Leaves it to the placement to count the turn as ended.
    pub(crate) fn place(mut self) -> QueueStatus {
        self.is_used = true;
        QueueStatus::Woken
    }

    /// Hands the turn to the request, if it still waits.
    fn hand_over(self, tx: oneshot::Sender<Self>) -> bool {
        let Err(mut turn) = tx.send(self) else {
            return true;
        };
        // The queue knows that it woke nobody.
        turn.is_used = true;
        false
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let (pool, here, clock) = (self.pool.clone(), self.here.clone(), self.clock);
        self.workers.tell(self.pool.as_str(), move |tables| {
            gateway::abandon_turn(tables, &pool, &here, clock.now());
        });
    }
}

/// Waits until it is the request's turn.
pub(crate) async fn slot<O>(
    cx: &Context,
    req: Request<Admitted, O>,
) -> Result<(Request<Admitted, O>, Turn), Refusal>
where
    O: Send + 'static,
{
    let (tx, rx) = oneshot::channel();
    let workers = cx.pool.clone();
    let (pool, here, clock) = (
        req.grant().pool.clone(),
        cx.settings.region.clone(),
        cx.clock,
    );
    let waker = QueueWaker::new(move || {
        let turn = Turn {
            workers,
            pool,
            here,
            clock,
            is_used: false,
        };
        turn.hand_over(tx)
    });
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
        Ok(Ok(turn)) => Ok((req, turn)),
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
