//! One attempt at a target of this region.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_target::kept::Answer;
use chiverelay_target::kept::Connection;
use chiverelay_target::kept::SendError;
use http_body_util::Full;
use hyper::HeaderMap;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::Sending;
use crate::Verdict;
use crate::answer;
use crate::answer::Beginning;
use crate::outcome::Answered;
use crate::outcome::Setback;
use crate::outcome::Tried;
use crate::place::Held;
use crate::place::Job;
use crate::place::PlacedHere;

/// Idle time up to which a kept connection is used for a request that runs at
/// most once: one that was closed meanwhile leaves its outcome unknown.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(400);

/// Idle time up to which a kept connection is used for any other request.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Time left below which a request is not sent any more.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// Factor on the expected time after which another target is tried, where the
/// request may be repeated.
const PATIENCE: u32 = 3;

/// Why an attempt gave no answer.
#[derive(Debug)]
enum Failure {
    /// No byte was written.
    NotSent(String),
    /// The target did not run the request.
    NotRun(TargetOutcome),
    /// The target may have run it.
    Lost(String),
    /// The target ran it and failed; this is its answer.
    Failed(Box<(Answer, Beginning)>),
    /// There was no answer in time.
    Late,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Tries a request at the target that was chosen.
    pub(crate) async fn attempt<O>(
        self: &Arc<Self>,
        placed: PlacedHere<D, O>,
        job: &mut Job,
        out: &Outbound,
    ) -> Tried<D, O> {
        let PlacedHere { req, held, known } = placed;
        let target = req.target().clone();
        let deadline = req.meta().deadline;
        let connecting = self.connect(&target, &known, deadline, job.route.kind);
        let conn = match connecting.await {
            Ok(conn) => conn,
            Err(reason) => {
                self.note_attempt(out, &target, held.age(), "unreachable", &reason);
                held.end(TargetOutcome::Unreachable);
                let refusal = req.refusal(Code::Unavailable, Step::Connect, req_peer(&req));
                return Tried::Again(req.unplace(), refusal.into());
            }
        };
        // The target may have begun to leave while the request waited.
        let left = deadline.saturating_sub(self.clock.now());
        if !self.beliefs.fleet.lock().accepts_requests(&target) || left < MIN_LEFT {
            self.note_attempt(
                out,
                &target,
                held.age(),
                "not sent",
                "the target leaves, or no time is left",
            );
            let refusal = req.refusal(Code::Unavailable, Step::Place, req_peer(&req));
            return Tried::Again(req.unplace(), refusal.into());
        }
        let patience = self.patience(job, &held, left);
        let sending = Sending {
            target: &target,
            left,
            source: held.source(),
        };
        let msg = self.encode(out, &sending);
        let req = req.dispatch();
        let sending = self.exchange(conn, msg, out, job);
        let sent = match tokio::time::timeout(patience, sending).await {
            Ok(sent) => sent,
            Err(_) => Err(Failure::Late),
        };
        match sent {
            Ok((answer, beginning)) => self.succeed(req, held, job, answer, beginning),
            Err(failure) => self.fail(req, held, job, out, failure),
        }
    }

    async fn connect(
        &self,
        target: &Target,
        known: &KnownTarget,
        deadline: Duration,
        kind: RouteKind,
    ) -> Result<Connection, String> {
        let max_idle = match kind.is_repeatable() {
            true => MAX_IDLE,
            false => MAX_IDLE_ONCE,
        };
        let left = deadline.saturating_sub(self.clock.now());
        let taking = self.kept.take(target, known.record.address, max_idle);
        match tokio::time::timeout(left, taking).await {
            Ok(Ok(conn)) => {
                self.metrics.connection(conn.is_new());
                Ok(conn)
            }
            Ok(Err(e)) => Err(e.to_string()),
            Err(_) => Err("timeout".to_owned()),
        }
    }

    fn patience(&self, job: &Job, held: &Held<D>, left: Duration) -> Duration {
        if !job.route.kind.is_repeatable() || job.attempts < 2 {
            return left;
        }
        let expected = held.estimate().wait + job.route.target_latency;
        (expected * PATIENCE).min(left.mul_f64(0.6))
    }

