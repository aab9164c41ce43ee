//! A budget that limits retries to a share of the requests.

/// Budget that each request earns, in thousandths of a retry.
const EARNED_PER_REQUEST: u64 = 100;

/// Largest budget that can be saved up, in thousandths of a retry.
const MAX_BALANCE: u64 = 10_000;

/// Budget that a retry costs, in thousandths of a retry.
const RETRY_COST: u64 = 1000;

/// A budget that limits retries to a share of the requests.
///
/// # Invariants
///
/// `balance` is at most [`MAX_BALANCE`], in thousandths of a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds what a request's first attempt earns.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Spends a retry; returns false if the budget does not allow one.
    pub fn try_spend(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}
