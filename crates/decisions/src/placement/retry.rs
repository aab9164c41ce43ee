//! The budget for retries, as a share of the requests.

/// Thousandths of a retry that one request earns.
const EARNED_PER_REQUEST: u64 = 100;

/// The most retries that can be saved up, in thousandths.
const MAX_BALANCE: u64 = 10_000;

/// What one retry costs, in thousandths.
const RETRY_COST: u64 = 1000;

/// A budget that lets retries be a bounded share of the requests.
///
/// # Invariants
///
/// `level` is at most [`MAX_BALANCE`].
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
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Spends a retry; false if none is left.
    pub fn try_spend(&mut self) -> bool {
        let Some(level) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = level;
        true
    }
}
