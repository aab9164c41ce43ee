//! A caller's request from admission to the end of its answer.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_caller::Inbound;
use chiverelay_caller::Reply;
use chiverelay_caller::ReplyBody;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::config::DEFAULT_DEADLINE_MS;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Admission;
use chiverelay_decisions::gateway::AdmissionInput;
use chiverelay_decisions::keys::PresentedKey;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_target::TargetRequest;
use chiverelay_target::headers;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use uuid::Uuid;

use crate::dispatch;
use crate::dispatch::Attempt;
use crate::forward::Forwarded;
use crate::keys;
use crate::operations;
use crate::operations::Claim;
use crate::placing;
use crate::placing::Next;
use crate::relay;
use crate::relay::End;
use crate::relay::Kept;
use crate::relay::Relay;
use crate::relay::Sink;
use crate::relay::Source;
use crate::resume::Resumable;
use crate::serve::Serve;
use crate::shares;
use crate::wait;

/// Attempts at a request before it is refused.
const ATTEMPTS: usize = 4;

/// Header that names the request in the time line.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The head of an answer to a caller.
#[derive(Debug)]
pub(crate) struct ReplyHead {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers that may reach a caller.
    pub(crate) headers: HeaderMap,
    /// How the end of the answer is known.
    pub(crate) framing: Framing,
}

impl ReplyHead {
    /// Starts a record of the answer.
    fn record(&self) -> RecordedAnswer {
        RecordedAnswer {
            status: self.status.as_u16(),
            headers: chiverelay_sibling::write_headers(&self.headers),
            body: Vec::new(),
        }
    }
}

