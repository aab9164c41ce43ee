//! Forwards a caller's request to an instance in another region.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Answer;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;
use chiverelay_sibling::read_headers;
use chiverelay_sibling::write_headers;
use hyper::HeaderMap;
use hyper::StatusCode;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::outcome::Fallback;
use crate::place::PlacementContext;
use crate::relay::AnswerSource;
use crate::remote_relay::RemoteRelay;
use crate::remote_relay::RemoteStart;

/// Result of forwarding a request.
pub(crate) enum ForwardOutcome {
    /// The other instance has started to answer.
    Answered(Reply),
    /// The request may be tried at another destination. The fallback is
    /// returned if there is none.
    Retry(Request<Admitted, Direct>, Fallback),
    /// The request has failed and may not be retried.
    Refused(Refusal),
}

/// Status and headers of an answer that another instance relays, with the
/// stream of its body.
struct RemoteHead {
    status: StatusCode,
    headers: HeaderMap,
    answer: Answer,
    /// Number of targets in the other region that may have run the request.
    attempts_used: u32,
}

/// Reason why the status and headers of an answer did not arrive.
enum ForwardFailure {
    /// The other instance refused the request. The number counts the targets
    /// in its region that may have run the request.
    Refused(Refusal, u32),
    /// The exchange with the other instance failed.
    ExchangeFailed(String),
    /// No answer began before the request's deadline.
    TimedOut,
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
        let Some(link) = self.links.get(&instance) else {
            let refusal = req.refusal(Code::Unavailable, Step::Connect, peer);
            return ForwardOutcome::Retry(req.unplace(), refusal.into());
        };
        let deadline = self.shutdown.limit(req.meta().deadline);
        let left = deadline.saturating_sub(self.clock.now());
        let message = forward_message(&req, cx, out, left);
        let req = req.dispatch();
        self.metrics.count_forward();
        let sent = self.clock.now();
        let head = tokio::time::timeout(left, send_forward(&link, message)).await;
        let took = self.clock.now().saturating_sub(sent);
        if matches!(head, Ok(Ok(_))) {
            self.metrics.record_forward("answered", took);
        }
        match head.unwrap_or(Err(ForwardFailure::TimedOut)) {
            Ok(head) => self.relay_remote_reply(req, cx, head).await,
            Err(failure) => self.handle_forward_failure(req, cx, out, failure, took),
        }
    }

    /// Relays a stream as it arrives. Any other answer is read first, unless it
    /// is long, so that the request can still be retried if the answer breaks
    /// off or is a server error.
    async fn relay_remote_reply(
        self: &Arc<Self>,
        req: Request<Dispatched, Direct>,
        cx: &mut PlacementContext,
        head: RemoteHead,
    ) -> ForwardOutcome {
        // An answer means that at least one target ran the request.
        let attempts_used = head.attempts_used.max(1);
        let mut relay = RemoteRelay::new(Arc::clone(self), &req, head.answer);
        let is_relayed_at_once = cx.route.kind.is_stream() && head.status.is_success();
        let start = match is_relayed_at_once {
            true => RemoteStart::Partial,
            false => match relay.read_start().await {
                Ok(start) => start,
                Err(e) => {
                    log::info!(target: "forward", id = req.meta().id.as_str(), peer:% = req.peer(), reason:% = e; "answer ended early");
                    return self.retry_possibly_run_remotely(
                        req,
                        cx,
                        Code::SiblingFailed,
                        attempts_used,
                    );
                }
            },
        };
        let (body, is_complete) = match start {
            RemoteStart::Complete(data) => (ReplyBody::Full(data), true),
            RemoteStart::Partial => (ReplyBody::Chunks(relay.into_stream()), false),
        };
        let reply = Reply {
            status: head.status,
            headers: head.headers,
            body,
        };
        if !is_complete || !reply.status.is_server_error() {
            // Ends the request's life cycle.
            drop(req.answered());
            return ForwardOutcome::Answered(reply);
        }
        self.handle_remote_error(req, cx, reply, attempts_used)
    }

    /// Retries a request that a target in another region answered with a server
    /// error, or passes that answer on if no retry is allowed.
    fn handle_remote_error(
        &self,
        req: Request<Dispatched, Direct>,
        cx: &mut PlacementContext,
        reply: Reply,
        attempts_used: u32,
    ) -> ForwardOutcome {
        let peer = req.peer().clone();
        cx.attempts_left = cx.attempts_left.saturating_sub(attempts_used);
        if cx.attempts_left == 0
            || !cx.route.kind.is_repeatable()
            || !self.try_consume_retry(cx, &req.meta().id)
        {
            // Ends the request's life cycle.
            drop(req.answered());
            return ForwardOutcome::Answered(reply);
        }
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(Code::TargetFailed, Step::Forward, peer);
                let reply = Some(Box::new(reply));
                ForwardOutcome::Retry(req, Fallback { refusal, reply })
            }
            Err(req) => {
                ForwardOutcome::Refused(req.refuse_unknown(Code::TargetFailed, Step::Forward))
            }
        }
    }

    /// Logs the failure, and decides whether the request is retried.
    fn handle_forward_failure(
        &self,
        req: Request<Dispatched, Direct>,
        cx: &mut PlacementContext,
        out: &Outbound,
        failure: ForwardFailure,
        took: Duration,
    ) -> ForwardOutcome {
        let (label, reason) = match &failure {
            // Refused by the other instance.
            ForwardFailure::Refused(refusal, _) => ("refused there", refusal.code.as_str()),
            ForwardFailure::ExchangeFailed(reason) => ("broken off", reason.as_str()),
            ForwardFailure::TimedOut => ("late", "no answer in time"),
        };
        self.metrics.record_forward(label, took);
        log::info!(
            target: "forward",
            id = out.id.as_str(),
            peer:% = req.peer(),
            outcome = label,
            reason,
            took_ms = took.as_millis() as u64;
            "forward failed"
        );
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
            // The number of targets there that may have run the request is
            // unknown; one is assumed.
            ForwardFailure::ExchangeFailed(_) => {
                self.retry_possibly_run_remotely(req, cx, Code::SiblingFailed, 1)
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

/// Sends a forwarded request and waits for the status and headers of its
/// answer.
async fn send_forward(link: &Link<Up>, message: Forward) -> Result<RemoteHead, ForwardFailure> {
    let exchange_failed =
        |e: chiverelay_sibling::Error| ForwardFailure::ExchangeFailed(e.to_string());
    let mut answer = link
        .forward(Stamp::default(), message)
        .await
        .map_err(exchange_failed)?;
    let mut attempts_used = 0;
    loop {
        match answer.next().await.map_err(exchange_failed)? {
            Frame::Ran(count) => attempts_used = count,
            Frame::Head { status, headers } => {
                let status = StatusCode::from_u16(status);
                return Ok(RemoteHead {
                    status: status.map_err(|e| ForwardFailure::ExchangeFailed(e.to_string()))?,
                    headers: read_headers(&headers),
                    answer,
                    attempts_used,
                });
            }
            Frame::Refused(refusal) => return Err(ForwardFailure::Refused(refusal, attempts_used)),
            Frame::Data(_) | Frame::End | Frame::Stamp(_) => {
                return Err(ForwardFailure::ExchangeFailed(
                    "unexpected frame before the head of the answer".to_owned(),
                ));
            }
        }
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
        remaining_ms: left.as_millis() as u64,
        prompt_tokens: meta.prompt_tokens,
        max_answer_tokens: meta.max_answer_tokens,
        // Cached prefixes are recognized by `parts` instead.
        prefix: Vec::new(),
        parts: cx.parts.to_vec(),
        attempts: cx.attempts_left,
        last_event_id: out.last_event_id,
        method: out.method.to_string(),
        path_and_query: out.path_and_query.clone(),
        headers: write_headers(&out.headers),
        body: out.body.to_vec(),
    }
}
