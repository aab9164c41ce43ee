//! Passes a caller's request on to an instance of another region.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
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
use crate::far_relay::FarRelay;
use crate::outcome::Setback;
use crate::place::Job;
use crate::relay::Source;

/// What became of a forward.
pub(crate) enum Forwarded {
    /// An answer has begun.
    Answered(Reply),
    /// Another place may be tried; else this setback stands.
    Again(Request<Admitted, Direct>, Setback),
    /// The request is over.
    Refused(Refusal),
}

/// The head of an answer through another instance.
struct FarHead {
    status: StatusCode,
    headers: HeaderMap,
    answer: Answer,
    /// Targets that may have run the request.
    ran: u32,
}

/// Why no head of an answer came.
enum Failure {
    /// The instance's own refusal, after so many targets that may have run the
    /// request.
    Refused(Refusal, u32),
    /// The exchange broke off.
    Broken(String),
    /// There was no head in time.
    Late,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Passes a request on, once, to the instance that was chosen.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        req: Request<PlacedRemote, Direct>,
        job: &mut Job,
        out: &Outbound,
    ) -> Forwarded {
        let instance = req.instance().clone();
        let peer = Peer::Sibling(instance.clone());
        let Some(link) = self.links.get(&instance) else {
            let refusal = req.refusal(Code::Unavailable, Step::Connect, peer);
            return Forwarded::Again(req.unplace(), refusal.into());
        };
        let deadline = req.meta().deadline;
        let left = deadline.saturating_sub(self.clock.now());
        let message = message(&req, job, out, left);
        let req = req.dispatch();
        self.metrics.forward();
        let sent = self.clock.now();
        let head = tokio::time::timeout(left, open(&link, message)).await;
        let took = self.clock.now().saturating_sub(sent);
        if matches!(head, Ok(Ok(_))) {
            self.metrics.forwarded("answered", took);
        }
        match head.unwrap_or(Err(Failure::Late)) {
            Ok(head) => self.far_reply(req, job, head).await,
            Err(failure) => self.not_answered(req, job, out, failure, took),
        }
    }

    async fn far_reply(
        self: &Arc<Self>,
        req: Request<Dispatched, Direct>,
        job: &mut Job,
        head: FarHead,
    ) -> Forwarded {
        let ran = head.ran.max(1);
        let mut relay = FarRelay::new(Arc::clone(self), &req, head.answer);
        if job.route.kind.is_stream() && head.status.is_success() {
            drop(req.answered());
            return Forwarded::Answered(Reply {
                status: head.status,
                headers: head.headers,
                body: ReplyBody::Pieces(relay.pieces()),
            });
        }
        let mut data = BytesMut::new();
        loop {
            match relay.next().await {
                None => break,
                Some(Ok(piece)) => data.extend_from_slice(&piece),
                Some(Err(broken)) => {
                    log::info!(target: "forward", id = req.meta().id.as_str(), peer:% = req.peer(), reason:% = broken; "answer cut");
                    return self.repeat_elsewhere(req, job, Code::SiblingFailed, ran);
                }
            }
        }
        let reply = Reply {
            status: head.status,
            headers: head.headers,
            body: ReplyBody::Full(data.freeze()),
        };
        if !reply.status.is_server_error() {
            drop(req.answered());
            return Forwarded::Answered(reply);
        }
        self.failed_there(req, job, reply, ran)
    }

    /// Tries a request again that a target of another region failed, or passes
    /// its answer on.
    fn failed_there(
        &self,
        req: Request<Dispatched, Direct>,
        job: &mut Job,
        reply: Reply,
        ran: u32,
    ) -> Forwarded {
        let peer = req.peer().clone();
        job.attempts = job.attempts.saturating_sub(ran);
        if job.attempts == 0 || !job.route.kind.is_repeatable() || !self.may_retry(job) {
            drop(req.answered());
            return Forwarded::Answered(reply);
        }
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(Code::TargetFailed, Step::Forward, peer);
                let reply = Some(Box::new(reply));
                Forwarded::Again(req, Setback { refusal, reply })
            }
            Err(req) => Forwarded::Refused(req.refuse_unknown(Code::TargetFailed, Step::Forward)),
        }
    }

    fn not_answered(
        &self,
        req: Request<Dispatched, Direct>,
        job: &mut Job,
        out: &Outbound,
        failure: Failure,
        took: Duration,
    ) -> Forwarded {
        let (what, reason) = match &failure {
            Failure::Refused(refusal, _) => ("refused there", refusal.code.as_str()),
            Failure::Broken(reason) => ("broken off", reason.as_str()),
            Failure::Late => ("late", "no answer in time"),
        };
        self.metrics.forwarded(what, took);
        log::info!(
            target: "forward",
            id = out.id.as_str(),
            peer:% = req.peer(),
            outcome = what,
            reason,
            took_ms = took.as_millis() as u64;
            "forward without an answer"
        );
        match failure {
            // The other instance has another catalog, and others there likely
            // have it too.
            Failure::Refused(refusal, _)
                if matches!(refusal.step, Step::Authenticate | Step::Route) =>
            {
                Forwarded::Refused(req.into_sibling_refusal(refusal))
            }
            Failure::Refused(refusal, ran) => match req.undo_forward(&refusal) {
                // It came to a target there, so the next one is a retry.
                Ok(_) if refusal.step == Step::Dispatch && !self.may_retry(job) => {
                    Forwarded::Refused(refusal)
                }
                Ok(req) => Forwarded::Again(req, refusal.into()),
                Err(req) if refusal.code == Code::TargetFailed => {
                    self.repeat_elsewhere(req, job, refusal.code, ran)
                }
                Err(req) => Forwarded::Refused(req.into_sibling_refusal(refusal)),
            },
            Failure::Broken(_) => self.repeat_elsewhere(req, job, Code::SiblingFailed, 1),
            Failure::Late => {
                Forwarded::Refused(req.refuse_unknown(Code::DeadlineExceeded, Step::Forward))
            }
        }
    }

    /// Starts another attempt at a request that may have run, if it may.
    fn repeat_elsewhere(
        &self,
        req: Request<Dispatched, Direct>,
        job: &mut Job,
        code: Code,
        ran: u32,
    ) -> Forwarded {
        job.attempts = job.attempts.saturating_sub(ran);
        if job.attempts == 0 || !self.may_retry(job) {
            return Forwarded::Refused(req.refuse_unknown(code, Step::Forward));
        }
        let peer = req.peer().clone();
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(code, Step::Forward, peer);
                Forwarded::Again(req, refusal.into())
            }
            Err(req) => Forwarded::Refused(req.refuse_unknown(code, Step::Forward)),
        }
    }
}

