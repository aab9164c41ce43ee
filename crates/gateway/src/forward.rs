//! Forwards a caller's request to an instance in another region.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;
use chiverelay_sibling::write_headers;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::answer;
use crate::answer::AnswerStart;
use crate::links::AnsweredLink;
use crate::memory::RequestMemory;
use crate::outcome::Fallback;
use crate::place::PlacementContext;
use crate::remote_answer::ForwardFailure;
use crate::remote_answer::RemoteAnswer;
use crate::remote_answer::StartedForward;

/// Time in which this instance reads what has arrived on its links.
const READ_TIME: Duration = Duration::from_millis(50);

/// Largest number of waits for [`READ_TIME`]. A wait is repeated if this process
/// was paused during it.
const MAX_READS: usize = 4;

/// Result of forwarding a request.
pub(crate) enum ForwardOutcome {
    /// The other instance has started to answer.
    Answered(Box<StartedForward>),
    /// The request may be tried at another destination. The fallback is
    /// returned if there is none.
    Retry(Request<Admitted, Direct>, Fallback),
    /// The request has failed and may not be retried.
    Refused(Refusal),
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Forwards a request once to the instance that was chosen for it.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        req: Request<PlacedRemote, Direct>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> ForwardOutcome {
        let instance = req.instance().clone();
        let peer = Peer::Sibling(instance.clone());
        let Some(link) = self.answered_link(&instance).await else {
            let refusal = req.refusal(Code::Unavailable, Step::Connect, peer);
            return ForwardOutcome::Retry(req.unplace(), refusal.into());
        };
        if !self.check_instance_region(&req, cx) {
            let refusal = req.refusal(Code::Unavailable, Step::Place, peer);
            return ForwardOutcome::Retry(req.unplace(), refusal.into());
        }
        let held = match self.reserve_forward(out) {
            Ok(held) => held,
            Err(refusal) => return ForwardOutcome::Retry(req.unplace(), refusal.into()),
        };
        match self.send_forward(req, &link, held, cx, out).await {
            Ok(started) => self.accept_remote_answer(*started, cx),
            Err((req, failure)) => self.handle_forward_failure(req, cx, out, failure),
        }
    }

    /// Returns the link on which to forward a request to an instance. There is
    /// none if its process leaves unanswered what was sent on the link, as one
    /// does that was killed.
    async fn answered_link(&self, instance: &Instance) -> Option<Link<Up>> {
        let mut has_read = false;
        for _ in 0..=MAX_READS {
            let looked_at = self.clock.now();
            match self.links.get_answered(instance, looked_at) {
                AnsweredLink::Open(link) => return Some(link),
                AnsweredLink::None => return None,
                AnsweredLink::Overdue if has_read => break,
                AnsweredLink::Overdue => tokio::time::sleep(READ_TIME).await,
            }
            // A sleep that took twice as long means that this process was paused, and
            // datagrams may still be unread.
            has_read = self.clock.now() < looked_at + 2 * READ_TIME;
        }
        self.links.give_up(instance);
        None
    }

    /// Reserves the memory to forward a request.
    fn reserve_forward(&self, out: &Outbound) -> Result<Reservation, Refusal> {
        // The message and its encoding have a copy of the body each.
        self.memory.reserve_message(2 * out.body.len())
    }

    /// Forwards a request on a link and reads the start of the answer. `held` is
    /// the memory of the message.
    ///
    /// # Errors
    ///
    /// Returns the request and why the start did not arrive.
    async fn send_forward(
        &self,
        req: Request<PlacedRemote, Direct>,
        link: &Link<Up>,
        held: Reservation,
        cx: &PlacementContext,
        out: &Outbound,
    ) -> Result<Box<StartedForward>, (Request<Dispatched, Direct>, ForwardFailure)> {
        let deadline = self.shutdown.limit(req.meta().deadline);
        let left = deadline.saturating_sub(self.clock.now());
        let message = forward_message(&req, cx, out, left);
        let req = req.dispatch();
        self.metrics.count_forward();
        let sent = self.clock.now();
        self.links.record_sent(&link.peer().instance, sent);
        let exchange = exchange_with_sibling(link, message, held, out, &self.memory);
        let started = tokio::time::timeout(left, exchange).await;
        let took = self.clock.now().saturating_sub(sent);
        let started = started.unwrap_or(Err(ForwardFailure::TimedOut));
        match self.check_software(started, cx) {
            Ok((answer, start)) => {
                self.metrics.record_forward("answered", took);
                Ok(Box::new(StartedForward { req, answer, start }))
            }
            Err(failure) => {
                self.record_forward_failure(req.peer(), out, &failure, took);
                Err((req, failure))
            }
        }
    }

