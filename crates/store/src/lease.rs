//! Leases as typestates. Only a held one can be shown with a write.

use std::time::Duration;

use tokio::time::Instant;

use crate::Error;
use crate::Store;

/// Part of the time to live by which a lease counts as lapsed early, for
/// clocks that run apart.
const MARGIN_DIVISOR: u32 = 5;

/// State of a lease that was valid when last renewed.
///
/// # Invariants
///
/// `until` lies a margin before the store's own expiry: it is measured on the
/// local monotonic clock from before the grant or renewal was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    until: Instant,
}

/// State of a lease that is over, or that may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lapsed(());

/// A lease in state `S`.
///
/// A copy of a held one is held for no longer than it was when copied, so it
/// can be shown with writes of other parts than the one that renews it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease<S> {
    id: i64,
    ttl: Duration,
    state: S,
}

/// What became of a renewal.
#[derive(Debug)]
pub enum Renewal {
    /// The lease is held for another time to live.
    Held(Lease<Held>),
    /// The lease is over.
    Lapsed(Lease<Lapsed>),
    /// The store gave no answer; the lease is held until it lapses by itself.
    Unanswered(Lease<Held>, Error),
}

impl<S> Lease<S> {
    /// Returns the lease's identifier.
    pub fn id(&self) -> i64 {
        self.id
    }
}

impl Lease<Held> {
    pub(crate) fn new(id: i64, ttl: Duration, sent: Instant) -> Self {
        Self {
            id,
            ttl,
            state: Held {
                until: sent + ttl - ttl / MARGIN_DIVISOR,
            },
        }
    }

    /// Returns when the lease lapses unless it is renewed.
    pub fn until(&self) -> Instant {
        self.state.until
    }

    /// Tells whether the lease is still held.
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.state.until
    }

    /// Returns the lease in the state that the clock gives it.
    ///
    /// # Errors
    ///
    /// Returns the lapsed lease if its time is over.
    pub fn check(self) -> Result<Self, Lease<Lapsed>> {
        if self.is_valid() {
            return Ok(self);
        }
        Err(self.lapse())
    }

    fn lapse(self) -> Lease<Lapsed> {
        Lease {
            id: self.id,
            ttl: self.ttl,
            state: Lapsed(()),
        }
    }

    /// Renews the lease.
    pub async fn renew(self, store: &Store) -> Renewal {
        let lease = match self.check() {
            Ok(lease) => lease,
            Err(lapsed) => return Renewal::Lapsed(lapsed),
        };
        match store.renew(lease.id).await {
            Ok(Some(sent)) => match Self::new(lease.id, lease.ttl, sent).check() {
                Ok(lease) => Renewal::Held(lease),
                Err(lapsed) => Renewal::Lapsed(lapsed),
            },
            Ok(None) => Renewal::Lapsed(lease.lapse()),
            Err(e) => match lease.check() {
                Ok(lease) => Renewal::Unanswered(lease, e),
                Err(lapsed) => Renewal::Lapsed(lapsed),
            },
        }
    }

    /// Gives the lease back, and with it every key that hangs on it.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; the lease then lapses by itself.
    pub async fn revoke(self, store: &Store) -> Result<(), Error> {
        store.revoke(self.id).await
    }
}
