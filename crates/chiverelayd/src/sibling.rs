//! Answers siblings.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::gateway;
use chiverelay_decisions::memory_budget::Exhausted;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Forwarded;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::FrameSender;
use chiverelay_sibling::Handler;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_sibling::Refused;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::read_headers;
use chiverelay_sibling::write_headers;
use chiverelay_target::TargetRequest;
use chiverelay_target::TargetResponse;
use chiverelay_target::headers;
use hyper::Method;

use crate::context::Context;
use crate::dispatch;
use crate::dispatch::Attempt;
use crate::handover;
use crate::keys;
use crate::load;
use crate::members;
use crate::placing;
use crate::placing::NextHere;
use crate::publish;
use crate::relay;
use crate::relay::End;
use crate::relay::Relay;
use crate::relay::Sink;
use crate::relay::Source;
use crate::resume::Resumable;
use crate::shares;
use crate::wait;

/// Attempts at a forwarded request before it is refused.
const ATTEMPTS: usize = 3;

/// Answers siblings.
#[derive(Debug)]
pub(crate) struct Siblings {
    cx: Arc<Context>,
}

impl Siblings {
    /// Makes the handler.
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }

    async fn answer(
        &self,
        from: &Identity,
        req: Forward,
        memory: Reservation,
    ) -> Result<
        (
            Request<Dispatched, Forwarded>,
            Box<TargetResponse>,
            TargetRequest,
        ),
        Refusal,
    > {
        let now = self.cx.clock.now();
        let peer = Peer::Sibling(from.instance.clone());
        self.cx.record(
            &req.id,
            req.account.as_ref(),
            Step::Receive,
            peer.clone(),
            "taken",
        );
        let known = (from.instance.clone(), req.id.clone());
        if !self.cx.taken.lock().insert(known) {
            log::warn!("sibling: {}: {} was taken before", from.instance, req.id);
            self.refused(Refused::Replayed);
            return Err(Refusal::unknown(Code::Malformed, Step::Receive, peer));
        }
        let method = Method::from_bytes(req.method.as_bytes())
            .map_err(|_| Refusal::not_run(Code::Malformed, Step::Receive, peer))?;
        let head = RequestMeta {
            id: req.id,
            received: now,
            deadline: now + Duration::from_millis(req.remaining_ms),
            model: None,
            prompt_tokens: req.prompt_tokens,
            max_answer_tokens: req.max_answer_tokens,
            prefix: req.prefix,
        };
        let out = TargetRequest {
            method,
            path_and_query: req.path_and_query,
            headers: read_headers(&req.headers),
            body: memory.hold(req.body).map_err(refuse_memory)?,
        };
        let admitted = self.admit(head, req.account, req.route).await?;
        let (req, answer) = self.run(admitted, &out).await?;
        Ok((req, answer, out))
    }

    async fn admit(
        &self,
        head: RequestMeta,
        account: Option<Account>,
        route: Route,
    ) -> Result<Request<Admitted, Forwarded>, Refusal> {
        let here = self.cx.settings.region.clone();
        let by = account.clone();
        let job = move |tables: &gateway::Tables| {
            let req = Request::from_sibling(head);
            gateway::admit_forwarded(tables, req, account.as_ref(), &route, &here)
        };
        let by = by.as_ref().map_or("", |account| account.as_str());
        self.cx.pool.run(by, job).await.unwrap_or_else(|_| {
            let (code, step) = (Code::Overloaded, Step::Admit);
            Err(Refusal::not_run(code, step, Peer::Local))
        })
    }

    fn refuse(&self, id: &RequestId, account: Option<&Account>, refusal: &Refusal) {
        let what = format!(
            "refused: {}, {}",
            refusal.code.as_str(),
            refusal.outcome.as_str()
        );
        self.cx
            .record(id, account, refusal.step, refusal.peer.clone(), what);
    }

    async fn run(
        &self,
        mut req: Request<Admitted, Forwarded>,
        out: &TargetRequest,
    ) -> Result<(Request<Dispatched, Forwarded>, Box<TargetResponse>), Refusal> {
        let mut turn = None;
        let mut attempts = 0;
        while attempts < ATTEMPTS {
            let placed = placing::place_forwarded(&self.cx, req, turn.take()).await?;
            let (placed, running) = match placed {
                NextHere::Here(placed, running) => (placed, running),
                NextHere::Wait(waiting) => {
                    let (woken, its_turn) = wait::slot(&self.cx, waiting).await?;
                    (req, turn) = (woken, Some(its_turn));
                    continue;
                }
            };
            req = match dispatch::attempt(&self.cx, placed, running, out).await {
                Attempt::Answer(req, answer) => return Ok((req, answer)),
                Attempt::Again(req) => req,
                Attempt::Refused(refusal) => return Err(refusal),
            };
            attempts += 1;
        }
        Err(req.refuse(Code::Unavailable, Step::Place, Peer::Local))
    }

    async fn stream(
        &self,
        req: Request<Dispatched, Forwarded>,
        answer: Box<TargetResponse>,
        out: &TargetRequest,
        mut tx: FrameSender,
    ) {
        let head = Frame::Head {
            status: answer.status().as_u16(),
            headers: write_headers(&headers::filter_response(answer.headers())),
        };
        let id = req.meta().id.clone();
        let account = req.grant().account.clone();
        let peer = req.peer().clone();
        // If the sibling left, the relay finds out and cancels the request.
        let _ = tx.send(&head).await;
        let target = match req.peer() {
            Peer::Target(target) => target.clone(),
            _ => "".into(),
        };
        let relay = Relay {
            grant: Arc::clone(req.grant()),
            prompt_tokens: req.meta().prompt_tokens,
            deadline: req.meta().deadline,
            framing: relay::framing(&self.cx, req.grant(), &answer),
            source: Source::Target(answer, target),
            sink: Sink::Sibling(tx),
            kept: None,
        };
        let under = keys::enter(&self.cx, req.key());
        let mut resumable = Resumable::new(req, Some(out));
        let end = relay.run(&self.cx, &under, &mut resumable).await;
        let what = relay::describe(&end);
        if matches!(end, End::Whole) {
            resumable.answered();
        }
        self.cx
            .record(&id, account.as_ref(), Step::Answer, peer, what);
    }
}