    /// Turns the start of an answer into a failure if the answer may be of other
    /// software than the stream that it has to continue.
    fn check_software(
        &self,
        started: Result<(RemoteAnswer, AnswerStart), ForwardFailure>,
        cx: &PlacementContext,
    ) -> Result<(RemoteAnswer, AnswerStart), ForwardFailure> {
        let (answer, start) = started?;
        match self.may_use_remote_answer(cx, &answer) {
            true => Ok((answer, start)),
            false => {
                let reason = "the rest is of other software".to_owned();
                Err(ForwardFailure::ExchangeFailed(reason, answer.attempts_used))
            }
        }
    }

    /// Forwards a request that another target still has, and counts the
    /// attempts at targets of the other region. `None` if that region has not
    /// taken the request.
    pub(crate) async fn forward_beside(
        self: &Arc<Self>,
        req: Request<PlacedRemote, Direct>,
        cx: &mut PlacementContext,
        out: &Outbound,
    ) -> Option<Box<StartedForward>> {
        let link = self.answered_link(req.instance()).await?;
        if !self.check_instance_region(&req, cx) {
            return None;
        }
        let held = self.reserve_forward(out).ok()?;
        match self.send_forward(req, &link, held, cx, out).await {
            Ok(mut started) => {
                let attempts_used = started.answer.take_new_attempts();
                cx.attempts_left = cx.attempts_left.saturating_sub(attempts_used);
                let is_taken = !started.answer.status.is_server_error();
                is_taken.then_some(started)
            }
            Err((_, failure)) => {
                let attempts_used = failure.attempts_used();
                cx.attempts_left = cx.attempts_left.saturating_sub(attempts_used);
                None
            }
        }
    }

    /// Counts the attempts at targets of the other region, and returns the
    /// answer unless it is a server error that is retried.
    fn accept_remote_answer(
        &self,
        mut started: StartedForward,
        cx: &mut PlacementContext,
    ) -> ForwardOutcome {
        let attempts_used = started.answer.take_new_attempts();
        cx.attempts_left = cx.attempts_left.saturating_sub(attempts_used);
        let is_retried = started.start.is_complete
            && started.answer.status.is_server_error()
            && cx.attempts_left > 0
            && cx.route.kind.is_repeatable()
            && self.try_consume_retry(cx, &started.req.meta().id);
        match is_retried {
            true => retry_server_error(started),
            false => ForwardOutcome::Answered(Box::new(started)),
        }
    }

    /// Records a failed forward in metrics and log.
    fn record_forward_failure(
        &self,
        peer: &Peer,
        out: &Outbound,
        failure: &ForwardFailure,
        took: Duration,
    ) {
        let (label, reason) = match failure {
            // Refused by the other instance.
            ForwardFailure::Refused(refusal, _) => ("refused there", refusal.code.as_str()),
            ForwardFailure::ExchangeFailed(reason, _) => ("broken off", reason.as_str()),
            ForwardFailure::NotSent => ("not sent", "no stream is free"),
            ForwardFailure::TimedOut => ("late", "no answer in time"),
        };
        self.metrics.record_forward(label, took);
        log::info!(
            target: "forward",
            id = out.id.as_str(),
            peer:% = peer,
            outcome = label,
            reason,
            took_ms = took.as_millis() as u64;
            "forward failed"
        );
    }

    /// Decides whether a request whose forward has failed is retried.
    fn handle_forward_failure(
        &self,
        req: Request<Dispatched, Direct>,
        cx: &mut PlacementContext,
        out: &Outbound,
        failure: ForwardFailure,
    ) -> ForwardOutcome {
        match failure {
            // The catalogs of the two instances differ. Other instances of that
            // region likely use the same catalog as the one that refused, so a
            // retry there is likely refused too.
            ForwardFailure::Refused(refusal, _)
                if matches!(refusal.step, Step::Authenticate | Step::Route) =>
            {
                ForwardOutcome::Refused(req.into_sibling_refusal(refusal))
            }
            // What the other instance knows of crashes holds in all regions.
            ForwardFailure::Refused(refusal, _)
                if matches!(refusal.code, Code::Suspended | Code::Quarantined) =>
            {
                ForwardOutcome::Refused(req.into_sibling_refusal(refusal))
            }
            ForwardFailure::Refused(refusal, attempts_used) => match req.undo_forward(&refusal) {
                // A target there turned the request down, so the next attempt
                // counts against the retry budget.
                Ok(_) if refusal.step == Step::Dispatch && !self.try_consume_retry(cx, &out.id) => {
                    ForwardOutcome::Refused(refusal)
                }
                Ok(req) => ForwardOutcome::Retry(req, refusal.into()),
                Err(req) if refusal.code == Code::TargetFailed => {
                    self.retry_possibly_run_remotely(req, cx, refusal.code, attempts_used)
                }
                Err(req) => ForwardOutcome::Refused(req.into_sibling_refusal(refusal)),
            },
            ForwardFailure::ExchangeFailed(_, attempts_used) => {
                self.retry_possibly_run_remotely(req, cx, Code::SiblingFailed, attempts_used)
            }
            ForwardFailure::NotSent => {
                let peer = req.peer().clone();
                let req = req.undo_dispatch();
                let refusal = req.refusal(Code::Overloaded, Step::Forward, peer);
                ForwardOutcome::Retry(req, refusal.into())
            }
            ForwardFailure::TimedOut => {
                ForwardOutcome::Refused(req.refuse_unknown(Code::DeadlineExceeded, Step::Forward))
            }
        }
    }

