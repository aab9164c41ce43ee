//! Transitions of a request that was sent to a sibling, which refused it.

use std::sync::Arc;

use super::Admitted;
use super::Dispatched;
use super::Request;
use crate::refusal::Outcome;
use crate::refusal::Refusal;

impl<O> Request<Dispatched, O> {
    /// Returns to the admitted state if the sibling's refusal says that this
    /// attempt did not run. Only for a request whose peer is a sibling.
    ///
    /// # Errors
    ///
    /// Returns the request if the refusal leaves open whether it ran.
    pub fn undo_forward(mut self, refusal: &Refusal) -> Result<Request<Admitted, O>, Self> {
        if refusal.outcome != Outcome::NotRun {
            return Err(self);
        }
        self.was_dispatched = self.state.has_earlier_attempt;
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(Admitted { grant }))
    }

    /// Ends the life cycle, and returns the refusal for the caller that follows
    /// from the sibling's.
    ///
    /// A "not run" of the sibling applies to this attempt only. If an earlier
    /// attempt was dispatched, the outcome becomes unknown.
    pub fn into_sibling_refusal(self, mut refusal: Refusal) -> Refusal {
        if self.state.has_earlier_attempt {
            refusal.outcome = Outcome::Unknown;
        }
        refusal
    }
}
