//! Fractions of an account's limit, and the allowance for clock drift.

use std::iter::Sum;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Nano-tokens in a token. One token a second adds as many nano-tokens as
/// nanoseconds pass.
pub const NANO_TOKENS_PER_TOKEN: u128 = 1_000_000_000;

/// Clocks are assumed to run fast or slow by at most one part in this many.
/// Leases and refills allow for it.
pub const CLOCK_DRIFT_DIVISOR: u32 = 1000;

/// Shortens a duration granted by another process, so that it ends here first.
///
/// This holds if neither clock drifts by more than one part in
/// [`CLOCK_DRIFT_DIVISOR`].
pub fn shorten_for_drift(time: Duration) -> Duration {
    // Twice, as the two clocks may drift in opposite directions.
    time.saturating_sub(time * 2 / CLOCK_DRIFT_DIVISOR)
}

/// Returns the fewest nanoseconds that can have passed while the local clock
/// advanced by `time`, given its drift.
pub(super) fn min_elapsed_nanos(time: Duration) -> u128 {
    let nanos = time.as_nanos();
    nanos - nanos.div_ceil(u128::from(CLOCK_DRIFT_DIVISOR))
}

/// The rate limit of an account over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Tokens added a second.
    pub rate: u64,
    /// Tokens that may be spent at once.
    pub burst: u64,
}

/// A fraction of a whole in units of 2^-32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(u64);

impl Fraction {
    /// The empty fraction.
    pub const ZERO: Self = Self(0);

    /// All of the whole.
    pub const WHOLE: Self = Self(1 << 32);

    /// Divides this fraction by `n`, rounding down.
    pub fn divide(self, n: usize) -> Self {
        Self(self.0 / n.max(1) as u64)
    }

    /// Returns the smallest fraction that is at least `tokens` of `whole`.
    pub fn covering(tokens: u128, whole: u128) -> Self {
        if whole == 0 {
            return Self::ZERO;
        }
        let parts = (tokens * u128::from(Self::WHOLE.0)).div_ceil(whole);
        Self(u64::try_from(parts).unwrap_or(u64::MAX))
    }

    /// Returns this fraction of `whole`, rounded down.
    pub fn of(self, whole: u128) -> u128 {
        whole * u128::from(self.0) / u128::from(Self::WHOLE.0)
    }

    /// Subtracts `other`, stopping at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns whether the fraction is zero.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add for Fraction {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for Fraction {
    fn sum<I>(iter: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        iter.fold(Self::ZERO, Add::add)
    }
}
