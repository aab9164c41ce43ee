//! A caller's request from admission to the end of its answer.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_caller::Inbound;
use chiverelay_caller::Reply;
use chiverelay_caller::ReplyBody;
use chiverelay_decisions::config::DEFAULT_DEADLINE_MS;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Admission;
use chiverelay_decisions::gateway::Ask;
use chiverelay_decisions::gateway::Placement;
use chiverelay_decisions::gateway::Turn;
use chiverelay_decisions::keys::Shown;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Head;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_target::Outbound;
use chiverelay_target::headers;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use uuid::Uuid;

use crate::dispatch;
use crate::dispatch::Attempt;
use crate::keys;
use crate::relay;
use crate::relay::Sink;
use crate::relay::Source;
use crate::serve::Serve;
use crate::shares;
use crate::wait;

/// Attempts at a request before it is refused.
const ATTEMPTS: usize = 4;

/// Header that names the request in the time line.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

impl Serve {
    pub(crate) async fn relayed(&self, inbound: Inbound) -> Reply {
        let id = RequestId::from(Uuid::now_v7().to_string());
        self.cx.metrics.request();
        let key = inbound.key.clone();
        let mut reply = match self.answer(&id, inbound).await {
            Ok(reply) => reply,
            Err(refusal) => {
                self.cx.metrics.refusal(&refusal);
                let account = self.account(key.as_ref());
                let what = format!(
                    "refused: {}, {}",
                    refusal.code.as_str(),
                    refusal.outcome.as_str()
                );
                self.cx.record(
                    &id,
                    account.as_ref(),
                    refusal.step,
                    refusal.peer.clone(),
                    what,
                );
                Reply::refusal(&refusal)
            }
        };
        if let Ok(value) = HeaderValue::from_str(id.as_str()) {
            reply.headers.insert(REQUEST_ID, value);
        }
        reply
    }

    async fn answer(&self, id: &RequestId, inbound: Inbound) -> Result<Reply, Refusal> {
        let started = self.cx.clock.now();
        self.cx
            .record(id, None, Step::Receive, Peer::Caller, inbound.path.as_str());
        let head = Head {
            id: id.clone(),
            deadline: started + Duration::from_millis(DEFAULT_DEADLINE_MS),
            model: inbound.model,
            prompt_tokens: inbound.prompt_tokens,
            max_answer_tokens: inbound.max_answer_tokens,
            prefix: inbound.prefix,
        };
        let out = Outbound {
            method: inbound.method,
            path_and_query: inbound.path_and_query,
            headers: inbound.headers,
            body: inbound.body,
        };
        let req = self.admit(head, inbound.path, inbound.key).await?;
        let charge = req.grant().charge;
        let what = format!("admitted by route {}, {charge} tokens", req.grant().route);
        let account = req.grant().account.clone();
        self.cx
            .record(id, account.as_ref(), Step::Admit, Peer::Local, what);
        let grant = Arc::clone(req.grant());
        let reply = self.run(req, out).await;
        match &reply {
            Ok(_) => self.cx.metrics.first_token(self.cx.clock.now() - started),
            Err(refusal) => self.refund(&grant, refusal),
        }
        reply
    }

    fn account(&self, key: Option<&Shown>) -> Option<Account> {
        let config = self.cx.tables.config.get();
        let (_, account) = config.authenticate(key?)?;
        Some(account.clone())
    }

    fn refund(&self, grant: &chiverelay_decisions::request::Grant, refusal: &Refusal) {
        if refusal.outcome == chiverelay_decisions::refusal::Outcome::NotRun {
            gateway::settle(&self.cx.tables, grant, 0, self.cx.clock.now());
        }
    }

    async fn admit(
        &self,
        head: Head,
        path: String,
        key: Option<Shown>,
    ) -> Result<Request<Admitted, Direct>, Refusal> {
        // The share's lease is checked by the clock at that moment.
        let clock = self.cx.clock;
        let by = key.clone().unwrap_or_default();
        let job = move |tables: &gateway::Tables| {
            let ask = Ask {
                path: &path,
                key: key.as_deref(),
            };
            gateway::admit(tables, Request::from_caller(head), &ask, clock.now())
        };
        match self.cx.pool.run(&by, job).await {
            Ok(Ok(Admission::Admitted(req))) => Ok(req),
            Ok(Ok(Admission::Short(short))) => shares::gather(&self.cx, *short).await,
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::before_dispatch(
                Code::Overloaded,
                Step::Admit,
                Peer::Local,
            )),
        }
    }

    async fn run(
        &self,
        mut req: Request<Admitted, Direct>,
        out: Outbound,
    ) -> Result<Reply, Refusal> {
        let mut turn = Turn::New;
        let mut attempts = 0;
        while attempts < ATTEMPTS {
            let here = &self.cx.settings.region;
            let now = self.cx.clock.now();
            req = match gateway::place(&self.cx.tables, req, here, turn, now)? {
                Placement::Wait(req) => {
                    turn = Turn::Woken;
                    wait::slot(&self.cx, req).await?
                }
                Placement::Here(placed) => match dispatch::attempt(&self.cx, placed, &out).await {
                    Attempt::Answer(req, answer) => return Ok(self.reply(req, answer)),
                    Attempt::Again(req) => {
                        (turn, attempts) = (Turn::New, attempts + 1);
                        req
                    }
                    Attempt::Refused(refusal) => return Err(refusal),
                },
                Placement::Away(away) => return self.forward(away, out).await,
            };
        }
        Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local))
    }

    fn reply(
        &self,
        req: Request<Dispatched, Direct>,
        answer: Box<chiverelay_target::Answer>,
    ) -> Reply {
        let status = answer.status();
        let headers = headers::to_caller(answer.headers());
        let target = match req.peer() {
            Peer::Target(target) => target.clone(),
            _ => "".into(),
        };
        self.stream(req, status, headers, Source::Target(answer, target))
    }

    pub(crate) fn stream(
        &self,
        req: Request<Dispatched, Direct>,
        status: StatusCode,
        headers: HeaderMap,
        source: Source,
    ) -> Reply {
        let (tx, body) = chiverelay_caller::channel();
        let cx = Arc::clone(&self.cx);
        let under = keys::enter(&self.cx, req.key());
        self.cx.requests.spawn(async move {
            let head = Arc::clone(req.head());
            let grant = Arc::clone(req.grant());
            let sink = Sink::Caller(tx);
            let whole = relay::run(
                Arc::clone(&cx),
                Arc::clone(&grant),
                head.prompt_tokens,
                head.deadline,
                source,
                sink,
                &under,
            )
            .await;
            let peer = req.peer().clone();
            let what = if whole {
                drop(req.answered());
                "whole answer"
            } else {
                "answer not whole"
            };
            cx.record(&head.id, grant.account.as_ref(), Step::Answer, peer, what);
        });
        Reply {
            status,
            headers,
            body: ReplyBody::Stream(body),
        }
    }
}
