//! An instance's share of one account's limit, as a typestate.
//!
//! An expired share can't be charged:
//!
//! ```compile_fail
//! use chiverelay_decisions::limits::{Expired, Share, ShareContext};
//! fn charge(share: &mut Share<Expired>, cx: ShareContext) {
//!     let _ = share.charge(1, cx);
//! }
//! ```
//!
//! A share can't be used after it was turned into an expired one:
//!
//! ```compile_fail
//! use chiverelay_decisions::limits::{Active, Share, ShareContext};
//! fn reuse(mut share: Share<Active>, cx: ShareContext) {
//!     let expired = share.expire();
//!     let _ = share.charge(1, cx);
//! }
//! ```

mod loans;

use std::collections::BTreeSet;
use std::time::Duration;

use super::Fraction;
use super::Lease;
use super::Limit;
use super::fraction::NANO_TOKENS_PER_TOKEN;
use super::fraction::min_elapsed_nanos;
use super::loan::Loan;

pub use loans::LoanTerms;
pub use loans::MAX_LOAN_DURATION;
pub use loans::ReturnedLoan;

/// The time at which a share is used, with the limit and the lease in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareContext {
    /// The account's limit in force.
    pub limit: Limit,
    /// The instance's lease.
    pub lease: Lease,
    /// Time on the local monotonic clock.
    pub now: Duration,
}

/// State of a share that can be charged.
///
/// # Invariants
///
/// The loans in `lent` never add up to more than `owned` and the loans in
/// `borrowed`, until the lease or one of the borrowed loans expires.
#[derive(Debug)]
pub struct Active {
    owned: Fraction,
    borrowed: Vec<Loan>,
    lent: Vec<Loan>,
}

/// State of a share that was ended.
#[derive(Debug)]
pub struct Expired {
    lost_nano_tokens: u128,
}

/// A share in state `S`.
///
/// # Invariants
///
/// `level + refundable` is at most the share's fraction of the burst.
/// These and `debt` and `forfeited` are in nano-tokens. Each charge is settled
/// once.
#[derive(Debug)]
pub struct Share<S> {
    /// Number of this share. The receipts of an earlier share of the account
    /// have another one and are ignored.
    generation: u64,
    limit: Limit,
    /// Available tokens.
    level: u128,
    /// Upper bound of the tokens that open charges may still get back.
    refundable: u128,
    /// Tokens that were used beyond their charge. Refills pay them first.
    debt: u128,
    /// Sum of what was cut from `refundable` to keep it within its bound. Not
    /// the tokens that an expired share lost.
    forfeited: u128,
    updated_at: Duration,
    last_charge: Option<Duration>,
    /// Numbers of the charges that were not settled yet.
    open_charges: BTreeSet<u64>,
    charge_count: u64,
    state: S,
}

/// Receipt of a charge, needed to settle it and get unused tokens back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    generation: u64,
    charge_number: u64,
    tokens: u64,
    forfeited_at_charge: u128,
}

/// A share has too few tokens for a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientTokens {
    /// Tokens that the share lacks, in nano-tokens.
    pub missing: u128,
}

impl Share<Active> {
    /// Creates an empty share that refills from `since` on.
    pub fn empty(generation: u64, owned: Fraction, limit: Limit, since: Duration) -> Self {
        Self {
            generation,
            limit,
            level: 0,
            refundable: 0,
            debt: 0,
            forfeited: 0,
            updated_at: since,
            last_charge: None,
            open_charges: BTreeSet::new(),
            charge_count: 0,
            state: Active {
                owned,
                borrowed: Vec::new(),
                lent: Vec::new(),
            },
        }
    }

    /// Creates a full share, for a partition that was never allocated before.
    pub fn full(generation: u64, owned: Fraction, limit: Limit, since: Duration) -> Self {
        let mut share = Self::empty(generation, owned, limit, since);
        share.level = share.capacity();
        share
    }

    /// Returns the fraction of the limit that can be charged here: what is
    /// owned and borrowed, less what is lent.
    fn usable_fraction(&self) -> Fraction {
        let borrowed: Fraction = self.state.borrowed.iter().map(|l| l.fraction).sum();
        (self.state.owned + borrowed).saturating_sub(self.lent())
    }

    /// Returns the most nano-tokens that the share may have: the usable
    /// fraction of the burst.
    fn capacity(&self) -> u128 {
        self.usable_fraction()
            .of(u128::from(self.limit.burst) * NANO_TOKENS_PER_TOKEN)
    }

    fn clamp_to_capacity(&mut self) {
        let capacity = self.capacity();
        self.level = self.level.min(capacity);
        let excess = (self.level + self.refundable).saturating_sub(capacity);
        self.refundable -= excess;
        self.forfeited += excess;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = min_elapsed_nanos(now.saturating_sub(self.updated_at));
        let filled = self
            .usable_fraction()
            .of(elapsed * u128::from(self.limit.rate));
        let paid = filled.min(self.debt);
        self.debt -= paid;
        self.level += filled - paid;
        self.updated_at = self.updated_at.max(now);
        self.clamp_to_capacity();
    }

    /// Returns the earliest expiry of the lease and all loans.
    fn next_expiry(&self, lease: Lease) -> Option<Duration> {
        let lease_end = (!self.state.owned.is_zero()).then_some(lease.expires_at);
        let loans = self.state.borrowed.iter().chain(&self.state.lent);
        loans.map(|l| l.expires_at).chain(lease_end).min()
    }