async fn open(link: &Link<Up>, message: Forward) -> Result<FarHead, Failure> {
    let broken = |e: chiverelay_sibling::Error| Failure::Broken(e.to_string());
    let mut answer = link
        .forward(Stamp::default(), message)
        .await
        .map_err(broken)?;
    let mut ran = 0;
    loop {
        match answer.next().await.map_err(broken)? {
            Frame::Ran(targets) => ran = targets,
            Frame::Head { status, headers } => {
                let status = StatusCode::from_u16(status);
                return Ok(FarHead {
                    status: status.map_err(|e| Failure::Broken(e.to_string()))?,
                    headers: read_headers(&headers),
                    answer,
                    ran,
                });
            }
            Frame::Refused(refusal) => return Err(Failure::Refused(refusal, ran)),
            Frame::Data(_) | Frame::End | Frame::Stamp(_) => {
                return Err(Failure::Broken("no head".to_owned()));
            }
        }
    }
}

fn message(
    req: &Request<PlacedRemote, Direct>,
    job: &Job,
    out: &Outbound,
    left: Duration,
) -> Forward {
    let head = req.meta();
    Forward {
        id: head.id.clone(),
        account: req.grant().account.clone(),
        route: req.grant().route.clone(),
        remaining_ms: left.as_millis() as u64,
        prompt_tokens: head.prompt_tokens,
        max_answer_tokens: head.max_answer_tokens,
        prefix: Vec::new(),
        parts: job.parts.to_vec(),
        attempts: job.attempts,
        last_event_id: out.last_event_id,
        method: out.method.to_string(),
        path_and_query: out.path_and_query.clone(),
        headers: write_headers(&out.headers),
        body: out.body.to_vec(),
    }
}
