//! An instance's share of one account's limit, as a typestate.
//!
//! A lapsed share has nothing to take from:
//!
//! ```compile_fail
//! use chiverelay_decisions::limits::{Lapsed, Moment, Share};
//! fn take(share: &mut Share<Lapsed>, at: Moment) {
//!     let _ = share.take(1, at);
//! }
//! ```
//!
//! A share that was given up can't be used again by keeping it:
//!
//! ```compile_fail
//! use chiverelay_decisions::limits::{Held, Moment, Share};
//! fn reuse(mut share: Share<Held>, at: Moment) {
//!     let lapsed = share.lapse();
//!     let _ = share.take(1, at);
//! }
//! ```

use std::collections::BTreeSet;
use std::time::Duration;

use super::Fraction;
use super::Limit;
use super::LoanId;
use super::fraction::NANOS_PER_TOKEN;
use super::fraction::min_elapsed_nanos;
use super::fraction::shorten_for_drift;
use super::loan::Loan;
use crate::names::Instance;

/// Longest time of a loan.
pub const MAX_LOAN_DURATION: Duration = Duration::from_secs(10);

/// A shorter loan is not worth its message.
const MIN_LOAN_DURATION: Duration = Duration::from_secs(1);

/// A loan with less time left is given back, so that its tokens outlive it.
const RETURN_MARGIN: Duration = Duration::from_secs(2);

/// A share that nothing was taken from for so long lends half of what it has.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Most loans that a share takes, and most that it gives.
const MAX_LOANS: usize = 256;

/// The time until which an instance may spend what the ledger says it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// End of the lease on the local monotonic clock.
    pub expires_at: Duration,
}

impl Lease {
    /// Returns the lease that a request sent at `sent` was granted for `ttl`.
    pub fn granted(sent: Duration, ttl: Duration) -> Self {
        Self {
            expires_at: sent + shorten_for_drift(ttl),
        }
    }

    /// Tells whether the lease has run out.
    pub fn has_expired(self, now: Duration) -> bool {
        now >= self.expires_at
    }
}

/// When a share is used, and what then holds for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareContext {
    /// The account's limit in force.
    pub limit: Limit,
    /// The instance's lease.
    pub lease: Lease,
    /// The local monotonic clock.
    pub now: Duration,
}

/// State of a share that can be spent.
///
/// # Invariants
///
/// What is lent never comes to more than `base` and the loans taken, as long
/// as the parts that back it run.
#[derive(Debug)]
pub struct Active {
    owned: Fraction,
    borrowed: Vec<Loan>,
    lent: Vec<Loan>,
}

/// State of a share whose lease and loans have run out.
#[derive(Debug)]
pub struct Expired {
    forfeited: u128,
}

/// A share in state `S`.
///
/// # Invariants
///
/// `level + credit` is at most the weight's part of the burst. `credit` is at
/// least what may still be refunded, and `written_off` counts the credit that
/// had to make room for tokens. All count nano-tokens. `open` has the charges
/// that have not ended; each ends once.
#[derive(Debug)]
pub struct Share<S> {
    generation: u64,
    limit: Limit,
    level: u128,
    refundable: u128,
    debt: u128,
    forfeited: u128,
    updated_at: Duration,
    last_charge: Option<Duration>,
    open_charges: BTreeSet<u64>,
    charge_count: u64,
    state: S,
}

/// Proof of a charge, by which unused tokens come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    generation: u64,
    charge_number: u64,
    tokens: u64,
    forfeited_before: u128,
}

/// The tokens that a share lacks for a charge, in nano-tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientTokens {
    /// The nano-tokens that are missing.
    pub missing: u128,
}

/// What a holder lends of its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// The part of rate and burst.
    pub fraction: Fraction,
    /// The nano-tokens that go along.
    pub tokens: u128,
    /// How long the asker may keep it.
    pub valid_for: Duration,
}

/// A loan that its taker has given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnedLoan {
    /// The loan.
    pub id: LoanId,
    /// Who lent it.
    pub lender: Instance,
    /// The nano-tokens that go along.
    pub tokens: u128,
}

impl Share<Active> {
    /// Makes an empty share that fills from `since` on.
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

    /// Makes a full share, of a part that nobody held before.
    pub fn full(generation: u64, owned: Fraction, limit: Limit, since: Duration) -> Self {
        let mut share = Self::empty(generation, owned, limit, since);
        share.level = share.capacity();
        share
    }

    /// Returns the part of the whole that may be spent here.
    fn spendable(&self) -> Fraction {
        let taken: Fraction = self.state.borrowed.iter().map(|l| l.fraction).sum();
        (self.state.owned + taken).saturating_sub(self.lent())
    }

    fn capacity(&self) -> u128 {
        self.spendable()
            .of(u128::from(self.limit.burst) * NANOS_PER_TOKEN)
    }