/// Refuses a forwarded request that there is no memory for.
fn refuse_memory(_: Exhausted) -> Refusal {
    Refusal::not_run(Code::Overloaded, Step::Receive, Peer::Local)
}

impl Handler for Siblings {
    async fn control(&self, from: &Identity, stamp: Stamp, message: Message) -> Envelope {
        self.cx.events.advance_clock(stamp);
        let message = match message {
            Message::Heartbeat(beat) => Message::Heartbeat(members::answer(&self.cx, from, &beat)),
            Message::Claim(claim) => {
                Message::Claimed(self.cx.operations.claim(&claim, self.cx.clock.now()))
            }
            Message::Settle(settle) => {
                let now = self.cx.clock.now();
                Message::Settled(self.cx.operations.deciders().settle(&settle, now))
            }
            Message::Part(part) => Message::Word(handover::take_part(&self.cx, from, part)),
            Message::Commit(commit) => Message::Word(handover::take_commit(&self.cx, from, commit)),
            Message::Bind(bind) => Message::Bound(self.cx.operations.bind(bind).await),
            Message::Withdrawn(ids) => {
                let peer = Peer::Sibling(from.instance.clone());
                keys::learn(&self.cx, ids, &peer);
                Message::Withdrawn(self.cx.tables.withdrawn_keys.lock().pending())
            }
            Message::ConfigRequest(req) => Message::Config(publish::answer(&self.cx, &req)),
            Message::Loads(loads) => {
                load::hear(&self.cx, &from.region, &loads);
                Message::Done
            }
            Message::Forward(_)
            | Message::Config(_)
            | Message::Lend(_)
            | Message::Word(_)
            | Message::Claimed(_)
            | Message::Bound(_)
            | Message::Settled(_)
            | Message::Status(_)
            | Message::AskTokens(_)
            | Message::Tokens(_)
            | Message::Done => Message::Done,
            message => shares::answer(&self.cx, from, &message),
        };
        Envelope {
            version: VERSION,
            stamp: self.cx.events.latest(),
            message,
        }
    }

    fn reserve_forward(&self, bytes: usize) -> Result<Reservation, Refusal> {
        let reserved = self.cx.forward_memory.reserve(bytes);
        reserved.map_err(refuse_memory)
    }

    async fn forward(
        &self,
        from: &Identity,
        stamp: Stamp,
        req: Forward,
        memory: Reservation,
        mut tx: FrameSender,
    ) {
        let open = self.cx.requests.token();
        self.cx.events.advance_clock(stamp);
        let id = req.id.clone();
        let account = req.account.clone();
        let answer = tokio::select! {
            answer = self.answer(from, req, memory) => answer,
            // Dropping the request cancels it at the target.
            () = tx.closed() => return,
        };
        // If the sibling left, the relay finds out and cancels the request.
        let _ = tx.send(&Frame::Stamp(self.cx.events.latest())).await;
        match answer {
            Ok((req, answer, out)) => self.stream(req, answer, &out, tx).await,
            Err(refusal) => {
                self.refuse(&id, account.as_ref(), &refusal);
                // The sibling may have left.
                let _ = tx.send(&Frame::Refused(refusal)).await;
                tx.finish().await;
            }
        }
        drop(open);
    }

    fn refused(&self, reason: Refused) {
        self.cx.metrics.sibling_refused(reason.as_str());
    }
}
