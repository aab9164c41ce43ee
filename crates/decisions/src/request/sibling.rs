//! What a sibling's own refusal says about the request that it was passed.

use std::sync::Arc;

use super::Admitted;
use super::Dispatched;
use super::Request;
use crate::refusal::Outcome;
use crate::refusal::Refusal;

impl<O> Request<Dispatched, O> {
    /// Goes back on a sibling's own word that this attempt did not run.
    ///
    /// # Errors
    ///
    /// Gives the request back if that is not what the refusal says.
    pub fn undo_forward(mut self, refusal: &Refusal) -> Result<Request<Admitted, O>, Self> {
        if refusal.outcome != Outcome::NotRun {
            return Err(self);
        }
        self.was_dispatched = self.state.has_earlier_attempt;
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(Admitted { grant }))
    }

    /// Ends the life cycle with a sibling's own refusal.
    ///
    /// Its "not run" speaks of this attempt alone, so it does not stand where
    /// an earlier attempt was dispatched.
    pub fn into_sibling_refusal(self, mut refusal: Refusal) -> Refusal {
        if self.state.has_earlier_attempt {
            refusal.outcome = Outcome::Unknown;
        }
        refusal
    }
}