    fn encode(&self, out: &Outbound, sending: &Sending<'_>) -> hyper::Request<Full<Bytes>> {
        let mut msg = hyper::Request::new(Full::new(out.body.clone()));
        *msg.method_mut() = out.method.clone();
        *msg.headers_mut() = self.dialect.encode(out, sending);
        match out.path_and_query.parse() {
            Ok(uri) => *msg.uri_mut() = uri,
            Err(e) => {
                log::warn!(target: "dispatch", id = out.id.as_str(), error:% = e; "path can't be sent");
            }
        }
        msg
    }

    async fn exchange(
        &self,
        conn: Connection,
        msg: hyper::Request<Full<Bytes>>,
        out: &Outbound,
        job: &Job,
    ) -> Result<(Answer, Beginning), Failure> {
        let sent = conn.send(msg).await;
        let mut answer = sent.map_err(|e| match e {
            SendError::NotSent(e) => Failure::NotSent(e.to_string()),
            SendError::Lost(e) => Failure::Lost(e.to_string()),
        })?;
        match self.dialect.read(out, answer.status(), answer.headers()) {
            Verdict::Ran => {}
            Verdict::Full => {
                self.finish_unrun(answer).await;
                return Err(Failure::NotRun(TargetOutcome::Full));
            }
            Verdict::Misdirected => return Err(Failure::NotRun(TargetOutcome::Misdirected)),
            Verdict::Foreign => return Err(Failure::Lost("another request's answer".to_owned())),
        }
        let framing = match out.stream && answer.status().is_success() {
            true => Framing::NumberedEvents,
            false => Framing::Delimited,
        };
        let begun = answer::begin(&mut answer, framing, out.last_event_id).await;
        let beginning = begun.map_err(Failure::Lost)?;
        if answer.status().is_server_error() && job.route.kind.is_repeatable() {
            return Err(Failure::Failed(Box::new((answer, beginning))));
        }
        Ok((answer, beginning))
    }

    /// Reads the rest of a short answer, so that its connection can be kept.
    async fn finish_unrun(&self, mut answer: Answer) {
        if answer.length().is_none_or(|len| len > MAX_UNRUN) {
            return;
        }
        while let Ok(Some(_)) = answer.next().await {}
        answer.keep(&self.kept);
    }

    fn succeed<O>(
        &self,
        req: Request<Dispatched, O>,
        mut held: Held<D>,
        job: &mut Job,
        answer: Answer,
        beginning: Beginning,
    ) -> Tried<D, O> {
        job.attempts = job.attempts.saturating_sub(1);
        match job.route.kind.is_stream() {
            true => held.read(),
            false => held.answered(),
        }
        self.metrics.attempt("answered", held.age());
        Tried::Answered(Box::new(Answered {
            req,
            held,
            answer,
            beginning,
        }))
    }

    fn fail<O>(
        &self,
        req: Request<Dispatched, O>,
        held: Held<D>,
        job: &mut Job,
        out: &Outbound,
        failure: Failure,
    ) -> Tried<D, O> {
        let peer = req.peer().clone();
        match failure {
            Failure::NotSent(reason) => {
                self.note_failure(out, &peer, held.age(), "not sent", &reason);
                held.end(TargetOutcome::Cancelled);
                let req = req.undo_dispatch();
                let refusal = req.refusal(Code::Unavailable, Step::Dispatch, peer);
                Tried::Again(req, refusal.into())
            }
            Failure::NotRun(ended) => {
                self.note_failure(out, &peer, held.age(), "not run", ended.as_str());
                held.end(ended);
                self.again(req.undo_dispatch(), job, Code::Overloaded, &peer)
            }
            Failure::Lost(reason) => {
                self.note_failure(out, &peer, held.age(), "lost", &reason);
                held.end(TargetOutcome::Lost);
                self.repeat(req, job, Code::TargetFailed)
            }
            Failure::Late => {
                self.note_failure(out, &peer, held.age(), "late", "no answer in time");
                held.end(TargetOutcome::Lost);
                self.repeat(req, job, Code::DeadlineExceeded)
            }
            Failure::Failed(answer) => self.failed(req, held, job, out, *answer),
        }
    }