    fn clamp_to_capacity(&mut self) {
        let cap = self.capacity();
        self.level = self.level.min(cap);
        let over = (self.level + self.refundable).saturating_sub(cap);
        self.refundable -= over;
        self.forfeited += over;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = min_elapsed_nanos(now.saturating_sub(self.updated_at));
        let filled = self.spendable().of(elapsed * u128::from(self.limit.rate));
        let paid = filled.min(self.debt);
        self.debt -= paid;
        self.level += filled - paid;
        self.updated_at = self.updated_at.max(now);
        self.clamp_to_capacity();
    }

    fn next_expiry(&self, lease: Lease) -> Option<Duration> {
        let base = (!self.state.owned.is_zero()).then_some(lease.expires_at);
        let loans = self.state.borrowed.iter().chain(&self.state.lent);
        loans.map(|l| l.expires_at).chain(base).min()
    }

    /// Brings the share up to `now`: fills it and ends what has run out.
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
        // A lower rate may have been in force since the last look.
        self.limit.rate = self.limit.rate.min(limit.rate);
        self.refill(now);
        self.limit = limit;
        self.clamp_to_capacity();
    }

    /// Takes tokens, all or none.
    ///
    /// # Errors
    ///
    /// Says what is missing if the share does not hold them.
    pub fn charge(&mut self, tokens: u64, cx: ShareContext) -> Result<Receipt, InsufficientTokens> {
        self.advance(cx);
        self.last_charge = Some(cx.now);
        let want = u128::from(tokens) * NANOS_PER_TOKEN;
        if want > self.level {
            return Err(InsufficientTokens {
                missing: want - self.level,
            });
        }
        self.level -= want;
        self.refundable += want;
        self.charge_count += 1;
        self.open_charges.insert(self.charge_count);
        Ok(Receipt {
            generation: self.generation,
            charge_number: self.charge_count,
            tokens,
            forfeited_before: self.forfeited,
        })
    }

    /// Ends a charge of which `used` tokens were used.
    ///
    /// Unused tokens come back as far as the share had room for them all the
    /// while, else a late refund would add to a burst that filled meanwhile.
    pub fn settle(&mut self, receipt: &Receipt, used: u64, cx: ShareContext) {
        self.advance(cx);
        if receipt.generation != self.generation
            || !self.open_charges.remove(&receipt.charge_number)
        {
            return;
        }
        let charged = u128::from(receipt.tokens) * NANOS_PER_TOKEN;
        let used = u128::from(used) * NANOS_PER_TOKEN;
        let written_off = self.forfeited - receipt.forfeited_before;
        self.refundable -= charged.saturating_sub(written_off).min(self.refundable);
        self.level += charged.saturating_sub(used).saturating_sub(written_off);
        let excess = used.saturating_sub(charged);
        let paid = excess.min(self.level);
        self.level -= paid;
        self.debt += excess - paid;
        self.clamp_to_capacity();
    }

    /// Changes the part that the ledger says is held here. What is added
    /// starts empty.
    pub fn set_owned(&mut self, owned: Fraction, cx: ShareContext) {
        self.advance(cx);
        self.state.owned = owned;
        self.clamp_to_capacity();
    }

    fn backing_expiry(&self, lease: Lease) -> Option<Duration> {
        let base = (!self.state.owned.is_zero()).then_some(lease.expires_at);
        let taken = self.state.borrowed.iter().map(|l| l.expires_at);
        taken.chain(base).min()
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.last_charge.is_none_or(|at| at + IDLE_TIME < now)
    }

    /// Lends up to `tokens` nano-tokens, and more of an idle share.
    ///
    /// The loan ends before anything that backs it.
    pub fn lend(
        &mut self,
        id: LoanId,
        peer: &Instance,
        tokens: u128,
        cx: ShareContext,
    ) -> Option<LoanTerms> {
        self.advance(cx);
        let time = self
            .backing_expiry(cx.lease)?
            .saturating_sub(cx.now)
            .min(MAX_LOAN_DURATION);
        let known = self.state.lent.iter().any(|l| l.id == id);
        if time < MIN_LOAN_DURATION || known || self.state.lent.len() >= MAX_LOANS || self.debt > 0
        {
            return None;
        }
        let (weight, tokens) = self.size_loan(tokens, cx.now);
        if weight.is_zero() {
            return None;
        }
        self.state.lent.push(Loan {
            id,
            peer: peer.clone(),
            fraction: weight,
            expires_at: cx.now + time,
        });
        self.level -= tokens;
        self.clamp_to_capacity();
        Some(LoanTerms {
            fraction: weight,
            tokens,
            valid_for: shorten_for_drift(time),
        })
    }

    fn size_loan(&self, wanted: u128, now: Duration) -> (Fraction, u128) {
        let burst = u128::from(self.limit.burst) * NANOS_PER_TOKEN;
        let mut tokens = wanted.min(self.level);
        let mut weight = Fraction::covering(tokens, burst);
        if self.is_idle(now) {
            tokens = tokens.max(self.level / 2);
            let free = self.capacity().saturating_sub(self.refundable);
            weight = Fraction::covering(tokens, burst).max(Fraction::covering(free / 2, burst));
        }
        let weight = weight.min(self.spendable());
        (weight, tokens.min(weight.of(burst)))
    }

    /// Takes back a loan that was given; unknown or ended ones change nothing.
    pub fn take_back_loan(&mut self, id: LoanId, tokens: u128, cx: ShareContext) -> bool {
        self.advance(cx);
        let Some(i) = self.state.lent.iter().position(|l| l.id == id) else {
            return false;
        };
        let loan = self.state.lent.remove(i);
        self.add_tokens(loan.fraction, tokens);
        true
    }

    fn add_tokens(&mut self, weight: Fraction, tokens: u128) {
        let burst = u128::from(self.limit.burst) * NANOS_PER_TOKEN;
        self.level += tokens.min(weight.of(burst));
        self.clamp_to_capacity();
    }

    /// Takes a loan that ends at `until`.
    pub fn accept_loan(
        &mut self,
        id: LoanId,
        peer: &Instance,
        lent: &LoanTerms,
        until: Duration,
        at: ShareContext,
    ) -> bool {
        self.advance(at);
        let known = self.state.borrowed.iter().any(|l| l.id == id);
        if until <= at.now || known || self.state.borrowed.len() >= MAX_LOANS {
            return false;
        }
        self.state.borrowed.push(Loan {
            id,
            peer: peer.clone(),
            fraction: lent.fraction,
            expires_at: until,
        });
        self.add_tokens(lent.fraction, lent.tokens);
        true
    }

    /// Gives back one loan that nears its end or is not used, and its part of
    /// the tokens.
    pub fn return_loan(&mut self, cx: ShareContext) -> Option<ReturnedLoan> {
        self.advance(cx);
        let idle = self.is_idle(cx.now) && self.refundable == 0;
        self.return_loan_if(|l| idle || l.expires_at < cx.now + RETURN_MARGIN)
    }

    /// Gives back one loan, also if it is in use.
    pub fn return_any_loan(&mut self, cx: ShareContext) -> Option<ReturnedLoan> {
        self.advance(cx);
        self.return_loan_if(|_| true)
    }

    fn return_loan_if<F>(&mut self, due: F) -> Option<ReturnedLoan>
    where
        F: Fn(&Loan) -> bool,
    {
        let whole = self.spendable();
        let due = |l: &Loan| l.fraction <= whole && due(l);
        let i = self.state.borrowed.iter().position(due)?;
        let loan = self.state.borrowed.remove(i);
        let burst = u128::from(self.limit.burst) * NANOS_PER_TOKEN;
        // An equal part of the tokens, by weight.
        let part =
            Fraction::covering(loan.fraction.of(burst), whole.of(burst)).min(Fraction::WHOLE);
        let tokens = part.of(self.level).min(loan.fraction.of(burst));
        self.level -= tokens;
        self.clamp_to_capacity();
        Some(ReturnedLoan {
            id: loan.id,
            lender: loan.peer,
            tokens,
        })
    }

    /// Returns the nano-tokens held.
    pub fn level(&self) -> u128 {
        self.level
    }

    /// Returns the part of the whole that the ledger says is held here.
    pub fn owned(&self) -> Fraction {
        self.state.owned
    }

    /// Returns the time in which an empty share fills.
    pub fn time_to_fill(&self) -> Duration {
        let rate = u128::from(self.limit.rate).max(1);
        let nanos = u128::from(self.limit.burst) * NANOS_PER_TOKEN / rate;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the part that is on loan to others.
    pub fn lent(&self) -> Fraction {
        self.state.lent.iter().map(|l| l.fraction).sum()
    }

    /// Tells whether a share made anew would be the same as this one.
    pub fn is_pristine(&self) -> bool {
        let plain = self.state.borrowed.is_empty() && self.state.lent.is_empty();
        plain && self.debt == 0 && self.refundable == 0 && self.level == self.capacity()
    }

    /// Tells whether nothing is left that can be spent or come back.
    pub fn is_unbacked(&self) -> bool {
        let Active {
            owned: base,
            borrowed: taken,
            lent: given,
        } = &self.state;
        base.is_zero() && taken.is_empty() && given.is_empty()
    }

    /// Gives the share up, with the tokens in it.
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
                forfeited: self.level,
            },
        }
    }
}

impl Share<Expired> {
    /// Returns the nano-tokens that were given up.
    pub fn forfeited(&self) -> u128 {
        self.state.forfeited
    }

    /// Returns tokens that were used beyond their charge and not paid for, in
    /// nano-tokens.
    pub fn debt(&self) -> u128 {
        self.debt
    }
}
