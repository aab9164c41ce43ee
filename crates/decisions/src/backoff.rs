//! Delays between retries.

use std::time::Duration;

/// Exponential backoff with full jitter.
///
/// The bound of the delay doubles with each retry, from `base` up to `cap`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the delay before the first retry.
    pub base: Duration,
    /// Upper bound of every delay.
    pub cap: Duration,
}

impl Backoff {
    /// Returns the upper bound of the delay before a retry, counted from 0.
    pub fn bound(&self, retry: u32) -> Duration {
        let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor.max(1)).min(self.cap)
    }

    /// Returns a random delay between zero and the bound.
    ///
    /// `random` is a random number, uniform over all values.
    pub fn delay(&self, retry: u32, random: u64) -> Duration {
        let nanos = (self.bound(retry).as_nanos() * u128::from(random)) >> u64::BITS;
        Duration::from_nanos(nanos as u64)
    }
}
