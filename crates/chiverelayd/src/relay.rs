//! Carries an answer's pieces from where it comes from to who waits for it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_caller as caller;
use chiverelay_decisions::answer::AnswerChecker;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::answer::TailBuffer;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tickets::ClaimOutcome;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_sibling as sibling;
use chiverelay_sibling::Frame;
use chiverelay_target as target;

use crate::context::Context;
use crate::keys::Under;
use crate::operations;
use crate::operations::Claim;
use crate::operations::MAX_RECORDED;
use crate::resume::Resume;

/// Times that one stream goes on elsewhere.
const RESUMES: usize = 3;

/// Where an answer comes from.
pub(crate) enum Source {
    /// A target of this region.
    Target(Box<target::TargetResponse>, Target),
    /// A sibling.
    Sibling(sibling::Answer),
}

impl Source {
    async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        let (code, peer, error) = match self {
            Self::Target(answer, target) => match answer.next_chunk().await {
                Ok(piece) => return Ok(piece),
                Err(e) => (
                    Code::TargetFailed,
                    Peer::Target(target.clone()),
                    e.to_string(),
                ),
            },
            Self::Sibling(answer) => {
                let peer = Peer::Sibling(answer.peer().instance.clone());
                match answer.next().await {
                    Ok(Frame::Data(data)) => return Ok(Some(data.into())),
                    Ok(Frame::End) => return Ok(None),
                    Ok(Frame::Refused(refusal)) => return Err(refusal),
                    Ok(
                        Frame::Head { .. }
                        | Frame::Stamp(_)
                        | Frame::Ran(_)
                        | Frame::Software(_)
                        | Frame::SoftwareUnknown,
                    ) => (Code::SiblingFailed, peer, "unexpected frame".to_owned()),
                    Err(e) => (Code::SiblingFailed, peer, e.to_string()),
                }
            }
        };
        log::warn!("relay: {error}");
        Err(Refusal::unknown(code, Step::Answer, peer))
    }

    /// Closes the source, which cancels what still runs there.
    fn finish(self, cx: &Context, grant: &Grant) {
        if let Self::Target(_, target) = self {
            cx.finish(&grant.pool, &target);
        }
    }
}

/// Who waits for an answer.
pub(crate) enum Sink {
    /// A caller, which waits for the first piece since then.
    Caller {
        tx: caller::Sender,
        since: Option<Duration>,
    },
    /// A sibling.
    Sibling(sibling::FrameSender),
}

impl Sink {
    /// Passes a piece on; false if nobody waits for it any more.
    async fn send(&mut self, cx: &Context, data: Bytes) -> bool {
        if data.is_empty() {
            return true;
        }
        match self {
            Self::Caller { tx, since } => {
                let sent = tx.send(data).await;
                if sent && let Some(since) = since.take() {
                    cx.metrics.first_token(cx.clock.now() - since);
                }
                sent
            }
            Self::Sibling(tx) => tx.send(&Frame::Data(data.to_vec())).await.is_ok(),
        }
    }

    async fn closed(&mut self) {
        match self {
            Self::Caller { tx, .. } => tx.closed().await,
            Self::Sibling(tx) => tx.closed().await,
        }
    }

    async fn finish(self) {
        match self {
            Self::Caller { tx, .. } => {
                tx.finish().await;
            }
            Self::Sibling(mut tx) => {
                // The sibling may have left.
                let _ = tx.send(&Frame::End).await;
                tx.finish().await;
            }
        }
    }

    async fn abort(self, refusal: Refusal, framing: Framing) {
        match self {
            Self::Caller { tx, .. } => {
                if framing == Framing::Events {
                    tx.send(caller::error_event(&refusal)).await;
                }
                tx.abort(refusal.code.as_str().to_owned()).await;
            }
            Self::Sibling(mut tx) => {
                // The sibling may have left.
                let _ = tx.send(&Frame::Refused(refusal)).await;
                tx.finish().await;
            }
        }
    }
}

/// How a relayed answer ended.
#[derive(Debug)]
pub(crate) enum End {
    /// All of it went out, or was recorded.
    Whole,
    /// Nobody waits for it any more.
    Left,
    /// It ended early.
    Cut(Refusal),
    /// It can't be whole.
    Broken(Refusal),
}

/// Says how an answer ended, for the time line.
pub(crate) fn describe(end: &End) -> &'static str {
    match end {
        End::Whole => "whole answer",
        End::Left => "cancelled, nobody waits",
        End::Cut(_) | End::Broken(_) => "answer not whole",
    }
}

/// An answer on its way.
pub(crate) struct Relay {
    /// What the request may do.
    pub(crate) grant: Arc<Grant>,
    /// Estimated tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// When the answer must be complete.
    pub(crate) deadline: Duration,
    /// How the end of the answer is known.
    pub(crate) framing: Framing,
    /// Where the answer comes from.
    pub(crate) source: Source,
    /// Who waits for it.
    pub(crate) sink: Sink,
    /// How the answer is kept, if it is.
    ///
    /// Such an answer is read to its end even if nobody waits for it.
    pub(crate) kept: Option<Kept>,
}

/// An answer that is kept for callers that ask again.
///
/// # Invariants
///
/// The end of the answer goes out after the issuer of the operation's ticket
/// has taken it, or could not be told: a caller that has the whole answer
/// finds it at every instance.
pub(crate) struct Kept {
    claim: Claim,
    record: RecordedAnswer,
    hold: TailBuffer,
}

impl Kept {
    /// Starts with the head of an answer.
    pub(crate) fn new(claim: Claim, head: RecordedAnswer, framing: Framing) -> Self {
        Self {
            claim,
            record: head,
            hold: TailBuffer::new(framing),
        }
    }

