//! Loans between the shares that two instances have of one account's limit.

use std::time::Duration;

use super::Active;
use super::Share;
use super::ShareContext;
use crate::limits::Fraction;
use crate::limits::Lease;
use crate::limits::LoanId;
use crate::limits::fraction::NANO_TOKENS_PER_TOKEN;
use crate::limits::fraction::shorten_for_drift;
use crate::limits::loan::Loan;
use crate::names::Instance;

/// Longest duration of a loan.
pub const MAX_LOAN_DURATION: Duration = Duration::from_secs(10);

/// Shortest duration of a loan. A shorter one is not worth its message.
const MIN_LOAN_DURATION: Duration = Duration::from_secs(1);

/// A loan with less time left is returned, so that its unused tokens are not
/// lost when it expires.
const RETURN_MARGIN: Duration = Duration::from_secs(2);

/// A share that was not charged for this long is idle: it lends half of what it
/// has, if that is more than was asked for, and returns its borrowed loans.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Largest number of loans borrowed by a share, and of loans lent by it.
const MAX_LOANS: usize = 256;

/// What a share lends to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Fraction of the account's rate and burst.
    pub fraction: Fraction,
    /// Tokens transferred with the loan, in nano-tokens.
    pub tokens: u128,
    /// Duration, counted from before the borrower sent its request.
    pub valid_for: Duration,
}

/// A loan that the borrower returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnedLoan {
    /// Identifier of the loan.
    pub id: LoanId,
    /// The instance that lent it.
    pub lender: Instance,
    /// Unused tokens transferred back, in nano-tokens.
    pub tokens: u128,
}

impl Share<Active> {
    /// Returns the earliest expiry of the lease and the borrowed loans.
    fn backing_expiry(&self, lease: Lease) -> Option<Duration> {
        let lease_end = (!self.state.owned.is_zero()).then_some(lease.expires_at);
        let borrowed = self.state.borrowed.iter().map(|l| l.expires_at);
        borrowed.chain(lease_end).min()
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.last_charge.is_none_or(|at| at + IDLE_TIME < now)
    }

    /// Lends up to `nano_tokens`, and more if the share is idle.
    ///
    /// The loan expires before the lease and the borrowed loans that back it.
    /// Returns `None` if nothing can be lent.
    pub fn lend(
        &mut self,
        id: LoanId,
        peer: &Instance,
        nano_tokens: u128,
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
        let (fraction, tokens) = self.size_loan(nano_tokens, cx.now);
        if fraction.is_zero() {
            return None;
        }
        self.state.lent.push(Loan {
            id,
            peer: peer.clone(),
            fraction,
            expires_at: cx.now + time,
        });
        self.level -= tokens;
        self.clamp_to_capacity();
        Some(LoanTerms {
            fraction,
            tokens,
            valid_for: shorten_for_drift(time),
        })
    }

    fn size_loan(&self, wanted: u128, now: Duration) -> (Fraction, u128) {
        let burst = u128::from(self.limit.burst) * NANO_TOKENS_PER_TOKEN;
        let mut tokens = wanted.min(self.level);
        let mut fraction = Fraction::covering(tokens, burst);
        if self.is_idle(now) {
            tokens = tokens.max(self.level / 2);
            let free = self.capacity().saturating_sub(self.refundable);
            fraction = Fraction::covering(tokens, burst).max(Fraction::covering(free / 2, burst));
        }
        let fraction = fraction.min(self.usable_fraction());
        (fraction, tokens.min(fraction.of(burst)))
    }

    /// Takes back a loan that the borrower returned; returns false if the loan
    /// is unknown or has expired.
    pub fn take_back_loan(&mut self, id: LoanId, nano_tokens: u128, cx: ShareContext) -> bool {
        self.advance(cx);
        let Some(i) = self.state.lent.iter().position(|l| l.id == id) else {
            return false;
        };
        let loan = self.state.lent.remove(i);
        self.add_tokens(loan.fraction, nano_tokens);
        true
    }

    fn add_tokens(&mut self, fraction: Fraction, nano_tokens: u128) {
        let burst = u128::from(self.limit.burst) * NANO_TOKENS_PER_TOKEN;
        self.level += nano_tokens.min(fraction.of(burst));
        self.clamp_to_capacity();
    }

    /// Adds a borrowed loan that expires at `expires_at`; returns false if it
    /// has expired, is known already, or exceeds [`MAX_LOANS`].
    pub fn accept_loan(
        &mut self,
        id: LoanId,
        peer: &Instance,
        lent: &LoanTerms,
        expires_at: Duration,
        cx: ShareContext,
    ) -> bool {
        self.advance(cx);
        let known = self.state.borrowed.iter().any(|l| l.id == id);
        if expires_at <= cx.now || known || self.state.borrowed.len() >= MAX_LOANS {
            return false;
        }
        self.state.borrowed.push(Loan {
            id,
            peer: peer.clone(),
            fraction: lent.fraction,
            expires_at,
        });
        self.add_tokens(lent.fraction, lent.tokens);
        true
    }

    /// Gives back one borrowed loan that is about to expire, or any if the
    /// share is idle, with its part of the tokens. A loan whose fraction is
    /// lent on is kept. Returns `None` if there is no loan to return.
    pub fn return_due_loan(&mut self, cx: ShareContext) -> Option<ReturnedLoan> {
        self.advance(cx);
        let idle = self.is_idle(cx.now) && self.refundable == 0;
        self.return_loan_if(|l| idle || l.expires_at < cx.now + RETURN_MARGIN)
    }

    /// Gives back a borrowed loan that is not lent on; `None` if none is left.
    pub fn return_any_loan(&mut self, cx: ShareContext) -> Option<ReturnedLoan> {
        self.advance(cx);
        self.return_loan_if(|_| true)
    }

    fn return_loan_if<F>(&mut self, is_due: F) -> Option<ReturnedLoan>
    where
        F: Fn(&Loan) -> bool,
    {
        let usable = self.usable_fraction();
        let can_return = |l: &Loan| l.fraction <= usable && is_due(l);
        let i = self.state.borrowed.iter().position(can_return)?;
        let loan = self.state.borrowed.remove(i);
        let burst = u128::from(self.limit.burst) * NANO_TOKENS_PER_TOKEN;
        // The tokens are divided in proportion to the fractions.
        let part =
            Fraction::covering(loan.fraction.of(burst), usable.of(burst)).min(Fraction::WHOLE);
        let tokens = part.of(self.level).min(loan.fraction.of(burst));
        self.level -= tokens;
        self.clamp_to_capacity();
        Some(ReturnedLoan {
            id: loan.id,
            lender: loan.peer,
            tokens,
        })
    }
}
