//! What a request's route and its operation's ticket say about it.

use std::sync::Arc;
use std::time::Duration;

use super::Admitted;
use super::Direct;
use super::Received;
use super::Request;
use super::RequestMeta;
use crate::tickets::ClaimGrant;

impl Request<Received, Direct> {
    /// Starts the life cycle of a request of which an earlier attempt may
    /// have run, as its ticket or idempotency key shows.
    pub fn from_retry(head: RequestMeta) -> Self {
        Self {
            was_dispatched: true,
            ..Self::new(head)
        }
    }
}

impl Request<Admitted, Direct> {
    /// Sets when the answer must be complete, as the route says.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        Arc::make_mut(&mut self.meta).deadline = deadline;
        self
    }

    /// Drops the doubt over earlier attempts if the request may run twice.
    ///
    /// # Errors
    ///
    /// Gives the request back if it may not be repeated.
    pub fn ignore_earlier_attempts(mut self) -> Result<Self, Self> {
        if !self.state.grant.repeatable {
            return Err(self);
        }
        self.was_dispatched = false;
        Ok(self)
    }

    /// Records that no earlier attempt ran, as the ticket's issuer says.
    pub fn with_claim(mut self, _: ClaimGrant) -> Self {
        self.was_dispatched = false;
        self
    }
}