    /// Adds a piece, unless the answer grows too long, and returns what may
    /// go out.
    fn push(&mut self, data: Bytes, done: bool) -> Bytes {
        if self.record.body.len() <= MAX_RECORDED {
            self.record.body.extend_from_slice(&data);
        }
        self.hold.push(data, done)
    }

    /// Records the whole answer and returns its end.
    async fn settle(self, cx: &Context) -> Bytes {
        let settlement = ClaimOutcome::Answered(self.record);
        operations::settle(cx, self.claim, settlement).await;
        self.hold.into_tail()
    }
}

impl Relay {
    /// Relays until the answer is whole, breaks off or nobody waits for it.
    pub(crate) async fn run<R>(mut self, cx: &Context, under: &Under, resume: &mut R) -> End
    where
        R: Resume,
    {
        let mut checker = AnswerChecker::new(self.framing).within(&cx.answer_memory);
        let left = self.deadline.saturating_sub(cx.clock.now());
        let end = tokio::select! {
            end = tokio::time::timeout(left, self.pipe_all(cx, &mut checker, resume)) => end.ok(),
            () = under.withdrawn() => Some(End::Broken(withdrawn())),
            () = cx.cut.cancelled() => Some(End::Broken(draining())),
        };
        let end = end.unwrap_or_else(|| End::Broken(self.refuse(Code::DeadlineExceeded)));
        let used = checker.count_tokens(self.prompt_tokens);
        cx.settle(&self.grant, used);
        self.source.finish(cx, &self.grant);
        match &end {
            End::Whole => {
                if let Some(kept) = self.kept {
                    self.sink.send(cx, kept.settle(cx).await).await;
                }
                self.sink.finish().await;
            }
            End::Left => {}
            End::Cut(refusal) | End::Broken(refusal) => {
                self.sink.abort(refusal.clone(), self.framing).await
            }
        }
        end
    }

    fn refuse(&self, code: Code) -> Refusal {
        let peer = match &self.source {
            Source::Target(_, target) => Peer::Target(target.clone()),
            Source::Sibling(answer) => Peer::Sibling(answer.peer().instance.clone()),
        };
        Refusal::unknown(code, Step::Answer, peer)
    }

    /// Relays, and goes on elsewhere with a stream that was cut.
    async fn pipe_all<R>(
        &mut self,
        cx: &Context,
        checker: &mut AnswerChecker,
        resume: &mut R,
    ) -> End
    where
        R: Resume,
    {
        for _ in 0..RESUMES {
            let end = self.pipe(cx, checker).await;
            let Some(last_id) = resume_after(&end, checker) else {
                return end;
            };
            let Some(source) = resume.resume(cx, last_id).await else {
                return end;
            };
            log::info!("relay: a stream goes on after event {last_id}");
            std::mem::replace(&mut self.source, source).finish(cx, &self.grant);
            checker.discard_partial_event();
        }
        self.pipe(cx, checker).await
    }

    async fn pipe(&mut self, cx: &Context, checker: &mut AnswerChecker) -> End {
        let mut waited_for = true;
        loop {
            let piece = tokio::select! {
                piece = self.source.next() => piece,
                () = self.sink.closed(), if waited_for => {
                    waited_for = false;
                    if self.kept.is_none() {
                        return End::Left;
                    }
                    continue;
                }
            };
            let checked = match piece {
                Ok(Some(data)) => checker.push(data),
                Ok(None) => match checker.check_end() {
                    Ok(()) => return End::Whole,
                    Err(_) if checker.last_id().is_some() => {
                        return End::Cut(self.refuse(Code::TargetFailed));
                    }
                    Err(fault) => Err(fault),
                },
                Err(refusal) => return End::Cut(refusal),
            };
            let data = match checked {
                Ok(data) => data,
                Err(fault) => {
                    log::warn!("relay: {fault}");
                    return End::Broken(self.refuse(Code::TargetFailed));
                }
            };
            let data = match &mut self.kept {
                Some(kept) => kept.push(data, checker.is_done()),
                None => data,
            };
            if waited_for && !self.sink.send(cx, data).await {
                waited_for = false;
                if self.kept.is_none() {
                    return End::Left;
                }
            }
        }
    }
}

fn withdrawn() -> Refusal {
    Refusal::unknown(Code::Unauthenticated, Step::Authenticate, Peer::Caller)
}

fn draining() -> Refusal {
    Refusal::unknown(Code::Draining, Step::Drain, Peer::Local)
}

/// Returns the event after which a stream that was cut can go on.
fn resume_after(end: &End, checker: &AnswerChecker) -> Option<u64> {
    match end {
        End::Cut(_) if !checker.is_done() => checker.last_id(),
        _ => None,
    }
}

/// Returns how the end of a target's answer is known.
pub(crate) fn framing(cx: &Context, grant: &Grant, answer: &target::TargetResponse) -> Framing {
    if answer.is_event_stream() && is_engine(cx, grant) {
        return Framing::Events;
    }
    if answer.is_delimited() {
        return Framing::Delimited;
    }
    Framing::UntilClose
}

/// Returns how the end of a sibling's answer is known.
pub(crate) fn sibling_framing(cx: &Context, grant: &Grant, headers: &hyper::HeaderMap) -> Framing {
    if target::headers::is_event_stream(headers) && is_engine(cx, grant) {
        return Framing::Events;
    }
    Framing::Delimited
}

fn is_engine(cx: &Context, grant: &Grant) -> bool {
    use chiverelay_decisions::config::PoolKind;
    let config = cx.tables.config.get();
    let pool = config.pools.get(&grant.pool);
    pool.is_none_or(|pool| pool.kind == PoolKind::Engine)
}
