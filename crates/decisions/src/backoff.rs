//! Delays between retries.

use std::time::Duration;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Bound of the first delay.
    pub base: Duration,
    /// Bound of every delay.
    pub cap: Duration,
}

impl Backoff {
    /// Returns the bound of the delay before a retry; the first is retry 0.
    pub fn bound(&self, retry: u32) -> Duration {
        let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor.max(1)).min(self.cap)
    }

    /// Returns a delay between nothing and the bound; `random` is uniform.
    pub fn delay(&self, retry: u32, random: u64) -> Duration {
        let nanos = (self.bound(retry).as_nanos() * u128::from(random)) >> u64::BITS;
        Duration::from_nanos(nanos as u64)
    }
}
