//! Who may give orders to the engines of a pool, and in which order they count.
//!
//! ```text
//! Sender<Held> -> Sender<Lapsed>
//! ```
//!
//! The sender of a pool is the instance that holds the pool's lease in the
//! store. Its fencing number is the store's revision of the write by which it
//! became the sender, so that of two senders the later has the higher number.
//!
//! A sender whose lease lapsed can give no order:
//!
//! ```compile_fail
//! use std::time::Duration;
//! use chiverelay_decisions::orders::{Fencing, Lapsed, Sender};
//! fn order(sender: &mut Sender<Lapsed>, now: Duration) {
//!     let _ = sender.permit(Fencing::Checked, now);
//! }
//! ```
//!
//! A permit is good for one order:
//!
//! ```compile_fail
//! use chiverelay_decisions::orders::{Command, Order, Permit};
//! fn twice(permit: Permit, a: Order, b: Order) {
//!     let _ = (Command::new(permit, a), Command::new(permit, b));
//! }
//! ```

use std::time::Duration;

use crate::names::Adapter;
use crate::names::Model;
use crate::names::Pool;
use crate::names::Version;

/// Part of a lease's time by which it counts as lapsed early, for clocks that
/// run apart.
const MARGIN_DIVISOR: u32 = 5;

/// What an engine is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It reads prompts.
    Prefill,
    /// It writes answers.
    Decode,
    /// It does both.
    Both,
}

/// What an engine is told to become.
///
/// # Invariants
///
/// An order names a state and no difference to one, so that an order that
/// comes twice does no more than the first.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: Model,
        /// Its version; the newest if absent.
        version: Option<Version>,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
    },
    /// Take a role.
    ChangeRole {
        /// The role.
        role: Role,
    },
}

/// The number that a sender's orders carry, from the store's revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(pub u64);

/// The place of an order among all orders to a pool's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    /// The sender's fencing number.
    pub fence: Fence,
    /// Number of the order among the sender's, from 1.
    pub sequence: u64,
}

/// What an engine does with the fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an order with a number that is not higher than the last.
    Checked,
    /// It takes every order.
    Ignored,
}

/// Leave to give one order, in time for the lease.
///
/// # Invariants
///
/// A permit is not cloned, and the exchange that it allows ends by `until`,
/// a margin before the store gives the lease to another.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    number: Number,
    until: Duration,
}

/// An order with its number.
#[derive(Debug, PartialEq, Eq)]
pub struct Command {
    number: Number,
    until: Duration,
    order: Order,
}

impl Command {
    /// Gives a permit's number to an order.
    pub fn new(permit: Permit, order: Order) -> Self {
        Self {
            number: permit.number,
            until: permit.until,
            order,
        }
    }

    /// Returns the order's number.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the time in which the exchange has to end; `None` if it is over.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        self.until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// Why no order may be given now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The lease is over.
    Lapsed,
    /// An order of an earlier sender may still arrive, until then.
    HoldOff(Duration),
}

/// State of a sender that held the lease when it was last renewed.
///
/// # Invariants
///
/// `until` lies a margin before the store's own expiry. Before `open` the last
/// order of an earlier sender may still be on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    until: Duration,
    open: Duration,
}

/// State of a sender whose lease is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lapsed(());

/// The sender of a pool's orders in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Sender<S> {
    pool: Pool,
    fence: Fence,
    ttl: Duration,
    given: u64,
    state: S,
}

fn early(sent: Duration, ttl: Duration) -> Duration {
    sent + ttl - ttl / MARGIN_DIVISOR
}

/// Returns the time that a new sender waits before its first order to an
/// engine that ignores fencing numbers.
///
/// The last sender ended its last exchange a margin before its lease was over.
/// What it sent then, or after a pause of less than a lease, has arrived by
/// then, also by a clock that runs apart by the margin.
pub fn hold_off(ttl: Duration) -> Duration {
    ttl + ttl / MARGIN_DIVISOR
}

impl<S> Sender<S> {
    /// Returns the pool.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> Fence {
        self.fence
    }
}

impl Sender<Held> {
    /// Makes the sender whose write, sent at `sent` and answered at `now`, took
    /// the pool's lease of `ttl` at the revision `fence`.
    pub fn elected(pool: Pool, fence: Fence, ttl: Duration, sent: Duration, now: Duration) -> Self {
        Self {
            pool,
            fence,
            ttl,
            given: 0,
            state: Held {
                until: early(sent, ttl),
                open: now + hold_off(ttl),
            },
        }
    }

    /// Takes note of a renewal that was sent at `sent`.
    ///
    /// # Errors
    ///
    /// Returns the lapsed sender if the lease was over by its own clock: then
    /// it has to be elected anew, with another number.
    pub fn renewed(mut self, sent: Duration, now: Duration) -> Result<Self, Sender<Lapsed>> {
        if now >= self.state.until {
            return Err(self.lapse());
        }
        self.state.until = self.state.until.max(early(sent, self.ttl));
        Ok(self)
    }

    /// Gives the lease up.
    pub fn lapse(self) -> Sender<Lapsed> {
        Sender {
            pool: self.pool,
            fence: self.fence,
            ttl: self.ttl,
            given: self.given,
            state: Lapsed(()),
        }
    }

    /// Permits one order to an engine.
    ///
    /// # Errors
    ///
    /// Denies it when the lease is over, and to an engine that ignores the
    /// number while an earlier sender's order may still arrive.
    pub fn permit(&mut self, fencing: Fencing, now: Duration) -> Result<Permit, Denied> {
        if now >= self.state.until {
            return Err(Denied::Lapsed);
        }
        if fencing == Fencing::Ignored && now < self.state.open {
            return Err(Denied::HoldOff(self.state.open));
        }
        self.given += 1;
        Ok(Permit {
            number: Number {
                fence: self.fence,
                sequence: self.given,
            },
            until: self.state.until,
        })
    }
}
