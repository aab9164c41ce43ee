//! Transitions of a request after it was dispatched.

use std::marker::PhantomData;
use std::sync::Arc;

use super::Admitted;
use super::Answered;
use super::Dispatched;
use super::Request;
use crate::names::Instance;
use crate::names::Target;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::step::Peer;
use crate::step::Step;

impl<O> Request<Dispatched, O> {
    /// Returns the target or sibling to which the request was sent.
    pub fn peer(&self) -> &Peer {
        &self.state.peer
    }

    /// Returns the request for another attempt beside this one, if it may run
    /// more than once: `None` if it may not.
    ///
    /// Only one of the two may go on to an answer; the other one is dropped with
    /// its attempt.
    pub fn duplicate(&self) -> Option<Request<Admitted, O>> {
        if !self.state.grant.repeatable {
            return None;
        }
        Some(Request {
            meta: Arc::clone(&self.meta),
            key: self.key.clone(),
            was_dispatched: self.was_dispatched,
            tried_targets: self.tried_targets.clone(),
            asked_siblings: self.asked_siblings.clone(),
            state: Admitted {
                grant: Arc::clone(&self.state.grant),
            },
            origin: PhantomData,
        })
    }

    /// Marks a target as tried that a duplicate of this request was placed at.
    pub fn mark_tried(&mut self, target: Target) {
        self.tried_targets.push(target);
    }

    /// Marks a sibling as asked that a duplicate of this request was forwarded
    /// to.
    pub fn mark_asked(&mut self, sibling: Instance) {
        self.asked_siblings.push(sibling);
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
