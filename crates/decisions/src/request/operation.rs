//! Deadline of an admitted request, and earlier attempts at its operation.
//!
//! An operation is the work that all requests with the same ticket or
//! idempotency key ask for.

use std::sync::Arc;
use std::time::Duration;

use super::Admitted;
use super::Direct;
use super::Received;
use super::Request;
use super::RequestMeta;
use crate::tickets::ClaimGrant;

impl Request<Received, Direct> {
    /// Starts the life cycle of a request whose ticket or idempotency key shows
    /// that an earlier attempt may have run.
    pub fn from_retry(meta: RequestMeta) -> Self {
        Self {
            was_dispatched: true,
            ..Self::new(meta)
        }
    }
}

impl Request<Admitted, Direct> {
    /// Sets the deadline of the answer to the one of the route, on the local
    /// monotonic clock.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        Arc::make_mut(&mut self.meta).deadline = deadline;
        self
    }

    /// Treats the request as not yet dispatched, whatever earlier attempts did,
    /// if it may run more than once. Refusals then state only what this request
    /// did.
    ///
    /// # Errors
    ///
    /// Returns the request if it may not be repeated.
    pub fn ignore_earlier_attempts(mut self) -> Result<Self, Self> {
        if !self.state.grant.repeatable {
            return Err(self);
        }
        self.was_dispatched = false;
        Ok(self)
    }

    /// Records that no earlier attempt ran. The proof is the granted claim,
    /// which is the permission to run an operation that may run only once.
    pub fn confirm_not_run(mut self, _: ClaimGrant) -> Self {
        self.was_dispatched = false;
        self
    }
}
