//! Refusals of requests that can't be placed, or not in time.

use std::time::Duration;

use chiverelay_decisions::admission::spread_retry_after_within;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::Estimate;
use chiverelay_decisions::traffic::NoTargetReason;

use super::PlacementContext;
use crate::handle::max_retry_after;

/// Lower bound for the retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Retry delay for a request that no target could take.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

pub(super) fn refuse_no_target<O>(
    req: &Request<Admitted, O>,
    reason: NoTargetReason,
    now: Duration,
) -> Refusal {
    log::info!(
        target: "place",
        id = req.meta().id.as_str(),
        pool = req.grant().pool.as_str(),
        tried = req.tried_targets().len(),
        why:? = reason;
        "no target can take the request"
    );
    let code = match reason {
        NoTargetReason::NoTarget | NoTargetReason::NoneHealthy => Code::Unavailable,
        NoTargetReason::AllFull
        | NoTargetReason::AllCold
        | NoTargetReason::AllLimited
        | NoTargetReason::NoFreeSlot
        | NoTargetReason::AllPaused(_) => Code::Overloaded,
    };
    let retry_after = match reason {
        NoTargetReason::AllPaused(left) => left.max(MIN_RETRY_AFTER),
        NoTargetReason::NoFreeSlot => {
            let left = req.meta().deadline.saturating_sub(now);
            spread_retry_after_within(rand::random(), max_retry_after(left))
        }
        _ => NO_TARGET_RETRY_AFTER,
    };
    req.refusal(code, Step::Place, Peer::Local)
        .with_retry_after(retry_after)
}

/// Checks that a request can be answered in time at the estimated wait.
///
/// # Errors
///
/// Refuses a request that would wait past its deadline, or that would miss its
/// route's target latency because of the requests queued ahead of it.
pub(super) fn check_wait<O>(
    req: &Request<Admitted, O>,
    cx: &PlacementContext,
    estimate: &Estimate,
    left: Duration,
) -> Result<(), Refusal> {
    if estimate.wait > left {
        return Err(refuse_past_deadline(req, estimate.wait, left));
    }
    if !is_timely(cx, estimate, left) {
        let refusal = req.refusal(Code::Overloaded, Step::Place, Peer::Local);
        return Err(refusal.with_retry_after(estimate.queue_delay.max(MIN_RETRY_AFTER)));
    }
    Ok(())
}

/// Checks that a request may be forwarded to another region at the estimated wait
/// there, as no target of this one would be free if its load fell.
///
/// # Errors
///
/// As for [`check_wait`].
pub(super) fn check_forward(
    req: &Request<Admitted, Direct>,
    cx: &PlacementContext,
    estimate: &Estimate,
    left: Duration,
) -> Result<(), Refusal> {
    let has_asked_sibling = !req.asked_siblings().is_empty();
    match estimate.allows_forward(left, cx.route.target_latency, has_asked_sibling) {
        true => Ok(()),
        false => check_wait(req, cx, estimate, left),
    }
}

/// Checks that a request that was forwarded does not wait for other prompts
/// until it is late.
///
/// # Errors
///
/// Refuses it as not run, so that the sender may choose another place.
pub(super) fn check_prompts<O>(
    req: &Request<Admitted, O>,
    cx: &PlacementContext,
    estimate: &Estimate,
) -> Result<(), Refusal> {
    if cx.is_resumed || !estimate.is_late_behind_prompts(cx.route.target_latency) {
        return Ok(());
    }
    let refusal = req.refusal(Code::Overloaded, Step::Place, Peer::Local);
    Err(refusal.with_retry_after(estimate.queue_delay.max(MIN_RETRY_AFTER)))
}

/// Tells whether a request can be answered in time at the estimated wait. An
/// answer that has begun is continued even if its next event is late.
pub(super) fn is_timely(cx: &PlacementContext, estimate: &Estimate, left: Duration) -> bool {
    let is_late = !cx.is_resumed && estimate.is_late_from_queueing(cx.route.target_latency);
    estimate.wait <= left && !is_late
}

/// Refuses a request that would wait past its deadline. The retry delay is the
/// time by which it would be late.
fn refuse_past_deadline<O>(req: &Request<Admitted, O>, wait: Duration, left: Duration) -> Refusal {
    let late_by = wait.saturating_sub(left).max(MIN_RETRY_AFTER);
    req.refusal(Code::DeadlineExceeded, Step::Place, Peer::Local)
        .with_retry_after(late_by)
}
