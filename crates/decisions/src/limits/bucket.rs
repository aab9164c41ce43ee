//! A token bucket whose callers pass in the time.

use std::time::Duration;

use super::fraction::NANO_TOKENS_PER_TOKEN;

/// A token bucket that refills at `rate` tokens a second up to `burst` tokens.
///
/// # Invariants
///
/// `nano_tokens` are the available tokens in nano-tokens, so that refills lose
/// nothing to rounding; they are at most `burst` tokens. `refilled_until` is
/// the time up to which they were refilled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    nano_tokens: u128,
    refilled_until: Duration,
}

impl TokenBucket {
    /// Makes an empty bucket.
    pub fn empty(rate: u64, burst: u64, now: Duration) -> Self {
        Self {
            rate,
            burst,
            nano_tokens: 0,
            refilled_until: now,
        }
    }

    /// Makes a full bucket.
    pub fn full(rate: u64, burst: u64, now: Duration) -> Self {
        Self {
            nano_tokens: u128::from(burst) * NANO_TOKENS_PER_TOKEN,
            ..Self::empty(rate, burst, now)
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_until).as_nanos();
        let cap = u128::from(self.burst) * NANO_TOKENS_PER_TOKEN;
        self.nano_tokens = cap.min(self.nano_tokens + elapsed * u128::from(self.rate));
        self.refilled_until = self.refilled_until.max(now);
    }

    /// Returns the available tokens, rounded down.
    pub fn level(&mut self, now: Duration) -> u64 {
        self.refill(now);
        (self.nano_tokens / NANO_TOKENS_PER_TOKEN) as u64
    }

    /// Takes all of `tokens`, or none if too few are available; returns whether
    /// they were taken.
    pub fn try_take(&mut self, tokens: u64, now: Duration) -> bool {
        self.refill(now);
        let want = u128::from(tokens) * NANO_TOKENS_PER_TOKEN;
        if want > self.nano_tokens {
            return false;
        }
        self.nano_tokens -= want;
        true
    }

    /// Puts back tokens that were taken and not used.
    pub fn refund(&mut self, tokens: u64, now: Duration) {
        self.refill(now);
        let cap = u128::from(self.burst) * NANO_TOKENS_PER_TOKEN;
        self.nano_tokens = cap.min(self.nano_tokens + u128::from(tokens) * NANO_TOKENS_PER_TOKEN);
    }

    /// Returns the time until `tokens` are available.
    ///
    /// Returns `None` if they never will be: they exceed the burst, or the rate
    /// is zero.
    pub fn time_until(&mut self, tokens: u64, now: Duration) -> Option<Duration> {
        self.refill(now);
        let want = u128::from(tokens) * NANO_TOKENS_PER_TOKEN;
        if tokens > self.burst || self.rate == 0 && want > self.nano_tokens {
            return None;
        }
        let missing = want.saturating_sub(self.nano_tokens);
        let nanos = missing.div_ceil(u128::from(self.rate.max(1)));
        Some(Duration::from_nanos(nanos as u64))
    }
}