    /// Updates the share to the time in `cx`: refills it, and ends the lease
    /// and the loans that have expired.
    pub fn advance(&mut self, cx: ShareContext) {
        let ShareContext { limit, lease, now } = cx;
        while let Some(end) = self.next_expiry(lease).filter(|end| *end <= now) {
            self.refill(end);
            if lease.has_expired(end) {
                self.state.owned = Fraction::ZERO;
            }
            self.state.borrowed.retain(|l| l.expires_at > end);
            self.state.lent.retain(|l| l.expires_at > end);
            self.clamp_to_capacity();
        }
        // The rate may have been lowered at any time since the last update, so
        // the share refills at the lower of the old and the new rate.
        self.limit.rate = self.limit.rate.min(limit.rate);
        self.refill(now);
        self.limit = limit;
        self.clamp_to_capacity();
    }

    /// Charges all of `tokens`, or none if too few are available.
    ///
    /// # Errors
    ///
    /// Fails with the missing tokens if the share has too few.
    pub fn charge(&mut self, tokens: u64, cx: ShareContext) -> Result<Receipt, InsufficientTokens> {
        self.advance(cx);
        self.last_charge = Some(cx.now);
        let wanted = u128::from(tokens) * NANO_TOKENS_PER_TOKEN;
        if wanted > self.level {
            return Err(InsufficientTokens {
                missing: wanted - self.level,
            });
        }
        self.level -= wanted;
        self.refundable += wanted;
        self.charge_count += 1;
        self.open_charges.insert(self.charge_count);
        Ok(Receipt {
            generation: self.generation,
            charge_number: self.charge_count,
            tokens,
            forfeited_at_charge: self.forfeited,
        })
    }

    /// Settles a charge of which `used` tokens were used.
    ///
    /// Only those unused tokens are refunded for which the share always had
    /// room since the charge. Otherwise a late refund would come on top of a
    /// burst that has refilled meanwhile.
    pub fn settle(&mut self, receipt: &Receipt, used: u64, cx: ShareContext) {
        self.advance(cx);
        if receipt.generation != self.generation
            || !self.open_charges.remove(&receipt.charge_number)
        {
            return;
        }
        let charged = u128::from(receipt.tokens) * NANO_TOKENS_PER_TOKEN;
        let used = u128::from(used) * NANO_TOKENS_PER_TOKEN;
        let forfeited = self.forfeited - receipt.forfeited_at_charge;
        self.refundable -= charged.saturating_sub(forfeited).min(self.refundable);
        self.level += charged.saturating_sub(used).saturating_sub(forfeited);
        let excess = used.saturating_sub(charged);
        let paid = excess.min(self.level);
        self.level -= paid;
        self.debt += excess - paid;
        self.clamp_to_capacity();
    }

    /// Sets the fraction that the ledger allocates. An increase adds no tokens.
    pub fn set_owned(&mut self, owned: Fraction, cx: ShareContext) {
        self.advance(cx);
        self.state.owned = owned;
        self.clamp_to_capacity();
    }

    /// Returns the available tokens, in nano-tokens.
    pub fn level(&self) -> u128 {
        self.level
    }

    /// Returns the fraction that the ledger allocates to this instance.
    pub fn owned(&self) -> Fraction {
        self.state.owned
    }

    /// Returns the time in which an empty share refills, whatever its fraction.
    pub fn time_to_fill(&self) -> Duration {
        let rate = u128::from(self.limit.rate).max(1);
        let nanos = u128::from(self.limit.burst) * NANO_TOKENS_PER_TOKEN / rate;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the fraction that is lent to other instances.
    pub fn lent(&self) -> Fraction {
        self.state.lent.iter().map(|l| l.fraction).sum()
    }

    /// Returns whether the share is full, without loans, debt or refundable
    /// tokens.
    pub fn is_full_and_settled(&self) -> bool {
        let no_loans = self.state.borrowed.is_empty() && self.state.lent.is_empty();
        no_loans && self.debt == 0 && self.refundable == 0 && self.level == self.capacity()
    }

    /// Returns whether the share has neither an allocated fraction nor any
    /// loans.
    pub fn has_no_fraction(&self) -> bool {
        let Active {
            owned,
            borrowed,
            lent,
        } = &self.state;
        owned.is_zero() && borrowed.is_empty() && lent.is_empty()
    }

    /// Ends the share and forfeits its tokens.
    pub fn expire(self) -> Share<Expired> {
        Share {
            generation: self.generation,
            limit: self.limit,
            level: 0,
            refundable: 0,
            debt: self.debt,
            forfeited: 0,
            updated_at: self.updated_at,
            last_charge: None,
            open_charges: BTreeSet::new(),
            charge_count: 0,
            state: Expired {
                lost_nano_tokens: self.level,
            },
        }
    }
}

impl Share<Expired> {
    /// Returns the forfeited tokens, in nano-tokens.
    pub fn forfeited(&self) -> u128 {
        self.state.lost_nano_tokens
    }

    /// Returns the unpaid tokens used beyond their charge, in nano-tokens.
    pub fn debt(&self) -> u128 {
        self.debt
    }
}
