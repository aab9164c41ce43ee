//! Transitions of a request after it was dispatched.

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
    /// Returns the target or sibling to which the request was sent.
    pub fn peer(&self) -> &Peer {
        &self.state.peer
    }

    /// Ends the life cycle with a complete answer.
    pub fn answered(self) -> Request<Answered, O> {
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Answered { grant })
    }

    /// Ends the life cycle with a refusal that says that the request may have
    /// run.
    pub fn refuse_unknown(self, code: Code, step: Step) -> Refusal {
        Refusal::unknown(code, step, self.state.peer)
    }

    /// Returns to the admitted state on proof that this attempt did not run:
    /// no byte was written, or the target reported that it did not run it.
    pub fn undo_dispatch(mut self) -> Request<Admitted, O> {
        self.was_dispatched = self.state.has_earlier_attempt;
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Returns to the admitted state for another attempt, if the request may
    /// run more than once.
    ///
    /// # Errors
    ///
    /// Returns the request if it may not be repeated.
    pub fn retry(self) -> Result<Request<Admitted, O>, Self> {
        if !self.state.grant.repeatable {
            return Err(self);
        }
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(Admitted { grant }))
    }
}
