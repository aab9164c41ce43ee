//! Loans of a fraction of an account's limit, with tokens, between two
//! instances, and their messages.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Fraction;
use crate::names::Account;
use crate::names::Instance;

/// Identifies a loan by the borrower's incarnation and a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LoanId {
    /// Incarnation of the borrower's process, a number that no other process
    /// has.
    pub incarnation: u64,
    /// Number of the loan request, counted within the incarnation.
    pub sequence: u64,
}

/// Message by which an instance asks another one for tokens of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanRequest {
    /// Identifier of the requested loan.
    pub id: LoanId,
    /// The account whose tokens are requested.
    pub account: Account,
    /// Tokens that the borrower lacks, in nano-tokens.
    pub tokens: u128,
}

/// Message that grants a loan.
///
/// The lender has already subtracted the fraction and tokens from its own
/// share.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanGrant {
    /// Identifier from the [`LoanRequest`].
    pub id: LoanId,
    /// The account of whose limit a fraction is lent.
    pub account: Account,
    /// Fraction of the account's rate and burst that is lent.
    pub fraction: Fraction,
    /// Tokens transferred with the loan, in nano-tokens.
    pub tokens: u128,
    /// Duration of the loan, counted from before the borrower sent its
    /// [`LoanRequest`].
    pub valid_for: Duration,
}

/// Message that returns a loan before it expires.
///
/// The borrower has already subtracted the fraction and tokens from its own
/// share.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanReturn {
    /// Identifier from the [`LoanRequest`].
    pub id: LoanId,
    /// The account of the loan.
    pub account: Account,
    /// Unused tokens transferred back, in nano-tokens.
    pub tokens: u128,
}

/// A loan as recorded by the lender and by the borrower.
///
/// `peer` is the other side. `expires_at` is on the local monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Loan {
    pub(super) id: LoanId,
    pub(super) peer: Instance,
    pub(super) fraction: Fraction,
    pub(super) expires_at: Duration,
}
