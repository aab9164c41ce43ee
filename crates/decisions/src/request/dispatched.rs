//! What may follow once a request was sent to where it may run.

use std::sync::Arc;

use super::Admitted;
use super::Answered;
use super::Dispatched;
use super::Request;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::step::Peer;
use crate::step::Step;

impl<O> Request<Dispatched, O> {
    /// Returns the peer that has the request.
    pub fn peer(&self) -> &Peer {
        &self.state.peer
    }

    /// Ends the life cycle with a whole answer.
    pub fn answered(self) -> Request<Answered, O> {
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Answered { grant })
    }

    /// Ends the life cycle with an outcome that is not known.
    pub fn refuse_unknown(self, code: Code, step: Step) -> Refusal {
        Refusal::unknown(code, step, self.state.peer)
    }

    /// Goes back on proof that this attempt did not run: no byte was written,
    /// or the target said so itself.
    pub fn undo_dispatch(mut self) -> Request<Admitted, O> {
        self.was_dispatched = self.state.has_earlier_attempt;
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Starts another attempt at a request that may run more than once.
    ///
    /// # Errors
    ///
    /// Gives the request back if it may not be repeated.
    pub fn retry(self) -> Result<Request<Admitted, O>, Self> {
        if !self.state.grant.repeatable {
            return Err(self);
        }
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(Admitted { grant }))
    }
}
