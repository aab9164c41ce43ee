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

use super::Limit;
use super::LoanId;
use super::Weight;
use super::loan::Loan;
use super::weight::NANOS;
use super::weight::at_least;
use super::weight::with_margin;
use crate::names::Instance;

/// Longest time of a loan.
pub const LOAN_TIME: Duration = Duration::from_secs(10);

/// A shorter loan is not worth its message.
const MIN_LOAN: Duration = Duration::from_secs(1);

/// A loan with less time left is given back, so that its tokens outlive it.
const CLOSING: Duration = Duration::from_secs(2);

/// A share that nothing was taken from for so long lends half of what it has.
const IDLE: Duration = Duration::from_secs(1);

/// Most loans that a share takes, and most that it gives.
const MAX_LOANS: usize = 256;

/// The time until which an instance may spend what the ledger says it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// End of the lease on the local monotonic clock.
    pub until: Duration,
}

impl Lease {
    /// Returns the lease that a request sent at `sent` was granted for `ttl`.
    pub fn granted(sent: Duration, ttl: Duration) -> Self {
        Self {
            until: sent + with_margin(ttl),
        }
    }

    /// Tells whether the lease has run out.
    pub fn has_lapsed(self, now: Duration) -> bool {
        now >= self.until
    }
}

/// When a share is used, and what then holds for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
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
pub struct Held {
    base: Weight,
    taken: Vec<Loan>,
    given: Vec<Loan>,
}

/// State of a share whose lease and loans have run out.
#[derive(Debug)]
pub struct Lapsed {
    lost: u128,
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
    credit: u128,
    debt: u128,
    written_off: u128,
    at: Duration,
    last_take: Option<Duration>,
    open: BTreeSet<u64>,
    charges: u64,
    state: S,
}

/// Proof of a charge, by which unused tokens come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    generation: u64,
    charge: u64,
    tokens: u64,
    written_off: u128,
}

/// The tokens that a share lacks for a charge, in nano-tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// The nano-tokens that are missing.
    pub missing: u128,
}

/// What a holder lends of its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lent {
    /// The part of rate and burst.
    pub weight: Weight,
    /// The nano-tokens that go along.
    pub tokens: u128,
    /// How long the asker may keep it.
    pub valid: Duration,
}

/// A loan that its taker has given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenBack {
    /// The loan.
    pub id: LoanId,
    /// Who lent it.
    pub lender: Instance,
    /// The nano-tokens that go along.
    pub tokens: u128,
}

impl Share<Held> {
    /// Makes an empty share that fills from `since` on.
    pub fn empty(generation: u64, base: Weight, limit: Limit, since: Duration) -> Self {
        Self {
            generation,
            limit,
            level: 0,
            credit: 0,
            debt: 0,
            written_off: 0,
            at: since,
            last_take: None,
            open: BTreeSet::new(),
            charges: 0,
            state: Held {
                base,
                taken: Vec::new(),
                given: Vec::new(),
            },
        }
    }

    /// Makes a full share, of a part that nobody held before.
    pub fn full(generation: u64, base: Weight, limit: Limit, since: Duration) -> Self {
        let mut share = Self::empty(generation, base, limit, since);
        share.level = share.cap();
        share
    }

    /// Returns the part of the whole that may be spent here.
    fn weight(&self) -> Weight {
        let taken: Weight = self.state.taken.iter().map(|l| l.weight).sum();
        (self.state.base + taken).saturating_sub(self.given())
    }

    fn cap(&self) -> u128 {
        self.weight().of(u128::from(self.limit.burst) * NANOS)
    }

    fn clamp(&mut self) {
        let cap = self.cap();
        self.level = self.level.min(cap);
        let over = (self.level + self.credit).saturating_sub(cap);
        self.credit -= over;
        self.written_off += over;
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = at_least(now.saturating_sub(self.at));
        let filled = self.weight().of(elapsed * u128::from(self.limit.rate));
        let paid = filled.min(self.debt);
        self.debt -= paid;
        self.level += filled - paid;
        self.at = self.at.max(now);
        self.clamp();
    }

    fn next_end(&self, lease: Lease) -> Option<Duration> {
        let base = (!self.state.base.is_none()).then_some(lease.until);
        let loans = self.state.taken.iter().chain(&self.state.given);
        loans.map(|l| l.until).chain(base).min()
    }

