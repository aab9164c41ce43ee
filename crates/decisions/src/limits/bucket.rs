//! A token bucket whose callers pass in the time.

use std::time::Duration;

/// Nano-tokens in a token. One token a second adds as many nano-tokens as
/// nanoseconds pass.
const NANOS_PER_TOKEN: u128 = 1_000_000_000;

/// A token bucket that refills at `rate` tokens a second up to `burst` tokens.
///
/// # Invariants
///
/// `level` is at most `burst`. It is in nano-tokens, so that refills lose
/// nothing to rounding. `updated_at` is the time up to which it was refilled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    level: u128,
    updated_at: Duration,
}

impl TokenBucket {
    /// Makes an empty bucket.
    pub fn empty(rate: u64, burst: u64, now: Duration) -> Self {
        Self {
            rate,
            burst,
            level: 0,
            updated_at: now,
        }
    }

    /// Makes a full bucket.
    pub fn full(rate: u64, burst: u64, now: Duration) -> Self {
        Self {
            level: u128::from(burst) * NANOS_PER_TOKEN,
            ..Self::empty(rate, burst, now)
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_nanos();
        let cap = u128::from(self.burst) * NANOS_PER_TOKEN;
        self.level = cap.min(self.level + elapsed * u128::from(self.rate));
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the available tokens, rounded down.
    pub fn level(&mut self, now: Duration) -> u64 {
        self.refill(now);
        (self.level / NANOS_PER_TOKEN) as u64
    }

    /// Takes all of `tokens`, or none if too few are available; returns whether
    /// they were taken.
    pub fn try_take(&mut self, tokens: u64, now: Duration) -> bool {
        self.refill(now);
        let want = u128::from(tokens) * NANOS_PER_TOKEN;
        if want > self.level {
            return false;
        }
        self.level -= want;
        true
    }

    /// Puts back tokens that were taken and not used.
    pub fn refund(&mut self, tokens: u64, now: Duration) {
        self.refill(now);
        let cap = u128::from(self.burst) * NANOS_PER_TOKEN;
        self.level = cap.min(self.level + u128::from(tokens) * NANOS_PER_TOKEN);
    }

    /// Returns the time until `tokens` are available.
    ///
    /// Returns `None` if they never will be: they exceed the burst, or the rate
    /// is zero.
    pub fn time_until(&mut self, tokens: u64, now: Duration) -> Option<Duration> {
        self.refill(now);
        let want = u128::from(tokens) * NANOS_PER_TOKEN;
        if tokens > self.burst || self.rate == 0 && want > self.level {
            return None;
        }
        let missing = want.saturating_sub(self.level);
        let nanos = missing.div_ceil(u128::from(self.rate.max(1)));
        Some(Duration::from_nanos(nanos as u64))
    }
}
