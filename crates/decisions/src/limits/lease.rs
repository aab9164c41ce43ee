//! The lease that covers an instance's shares.

use std::time::Duration;

use super::fraction::shorten_for_drift;

/// The time until which an instance may use what the ledger allocates to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// End of the lease on the local monotonic clock.
    pub expires_at: Duration,
}

impl Lease {
    /// Returns the lease granted for `ttl` by a request that was sent at
    /// `sent`.
    pub fn granted(sent: Duration, ttl: Duration) -> Self {
        Self {
            expires_at: sent + shorten_for_drift(ttl),
        }
    }

    /// Returns whether the lease has expired.
    pub fn has_expired(self, now: Duration) -> bool {
        now >= self.expires_at
    }
}
