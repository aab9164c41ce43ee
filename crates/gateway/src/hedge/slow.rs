//! Extra attempts at requests whose target is slow in comparison with others.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::request::Request;
use chiverelay_target::connection_pool::Purpose;

use super::Hedged;
use super::unless_answered;
use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::attempt_failure::AttemptFailure;
use crate::dispatch::Exchanged;
use crate::extra_attempt::ExtraAttempt;
use crate::extra_attempt::ExtraAttemptOutcome;
use crate::place::PlacementContext;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Gives a request to another target of this region as well, if load and
    /// limits allow it. Whichever target begins to answer first has it.
    pub(super) async fn hedge_slow<O, F>(
        self: &Arc<Self>,
        req: &mut Request<Dispatched, O>,
        mut exchanging: Pin<Box<F>>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Hedged<D, O, F>
    where
        O: Origin,
        F: Future<Output = Exchanged>,
    {
        let Some(placed) = self.place_extra_attempt(req, cx) else {
            return Hedged::Stays(exchanging);
        };
        let extra = ExtraAttempt::start(&self.metrics);
        log::info!(
            target: "dispatch",
            id = out.id.as_str(),
            pool = cx.pool.name.as_str(),
            to = placed.req.target().as_str();
            "extra attempt"
        );
        // The connections that are kept for retries after failures are left to
        // those.
        let opening = self.open_for(Purpose::FirstAttempt, placed, cx, out);
        let opening = async { opening.await.ok() };
        let opened = unless_answered(&mut exchanging, opening).await;
        let failure = AttemptFailure::Overtaken;
        let hedged = self.race(opened, failure, req, exchanging, cx, out).await;
        let outcome = outcome_of(&hedged);
        cx.extra_attempt = Some(outcome);
        extra.finish(outcome);
        hedged
    }
}

fn outcome_of<D, O, F>(hedged: &Hedged<D, O, F>) -> ExtraAttemptOutcome
where
    D: Dialect,
{
    match hedged {
        Hedged::First(_) => ExtraAttemptOutcome::Cancelled,
        Hedged::Moved(_, sent) if sent.is_ok() => ExtraAttemptOutcome::Won,
        Hedged::Moved(..) | Hedged::Stays(_) => ExtraAttemptOutcome::Failed,
    }
}
