//! What becomes of a request at one place.

use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Request;
use chiverelay_target::connection_pool::PooledResponse;

use crate::Dialect;
use crate::Reply;
use crate::answer::AnswerStart;
use crate::message::HandleResult;
use crate::place::ReservationGuard;

/// An answer whose beginning was read.
#[derive(Debug)]
pub(crate) struct Answered<D, O>
where
    D: Dialect,
{
    /// The request.
    pub(crate) req: Request<Dispatched, O>,
    /// Its place at the target.
    pub(crate) reservation: ReservationGuard<D>,
    /// The answer.
    pub(crate) answer: PooledResponse,
    /// What was read of it.
    pub(crate) start: AnswerStart,
}

/// What stands if no other place is found for a request.
#[derive(Debug)]
pub(crate) struct Fallback {
    /// The refusal.
    pub(crate) refusal: Refusal,
    /// The failure that a target answered, which goes before the refusal.
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
    /// Ends the request.
    pub(crate) fn into_result(self) -> HandleResult {
        match self.reply {
            Some(reply) => Ok(*reply),
            None => Err(self.refusal),
        }
    }
}

/// What became of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome<D, O>
where
    D: Dialect,
{
    /// An answer has begun.
    Answered(Box<Answered<D, O>>),
    /// Another target may be tried; else this setback stands.
    Retry(Request<Admitted, O>, Fallback),
    /// The request is over.
    Refused(Refusal),
}
