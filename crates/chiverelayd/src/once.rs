//! Requests that carry an operation's ticket or idempotency key.

use chiverelay_caller::Reply;
use chiverelay_caller::ReplyBody;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tickets::ClaimOutcome;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_target::TargetRequest;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::operations;
use crate::operations::Claimed;
use crate::operations::Mark;
use crate::serve::Serve;

/// Marks an answer that was given before.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

fn replay(recorded: RecordedAnswer) -> Reply {
    let mut headers = chiverelay_sibling::read_headers(&recorded.headers);
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    Reply {
        status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
        body: ReplyBody::Full(recorded.body.into()),
    }
}

impl Serve {
    /// Runs an attempt at an operation, even if the caller leaves meanwhile.
    pub(crate) async fn run_marked(
        &self,
        req: Request<Admitted, Direct>,
        out: TargetRequest,
        mark: Mark,
    ) -> Result<Reply, Refusal> {
        let req = match req.ignore_earlier_attempts() {
            Ok(req) => return self.run(req, out, &mut None).await,
            Err(req) => req,
        };
        let serve = self.clone();
        let run = async move { serve.run_once(req, out, mark).await };
        match self.cx.requests.spawn(run).await {
            Ok(reply) => reply,
            Err(e) => {
                log::error!("serve: {e}");
                Err(Refusal::unknown(
                    Code::StateUnavailable,
                    Step::Claim,
                    Peer::Local,
                ))
            }
        }
    }

    async fn run_once(
        &self,
        req: Request<Admitted, Direct>,
        out: TargetRequest,
        mark: Mark,
    ) -> Result<Reply, Refusal> {
        let deadline = req.meta().deadline;
        let claimed = operations::claim(&self.cx, mark, req.grant(), &out, deadline).await;
        let (claim, granted) = match claimed {
            Ok(Claimed::Run(claim, granted)) => (claim, granted),
            Ok(Claimed::Answered(recorded)) => {
                self.give_back(req.grant());
                return Ok(replay(recorded));
            }
            Err(refusal) => {
                self.give_back(req.grant());
                return Err(refusal);
            }
        };
        let mut claim = Some(claim);
        let reply = self
            .run(req.confirm_not_run(granted), out, &mut claim)
            .await;
        if let (Err(refusal), Some(claim)) = (&reply, claim)
            && refusal.outcome == Outcome::NotRun
        {
            operations::settle(&self.cx, claim, ClaimOutcome::NotRun).await;
        }
        reply
    }
}