    /// Tries a request again that a target failed, or passes its answer on.
    fn failed<O>(
        &self,
        req: Request<Dispatched, O>,
        held: Held<D>,
        job: &mut Job,
        out: &Outbound,
        (answer, beginning): (Answer, Beginning),
    ) -> Tried<D, O> {
        let peer = req.peer().clone();
        self.note_failure(out, &peer, held.age(), "failed", answer.status().as_str());
        let another = job.attempts >= 2 && self.may_retry(job);
        if !another {
            return self.succeed(req, held, job, answer, beginning);
        }
        held.end(TargetOutcome::Failed);
        job.attempts -= 1;
        let reply = self.failure(answer, beginning);
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(Code::TargetFailed, Step::Dispatch, peer);
                Tried::Again(req, Setback { refusal, reply })
            }
            Err(req) => Tried::Refused(req.refuse_unknown(Code::TargetFailed, Step::Dispatch)),
        }
    }

    /// Keeps a target's failure, in case no other target answers.
    fn failure(&self, answer: Answer, beginning: Beginning) -> Option<Box<Reply>> {
        if !beginning.whole {
            return None;
        }
        let reply = Reply {
            status: answer.status(),
            headers: self.reply_headers(&answer),
            body: ReplyBody::Full(beginning.data),
        };
        answer.keep(&self.kept);
        Some(Box::new(reply))
    }

    /// Starts another attempt at a request that may have run, if it may.
    fn repeat<O>(&self, req: Request<Dispatched, O>, job: &mut Job, code: Code) -> Tried<D, O> {
        job.attempts = job.attempts.saturating_sub(1);
        if job.attempts == 0 || !job.route.kind.is_repeatable() || !self.may_retry(job) {
            return Tried::Refused(req.refuse_unknown(code, Step::Dispatch));
        }
        let peer = req.peer().clone();
        match req.retry() {
            Ok(req) => {
                let refusal = req.refusal(code, Step::Dispatch, peer);
                Tried::Again(req, refusal.into())
            }
            Err(req) => Tried::Refused(req.refuse_unknown(code, Step::Dispatch)),
        }
    }

    /// Starts another attempt at a request that did not run, if it may.
    fn again<O>(
        &self,
        req: Request<Admitted, O>,
        job: &Job,
        code: Code,
        peer: &Peer,
    ) -> Tried<D, O> {
        let refusal = req
            .refusal(code, Step::Dispatch, peer.clone())
            .retry_after(FULL_RETRY);
        match self.may_retry(job) {
            true => Tried::Again(req, refusal.into()),
            false => Tried::Refused(refusal),
        }
    }

    pub(crate) fn may_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let divisor = self.members.strict_divisor(now);
        let mut traffic = self.beliefs.traffic.lock();
        traffic.try_consume_retry(&job.pool.name, divisor, now)
    }

    fn note_failure(
        &self,
        out: &Outbound,
        peer: &Peer,
        took: Duration,
        what: &'static str,
        reason: &str,
    ) {
        if let Peer::Target(target) = peer {
            self.note_attempt(out, target, took, what, reason);
        }
    }

    fn note_attempt(
        &self,
        out: &Outbound,
        target: &Target,
        took: Duration,
        what: &'static str,
        reason: &str,
    ) {
        self.metrics.attempt(what, took);
        log::info!(
            target: "dispatch",
            id = out.id.as_str(),
            to = target.as_str(),
            outcome = what,
            reason,
            took_ms = took.as_millis() as u64,
            store_age_ms = self.beliefs.store_age(self.clock.now()).as_millis() as u64;
            "attempt without an answer"
        );
    }

    /// Returns the headers of an answer that may reach a caller.
    pub(crate) fn reply_headers(&self, answer: &Answer) -> HeaderMap {
        self.dialect.to_caller(answer.headers())
    }
}

/// Time after which a target that was full is worth another try.
const FULL_RETRY: Duration = Duration::from_millis(300);

/// Longest answer that is read only to keep its connection, in bytes.
const MAX_UNRUN: u64 = 4096;

fn req_peer<O>(req: &Request<Placed, O>) -> Peer {
    Peer::Target(req.target().clone())
}