    /// Retries a forwarded request that may have run, if it is repeatable, has
    /// attempts left, and the retry budget allows it.
    fn retry_possibly_run_remotely(
        &self,
        req: Request<Dispatched, Direct>,
        cx: &mut PlacementContext,
        code: Code,
        attempts_used: u32,
    ) -> ForwardOutcome {
        cx.attempts_left = cx.attempts_left.saturating_sub(attempts_used);
        if cx.attempts_left == 0
            || self.is_suspected(cx)
            || !self.try_consume_retry(cx, &req.meta().id)
        {
            return ForwardOutcome::Refused(req.refuse_unknown(code, Step::Forward));
        }
        let peer = req.peer().clone();
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(code, Step::Forward, peer);
                ForwardOutcome::Retry(req, refusal.into())
            }
            Err(req) => ForwardOutcome::Refused(req.refuse_unknown(code, Step::Forward)),
        }
    }
}

/// Retries a request that a target in another region answered with a server
/// error. That answer is returned if there is no other destination.
fn retry_server_error(started: StartedForward) -> ForwardOutcome {
    let peer = started.req.peer().clone();
    let reply = Reply {
        status: started.answer.status,
        headers: started.answer.headers,
        body: ReplyBody::Full(started.start.data),
        software: started.answer.software,
    };
    match started.req.retry() {
        Ok(req) => {
            let refusal = req.refusal(Code::TargetFailed, Step::Forward, peer);
            let reply = Some(Box::new(reply));
            ForwardOutcome::Retry(req, Fallback { refusal, reply })
        }
        Err(req) => ForwardOutcome::Refused(req.refuse_unknown(Code::TargetFailed, Step::Forward)),
    }
}

/// Sends a forwarded request and reads the start of its answer: a stream up to
/// its first event, and any other answer to its end unless it is long. Up to
/// there the request can still be retried.
async fn exchange_with_sibling(
    link: &Link<Up>,
    message: Forward,
    held: Reservation,
    out: &Outbound,
    memory: &RequestMemory,
) -> Result<(RemoteAnswer, AnswerStart), ForwardFailure> {
    let mut answer = RemoteAnswer::request(link, message).await?;
    drop(held);
    let framing = match out.is_streaming && answer.status.is_success() {
        true => Framing::NumberedEvents,
        false => Framing::Delimited,
    };
    match answer::read_start(&mut answer, framing, out.last_event_id, memory).await {
        Ok(start) => Ok((answer, start)),
        Err(reason) => Err(ForwardFailure::ExchangeFailed(reason, answer.attempts_used)),
    }
}

fn forward_message(
    req: &Request<PlacedRemote, Direct>,
    cx: &PlacementContext,
    out: &Outbound,
    left: Duration,
) -> Forward {
    let meta = req.meta();
    Forward {
        id: meta.id.clone(),
        account: req.grant().account.clone(),
        route: req.grant().route.clone(),
        pool: req.grant().pool.clone(),
        config_version: cx.catalog_version,
        remaining_ms: left.as_millis() as u64,
        is_resumed: cx.is_resumed,
        prompt_tokens: meta.prompt_tokens,
        max_answer_tokens: meta.max_answer_tokens,
        // Cached prefixes are recognized by `parts` instead.
        prefix: Vec::new(),
        parts: cx.parts.to_vec(),
        attempts: cx.attempts_left,
        last_event_id: out.last_event_id,
        software: cx.software.clone(),
        method: out.method.to_string(),
        path_and_query: out.path_and_query.clone(),
        headers: write_headers(&out.headers),
        body: out.body.to_vec(),
    }
}
