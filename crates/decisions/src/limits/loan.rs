//! Capacity on loan between two instances, and the messages that move it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Fraction;
use crate::names::Account;
use crate::names::Instance;

/// Identifies a loan: the asker's incarnation and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LoanId {
    /// Incarnation of the asker.
    pub incarnation: u64,
    /// Number of the loan in that incarnation.
    pub sequence: u64,
}

/// Asks a holder for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanRequest {
    /// The loan asked for.
    pub id: LoanId,
    /// The account.
    pub account: Account,
    /// Tokens that the asker lacks, in nano-tokens.
    pub tokens: u128,
}

/// Lends capacity. The giver has subtracted it already.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanGrant {
    /// The loan.
    pub id: LoanId,
    /// The account.
    pub account: Account,
    /// The part of rate and burst on loan.
    pub fraction: Fraction,
    /// Tokens that go along, in nano-tokens.
    pub tokens: u128,
    /// Time of the loan, counted from before the asker sent its [`LoanRequest`].
    pub valid_for: Duration,
}

/// Gives capacity back before its time. The asker has subtracted it already.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoanReturn {
    /// The loan.
    pub id: LoanId,
    /// The account.
    pub account: Account,
    /// Tokens that go along, in nano-tokens.
    pub tokens: u128,
}

/// A loan as either side keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Loan {
    pub(super) id: LoanId,
    pub(super) peer: Instance,
    pub(super) fraction: Fraction,
    pub(super) expires_at: Duration,
}