/// Prefers a sibling's reason to the mere fact that nothing else is left. The
/// outcome is that of the whole request.
fn more_telling(refusal: Refusal, last: Option<&Refusal>) -> Refusal {
    match last {
        Some(last) if refusal.code == Code::Unavailable => Refusal {
            outcome: refusal.outcome,
            ..last.clone()
        },
        _ => refusal,
    }
}

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
        let mark = operations::read_mark(&inbound.headers)?;
        self.cx
            .record(id, None, Step::Receive, Peer::Caller, inbound.path.as_str());
        let head = RequestMeta {
            id: id.clone(),
            received: started,
            deadline: started + Duration::from_millis(DEFAULT_DEADLINE_MS),
            model: inbound.model,
            prompt_tokens: inbound.prompt_tokens,
            max_answer_tokens: inbound.max_answer_tokens,
            prefix: inbound.prefix,
        };
        let out = TargetRequest {
            method: inbound.method,
            path_and_query: inbound.path_and_query,
            headers: inbound.headers,
            body: inbound.body,
        };
        let marked = mark.is_some();
        let req = self
            .admit(head, inbound.path, inbound.key, marked)
            .await
            .map_err(|refusal| match marked {
                true => refusal.with_unknown_outcome(),
                false => refusal,
            })?;
        let req = self.due(req, started);
        let charge = req.grant().charged_tokens;
        let what = format!("admitted by route {}, {charge} tokens", req.grant().route);
        let account = req.grant().account.clone();
        self.cx
            .record(id, account.as_ref(), Step::Admit, Peer::Local, what);
        let grant = Arc::clone(req.grant());
        let reply = match mark {
            None => self.run(req, out, &mut None).await,
            Some(mark) => self.run_marked(req, out, mark).await,
        };
        if let Err(refusal) = &reply {
            self.refund(&grant, refusal);
        }
        reply
    }

    /// Gives the account back the charge of an attempt that did not run.
    pub(crate) fn give_back(&self, grant: &Arc<Grant>) {
        self.cx.settle(grant, 0);
    }

    /// Finds the account of a key for the time line, also of a withdrawn key.
    fn account(&self, key: Option<&PresentedKey>) -> Option<Account> {
        let config = self.cx.tables.config.get();
        let (_, entry) = config.find_matching_key(key?)?;
        Some(entry.account.clone())
    }

    fn refund(&self, grant: &Arc<Grant>, refusal: &Refusal) {
        if refusal.outcome == Outcome::NotRun {
            self.give_back(grant);
        }
    }

    async fn admit(
        &self,
        head: RequestMeta,
        path: String,
        key: Option<PresentedKey>,
        marked: bool,
    ) -> Result<Request<Admitted, Direct>, Refusal> {
        // The share's lease is checked by the clock at that moment.
        let clock = self.cx.clock;
        let (account, by) = (self.account(key.as_ref()), key.clone());
        let job = move |tables: &gateway::Tables| {
            let ask = AdmissionInput {
                path: &path,
                api_key: key.as_deref(),
            };
            let req = match marked {
                true => Request::from_retry(head),
                false => Request::from_caller(head),
            };
            gateway::admit(tables, req, &ask, clock.now())
        };
        // Keys of no account are spread, so that many of them fill no one queue.
        let by = match (&account, &by) {
            (Some(account), _) => account.as_str(),
            (None, Some(key)) => key,
            (None, None) => "",
        };
        match self.cx.pool.run(by, job).await {
            Ok(Ok(Admission::Admitted(req))) => Ok(req),
            Ok(Ok(Admission::Uncharged(short))) => shares::gather(&self.cx, *short).await,
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::not_run(Code::Overloaded, Step::Admit, Peer::Local)),
        }
    }

    /// Sets the route's deadline.
    fn due(&self, req: Request<Admitted, Direct>, started: Duration) -> Request<Admitted, Direct> {
        let config = self.cx.tables.config.get();
        match config.routes.get(&req.grant().route) {
            Some(route) => req.with_deadline(started + Duration::from_millis(route.deadline_ms)),
            None => req,
        }
    }

    pub(crate) async fn run(
        &self,
        mut req: Request<Admitted, Direct>,
        out: TargetRequest,
        claim: &mut Option<Claim>,
    ) -> Result<Reply, Refusal> {
        let mut turn = None;
        let mut attempts = 0;
        let mut last = None;
        while attempts < ATTEMPTS {
            let placed = placing::place(&self.cx, req, turn.take()).await;
            req = match placed.map_err(|refusal| more_telling(refusal, last.as_ref()))? {
                Next::Wait(req) => {
                    let (req, woken) = wait::slot(&self.cx, req).await?;
                    turn = Some(woken);
                    req
                }
                Next::Here(placed, running) => {
                    match dispatch::attempt(&self.cx, placed, running, &out).await {
                        Attempt::Answer(req, answer) => {
                            return Ok(self.reply(req, answer, &out, claim));
                        }
                        Attempt::Again(req) => {
                            attempts += 1;
                            req
                        }
                        Attempt::Refused(refusal) => return Err(refusal),
                    }
                }
                Next::Away(away) => match self.forward(away, &out).await {
                    Forwarded::Answer(req, head, source) => {
                        return Ok(self.stream(req, None, head, source, claim));
                    }
                    Forwarded::Again(req, refusal) => {
                        attempts += 1;
                        last = Some(refusal);
                        req
                    }
                    Forwarded::Refused(refusal) => return Err(refusal),
                },
            };
        }
        let refusal = req.refuse(Code::Unavailable, Step::Place, Peer::Local);
        Err(more_telling(refusal, last.as_ref()))
    }

    fn reply(
        &self,
        req: Request<Dispatched, Direct>,
        answer: Box<chiverelay_target::TargetResponse>,
        out: &TargetRequest,
        claim: &mut Option<Claim>,
    ) -> Reply {
        let head = ReplyHead {
            status: answer.status(),
            headers: headers::filter_response(answer.headers()),
            framing: relay::framing(&self.cx, req.grant(), &answer),
        };
        let target = match req.peer() {
            Peer::Target(target) => target.clone(),
            _ => "".into(),
        };
        let source = Source::Target(answer, target);
        self.stream(req, Some(out), head, source, claim)
    }

    pub(crate) fn stream(
        &self,
        req: Request<Dispatched, Direct>,
        out: Option<&TargetRequest>,
        head: ReplyHead,
        source: Source,
        claim: &mut Option<Claim>,
    ) -> Reply {
        let kept = claim.take();
        let kept = kept.map(|claim| Kept::new(claim, head.record(), head.framing));
        let (tx, body) = chiverelay_caller::channel();
        let relay = Relay {
            grant: Arc::clone(req.grant()),
            prompt_tokens: req.meta().prompt_tokens,
            deadline: req.meta().deadline,
            framing: head.framing,
            source,
            sink: Sink::Caller {
                tx,
                since: Some(req.meta().received),
            },
            kept,
        };
        let cx = Arc::clone(&self.cx);
        let under = keys::enter(&self.cx, req.key());
        let id = req.meta().id.clone();
        let account = req.grant().account.clone();
        let peer = req.peer().clone();
        let mut resumable = Resumable::new(req, out);
        self.cx.requests.spawn(async move {
            let end = relay.run(&cx, &under, &mut resumable).await;
            let what = relay::describe(&end);
            if matches!(end, End::Whole) {
                resumable.answered();
            }
            cx.record(&id, account.as_ref(), Step::Answer, peer, what);
        });
        Reply {
            status: head.status,
            headers: head.headers,
            body: ReplyBody::Stream(body),
        }
    }
}