    /// Brings the share up to `now`: fills it and ends what has run out.
    pub fn advance(&mut self, at: Moment) {
        let Moment { limit, lease, now } = at;
        while let Some(end) = self.next_end(lease).filter(|end| *end <= now) {
            self.fill(end);
            if lease.has_lapsed(end) {
                self.state.base = Weight::NONE;
            }
            self.state.taken.retain(|l| l.until > end);
            self.state.given.retain(|l| l.until > end);
            self.clamp();
        }
        // A lower rate may have been in force since the last look.
        self.limit.rate = self.limit.rate.min(limit.rate);
        self.fill(now);
        self.limit = limit;
        self.clamp();
    }

    /// Takes tokens, all or none.
    ///
    /// # Errors
    ///
    /// Says what is missing if the share does not hold them.
    pub fn take(&mut self, tokens: u64, at: Moment) -> Result<Receipt, Short> {
        self.advance(at);
        self.last_take = Some(at.now);
        let want = u128::from(tokens) * NANOS;
        if want > self.level {
            return Err(Short {
                missing: want - self.level,
            });
        }
        self.level -= want;
        self.credit += want;
        self.charges += 1;
        self.open.insert(self.charges);
        Ok(Receipt {
            generation: self.generation,
            charge: self.charges,
            tokens,
            written_off: self.written_off,
        })
    }

    /// Ends a charge of which `used` tokens were used.
    ///
    /// Unused tokens come back as far as the share had room for them all the
    /// while, else a late refund would add to a burst that filled meanwhile.
    pub fn settle(&mut self, receipt: &Receipt, used: u64, at: Moment) {
        self.advance(at);
        if receipt.generation != self.generation || !self.open.remove(&receipt.charge) {
            return;
        }
        let charged = u128::from(receipt.tokens) * NANOS;
        let used = u128::from(used) * NANOS;
        let written_off = self.written_off - receipt.written_off;
        self.credit -= charged.saturating_sub(written_off).min(self.credit);
        self.level += charged.saturating_sub(used).saturating_sub(written_off);
        let excess = used.saturating_sub(charged);
        let paid = excess.min(self.level);
        self.level -= paid;
        self.debt += excess - paid;
        self.clamp();
    }

    /// Changes the part that the ledger says is held here. What is added
    /// starts empty.
    pub fn set_base(&mut self, base: Weight, at: Moment) {
        self.advance(at);
        self.state.base = base;
        self.clamp();
    }

    fn horizon(&self, lease: Lease) -> Option<Duration> {
        let base = (!self.state.base.is_none()).then_some(lease.until);
        let taken = self.state.taken.iter().map(|l| l.until);
        taken.chain(base).min()
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.last_take.is_none_or(|at| at + IDLE < now)
    }

    /// Lends up to `tokens` nano-tokens, and more of an idle share.
    ///
    /// The loan ends before anything that backs it.
    pub fn lend(&mut self, id: LoanId, peer: &Instance, tokens: u128, at: Moment) -> Option<Lent> {
        self.advance(at);
        let time = self
            .horizon(at.lease)?
            .saturating_sub(at.now)
            .min(LOAN_TIME);
        let known = self.state.given.iter().any(|l| l.id == id);
        if time < MIN_LOAN || known || self.state.given.len() >= MAX_LOANS || self.debt > 0 {
            return None;
        }
        let (weight, tokens) = self.offer(tokens, at.now);
        if weight.is_none() {
            return None;
        }
        self.state.given.push(Loan {
            id,
            peer: peer.clone(),
            weight,
            until: at.now + time,
        });
        self.level -= tokens;
        self.clamp();
        Some(Lent {
            weight,
            tokens,
            valid: with_margin(time),
        })
    }

    fn offer(&self, wanted: u128, now: Duration) -> (Weight, u128) {
        let burst = u128::from(self.limit.burst) * NANOS;
        let mut tokens = wanted.min(self.level);
        let mut weight = Weight::covering(tokens, burst);
        if self.is_idle(now) {
            tokens = tokens.max(self.level / 2);
            let free = self.cap().saturating_sub(self.credit);
            weight = Weight::covering(tokens, burst).max(Weight::covering(free / 2, burst));
        }
        let weight = weight.min(self.weight());
        (weight, tokens.min(weight.of(burst)))
    }

