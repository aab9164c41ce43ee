//! Where a request may go from a silent target if no other target of its region
//! takes it.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::place::Destination;
use crate::place::PlacementContext;
use crate::remote_answer::StartedForward;

/// Places outside the region that may take a request from its silent target.
pub(crate) trait Elsewhere<D, O>: Send + Sync
where
    D: Dialect,
{
    /// An answer that has begun there.
    type Answer: Send;

    /// Sends a copy of the request there, beside the attempt that goes on, and
    /// counts the attempts in `cx`. `None` if nobody has taken it.
    fn ask(
        &self,
        gateway: &Arc<Gateway<D>>,
        req: &mut Request<Dispatched, O>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> impl Future<Output = Option<Self::Answer>> + Send;
}

/// The request stays in its region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nowhere;

impl<D, O> Elsewhere<D, O> for Nowhere
where
    D: Dialect,
    O: Send,
{
    type Answer = Infallible;

    async fn ask(
        &self,
        _gateway: &Arc<Gateway<D>>,
        _req: &mut Request<Dispatched, O>,
        _cx: &mut PlacementContext,
        _out: &Outbound,
    ) -> Option<Infallible> {
        None
    }
}

/// The request may be forwarded to another region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherRegion;

impl<D> Elsewhere<D, Direct> for OtherRegion
where
    D: Dialect,
{
    type Answer = Box<StartedForward>;

    async fn ask(
        &self,
        gateway: &Arc<Gateway<D>>,
        req: &mut Request<Dispatched, Direct>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Option<Box<StartedForward>> {
        // Two targets may not both go on with a stream for as long as another
        // region takes to begin.
        if out.last_event_id.is_some() || !gateway.may_move_to_other_region(req, cx) {
            return None;
        }
        let copy = req.duplicate()?;
        let Ok(Destination::Remote(placed)) = gateway.choose_destination(copy, cx) else {
            return None;
        };
        req.mark_asked(placed.instance().clone());
        // `attempts_left` still includes the attempt that goes on.
        cx.attempts_left = cx.attempts_left.saturating_sub(1);
        let answer = gateway.forward_beside(placed, cx, out).await;
        cx.attempts_left += 1;
        answer
    }
}
