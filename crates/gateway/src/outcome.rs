//! Outcomes of single attempts at a request.

use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_target::connection_pool::PooledResponse;

use crate::Dialect;
use crate::Reply;
use crate::answer::AnswerStart;
use crate::message::HandleResult;
use crate::reservation_guard::ReservationGuard;

/// An answer of a target whose start was read. `O` is the origin of the
/// request: a caller (`Direct`) or another instance (`Forwarded`).
#[derive(Debug)]
pub(crate) struct StartedAnswer<D, O>
where
    D: Dialect,
{
    /// The request, which was sent to the target.
    pub(crate) req: Request<Dispatched, O>,
    /// Reservation at the target.
    pub(crate) reservation: ReservationGuard<D>,
    /// The answer, of whose body `start` was read already.
    pub(crate) answer: PooledResponse,
    /// The start of the answer's body.
    pub(crate) start: AnswerStart,
}

/// Result to return if no destination is left after a failed attempt.
#[derive(Debug)]
pub(crate) struct Fallback {
    /// Refusal that describes the failed attempt.
    pub(crate) refusal: Refusal,
    /// Error reply of the target, which is preferred to the refusal.
    pub(crate) reply: Option<Box<Reply>>,
}

impl From<Refusal> for Fallback {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            reply: None,
        }
    }
}

impl Fallback {
    /// Ends the request with this result.
    pub(crate) fn into_result(self) -> HandleResult {
        match self.reply {
            Some(reply) => Ok(*reply),
            None => Err(self.refusal),
        }
    }
}

/// Result of an attempt at a target.
#[derive(Debug)]
pub(crate) enum AttemptOutcome<D, O>
where
    D: Dialect,
{
    /// The target has started to answer.
    Answered(Box<StartedAnswer<D, O>>),
    /// The request may be tried at another target. The fallback is returned if
    /// there is none.
    Retry(Request<Admitted, O>, Fallback),
    /// The request has failed and may not be retried.
    Refused(Refusal),
}