    /// Takes back a loan that was given; unknown or ended ones change nothing.
    pub fn restore(&mut self, id: LoanId, tokens: u128, at: Moment) -> bool {
        self.advance(at);
        let Some(i) = self.state.given.iter().position(|l| l.id == id) else {
            return false;
        };
        let loan = self.state.given.remove(i);
        self.receive(loan.weight, tokens);
        true
    }

    fn receive(&mut self, weight: Weight, tokens: u128) {
        let burst = u128::from(self.limit.burst) * NANOS;
        self.level += tokens.min(weight.of(burst));
        self.clamp();
    }

    /// Takes a loan that ends at `until`.
    pub fn accept(
        &mut self,
        id: LoanId,
        peer: &Instance,
        lent: &Lent,
        until: Duration,
        at: Moment,
    ) -> bool {
        self.advance(at);
        let known = self.state.taken.iter().any(|l| l.id == id);
        if until <= at.now || known || self.state.taken.len() >= MAX_LOANS {
            return false;
        }
        self.state.taken.push(Loan {
            id,
            peer: peer.clone(),
            weight: lent.weight,
            until,
        });
        self.receive(lent.weight, lent.tokens);
        true
    }

    /// Gives back one loan that nears its end or is not used, and its part of
    /// the tokens.
    pub fn give_back(&mut self, at: Moment) -> Option<GivenBack> {
        self.advance(at);
        let idle = self.is_idle(at.now) && self.credit == 0;
        self.give_back_if(|l| idle || l.until < at.now + CLOSING)
    }

    /// Gives back one loan, also if it is in use.
    pub fn give_back_any(&mut self, at: Moment) -> Option<GivenBack> {
        self.advance(at);
        self.give_back_if(|_| true)
    }

    fn give_back_if<F>(&mut self, due: F) -> Option<GivenBack>
    where
        F: Fn(&Loan) -> bool,
    {
        let whole = self.weight();
        let due = |l: &Loan| l.weight <= whole && due(l);
        let i = self.state.taken.iter().position(due)?;
        let loan = self.state.taken.remove(i);
        let burst = u128::from(self.limit.burst) * NANOS;
        // An equal part of the tokens, by weight.
        let part = Weight::covering(loan.weight.of(burst), whole.of(burst)).min(Weight::WHOLE);
        let tokens = part.of(self.level).min(loan.weight.of(burst));
        self.level -= tokens;
        self.clamp();
        Some(GivenBack {
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
    pub fn base(&self) -> Weight {
        self.state.base
    }

    /// Returns the time in which an empty share fills.
    pub fn time_to_fill(&self) -> Duration {
        let rate = u128::from(self.limit.rate).max(1);
        let nanos = u128::from(self.limit.burst) * NANOS / rate;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the part that is on loan to others.
    pub fn given(&self) -> Weight {
        self.state.given.iter().map(|l| l.weight).sum()
    }

    /// Tells whether a share made anew would be the same as this one.
    pub fn is_untouched(&self) -> bool {
        let plain = self.state.taken.is_empty() && self.state.given.is_empty();
        plain && self.debt == 0 && self.credit == 0 && self.level == self.cap()
    }

    /// Tells whether nothing is left that can be spent or come back.
    pub fn is_spent(&self) -> bool {
        let Held { base, taken, given } = &self.state;
        base.is_none() && taken.is_empty() && given.is_empty()
    }

    /// Gives the share up, with the tokens in it.
    pub fn lapse(self) -> Share<Lapsed> {
        Share {
            generation: self.generation,
            limit: self.limit,
            level: 0,
            credit: 0,
            debt: self.debt,
            written_off: 0,
            at: self.at,
            last_take: None,
            open: BTreeSet::new(),
            charges: 0,
            state: Lapsed { lost: self.level },
        }
    }
}

impl Share<Lapsed> {
    /// Returns the nano-tokens that were given up.
    pub fn lost(&self) -> u128 {
        self.state.lost
    }

    /// Returns tokens that were used beyond their charge and not paid for, in
    /// nano-tokens.
    pub fn debt(&self) -> u128 {
        self.debt
    }
}
