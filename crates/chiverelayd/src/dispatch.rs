//! One attempt at a target of this region.

use chiverelay_decisions::gateway;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_target::TargetRequest;
use chiverelay_target::TargetResponse;
use hyper::StatusCode;

use crate::context::Context;
use crate::keys;
use crate::placing::Running;

/// What became of an attempt.
pub(crate) enum Attempt<O> {
    /// The head of an answer arrived.
    Answer(Request<Dispatched, O>, Box<TargetResponse>),
    /// Another target may be tried.
    Again(Request<Admitted, O>),
    /// The request is over.
    Refused(Refusal),
}

/// Tries the request at the target that was chosen.
pub(crate) async fn attempt<O>(
    cx: &Context,
    req: Request<Placed, O>,
    running: Running,
    out: &TargetRequest,
) -> Attempt<O> {
    let (pool, target) = (req.grant().pool.clone(), req.target().clone());
    let config = cx.tables.config.get();
    let entry = config
        .pools
        .get(&req.grant().pool)
        .and_then(|pool| pool.targets.get(&target))
        // A target may have moved since the request was placed.
        .filter(|entry| entry.region == *req.region());
    let Some(entry) = entry else {
        return Attempt::Again(req.unplace());
    };
    let id = req.meta().id.clone();
    let account = req.grant().account.clone();
    let record = |step, what: String| {
        cx.record(
            &id,
            account.as_ref(),
            step,
            Peer::Target(target.clone()),
            what,
        );
    };
    let conn = match cx.targets.connect(&target, entry.address).await {
        Ok(conn) => conn,
        Err(e) => {
            log::warn!("dispatch: {id}: {e}");
            record(Step::Connect, format!("no connection: {e}"));
            cx.observe(&pool, &target, gateway::mark_unreachable);
            return Attempt::Again(req.unplace());
        }
    };
    if !gateway::may_still_run(&cx.tables, &req, req.region()) {
        record(
            Step::Place,
            "not sent: the region is no longer allowed".to_owned(),
        );
        return Attempt::Again(req.unplace());
    }
    let under = keys::enter(cx, req.key());
    if under.is_withdrawn() {
        return Attempt::Refused(keys::refuse(req));
    }
    let left = req.meta().deadline.saturating_sub(cx.clock.now());
    let req = req.dispatch();
    record(Step::Dispatch, "sent".to_owned());
    let sent = tokio::select! {
        sent = tokio::time::timeout(left, conn.send(out.clone())) => sent,
        () = under.withdrawn() => {
            record(Step::Authenticate, "cut: the key was withdrawn".to_owned());
            return Attempt::Refused(req.refuse_unknown(Code::Unauthenticated, Step::Authenticate));
        }
        () = cx.cut.cancelled() => {
            record(Step::Drain, "cut at the drain timeout".to_owned());
            return Attempt::Refused(req.refuse_unknown(Code::Draining, Step::Drain));
        }
    };
    let error = match sent {
        Ok(Ok(answer)) => {
            record(Step::Answer, format!("status {}", answer.status().as_u16()));
            if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
                // The target takes no work, as one that leaves.
                cx.observe(&pool, &target, gateway::mark_unreachable);
                return match req.retry() {
                    Ok(req) => Attempt::Again(req),
                    Err(req) => {
                        running.hand_over();
                        Attempt::Answer(req, Box::new(answer))
                    }
                };
            }
            running.hand_over();
            cx.observe(&pool, &target, gateway::record_success);
            return Attempt::Answer(req, Box::new(answer));
        }
        Ok(Err(e)) => e.to_string(),
        Err(_) => {
            record(Step::Dispatch, "no answer in time".to_owned());
            return Attempt::Refused(req.refuse_unknown(Code::DeadlineExceeded, Step::Dispatch));
        }
    };
    drop(running);
    cx.observe(&pool, &target, gateway::record_failure);
    log::warn!("dispatch: {id}: {error}");
    record(Step::Dispatch, format!("no answer: {error}"));
    match req.retry() {
        Ok(req) => Attempt::Again(req),
        Err(req) => Attempt::Refused(req.refuse_unknown(Code::TargetFailed, Step::Dispatch)),
    }
}
