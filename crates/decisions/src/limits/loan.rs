//! Capacity on loan between two instances, and the messages that move it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Weight;
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
pub struct Ask {
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
pub struct Lend {
    /// The loan.
    pub id: LoanId,
    /// The account.
    pub account: Account,
    /// The part of rate and burst on loan.
    pub weight: Weight,
    /// Tokens that go along, in nano-tokens.
    pub tokens: u128,
    /// Time of the loan, counted from before the asker sent its [`Ask`].
    pub valid: Duration,
}

/// Gives capacity back before its time. The asker has subtracted it already.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Return {
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
    pub(super) weight: Weight,
    pub(super) until: Duration,
}
