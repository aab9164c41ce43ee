//! Reads the answer to a forwarded request.

use bytes::Bytes;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_sibling::Answer;
use chiverelay_sibling::Error;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;
use chiverelay_sibling::read_headers;
use chiverelay_sibling::read_status;
use hyper::HeaderMap;
use hyper::StatusCode;

use crate::answer::AnswerStart;
use crate::answer::ChunkedAnswer;
use crate::relay::AnswerKind;

/// Answer that another instance relays. Dropping it cancels the request there.
#[derive(Debug)]
pub(crate) struct RemoteAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Software of the target that answers.
    pub(crate) software: Option<SoftwareVersion>,
    /// Number of targets in the other region that may have run the request, 1
    /// at least.
    pub(crate) attempts_used: u32,
    /// Those of `attempts_used` that the caller of
    /// [`RemoteAnswer::take_new_attempts`] has counted.
    attempts_counted: u32,
    frames: Answer,
}

/// An answer of another instance whose start was read.
#[derive(Debug)]
pub(crate) struct StartedForward {
    /// The request, which was sent to the other instance.
    pub(crate) req: Request<Dispatched, Direct>,
    /// The answer, of whose body `start` was read already.
    pub(crate) answer: RemoteAnswer,
    /// The start of the answer's body.
    pub(crate) start: AnswerStart,
}

/// Reason why the start of an answer did not arrive.
#[derive(Debug)]
pub(crate) enum ForwardFailure {
    /// The other instance refused the request. The number counts the targets
    /// in its region that may have run the request.
    Refused(Refusal, u32),
    /// The exchange with the other instance failed. The number counts the
    /// targets in its region that may have run the request, 1 at least.
    ExchangeFailed(String, u32),
    /// No stream to the other instance was free, so nothing was sent.
    NotSent,
    /// The answer did not begin before the request's deadline.
    TimedOut,
}

impl ForwardFailure {
    /// Returns the number of targets that may have run the request.
    pub(crate) fn attempts_used(&self) -> u32 {
        match self {
            Self::Refused(_, attempts_used) | Self::ExchangeFailed(_, attempts_used) => {
                *attempts_used
            }
            Self::NotSent => 0,
            Self::TimedOut => 1,
        }
    }

    /// The exchange failed before the number of targets was known, so that one
    /// is assumed.
    fn before_head(reason: impl ToString) -> Self {
        Self::ExchangeFailed(reason.to_string(), 1)
    }

    /// The head of the answer has a status that ends no exchange.
    fn without_status(status: u16, attempts_used: u32) -> Self {
        let reason = format!("status {status} ends no exchange");
        Self::ExchangeFailed(reason, attempts_used.max(1))
    }
}

impl RemoteAnswer {
    /// Returns the number of attempts since the last call.
    pub(crate) fn take_new_attempts(&mut self) -> u32 {
        let counted = std::mem::replace(&mut self.attempts_counted, self.attempts_used);
        self.attempts_used.saturating_sub(counted)
    }

    /// Returns what an answer that continues this one must have in common with
    /// it.
    pub(crate) fn kind(&self) -> AnswerKind {
        AnswerKind::new(self.status, &self.headers)
    }

    /// Sends a forwarded request and waits for the status and headers of its
    /// answer.
    ///
    /// # Errors
    ///
    /// Fails if the other instance refused the request, or if the exchange with
    /// it failed.
    pub(crate) async fn request(link: &Link<Up>, message: Forward) -> Result<Self, ForwardFailure> {
        let mut frames = link
            .forward(Stamp::default(), message)
            .await
            .map_err(|e| match e {
                Error::NoFreeStream { .. } => ForwardFailure::NotSent,
                e => ForwardFailure::before_head(e),
            })?;
        let mut attempts_used = 0;
        let mut software = None;
        loop {
            match frames.next().await.map_err(ForwardFailure::before_head)? {
                Frame::Ran(count) => attempts_used = count,
                Frame::Software(version) => software = Some(version),
                Frame::Head { status, headers } => {
                    let status = read_status(status)
                        .ok_or_else(|| ForwardFailure::without_status(status, attempts_used))?;
                    return Ok(Self {
                        status,
                        headers: read_headers(&headers),
                        software,
                        // An answer means that at least one target ran the
                        // request.
                        attempts_used: attempts_used.max(1),
                        attempts_counted: 0,
                        frames,
                    });
                }
                Frame::Refused(refusal) => {
                    return Err(ForwardFailure::Refused(refusal, attempts_used));
                }
                Frame::Data(_) | Frame::End | Frame::Stamp(_) => {
                    let reason = "unexpected frame before the head of the answer";
                    return Err(ForwardFailure::before_head(reason));
                }
            }
        }
    }
}

impl ChunkedAnswer for RemoteAnswer {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            return match self.frames.next().await {
                // The answer was resumed at another target there.
                Ok(Frame::Ran(count)) => {
                    self.attempts_used = self.attempts_used.max(count);
                    continue;
                }
                Ok(Frame::Data(data)) => Ok(Some(data.into())),
                Ok(Frame::End) => Ok(None),
                Ok(Frame::Refused(refusal)) => Err(refusal.code.as_str().to_owned()),
                Ok(Frame::Head { .. } | Frame::Stamp(_) | Frame::Software(_)) => {
                    Err("unexpected frame".to_owned())
                }
                Err(e) => Err(e.to_string()),
            };
        }
    }

    fn source(&self) -> &str {
        self.frames.peer().instance.as_str()
    }
}
