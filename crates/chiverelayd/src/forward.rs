//! Passes a caller's request on to a sibling.

use chiverelay_caller::Reply;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Away;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_target::Outbound;
use chiverelay_target::headers;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::keys;
use crate::members;
use crate::operations::Claim;
use crate::relay;
use crate::relay::Source;
use crate::request::ReplyHead;
use crate::serve::Serve;

/// What became of a request that was passed on.
pub(crate) enum Passed {
    /// The head of an answer arrived.
    Reply(Reply),
    /// It may be placed again.
    Again(Request<Admitted, Direct>),
    /// The request is over.
    Refused(Refusal),
}

/// Places a request again that its sibling may have run, if it may be repeated.
fn again(req: Request<Dispatched, Direct>) -> Passed {
    match req.repeat() {
        Ok(req) => Passed::Again(req),
        Err(req) => Passed::Refused(req.refuse_unknown(Code::SiblingFailed, Step::Forward)),
    }
}

impl Serve {
    pub(crate) async fn forward(
        &self,
        req: Request<Away, Direct>,
        out: &Outbound,
        claim: &mut Option<Claim>,
    ) -> Passed {
        let id = req.head().id.clone();
        let account = req.grant().account.clone();
        let peer = Peer::Sibling(req.instance().clone());
        let record = |what: &str| {
            self.cx
                .record(&id, account.as_ref(), Step::Forward, peer.clone(), what);
        };
        let link = match members::link(&self.cx, req.instance()).await {
            Ok(link) => link,
            Err(e) => {
                log::warn!("serve: {id}: {e}");
                record("no connection");
                return Passed::Again(req.unplace());
            }
        };
        let message = self.forward_message(&req, out);
        let req = req.dispatch();
        self.cx.metrics.spill();
        record("passed on");
        let head = async {
            let mut answer = link.forward(self.cx.events.latest(), message).await?;
            let frame = answer.next().await?;
            self.cx.events.observe(answer.stamp());
            Ok::<_, chiverelay_sibling::Error>((answer, frame))
        };
        let left = req.head().deadline.saturating_sub(self.cx.clock.now());
        let under = keys::enter(&self.cx, req.key());
        let head = tokio::select! {
            head = tokio::time::timeout(left, head) => head,
            () = under.withdrawn() => {
                record("cut: the key was withdrawn");
                return Passed::Refused(
                    req.refuse_unknown(Code::Unauthenticated, Step::Authenticate),
                );
            }
            () = self.cx.cut.cancelled() => {
                record("cut at the drain timeout");
                return Passed::Refused(req.refuse_unknown(Code::Draining, Step::Drain));
            }
        };
        match head {
            Err(_) => Passed::Refused(req.refuse_unknown(Code::DeadlineExceeded, Step::Forward)),
            Ok(Err(e)) => {
                log::warn!("serve: {id}: {e}");
                record("no answer");
                again(req)
            }
            Ok(Ok((answer, Frame::Head { status, headers }))) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                let source = Source::Sibling(answer);
                let headers = read_headers(&headers);
                let framing = relay::sibling_framing(&self.cx, req.grant(), &headers);
                let head = ReplyHead {
                    status,
                    headers,
                    framing,
                };
                Passed::Reply(self.stream(req, head, source, claim))
            }
            Ok(Ok((_, Frame::Refused(refusal)))) => Passed::Refused(req.refuse_as_sibling(refusal)),
            Ok(Ok(_)) => again(req),
        }
    }

    fn forward_message(&self, req: &Request<Away, Direct>, out: &Outbound) -> Forward {
        let head = req.head();
        let left = head.deadline.saturating_sub(self.cx.clock.now());
        Forward {
            id: head.id.clone(),
            account: req.grant().account.clone(),
            route: req.grant().route.clone(),
            remaining_ms: left.as_millis() as u64,
            prompt_tokens: head.prompt_tokens,
            max_answer_tokens: head.max_answer_tokens,
            prefix: head.prefix.clone(),
            method: out.method.to_string(),
            path_and_query: out.path_and_query.clone(),
            headers: write_headers(&headers::to_target(&out.headers)),
            body: out.body.to_vec(),
        }
    }
}

/// Writes headers as they go between siblings.
pub(crate) fn write_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(k, v)| (k.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
}

/// Reads headers as they come from siblings.
pub(crate) fn read_headers(headers: &[(String, Vec<u8>)]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|(k, v)| {
            let name = HeaderName::from_bytes(k.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(v).ok()?))
        })
        .collect()
}
