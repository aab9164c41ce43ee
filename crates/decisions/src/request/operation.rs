//! What a request's route and its operation's ticket say about it.

use std::sync::Arc;
use std::time::Duration;

use super::Admitted;
use super::Direct;
use super::Head;
use super::Received;
use super::Request;
use crate::tickets::ClaimGrant;

impl Request<Received, Direct> {
    /// Starts the life cycle of a request of which an earlier attempt may
    /// have run, as its ticket or idempotency key shows.
    pub fn from_retrying_caller(head: Head) -> Self {
        Self {
            attempted: true,
            ..Self::new(head)
        }
    }
}

impl Request<Admitted, Direct> {
    /// Sets when the answer must be complete, as the route says.
    pub fn due(mut self, deadline: Duration) -> Self {
        Arc::make_mut(&mut self.head).deadline = deadline;
        self
    }

    /// Drops the doubt over earlier attempts if the request may run twice.
    ///
    /// # Errors
    ///
    /// Gives the request back if it may not be repeated.
    pub fn disregard_attempts(mut self) -> Result<Self, Self> {
        if !self.state.grant.repeatable {
            return Err(self);
        }
        self.attempted = false;
        Ok(self)
    }

    /// Records that no earlier attempt ran, as the ticket's issuer says.
    pub fn claimed(mut self, _: ClaimGrant) -> Self {
        self.attempted = false;
        self
    }
}
