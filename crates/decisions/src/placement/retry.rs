//! The budget for retries, as a share of the requests.

/// Thousandths of a retry that one request earns.
const EARNED: u64 = 100;

/// The most retries that can be saved up, in thousandths.
const SAVED: u64 = 10_000;

/// What one retry costs, in thousandths.
const RETRY: u64 = 1000;

/// A budget that lets retries be a bounded share of the requests.
///
/// # Invariants
///
/// `level` is at most [`SAVED`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    level: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.level = (self.level + EARNED).min(SAVED);
    }

    /// Spends a retry; false if none is left.
    pub fn spend(&mut self) -> bool {
        let Some(level) = self.level.checked_sub(RETRY) else {
            return false;
        };
        self.level = level;
        true
    }
}
