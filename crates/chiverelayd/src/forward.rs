//! Passes a caller's request on to a sibling.

use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::HasGrant;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Answer;
use chiverelay_sibling::Error;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;
use chiverelay_sibling::read_headers;
use chiverelay_sibling::read_status;
use chiverelay_sibling::write_headers;
use chiverelay_target::TargetRequest;
use chiverelay_target::headers;

use crate::keys;
use crate::keys::Under;
use crate::members;
use crate::relay;
use crate::relay::Source;
use crate::request::ReplyHead;
use crate::serve::Serve;

/// What became of a forward.
pub(crate) enum Forwarded {
    /// The head of an answer arrived.
    Answer(Request<Dispatched, Direct>, ReplyHead, Source),
    /// The request may be placed again; else this refusal stands.
    Again(Request<Admitted, Direct>, Refusal),
    /// The request is over.
    Refused(Refusal),
}

/// Why no head of an answer came.
enum Failure {
    /// The exchange broke off.
    Broken(chiverelay_sibling::Error),
    /// There was no head in time.
    Late,
    /// The key was withdrawn meanwhile.
    Withdrawn,
    /// The drain took too long.
    Cut,
}

impl Serve {
    /// Passes a request on, once, to the sibling that was chosen.
    ///
    /// A request that may be repeated, or that the sibling says did not run,
    /// may then be placed elsewhere. Each attempt crosses one link at most.
    pub(crate) async fn forward(
        &self,
        req: Request<PlacedRemote, Direct>,
        out: &TargetRequest,
    ) -> Forwarded {
        let instance = req.instance().clone();
        let peer = Peer::Sibling(instance.clone());
        let link = match members::link(&self.cx, &instance).await {
            Ok(link) => link,
            Err(e) => {
                self.note(&req, &peer, &format!("no connection: {e}"));
                self.cx.miss(&req.grant().pool, &instance);
                let refusal = Refusal::not_run(Code::Unavailable, Step::Connect, peer);
                return Forwarded::Again(req.unplace(), refusal);
            }
        };
        let message = self.forward_message(&req, out.clone());
        let under = keys::enter(&self.cx, req.key());
        if under.is_withdrawn() {
            return Forwarded::Refused(keys::refuse(req));
        }
        let req = req.dispatch();
        self.cx.metrics.spill();
        self.note(&req, &peer, "passed on");
        match self.exchange(&req, &under, &link, message).await {
            Ok((answer, Frame::Head { status, headers })) => {
                let Some(status) = read_status(status) else {
                    let refusal = req.refuse_unknown(Code::SiblingFailed, Step::Forward);
                    return Forwarded::Refused(refusal);
                };
                let headers = read_headers(&headers);
                let head = ReplyHead {
                    status,
                    framing: relay::sibling_framing(&self.cx, req.grant(), &headers),
                    headers,
                };
                Forwarded::Answer(req, head, Source::Sibling(answer))
            }
            Ok((_, Frame::Refused(refusal))) => self.refused(req, refusal, &peer),
            Ok(_) => Forwarded::Refused(req.refuse_unknown(Code::SiblingFailed, Step::Forward)),
            Err(failure) => self.failed(req, failure, &peer),
        }
    }

    fn note<S>(&self, req: &Request<S, Direct>, peer: &Peer, what: &str)
    where
        S: HasGrant,
    {
        let account = req.account();
        self.cx
            .record(&req.meta().id, account, Step::Forward, peer.clone(), what);
    }

    async fn exchange(
        &self,
        req: &Request<Dispatched, Direct>,
        under: &Under,
        link: &Link<Up>,
        message: Forward,
    ) -> Result<(Answer, Frame), Failure> {
        let head = async {
            let mut answer = link.forward(self.cx.events.latest(), message).await?;
            let frame = answer.next().await?;
            self.cx.events.advance_clock(answer.stamp());
            Ok((answer, frame))
        };
        let left = req.meta().deadline.saturating_sub(self.cx.clock.now());
        tokio::select! {
            head = tokio::time::timeout(left, head) => match head {
                Ok(head) => head.map_err(Failure::Broken),
                Err(_) => Err(Failure::Late),
            },
            () = under.withdrawn() => Err(Failure::Withdrawn),
            () = self.cx.cut.cancelled() => Err(Failure::Cut),
        }
    }

    /// Takes a sibling's word on what it did with a request.
    fn refused(
        &self,
        req: Request<Dispatched, Direct>,
        refusal: Refusal,
        peer: &Peer,
    ) -> Forwarded {
        self.note(
            &req,
            peer,
            &format!("refused there: {}", refusal.code.as_str()),
        );
        let elsewhere = matches!(
            refusal.code,
            Code::Unavailable | Code::Overloaded | Code::Draining
        );
        if !elsewhere {
            return Forwarded::Refused(req.into_sibling_refusal(refusal));
        }
        match req.undo_forward(&refusal) {
            Ok(req) => Forwarded::Again(req, refusal),
            Err(req) => Forwarded::Refused(req.into_sibling_refusal(refusal)),
        }
    }

    fn failed(&self, req: Request<Dispatched, Direct>, failure: Failure, peer: &Peer) -> Forwarded {
        let (code, step) = match &failure {
            Failure::Broken(_) => (Code::SiblingFailed, Step::Forward),
            Failure::Late => (Code::DeadlineExceeded, Step::Forward),
            Failure::Withdrawn => (Code::Unauthenticated, Step::Authenticate),
            Failure::Cut => (Code::Draining, Step::Drain),
        };
        self.note(&req, peer, &format!("no answer: {}", code.as_str()));
        let Failure::Broken(e) = failure else {
            return Forwarded::Refused(req.refuse_unknown(code, step));
        };
        log::warn!("forward: {}: {e}", req.meta().id);
        if let Peer::Sibling(instance) = peer {
            self.cx.miss(&req.grant().pool, instance);
        }
        if let Error::NoFreeStream { .. } = e {
            let req = req.undo_dispatch();
            let refusal = req.refusal(Code::Unavailable, step, peer.clone());
            return Forwarded::Again(req, refusal);
        }
        match req.retry() {
            Ok(req) => Forwarded::Again(req, Refusal::unknown(code, step, peer.clone())),
            Err(req) => Forwarded::Refused(req.refuse_unknown(code, step)),
        }
    }

    fn forward_message(&self, req: &Request<PlacedRemote, Direct>, out: TargetRequest) -> Forward {
        let head = req.meta();
        let left = head.deadline.saturating_sub(self.cx.clock.now());
        Forward {
            id: head.id.clone(),
            account: req.grant().account.clone(),
            route: req.grant().route.clone(),
            config_version: self.cx.tables.config.get().version,
            remaining_ms: left.as_millis() as u64,
            is_resumed: false,
            prompt_tokens: head.prompt_tokens,
            max_answer_tokens: head.max_answer_tokens,
            prefix: head.prefix.clone(),
            parts: Vec::new(),
            attempts: 1,
            last_event_id: None,
            software: None,
            method: out.method.to_string(),
            path_and_query: out.path_and_query,
            headers: write_headers(&headers::filter_request(&out.headers)),
            body: out.body.to_vec(),
        }
    }
}
