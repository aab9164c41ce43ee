//! The shutdown of the instance, as far as requests depend on it.

use std::future::Future;
use std::sync::OnceLock;
use std::time::Duration;

use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::shutdown::RequestTimes;
use chiverelay_decisions::shutdown::ShutdownDeadline;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use tokio_util::sync::CancellationToken;

use crate::Dialect;
use crate::Gateway;
use crate::place::PlacementContext;

/// Retry delay for a request that comes too late. Other instances can take it
/// at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// State of the shutdown.
///
/// # Invariants
///
/// `deadline` is set before `over` is cancelled.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    deadline: OnceLock<ShutdownDeadline>,
    /// Cancelled when the time for open requests is over.
    over: CancellationToken,
}

impl Shutdown {
    /// Sets the deadline. Only the first one counts.
    pub(crate) fn begin(&self, deadline: ShutdownDeadline) {
        self.deadline.get_or_init(|| deadline);
    }

    /// Tells whether the shutdown has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.deadline.get().is_some()
    }

    /// Ends what still runs under [`Shutdown::run_until_over`].
    pub(crate) fn end(&self) {
        self.over.cancel();
    }

    /// Tells whether the time for open requests is over.
    pub(crate) fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }

    /// Runs a part of a request; `None` if the time for open requests ends
    /// first.
    pub(crate) async fn run_until_over<F>(&self, part: F) -> Option<F::Output>
    where
        F: Future,
    {
        self.over.run_until_cancelled(part).await
    }

    /// Returns the deadline of an attempt at a request with this deadline.
    pub(crate) fn limit(&self, deadline: Duration) -> Duration {
        let shutdown = self.deadline.get();
        shutdown.map_or(deadline, |shutdown| shutdown.limit(deadline))
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Checks that a request that waits for `queue_delay` in its target's queue
    /// can end before the instance does.
    pub(crate) fn check_shutdown<O>(
        &self,
        req: &Request<Admitted, O>,
        cx: &PlacementContext,
        queue_delay: Duration,
        now: Duration,
    ) -> Result<(), Refusal> {
        if self.can_end_before_shutdown(cx, req.meta().deadline, queue_delay, now) {
            return Ok(());
        }
        let refusal = req.refusal(Code::Draining, Step::Place, Peer::Local);
        Err(refusal.with_retry_after(RETRY_AFTER))
    }

    /// Tells whether a request with this deadline that is given to a target now,
    /// and waits for `queue_delay` there, can end before the instance does.
    pub(crate) fn can_end_before_shutdown(
        &self,
        cx: &PlacementContext,
        deadline: Duration,
        queue_delay: Duration,
        now: Duration,
    ) -> bool {
        let Some(shutdown) = self.shutdown.deadline.get() else {
            return true;
        };
        let times = RequestTimes {
            deadline,
            usual: self.usual_time(cx).saturating_add(queue_delay),
        };
        shutdown.accepts(cx.route.kind, times, now)
    }

    /// Returns the usual time of such a request, without the wait in a queue.
    fn usual_time(&self, cx: &PlacementContext) -> Duration {
        let performance = self.tables.traffic.lock().performance(&cx.pool.name);
        match cx.route.kind.is_stream() {
            true => performance.prefill_time(cx.prompt_tokens) + performance.generation_time(),
            false => performance.service_time(),
        }
    }
}

/// Refuses a request that is still open as the time for open requests ends.
/// `is_placed` tells whether it was given to a target or another instance.
pub(crate) fn refuse_open_request(is_placed: bool) -> Refusal {
    match is_placed {
        true => Refusal::unknown(Code::DeadlineExceeded, Step::Answer, Peer::Local),
        false => {
            Refusal::not_run(Code::Draining, Step::Admit, Peer::Local).with_retry_after(RETRY_AFTER)
        }
    }
}
